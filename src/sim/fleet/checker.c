#include "sim/fleet/checker.h"

#include "base/memory.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

const char *invariant_name(enum invariant invariant)
{
    static const char *const names[] = {"partial", "answer", "not-run", "once",
                                        "leaving", "stop",   "config"};
    return names[invariant];
}

void checker_init(struct checker *checker, uint32_t machine_count)
{
    *checker = (struct checker){.machine_count = machine_count};
    checker->revisions = memory_calloc(machine_count, sizeof *checker->revisions);
}

void checker_clear(struct checker *checker)
{
    free(checker->attempts);
    free(checker->requests);
    free(checker->revisions);
    *checker = (struct checker){0};
}

void checker_violation(struct checker *checker, uint64_t now, enum invariant invariant,
                       const char *format, ...)
{
    uint64_t index = checker->violation_count++;
    if (index >= CHECKER_MAX_VIOLATIONS)
        return;
    struct violation *violation = &checker->violations[index];
    va_list arguments;
    violation->invariant = invariant;
    violation->time = now;
    va_start(arguments, format);
    vsnprintf(violation->text, sizeof violation->text, format, arguments);
    va_end(arguments);
}

uint64_t checker_add_request(struct checker *checker, bool unrepeatable)
{
    uint64_t index = checker->request_count++;
    checker->requests =
        memory_realloc(checker->requests, checker->request_count * sizeof *checker->requests);
    checker->requests[index] = (struct checked_request){.unrepeatable = unrepeatable};
    return index;
}

uint64_t checker_add_attempt(struct checker *checker, uint64_t request)
{
    uint64_t index = checker->attempt_count++;
    checker->attempts =
        memory_realloc(checker->attempts, checker->attempt_count * sizeof *checker->attempts);
    checker->attempts[index] = (struct checked_attempt){.request = request};
    return index;
}

void checker_run_started(struct checker *checker, uint64_t now, uint64_t number)
{
    struct checked_attempt *attempt = &checker->attempts[number];
    struct checked_request *request = &checker->requests[attempt->request];
    attempt->runs++;
    request->runs++;
    if (attempt->reported_not_run)
        checker_violation(checker, now, INVARIANT_NOT_RUN,
                          "attempt %" PRIu64 " ran after its caller was told that it did not",
                          number);
    if (request->unrepeatable && request->runs > 1)
        checker_violation(checker, now, INVARIANT_ONCE, "request %" PRIu64 " ran %u times",
                          attempt->request, request->runs);
}

void checker_reported_not_run(struct checker *checker, uint64_t now, uint64_t number)
{
    struct checked_attempt *attempt = &checker->attempts[number];
    attempt->reported_not_run = true;
    if (attempt->runs)
        checker_violation(checker, now, INVARIANT_NOT_RUN,
                          "attempt %" PRIu64 " ran, and its caller was told that it did not",
                          number);
}

void checker_answered(struct checker *checker, uint64_t now, uint64_t number, uint64_t source)
{
    bool known = source < checker->attempt_count;
    if (!known || checker->attempts[source].request != checker->attempts[number].request)
        checker_violation(checker, now, INVARIANT_ANSWER,
                          "attempt %" PRIu64 " got the answer of attempt %" PRIu64, number, source);
    else if (!checker->attempts[source].runs)
        checker_violation(checker, now, INVARIANT_ANSWER,
                          "attempt %" PRIu64 " got an answer that nothing made", number);
}

void checker_revision(struct checker *checker, uint64_t now, uint32_t machine, uint64_t revision,
                      bool exempt)
{
    uint64_t *greatest = &checker->revisions[machine];
    if (revision < *greatest && !exempt)
        checker_violation(checker, now, INVARIANT_CONFIG,
                          "machine %u went from revision %" PRIu64 " to %" PRIu64, machine,
                          *greatest, revision);
    *greatest = revision;
}

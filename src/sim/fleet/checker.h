/**
 * Checks the invariants of the system on the events of a simulated fleet. The checker keeps its own
 * records and shares no code with what it checks.
 *
 * Violations, by the name of the invariant:
 *
 *  partial     a replica answers with a version that its engine has not fully loaded
 *  answer      a caller gets an incomplete answer, that of another request, or mixed versions
 *  not-run     an attempt that was reported as not run did run
 *  once        an unrepeatable request ran more than once
 *  leaving     a leaving back end got new work after CHECKER_DRAIN_LIMIT_US
 *  stop        a planned stop interrupted a request
 *  config      a node went back to an older configuration, or got one later than
 *              CHECKER_CONFIG_LIMIT_US after its publication
 */
#ifndef SHUNTRUN_CHECKER_H
#define SHUNTRUN_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#define CHECKER_MAX_VIOLATIONS 8
#define CHECKER_DRAIN_LIMIT_US 3000000ULL
#define CHECKER_CONFIG_LIMIT_US 5000000ULL

enum invariant {
    INVARIANT_PARTIAL,
    INVARIANT_ANSWER,
    INVARIANT_NOT_RUN,
    INVARIANT_ONCE,
    INVARIANT_LEAVING,
    INVARIANT_STOP,
    INVARIANT_CONFIG,
    INVARIANT_COUNT
};

const char *invariant_name(enum invariant invariant);

struct violation {
    enum invariant invariant;
    uint64_t time;
    char text[160];
};

/** One attempt of a caller's request. */
struct checked_attempt {
    uint64_t request; /**< index of the request */
    uint32_t runs;
    bool reported_not_run;
};

struct checked_request {
    bool unrepeatable; /**< may run at most once over all its attempts */
    uint32_t runs;
};

struct checker {
    struct checked_attempt *attempts;
    uint64_t attempt_count;
    struct checked_request *requests;
    uint64_t request_count;
    uint64_t *revisions; /**< configuration last seen in force on each machine */
    uint32_t machine_count;
    struct violation violations[CHECKER_MAX_VIOLATIONS];
    uint64_t violation_count;
};

void checker_init(struct checker *checker, uint32_t machine_count);
void checker_clear(struct checker *checker);

void checker_violation(struct checker *checker, uint64_t now, enum invariant invariant,
                       const char *format, ...) __attribute__((format(printf, 4, 5)));

/** \return index of the request */
uint64_t checker_add_request(struct checker *checker, bool unrepeatable);
/** \return index of the attempt, which travels in the request's body */
uint64_t checker_add_attempt(struct checker *checker, uint64_t request);

/** \brief Record that a back end began to run an attempt. */
void checker_run_started(struct checker *checker, uint64_t now, uint64_t attempt);
/** \brief Record that a caller was told that an attempt did not run. */
void checker_reported_not_run(struct checker *checker, uint64_t now, uint64_t attempt);
/** \brief Record a complete answer to `attempt` that the run of attempt `source` produced. */
void checker_answered(struct checker *checker, uint64_t now, uint64_t attempt, uint64_t source);
/**
 * \brief Record the configuration in force on a machine.
 * \param exempt the node could not learn of newer ones, e.g. restarted in a partition: may go back
 */
void checker_revision(struct checker *checker, uint64_t now, uint32_t machine, uint64_t revision,
                      bool exempt);

#endif

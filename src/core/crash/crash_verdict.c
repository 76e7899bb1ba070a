#include "core/crash/crash_verdict.h"

#include "base/memory.h"
#include "core/crash/crash_entry.h"

#include <stdlib.h>
#include <string.h>

/* A request that was present at a crash. */
struct participant {
    uint64_t incarnation;
    uint32_t entry; /* index of the request's entry */
    uint32_t crash; /* index of the crash in the entry */
};

/* The participants that have several crashes, sorted by incarnation: only these requests can
 * explain a crash or make it ambiguous. */
struct participants {
    struct participant *items;
    uint32_t count;
};

struct evaluation {
    const struct crash_entry *entries;
    uint32_t entry_count;
    uint64_t now;
    struct crash_finding *findings;
    struct participants participants;
    bool (*explained)[CRASH_MAX_EVENTS]; /* by entry: explained by another, blocked request */
    bool (*outranked)[CRASH_MAX_EVENTS]; /* by entry: a likelier part was present */
    bool *chosen;                        /* by entry: its verdict settles in this round */
};

static int compare_participants(const void *left, const void *right)
{
    const struct participant *a = left, *b = right;
    if (a->incarnation != b->incarnation)
        return a->incarnation < b->incarnation ? -1 : 1;
    return 0;
}

static bool has_repeated_crashes(const struct crash_entry *entry)
{
    return entry->crash_count >= CRASHES_TO_ISOLATE;
}

static struct participants collect_participants(const struct crash_entry *entries, uint32_t count)
{
    struct participants participants = {0};
    uint32_t most = 0;
    for (uint32_t i = 0; i < count; i++)
        most += has_repeated_crashes(&entries[i]) ? entries[i].crash_count : 0;
    if (!most)
        return participants;
    participants.items = memory_calloc(most, sizeof *participants.items);
    for (uint32_t i = 0; i < count; i++)
        for (uint32_t k = 0; has_repeated_crashes(&entries[i]) && k < entries[i].crash_count; k++)
            participants.items[participants.count++] =
                (struct participant){entries[i].crashes[k].incarnation, i, k};
    qsort(participants.items, participants.count, sizeof *participants.items, compare_participants);
    return participants;
}

/* \return index after the last participant of the same crash as the one at `first` */
static uint32_t end_of_group(const struct participants *participants, uint32_t first)
{
    uint32_t last = first;
    while (last < participants->count &&
           participants->items[last].incarnation == participants->items[first].incarnation)
        last++;
    return last;
}

/* A request and the parts of its prompt are present by the same run. */
static bool is_same_run(const struct evaluation *evaluation, const struct participant *left,
                        const struct participant *right)
{
    const struct participant *both[2] = {left, right};
    uint32_t request_keys[2];
    if (!evaluation->entries[left->entry].is_part && !evaluation->entries[right->entry].is_part)
        return false;
    for (uint32_t i = 0; i < 2; i++) {
        const struct crash_entry *entry = &evaluation->entries[both[i]->entry];
        request_keys[i] = entry->is_part ? entry->crashes[both[i]->crash].attempt
                                         : crash_request_key(&entry->identity);
    }
    return request_keys[0] == request_keys[1];
}

/* --- explained crashes ------------------------------------------------------------------------ */

/* \return whether a blocked request or part explains the crash for another participant. A request
 * that is blocked itself does not speak for the parts of its prompt. */
static bool explains(const struct evaluation *evaluation, const struct participant *participant,
                     const struct participant *other)
{
    if (other->entry == participant->entry || !evaluation->findings[other->entry].settled)
        return false;
    bool is_request = !evaluation->entries[other->entry].is_part;
    return !is_request || !is_same_run(evaluation, participant, other);
}

static void explain_group(struct evaluation *evaluation, uint32_t first, uint32_t last)
{
    const struct participant *items = evaluation->participants.items;
    uint32_t blocked = 0;
    for (uint32_t i = first; i < last; i++)
        blocked += evaluation->findings[items[i].entry].settled;
    for (uint32_t i = first; i < last; i++) {
        bool explained = false;
        for (uint32_t k = first; blocked && k < last; k++)
            explained |= explains(evaluation, &items[i], &items[k]);
        evaluation->explained[items[i].entry][items[i].crash] = explained;
    }
}

static uint32_t count_crashes(const struct crash_entry *entry)
{
    uint32_t crashes = 0, in_window = 0;
    uint64_t window_begin = 0;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (!window_begin || entry->crashes[i].ended_at >= window_begin + CRASH_SIMULTANEOUS_US) {
            window_begin = entry->crashes[i].ended_at;
            in_window = 0;
        }
        crashes += ++in_window <= CRASH_MAX_SIMULTANEOUS_COUNTED;
    }
    return crashes;
}

/* A total order of parts by how likely they are the cause, where several were present.
 * \return whether the left one is likelier */
static bool is_likelier_part(const struct evaluation *evaluation, uint32_t left, uint32_t right)
{
    const struct crash_entry *entry = &evaluation->entries[left];
    const struct crash_entry *other = &evaluation->entries[right];
    const struct crash_finding *finding = &evaluation->findings[left];
    const struct crash_finding *other_finding = &evaluation->findings[right];
    if (finding->unexplained != other_finding->unexplained)
        return finding->unexplained > other_finding->unexplained;
    if (finding->crashes != other_finding->crashes)
        return finding->crashes > other_finding->crashes;
    bool was_answered = entry->cleared_at != 0, other_was_answered = other->cleared_at != 0;
    if (was_answered != other_was_answered)
        return other_was_answered;
    if (entry->position != other->position)
        return entry->position > other->position;
    return memcmp(&entry->identity, &other->identity, sizeof entry->identity) > 0;
}

/* Marks the crash for all parts that were present but for the likeliest one. */
static void outrank_group(struct evaluation *evaluation, uint32_t first, uint32_t last)
{
    const struct participant *items = evaluation->participants.items;
    const struct participant *likeliest = NULL;
    for (uint32_t i = first; i < last; i++) {
        if (!evaluation->entries[items[i].entry].is_part)
            continue;
        evaluation->outranked[items[i].entry][items[i].crash] = true;
        if (!likeliest || is_likelier_part(evaluation, items[i].entry, likeliest->entry))
            likeliest = &items[i];
    }
    if (likeliest)
        evaluation->outranked[likeliest->entry][likeliest->crash] = false;
}

/* Leaves out crashes beyond CRASHES_OF_ONE_REQUEST that came with the same request. */
static void leave_out_repeated(const struct crash_entry *entry, bool without[CRASH_MAX_EVENTS])
{
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        uint32_t earlier = 0;
        for (uint32_t k = 0; k < i; k++)
            earlier += !without[k] && entry->crashes[k].attempt == entry->crashes[i].attempt;
        without[i] |= earlier >= CRASHES_OF_ONE_REQUEST;
    }
}

/* \return for a part, its unexplained crashes at which no likelier part was present, a few of each
 * request; for a request, all unexplained ones */
static uint32_t count_own_crashes(const struct evaluation *evaluation, uint32_t own)
{
    const struct crash_entry *entry = &evaluation->entries[own];
    bool without[CRASH_MAX_EVENTS];
    if (!entry->is_part || !has_repeated_crashes(entry))
        return evaluation->findings[own].unexplained;
    for (uint32_t i = 0; i < entry->crash_count; i++)
        without[i] = evaluation->explained[own][i] || evaluation->outranked[own][i];
    leave_out_repeated(entry, without);
    return crash_entry_distinct_crashes_except(entry, without);
}

typedef void (*group_step)(struct evaluation *evaluation, uint32_t first, uint32_t last);

static void for_each_group(struct evaluation *evaluation, group_step step)
{
    for (uint32_t first = 0, last; first < evaluation->participants.count; first = last) {
        last = end_of_group(&evaluation->participants, first);
        step(evaluation, first, last);
    }
}

static void explain_crashes(struct evaluation *evaluation)
{
    for_each_group(evaluation, explain_group);
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        const struct crash_entry *entry = &evaluation->entries[i];
        struct crash_finding *finding = &evaluation->findings[i];
        finding->unexplained = crash_entry_distinct_crashes_except(entry, evaluation->explained[i]);
        finding->crashes = count_crashes(entry);
    }
    for_each_group(evaluation, outrank_group);
    for (uint32_t i = 0; i < evaluation->entry_count; i++)
        evaluation->findings[i].own = count_own_crashes(evaluation, i);
}

/* --- proofs ----------------------------------------------------------------------------------- */

/* \return unexplained crashes of a request up to a time; simultaneous ones count once */
static uint32_t unexplained_until(const struct evaluation *evaluation, uint32_t entry,
                                  uint64_t until)
{
    bool without[CRASH_MAX_EVENTS];
    memcpy(without, evaluation->explained[entry], sizeof without);
    for (uint32_t i = 0; i < evaluation->entries[entry].crash_count; i++)
        without[i] |= evaluation->entries[entry].crashes[i].ended_at > until;
    return crash_entry_distinct_crashes_except(&evaluation->entries[entry], without);
}

static uint64_t crashed_at(const struct evaluation *evaluation,
                           const struct participant *participant)
{
    return evaluation->entries[participant->entry].crashes[participant->crash].ended_at;
}

/* A blocked request no longer runs, so crashes that others cause later say nothing about its own
 * crashes. */
static uint64_t evidence_until(const struct evaluation *evaluation, uint32_t entry)
{
    return crash_entry_settled_at(&evaluation->entries[entry]);
}

/* \return whether the crash is proof against a request: it had enough crashes to be isolated by
 * then, and no other participant has, as known when the latest crash of the request settles */
static bool is_proof(const struct evaluation *evaluation, uint32_t first, uint32_t last,
                     const struct participant *participant)
{
    const struct participant *items = evaluation->participants.items;
    uint64_t until = evidence_until(evaluation, participant->entry);
    if (evaluation->explained[participant->entry][participant->crash] ||
        unexplained_until(evaluation, participant->entry, crashed_at(evaluation, participant)) <
            CRASHES_TO_ISOLATE)
        return false;
    for (uint32_t i = first; i < last; i++)
        if (items[i].entry != participant->entry &&
            !is_same_run(evaluation, &items[i], participant) &&
            unexplained_until(evaluation, items[i].entry, until) >= CRASHES_TO_ISOLATE)
            return false;
    return true;
}

static void find_proofs(struct evaluation *evaluation)
{
    const struct participant *items = evaluation->participants.items;
    for (uint32_t i = 0; i < evaluation->entry_count; i++)
        evaluation->findings[i].proofs = 0;
    for (uint32_t first = 0, last; first < evaluation->participants.count; first = last) {
        last = end_of_group(&evaluation->participants, first);
        for (uint32_t i = first; i < last; i++)
            evaluation->findings[items[i].entry].proofs +=
                is_proof(evaluation, first, last, &items[i]);
    }
}

/* --- verdicts --------------------------------------------------------------------------------- */

static bool has_incarnation(const struct crash_entry *entry, uint64_t incarnation)
{
    return crash_entry_find(entry, incarnation) < entry->crash_count;
}

/* \return whether a crash of another request is recent and unexplained, and this request was not
 * present */
static bool is_unrelated_unexplained(const struct evaluation *evaluation, uint32_t own,
                                     uint32_t other, uint32_t index)
{
    const struct crash_event *crash = &evaluation->entries[other].crashes[index];
    uint64_t until = evidence_until(evaluation, own);
    uint64_t since = until > CRASH_SINGLE_TTL_US ? until - CRASH_SINGLE_TTL_US : 0;
    return crash->ended_at >= since && crash->ended_at <= until &&
           !evaluation->explained[other][index] &&
           !has_incarnation(&evaluation->entries[own], crash->incarnation);
}

/* \return whether a request with a proof against it was present at the crash of an incarnation */
static bool has_likely_cause(const struct evaluation *evaluation, uint64_t incarnation)
{
    const struct participants *participants = &evaluation->participants;
    for (uint32_t i = 0; i < participants->count; i++)
        if (participants->items[i].incarnation == incarnation &&
            evaluation->findings[participants->items[i].entry].proofs)
            return true;
    return false;
}

/* \return whether backends crashed recently without the request and without a likely cause: the
 * unknown cause may have crashed the request's backends as well */
static bool is_noisy(const struct evaluation *evaluation, uint32_t own)
{
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        const struct crash_entry *other = &evaluation->entries[i];
        for (uint32_t k = 0; k < other->crash_count; k++)
            if (is_unrelated_unexplained(evaluation, own, i, k) &&
                !has_likely_cause(evaluation, other->crashes[k].incarnation))
                return true;
    }
    return false;
}

static bool has_proofs_to_block(const struct evaluation *evaluation, uint32_t index)
{
    const struct crash_entry *entry = &evaluation->entries[index];
    const struct crash_finding *finding = &evaluation->findings[index];
    bool single_attempt = crash_entry_has_single_attempt(entry);
    uint32_t crashes = single_attempt ? CRASHES_TO_BLOCK_SINGLE_ATTEMPT : CRASHES_TO_BLOCK;
    if (entry->is_part || finding->unexplained < crashes || !finding->proofs)
        return false;
    uint32_t proofs =
        is_noisy(evaluation, index) ? CRASH_PROOFS_TO_BLOCK_IN_NOISE : CRASH_PROOFS_TO_BLOCK;
    return finding->proofs >= proofs + single_attempt;
}

static bool has_crashes_to_block(const struct evaluation *evaluation, uint32_t index)
{
    if (evaluation->entries[index].is_part)
        return evaluation->findings[index].own >= CRASHES_TO_BLOCK_PART;
    return evaluation->findings[index].unexplained >= CRASHES_TO_BLOCK_WITHOUT_PROOF &&
           !is_noisy(evaluation, index);
}

typedef bool (*block_rule)(const struct evaluation *evaluation, uint32_t index);

/* \return whether a rule newly blocks a request whose latest crash has settled */
static bool is_newly_settled(const struct evaluation *evaluation, uint32_t index, block_rule rule)
{
    return !evaluation->findings[index].settled &&
           evaluation->now >= crash_entry_settled_at(&evaluation->entries[index]) &&
           rule(evaluation, index);
}

/* Of the parts that settle in this round only the likeliest one does, as it may explain the crashes
 * of the others: parts that are always together need only one verdict. */
static void choose_likeliest_part(struct evaluation *evaluation)
{
    uint32_t likeliest = evaluation->entry_count;
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        if (!evaluation->chosen[i] || !evaluation->entries[i].is_part)
            continue;
        evaluation->chosen[i] = false;
        if (likeliest == evaluation->entry_count || is_likelier_part(evaluation, i, likeliest))
            likeliest = i;
    }
    if (likeliest < evaluation->entry_count)
        evaluation->chosen[likeliest] = true;
}

/* Settles the requests whose latest crash is earliest; they explain crashes of the later ones. Two
 * requests that always run together share their latest crash and settle in the same round: neither
 * explains it for the other.
 * \return whether any request settled */
static bool settle_earliest(struct evaluation *evaluation, block_rule rule)
{
    uint64_t first_at = UINT64_MAX;
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        uint64_t settled_at = crash_entry_settled_at(&evaluation->entries[i]);
        if (settled_at < first_at && is_newly_settled(evaluation, i, rule))
            first_at = settled_at;
    }
    if (first_at == UINT64_MAX)
        return false;
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        uint64_t settled_at = crash_entry_settled_at(&evaluation->entries[i]);
        evaluation->chosen[i] =
            settled_at < first_at + CRASH_SIMULTANEOUS_US && is_newly_settled(evaluation, i, rule);
    }
    choose_likeliest_part(evaluation);
    for (uint32_t i = 0; i < evaluation->entry_count; i++)
        evaluation->findings[i].settled |= evaluation->chosen[i];
    return true;
}

static void update_evidence(struct evaluation *evaluation)
{
    explain_crashes(evaluation);
    find_proofs(evaluation);
}

static uint64_t next_settled_at(const struct evaluation *evaluation)
{
    uint64_t next = UINT64_MAX;
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        uint64_t settled_at = crash_entry_settled_at(&evaluation->entries[i]);
        if (has_repeated_crashes(&evaluation->entries[i]) && settled_at > evaluation->now &&
            settled_at < next)
            next = settled_at;
    }
    return next;
}

static void set_verdicts(struct evaluation *evaluation)
{
    for (uint32_t i = 0; i < evaluation->entry_count; i++) {
        struct crash_finding *finding = &evaluation->findings[i];
        finding->blocked = finding->settled || has_proofs_to_block(evaluation, i) ||
                           has_crashes_to_block(evaluation, i);
        finding->isolated = !finding->settled && finding->own >= CRASHES_TO_ISOLATE;
    }
}

/* Each blocked request explains crashes of others, which may prove further requests or invalidate
 * proofs, so this repeats until no more verdicts settle. Proofs take precedence over counts. */
uint64_t crash_verdict_evaluate(const struct crash_entry *entries, uint32_t count, uint64_t now,
                                struct crash_finding *findings)
{
    memset(findings, 0, count * sizeof *findings);
    struct evaluation evaluation = {
        .entries = entries,
        .entry_count = count,
        .now = now,
        .findings = findings,
        .participants = collect_participants(entries, count),
        .explained = memory_calloc(count ? count : 1, sizeof *evaluation.explained),
        .outranked = memory_calloc(count ? count : 1, sizeof *evaluation.outranked),
        .chosen = memory_calloc(count ? count : 1, sizeof *evaluation.chosen),
    };
    do {
        update_evidence(&evaluation);
    } while (settle_earliest(&evaluation, has_proofs_to_block) ||
             settle_earliest(&evaluation, has_crashes_to_block));
    set_verdicts(&evaluation);
    free(evaluation.participants.items);
    free(evaluation.explained);
    free(evaluation.outranked);
    free(evaluation.chosen);
    return next_settled_at(&evaluation);
}

uint64_t crash_verdict_held_until(const struct crash_finding *finding, uint64_t latest_crash_at,
                                  uint64_t now)
{
    if (finding->crashes < CRASHES_TO_HOLD || finding->unexplained < CRASHES_TO_ISOLATE)
        return 0;
    if (finding->crashes == CRASHES_TO_HOLD && now < latest_crash_at + CRASH_HOLD_GRACE_US)
        return 0;
    uint32_t further =
        finding->unexplained > CRASHES_TO_HOLD ? finding->unexplained - CRASHES_TO_HOLD : 0;
    uint64_t hold = CRASH_HOLD_INITIAL_US << further;
    uint64_t until = latest_crash_at + (hold < CRASH_HOLD_MAX_US ? hold : CRASH_HOLD_MAX_US);
    return now < until ? until : 0;
}

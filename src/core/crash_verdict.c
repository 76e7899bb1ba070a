#include "core/crash_verdict.h"

#include "base/memory.h"
#include "core/crash_table.h"

#include <stdlib.h>
#include <string.h>

/* A request at the end of a start. */
struct presence {
    uint64_t start;
    uint32_t entry; /* its index */
    uint32_t place; /* of the start among those of the entry */
};

/* The requests with several ends, by start: only they can explain an end, or make it ambiguous. */
struct presences {
    struct presence *items; /* those of one start stand together */
    uint32_t count;
};

struct judgement {
    const struct crash_entry *entries;
    uint32_t entry_count;
    uint64_t now;
    struct crash_finding *findings;
    struct presences presences;
    bool (*explained)[CRASH_STARTS_KEPT]; /* of each entry: ends where another blocked one was */
    bool *chosen;                         /* of each entry: its verdict settles in this round */
};

static int compare_presences(const void *left, const void *right)
{
    const struct presence *a = left, *b = right;
    if (a->start != b->start)
        return a->start < b->start ? -1 : 1;
    return 0;
}

static bool has_several_ends(const struct crash_entry *entry)
{
    return entry->start_count >= CRASH_STARTS_TO_ISOLATE;
}

static struct presences gather(const struct crash_entry *entries, uint32_t count)
{
    struct presences presences = {0};
    uint32_t most = 0;
    for (uint32_t i = 0; i < count; i++)
        most += has_several_ends(&entries[i]) ? entries[i].start_count : 0;
    if (!most)
        return presences;
    presences.items = memory_zero(most, sizeof *presences.items);
    for (uint32_t i = 0; i < count; i++)
        for (uint32_t k = 0; has_several_ends(&entries[i]) && k < entries[i].start_count; k++)
            presences.items[presences.count++] =
                (struct presence){entries[i].starts[k].start, i, k};
    qsort(presences.items, presences.count, sizeof *presences.items, compare_presences);
    return presences;
}

/* \return index after the last presence at the start of the one at `first` */
static uint32_t end_of_group(const struct presences *presences, uint32_t first)
{
    uint32_t last = first;
    while (last < presences->count && presences->items[last].start == presences->items[first].start)
        last++;
    return last;
}

/* --- explained ends ------------------------------------------------------------------------------
 */

static void explain_group(struct judgement *judgement, uint32_t first, uint32_t last)
{
    const struct presence *items = judgement->presences.items;
    uint32_t blocked = 0;
    for (uint32_t i = first; i < last; i++)
        blocked += judgement->findings[items[i].entry].settled;
    for (uint32_t i = first; i < last; i++)
        judgement->explained[items[i].entry][items[i].place] =
            blocked > judgement->findings[items[i].entry].settled;
}

static uint32_t count_starts(const struct crash_entry *entry)
{
    uint32_t starts = 0, of_moment = 0;
    uint64_t moment = 0;
    for (uint32_t i = 0; i < entry->start_count; i++) {
        if (!moment || entry->starts[i].ended_at >= moment + CRASH_SAME_MOMENT_US) {
            moment = entry->starts[i].ended_at;
            of_moment = 0;
        }
        starts += ++of_moment <= CRASH_STARTS_OF_MOMENT;
    }
    return starts;
}

static void explain_ends(struct judgement *judgement)
{
    for (uint32_t first = 0, last; first < judgement->presences.count; first = last) {
        last = end_of_group(&judgement->presences, first);
        explain_group(judgement, first, last);
    }
    for (uint32_t i = 0; i < judgement->entry_count; i++) {
        const struct crash_entry *entry = &judgement->entries[i];
        struct crash_finding *finding = &judgement->findings[i];
        finding->unexplained = crash_entry_weight_without(entry, judgement->explained[i]);
        finding->starts = count_starts(entry);
    }
}

/* --- proofs --------------------------------------------------------------------------------------
 */

/* \return unexplained ends of a request up to a time; those of one moment count once */
static uint32_t unexplained_until(const struct judgement *judgement, uint32_t entry, uint64_t until)
{
    bool without[CRASH_STARTS_KEPT];
    memcpy(without, judgement->explained[entry], sizeof without);
    for (uint32_t i = 0; i < judgement->entries[entry].start_count; i++)
        without[i] |= judgement->entries[entry].starts[i].ended_at > until;
    return crash_entry_weight_without(&judgement->entries[entry], without);
}

static uint64_t ended_at(const struct judgement *judgement, const struct presence *presence)
{
    return judgement->entries[presence->entry].starts[presence->place].ended_at;
}

/* Who is blocked runs no more, so what others end later says nothing of the ends that it was at. */
static uint64_t evidence_until(const struct judgement *judgement, uint32_t entry)
{
    return crash_entry_settled_at(&judgement->entries[entry]);
}

/* \return whether the end is proof against a request: it had reason to be isolated by then, and
 * none of the others there has, as far as is known when its last end has settled */
static bool is_proof(const struct judgement *judgement, uint32_t first, uint32_t last,
                     const struct presence *presence)
{
    const struct presence *items = judgement->presences.items;
    uint64_t until = evidence_until(judgement, presence->entry);
    if (judgement->explained[presence->entry][presence->place] ||
        unexplained_until(judgement, presence->entry, ended_at(judgement, presence)) <
            CRASH_STARTS_TO_ISOLATE)
        return false;
    for (uint32_t i = first; i < last; i++)
        if (items[i].entry != presence->entry &&
            unexplained_until(judgement, items[i].entry, until) >= CRASH_STARTS_TO_ISOLATE)
            return false;
    return true;
}

static void find_proofs(struct judgement *judgement)
{
    const struct presence *items = judgement->presences.items;
    for (uint32_t i = 0; i < judgement->entry_count; i++)
        judgement->findings[i].proofs = 0;
    for (uint32_t first = 0, last; first < judgement->presences.count; first = last) {
        last = end_of_group(&judgement->presences, first);
        for (uint32_t i = first; i < last; i++)
            judgement->findings[items[i].entry].proofs +=
                is_proof(judgement, first, last, &items[i]);
    }
}

/* --- verdicts ------------------------------------------------------------------------------------
 */

static bool has_start(const struct crash_entry *entry, uint64_t start)
{
    for (uint32_t i = 0; i < entry->start_count; i++)
        if (entry->starts[i].start == start)
            return true;
    return false;
}

/* \return whether an end of another request came lately, has no explanation, and was without this
 * one
 */
static bool is_unexplained_without(const struct judgement *judgement, uint32_t own, uint32_t other,
                                   uint32_t place)
{
    const struct crash_start *start = &judgement->entries[other].starts[place];
    uint64_t until = evidence_until(judgement, own);
    uint64_t since = until > CRASH_SUSPECT_US ? until - CRASH_SUSPECT_US : 0;
    return start->ended_at >= since && start->ended_at <= until &&
           !judgement->explained[other][place] &&
           !has_start(&judgement->entries[own], start->start);
}

/* \return whether somebody against whom there is a proof was at the end of a start */
static bool has_likely_cause(const struct judgement *judgement, uint64_t start)
{
    const struct presences *presences = &judgement->presences;
    for (uint32_t i = 0; i < presences->count; i++)
        if (presences->items[i].start == start &&
            judgement->findings[presences->items[i].entry].proofs)
            return true;
    return false;
}

/* \return whether back ends ended lately without the request and without a likely cause: what ends
 * them may have ended those as well at which the request was */
static bool is_noisy(const struct judgement *judgement, uint32_t own)
{
    for (uint32_t i = 0; i < judgement->entry_count; i++) {
        const struct crash_entry *other = &judgement->entries[i];
        for (uint32_t k = 0; k < other->start_count; k++)
            if (is_unexplained_without(judgement, own, i, k) &&
                !has_likely_cause(judgement, other->starts[k].start))
                return true;
    }
    return false;
}

static bool has_proofs_to_block(const struct judgement *judgement, uint32_t index)
{
    const struct crash_entry *entry = &judgement->entries[index];
    const struct crash_finding *finding = &judgement->findings[index];
    bool one_attempt = crash_entry_is_of_one_attempt(entry);
    uint32_t ends = one_attempt ? CRASH_STARTS_TO_BLOCK_ONE_ATTEMPT : CRASH_STARTS_TO_BLOCK;
    if (finding->unexplained < ends || !finding->proofs)
        return false;
    uint32_t proofs = is_noisy(judgement, index) ? CRASH_PROOFS_IN_NOISE : CRASH_PROOFS;
    return finding->proofs >= proofs + one_attempt;
}

static bool has_ends_to_block(const struct judgement *judgement, uint32_t index)
{
    return judgement->findings[index].unexplained >= CRASH_STARTS_TO_BLOCK_ANY &&
           !is_noisy(judgement, index);
}

typedef bool (*block_rule)(const struct judgement *judgement, uint32_t index);

/* \return whether a rule blocks a request, and its last end has settled */
static bool settles(const struct judgement *judgement, uint32_t index, block_rule rule)
{
    return !judgement->findings[index].settled &&
           judgement->now >= crash_entry_settled_at(&judgement->entries[index]) &&
           rule(judgement, index);
}

/* Those whose last end was first explain ends of those that come after them. Two that always meet
 * share that end: neither explains it for the other.
 * \return whether there are any */
static bool settle_first(struct judgement *judgement, block_rule rule)
{
    uint64_t first_at = UINT64_MAX;
    for (uint32_t i = 0; i < judgement->entry_count; i++) {
        uint64_t settled_at = crash_entry_settled_at(&judgement->entries[i]);
        if (settled_at < first_at && settles(judgement, i, rule))
            first_at = settled_at;
    }
    if (first_at == UINT64_MAX)
        return false;
    for (uint32_t i = 0; i < judgement->entry_count; i++) {
        uint64_t settled_at = crash_entry_settled_at(&judgement->entries[i]);
        judgement->chosen[i] =
            settled_at < first_at + CRASH_SAME_MOMENT_US && settles(judgement, i, rule);
    }
    for (uint32_t i = 0; i < judgement->entry_count; i++)
        judgement->findings[i].settled |= judgement->chosen[i];
    return true;
}

static void weigh(struct judgement *judgement)
{
    explain_ends(judgement);
    find_proofs(judgement);
}

static uint64_t next_settling(const struct judgement *judgement)
{
    uint64_t next = UINT64_MAX;
    for (uint32_t i = 0; i < judgement->entry_count; i++) {
        uint64_t settled_at = crash_entry_settled_at(&judgement->entries[i]);
        if (has_several_ends(&judgement->entries[i]) && settled_at > judgement->now &&
            settled_at < next)
            next = settled_at;
    }
    return next;
}

static void conclude(struct judgement *judgement)
{
    for (uint32_t i = 0; i < judgement->entry_count; i++) {
        struct crash_finding *finding = &judgement->findings[i];
        finding->blocked = finding->settled || has_proofs_to_block(judgement, i) ||
                           has_ends_to_block(judgement, i);
        finding->isolated = !finding->settled && finding->unexplained >= CRASH_STARTS_TO_ISOLATE;
    }
}

/* Each request that is blocked explains ends of others, by which further ones may be proven, or be
 * no longer. Proofs go before mere numbers. */
uint64_t crash_verdict_judge(const struct crash_entry *entries, uint32_t count, uint64_t now,
                             struct crash_finding *findings)
{
    memset(findings, 0, count * sizeof *findings);
    struct judgement judgement = {
        .entries = entries,
        .entry_count = count,
        .now = now,
        .findings = findings,
        .presences = gather(entries, count),
        .explained = memory_zero(count ? count : 1, sizeof *judgement.explained),
        .chosen = memory_zero(count ? count : 1, sizeof *judgement.chosen),
    };
    do {
        weigh(&judgement);
    } while (settle_first(&judgement, has_proofs_to_block) ||
             settle_first(&judgement, has_ends_to_block));
    conclude(&judgement);
    free(judgement.presences.items);
    free(judgement.explained);
    free(judgement.chosen);
    return next_settling(&judgement);
}

uint64_t crash_verdict_held_until(const struct crash_finding *finding, uint64_t newest_end,
                                  uint64_t now)
{
    if (finding->starts < CRASH_STARTS_TO_HOLD || finding->unexplained < CRASH_STARTS_TO_ISOLATE)
        return 0;
    if (finding->starts == CRASH_STARTS_TO_HOLD && now < newest_end + CRASH_HOLD_AFTER_US)
        return 0;
    uint32_t further = finding->unexplained > CRASH_STARTS_TO_HOLD
                           ? finding->unexplained - CRASH_STARTS_TO_HOLD
                           : 0;
    uint64_t hold = CRASH_HOLD_US << further;
    uint64_t until = newest_end + (hold < CRASH_HOLD_MOST_US ? hold : CRASH_HOLD_MOST_US);
    return now < until ? until : 0;
}

#include "core/crash_table.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

struct crash_table {
    struct crash_entry *entries;
    uint32_t count;
    uint64_t *prefixes; /* the first bytes of each entry's identity: a look reads these alone */
    struct crash_finding *findings; /* of each entry, as of the last judgement */
    uint64_t *judged_until; /* time from which the next one may differ; 0: entries have changed */
};

struct crash_table *crash_table_create(void)
{
    struct crash_table *table = memory_zero(1, sizeof *table);
    table->entries = memory_zero(CRASH_ENTRIES_MOST, sizeof *table->entries);
    table->prefixes = memory_zero(CRASH_ENTRIES_MOST, sizeof *table->prefixes);
    table->findings = memory_zero(CRASH_ENTRIES_MOST, sizeof *table->findings);
    table->judged_until = memory_zero(1, sizeof *table->judged_until);
    return table;
}

void crash_table_destroy(struct crash_table *table)
{
    free(table->entries);
    free(table->prefixes);
    free(table->findings);
    free(table->judged_until);
    free(table);
}

uint64_t crash_start_key(const char *backend_id, uint64_t born)
{
    return hash_pair(hash_name(backend_id), born);
}

uint32_t crash_attempt_key(const char *request_id)
{
    return (uint32_t)hash_name(request_id);
}

const char *crash_verdict_name(enum crash_verdict verdict)
{
    static const char *const names[] = {
        [CRASH_NO_SUSPECT] = "none", [CRASH_SUSPECT] = "suspect", [CRASH_BLOCKED] = "blocked"};
    return names[verdict];
}

/* --- one entry -----------------------------------------------------------------------------------
 */

static uint64_t newest_end(const struct crash_entry *entry)
{
    return entry->start_count ? entry->starts[entry->start_count - 1].ended_at : 0;
}

uint32_t crash_entry_weight_without(const struct crash_entry *entry,
                                    const bool without[CRASH_STARTS_KEPT])
{
    uint32_t weight = 0;
    uint64_t counted_at = 0;
    for (uint32_t i = 0; i < entry->start_count; i++) {
        uint64_t ended_at = entry->starts[i].ended_at;
        if (without[i])
            continue;
        if (weight && ended_at < counted_at + CRASH_SAME_MOMENT_US)
            continue;
        counted_at = ended_at;
        weight++;
    }
    return weight;
}

uint32_t crash_entry_weight(const struct crash_entry *entry)
{
    static const bool none[CRASH_STARTS_KEPT];
    return crash_entry_weight_without(entry, none);
}

uint64_t crash_entry_settled_at(const struct crash_entry *entry)
{
    return newest_end(entry) + CRASH_NEWS_US;
}

static void remove_start(struct crash_entry *entry, uint32_t place)
{
    entry->start_count--;
    memmove(&entry->starts[place], &entry->starts[place + 1],
            (entry->start_count - place) * sizeof entry->starts[0]);
}

static void insert_start(struct crash_entry *entry, const struct crash_start *start)
{
    if (entry->start_count == CRASH_STARTS_KEPT)
        remove_start(entry, 0);
    uint32_t place = entry->start_count++;
    while (place && entry->starts[place - 1].ended_at > start->ended_at) {
        entry->starts[place] = entry->starts[place - 1];
        place--;
    }
    entry->starts[place] = *start;
}

/* \return place, or the number of starts */
static uint32_t find_start(const struct crash_entry *entry, uint64_t start)
{
    uint32_t place = 0;
    while (place < entry->start_count && entry->starts[place].start != start)
        place++;
    return place;
}

/* What stands for the start after one, of which nobody has said yet when it was born. */
static uint64_t next_start(uint64_t start)
{
    return hash_pair(start, 1);
}

static uint64_t earlier_known(uint64_t left, uint64_t right)
{
    if (!left || !right)
        return left ? left : right;
    return left < right ? left : right;
}

/* What two nodes saw of one end. */
static void join_start(struct crash_start *known, const struct crash_start *other)
{
    if (other->ended_at < known->ended_at)
        known->ended_at = other->ended_at;
    known->dead_at = earlier_known(known->dead_at, other->dead_at);
    known->began_at = earlier_known(known->began_at, other->began_at);
}

static bool add_new_start(struct crash_entry *entry, const struct crash_start *start)
{
    bool full = entry->start_count == CRASH_STARTS_KEPT;
    if (full && start->ended_at <= entry->starts[0].ended_at)
        return false;
    insert_start(entry, start);
    entry->shared |= entry->start_count > 1;
    return true;
}

/* \return whether the start was not held. An earlier time of a known one is no news. */
static bool add_start(struct crash_entry *entry, const struct crash_start *start)
{
    if (start->ended_at <= entry->cleared_at)
        return false;
    uint32_t place = find_start(entry, start->start);
    if (place == entry->start_count)
        return add_new_start(entry, start);
    struct crash_start known = entry->starts[place];
    remove_start(entry, place);
    join_start(&known, start);
    insert_start(entry, &known);
    return false;
}

/* A later time alone is no news: a time that travels as an age seems later after each hop.
 * \return whether it takes anything back, or is the first */
static bool clear_until(struct crash_entry *entry, uint64_t at)
{
    bool is_news = at && !entry->cleared_at;
    if (at > entry->cleared_at)
        entry->cleared_at = at;
    while (entry->start_count && entry->starts[0].ended_at <= at) {
        remove_start(entry, 0);
        is_news = true;
    }
    return is_news;
}

/* --- the table -----------------------------------------------------------------------------------
 */

static uint64_t prefix_of(const struct request_identity *identity)
{
    uint64_t prefix;
    memcpy(&prefix, identity->bytes, sizeof prefix);
    return prefix;
}

static struct crash_entry *lookup(const struct crash_table *table,
                                  const struct request_identity *identity)
{
    uint64_t prefix = prefix_of(identity);
    for (uint32_t i = 0; i < table->count; i++)
        if (table->prefixes[i] == prefix &&
            request_identity_equal(&table->entries[i].identity, identity))
            return &table->entries[i];
    return NULL;
}

static bool has_less_evidence(const struct crash_entry *entry, const struct crash_entry *than)
{
    if (entry->start_count != than->start_count)
        return entry->start_count < than->start_count;
    return newest_end(entry) < newest_end(than);
}

static struct crash_entry *least_suspect(struct crash_table *table)
{
    struct crash_entry *least = &table->entries[0];
    for (uint32_t i = 1; i < table->count; i++)
        if (has_less_evidence(&table->entries[i], least))
            least = &table->entries[i];
    return least;
}

static struct crash_entry *find_or_add(struct crash_table *table,
                                       const struct request_identity *identity)
{
    struct crash_entry *entry = lookup(table, identity);
    if (entry)
        return entry;
    entry =
        table->count < CRASH_ENTRIES_MOST ? &table->entries[table->count++] : least_suspect(table);
    *entry = (struct crash_entry){.identity = *identity};
    table->prefixes[entry - table->entries] = prefix_of(identity);
    return entry;
}

/* \return the first time at which a start was known to have ended, 0: it is not */
static uint64_t dead_since(const struct crash_table *table, uint64_t start)
{
    uint64_t dead_at = 0;
    for (uint32_t i = 0; i < table->count; i++) {
        const struct crash_entry *entry = &table->entries[i];
        uint32_t place = find_start(entry, start);
        if (place < entry->start_count)
            dead_at = earlier_known(dead_at, entry->starts[place].dead_at);
    }
    return dead_at;
}

uint64_t crash_table_start_of_run(const struct crash_table *table, uint64_t start,
                                  uint64_t began_at)
{
    uint64_t dead_at = dead_since(table, start);
    while (dead_at && dead_at + CRASH_SAME_MOMENT_US < began_at) {
        start = next_start(start);
        dead_at = dead_since(table, start);
    }
    return start;
}

bool crash_table_add(struct crash_table *table, const struct request_identity *identity,
                     const struct crash_start *start)
{
    struct crash_entry *entry = find_or_add(table, identity);
    bool is_new = add_start(entry, start);
    *table->judged_until = 0;
    entry->untold |= is_new;
    return is_new;
}

bool crash_entry_is_of_one_attempt(const struct crash_entry *entry)
{
    for (uint32_t i = 1; i < entry->start_count; i++)
        if (entry->starts[i].attempt != entry->starts[0].attempt)
            return false;
    return true;
}

/* A stream that went on elsewhere did only the rest of its work there: that it ran well says
 * nothing of ends that came after a longer run. One attempt that is done does not come again, and
 * must not make others' ends ambiguous. */
static bool outlasted_all(const struct crash_entry *entry, uint64_t ran_us)
{
    for (uint32_t i = 0; i < entry->start_count; i++) {
        const struct crash_start *start = &entry->starts[i];
        if (!start->began_at || start->ended_at - start->began_at > ran_us)
            return false;
    }
    return true;
}

bool crash_table_clear(struct crash_table *table, const struct request_identity *identity,
                       uint64_t at, uint64_t ran_us)
{
    struct crash_entry *entry = lookup(table, identity);
    if (!entry || !entry->start_count ||
        (ran_us != CRASH_RAN_WHOLE && !crash_entry_is_of_one_attempt(entry) &&
         !outlasted_all(entry, ran_us)))
        return false;
    clear_until(entry, at);
    *table->judged_until = 0;
    entry->untold = true; /* to whom the ends were told */
    return true;
}

bool crash_table_merge(struct crash_table *table, const struct crash_entry *other)
{
    struct crash_entry *entry = find_or_add(table, &other->identity);
    bool changed = clear_until(entry, other->cleared_at);
    *table->judged_until = 0;
    for (uint32_t i = 0; i < other->start_count; i++)
        changed |= add_start(entry, &other->starts[i]);
    if (crash_lease_replaces(&other->lease, &entry->lease)) {
        entry->lease = other->lease;
        changed = true;
    }
    entry->shared |= !other->start_count; /* only of these one tells that they are cleared */
    entry->untold |= changed && entry->shared;
    return changed;
}

/* --- verdicts ------------------------------------------------------------------------------------
 */

/* \return what follows for an entry, or NULL when there is none of the request */
static const struct crash_finding *
find_finding(const struct crash_table *table, const struct request_identity *identity, uint64_t now)
{
    const struct crash_entry *entry = table->count ? lookup(table, identity) : NULL;
    if (!entry || !entry->start_count)
        return NULL;
    if (now >= *table->judged_until)
        *table->judged_until =
            crash_verdict_judge(table->entries, table->count, now, table->findings);
    return &table->findings[entry - table->entries];
}

enum crash_verdict crash_table_judge(const struct crash_table *table,
                                     const struct request_identity *identity, uint64_t now)
{
    const struct crash_finding *finding = find_finding(table, identity, now);
    if (!finding)
        return CRASH_NO_SUSPECT;
    bool lately = now < newest_end(lookup(table, identity)) + CRASH_BLOCK_US;
    return finding->blocked && lately ? CRASH_BLOCKED : CRASH_SUSPECT;
}

bool crash_table_isolates(const struct crash_table *table, const struct request_identity *identity,
                          uint64_t now)
{
    return crash_table_finding(table, identity, now).isolated;
}

struct crash_finding crash_table_finding(const struct crash_table *table,
                                         const struct request_identity *identity, uint64_t now)
{
    const struct crash_finding *finding = find_finding(table, identity, now);
    return finding ? *finding : (struct crash_finding){0};
}

uint64_t crash_table_held_until(const struct crash_table *table,
                                const struct request_identity *identity, uint64_t now)
{
    const struct crash_finding *finding = find_finding(table, identity, now);
    if (!finding || finding->settled)
        return 0;
    return crash_verdict_held_until(finding, newest_end(lookup(table, identity)), now);
}

/* --- leases --------------------------------------------------------------------------------------
 */

/* Nodes that hold the same entries order two requests alike. */
static bool is_more_suspect(const struct crash_table *table, const struct crash_entry *entry,
                            const struct crash_entry *than)
{
    uint32_t unexplained = table->findings[entry - table->entries].unexplained;
    uint32_t other = table->findings[than - table->entries].unexplained;
    if (unexplained != other)
        return unexplained > other;
    return memcmp(&entry->identity, &than->identity, sizeof entry->identity) < 0;
}

struct crash_lease crash_table_lease(struct crash_table *table,
                                     const struct request_identity *identity, uint64_t start,
                                     uint64_t now)
{
    struct crash_entry *entry = lookup(table, identity);
    if (!entry)
        return (struct crash_lease){0};
    if (crash_lease_is_valid(&entry->lease, now) && entry->lease.start == start)
        return entry->lease;
    entry->lease = (struct crash_lease){start, now};
    entry->untold = true;
    return entry->lease;
}

uint32_t crash_table_barred(const struct crash_table *table,
                            const struct request_identity *identity, uint64_t now, uint64_t *starts)
{
    uint32_t count = 0;
    const struct crash_finding *own_finding = find_finding(table, identity, now);
    const struct crash_entry *own = own_finding ? lookup(table, identity) : NULL;
    for (uint32_t i = 0; own && i < table->count && count < CRASH_BARRED_MOST; i++) {
        const struct crash_entry *other = &table->entries[i];
        if (other == own || !table->findings[i].isolated ||
            !crash_lease_is_valid(&other->lease, now))
            continue;
        struct crash_lease lease = own->lease;
        if (lease.start != other->lease.start)
            lease = (struct crash_lease){other->lease.start, now};
        if (!crash_lease_goes_before(&lease, &other->lease, is_more_suspect(table, own, other)))
            starts[count++] = other->lease.start;
    }
    return count;
}

static bool is_over(const struct crash_entry *entry, uint64_t now)
{
    uint64_t newest = newest_end(entry) > entry->cleared_at ? newest_end(entry) : entry->cleared_at;
    return now >= newest + (entry->shared ? CRASH_REMEMBER_US : CRASH_SUSPECT_US);
}

static void remove_entry(struct crash_table *table, uint32_t place)
{
    uint32_t last = --table->count;
    table->entries[place] = table->entries[last];
    table->prefixes[place] = table->prefixes[last];
}

void crash_table_trim(struct crash_table *table, uint64_t now)
{
    for (uint32_t i = table->count; i-- > 0;)
        if (is_over(&table->entries[i], now))
            remove_entry(table, i);
    *table->judged_until = 0;
}

uint32_t crash_table_count(const struct crash_table *table)
{
    return table->count;
}

struct crash_entry *crash_table_at(struct crash_table *table, uint32_t index)
{
    return &table->entries[index];
}

const struct crash_entry *crash_table_find(const struct crash_table *table,
                                           const struct request_identity *identity)
{
    return lookup(table, identity);
}

static uint64_t digest_of_entry(const struct crash_entry *entry, uint64_t now)
{
    uint64_t digest = 0;
    uint64_t identity = hash_bytes(entry->identity.bytes, sizeof entry->identity.bytes);
    for (uint32_t i = 0; i < entry->start_count; i++)
        if (now >= entry->starts[i].ended_at + CRASH_SETTLED_US)
            digest ^= hash_pair(identity, entry->starts[i].start);
    return digest;
}

uint64_t crash_table_digest(const struct crash_table *table, uint64_t now)
{
    uint64_t digest = 0;
    for (uint32_t i = 0; i < table->count; i++)
        if (table->entries[i].start_count > 1)
            digest ^= digest_of_entry(&table->entries[i], now);
    return digest;
}

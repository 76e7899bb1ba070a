#include "core/crash/crash_table.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

struct crash_table {
    struct crash_entry *entries;
    uint32_t count;
    uint64_t *prefixes; /* first bytes of each entry's identity: a lookup scans only these */
    struct crash_finding *findings; /* of each entry, as of the last evaluation */
    /* Time from which an evaluation may give other findings; 0: entries have changed. Allocated,
     * as queries on a const table update it. */
    uint64_t *findings_valid_until;
    struct sound_parts *sound_parts;
};

struct crash_table *crash_table_create(void)
{
    struct crash_table *table = memory_calloc(1, sizeof *table);
    table->entries = memory_calloc(CRASH_MAX_ENTRIES, sizeof *table->entries);
    table->prefixes = memory_calloc(CRASH_MAX_ENTRIES, sizeof *table->prefixes);
    table->findings = memory_calloc(CRASH_MAX_ENTRIES, sizeof *table->findings);
    table->findings_valid_until = memory_calloc(1, sizeof *table->findings_valid_until);
    table->sound_parts = memory_calloc(1, sizeof *table->sound_parts);
    return table;
}

void crash_table_destroy(struct crash_table *table)
{
    free(table->entries);
    free(table->prefixes);
    free(table->findings);
    free(table->findings_valid_until);
    free(table->sound_parts);
    free(table);
}

const char *crash_verdict_name(enum crash_verdict verdict)
{
    static const char *const names[] = {[CRASH_VERDICT_NONE] = "none",
                                        [CRASH_VERDICT_SUSPECT] = "suspect",
                                        [CRASH_VERDICT_BLOCKED] = "blocked"};
    return names[verdict];
}

/* --- the table -------------------------------------------------------------------------------- */

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
    if (entry->crash_count != than->crash_count)
        return entry->crash_count < than->crash_count;
    return crash_entry_latest_at(entry) < crash_entry_latest_at(than);
}

static struct crash_entry *find_least_evidence(struct crash_table *table)
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
    entry = table->count < CRASH_MAX_ENTRIES ? &table->entries[table->count++]
                                             : find_least_evidence(table);
    *entry = (struct crash_entry){.identity = *identity};
    table->prefixes[entry - table->entries] = prefix_of(identity);
    return entry;
}

/* Key of the incarnation after the given one, for as long as its start time is not reported. */
static uint64_t next_incarnation(uint64_t incarnation)
{
    return hash_pair(incarnation, 1);
}

/* \return when any node first knew of the crash of an incarnation; 0: no crash is known */
static uint64_t crash_detected_at(const struct crash_table *table, uint64_t incarnation)
{
    uint64_t detected_at = 0;
    for (uint32_t i = 0; i < table->count; i++) {
        const struct crash_entry *entry = &table->entries[i];
        uint32_t index = crash_entry_find(entry, incarnation);
        if (index < entry->crash_count)
            detected_at = crash_earlier_known(detected_at, entry->crashes[index].detected_at);
    }
    return detected_at;
}

uint64_t crash_table_incarnation_of_run(const struct crash_table *table, uint64_t incarnation,
                                        uint64_t began_at)
{
    uint64_t detected_at = crash_detected_at(table, incarnation);
    while (detected_at && detected_at + CRASH_SIMULTANEOUS_US < began_at) {
        incarnation = next_incarnation(incarnation);
        detected_at = crash_detected_at(table, incarnation);
    }
    return incarnation;
}

bool crash_table_add(struct crash_table *table, const struct request_identity *identity,
                     const struct crash_event *crash)
{
    struct crash_entry *entry = find_or_add(table, identity);
    bool is_new = crash_entry_add(entry, crash);
    *table->findings_valid_until = 0;
    entry->is_dirty |= is_new;
    return is_new;
}

static void set_part(struct crash_entry *entry, uint64_t id, uint32_t position)
{
    entry->is_part = true;
    entry->part_id = id;
    if (position > entry->position)
        entry->position = position;
}

bool crash_table_add_part(struct crash_table *table, const struct prompt_part *part,
                          const struct crash_event *crash)
{
    uint64_t sound_at = sound_parts_last(table->sound_parts, &part->identity);
    if (sound_at && crash->ended_at < sound_at + CRASH_PART_SOUND_FOR_US)
        return false;
    struct crash_entry *entry = find_or_add(table, &part->identity);
    set_part(entry, part->id, part->position);
    crash_entry_clear_until(entry, sound_at);
    return crash_table_add(table, &part->identity, crash);
}

bool crash_table_record_sound_part(struct crash_table *table, const struct request_identity *part,
                                   uint64_t at)
{
    sound_parts_record(table->sound_parts, part, at);
    return crash_table_record_success(table, part, at, CRASH_FULL_RUN);
}

/* The last run of a resumed stream does only the rest of its work, so its success says nothing
 * about crashes that followed a longer run. */
static bool outlasted_crashed_runs(const struct crash_entry *entry, uint64_t ran_us)
{
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        const struct crash_event *crash = &entry->crashes[i];
        if (!crash->began_at || crash->ended_at - crash->began_at > ran_us)
            return false;
    }
    return true;
}

bool crash_table_record_success(struct crash_table *table, const struct request_identity *identity,
                                uint64_t at, uint64_t ran_us)
{
    struct crash_entry *entry = lookup(table, identity);
    /* A single attempt is cleared even by a short last run: it is complete and does not run again,
     * and must not make crashes of other requests ambiguous. */
    if (!entry || !entry->crash_count ||
        (ran_us != CRASH_FULL_RUN && !crash_entry_has_single_attempt(entry) &&
         !outlasted_crashed_runs(entry, ran_us)))
        return false;
    crash_entry_clear_until(entry, at);
    *table->findings_valid_until = 0;
    entry->is_dirty = true; /* nodes that know of the crashes must learn of the success */
    return true;
}

/* Takes into account what this node knows of a part that others hold crashes against.
 * \return whether that is news to them */
static bool merge_own_knowledge(struct crash_table *table, struct crash_entry *entry)
{
    uint32_t crashes = entry->crash_count;
    uint64_t sound_at = sound_parts_last(table->sound_parts, &entry->identity);
    bool changed = crash_entry_clear_until(entry, sound_at);
    bool is_news = entry->crash_count < crashes || (changed && entry->shared);
    entry->is_dirty |= is_news;
    return is_news;
}

bool crash_table_merge(struct crash_table *table, const struct crash_entry *other)
{
    struct crash_entry *entry = find_or_add(table, &other->identity);
    bool changed = crash_entry_clear_until(entry, other->cleared_at);
    *table->findings_valid_until = 0;
    if (other->is_part)
        set_part(entry, other->part_id, other->position);
    for (uint32_t i = 0; i < other->crash_count; i++)
        changed |= crash_entry_add(entry, &other->crashes[i]);
    if (crash_lease_replaces(&other->lease, &entry->lease)) {
        entry->lease = other->lease;
        changed = true;
    }
    entry->shared |= other->shared;
    entry->is_dirty |= changed && entry->shared;
    if (entry->is_part)
        changed |= merge_own_knowledge(table, entry);
    return changed;
}

/* --- verdicts --------------------------------------------------------------------------------- */

/* \return the finding for a request, or NULL when it has no entry */
static const struct crash_finding *
find_finding(const struct crash_table *table, const struct request_identity *identity, uint64_t now)
{
    const struct crash_entry *entry = table->count ? lookup(table, identity) : NULL;
    if (!entry || !entry->crash_count)
        return NULL;
    if (now >= *table->findings_valid_until)
        *table->findings_valid_until =
            crash_verdict_evaluate(table->entries, table->count, now, table->findings);
    return &table->findings[entry - table->entries];
}

enum crash_verdict crash_table_verdict(const struct crash_table *table,
                                       const struct request_identity *identity, uint64_t now)
{
    const struct crash_finding *finding = find_finding(table, identity, now);
    if (!finding)
        return CRASH_VERDICT_NONE;
    bool is_recent = now < crash_entry_latest_at(lookup(table, identity)) + CRASH_BLOCK_DURATION_US;
    return finding->blocked && is_recent ? CRASH_VERDICT_BLOCKED : CRASH_VERDICT_SUSPECT;
}

bool crash_table_requires_isolation(const struct crash_table *table,
                                    const struct request_identity *identity, uint64_t now)
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
    const struct crash_entry *entry = lookup(table, identity);
    if (entry->is_part) /* further requests with it show sooner than a hold ends what it is */
        return 0;
    return crash_verdict_held_until(finding, crash_entry_latest_at(entry), now);
}

/* --- leases ----------------------------------------------------------------------------------- */

/* Breaks ties by identity, so that all nodes that hold the same entries agree. */
static bool is_more_suspect(const struct crash_table *table, const struct crash_entry *entry,
                            const struct crash_entry *than)
{
    uint32_t unexplained = table->findings[entry - table->entries].unexplained;
    uint32_t other = table->findings[than - table->entries].unexplained;
    if (unexplained != other)
        return unexplained > other;
    return memcmp(&entry->identity, &than->identity, sizeof entry->identity) < 0;
}

struct crash_lease crash_table_acquire_lease(struct crash_table *table,
                                             const struct request_identity *identity,
                                             uint64_t incarnation, uint64_t now)
{
    struct crash_entry *entry = lookup(table, identity);
    if (!entry)
        return (struct crash_lease){0};
    if (crash_lease_is_valid(&entry->lease, now) && entry->lease.incarnation == incarnation)
        return entry->lease;
    entry->lease = (struct crash_lease){incarnation, now};
    entry->is_dirty = true;
    return entry->lease;
}

uint32_t crash_table_leased_to_others(const struct crash_table *table,
                                      const struct request_identity *identity, uint64_t now,
                                      uint64_t *incarnations)
{
    uint32_t count = 0;
    const struct crash_finding *own_finding = find_finding(table, identity, now);
    const struct crash_entry *own = own_finding ? lookup(table, identity) : NULL;
    for (uint32_t i = 0; own && i < table->count && count < CRASH_MAX_LEASED_INCARNATIONS; i++) {
        const struct crash_entry *other = &table->entries[i];
        if (other == own || !table->findings[i].isolated ||
            !crash_lease_is_valid(&other->lease, now))
            continue;
        struct crash_lease lease = own->lease;
        if (lease.incarnation != other->lease.incarnation)
            lease = (struct crash_lease){other->lease.incarnation, now};
        if (!crash_lease_takes_precedence(&lease, &other->lease,
                                          is_more_suspect(table, own, other)))
            incarnations[count++] = other->lease.incarnation;
    }
    return count;
}

static bool is_expired(const struct crash_entry *entry, uint64_t now)
{
    uint64_t newest = crash_entry_latest_at(entry) > entry->cleared_at
                          ? crash_entry_latest_at(entry)
                          : entry->cleared_at;
    return now >= newest + (entry->shared ? CRASH_SHARED_TTL_US : CRASH_SINGLE_TTL_US);
}

static void remove_entry(struct crash_table *table, uint32_t index)
{
    uint32_t last = --table->count;
    table->entries[index] = table->entries[last];
    table->prefixes[index] = table->prefixes[last];
}

void crash_table_trim(struct crash_table *table, uint64_t now)
{
    for (uint32_t i = table->count; i-- > 0;)
        if (is_expired(&table->entries[i], now))
            remove_entry(table, i);
    *table->findings_valid_until = 0;
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

/* Nodes may hold different ones of the simultaneous crashes of a part; what matters is that all
 * hold those that may block it. */
static uint64_t digest_of_part(const struct crash_entry *entry, uint64_t identity, uint64_t now)
{
    uint32_t needed = CRASHES_TO_BLOCK_PART;
    bool is_known = entry->crash_count >= needed &&
                    now >= entry->crashes[needed - 1].ended_at + CRASH_DIGEST_DELAY_US;
    return is_known ? identity : 0;
}

static uint64_t digest_of_entry(const struct crash_entry *entry, uint64_t now)
{
    uint64_t digest = 0;
    uint64_t identity = hash_bytes(entry->identity.bytes, sizeof entry->identity.bytes);
    if (entry->is_part)
        return digest_of_part(entry, identity, now);
    for (uint32_t i = 0; i < entry->crash_count; i++)
        if (now >= entry->crashes[i].ended_at + CRASH_DIGEST_DELAY_US)
            digest ^= hash_pair(identity, entry->crashes[i].incarnation);
    return digest;
}

uint64_t crash_table_digest(const struct crash_table *table, uint64_t now)
{
    uint64_t digest = 0;
    for (uint32_t i = 0; i < table->count; i++)
        if (table->entries[i].crash_count > 1)
            digest ^= digest_of_entry(&table->entries[i], now);
    return digest;
}

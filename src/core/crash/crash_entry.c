#include "core/crash/crash_entry.h"

#include "core/hash.h"

#include <string.h>

uint64_t crash_incarnation_key(const char *backend_id, uint64_t born)
{
    return hash_pair(hash_name(backend_id), born);
}

uint32_t crash_attempt_key(const char *request_id)
{
    return (uint32_t)hash_name(request_id);
}

uint32_t crash_request_key(const struct request_identity *identity)
{
    return (uint32_t)hash_bytes(identity->bytes, sizeof identity->bytes);
}

uint64_t crash_entry_latest_at(const struct crash_entry *entry)
{
    return entry->crash_count ? entry->crashes[entry->crash_count - 1].ended_at : 0;
}

uint32_t crash_entry_distinct_crashes_except(const struct crash_entry *entry,
                                             const bool without[CRASH_MAX_EVENTS])
{
    uint32_t count = 0;
    uint64_t counted_at = 0;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        uint64_t ended_at = entry->crashes[i].ended_at;
        if (without[i])
            continue;
        if (count && ended_at < counted_at + CRASH_SIMULTANEOUS_US)
            continue;
        counted_at = ended_at;
        count++;
    }
    return count;
}

uint32_t crash_entry_distinct_crashes(const struct crash_entry *entry)
{
    static const bool none[CRASH_MAX_EVENTS];
    return crash_entry_distinct_crashes_except(entry, none);
}

uint64_t crash_entry_settled_at(const struct crash_entry *entry)
{
    return crash_entry_latest_at(entry) + CRASH_PROPAGATION_US;
}

static void remove_crash(struct crash_entry *entry, uint32_t index)
{
    entry->crash_count--;
    memmove(&entry->crashes[index], &entry->crashes[index + 1],
            (entry->crash_count - index) * sizeof entry->crashes[0]);
}

static void insert_crash(struct crash_entry *entry, const struct crash_event *crash)
{
    if (entry->crash_count == CRASH_MAX_EVENTS)
        remove_crash(entry, 0);
    uint32_t index = entry->crash_count++;
    while (index && entry->crashes[index - 1].ended_at > crash->ended_at) {
        entry->crashes[index] = entry->crashes[index - 1];
        index--;
    }
    entry->crashes[index] = *crash;
}

uint32_t crash_entry_find(const struct crash_entry *entry, uint64_t incarnation)
{
    uint32_t index = 0;
    while (index < entry->crash_count && entry->crashes[index].incarnation != incarnation)
        index++;
    return index;
}

uint64_t crash_earlier_known(uint64_t left, uint64_t right)
{
    if (!left || !right)
        return left ? left : right;
    return left < right ? left : right;
}

/* Merges what two nodes observed of one crash. */
static void merge_crash(struct crash_event *known, const struct crash_event *other)
{
    if (other->ended_at < known->ended_at)
        known->ended_at = other->ended_at;
    known->detected_at = crash_earlier_known(known->detected_at, other->detected_at);
    known->began_at = crash_earlier_known(known->began_at, other->began_at);
}

/* \return whether a part has enough crashes of that moment: further ones would tell nothing more,
 * and push each other out of the entries of different nodes, which would tell each other for ever
 */
static bool has_crashes_of_moment(const struct crash_entry *entry, uint64_t ended_at)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        uint64_t other = entry->crashes[i].ended_at;
        count += ended_at < other + CRASH_PART_SIMULTANEOUS_US &&
                 other < ended_at + CRASH_PART_SIMULTANEOUS_US;
    }
    return entry->is_part && count >= CRASH_PART_SIMULTANEOUS_KEPT;
}

/* Crashes of one moment do not make a part a matter of all gateways: many requests share it. */
static bool is_shared_by_crashes(const struct crash_entry *entry)
{
    uint64_t first = entry->crashes[0].ended_at;
    return entry->crash_count > 1 &&
           (!entry->is_part || crash_entry_latest_at(entry) >= first + CRASH_PART_SIMULTANEOUS_US);
}

static bool add_new_crash(struct crash_entry *entry, const struct crash_event *crash)
{
    if (has_crashes_of_moment(entry, crash->ended_at))
        return false;
    bool full = entry->crash_count == CRASH_MAX_EVENTS;
    if (full && crash->ended_at <= entry->crashes[0].ended_at)
        return false;
    insert_crash(entry, crash);
    entry->shared |= is_shared_by_crashes(entry);
    return true;
}

bool crash_entry_add(struct crash_entry *entry, const struct crash_event *crash)
{
    if (crash->ended_at <= entry->cleared_at)
        return false;
    uint32_t index = crash_entry_find(entry, crash->incarnation);
    if (index == entry->crash_count)
        return add_new_crash(entry, crash);
    struct crash_event known = entry->crashes[index];
    remove_crash(entry, index);
    merge_crash(&known, crash);
    insert_crash(entry, &known);
    return false;
}

/* A later time alone does not count as a change: times are sent as ages, so they move later with
 * each hop, and nodes would resend them forever. */
bool crash_entry_clear_until(struct crash_entry *entry, uint64_t at)
{
    bool changed = at && !entry->cleared_at;
    if (at > entry->cleared_at)
        entry->cleared_at = at;
    while (entry->crash_count && entry->crashes[0].ended_at <= at) {
        remove_crash(entry, 0);
        changed = true;
    }
    return changed;
}

bool crash_entry_has_single_attempt(const struct crash_entry *entry)
{
    for (uint32_t i = 1; i < entry->crash_count; i++)
        if (entry->crashes[i].attempt != entry->crashes[0].attempt)
            return false;
    return true;
}

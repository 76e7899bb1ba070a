#include "cluster/crash_sync.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/crash/crash_spread.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Requests per message, about 2.5 kB. */
#define MAX_SUSPECTS_PER_MESSAGE 24
/** Minimum time between two replies to differing digests: 24 requests, 4 times a second, take at
 *  most 10 kB/s. It doubles with each reply to the same difference, up to the maximum. */
#define REPAIR_INTERVAL_US ((uint64_t)250000)
#define MAX_REPAIR_INTERVAL_US ((uint64_t)8000000)
/** Such a reply also contains entries whose last crash is younger than this, even those with a
 *  single crash. */
#define RECENT_CRASH_US ((uint64_t)10000000)
/** Messages to a gateway process that has just begun, at most. */
#define MAX_RECENT_MESSAGES 4
/** Time for which a computed digest is reused. Crashes enter it only after 0.5 s
 *  (CRASH_DIGEST_DELAY_US), so it is not needed sooner. */
#define DIGEST_CACHE_US ((uint64_t)100000)

struct crash_sync {
    struct cluster *cluster;
    struct crash_table *table;
    uint64_t next_repair_at;
    uint64_t repair_interval;
    uint64_t last_difference; /* XOR of the digests at the last reply */
    uint32_t repair_position; /* table index of the last entry considered for a reply */
    uint64_t digest;          /* of the table, computed at `digest_at` */
    uint64_t digest_at;
};

/** A message with crash entries, and the memory that it points into. */
struct suspects_message {
    Shuntrun__MemberMessage message;
    Shuntrun__CrashSuspect suspects[MAX_SUSPECTS_PER_MESSAGE];
    Shuntrun__CrashSuspect *suspect_pointers[MAX_SUSPECTS_PER_MESSAGE];
    Shuntrun__CrashStart starts[MAX_SUSPECTS_PER_MESSAGE][CRASH_MAX_EVENTS];
    Shuntrun__CrashStart *start_pointers[MAX_SUSPECTS_PER_MESSAGE][CRASH_MAX_EVENTS];
};

struct crash_sync *crash_sync_create(struct cluster *cluster)
{
    struct crash_sync *sync = memory_calloc(1, sizeof *sync);
    sync->cluster = cluster;
    sync->table = crash_table_create();
    return sync;
}

struct crash_table *crash_sync_table(const struct crash_sync *sync)
{
    return sync->table;
}

uint64_t crash_sync_digest(struct crash_sync *sync)
{
    uint64_t now = cluster_now();
    if (now >= sync->digest_at + DIGEST_CACHE_US) {
        sync->digest = crash_table_digest(sync->table, now);
        sync->digest_at = now;
    }
    return sync->digest;
}

void crash_sync_trim(struct crash_sync *sync, uint64_t now)
{
    crash_table_trim(sync->table, now);
    metric_gauge_set(METRIC_SUSPECTS, crash_table_count(sync->table));
}

/* --- sending --- */

static uint64_t age_ms(uint64_t time, uint64_t now)
{
    return now > time ? (now - time) / 1000 : 0;
}

static void init_message(struct suspects_message *out)
{
    shuntrun__member_message__init(&out->message);
    out->message.suspects = out->suspect_pointers;
}

static void add_entry(struct suspects_message *out, struct crash_entry *entry, uint64_t now)
{
    size_t index = out->message.n_suspects++;
    Shuntrun__CrashSuspect *suspect = &out->suspects[index];
    shuntrun__crash_suspect__init(suspect);
    suspect->identity.data = entry->identity.bytes;
    suspect->identity.len = sizeof entry->identity.bytes;
    suspect->cleared_age_ms = entry->cleared_at ? age_ms(entry->cleared_at, now) + 1 : 0;
    suspect->lease_start = entry->lease.incarnation;
    suspect->lease_age_ms = entry->lease.incarnation ? age_ms(entry->lease.since, now) : 0;
    suspect->is_part = entry->is_part;
    suspect->part_id = entry->part_id;
    suspect->part_position = entry->position;
    suspect->shared = entry->shared;
    suspect->starts = out->start_pointers[index];
    suspect->n_starts = entry->crash_count;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        Shuntrun__CrashStart *start = &out->starts[index][i];
        shuntrun__crash_start__init(start);
        start->start = entry->crashes[i].incarnation;
        start->attempt = entry->crashes[i].attempt;
        start->age_ms = age_ms(entry->crashes[i].ended_at, now);
        start->ran_ms = entry->crashes[i].began_at
                            ? age_ms(entry->crashes[i].began_at, entry->crashes[i].ended_at)
                            : 0;
        start->dead_ms = entry->crashes[i].detected_at
                             ? age_ms(entry->crashes[i].ended_at, entry->crashes[i].detected_at) + 1
                             : 0;
        out->start_pointers[index][i] = start;
    }
    out->suspect_pointers[index] = suspect;
}

/* Messages being filled, one per receiver. */
struct outbox {
    struct outgoing {
        uint32_t address;
        struct suspects_message message;
    } * items;
    uint32_t count;
};

static void send_outgoing(struct crash_sync *sync, struct outgoing *outgoing)
{
    cluster_send(sync->cluster, outgoing->address, &outgoing->message.message);
    init_message(&outgoing->message);
}

static struct outgoing *outgoing_for(struct outbox *outbox, uint32_t address)
{
    for (uint32_t i = 0; i < outbox->count; i++)
        if (outbox->items[i].address == address)
            return &outbox->items[i];
    struct outgoing *outgoing = &outbox->items[outbox->count++];
    outgoing->address = address;
    init_message(&outgoing->message);
    return outgoing;
}

static void queue_entry(struct crash_sync *sync, struct crash_entry *entry, struct outbox *outbox,
                        uint64_t now)
{
    struct crash_receivers receivers;
    crash_spread_receivers(sync->cluster->membership, entry, &sync->cluster->random, &receivers);
    entry->is_dirty = false;
    for (uint32_t i = 0; i < receivers.count; i++) {
        struct outgoing *outgoing = outgoing_for(outbox, receivers.addresses[i]);
        add_entry(&outgoing->message, entry, now);
        if (outgoing->message.message.n_suspects == MAX_SUSPECTS_PER_MESSAGE)
            send_outgoing(sync, outgoing);
    }
}

void crash_sync_send_updates(struct crash_sync *sync)
{
    uint64_t now = cluster_now();
    struct outbox outbox = {0};
    for (uint32_t i = 0; i < crash_table_count(sync->table); i++) {
        struct crash_entry *entry = crash_table_at(sync->table, i);
        if (!entry->is_dirty)
            continue;
        if (!outbox.items)
            outbox.items = memory_calloc(membership_count(sync->cluster->membership) + 1,
                                         sizeof *outbox.items);
        queue_entry(sync, entry, &outbox, now);
    }
    for (uint32_t i = 0; i < outbox.count; i++)
        if (outbox.items[i].message.message.n_suspects)
            send_outgoing(sync, &outbox.items[i]);
    free(outbox.items);
}

/* Recent crashes are repeated: a node that was paused, or was declared dead, has missed them. */
static bool has_recent_crash(const struct crash_entry *entry, uint64_t now)
{
    return entry->crash_count &&
           now < entry->crashes[entry->crash_count - 1].ended_at + RECENT_CRASH_US;
}

/* Sends one message of entries; the next one continues behind the last entry of this one. */
static void send_shared(struct crash_sync *sync, uint32_t address, uint64_t now)
{
    struct suspects_message out;
    uint32_t count = crash_table_count(sync->table);
    init_message(&out);
    for (uint32_t i = 0; i < count && out.message.n_suspects < MAX_SUSPECTS_PER_MESSAGE; i++) {
        sync->repair_position = (sync->repair_position + 1) % count;
        struct crash_entry *entry = crash_table_at(sync->table, sync->repair_position);
        if (entry->shared || has_recent_crash(entry, now))
            add_entry(&out, entry, now);
    }
    if (out.message.n_suspects)
        cluster_send(sync->cluster, address, &out.message);
}

void crash_sync_send_recent(struct crash_sync *sync, uint32_t address)
{
    struct suspects_message out;
    uint64_t now = cluster_now();
    uint32_t messages = 0;
    init_message(&out);
    for (uint32_t i = 0; i < crash_table_count(sync->table); i++) {
        struct crash_entry *entry = crash_table_at(sync->table, i);
        if (!has_recent_crash(entry, now))
            continue;
        add_entry(&out, entry, now);
        if (out.message.n_suspects < MAX_SUSPECTS_PER_MESSAGE)
            continue;
        cluster_send(sync->cluster, address, &out.message);
        init_message(&out);
        if (++messages == MAX_RECENT_MESSAGES)
            return;
    }
    if (out.message.n_suspects)
        cluster_send(sync->cluster, address, &out.message);
}

/* Replies to a gateway whose digest differs. A loader holds only the entries that it is a replica
 * of, so it replies only to a gateway without any entries, as after the loss of all gateways. */
static void repair(struct crash_sync *sync, const Shuntrun__MemberNews *sender, uint64_t digest,
                   uint64_t now)
{
    uint64_t difference = digest ^ crash_table_digest(sync->table, now);
    bool is_loader = membership_self(sync->cluster->membership)->role == MEMBER_LOADER;
    if (!difference || sender->role != MEMBER_GATEWAY || (is_loader && digest) ||
        now < sync->next_repair_at)
        return;
    uint64_t wait =
        difference == sync->last_difference ? 2 * sync->repair_interval : REPAIR_INTERVAL_US;
    sync->last_difference = difference;
    sync->repair_interval = wait < MAX_REPAIR_INTERVAL_US ? wait : MAX_REPAIR_INTERVAL_US;
    sync->next_repair_at = now + sync->repair_interval;
    send_shared(sync, sender->address, now);
}

/* --- receiving --- */

static uint64_t time_of_age(uint64_t age, uint64_t now)
{
    return now / 1000 > age ? now - age * 1000 : 1;
}

static struct crash_event read_crash(const Shuntrun__CrashStart *start, uint64_t now)
{
    uint64_t ended_at = time_of_age(start->age_ms, now);
    return (struct crash_event){
        .incarnation = start->start,
        .ended_at = ended_at,
        .attempt = start->attempt,
        .began_at = start->ran_ms ? time_of_age(start->ran_ms, ended_at) : 0,
        .detected_at = start->dead_ms ? ended_at + start->dead_ms * 1000 : 0,
    };
}

/* \return whether the entry could be decoded */
static bool read_suspect(const Shuntrun__CrashSuspect *suspect, uint64_t now,
                         struct crash_entry *entry)
{
    *entry = (struct crash_entry){0};
    if (suspect->identity.len != sizeof entry->identity.bytes)
        return false;
    memcpy(entry->identity.bytes, suspect->identity.data, sizeof entry->identity.bytes);
    entry->is_part = suspect->is_part;
    entry->part_id = suspect->part_id;
    entry->position = suspect->part_position;
    entry->shared = suspect->shared;
    if (suspect->cleared_age_ms)
        entry->cleared_at = time_of_age(suspect->cleared_age_ms - 1, now);
    if (suspect->lease_start)
        entry->lease =
            (struct crash_lease){suspect->lease_start, time_of_age(suspect->lease_age_ms, now)};
    for (size_t i = 0; i < suspect->n_starts && i < CRASH_MAX_EVENTS; i++)
        entry->crashes[entry->crash_count++] = read_crash(suspect->starts[i], now);
    return true;
}

static void log_learned(const struct crash_sync *sync, const struct crash_entry *received,
                        uint32_t sender, uint64_t now)
{
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    const struct crash_entry *entry = crash_table_find(sync->table, &received->identity);
    bool blocked =
        crash_table_verdict(sync->table, &received->identity, now) == CRASH_VERDICT_BLOCKED;
    request_identity_to_hex(&received->identity, identity);
    log_event(LOG_LEVEL_INFO, "crash", "learned", "identity=%s starts=%u peer=%08x outcome=%s",
              identity, entry->crash_count, sender, blocked ? "blocked" : "suspect");
}

/* \return whether any of the entries contained new evidence */
static bool merge_suspects(struct crash_sync *sync, const Shuntrun__MemberMessage *message,
                           uint32_t sender, uint64_t now)
{
    bool changed = false;
    for (size_t i = 0; i < message->n_suspects; i++) {
        struct crash_entry entry;
        if (!read_suspect(message->suspects[i], now, &entry)) {
            log_event(LOG_LEVEL_WARN, "crash", "unreadable", "peer=%08x identity_bytes=%zu", sender,
                      message->suspects[i]->identity.len);
            continue;
        }
        if (!crash_table_merge(sync->table, &entry))
            continue;
        changed = true;
        if (entry.crash_count > 1)
            log_learned(sync, &entry, sender, now);
    }
    return changed;
}

void crash_sync_receive(struct crash_sync *sync, const Shuntrun__MemberMessage *message,
                        uint32_t sender, uint64_t now)
{
    if (merge_suspects(sync, message, sender, now)) {
        crash_sync_send_updates(sync);
        if (sync->cluster->callbacks.suspects_changed)
            sync->cluster->callbacks.suspects_changed(sync->cluster->callbacks.context);
    }
    if (message->sender && message->sender->address == sender)
        repair(sync, message->sender, message->suspects_digest, now);
}

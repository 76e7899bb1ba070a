#include "cluster/crash_sync.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/crash_spread.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Requests in one message: some 2.5 kB. */
#define SUSPECTS_MOST 24
/** Time between two answers to digests that differ: 24 requests, 4 times a second, are at most
 *  10 kB/s. While the same digests go on to differ, each wait is twice the last one. */
#define REPAIR_US ((uint64_t)250000)
#define REPAIR_MOST_US ((uint64_t)8000000)
/** Ends that are younger are told in such an answer, also those of requests with one end. */
#define RECENT_US ((uint64_t)10000000)
/** Messages carry the same digest for so long: an end counts in it after 0.5 s only. */
#define DIGEST_FOR_US ((uint64_t)100000)

struct crash_sync {
    struct cluster *cluster;
    struct crash_table *table;
    uint64_t next_repair;
    uint64_t repair_wait;
    uint64_t repaired;     /* the difference of digests that was answered last */
    uint32_t repair_place; /* in the table: the next answer goes on from there */
    uint64_t digest;       /* of the table at `digest_at` */
    uint64_t digest_at;
};

/** Entries in the form of a message. */
struct suspects_message {
    Shuntrun__MemberMessage message;
    Shuntrun__CrashSuspect suspects[SUSPECTS_MOST];
    Shuntrun__CrashSuspect *suspect_pointers[SUSPECTS_MOST];
    Shuntrun__CrashStart starts[SUSPECTS_MOST][CRASH_MAX_EVENTS];
    Shuntrun__CrashStart *start_pointers[SUSPECTS_MOST][CRASH_MAX_EVENTS];
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
    if (now >= sync->digest_at + DIGEST_FOR_US) {
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

/* --- out -----------------------------------------------------------------------------------------
 */

static uint64_t age_ms(uint64_t time, uint64_t now)
{
    return now > time ? (now - time) / 1000 : 0;
}

static void begin_message(struct suspects_message *out)
{
    shuntrun__member_message__init(&out->message);
    out->message.suspects = out->suspect_pointers;
}

static void add_entry(struct suspects_message *out, struct crash_entry *entry, uint64_t now)
{
    size_t place = out->message.n_suspects++;
    Shuntrun__CrashSuspect *suspect = &out->suspects[place];
    shuntrun__crash_suspect__init(suspect);
    suspect->identity.data = entry->identity.bytes;
    suspect->identity.len = sizeof entry->identity.bytes;
    suspect->cleared_age_ms = entry->cleared_at ? age_ms(entry->cleared_at, now) + 1 : 0;
    suspect->lease_start = entry->lease.incarnation;
    suspect->lease_age_ms = entry->lease.incarnation ? age_ms(entry->lease.since, now) : 0;
    suspect->starts = out->start_pointers[place];
    suspect->n_starts = entry->crash_count;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        Shuntrun__CrashStart *start = &out->starts[place][i];
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
        out->start_pointers[place][i] = start;
    }
    out->suspect_pointers[place] = suspect;
}

/* Messages under way, one for each node that is told something. */
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
    begin_message(&outgoing->message);
}

static struct outgoing *outgoing_to(struct outbox *outbox, uint32_t address)
{
    for (uint32_t i = 0; i < outbox->count; i++)
        if (outbox->items[i].address == address)
            return &outbox->items[i];
    struct outgoing *outgoing = &outbox->items[outbox->count++];
    outgoing->address = address;
    begin_message(&outgoing->message);
    return outgoing;
}

static void tell_entry(struct crash_sync *sync, struct crash_entry *entry, struct outbox *outbox,
                       uint64_t now)
{
    struct crash_receivers receivers;
    crash_spread_receivers(sync->cluster->membership, entry, &sync->cluster->random, &receivers);
    entry->is_dirty = false;
    for (uint32_t i = 0; i < receivers.count; i++) {
        struct outgoing *outgoing = outgoing_to(outbox, receivers.addresses[i]);
        add_entry(&outgoing->message, entry, now);
        if (outgoing->message.message.n_suspects == SUSPECTS_MOST)
            send_outgoing(sync, outgoing);
    }
}

void crash_sync_tell(struct crash_sync *sync)
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
        tell_entry(sync, entry, &outbox, now);
    }
    for (uint32_t i = 0; i < outbox.count; i++)
        if (outbox.items[i].message.message.n_suspects)
            send_outgoing(sync, &outbox.items[i]);
    free(outbox.items);
}

/* Whoever stood still, or was held for dead, was not told of it. */
static bool is_recent(const struct crash_entry *entry, uint64_t now)
{
    return entry->crash_count && now < entry->crashes[entry->crash_count - 1].ended_at + RECENT_US;
}

/* What one message has no room for goes into the next one. */
static void send_shared(struct crash_sync *sync, uint32_t address, uint64_t now)
{
    struct suspects_message out;
    uint32_t count = crash_table_count(sync->table);
    begin_message(&out);
    for (uint32_t i = 0; i < count && out.message.n_suspects < SUSPECTS_MOST; i++) {
        sync->repair_place = (sync->repair_place + 1) % count;
        struct crash_entry *entry = crash_table_at(sync->table, sync->repair_place);
        if (entry->shared || is_recent(entry, now))
            add_entry(&out, entry, now);
    }
    if (out.message.n_suspects)
        cluster_send(sync->cluster, address, &out.message);
}

/* Another gateway holds something else. Loaders keep only what they are homes of: they answer a
 * gateway that knows nothing at all, as after the loss of all of them. */
static void repair(struct crash_sync *sync, const Shuntrun__MemberNews *sender, uint64_t digest,
                   uint64_t now)
{
    uint64_t difference = digest ^ crash_table_digest(sync->table, now);
    bool is_loader = membership_self(sync->cluster->membership)->role == MEMBER_LOADER;
    if (!difference || sender->role != MEMBER_GATEWAY || (is_loader && digest) ||
        now < sync->next_repair)
        return;
    uint64_t wait = difference == sync->repaired ? 2 * sync->repair_wait : REPAIR_US;
    sync->repaired = difference;
    sync->repair_wait = wait < REPAIR_MOST_US ? wait : REPAIR_MOST_US;
    sync->next_repair = now + sync->repair_wait;
    send_shared(sync, sender->address, now);
}

/* --- in ------------------------------------------------------------------------------------------
 */

static uint64_t time_of_age(uint64_t age, uint64_t now)
{
    return now / 1000 > age ? now - age * 1000 : 1;
}

static struct crash_event read_start(const Shuntrun__CrashStart *start, uint64_t now)
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

/* \return whether it could be decoded */
static bool read_suspect(const Shuntrun__CrashSuspect *suspect, uint64_t now,
                         struct crash_entry *entry)
{
    *entry = (struct crash_entry){0};
    if (suspect->identity.len != sizeof entry->identity.bytes)
        return false;
    memcpy(entry->identity.bytes, suspect->identity.data, sizeof entry->identity.bytes);
    if (suspect->cleared_age_ms)
        entry->cleared_at = time_of_age(suspect->cleared_age_ms - 1, now);
    if (suspect->lease_start)
        entry->lease =
            (struct crash_lease){suspect->lease_start, time_of_age(suspect->lease_age_ms, now)};
    for (size_t i = 0; i < suspect->n_starts && i < CRASH_MAX_EVENTS; i++)
        entry->crashes[entry->crash_count++] = read_start(suspect->starts[i], now);
    return true;
}

static void log_learned(const struct crash_sync *sync, const struct crash_entry *told,
                        uint32_t sender, uint64_t now)
{
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    const struct crash_entry *entry = crash_table_find(sync->table, &told->identity);
    bool blocked = crash_table_verdict(sync->table, &told->identity, now) == CRASH_VERDICT_BLOCKED;
    request_identity_to_hex(&told->identity, identity);
    log_event(LOG_LEVEL_INFO, "crash", "learned", "identity=%s starts=%u peer=%08x outcome=%s",
              identity, entry->crash_count, sender, blocked ? "blocked" : "suspect");
}

/* \return whether anything of it is new */
static bool take_suspects(struct crash_sync *sync, const Shuntrun__MemberMessage *message,
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

void crash_sync_take(struct crash_sync *sync, const Shuntrun__MemberMessage *message,
                     uint32_t sender, uint64_t now)
{
    if (take_suspects(sync, message, sender, now)) {
        crash_sync_tell(sync);
        if (sync->cluster->callbacks.suspects_changed)
            sync->cluster->callbacks.suspects_changed(sync->cluster->callbacks.context);
    }
    if (message->sender && message->sender->address == sender)
        repair(sync, message->sender, message->suspects_digest, now);
}

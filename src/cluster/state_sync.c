#include "cluster/state_sync.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/state_message.h"
#include "core/swarm/copy_queue.h"
#include "core/store/store_position.h"
#include "net/http_caller.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#define STATE_PATH "/state"
/** HTTP status of a peer that has enough snapshots to send. */
#define STATUS_BUSY 503
#define REQUEST_TIMEOUT_MS 1200
/** Largest state that a peer may send, compressed or not. */
#define MAX_RESPONSE_BYTES (32U << 20)
/** zstd level. */
#define COMPRESSION_LEVEL 1
/** After a start of all nodes, all gateways and loaders of a region ask for a snapshot within a
 * moment. One that was written less than this ago is sent again; ages in it are older by as much.
 */
#define SNAPSHOT_REUSE_US 50000
/** Delay before a request to a peer that need not be made at once: a node that reads the store
 *  itself receives the change within this time. */
#define STORE_READER_GRACE_US 250000

/* A snapshot as it was last sent. */
struct saved_snapshot {
    uint8_t *bytes; /* compressed; NULL: none */
    size_t size;
    uint64_t revision;
    uint64_t written_at;
};

struct state_sync {
    struct cluster *cluster;
    uint32_t peer; /* a peer with a newer revision, 0: none */
    uint64_t peer_revision;
    uint64_t behind_since; /* time since which a peer is known to be ahead; 0: none is */
    struct http_caller *caller;
    bool request_pending;
    struct copy_queue copies;           /* snapshots that this node sends */
    struct saved_snapshot snapshots[2]; /* of all items, and of the operator's only */
};

struct state_sync *state_sync_create(struct cluster *cluster)
{
    struct state_sync *sync = memory_calloc(1, sizeof *sync);
    sync->cluster = cluster;
    return sync;
}

static void apply_items(struct state_sync *sync, const Shuntrun__StateChanges *changes)
{
    struct state_cache *state = sync->cluster->state;
    uint64_t now = cluster_now();
    for (size_t i = 0; i < changes->n_items; i++) {
        const Shuntrun__StateItem *item = changes->items[i];
        uint64_t age = item->age_ms * 1000;
        uint64_t learned = now > age ? now - age : 0;
        struct state_removal removal = {learned, item->from_outage, item->lost_in_copy,
                                        item->undated};
        if (item->gone)
            state_cache_remove(state, item->key, item->revision, &removal);
        else
            (item->undated ? state_cache_put_undated
                           : state_cache_put)(state, item->key, (const char *)item->value.data,
                                              item->value.len, item->revision, learned);
    }
}

static void apply_changes(struct state_sync *sync, const Shuntrun__StateChanges *changes)
{
    struct state_cache *state = sync->cluster->state;
    uint64_t before = state_cache_revision(state);
    if (changes->whole)
        state_cache_snapshot_begin(state, "");
    apply_items(sync, changes);
    /* This node was too far behind for a delta, and a snapshot has no removal times: items missing
     * from it count as removed long ago. In another epoch the store may have lost them. */
    struct state_removal removal = {.learned = 1};
    if (before && store_position_epoch(before) != store_position_epoch(changes->revision))
        removal = (struct state_removal){.learned = cluster_now(), .from_outage = true};
    if (changes->whole)
        state_cache_snapshot_end(state, "", changes->revision, &removal);
    state_cache_advance(state, changes->revision);
}

/* Compression pays: configurations are texts that compress to a tenth. */
static Shuntrun__StateChanges *unpack_changes(const char *bytes, size_t size)
{
    unsigned long long length = ZSTD_getFrameContentSize(bytes, size);
    if (length == ZSTD_CONTENTSIZE_ERROR || length == ZSTD_CONTENTSIZE_UNKNOWN ||
        length > MAX_RESPONSE_BYTES)
        return NULL;
    uint8_t *plain = memory_calloc(length, 1);
    size_t plain_size = ZSTD_decompress(plain, length, bytes, size);
    Shuntrun__StateChanges *changes = NULL;
    if (!ZSTD_isError(plain_size))
        changes = shuntrun__state_changes__unpack(NULL, plain_size, plain);
    free(plain);
    return changes;
}

static void on_response(void *context, enum http_call_result result,
                        const struct http_message *message)
{
    struct state_sync *sync = context;
    sync->request_pending = false;
    uint32_t peer = sync->peer;
    sync->peer = 0;
    sync->behind_since = 0;
    unsigned status = result == CALL_COMPLETE ? http_message_status(message) : 0;
    if (status == STATUS_BUSY) { /* another peer is asked with the next tick */
        metric_add(METRIC_STATE_PEER_BUSY, 1);
        return;
    }
    if (status != 200) {
        log_event(LOG_LEVEL_WARN, "state", "peer-failed", "peer=%08x result=\"%s\" status=%u", peer,
                  http_call_result_name(result), status);
        return;
    }
    Shuntrun__StateChanges *changes = unpack_changes(message->body.data, message->body.size);
    if (!changes) {
        log_event(LOG_LEVEL_ERROR, "state", "unreadable", "peer=%08x bytes=%zu", peer,
                  message->body.size);
        return;
    }
    log_event(LOG_LEVEL_INFO, "state", "from-peer",
              "peer=%08x whole=%d revision=%llu before=%llu items=%zu", peer, changes->whole,
              (unsigned long long)changes->revision,
              (unsigned long long)state_cache_revision(sync->cluster->state), changes->n_items);
    metric_add(METRIC_STATE_FROM_PEER, 1);
    apply_changes(sync, changes);
    shuntrun__state_changes__free_unpacked(changes, NULL);
    cluster_propagate_changes(sync->cluster);
}

static void send_request(struct state_sync *sync)
{
    char target[64];
    struct sockaddr_in address = cluster_address(sync->cluster, sync->peer);
    if (sync->caller)
        http_caller_destroy(sync->caller);
    sync->caller = http_caller_create(sync->cluster->loop, &address);
    sync->request_pending = true;
    snprintf(target, sizeof target, STATE_PATH "?after=%llu%s",
             (unsigned long long)state_cache_revision(sync->cluster->state),
             sync->cluster->holds_full_state ? "" : "&operator=1");
    struct http_caller_request request = {.method = "GET",
                                          .target = target,
                                          .timeout_ms = REQUEST_TIMEOUT_MS,
                                          .body_limit = MAX_RESPONSE_BYTES,
                                          .done = on_response,
                                          .context = sync};
    http_caller_send(sync->caller, &request);
}

bool state_sync_apply(struct state_sync *sync, const Shuntrun__StateChanges *changes)
{
    struct cluster *cluster = sync->cluster;
    uint64_t known =
        changes->operator_only ? cluster->operator_revision : state_cache_revision(cluster->state);
    if (!known || changes->after > known)
        return false;
    if (changes->revision <= known)
        return true;
    apply_items(sync, changes);
    if (!changes->operator_only)
        state_cache_advance(cluster->state, changes->revision);
    cluster_propagate_changes(cluster);
    return true;
}

/* A reader of the store receives the change from there. Other nodes normally get it from a peer in
 * the own region, so they request it at once only from such a peer. */
static bool requests_immediately(const struct state_sync *sync, bool near)
{
    return near && !cluster_reads_store(sync->cluster);
}

void state_sync_record_newer_peer(struct state_sync *sync, uint32_t peer, uint64_t revision,
                                  bool near, uint64_t now)
{
    if (sync->request_pending)
        return;
    if (!sync->behind_since)
        sync->behind_since = now;
    sync->peer = peer;
    sync->peer_revision = revision;
    if (requests_immediately(sync, near))
        send_request(sync);
}

/* \return a random gateway that has the state, of the own region if there is one; NULL: none known
 */
static const struct member_state *choose_holder(struct cluster *cluster)
{
    struct membership *members = cluster->membership;
    const char *region = membership_self(members)->region;
    const struct member_state *near = NULL, *far = NULL;
    uint32_t near_count = 0, far_count = 0;
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role != MEMBER_GATEWAY || !member_is_healthy(member) || !member->state_revision)
            continue;
        if (strcmp(member->region, region) == 0) {
            if (random_below(&cluster->random, ++near_count) == 0)
                near = member;
        } else if (random_below(&cluster->random, ++far_count) == 0) {
            far = member;
        }
    }
    return near ? near : far;
}

/* A node without any state asks until it has some. */
static void find_first_peer(struct state_sync *sync, uint64_t now)
{
    struct cluster *cluster = sync->cluster;
    if (cluster->operator_revision)
        return;
    const struct member_state *holder = choose_holder(cluster);
    const char *region = membership_self(cluster->membership)->region;
    if (holder)
        state_sync_record_newer_peer(sync, holder->address, holder->state_revision,
                                     strcmp(holder->region, region) == 0, now);
}

void state_sync_tick(struct state_sync *sync, uint64_t now)
{
    if (!sync->request_pending && !sync->peer)
        find_first_peer(sync, now);
    if (sync->request_pending || !sync->peer)
        return;
    if (sync->peer_revision <= state_cache_revision(sync->cluster->state)) {
        sync->peer = 0;
        sync->behind_since = 0;
    } else if (now >= sync->behind_since + STORE_READER_GRACE_US) {
        send_request(sync);
    }
}

/* \return the compressed bytes, owned by the caller; NULL after an error */
static uint8_t *compress(const uint8_t *bytes, size_t size, size_t *compressed_size)
{
    size_t bound = ZSTD_compressBound(size);
    uint8_t *compressed = memory_calloc(bound, 1);
    *compressed_size = ZSTD_compress(compressed, bound, bytes, size, COMPRESSION_LEVEL);
    if (!ZSTD_isError(*compressed_size))
        return compressed;
    log_event(LOG_LEVEL_ERROR, "state", "not-compressed", "bytes=%zu error=\"%s\"", size,
              ZSTD_getErrorName(*compressed_size));
    *compressed_size = 0;
    free(compressed);
    return NULL;
}

static void reply_with(struct service_call *call, const uint8_t *compressed, size_t size)
{
    if (compressed)
        service_reply(call, 200, "application/zstd", compressed, size);
    else
        service_reply(call, 500, NULL, NULL, 0);
}

/* Loaders copy the operator's items only, and use none that is ever removed. A delta for gateways
 * must contain all removals. */
static bool can_send_delta(const struct state_cache *state, uint64_t after, bool operator_only)
{
    if (!after)
        return false;
    return operator_only ? state_cache_retains_since(state, after)
                         : state_cache_has_delta_for(state, after);
}

/* \return the changes, compressed, owned by the caller; NULL after an error */
static uint8_t *write_changes(const struct state_cache *state, uint64_t after, bool whole,
                              bool operator_only, size_t *compressed_size)
{
    uint64_t now = cluster_now();
    uint32_t capacity = state_cache_count(state);
    Shuntrun__StateItem *items = memory_calloc(capacity, sizeof *items);
    Shuntrun__StateItem **pointers = memory_calloc(capacity, sizeof *pointers);
    Shuntrun__StateChanges changes = SHUNTRUN__STATE_CHANGES__INIT;
    changes.whole = whole;
    changes.revision = state_cache_revision(state);
    changes.items = pointers;
    for (uint32_t i = 0; i < capacity; i++) {
        const struct state_item *item = state_cache_at(state, i);
        if (whole ? item->gone : item->revision <= after)
            continue;
        if (operator_only && !state_message_is_operator_item(item))
            continue;
        state_message_write_item(item, now, &items[changes.n_items]);
        pointers[changes.n_items] = &items[changes.n_items];
        changes.n_items++;
    }
    size_t size = shuntrun__state_changes__get_packed_size(&changes);
    uint8_t *bytes = memory_calloc(size, 1);
    shuntrun__state_changes__pack(&changes, bytes);
    uint8_t *compressed = compress(bytes, size, compressed_size);
    free(bytes);
    free(items);
    free(pointers);
    return compressed;
}

static void serve_snapshot(struct state_sync *sync, struct service_call *call, bool operator_only)
{
    const struct state_cache *state = sync->cluster->state;
    struct saved_snapshot *saved = &sync->snapshots[operator_only];
    uint64_t now = cluster_now();
    if (!copy_queue_accepts(&sync->copies, now)) {
        service_reply(call, STATUS_BUSY, NULL, NULL, 0);
        return;
    }
    if (!saved->bytes || saved->revision != state_cache_revision(state) ||
        now > saved->written_at + SNAPSHOT_REUSE_US) {
        free(saved->bytes);
        saved->bytes = write_changes(state, 0, true, operator_only, &saved->size);
        saved->revision = state_cache_revision(state);
        saved->written_at = now;
    }
    copy_queue_add(&sync->copies, saved->size,
                   membership_self(sync->cluster->membership)->link_mbit, now);
    reply_with(call, saved->bytes, saved->size);
}

static void serve_delta(struct state_sync *sync, struct service_call *call, uint64_t after,
                        bool operator_only)
{
    size_t size;
    uint8_t *compressed = write_changes(sync->cluster->state, after, false, operator_only, &size);
    reply_with(call, compressed, size);
    free(compressed);
}

bool state_sync_serve(struct state_sync *sync, struct service_call *call,
                      const struct service_request *request)
{
    char after[32], operator_only[4];
    if (!service_path_is(request, STATE_PATH))
        return false;
    http_query_value(request->target, request->target_length, "after", after, sizeof after);
    http_query_value(request->target, request->target_length, "operator", operator_only,
                     sizeof operator_only);
    uint64_t revision = strtoull(after, NULL, 10);
    bool is_operator_only = operator_only[0] == '1';
    if (can_send_delta(sync->cluster->state, revision, is_operator_only))
        serve_delta(sync, call, revision, is_operator_only);
    else
        serve_snapshot(sync, call, is_operator_only);
    return true;
}

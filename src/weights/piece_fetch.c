#include "weights/piece_fetch_internal.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/swarm/bitmap.h"
#include "weights/piece_wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PIECE_RESPONSE_MAX_BYTES (8U << 20)
/** A response that is not ready within this time of the request did not wait, so the next request
 * is delayed by as much. */
#define EARLY_NOT_READY_US 100000
/** Response of a node that uses another manifest. */
#define HTTP_STATUS_OTHER_MANIFEST 412
/** After this time without a piece, a source that is not ready is backed off, so that others are
 * tried. */
#define FETCH_STALL_US 700000
#define PROGRESS_LOG_INTERVAL_US 400000
/** Sources that a relay asks for the manifest at a time: the manifest is small, and pieces wait for
 * it in a whole region. */
#define RELAY_MANIFEST_REQUESTS 3

uint64_t piece_fetch_time_since_progress(const struct piece_fetch *fetch, uint64_t now)
{
    uint64_t last = fetch->progress_at ? fetch->progress_at : fetch->started_at;
    return now > last ? now - last : 0;
}

void piece_fetch_source_failed(struct piece_connection *connection, enum log_level level,
                               const char *what, uint64_t now)
{
    struct piece_fetch *fetch = connection->owner;
    fetch->failures++;
    metric_add(METRIC_CHUNKS_FAILED, 1);
    piece_source_back_off(connection->source, now);
    log_event(level, "pieces", "source-failed",
              "version=%" PRIu64 " source=%08x what=\"%s\" failures=%u",
              piece_set_version(fetch->set), connection->source->address, what,
              connection->source->failures);
}

void piece_fetch_source_not_ready(struct piece_connection *connection, uint64_t now)
{
    if (piece_fetch_time_since_progress(connection->owner, now) > FETCH_STALL_US)
        piece_source_not_ready(connection->source, now);
    else if (now < connection->requested_at + EARLY_NOT_READY_US)
        connection->source->backoff_until = now + EARLY_NOT_READY_US;
}

void piece_fetch_log_complete(struct piece_fetch *fetch, uint64_t now)
{
    bool was_complete = fetch->complete;
    fetch->complete = piece_set_complete(fetch->set);
    if (!fetch->complete || was_complete)
        return;
    log_event(LOG_LEVEL_INFO, "pieces", "complete",
              "model=%s version=%" PRIu64 " took_ms=%" PRIu64 " from_nodes=%" PRIu64
              " from_origin=%" PRIu64 " failures=%" PRIu64,
              piece_set_model(fetch->set), piece_set_version(fetch->set),
              (now - fetch->started_at) / 1000, fetch->from_nodes, fetch->from_origin,
              fetch->failures);
}

/* --- pieces ----------------------------------------------------------------------------------- */

static uint32_t first_wanted(const struct piece_connection *connection)
{
    uint32_t piece = 0;
    while (piece + 1 < PIECE_MAX_COUNT && !bitmap_get(connection->wanted, piece))
        piece++;
    return piece;
}

/* A piece that was spoilt on its way has another digest each time; several with the same one show
 * that the manifest is wrong. */
static void log_unknown_piece(const struct piece_connection *connection, const struct buffer *bytes)
{
    const struct piece_fetch *fetch = connection->owner;
    const struct piece_manifest *manifest = piece_set_manifest(fetch->set);
    uint32_t piece = first_wanted(connection);
    struct digest digest = digest_of(bytes->data, bytes->size);
    char received[DIGEST_HEX_SIZE], expected[DIGEST_HEX_SIZE] = "-";
    digest_to_hex(&digest, received);
    if (manifest && piece < manifest->count)
        digest_to_hex(&manifest->digests[piece], expected);
    log_event(LOG_LEVEL_WARN, "pieces", "spoilt",
              "version=%" PRIu64 " source=%08x piece=%u bytes=%zu digest=%.16s expected=%.16s",
              piece_set_version(fetch->set), connection->source->address, piece, bytes->size,
              received, expected);
}

static void on_refuted(const struct piece_connection *connection)
{
    const struct piece_fetch *fetch = connection->owner;
    metric_add(METRIC_MANIFESTS_REFUTED, 1);
    log_event(LOG_LEVEL_WARN, "pieces", "manifest-refuted", "model=%s version=%" PRIu64 " piece=%u",
              piece_set_model(fetch->set), piece_set_version(fetch->set), first_wanted(connection));
}

/* Either manifest may be wrong. */
static void on_other_manifest(struct piece_connection *connection, uint64_t now)
{
    piece_fetch_source_failed(connection, LOG_LEVEL_WARN, "other manifest", now);
    manifest_fetch_request_from(connection->owner, connection->source, now);
}

static void on_unknown_piece(struct piece_connection *connection, enum piece_add_result result,
                             const struct buffer *bytes, uint64_t now)
{
    metric_add(METRIC_CHUNKS_REJECTED, 1);
    log_unknown_piece(connection, bytes);
    piece_fetch_source_failed(connection, LOG_LEVEL_DEBUG, "spoilt", now);
    if (result == PIECE_REFUTES)
        on_refuted(connection);
}

static void count_piece(struct piece_connection *connection, size_t size, uint64_t now)
{
    struct piece_fetch *fetch = connection->owner;
    bool from_origin = piece_connection_sender(connection) == MANIFEST_SENDER_ORIGIN;
    fetch->progress_at = now;
    fetch->from_origin += from_origin;
    fetch->from_nodes += !from_origin;
    metric_add(from_origin ? METRIC_CHUNKS_FROM_ORIGIN : METRIC_CHUNKS_FROM_PEER, 1);
}

static void accept_piece(struct piece_connection *connection, const struct http_message *message,
                         uint64_t now)
{
    struct piece_fetch *fetch = connection->owner;
    struct received_piece received = {.sender = piece_connection_sender(connection),
                                      .wanted = connection->wanted,
                                      .wanted_bits = PIECE_MAX_COUNT,
                                      .bytes = message->body.data,
                                      .size = message->body.size};
    uint32_t piece;
    struct manifest_state before = manifest_state_of(fetch);
    enum piece_add_result result = piece_set_add(fetch->set, &received, &piece);
    if (result == PIECE_UNKNOWN || result == PIECE_REFUTES) {
        on_unknown_piece(connection, result, &message->body, now);
        manifest_fetch_report_change(fetch, &before, connection, now);
        return;
    }
    connection->source->failures = 0;
    if (received.sender == MANIFEST_SENDER_NODE)
        link_rate_add(&fetch->link, message->body.size, http_caller_transfer_us(connection->caller),
                      piece_sources_receiving(fetch->sources) + 1);
    if (result == PIECE_DUPLICATE)
        return;
    count_piece(connection, message->body.size, now);
    manifest_fetch_report_change(fetch, &before, connection, now);
    if (result != PIECE_ADDED)
        return;
    piece_fetch_log_complete(fetch, now);
    fetch->callbacks.piece_received(fetch->callbacks.context, piece);
}

static void on_piece(void *context, enum http_call_result result,
                     const struct http_message *message)
{
    struct piece_connection *connection = context;
    uint64_t now = cluster_now();
    connection->busy = false;
    if (result != CALL_COMPLETE)
        piece_fetch_source_failed(connection, LOG_LEVEL_WARN, http_call_result_name(result), now);
    else if (http_message_status(message) == HTTP_STATUS_NOT_READY)
        piece_fetch_source_not_ready(connection, now);
    else if (http_message_status(message) == HTTP_STATUS_OTHER_MANIFEST)
        on_other_manifest(connection, now);
    else if (http_message_status(message) != 200)
        piece_fetch_source_failed(connection, LOG_LEVEL_DEBUG, "refused", now);
    else
        accept_piece(connection, message, now);
    piece_fetch_start_requests(connection->owner, now);
}

/* Selects the missing pieces that this connection is to fetch. \return the one with the greatest
 * rendezvous weight of this node, so that nodes that do not know each other yet start with
 * different pieces; the number of pieces if there is none */
static uint32_t select_wanted(struct piece_fetch *fetch, const struct piece_connection *connection,
                              uint64_t now, uint64_t wanted[PIECE_BITMAP_WORDS])
{
    uint32_t count = piece_set_manifest(fetch->set)->count;
    uint32_t best = count;
    uint64_t best_weight = 0;
    memset(wanted, 0, PIECE_BITMAP_WORDS * sizeof *wanted);
    for (uint32_t i = 0; i < count && i < PIECE_MAX_COUNT; i++) {
        size_t size;
        if (i % fetch->connections != connection->index || piece_set_data(fetch->set, i, &size) ||
            piece_sources_choose(fetch->sources, i, now) != connection->source ||
            piece_set_wants_equal_digest(fetch->set, wanted, i))
            continue;
        bitmap_set(wanted, i);
        uint64_t weight = piece_sources_weight(fetch->sources, i);
        if (best == count || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

static void request_piece(struct piece_fetch *fetch, struct piece_connection *connection,
                          uint64_t now)
{
    struct buffer target = {0};
    uint32_t best = select_wanted(fetch, connection, now, connection->wanted);
    uint32_t count = piece_set_manifest(fetch->set)->count;
    if (best == count)
        return;
    if (connection->source->address == RELAY_ORIGIN) {
        memset(connection->wanted, 0, sizeof connection->wanted);
        bitmap_set(connection->wanted, best);
        platform_write_piece_target(piece_set_model(fetch->set), piece_set_version(fetch->set),
                                    best, &target);
        buffer_append(&target, "", 1);
    } else {
        piece_wire_write_piece(piece_set_model(fetch->set), piece_set_version(fetch->set),
                               piece_set_manifest_key(fetch->set), connection->wanted, count,
                               &target);
    }
    struct http_caller_request request = {.method = "GET",
                                          .target = target.data,
                                          .timeout_ms = CALL_TIMEOUT_MS,
                                          .body_limit = PIECE_RESPONSE_MAX_BYTES,
                                          .done = on_piece,
                                          .context = connection};
    connection->busy = true;
    connection->asks_manifest = false;
    connection->requested_at = now;
    http_caller_send(connection->caller, &request);
    buffer_clear(&target);
}

void piece_fetch_start_requests(struct piece_fetch *fetch, uint64_t now)
{
    if (!piece_set_manifest_is_trusted(fetch->set))
        manifest_fetch_request(fetch, now);
    if (!piece_set_manifest(fetch->set) || fetch->paused || piece_set_complete(fetch->set))
        return;
    uint32_t count = piece_set_manifest(fetch->set)->count;
    for (uint32_t i = 0; i < count && i < PIECE_MAX_COUNT; i++) {
        size_t size;
        if (piece_set_data(fetch->set, i, &size))
            continue;
        struct piece_source *source = piece_sources_choose(fetch->sources, i, now);
        struct piece_connection *connection =
            source ? piece_sources_connect(fetch->sources, source, i % fetch->connections) : NULL;
        if (connection && !connection->busy)
            request_piece(fetch, connection, now);
    }
}

/* --- lifecycle -------------------------------------------------------------------------------- */

struct piece_fetch *piece_fetch_create(struct cluster *cluster, struct piece_set *set,
                                       enum piece_role role,
                                       const struct piece_fetch_callbacks *callbacks)
{
    struct piece_fetch *fetch = memory_calloc(1, sizeof *fetch);
    fetch->set = set;
    fetch->role = role;
    fetch->callbacks = *callbacks;
    fetch->sources = piece_sources_create(cluster, set, role, fetch);
    fetch->connections = 1;
    fetch->manifest_requests_max = role == PIECE_ROLE_RELAY ? RELAY_MANIFEST_REQUESTS : 1;
    fetch->started_at = cluster_now();
    fetch->link.nominal = strtod(cluster->settings->link_mbit, NULL);
    return fetch;
}

void piece_fetch_destroy(struct piece_fetch *fetch)
{
    piece_sources_destroy(fetch->sources);
    free(fetch);
}

void piece_fetch_set_origin(struct piece_fetch *fetch, const struct sockaddr_in *origin)
{
    piece_sources_set_origin(fetch->sources, origin);
    piece_fetch_start_requests(fetch, cluster_now());
}

void piece_fetch_expect(struct piece_fetch *fetch, uint32_t pieces)
{
    uint64_t now = cluster_now();
    struct manifest_state before = manifest_state_of(fetch);
    piece_set_expect(fetch->set, pieces);
    manifest_fetch_report_change(fetch, &before, NULL, now);
}

void piece_fetch_set_connections(struct piece_fetch *fetch, uint32_t connections)
{
    fetch->connections = connections < 1                       ? 1
                         : connections > PIECE_MAX_CONNECTIONS ? PIECE_MAX_CONNECTIONS
                                                               : connections;
    /* As many relays, so that a loader uses one connection to each. */
    piece_sources_set_parallel_relays(fetch->sources, fetch->connections);
}

void piece_fetch_set_paused(struct piece_fetch *fetch, bool paused)
{
    fetch->paused = paused;
}

static void log_progress(struct piece_fetch *fetch, uint64_t now)
{
    const struct piece_manifest *manifest = piece_set_manifest(fetch->set);
    if (now < fetch->next_progress_log || !manifest || piece_set_complete(fetch->set))
        return;
    fetch->next_progress_log = now + PROGRESS_LOG_INTERVAL_US;
    log_event(LOG_LEVEL_INFO, "pieces", "progress",
              "version=%" PRIu64 " held=%u of=%u from_nodes=%" PRIu64 " from_origin=%" PRIu64
              " relays=%u failures=%" PRIu64 " mbit=%.2f",
              piece_set_version(fetch->set), piece_set_held(fetch->set), manifest->count,
              fetch->from_nodes, fetch->from_origin, piece_sources_relays(fetch->sources),
              fetch->failures, fetch->link.estimated);
}

void piece_fetch_tick(struct piece_fetch *fetch, uint64_t now)
{
    piece_sources_tick(fetch->sources, piece_fetch_time_since_progress(fetch, now), now);
    if (piece_set_complete(fetch->set))
        return;
    log_progress(fetch, now);
    manifest_fetch_review(fetch, now);
    piece_fetch_start_requests(fetch, now);
}

uint64_t piece_fetch_last_progress(const struct piece_fetch *fetch)
{
    return fetch->progress_at;
}

struct link_rate *piece_fetch_link(struct piece_fetch *fetch)
{
    return &fetch->link;
}

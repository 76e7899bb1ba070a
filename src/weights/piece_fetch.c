#include "weights/piece_fetch.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/bitmap.h"
#include "weights/piece_wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MANIFEST_LIMIT (1U << 20)
#define PIECE_LIMIT (8U << 20)
/** A whole answer may take so long: a piece through a link of a tenth of the usual rate. */
#define CALL_TIMEOUT_MS 1500
/** An answer of a node that has not got the piece yet; a hasty one is followed by a short rest. */
#define STATUS_NOT_IN_TIME 409
#define HASTY_US 100000
/** Without a piece for so long, others are tried beside a source that says "not yet". */
#define PATIENCE_US 700000
#define PROGRESS_LOG_US 400000

struct piece_fetch {
    struct piece_set *set;
    struct piece_fetch_callbacks callbacks;
    struct piece_sources *sources;
    uint32_t lanes; /* to each source */
    bool held_back;
    bool manifest_asked;
    uint64_t began_at;
    uint64_t progress_at; /* of the last piece, 0: none yet */
    struct link_rate link;
    uint64_t next_progress_log;
    uint64_t from_nodes;  /* pieces */
    uint64_t from_origin; /* pieces */
    uint64_t failures;    /* calls */
};

static void advance(struct piece_fetch *fetch, uint64_t now);

/* The time since the last piece, or since the beginning. */
static uint64_t silence_of(const struct piece_fetch *fetch, uint64_t now)
{
    uint64_t last = fetch->progress_at ? fetch->progress_at : fetch->began_at;
    return now > last ? now - last : 0;
}

static void fail_lane(struct piece_lane *lane, const char *what, uint64_t now)
{
    struct piece_fetch *fetch = lane->owner;
    fetch->failures++;
    metric_add(METRIC_CHUNKS_FAILED, 1);
    piece_source_rest(lane->source, now);
    log_event(LOG_LEVEL_DEBUG, "pieces", "source-failed",
              "version=%" PRIu64 " source=%08x what=\"%s\" failures=%u",
              piece_set_version(fetch->set), lane->source->address, what, lane->source->failures);
}

/* The node does not have yet what it was asked for. */
static void on_not_in_time(struct piece_lane *lane, uint64_t now)
{
    if (silence_of(lane->owner, now) > PATIENCE_US)
        piece_source_not_yet(lane->source, now);
    else if (now < lane->asked_at + HASTY_US)
        lane->source->rests_until = now + HASTY_US;
}

/* --- manifest ------------------------------------------------------------------------------------
 */

static void on_manifest(void *context, enum http_call_result result,
                        const struct http_message *message)
{
    struct piece_lane *lane = context;
    struct piece_fetch *fetch = lane->owner;
    uint64_t now = cluster_now();
    lane->busy = false;
    fetch->manifest_asked = false;
    unsigned status = result == CALL_COMPLETE ? http_message_status(message) : 0;
    if (status != 200) {
        if (status == STATUS_NOT_IN_TIME)
            on_not_in_time(lane, now);
        else
            fail_lane(lane, "no manifest", now);
        advance(fetch, now);
        return;
    }
    if (piece_set_take_manifest(fetch->set, message->body.data, message->body.size) != STATUS_OK) {
        log_event(LOG_LEVEL_WARN, "pieces", "manifest-refused",
                  "version=%" PRIu64 " source=%08x problem=\"%s\"", piece_set_version(fetch->set),
                  lane->source->address, status_message());
        fail_lane(lane, "bad manifest", now);
        return;
    }
    lane->source->failures = 0;
    log_event(LOG_LEVEL_INFO, "pieces", "manifest",
              "model=%s version=%" PRIu64 " pieces=%u source=%08x took_ms=%" PRIu64,
              piece_set_model(fetch->set), piece_set_version(fetch->set),
              piece_set_manifest(fetch->set)->count, lane->source->address,
              (now - fetch->began_at) / 1000);
    piece_sources_list(fetch->sources, silence_of(fetch, now));
    fetch->callbacks.manifest_known(fetch->callbacks.context);
    advance(fetch, now);
}

static void ask_manifest(struct piece_fetch *fetch, uint64_t now)
{
    struct buffer target = {0};
    struct piece_source *source =
        fetch->manifest_asked ? NULL : piece_sources_choose_manifest(fetch->sources, now);
    struct piece_lane *lane = source ? piece_sources_lane(fetch->sources, source, 0) : NULL;
    if (!lane || lane->busy)
        return;
    if (source->address == RELAY_ORIGIN) {
        platform_write_manifest_target(piece_set_model(fetch->set), piece_set_version(fetch->set),
                                       &target);
        buffer_append(&target, "", 1);
    } else {
        piece_wire_write_manifest(piece_set_model(fetch->set), piece_set_version(fetch->set),
                                  &target);
    }
    struct http_caller_request request = {.method = "GET",
                                          .target = target.data,
                                          .timeout_ms = CALL_TIMEOUT_MS,
                                          .body_limit = MANIFEST_LIMIT,
                                          .done = on_manifest,
                                          .context = lane};
    lane->busy = true;
    lane->asked_at = now;
    fetch->manifest_asked = true;
    http_caller_send(lane->caller, &request);
    buffer_clear(&target);
}

/* --- pieces --------------------------------------------------------------------------------------
 */

static void log_complete(const struct piece_fetch *fetch, uint64_t now)
{
    if (!piece_set_complete(fetch->set))
        return;
    log_event(LOG_LEVEL_INFO, "pieces", "complete",
              "model=%s version=%" PRIu64 " took_ms=%" PRIu64 " from_nodes=%" PRIu64
              " from_origin=%" PRIu64 " failures=%" PRIu64,
              piece_set_model(fetch->set), piece_set_version(fetch->set),
              (now - fetch->began_at) / 1000, fetch->from_nodes, fetch->from_origin,
              fetch->failures);
}

static void take_piece(struct piece_lane *lane, const struct http_message *message, uint64_t now)
{
    struct piece_fetch *fetch = lane->owner;
    bool from_origin = lane->source->address == RELAY_ORIGIN;
    uint32_t piece;
    enum piece_verdict verdict =
        piece_set_take(fetch->set, message->body.data, message->body.size, &piece);
    if (verdict == PIECE_FOREIGN) {
        metric_add(METRIC_CHUNKS_REJECTED, 1);
        log_event(LOG_LEVEL_WARN, "pieces", "spoilt", "version=%" PRIu64 " source=%08x bytes=%zu",
                  piece_set_version(fetch->set), lane->source->address, message->body.size);
        fail_lane(lane, "spoilt", now);
        return;
    }
    lane->source->failures = 0;
    if (!from_origin)
        link_rate_add(&fetch->link, message->body.size, http_caller_transfer_us(lane->caller),
                      piece_sources_receiving(fetch->sources) + 1);
    if (verdict == PIECE_KNOWN)
        return;
    fetch->progress_at = now;
    fetch->from_origin += from_origin;
    fetch->from_nodes += !from_origin;
    metric_add(from_origin ? METRIC_CHUNKS_FROM_ORIGIN : METRIC_CHUNKS_FROM_PEER, 1);
    log_complete(fetch, now);
    fetch->callbacks.piece_held(fetch->callbacks.context, piece);
}

static void on_piece(void *context, enum http_call_result result,
                     const struct http_message *message)
{
    struct piece_lane *lane = context;
    uint64_t now = cluster_now();
    lane->busy = false;
    if (result != CALL_COMPLETE)
        fail_lane(lane, http_call_result_name(result), now);
    else if (http_message_status(message) == STATUS_NOT_IN_TIME)
        on_not_in_time(lane, now);
    else if (http_message_status(message) != 200)
        fail_lane(lane, "refused", now);
    else
        take_piece(lane, message, now);
    advance(lane->owner, now);
}

/* Missing pieces that this lane is to fetch. \return the one that is this node's most of all by
 * rank, so that nodes that do not know each other yet read different ones; the count of pieces:
 * none */
static uint32_t list_wanted(struct piece_fetch *fetch, const struct piece_lane *lane, uint64_t now,
                            uint64_t wanted[PIECE_BITMAP_WORDS])
{
    uint32_t count = piece_set_manifest(fetch->set)->count;
    uint32_t best = count;
    uint64_t best_weight = 0;
    memset(wanted, 0, PIECE_BITMAP_WORDS * sizeof *wanted);
    for (uint32_t i = 0; i < count && i < PIECES_MOST; i++) {
        size_t size;
        if (i % fetch->lanes != lane->index || piece_set_data(fetch->set, i, &size) ||
            piece_sources_choose(fetch->sources, i, now) != lane->source)
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

static void ask_piece(struct piece_fetch *fetch, struct piece_lane *lane, uint64_t now)
{
    uint64_t wanted[PIECE_BITMAP_WORDS];
    struct buffer target = {0};
    uint32_t best = list_wanted(fetch, lane, now, wanted);
    uint32_t count = piece_set_manifest(fetch->set)->count;
    if (best == count)
        return;
    if (lane->source->address == RELAY_ORIGIN) {
        platform_write_piece_target(piece_set_model(fetch->set), piece_set_version(fetch->set),
                                    best, &target);
        buffer_append(&target, "", 1);
    } else {
        piece_wire_write_piece(piece_set_model(fetch->set), piece_set_version(fetch->set), wanted,
                               count, &target);
    }
    struct http_caller_request request = {.method = "GET",
                                          .target = target.data,
                                          .timeout_ms = CALL_TIMEOUT_MS,
                                          .body_limit = PIECE_LIMIT,
                                          .done = on_piece,
                                          .context = lane};
    lane->busy = true;
    lane->asked_at = now;
    http_caller_send(lane->caller, &request);
    buffer_clear(&target);
}

/* Give every idle lane of a source in use its next call. */
static void advance(struct piece_fetch *fetch, uint64_t now)
{
    if (!piece_set_manifest(fetch->set)) {
        ask_manifest(fetch, now);
        return;
    }
    if (fetch->held_back || piece_set_complete(fetch->set))
        return;
    uint32_t count = piece_set_manifest(fetch->set)->count;
    for (uint32_t i = 0; i < count && i < PIECES_MOST; i++) {
        size_t size;
        if (piece_set_data(fetch->set, i, &size))
            continue;
        struct piece_source *source = piece_sources_choose(fetch->sources, i, now);
        struct piece_lane *lane =
            source ? piece_sources_lane(fetch->sources, source, i % fetch->lanes) : NULL;
        if (lane && !lane->busy)
            ask_piece(fetch, lane, now);
    }
}

/* --- life ----------------------------------------------------------------------------------------
 */

struct piece_fetch *piece_fetch_create(struct cluster *cluster, struct piece_set *set,
                                       enum piece_role role,
                                       const struct piece_fetch_callbacks *callbacks)
{
    struct piece_fetch *fetch = memory_calloc(1, sizeof *fetch);
    fetch->set = set;
    fetch->callbacks = *callbacks;
    fetch->sources = piece_sources_create(cluster, set, role, fetch);
    fetch->lanes = 1;
    fetch->began_at = cluster_now();
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
}

void piece_fetch_set_lanes(struct piece_fetch *fetch, uint32_t lanes)
{
    fetch->lanes = lanes < 1 ? 1 : lanes > PIECE_LANES_MOST ? PIECE_LANES_MOST : lanes;
    piece_sources_set_spread(fetch->sources, fetch->lanes); /* one connection to each of them */
}

void piece_fetch_hold_back(struct piece_fetch *fetch, bool held_back)
{
    fetch->held_back = held_back;
}

static void log_progress(struct piece_fetch *fetch, uint64_t now)
{
    const struct piece_manifest *manifest = piece_set_manifest(fetch->set);
    if (now < fetch->next_progress_log || !manifest || piece_set_complete(fetch->set))
        return;
    fetch->next_progress_log = now + PROGRESS_LOG_US;
    log_event(LOG_LEVEL_INFO, "pieces", "progress",
              "version=%" PRIu64 " held=%u of=%u from_nodes=%" PRIu64 " from_origin=%" PRIu64
              " relays=%u failures=%" PRIu64 " mbit=%.2f",
              piece_set_version(fetch->set), piece_set_held(fetch->set), manifest->count,
              fetch->from_nodes, fetch->from_origin, piece_sources_relays(fetch->sources),
              fetch->failures, fetch->link.estimated);
}

void piece_fetch_tick(struct piece_fetch *fetch, uint64_t now)
{
    piece_sources_tick(fetch->sources, silence_of(fetch, now), now);
    if (piece_set_complete(fetch->set))
        return;
    log_progress(fetch, now);
    advance(fetch, now);
}

uint64_t piece_fetch_progress_at(const struct piece_fetch *fetch)
{
    return fetch->progress_at;
}

struct link_rate *piece_fetch_link(struct piece_fetch *fetch)
{
    return &fetch->link;
}

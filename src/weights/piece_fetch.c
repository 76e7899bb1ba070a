#include "weights/piece_fetch.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/bitmap.h"
#include "net/http_caller.h"
#include "weights/piece_wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MANIFEST_LIMIT (1U << 20)
#define PIECE_LIMIT (8U << 20)
/** A whole answer may take so long: a piece through a link of a tenth of the usual rate. */
#define CALL_TIMEOUT_MS 1500
/** A node that sent no byte for so long is gone: it answers a call sooner, if only to refuse it. */
#define FIRST_BYTE_US 700000
/** An answer of a node that has not got the piece yet; a hasty one is followed by a short rest. */
#define STATUS_NOT_IN_TIME 409
#define HASTY_US 100000
/** Without a piece for so long, "not yet" counts as a failure. */
#define PATIENCE_US 700000
/** Rest of a source after its first failure in a row; twice as long with each further one. */
#define REST_FIRST_US 150000
#define REST_MOST_US 1200000
/** Rest of the origin after a spoilt or broken piece: there is no other one. */
#define REST_ORIGIN_US 50000
/** Who is no relay asks the origin only after so long without a piece. */
#define ORIGIN_AFTER_US 1500000
/** Time between looks at who lives. */
#define PLAN_INTERVAL_US 100000
/** A connection to the origin, which accepts few, is closed after so long without use. */
#define ORIGIN_IDLE_US 250000
#define SOURCES_MOST 64
#define PROGRESS_LOG_US 400000

struct lane;

struct source {
    uint32_t address; /* RELAY_ORIGIN: the origin */
    uint64_t rests_until;
    uint32_t failures; /* in a row */
    struct lane *lanes[PIECE_FETCH_LANES];
};

/* A connection to a source; one call at a time. */
struct lane {
    struct piece_fetch *fetch;
    struct source *source;
    uint32_t index;
    struct http_caller *caller;
    bool busy;
    uint64_t asked_at;
};

struct piece_fetch {
    struct cluster *cluster;
    struct piece_set *set;
    enum piece_fetch_role role;
    struct piece_fetch_callbacks callbacks;
    struct sockaddr_in origin;
    bool has_origin;
    struct relay_plan plan;
    uint64_t next_plan;
    struct relay_sources *lists; /* of each piece; loaders have one for all */
    uint32_t list_count;
    bool lists_name_origin;
    struct source *sources[SOURCES_MOST];
    uint32_t source_count;
    uint32_t lanes;
    bool held_back;
    bool manifest_asked;
    uint64_t began_at;
    uint64_t progress_at; /* of the last piece */
    struct link_rate link;
    uint64_t next_progress_log;
    uint64_t from_nodes;  /* pieces */
    uint64_t from_origin; /* pieces */
    uint64_t failures;    /* calls */
};

static void advance(struct piece_fetch *fetch, uint64_t now);

/* --- sources -------------------------------------------------------------------------------------
 */

static struct source *find_source(struct piece_fetch *fetch, uint32_t address)
{
    for (uint32_t i = 0; i < fetch->source_count; i++)
        if (fetch->sources[i]->address == address)
            return fetch->sources[i];
    if (fetch->source_count == SOURCES_MOST)
        return NULL;
    struct source *source = memory_zero(1, sizeof *source);
    source->address = address;
    fetch->sources[fetch->source_count++] = source;
    return source;
}

static struct lane *lane_of(struct piece_fetch *fetch, struct source *source, uint32_t index)
{
    struct lane *lane = source->lanes[index];
    if (lane)
        return lane;
    struct sockaddr_in address = source->address == RELAY_ORIGIN
                                     ? fetch->origin
                                     : cluster_address(fetch->cluster, source->address);
    lane = memory_zero(1, sizeof *lane);
    lane->fetch = fetch;
    lane->source = source;
    lane->index = index;
    lane->caller = http_caller_create(fetch->cluster->loop, &address);
    source->lanes[index] = lane;
    return lane;
}

static void rest(struct source *source, uint64_t now)
{
    uint64_t length = REST_FIRST_US << (source->failures < 4 ? source->failures : 4);
    source->failures++;
    if (source->address == RELAY_ORIGIN)
        length = REST_ORIGIN_US;
    source->rests_until = now + (length < REST_MOST_US ? length : REST_MOST_US);
}

/* The time since the last piece, or since the beginning. */
static uint64_t silence_of(const struct piece_fetch *fetch, uint64_t now)
{
    uint64_t last = fetch->progress_at ? fetch->progress_at : fetch->began_at;
    return now > last ? now - last : 0;
}

/* Sources are listed anew when members changed, pieces became known, or the origin is due. */
static void list_sources(struct piece_fetch *fetch, uint64_t now)
{
    const struct piece_manifest *manifest = piece_set_manifest(fetch->set);
    bool relays = fetch->role == PIECE_FETCH_AS_RELAY;
    fetch->list_count = relays && manifest ? manifest->count : 1;
    fetch->lists_name_origin = silence_of(fetch, now) > ORIGIN_AFTER_US;
    fetch->lists = memory_resize(fetch->lists, fetch->list_count * sizeof *fetch->lists);
    for (uint32_t i = 0; relays && i < fetch->list_count; i++)
        relay_plan_relay_sources(&fetch->plan, i, &fetch->lists[i]);
    if (!relays)
        relay_plan_loader_sources(&fetch->plan, fetch->lists_name_origin, &fetch->lists[0]);
}

/* \return the best source for a piece that does not rest, NULL: none */
static struct source *choose_source(struct piece_fetch *fetch, uint32_t piece, uint64_t now)
{
    if (!fetch->list_count)
        return NULL;
    const struct relay_sources *list = &fetch->lists[piece < fetch->list_count ? piece : 0];
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->addresses[i] == RELAY_ORIGIN && !fetch->has_origin)
            continue;
        struct source *source = find_source(fetch, list->addresses[i]);
        if (source && now >= source->rests_until)
            return source;
    }
    return NULL;
}

/* --- manifest ------------------------------------------------------------------------------------
 */

static void fail_lane(struct lane *lane, const char *what, uint64_t now)
{
    lane->fetch->failures++;
    metric_add(METRIC_CHUNKS_FAILED, 1);
    rest(lane->source, now);
    log_event(LOG_LEVEL_DEBUG, "pieces", "source-failed",
              "version=%" PRIu64 " source=%08x what=\"%s\" failures=%u",
              piece_set_version(lane->fetch->set), lane->source->address, what,
              lane->source->failures);
}

static void on_manifest(void *context, enum call_result result, const struct http_message *message)
{
    struct lane *lane = context;
    struct piece_fetch *fetch = lane->fetch;
    uint64_t now = cluster_now();
    lane->busy = false;
    fetch->manifest_asked = false;
    if (result != CALL_ANSWERED || http_message_status(message) != 200) {
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
    list_sources(fetch, now);
    fetch->callbacks.manifest_known(fetch->callbacks.context);
    advance(fetch, now);
}

static void ask_manifest(struct piece_fetch *fetch, uint64_t now)
{
    struct buffer target = {0};
    if (fetch->manifest_asked)
        return;
    /* Every relay asks the origin itself: no other one can have the manifest much sooner. */
    struct source *source = fetch->role == PIECE_FETCH_AS_RELAY && fetch->has_origin
                                ? find_source(fetch, RELAY_ORIGIN)
                                : NULL;
    if (!source || now < source->rests_until)
        source = choose_source(fetch, 0, now);
    struct lane *lane = source ? lane_of(fetch, source, 0) : NULL;
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
    struct caller_request request = {.method = "GET",
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

static uint32_t count_receiving(const struct piece_fetch *fetch)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fetch->source_count; i++)
        for (uint32_t j = 0; j < PIECE_FETCH_LANES; j++) {
            const struct lane *lane = fetch->sources[i]->lanes[j];
            count += lane && lane->busy && http_caller_is_receiving(lane->caller);
        }
    return count;
}

static void take_piece(struct lane *lane, const struct http_message *message, uint64_t now)
{
    struct piece_fetch *fetch = lane->fetch;
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
                      count_receiving(fetch) + 1);
    if (verdict == PIECE_KNOWN)
        return;
    fetch->progress_at = now;
    fetch->from_origin += from_origin;
    fetch->from_nodes += !from_origin;
    metric_add(from_origin ? METRIC_CHUNKS_FROM_ORIGIN : METRIC_CHUNKS_FROM_PEER, 1);
    fetch->callbacks.piece_held(fetch->callbacks.context, piece);
}

/* The node does not have the piece yet. */
static void on_not_in_time(struct lane *lane, uint64_t now)
{
    if (silence_of(lane->fetch, now) > PATIENCE_US)
        fail_lane(lane, "not in time", now);
    else if (now < lane->asked_at + HASTY_US)
        lane->source->rests_until = now + HASTY_US;
}

static void on_piece(void *context, enum call_result result, const struct http_message *message)
{
    struct lane *lane = context;
    uint64_t now = cluster_now();
    lane->busy = false;
    if (result != CALL_ANSWERED)
        fail_lane(lane, result == CALL_BROKEN ? "broken" : "not reached", now);
    else if (http_message_status(message) == STATUS_NOT_IN_TIME)
        on_not_in_time(lane, now);
    else if (http_message_status(message) != 200)
        fail_lane(lane, "refused", now);
    else
        take_piece(lane, message, now);
    advance(lane->fetch, now);
}

/* Missing pieces that this lane is to fetch. \return the one that is this node's most of all by
 * rank, so that nodes that do not know each other yet read different ones; the count of pieces:
 * none */
static uint32_t list_wanted(struct lane *lane, uint64_t now, uint64_t wanted[PIECE_BITMAP_WORDS])
{
    struct piece_fetch *fetch = lane->fetch;
    uint32_t count = piece_set_manifest(fetch->set)->count;
    uint32_t best = count;
    uint64_t best_weight = 0;
    memset(wanted, 0, PIECE_BITMAP_WORDS * sizeof *wanted);
    for (uint32_t i = 0; i < count && i < PIECES_MOST; i++) {
        size_t size;
        if (i % fetch->lanes != lane->index || piece_set_data(fetch->set, i, &size) ||
            choose_source(fetch, i, now) != lane->source)
            continue;
        bitmap_set(wanted, i);
        uint64_t weight = relay_plan_weight(&fetch->plan, i);
        if (best == count || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

static void ask_piece(struct lane *lane, uint64_t now)
{
    struct piece_fetch *fetch = lane->fetch;
    uint64_t wanted[PIECE_BITMAP_WORDS];
    struct buffer target = {0};
    uint32_t best = list_wanted(lane, now, wanted);
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
    struct caller_request request = {.method = "GET",
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

/* --- life ----------------------------------------------------------------------------------------
 */

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
        struct source *source = choose_source(fetch, i, now);
        struct lane *lane = source ? lane_of(fetch, source, i % fetch->lanes) : NULL;
        if (lane && !lane->busy)
            ask_piece(lane, now);
    }
}

struct piece_fetch *piece_fetch_create(struct cluster *cluster, struct piece_set *set,
                                       enum piece_fetch_role role,
                                       const struct piece_fetch_callbacks *callbacks)
{
    struct piece_fetch *fetch = memory_zero(1, sizeof *fetch);
    fetch->cluster = cluster;
    fetch->set = set;
    fetch->role = role;
    fetch->callbacks = *callbacks;
    fetch->lanes = 1;
    fetch->began_at = cluster_now();
    fetch->link.nominal = strtod(cluster->settings->link_mbit, NULL);
    return fetch;
}

void piece_fetch_destroy(struct piece_fetch *fetch)
{
    for (uint32_t i = 0; i < fetch->source_count; i++) {
        for (uint32_t j = 0; j < PIECE_FETCH_LANES; j++) {
            struct lane *lane = fetch->sources[i]->lanes[j];
            if (lane)
                http_caller_destroy(lane->caller);
            free(lane);
        }
        free(fetch->sources[i]);
    }
    free(fetch->lists);
    free(fetch);
}

void piece_fetch_set_origin(struct piece_fetch *fetch, const struct sockaddr_in *origin)
{
    fetch->origin = *origin;
    fetch->has_origin = true;
}

void piece_fetch_set_lanes(struct piece_fetch *fetch, uint32_t lanes)
{
    fetch->lanes = lanes < 1 ? 1 : lanes > PIECE_FETCH_LANES ? PIECE_FETCH_LANES : lanes;
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
              fetch->from_nodes, fetch->from_origin, fetch->plan.count, fetch->failures,
              fetch->link.estimated);
}

static void rest_origin_lanes(struct piece_fetch *fetch)
{
    struct source *origin = fetch->has_origin ? find_source(fetch, RELAY_ORIGIN) : NULL;
    for (uint32_t i = 0; origin && i < PIECE_FETCH_LANES; i++)
        if (origin->lanes[i])
            http_caller_rest(origin->lanes[i]->caller, ORIGIN_IDLE_US);
}

/* Break off calls to nodes that say nothing at all. */
static void abort_silent(struct piece_fetch *fetch, uint64_t now)
{
    for (uint32_t i = 0; i < fetch->source_count; i++) {
        struct source *source = fetch->sources[i];
        for (uint32_t j = 0; source->address != RELAY_ORIGIN && j < PIECE_FETCH_LANES; j++) {
            struct lane *lane = source->lanes[j];
            if (lane && lane->busy && now > lane->asked_at + FIRST_BYTE_US &&
                !http_caller_is_receiving(lane->caller))
                http_caller_abort(lane->caller);
        }
    }
}

static void refresh_plan(struct piece_fetch *fetch, uint64_t now)
{
    bool origin_is_due = silence_of(fetch, now) > ORIGIN_AFTER_US;
    if (now < fetch->next_plan && origin_is_due == fetch->lists_name_origin)
        return;
    fetch->next_plan = now + PLAN_INTERVAL_US;
    relay_plan_refresh(&fetch->plan, fetch->cluster->membership, piece_set_rollout(fetch->set));
    list_sources(fetch, now);
}

void piece_fetch_tick(struct piece_fetch *fetch, uint64_t now)
{
    rest_origin_lanes(fetch);
    if (piece_set_complete(fetch->set))
        return;
    refresh_plan(fetch, now);
    abort_silent(fetch, now);
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

#include "loader/piece_store.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/hash.h"
#include "core/link_rate.h"
#include "core/swarm.h"
#include "loader/piece_plan.h"
#include "loader/piece_sources.h"
#include "loader/upload_queue.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#define MANIFEST_PATH "/manifest"
#define PIECE_PATH "/piece"
#define MANIFEST_TIMEOUT_MS 400
#define PIECE_TIMEOUT_MS 2500
/** A member that should have read a piece from the origin answers within this time, or is dead. */
#define PROBE_TIMEOUT_US 350000
#define MANIFEST_LIMIT (1U << 20)
#define PIECE_LIMIT (8U << 20)
/** Pause between questions for a manifest; it grows by as much with each, up to the last one. */
#define MANIFEST_PAUSE_US 30000
#define MANIFEST_PAUSES_MOST 5
/** Who does not read from the origin asks it for the manifest only after so many questions. */
#define MANIFEST_PEER_TRIES 10
/** Answers of a node that has no upload slot, or will have the piece soon. */
#define STATUS_BUSY 429
#define STATUS_PENDING 409
#define PLAN_INTERVAL_US 500000
/** A node that joins late asks its peers for so long before it reads the origin. */
#define JOIN_HOLD_US 150000
#define PROGRESS_LOG_US 400000
/** Downloads at once: beside an engine that serves, beside one that is empty, and on a slow link or
 *  behind another version. */
#define WINDOW_SHARED 4
#define WINDOW_ALONE 6
#define WINDOW_SLOW 1
#define SLOW_UPLOAD_SHARE 0.1
/** See swarm_settings; past this, sparing bytes between regions would delay the version. */
#define FAR_HOLD_US 3000000
/** Loaders that hold all tell each other so a quarter as often; the dead leave the plan sooner. */
#define SILENCE_US 5000000
/** Share of the link's rate for uploads: the rest is for the answers of the engine. */
#define UPLOAD_SHARE 0.9

struct piece {
    uint8_t *data;
    size_t size;
};

struct piece_store {
    struct cluster *cluster;
    struct piece_store_callbacks callbacks;
    char model[BACKEND_NAME_SIZE];
    uint64_t version;
    uint64_t rollout; /* key of the version */
    bool recent;      /* the version was named a moment ago: nobody can have it yet */
    struct piece_manifest manifest;
    char *manifest_body;
    size_t manifest_size;
    bool manifest_asked;
    uint32_t manifest_tries;
    uint64_t next_manifest; /* time of the next question for it */
    struct swarm *swarm;
    uint64_t members_hash; /* of the members that the plan was made for */
    uint64_t next_plan;
    struct piece *pieces;
    uint32_t held;
    struct piece_sources sources;
    struct fetch *fetches;
    struct upload_queue uploads;
    enum link_use link_use;
    struct link_rate rate;
    bool link_is_slow;
    bool held_back;
    uint32_t held_before; /* at the last look at progress */
    uint64_t progressed_at;
    uint64_t next_progress_log;
};

/* A call for a piece under way. */
struct fetch {
    struct fetch *next;
    struct piece_store *store;
    uint64_t source;
    uint32_t piece;
};

static void announce(void *context, uint64_t peer, const struct swarm_update *update);
static void fetch(void *context, uint64_t source, uint32_t piece);
static void cancel(void *context, uint64_t source, uint32_t piece);

static uint64_t piece_time_us(const struct piece_store *store)
{
    double bits_per_us = store->rate.nominal;
    if (store->link_is_slow)
        bits_per_us *= SLOW_UPLOAD_SHARE;
    else if (store->link_use != LINK_ALONE)
        bits_per_us *= UPLOAD_SHARE;
    return (uint64_t)(store->manifest.piece_bytes * 8.0 / (bits_per_us > 0 ? bits_per_us : 1000));
}

static struct swarm_settings swarm_settings_of(const struct piece_store *store)
{
    return (struct swarm_settings){
        .origin_budget = 1,
        .download_window = WINDOW_SHARED,
        .peer_window = 1,
        .upload_limit = 4,
        .neighbours = 12,
        .announce_us = 40000,
        .silence_us = SILENCE_US,
        .chunk_timeout_us = 2500000,
        .probe_timeout_us = PROBE_TIMEOUT_US,
        .busy_backoff_us = piece_time_us(store),
        .origin_copy_us = 1300000,
        .origin_step_us = 100000,
        .join_hold_us = store->recent ? 0 : JOIN_HOLD_US,
        .far_hold_us = FAR_HOLD_US,
    };
}

static void start_swarm(struct piece_store *store)
{
    struct swarm_driver driver = {
        .context = store, .fetch = fetch, .cancel = cancel, .announce = announce};
    struct swarm_settings settings = swarm_settings_of(store);
    uint64_t self = membership_self(store->cluster->membership)->address;
    store->pieces = memory_zero(store->manifest.count, sizeof *store->pieces);
    store->swarm = swarm_create(&settings, self, store->rollout, store->manifest.count,
                                cluster_now() ^ self, &driver);
}

/* --- manifest -----------------------------------------------------------------------------------
 */

static void on_manifest(void *context, enum call_result result, const struct http_message *message)
{
    struct piece_store *store = context;
    store->manifest_asked = false;
    if (result != CALL_ANSWERED || http_message_status(message) != 200 || store->swarm)
        return;
    struct piece_manifest manifest;
    if (platform_read_manifest(message->body.data, message->body.size, &manifest) != STATUS_OK ||
        manifest.version != store->version) {
        log_event(LOG_LEVEL_WARN, "pieces", "manifest-refused",
                  "version=%" PRIu64 " named=%" PRIu64, manifest.version, store->version);
        piece_manifest_clear(&manifest);
        return;
    }
    store->manifest = manifest;
    store->manifest_size = message->body.size;
    store->manifest_body = memory_copy(message->body.data, message->body.size);
    log_event(LOG_LEVEL_INFO, "pieces", "manifest",
              "model=%s version=%" PRIu64 " pieces=%u tries=%u", store->model, store->version,
              manifest.count, store->manifest_tries);
    start_swarm(store);
}

/* The origin, or a peer: those that read from the origin have the manifest first.
 * \return address of the peer, 0: the origin */
static uint32_t manifest_source(const struct piece_store *store)
{
    uint32_t try = store->manifest_tries;
    bool reads = piece_plan_reads_origin(store->cluster, store->rollout);
    bool ask_origin = reads ? try % 2 == 0 : try >= MANIFEST_PEER_TRIES && try % 4 == 0;
    if (ask_origin)
        return 0;
    return piece_plan_random_loader(store->cluster, store->rollout, try % 2 == 0);
}

static uint64_t manifest_pause_us(uint32_t tries)
{
    return MANIFEST_PAUSE_US * (tries < MANIFEST_PAUSES_MOST ? tries : MANIFEST_PAUSES_MOST);
}

static void ask_manifest(struct piece_store *store)
{
    struct buffer target = {0};
    uint32_t peer = manifest_source(store);
    if (peer)
        buffer_append_format(&target, MANIFEST_PATH "?model=%s&version=%" PRIu64, store->model,
                             store->version);
    else
        platform_write_manifest_target(store->model, store->version, &target);
    buffer_append(&target, "", 1);
    struct caller_request request = {.method = "GET",
                                     .target = target.data,
                                     .timeout_ms = MANIFEST_TIMEOUT_MS,
                                     .body_limit = MANIFEST_LIMIT,
                                     .done = on_manifest,
                                     .context = store};
    struct http_caller *source = piece_sources_get(&store->sources, peer ? peer : SWARM_ORIGIN);
    store->manifest_tries++;
    store->next_manifest = cluster_now() + manifest_pause_us(store->manifest_tries);
    store->manifest_asked = source != NULL;
    if (source)
        http_caller_send(source, &request);
    buffer_clear(&target);
}

/* --- swarm --------------------------------------------------------------------------------------
 */

static void hold(struct piece_store *store, uint32_t piece, const void *bytes, size_t size)
{
    store->pieces[piece].data = memory_copy(bytes, size);
    store->pieces[piece].size = size;
    store->held++;
    metric_add(METRIC_CHUNK_BYTES, size);
}

static bool digest_is_right(const struct piece_store *store, uint32_t piece, const void *bytes,
                            size_t size)
{
    struct digest digest = digest_of(bytes, size);
    return digest_equal(&digest, &store->manifest.digests[piece]);
}

static void take_piece(struct piece_store *store, const struct fetch *fetch,
                       const struct http_message *message, uint64_t transfer_us)
{
    uint64_t now = cluster_now();
    bool from_origin = fetch->source == SWARM_ORIGIN;
    if (!digest_is_right(store, fetch->piece, message->body.data, message->body.size)) {
        metric_add(METRIC_CHUNKS_REJECTED, 1);
        log_event(LOG_LEVEL_WARN, "pieces", "spoilt", "piece=%u source=%08" PRIx64 " bytes=%zu",
                  fetch->piece, fetch->source, message->body.size);
        swarm_on_failure(store->swarm, now, fetch->source, fetch->piece, SWARM_FAILURE_CORRUPT, 0);
        return;
    }
    if (!from_origin)
        link_rate_add(&store->rate, message->body.size, transfer_us, swarm_downloads(store->swarm));
    if (!swarm_on_chunk(store->swarm, now, fetch->source, fetch->piece))
        return;
    metric_add(from_origin ? METRIC_CHUNKS_FROM_ORIGIN : METRIC_CHUNKS_FROM_PEER, 1);
    hold(store, fetch->piece, message->body.data, message->body.size);
    store->callbacks.piece_held(store->callbacks.context, store, fetch->piece);
}

static enum swarm_failure failure_of(unsigned status)
{
    if (status == STATUS_BUSY || status == 503)
        return SWARM_FAILURE_BUSY;
    if (status == STATUS_PENDING)
        return SWARM_FAILURE_PENDING;
    return status == 404 || status == 410 ? SWARM_FAILURE_ABSENT : SWARM_FAILURE_ERROR;
}

static void fetch_end(struct fetch *fetch)
{
    struct fetch **place = &fetch->store->fetches;
    while (*place != fetch)
        place = &(*place)->next;
    *place = fetch->next;
    free(fetch);
}

static void on_piece(void *context, enum call_result result, const struct http_message *message)
{
    struct fetch *fetch = context;
    struct piece_store *store = fetch->store;
    unsigned status = result == CALL_ANSWERED ? http_message_status(message) : 0;
    if (status == 200) {
        struct http_caller *source = piece_sources_get(&store->sources, fetch->source);
        take_piece(store, fetch, message, source ? http_caller_transfer_us(source) : 0);
    } else {
        metric_add(METRIC_CHUNKS_FAILED, 1);
        swarm_on_failure(store->swarm, cluster_now(), fetch->source, fetch->piece,
                         failure_of(status), 0);
    }
    fetch_end(fetch);
}

static void fetch(void *context, uint64_t source_id, uint32_t piece)
{
    struct piece_store *store = context;
    struct buffer target = {0};
    struct http_caller *source = piece_sources_get(&store->sources, source_id);
    if (!source)
        return; /* the swarm gives the piece up after its time */
    if (source_id == SWARM_ORIGIN)
        platform_write_piece_target(store->model, store->version, piece, &target);
    else
        buffer_append_format(&target, PIECE_PATH "?model=%s&version=%" PRIu64 "&piece=%u",
                             store->model, store->version, piece);
    buffer_append(&target, "", 1);
    struct fetch *fetch = memory_zero(1, sizeof *fetch);
    *fetch = (struct fetch){store->fetches, store, source_id, piece};
    store->fetches = fetch;
    struct caller_request request = {.method = "GET",
                                     .target = target.data,
                                     .timeout_ms = PIECE_TIMEOUT_MS,
                                     .body_limit = PIECE_LIMIT,
                                     .done = on_piece,
                                     .context = fetch};
    http_caller_send(source, &request);
    buffer_clear(&target);
}

static void cancel(void *context, uint64_t source, uint32_t piece)
{
    /* Not at once: the swarm is in the midst of its own lists. */
    struct piece_store *store = context;
    piece_sources_cancel(&store->sources, source);
}

static void announce(void *context, uint64_t peer, const struct swarm_update *update)
{
    struct piece_store *store = context;
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__PieceNews news = SHUNTRUN__PIECE_NEWS__INIT;
    news.model = store->model;
    news.version = store->version;
    news.sequence = update->sequence;
    news.upload_queue = update->upload_queue;
    news.want_full = update->want_full;
    if (update->have_all) {
        news.have_all.data = (uint8_t *)update->have_all;
        news.have_all.len = update->have_words * sizeof *update->have_all;
    }
    news.have_new = (uint32_t *)update->have_new;
    news.n_have_new = update->new_count;
    message.pieces = &news;
    cluster_send(store->cluster, (uint32_t)peer, &message);
}

void piece_store_on_news(struct piece_store *store, uint32_t peer, const Shuntrun__PieceNews *news)
{
    if (!store->swarm || news->version != store->version || strcmp(news->model, store->model) != 0)
        return;
    struct swarm_update update = {
        .rollout = store->rollout,
        .sequence = news->sequence,
        .upload_queue = news->upload_queue,
        .have_new = news->have_new,
        .new_count = (uint32_t)news->n_have_new,
        .want_full = news->want_full,
    };
    uint64_t *have_all = NULL;
    if (news->have_all.len) {
        update.have_words = (uint32_t)(news->have_all.len / sizeof *have_all);
        have_all = memory_copy(news->have_all.data, news->have_all.len);
        update.have_all = have_all;
    }
    swarm_on_update(store->swarm, cluster_now(), peer, &update);
    free(have_all);
}

/* --- plan: who lives -----------------------------------------------------------------------------
 */

static void refresh_plan(struct piece_store *store, uint64_t now)
{
    struct swarm_plan *plan = piece_plan_refresh(store->cluster, store->rollout,
                                                 store->manifest.count, &store->members_hash);
    if (!plan)
        return;
    swarm_set_plan(store->swarm, now, plan);
    swarm_plan_release(plan);
}

/* --- serving -------------------------------------------------------------------------------------
 */

static void serve_piece(struct piece_store *store, struct service_call *call, uint32_t number)
{
    uint32_t queue = upload_queue_length(&store->uploads);
    enum swarm_upload upload = swarm_admit_upload(store->swarm, number, queue);
    const struct piece *piece = &store->pieces[number];
    swarm_set_upload_queue(store->swarm, queue);
    store->uploads.pace_us = piece_time_us(store);
    if (upload == SWARM_UPLOAD_SERVE && piece->data &&
        upload_queue_add(&store->uploads, call, piece->data, piece->size))
        return;
    unsigned status = upload == SWARM_UPLOAD_PENDING  ? STATUS_PENDING
                      : upload == SWARM_UPLOAD_ABSENT ? 404
                                                      : STATUS_BUSY;
    service_reply(call, status, NULL, NULL, 0);
}

bool piece_store_serve(struct piece_store *store, struct service_call *call,
                       const struct service_request *request)
{
    char model[BACKEND_NAME_SIZE], version[32], piece[32];
    http_query_value(request->target, request->target_length, "model", model, sizeof model);
    http_query_value(request->target, request->target_length, "version", version, sizeof version);
    if (strcmp(model, store->model) != 0 || strtoull(version, NULL, 10) != store->version)
        return false;
    if (service_path_is(request, MANIFEST_PATH) && store->manifest_body) {
        service_reply(call, 200, "application/json", store->manifest_body, store->manifest_size);
        return true;
    }
    if (!service_path_is(request, PIECE_PATH) || !store->swarm)
        return false;
    http_query_value(request->target, request->target_length, "piece", piece, sizeof piece);
    uint32_t number = (uint32_t)strtoul(piece, NULL, 10);
    if (number >= store->manifest.count)
        return false;
    serve_piece(store, call, number);
    return true;
}

/* --- life ----------------------------------------------------------------------------------------
 */

struct piece_store *piece_store_create(struct cluster *cluster, const char *model,
                                       const struct sockaddr_in *origin, uint64_t version,
                                       bool recent, const struct piece_store_callbacks *callbacks)
{
    struct piece_store *store = memory_zero(1, sizeof *store);
    store->cluster = cluster;
    store->callbacks = *callbacks;
    snprintf(store->model, sizeof store->model, "%s", model);
    store->sources.cluster = cluster;
    store->sources.origin = *origin;
    store->version = version;
    store->rollout = hash_pair(hash_name(model), version);
    store->recent = recent;
    store->rate.nominal = strtod(cluster->settings->link_mbit, NULL);
    upload_queue_open(&store->uploads, cluster->loop);
    return store;
}

static void on_uploads_closed(uv_handle_t *handle)
{
    struct upload_queue *uploads = handle->data;
    free((char *)uploads - offsetof(struct piece_store, uploads));
}

void piece_store_destroy(struct piece_store *store)
{
    if (!store)
        return;
    piece_sources_close(&store->sources);
    while (store->fetches)
        fetch_end(store->fetches);
    upload_queue_close(&store->uploads, on_uploads_closed);
    for (uint32_t i = 0; store->pieces && i < store->manifest.count; i++)
        free(store->pieces[i].data);
    if (store->swarm)
        swarm_destroy(store->swarm);
    free(store->pieces);
    free(store->manifest_body);
    piece_manifest_clear(&store->manifest);
}

void piece_store_share_link(struct piece_store *store, enum link_use use)
{
    store->link_use = use;
}

bool piece_store_link_is_slow(const struct piece_store *store)
{
    return store->link_is_slow;
}

void piece_store_hold_back(struct piece_store *store, bool held_back)
{
    store->held_back = held_back;
}

bool piece_store_half_held(const struct piece_store *store)
{
    return store->swarm && 2 * store->held >= store->manifest.count;
}

/* Every piece in flight delays the answers of the engine: few on a link that is narrow, or may be.
 */
static uint32_t download_window(const struct piece_store *store)
{
    if (store->link_use == LINK_ALONE)
        return WINDOW_ALONE;
    bool careful = store->link_is_slow || store->rate.estimated <= 0;
    return careful || store->link_use == LINK_BEHIND ? WINDOW_SLOW : WINDOW_SHARED;
}

static void watch_link(struct piece_store *store)
{
    bool slow = link_rate_is_slow(&store->rate);
    if (slow != store->link_is_slow)
        log_event(LOG_LEVEL_INFO, "pieces", slow ? "link-slow" : "link-sound",
                  "version=%" PRIu64 " mbit=%.2f nominal_mbit=%.2f", store->version,
                  store->rate.estimated, store->rate.nominal);
    store->link_is_slow = slow;
    swarm_set_download_window(store->swarm, download_window(store));
}

static void log_progress(struct piece_store *store, uint64_t now)
{
    if (now < store->next_progress_log || piece_store_complete(store))
        return;
    store->next_progress_log = now + PROGRESS_LOG_US;
    const struct swarm_counters *counters = swarm_counters(store->swarm);
    log_event(LOG_LEVEL_INFO, "pieces", "progress",
              "version=%" PRIu64 " held=%u of=%u from_peers=%" PRIu64 " from_origin=%" PRIu64
              " in_flight=%u refusals=%" PRIu64 " timeouts=%" PRIu64 " corrupt=%" PRIu64
              " mbit=%.2f",
              store->version, store->held, store->manifest.count, counters->chunks_from_peers,
              counters->chunks_from_origin, swarm_downloads(store->swarm), counters->refusals,
              counters->timeouts, counters->chunks_corrupt, store->rate.estimated);
}

uint64_t piece_store_progress_at(const struct piece_store *store)
{
    return store->progressed_at;
}

void piece_store_tick(struct piece_store *store, uint64_t now)
{
    piece_sources_tick(&store->sources);
    if (!store->swarm) {
        if (!store->manifest_asked && now >= store->next_manifest)
            ask_manifest(store);
        return;
    }
    if (store->held_back)
        return;
    watch_link(store);
    log_progress(store, now);
    if (store->held > store->held_before) {
        store->held_before = store->held;
        store->progressed_at = now;
    }
    if (now >= store->next_plan) {
        store->next_plan = now + PLAN_INTERVAL_US;
        refresh_plan(store, now);
    }
    swarm_on_tick(store->swarm, now);
}

uint64_t piece_store_version(const struct piece_store *store)
{
    return store->version;
}

const struct piece_manifest *piece_store_manifest(const struct piece_store *store)
{
    return store->swarm ? &store->manifest : NULL;
}

const uint8_t *piece_store_data(const struct piece_store *store, uint32_t piece, size_t *size)
{
    *size = store->pieces[piece].size;
    return store->pieces[piece].data;
}

bool piece_store_offer(struct piece_store *store, uint32_t piece, const void *bytes, size_t size)
{
    if (store->pieces[piece].data || !digest_is_right(store, piece, bytes, size))
        return false;
    if (!swarm_on_chunk(store->swarm, cluster_now(), SWARM_ORIGIN, piece))
        return false;
    hold(store, piece, bytes, size);
    return true;
}

bool piece_store_complete(const struct piece_store *store)
{
    return store->swarm && store->held == store->manifest.count;
}

#include "agent/rollout.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "core/hash.h"
#include "core/swarm/swarm_plan.h"

#include <stdlib.h>
#include <string.h>

#define MANIFEST_MAX_BYTES (8u << 20)
#define MANIFEST_RETRY_DELAY_US 200000ULL
/* Attempts at peers before the origin; the machine of the first rank asks the origin at once. */
#define MANIFEST_PEER_ATTEMPTS 8
/* Announcements are this much more frequent than other updates. */
#define ANNOUNCEMENTS_PER_UPDATE 2
/* Origin budget: members that may read a chunk from the origin at once. */
#define ORIGIN_COPIES 1
#define ORIGIN_COPIES_TIME_WEIGHTED 4
#define PEER_WINDOW 2 /* chunk requests in flight to one peer */
#define BUSY_BACKOFF_US (20 * MICROSECONDS_PER_MILLISECOND)
/* Multiples of `chunk-timeout-ms`, which itself limits the time without a received byte. */
#define TRANSFER_CHUNK_TIMEOUTS 20 /* longest transfer */
#define REQUEST_CHUNK_TIMEOUTS 2   /* longest request to a peer in the swarm */

static uint64_t next_number = 1;

struct rollout *rollout_create(struct node_shell *shell, struct blob_store *store,
                               struct transfer *transfer, const struct model_config *model)
{
    struct rollout *rollout = memory_calloc(1, sizeof *rollout);
    rollout->number = next_number++;
    rollout->shell = shell;
    rollout->store = store;
    rollout->transfer = transfer;
    rollout->model = *model;
    rollout->started_us = clock_monotonic_us();
    digest_to_hex(&model->manifest, rollout->manifest_hex);
    return rollout;
}

void rollout_destroy(struct rollout *rollout)
{
    if (!rollout)
        return;
    swarm_destroy(rollout->swarm);
    manifest_clear(&rollout->manifest);
    free(rollout);
}

/* ---- transfers ---- */

static bool source_url(const struct rollout *rollout, uint64_t source, const struct digest *digest,
                       char *url, size_t size)
{
    char hex[DIGEST_HEX_SIZE];
    digest_to_hex(digest, hex);
    if (source == SWARM_ORIGIN) {
        snprintf(url, size, "%s/v1/blobs/%s", rollout->shell->settings->origin_url, hex);
        return true;
    }
    const struct fleet *fleet = node_fleet(rollout->shell->node);
    int64_t index = fleet_find(fleet, source);
    if (index < 0)
        return false;
    snprintf(url, size, "http://%s:%u/v1/blobs/%s", fleet->machines[index].address,
             fleet->machines[index].http_port, hex);
    return true;
}

static bool start_transfer(struct rollout *rollout, uint64_t source, uint32_t chunk,
                           const struct digest *digest, uint64_t length)
{
    const struct settings *settings = rollout->shell->settings;
    struct transfer_job job = {
        .rollout = rollout->number,
        .source = source,
        .chunk = chunk,
        .digest = *digest,
        .length = length,
        .timeout_ms = TRANSFER_CHUNK_TIMEOUTS * settings->chunk_timeout_ms,
        .stall_ms = settings->chunk_timeout_ms,
    };
    if (!source_url(rollout, source, digest, job.url, sizeof job.url))
        return false;
    transfer_fetch(rollout->transfer, &job);
    return true;
}

static void fetch_chunk(void *context, uint64_t source, uint32_t chunk)
{
    struct rollout *rollout = context;
    const struct manifest *manifest = &rollout->manifest;
    /* A request to a source that left the machine list fails by the timeout of the swarm. */
    start_transfer(rollout, source, chunk, &manifest->chunks[chunk],
                   manifest_chunk_length(manifest, chunk));
}

static void cancel_chunk(void *context, uint64_t source, uint32_t chunk)
{
    struct rollout *rollout = context;
    transfer_cancel(rollout->transfer, rollout->number, source, chunk);
}

static void announce(void *context, uint64_t peer, const struct swarm_update *update)
{
    struct rollout *rollout = context;
    node_send_update(rollout->shell->node, clock_monotonic_us(), peer, update,
                     rollout->manifest_hex);
}

/* ---- manifest ---- */

/* The target of the first rank requests the manifest from the origin at once. The others request it
 * from that target, then from random targets, then from the origin. */
static uint64_t manifest_source(const struct rollout *rollout)
{
    const struct fleet *fleet = node_fleet(rollout->shell->node);
    const struct placement *placement = node_placement(rollout->shell->node);
    const struct fleet_config *config = node_config(rollout->shell->node);
    uint64_t key = hash_bytes(rollout->model.manifest.bytes, DIGEST_SIZE);
    uint64_t self = node_id(rollout->shell->node);
    if (rollout->attempts >= MANIFEST_PEER_ATTEMPTS)
        return SWARM_ORIGIN;
    for (uint32_t model = 0; placement && model < placement->model_count; model++) {
        const struct model_placement *targets = &placement->models[model];
        if (strcmp(config->models[model].name, rollout->model.name) != 0 || !targets->target_count)
            continue;
        uint64_t best = 0;
        for (uint32_t i = 0; i < targets->target_count; i++) {
            uint64_t id = fleet->machines[targets->targets[i]].id;
            if (!best || hash_pair(key, id) > hash_pair(key, best))
                best = id;
        }
        uint64_t pick = hash_pair(self, rollout->attempts) % targets->target_count;
        uint64_t other = fleet->machines[targets->targets[pick]].id;
        return best == self ? SWARM_ORIGIN : rollout->attempts ? other : best;
    }
    return SWARM_ORIGIN;
}

static void fetch_manifest(struct rollout *rollout, uint64_t now)
{
    uint64_t source = manifest_source(rollout);
    rollout->attempts++;
    rollout->next_attempt_us = now + MANIFEST_RETRY_DELAY_US;
    if (source == node_id(rollout->shell->node))
        return;
    rollout->request_active = start_transfer(rollout, source, TRANSFER_MANIFEST,
                                             &rollout->model.manifest, MANIFEST_MAX_BYTES);
}

/* Marks chunks that another version has already stored as held. */
static void mark_stored_chunks(struct rollout *rollout)
{
    uint32_t shared = 0;
    for (uint32_t chunk = 0; chunk < rollout->manifest.chunk_count; chunk++) {
        if (!blob_store_has(rollout->store, &rollout->manifest.chunks[chunk]))
            continue;
        swarm_mark_held(rollout->swarm, chunk);
        shared++;
    }
    log_event(LOG_LEVEL_INFO, "rollout", "started", "model=%s version=%s chunks=%u held=%u",
              rollout->model.name, rollout->model.version, rollout->manifest.chunk_count, shared);
}

static void create_swarm(struct rollout *rollout)
{
    const struct settings *settings = rollout->shell->settings;
    const struct swarm_driver driver = {rollout, fetch_chunk, cancel_chunk, announce};
    uint64_t step_us = settings->origin_step_ms * MICROSECONDS_PER_MILLISECOND;
    struct swarm_settings swarm_settings = {
        .origin_budget = rollout->weighting == ROLLOUT_TIME_WEIGHTED ? ORIGIN_COPIES_TIME_WEIGHTED
                                                                     : ORIGIN_COPIES,
        .download_window = (uint32_t)settings->download_window,
        .peer_window = PEER_WINDOW,
        .upload_limit = (uint32_t)settings->upload_limit,
        .neighbours = (uint32_t)settings->neighbours,
        .announce_us =
            settings->update_interval_ms * MICROSECONDS_PER_MILLISECOND / ANNOUNCEMENTS_PER_UPDATE,
        .neighbour_timeout_us = settings->suspect_after_ms * MICROSECONDS_PER_MILLISECOND,
        .chunk_timeout_us =
            REQUEST_CHUNK_TIMEOUTS * settings->chunk_timeout_ms * MICROSECONDS_PER_MILLISECOND,
        .busy_backoff_us = BUSY_BACKOFF_US,
        .origin_copy_us = step_us,
        .origin_rank_delay_us = step_us,
        .join_delay_us = settings->update_interval_ms * MICROSECONDS_PER_MILLISECOND,
    };
    uint64_t key = hash_bytes(rollout->model.manifest.bytes, DIGEST_SIZE);
    uint64_t self = node_id(rollout->shell->node);
    rollout->swarm = swarm_create(&swarm_settings, self, key, rollout->manifest.chunk_count,
                                  hash_pair(self, key), &driver);
    mark_stored_chunks(rollout);
}

/* Returns the index of the zone or region of a machine, in order of first appearance in the machine
 * list; `offset` is that of the name in struct machine. */
static uint16_t location_index(const struct fleet *fleet, size_t offset, uint32_t machine)
{
    const char *name = (const char *)&fleet->machines[machine] + offset;
    uint16_t number = 0;
    for (uint32_t i = 0; i < fleet->count; i++) {
        const char *other = (const char *)&fleet->machines[i] + offset;
        if (strcmp(other, name) == 0)
            return number;
        bool first = true; /* whether no earlier machine has this name */
        for (uint32_t j = 0; j < i && first; j++)
            first = strcmp((const char *)&fleet->machines[j] + offset, other) != 0;
        number = (uint16_t)(number + first);
    }
    return number;
}

void rollout_set_targets(struct rollout *rollout, uint64_t now,
                         const struct model_placement *placement)
{
    const struct fleet *fleet = node_fleet(rollout->shell->node);
    rollout->weighting = placement->weighting;
    if (!rollout->swarm)
        return;
    struct member *members = memory_calloc(placement->target_count, sizeof *members);
    for (uint32_t i = 0; i < placement->target_count; i++) {
        uint32_t machine = placement->targets[i];
        members[i].id = fleet->machines[machine].id;
        members[i].zone = location_index(fleet, offsetof(struct machine, zone), machine);
        members[i].region =
            location_index(fleet, offsetof(struct machine, region), machine) % SWARM_MAX_REGIONS;
    }
    uint64_t key = hash_bytes(rollout->model.manifest.bytes, DIGEST_SIZE);
    struct swarm_plan *plan =
        swarm_plan_create(key, rollout->manifest.chunk_count, members, placement->target_count);
    swarm_set_plan(rollout->swarm, now, plan);
    swarm_plan_release(plan);
    free(members);
}

/* Parses the stored manifest and starts to fetch chunks. */
static void use_manifest(struct rollout *rollout, uint64_t now)
{
    struct blob *blob = blob_store_get(rollout->store, &rollout->model.manifest);
    if (!blob)
        return;
    enum status status =
        manifest_parse(blob->data, blob->size, &rollout->model.manifest, &rollout->manifest);
    blob_release(blob);
    if (status != STATUS_OK) {
        log_event(LOG_LEVEL_ERROR, "rollout", "bad_manifest", "model=%s reason=\"%s\"",
                  rollout->model.name, status_message());
        rollout->next_attempt_us = UINT64_MAX; /* its digest matches: all copies are equal */
        return;
    }
    create_swarm(rollout);
    rollout->state = ROLLOUT_CHUNKS;
    rollout->attempts = 0;
    const struct placement *placement = node_placement(rollout->shell->node);
    const struct fleet_config *config = node_config(rollout->shell->node);
    for (uint32_t i = 0; i < placement->model_count; i++)
        if (strcmp(config->models[i].name, rollout->model.name) == 0)
            rollout_set_targets(rollout, now, &placement->models[i]);
}

/* ---- events ---- */

void rollout_on_transfer(struct rollout *rollout, uint64_t now,
                         const struct transfer_result *result)
{
    if (result->job.chunk == TRANSFER_MANIFEST) {
        rollout->request_active = false;
        if (result->stored && rollout->state == ROLLOUT_MANIFEST)
            use_manifest(rollout, now);
        return;
    }
    if (!rollout->swarm)
        return;
    if (result->stored)
        swarm_on_chunk(rollout->swarm, now, result->job.source, result->job.chunk);
    else
        swarm_on_failure(rollout->swarm, now, result->job.source, result->job.chunk,
                         result->failure, result->retry_after_ms * MICROSECONDS_PER_MILLISECOND);
}

void rollout_on_update(struct rollout *rollout, uint64_t now, uint64_t peer,
                       const Shuntrun__NodeUpdate *update)
{
    if (!rollout->swarm || strcmp(update->rollout, rollout->manifest_hex) != 0)
        return;
    size_t words = (rollout->manifest.chunk_count + 63) / 64;
    bool full = update->have_all.len == words * sizeof(uint64_t);
    if (update->have_all.len && !full)
        return;
    uint64_t *have_all =
        full ? memory_duplicate(update->have_all.data, update->have_all.len) : NULL;
    if (have_all && rollout->manifest.chunk_count % 64)
        have_all[words - 1] &= (1ULL << rollout->manifest.chunk_count % 64) - 1;
    struct swarm_update swarm_update = {
        .rollout = hash_bytes(rollout->model.manifest.bytes, DIGEST_SIZE),
        .sequence = update->sequence,
        .upload_queue = update->upload_queue,
        .have_all = have_all,
        .have_words = (uint32_t)words,
        .have_new = update->have_new,
        .new_count = (uint32_t)update->n_have_new,
        .want_full = update->want_full,
    };
    swarm_on_update(rollout->swarm, now, peer, &swarm_update);
    free(have_all);
}

void rollout_tick(struct rollout *rollout, uint64_t now)
{
    if (rollout->state == ROLLOUT_MANIFEST && !rollout->request_active &&
        now >= rollout->next_attempt_us) {
        if (blob_store_has(rollout->store, &rollout->model.manifest))
            use_manifest(rollout, now);
        else
            fetch_manifest(rollout, now);
    }
    if (rollout->swarm)
        swarm_on_tick(rollout->swarm, now);
}

bool rollout_release_expired(struct rollout *rollout, uint64_t now)
{
    uint64_t keep_us = rollout->shell->settings->weights_keep_ms * MICROSECONDS_PER_MILLISECOND;
    bool expired = rollout->state == ROLLOUT_READY && rollout->swarm &&
                   swarm_complete(rollout->swarm) && rollout->ready_since_us &&
                   now - rollout->ready_since_us >= keep_us;
    if (!expired)
        return false;
    swarm_destroy(rollout->swarm);
    rollout->swarm = NULL;
    rollout->released = true;
    log_event(LOG_LEVEL_INFO, "rollout", "released", "model=%s version=%s", rollout->model.name,
              rollout->model.version);
    return true;
}

void rollout_restart(struct rollout *rollout)
{
    rollout->ready_since_us = 0;
    rollout->released = false;
    rollout->state = rollout->swarm ? ROLLOUT_CHUNKS : ROLLOUT_MANIFEST;
    if (!rollout->swarm)
        manifest_clear(&rollout->manifest);
}

bool rollout_needs_blob(const struct rollout *rollout, const struct digest *digest)
{
    if (digest_equal(digest, &rollout->model.manifest))
        return true;
    if (rollout->released)
        return false;
    return manifest_find_chunk(&rollout->manifest, digest) >= 0;
}

void rollout_list_pending(const struct rollout *rollout, struct digest **digests, uint32_t *count)
{
    for (uint32_t chunk = 0; rollout->swarm && chunk < rollout->manifest.chunk_count; chunk++) {
        if (swarm_admit_upload(rollout->swarm, chunk, 0) != SWARM_UPLOAD_PENDING)
            continue;
        *digests = memory_realloc(*digests, (*count + 1) * sizeof **digests);
        (*digests)[(*count)++] = rollout->manifest.chunks[chunk];
    }
}

#include "core/swarm/swarm.h"

#include "base/memory.h"
#include "core/swarm/swarm_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* A peer is backed off from after CORRUPT_MIN_CHUNKS corrupt chunks, if more than one in
 * CORRUPT_RATIO was corrupt, for CORRUPT_BACKOFF_TIMEOUTS neighbour timeouts. */
#define CORRUPT_MIN_CHUNKS 3
#define CORRUPT_RATIO 10
#define CORRUPT_BACKOFF_TIMEOUTS 8
/* Request timeouts in mean chunk transfer times. */
#define TIMEOUT_MEAN_DURATIONS 8
#define ENDGAME_TIMEOUT_MEAN_DURATIONS 4
/* Number of chunks compared in one choice of the rarest, to bound its cost. */
#define RAREST_SAMPLE_CHUNKS 256
#define MAX_BACKOFF_DOUBLINGS 3 /* of the backoff of a busy peer */
/* Cost of a distant peer, in half queued chunks. */
#define OTHER_REGION_COST 2
#define OTHER_ZONE_COST 1

/* ---- construction ---- */

struct swarm *swarm_create(const struct swarm_settings *settings, uint64_t self, uint64_t rollout,
                           uint32_t chunk_count, uint64_t seed, const struct swarm_driver *driver)
{
    struct swarm *swarm = memory_calloc(1, sizeof *swarm);
    swarm->settings = *settings;
    swarm->driver = *driver;
    swarm->self = self;
    swarm->rollout = rollout;
    swarm->random.seed = seed;
    swarm->chunk_count = chunk_count;
    swarm->words = bitmap_words(chunk_count);
    swarm->have = memory_calloc(swarm->words, sizeof(uint64_t));
    swarm->open = memory_calloc(swarm->words, sizeof(uint64_t));
    swarm->availability = memory_calloc(chunk_count, sizeof(uint16_t));
    swarm->arrivals = memory_calloc(chunk_count, sizeof(uint32_t));
    for (uint32_t chunk = 0; chunk < chunk_count; chunk++)
        bitmap_set(swarm->open, chunk);
    return swarm;
}

void swarm_destroy(struct swarm *swarm)
{
    if (!swarm)
        return;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        free(swarm->neighbours[i].have);
    swarm_plan_release(swarm->plan);
    free(swarm->have);
    free(swarm->open);
    free(swarm->availability);
    free(swarm->arrivals);
    free(swarm->assignments);
    free(swarm->unresponsive);
    free(swarm);
}

static void add_chunk(struct swarm *swarm, uint32_t chunk)
{
    assert(!bitmap_get(swarm->have, chunk));
    bitmap_set(swarm->have, chunk);
    bitmap_clear(swarm->open, chunk);
    swarm->arrivals[swarm->held++] = chunk;
}

void swarm_mark_held(struct swarm *swarm, uint32_t chunk)
{
    if (!bitmap_get(swarm->have, chunk))
        add_chunk(swarm, chunk);
}

bool swarm_complete(const struct swarm *swarm)
{
    return swarm->held == swarm->chunk_count;
}

uint32_t swarm_held_count(const struct swarm *swarm)
{
    return swarm->held;
}

const struct swarm_counters *swarm_counters(const struct swarm *swarm)
{
    return &swarm->counters;
}

void swarm_set_upload_queue(struct swarm *swarm, uint32_t queue)
{
    swarm->upload_queue = queue;
}

uint32_t swarm_neighbours(const struct swarm *swarm, uint64_t ids[SWARM_MAX_NEIGHBOURS])
{
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        ids[i] = swarm->neighbours[i].id;
    return swarm->neighbour_count;
}

/* ---- requests in flight ---- */

static struct request *find_request(struct swarm *swarm, uint64_t source, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->request_count; i++)
        if (swarm->requests[i].source == source && swarm->requests[i].chunk == chunk)
            return &swarm->requests[i];
    return NULL;
}

static bool is_chunk_requested(const struct swarm *swarm, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->request_count; i++)
        if (swarm->requests[i].chunk == chunk)
            return true;
    return false;
}

static uint64_t request_timeout(const struct swarm *swarm)
{
    bool endgame = swarm->chunk_count - swarm->held <= swarm->settings.download_window;
    uint64_t timeout =
        swarm->mean_chunk_us * (endgame ? ENDGAME_TIMEOUT_MEAN_DURATIONS : TIMEOUT_MEAN_DURATIONS);
    if (!swarm->mean_chunk_us || timeout > swarm->settings.chunk_timeout_us)
        return swarm->settings.chunk_timeout_us;
    uint64_t min = swarm->settings.chunk_timeout_us / 16;
    return timeout < min ? min : timeout;
}

void swarm_start_request(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk,
                         bool probe)
{
    assert(swarm->request_count < SWARM_MAX_IN_FLIGHT);
    struct request *request = &swarm->requests[swarm->request_count++];
    *request = (struct request){.source = source, .chunk = chunk, .probe = probe, .started = now};
    uint64_t timeout =
        source == SWARM_ORIGIN ? swarm->settings.chunk_timeout_us * 4 : request_timeout(swarm);
    request->deadline = now + timeout;
    bitmap_clear(swarm->open, chunk);
    if (source == SWARM_ORIGIN)
        swarm->origin_reads++;
    else if (!probe)
        swarm->downloads++;
    struct neighbour *neighbour = swarm_find_neighbour(swarm, source);
    if (neighbour && !probe)
        neighbour->in_flight++;
    swarm->driver.fetch(swarm->driver.context, source, chunk);
}

/* Removes a request; its chunk is open again unless held or requested from another source. */
static void end_request(struct swarm *swarm, struct request *request)
{
    struct request ended = *request;
    *request = swarm->requests[--swarm->request_count];
    struct neighbour *neighbour = swarm_find_neighbour(swarm, ended.source);
    if (ended.source == SWARM_ORIGIN)
        swarm->origin_reads--;
    else if (!ended.probe)
        swarm->downloads--;
    if (neighbour && !ended.probe && neighbour->in_flight)
        neighbour->in_flight--;
    if (!bitmap_get(swarm->have, ended.chunk) && !is_chunk_requested(swarm, ended.chunk))
        bitmap_set(swarm->open, ended.chunk);
}

static void cancel_requests(struct swarm *swarm, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->request_count;) {
        struct request *request = &swarm->requests[i];
        if (request->chunk != chunk) {
            i++;
            continue;
        }
        uint64_t source = request->source;
        end_request(swarm, request);
        swarm->driver.cancel(swarm->driver.context, source, chunk);
    }
}

/* ---- selection of chunk and peer ---- */

static bool is_neighbour_usable(const struct swarm *swarm, const struct neighbour *neighbour,
                                uint64_t now)
{
    return neighbour->have_count && neighbour->backoff_until <= now &&
           neighbour->in_flight < swarm->settings.peer_window &&
           now - neighbour->last_heard < swarm->settings.neighbour_timeout_us;
}

/* Sets `offers` to the open chunks that a usable neighbour holds. \return false if none */
static bool collect_offers(const struct swarm *swarm, uint64_t now, uint64_t *offers)
{
    uint64_t any = 0;
    memset(offers, 0, swarm->words * sizeof *offers);
    for (uint32_t i = 0; i < swarm->neighbour_count; i++) {
        const struct neighbour *neighbour = &swarm->neighbours[i];
        if (!is_neighbour_usable(swarm, neighbour, now))
            continue;
        for (size_t word = 0; word < swarm->words; word++)
            offers[word] |= neighbour->have[word];
    }
    for (size_t word = 0; word < swarm->words; word++) {
        offers[word] &= swarm->open[word];
        any |= offers[word];
    }
    return any != 0;
}

/* The rarest of RAREST_SAMPLE_CHUNKS offered chunks, from a random start. Ties are broken at
 * random: members that fetch the same chunks in the same order have nothing to exchange. */
static uint32_t rarest_offer(struct swarm *swarm, const uint64_t *offers)
{
    uint32_t best = UINT32_MAX;
    unsigned best_count = UINT32_MAX;
    size_t start = (size_t)random_below(&swarm->random, swarm->words);
    unsigned seen = 0;
    uint32_t ties = 0;
    for (size_t i = 0; i < swarm->words && seen < RAREST_SAMPLE_CHUNKS; i++) {
        size_t word = start + i < swarm->words ? start + i : start + i - swarm->words;
        for (uint64_t bits = offers[word]; bits; bits &= bits - 1) {
            uint32_t chunk = (uint32_t)(word * BITMAP_WORD_BITS) + (uint32_t)__builtin_ctzll(bits);
            seen++;
            uint32_t count = swarm->availability[chunk];
            if (count > best_count)
                continue;
            ties = count < best_count ? 1 : ties + 1;
            if (random_below(&swarm->random, ties) == 0)
                best = chunk;
            best_count = count;
        }
    }
    return best;
}

static uint32_t neighbour_cost(const struct swarm *swarm, const struct neighbour *neighbour)
{
    uint32_t cost = 2 * (neighbour->upload_queue + neighbour->in_flight);
    if (neighbour->region != swarm->region)
        cost += OTHER_REGION_COST;
    else if (neighbour->zone != swarm->zone)
        cost += OTHER_ZONE_COST;
    return cost;
}

static struct neighbour *lowest_cost_holder(struct swarm *swarm, uint64_t now, uint32_t chunk)
{
    struct neighbour *best = NULL;
    uint32_t best_cost = 0;
    uint32_t ties = 0;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        if (!bitmap_get(neighbour->have, chunk) || !is_neighbour_usable(swarm, neighbour, now))
            continue;
        uint32_t cost = neighbour_cost(swarm, neighbour);
        if (!best || cost < best_cost) {
            best = neighbour;
            best_cost = cost;
            ties = 1;
        } else if (cost == best_cost && random_below(&swarm->random, ++ties) == 0) {
            best = neighbour;
        }
    }
    return best;
}

static void fill_from_neighbours(struct swarm *swarm, uint64_t now)
{
    uint64_t offers[swarm->words];
    while (swarm->downloads < swarm->settings.download_window &&
           swarm->request_count < SWARM_MAX_IN_FLIGHT && collect_offers(swarm, now, offers)) {
        uint32_t chunk = rarest_offer(swarm, offers);
        struct neighbour *holder = lowest_cost_holder(swarm, now, chunk);
        assert(holder);
        swarm_start_request(swarm, now, holder->id, chunk, false);
    }
}

static void fill_requests(struct swarm *swarm, uint64_t now)
{
    if (!swarm->plan || swarm_complete(swarm))
        return;
    swarm_start_due_assignments(swarm, now);
    fill_from_neighbours(swarm, now);
}

void swarm_set_plan(struct swarm *swarm, uint64_t now, struct swarm_plan *plan)
{
    assert(plan->rollout == swarm->rollout && plan->chunk_count == swarm->chunk_count);
    bool first = !swarm->plan;
    swarm_plan_retain(plan);
    swarm_plan_release(swarm->plan);
    swarm->plan = plan;
    if (first)
        swarm->started = now;
    uint32_t self = swarm_plan_find(plan, swarm->self);
    if (self != SWARM_NO_MEMBER) {
        swarm->zone = plan->members[self].zone;
        swarm->region = plan->members[self].region;
    }
    swarm_drop_former_members(swarm);
    swarm_fill_neighbours(swarm, now);
    swarm_collect_assignments(swarm);
    swarm_on_tick(swarm, now);
}

/* ---- events ---- */

void swarm_on_update(struct swarm *swarm, uint64_t now, uint64_t peer,
                     const struct swarm_update *update)
{
    if (swarm_apply_update(swarm, now, peer, update))
        fill_requests(swarm, now);
}

/* ---- request results ---- */

static void update_mean_chunk_time(struct swarm *swarm, uint64_t duration)
{
    swarm->mean_chunk_us =
        swarm->mean_chunk_us ? (7 * swarm->mean_chunk_us + duration) / 8 : duration;
}

bool swarm_on_chunk(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk)
{
    struct request *request = find_request(swarm, source, chunk);
    if (request) {
        struct neighbour *neighbour = swarm_find_neighbour(swarm, source);
        if (neighbour) {
            neighbour->refusals = 0;
            neighbour->received++;
        }
        if (source != SWARM_ORIGIN)
            update_mean_chunk_time(swarm, now - request->started);
        end_request(swarm, request);
    }
    if (chunk >= swarm->chunk_count || bitmap_get(swarm->have, chunk))
        return false;
    add_chunk(swarm, chunk);
    cancel_requests(swarm, chunk);
    if (source == SWARM_ORIGIN)
        swarm->counters.chunks_from_origin++;
    else
        swarm->counters.chunks_from_peers++;
    swarm_drop_completed_assignments(swarm, chunk);
    fill_requests(swarm, now);
    swarm_send_announcements(swarm, now);
    return true;
}

/* Occasional bit errors on a link are tolerated, a peer with faulty memory is not.
 * \return whether the share of corrupt chunks is too high */
static bool record_corrupt_chunk(struct neighbour *neighbour)
{
    neighbour->corrupt++;
    return neighbour->corrupt >= CORRUPT_MIN_CHUNKS &&
           neighbour->corrupt * CORRUPT_RATIO > neighbour->received;
}

static void back_off(struct swarm *swarm, uint64_t now, struct neighbour *neighbour,
                     enum swarm_failure failure, uint64_t retry_after_us)
{
    uint64_t backoff = swarm->settings.busy_backoff_us
                       << (neighbour->refusals < MAX_BACKOFF_DOUBLINGS ? neighbour->refusals
                                                                       : MAX_BACKOFF_DOUBLINGS);
    neighbour->refusals++;
    if (failure == SWARM_FAILURE_ERROR)
        backoff = swarm->settings.chunk_timeout_us;
    if (failure == SWARM_FAILURE_ABSENT)
        neighbour->wants_full = true;
    if (failure == SWARM_FAILURE_CORRUPT && record_corrupt_chunk(neighbour))
        backoff = swarm->settings.neighbour_timeout_us * CORRUPT_BACKOFF_TIMEOUTS;
    if (backoff < retry_after_us)
        backoff = retry_after_us;
    neighbour->backoff_until = now + backoff;
}

void swarm_on_failure(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk,
                      enum swarm_failure failure, uint64_t retry_after_us)
{
    struct request *found = find_request(swarm, source, chunk);
    if (failure == SWARM_FAILURE_CORRUPT)
        swarm->counters.chunks_corrupt++;
    else if (failure != SWARM_FAILURE_ERROR)
        swarm->counters.refusals++;
    if (!found)
        return;
    struct request request = *found;
    end_request(swarm, found);
    swarm_assignment_failed(swarm, now, &request, failure);
    if (source == SWARM_ORIGIN) {
        uint64_t backoff =
            swarm->settings.busy_backoff_us + swarm->settings.origin_rank_delay_us / 2;
        swarm->origin_backoff_until = now + (backoff > retry_after_us ? backoff : retry_after_us);
    }
    struct neighbour *neighbour = swarm_find_neighbour(swarm, source);
    if (neighbour)
        back_off(swarm, now, neighbour, failure, retry_after_us);
    fill_requests(swarm, now);
}

static void expire_requests(struct swarm *swarm, uint64_t now)
{
    for (uint32_t i = 0; i < swarm->request_count;) {
        struct request request = swarm->requests[i];
        if (request.deadline > now) {
            i++;
            continue;
        }
        swarm->counters.timeouts++;
        swarm->driver.cancel(swarm->driver.context, request.source, request.chunk);
        swarm_on_failure(swarm, now, request.source, request.chunk, SWARM_FAILURE_ERROR, 0);
        i = 0; /* swarm_on_failure() changed the table */
    }
}

void swarm_on_tick(struct swarm *swarm, uint64_t now)
{
    if (!swarm->plan)
        return;
    expire_requests(swarm, now);
    swarm_replace_silent_neighbours(swarm, now);
    fill_requests(swarm, now);
    swarm_send_announcements(swarm, now);
}

enum swarm_upload swarm_admit_upload(const struct swarm *swarm, uint32_t chunk, uint32_t queue)
{
    if (chunk >= swarm->chunk_count)
        return SWARM_UPLOAD_ABSENT;
    if (bitmap_get(swarm->have, chunk))
        return queue < swarm->settings.upload_limit ? SWARM_UPLOAD_SERVE : SWARM_UPLOAD_BUSY;
    if (!bitmap_get(swarm->open, chunk))
        return SWARM_UPLOAD_PENDING;
    for (uint32_t i = 0; i < swarm->assignment_count; i++)
        if (swarm->assignments[i].chunk == chunk &&
            swarm->assignments[i].next == swarm->assignments[i].position)
            return SWARM_UPLOAD_PENDING;
    return SWARM_UPLOAD_ABSENT;
}

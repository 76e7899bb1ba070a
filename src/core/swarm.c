#include "core/swarm.h"

#include "base/memory.h"
#include "core/bitmap.h"
#include "core/hash.h"
#include "core/overlay.h"
#include "core/random.h"
#include "core/swarm_plan.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define CORRUPT_STRIKES 3        /* corrupt chunks after which a peer may be avoided */
#define CORRUPT_SHARE 10         /* and only when it is more than one in so many */
#define CORRUPT_PAUSE_SILENCES 8 /* an avoided peer is tried again after so many silence times */
#define TIMEOUT_MEANS 8          /* a request is given up after so many mean chunk times */
#define ENDGAME_TIMEOUT_MEANS 4
#define PENDING_PATIENCE 8   /* "pending" answers before a later rank goes on */
#define FULL_UPDATE_EVERY 64 /* every so many updates are full, against lost state */
#define RAREST_SAMPLE 256    /* chunks looked at for the rarest; bounds the work of one choice */
#define MAX_BACKOFF_STEPS 3  /* a busy peer's pause doubles so often */
#define FAR_REGION_COST 2    /* cost of a peer in half queued chunks */
#define FAR_ZONE_COST 1

struct neighbour {
    uint64_t id;
    uint64_t *have; /* bitmap, owned */
    uint32_t have_count;
    uint16_t zone;
    uint16_t region;
    bool chosen; /* by this node; else it chose us */
    bool heard;
    bool needs_full; /* our next update must be full */
    bool wants_full; /* we lost track of its set */
    uint32_t in_flight;
    uint32_t upload_queue; /* as last announced */
    uint32_t corrupt;      /* chunks with wrong bytes */
    uint32_t received;     /* chunks with right bytes */
    uint32_t refusals;     /* in a row */
    uint32_t sequence_in;
    uint32_t sequence_out;
    uint32_t announced; /* length of our arrival log that it has seen */
    uint64_t backoff_until;
    uint64_t last_heard;
    uint64_t last_sent;
};

struct request {
    uint64_t source;
    uint32_t chunk;
    bool probe; /* asked as a later rank, not as a neighbour's offer */
    uint64_t started;
    uint64_t deadline;
};

/* This node's place in the ladder of one chunk. */
struct duty {
    uint32_t chunk;
    uint8_t position;
    uint8_t next; /* ladder entry to ask next; == position: read from the origin */
    uint8_t pending;
    bool asking;
    uint64_t not_before;
};

struct swarm {
    struct swarm_settings settings;
    struct swarm_driver driver;
    struct swarm_plan *plan;
    struct swarm_counters counters;
    struct random_stream random;
    uint64_t self;
    uint64_t rollout;
    uint16_t zone;
    uint16_t region;
    uint32_t chunk_count;
    size_t words;
    uint64_t started;
    uint64_t *have;
    uint64_t *open;         /* missing and not in flight */
    uint16_t *availability; /* neighbours that hold each chunk */
    uint32_t *arrivals;     /* chunks in order of arrival */
    uint32_t held;
    uint32_t upload_queue;
    struct neighbour neighbours[SWARM_MAX_NEIGHBOURS];
    uint32_t neighbour_count;
    struct request requests[SWARM_MAX_IN_FLIGHT];
    uint32_t request_count;
    uint32_t downloads; /* requests that count against the window */
    uint32_t origin_reads;
    uint64_t origin_backoff_until;
    uint64_t mean_chunk_us;
    struct duty *duties;
    uint32_t duty_count;
    uint64_t *suspects; /* members that did not answer as ladder entries */
    uint32_t suspect_count;
};

/* ---- construction ---- */

struct swarm *swarm_create(const struct swarm_settings *settings, uint64_t self, uint64_t rollout,
                           uint32_t chunk_count, uint64_t seed, const struct swarm_driver *driver)
{
    struct swarm *swarm = memory_zero(1, sizeof *swarm);
    swarm->settings = *settings;
    swarm->driver = *driver;
    swarm->self = self;
    swarm->rollout = rollout;
    swarm->random.seed = seed;
    swarm->chunk_count = chunk_count;
    swarm->words = bitmap_words(chunk_count);
    swarm->have = memory_zero(swarm->words, sizeof(uint64_t));
    swarm->open = memory_zero(swarm->words, sizeof(uint64_t));
    swarm->availability = memory_zero(chunk_count, sizeof(uint16_t));
    swarm->arrivals = memory_zero(chunk_count, sizeof(uint32_t));
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
    free(swarm->duties);
    free(swarm->suspects);
    free(swarm);
}

static void add_chunk(struct swarm *swarm, uint32_t chunk)
{
    assert(!bitmap_get(swarm->have, chunk));
    bitmap_set(swarm->have, chunk);
    bitmap_clear(swarm->open, chunk);
    swarm->arrivals[swarm->held++] = chunk;
}

void swarm_hold(struct swarm *swarm, uint32_t chunk)
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

bool swarm_holds(const struct swarm *swarm, uint32_t chunk)
{
    return bitmap_get(swarm->have, chunk);
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

/* ---- neighbours ---- */

static struct neighbour *find_neighbour(struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        if (swarm->neighbours[i].id == id)
            return &swarm->neighbours[i];
    return NULL;
}

static struct neighbour *add_neighbour(struct swarm *swarm, uint64_t now, uint64_t id, bool chosen)
{
    uint32_t index = swarm_plan_find(swarm->plan, id);
    if (index == SWARM_NO_MEMBER || id == swarm->self ||
        swarm->neighbour_count == SWARM_MAX_NEIGHBOURS)
        return NULL;
    struct neighbour *neighbour = &swarm->neighbours[swarm->neighbour_count++];
    *neighbour = (struct neighbour){.id = id, .chosen = chosen, .needs_full = true};
    neighbour->have = memory_zero(swarm->words, sizeof(uint64_t));
    neighbour->zone = swarm->plan->members[index].zone;
    neighbour->region = swarm->plan->members[index].region;
    neighbour->last_heard = now;
    neighbour->wants_full = true;
    return neighbour;
}

static void forget_have(struct swarm *swarm, struct neighbour *neighbour)
{
    for (uint32_t chunk = 0; chunk < swarm->chunk_count; chunk++)
        if (bitmap_get(neighbour->have, chunk))
            swarm->availability[chunk]--;
    memset(neighbour->have, 0, swarm->words * sizeof(uint64_t));
    neighbour->have_count = 0;
}

static void remove_neighbour(struct swarm *swarm, struct neighbour *neighbour)
{
    forget_have(swarm, neighbour);
    free(neighbour->have);
    *neighbour = swarm->neighbours[--swarm->neighbour_count];
}

static bool is_neighbour(const void *context, uint64_t id)
{
    const struct swarm *swarm = context;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        if (swarm->neighbours[i].id == id)
            return true;
    return false;
}

static void fill_neighbours(struct swarm *swarm, uint64_t now)
{
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        chosen += swarm->neighbours[i].chosen;
    for (; chosen < swarm->settings.neighbours; chosen++) {
        struct overlay_query query = {
            .members = swarm->plan->members,
            .member_count = swarm->plan->member_count,
            .self = swarm->self,
            .region = swarm->region,
            .near = chosen % 2 == 0,
            .excluded = is_neighbour,
            .context = swarm,
        };
        uint64_t id = overlay_best(&query);
        if (!id || !add_neighbour(swarm, now, id, true))
            return;
    }
}

static void drop_former_members(struct swarm *swarm)
{
    for (uint32_t i = 0; i < swarm->neighbour_count;) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        if (swarm_plan_find(swarm->plan, neighbour->id) == SWARM_NO_MEMBER)
            remove_neighbour(swarm, neighbour);
        else
            i++;
    }
}

/* ---- duties: this node's places in the ladders ---- */

static void add_duty(struct swarm *swarm, uint32_t chunk, uint32_t position, uint32_t *capacity)
{
    if (swarm->duty_count == *capacity) {
        *capacity = *capacity ? 2 * *capacity : 32;
        swarm->duties = memory_resize(swarm->duties, *capacity * sizeof *swarm->duties);
    }
    struct duty *duty = &swarm->duties[swarm->duty_count++];
    *duty = (struct duty){.chunk = chunk, .position = (uint8_t)position};
    duty->not_before = swarm->started + swarm->settings.join_hold_us;
    if (position >= swarm->settings.origin_budget)
        duty->not_before +=
            swarm->settings.origin_copy_us + position * swarm->settings.origin_step_us;
    else
        duty->next = (uint8_t)position;
}

static int compare_duties(const void *left, const void *right)
{
    const struct duty *a = left;
    const struct duty *b = right;
    if (a->position != b->position)
        return a->position < b->position ? -1 : 1;
    return a->chunk < b->chunk ? -1 : a->chunk > b->chunk;
}

static void collect_duties(struct swarm *swarm)
{
    uint32_t self = swarm_plan_find(swarm->plan, swarm->self);
    uint32_t capacity = 0;
    free(swarm->duties);
    swarm->duties = NULL;
    swarm->duty_count = 0;
    for (uint32_t chunk = 0; chunk < swarm->chunk_count && self != SWARM_NO_MEMBER; chunk++) {
        uint32_t ladder[SWARM_LADDER_SIZE];
        uint32_t length = swarm_plan_ladder(swarm->plan, chunk, swarm->region, ladder);
        for (uint32_t position = 0; position < length; position++)
            if (ladder[position] == self && !bitmap_get(swarm->have, chunk))
                add_duty(swarm, chunk, position, &capacity);
    }
    if (swarm->duty_count)
        qsort(swarm->duties, swarm->duty_count, sizeof *swarm->duties, compare_duties);
}

static void fill_requests(struct swarm *swarm, uint64_t now);

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
    drop_former_members(swarm);
    fill_neighbours(swarm, now);
    collect_duties(swarm);
    swarm_on_tick(swarm, now);
}

/* ---- requests in flight ---- */

static struct request *find_request(struct swarm *swarm, uint64_t source, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->request_count; i++)
        if (swarm->requests[i].source == source && swarm->requests[i].chunk == chunk)
            return &swarm->requests[i];
    return NULL;
}

static bool chunk_requested(const struct swarm *swarm, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->request_count; i++)
        if (swarm->requests[i].chunk == chunk)
            return true;
    return false;
}

static uint64_t request_timeout(const struct swarm *swarm)
{
    bool endgame = swarm->chunk_count - swarm->held <= swarm->settings.download_window;
    uint64_t timeout = swarm->mean_chunk_us * (endgame ? ENDGAME_TIMEOUT_MEANS : TIMEOUT_MEANS);
    if (!swarm->mean_chunk_us || timeout > swarm->settings.chunk_timeout_us)
        return swarm->settings.chunk_timeout_us;
    uint64_t least = swarm->settings.chunk_timeout_us / 16;
    return timeout < least ? least : timeout;
}

static void start_request(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk,
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
    struct neighbour *neighbour = find_neighbour(swarm, source);
    if (neighbour && !probe)
        neighbour->in_flight++;
    swarm->driver.fetch(swarm->driver.context, source, chunk);
}

/* Forget a request; its chunk is open again unless held or asked for elsewhere. */
static void end_request(struct swarm *swarm, struct request *request)
{
    struct request ended = *request;
    *request = swarm->requests[--swarm->request_count];
    struct neighbour *neighbour = find_neighbour(swarm, ended.source);
    if (ended.source == SWARM_ORIGIN)
        swarm->origin_reads--;
    else if (!ended.probe)
        swarm->downloads--;
    if (neighbour && !ended.probe && neighbour->in_flight)
        neighbour->in_flight--;
    if (!bitmap_get(swarm->have, ended.chunk) && !chunk_requested(swarm, ended.chunk))
        bitmap_set(swarm->open, ended.chunk);
}

static void cancel_others(struct swarm *swarm, uint32_t chunk)
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

/* ---- choice of chunk and peer ---- */

static bool neighbour_usable(const struct swarm *swarm, const struct neighbour *neighbour,
                             uint64_t now)
{
    return neighbour->have_count && neighbour->backoff_until <= now &&
           neighbour->in_flight < swarm->settings.peer_window &&
           now - neighbour->last_heard < swarm->settings.silence_us;
}

/* Open chunks that a usable neighbour holds. \return false when there are none */
static bool collect_offers(const struct swarm *swarm, uint64_t now, uint64_t *offers)
{
    uint64_t any = 0;
    memset(offers, 0, swarm->words * sizeof *offers);
    for (uint32_t i = 0; i < swarm->neighbour_count; i++) {
        const struct neighbour *neighbour = &swarm->neighbours[i];
        if (!neighbour_usable(swarm, neighbour, now))
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

/* The rarest of RAREST_SAMPLE offered chunks from a random start on. */
static uint32_t rarest_offer(struct swarm *swarm, const uint64_t *offers)
{
    uint32_t best = UINT32_MAX;
    unsigned best_count = UINT32_MAX;
    size_t start = (size_t)random_below(&swarm->random, swarm->words);
    unsigned seen = 0;
    for (size_t i = 0; i < swarm->words && best_count > 1 && seen < RAREST_SAMPLE; i++) {
        size_t word = start + i < swarm->words ? start + i : start + i - swarm->words;
        for (uint64_t bits = offers[word]; bits; bits &= bits - 1) {
            uint32_t chunk = (uint32_t)(word * BITMAP_WORD_BITS) + (uint32_t)__builtin_ctzll(bits);
            seen++;
            if (swarm->availability[chunk] < best_count) {
                best = chunk;
                best_count = swarm->availability[chunk];
            }
        }
    }
    return best;
}

static uint32_t neighbour_cost(const struct swarm *swarm, const struct neighbour *neighbour)
{
    uint32_t cost = 2 * (neighbour->upload_queue + neighbour->in_flight);
    if (neighbour->region != swarm->region)
        cost += FAR_REGION_COST;
    else if (neighbour->zone != swarm->zone)
        cost += FAR_ZONE_COST;
    return cost;
}

static struct neighbour *cheapest_holder(struct swarm *swarm, uint64_t now, uint32_t chunk)
{
    struct neighbour *best = NULL;
    uint32_t best_cost = 0;
    uint32_t ties = 0;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        if (!bitmap_get(neighbour->have, chunk) || !neighbour_usable(swarm, neighbour, now))
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
        struct neighbour *holder = cheapest_holder(swarm, now, chunk);
        assert(holder);
        start_request(swarm, now, holder->id, chunk, false);
    }
}

/* ---- later ranks ---- */

static bool is_suspect(const struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->suspect_count; i++)
        if (swarm->suspects[i] == id)
            return true;
    return false;
}

static void add_suspect(struct swarm *swarm, uint64_t id)
{
    if (is_suspect(swarm, id))
        return;
    swarm->suspects = memory_resize(swarm->suspects, (swarm->suspect_count + 1) * sizeof(uint64_t));
    swarm->suspects[swarm->suspect_count++] = id;
}

static void clear_suspect(struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->suspect_count; i++)
        if (swarm->suspects[i] == id)
            swarm->suspects[i] = swarm->suspects[--swarm->suspect_count];
}

static struct duty *find_duty(struct swarm *swarm, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->duty_count; i++)
        if (swarm->duties[i].chunk == chunk)
            return &swarm->duties[i];
    return NULL;
}

/* Ask the next entry before us, or read from the origin when none is left. */
static void advance_duty(struct swarm *swarm, uint64_t now, struct duty *duty)
{
    uint32_t ladder[SWARM_LADDER_SIZE];
    swarm_plan_ladder(swarm->plan, duty->chunk, swarm->region, ladder);
    while (duty->next < duty->position &&
           is_suspect(swarm, swarm->plan->members[ladder[duty->next]].id))
        duty->next++;
    assert(duty->next <= duty->position);
    bool from_origin = duty->next == duty->position;
    if (from_origin && (swarm->origin_reads || swarm->origin_backoff_until > now))
        return;
    duty->asking = true;
    uint64_t source = from_origin ? SWARM_ORIGIN : swarm->plan->members[ladder[duty->next]].id;
    start_request(swarm, now, source, duty->chunk, !from_origin);
}

static bool duty_due(const struct swarm *swarm, const struct duty *duty, uint64_t now)
{
    return !duty->asking && duty->not_before <= now && bitmap_get(swarm->open, duty->chunk) &&
           swarm->availability[duty->chunk] == 0;
}

static void drop_done_duties(struct swarm *swarm)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < swarm->duty_count; i++)
        if (!bitmap_get(swarm->have, swarm->duties[i].chunk))
            swarm->duties[kept++] = swarm->duties[i];
    swarm->duty_count = kept;
}

static void perform_duties(struct swarm *swarm, uint64_t now)
{
    uint32_t room = SWARM_MAX_IN_FLIGHT - swarm->request_count;
    for (uint32_t i = 0; i < swarm->duty_count && room > SWARM_MAX_IN_FLIGHT / 4; i++) {
        if (!duty_due(swarm, &swarm->duties[i], now))
            continue;
        advance_duty(swarm, now, &swarm->duties[i]);
        room = SWARM_MAX_IN_FLIGHT - swarm->request_count;
    }
}

static void duty_failed(struct swarm *swarm, uint64_t now, const struct request *request,
                        enum swarm_failure failure)
{
    struct duty *duty = find_duty(swarm, request->chunk);
    if (!duty || !duty->asking) /* asked under an earlier plan */
        return;
    duty->asking = false;
    if (request->source == SWARM_ORIGIN)
        return;
    if (!request->probe)
        return;
    bool waits = failure == SWARM_FAILURE_BUSY || failure == SWARM_FAILURE_PENDING;
    if (waits && duty->pending++ < PENDING_PATIENCE) {
        duty->not_before = now + swarm->settings.origin_step_us;
        return;
    }
    if (failure == SWARM_FAILURE_ERROR)
        add_suspect(swarm, request->source);
    duty->pending = 0;
    duty->next++;
}

static void fill_requests(struct swarm *swarm, uint64_t now)
{
    if (!swarm->plan || swarm_complete(swarm))
        return;
    if (swarm->duty_count)
        perform_duties(swarm, now);
    fill_from_neighbours(swarm, now);
}

/* ---- announcements ---- */

static bool has_news(const struct swarm *swarm, const struct neighbour *neighbour)
{
    return neighbour->announced < swarm->held || neighbour->needs_full || neighbour->wants_full;
}

static void announce_to(struct swarm *swarm, uint64_t now, struct neighbour *neighbour)
{
    bool full = neighbour->needs_full || neighbour->sequence_out % FULL_UPDATE_EVERY == 0;
    struct swarm_update update = {
        .rollout = swarm->rollout,
        .sequence = ++neighbour->sequence_out,
        .upload_queue = swarm->upload_queue,
        .have_all = full ? swarm->have : NULL,
        .have_words = full ? (uint32_t)swarm->words : 0,
        .have_new = &swarm->arrivals[neighbour->announced],
        .new_count = full ? 0 : swarm->held - neighbour->announced,
        .want_full = neighbour->wants_full,
    };
    neighbour->announced = swarm->held;
    neighbour->needs_full = false;
    neighbour->last_sent = now;
    swarm->driver.announce(swarm->driver.context, neighbour->id, &update);
}

/* News goes out at once, but not more often than `announce_us`; without news as a heartbeat. */
static void announce_news(struct swarm *swarm, uint64_t now)
{
    uint64_t heartbeat = swarm->settings.silence_us / 4;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        uint64_t wait = has_news(swarm, neighbour) ? swarm->settings.announce_us : heartbeat;
        if (!neighbour->last_sent || now - neighbour->last_sent >= wait)
            announce_to(swarm, now, neighbour);
    }
}

static void learn_chunk(struct swarm *swarm, struct neighbour *neighbour, uint32_t chunk)
{
    if (chunk >= swarm->chunk_count || bitmap_get(neighbour->have, chunk))
        return;
    bitmap_set(neighbour->have, chunk);
    neighbour->have_count++;
    swarm->availability[chunk]++;
}

static void learn_full(struct swarm *swarm, struct neighbour *neighbour, const uint64_t *have)
{
    forget_have(swarm, neighbour);
    for (size_t word = 0; word < swarm->words; word++)
        for (uint64_t bits = have[word]; bits; bits &= bits - 1)
            learn_chunk(swarm, neighbour,
                        (uint32_t)(word * BITMAP_WORD_BITS) + (uint32_t)__builtin_ctzll(bits));
}

void swarm_on_update(struct swarm *swarm, uint64_t now, uint64_t peer,
                     const struct swarm_update *update)
{
    if (update->rollout != swarm->rollout || !swarm->plan)
        return;
    struct neighbour *neighbour = find_neighbour(swarm, peer);
    if (!neighbour)
        neighbour = add_neighbour(swarm, now, peer, false);
    if (!neighbour)
        return;
    clear_suspect(swarm, peer);
    neighbour->heard = true;
    neighbour->last_heard = now;
    neighbour->upload_queue = update->upload_queue;
    neighbour->needs_full |= update->want_full;
    if (update->have_all) {
        learn_full(swarm, neighbour, update->have_all);
        neighbour->wants_full = false;
    } else if (update->sequence != neighbour->sequence_in + 1) {
        neighbour->wants_full = true; /* an update was lost or came out of order */
    }
    for (uint32_t i = 0; i < update->new_count; i++)
        learn_chunk(swarm, neighbour, update->have_new[i]);
    neighbour->sequence_in = update->sequence;
    fill_requests(swarm, now);
}

/* ---- results ---- */

static void learn_duration(struct swarm *swarm, uint64_t duration)
{
    swarm->mean_chunk_us =
        swarm->mean_chunk_us ? (7 * swarm->mean_chunk_us + duration) / 8 : duration;
}

bool swarm_on_chunk(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk)
{
    struct request *request = find_request(swarm, source, chunk);
    if (request) {
        struct neighbour *neighbour = find_neighbour(swarm, source);
        if (neighbour) {
            neighbour->refusals = 0;
            neighbour->received++;
        }
        if (source != SWARM_ORIGIN)
            learn_duration(swarm, now - request->started);
        end_request(swarm, request);
    }
    if (chunk >= swarm->chunk_count || bitmap_get(swarm->have, chunk))
        return false;
    add_chunk(swarm, chunk);
    cancel_others(swarm, chunk);
    if (source == SWARM_ORIGIN)
        swarm->counters.chunks_from_origin++;
    else
        swarm->counters.chunks_from_peers++;
    if (swarm->duty_count && find_duty(swarm, chunk))
        drop_done_duties(swarm);
    fill_requests(swarm, now);
    announce_news(swarm, now);
    return true;
}

/* A link with bit errors now and then is used on; a peer with bad memory is not. */
static bool mostly_corrupt(struct neighbour *neighbour)
{
    neighbour->corrupt++;
    return neighbour->corrupt >= CORRUPT_STRIKES &&
           neighbour->corrupt * CORRUPT_SHARE > neighbour->received;
}

static void punish(struct swarm *swarm, uint64_t now, struct neighbour *neighbour,
                   enum swarm_failure failure, uint64_t retry_after_us)
{
    uint64_t pause =
        swarm->settings.busy_backoff_us
        << (neighbour->refusals < MAX_BACKOFF_STEPS ? neighbour->refusals : MAX_BACKOFF_STEPS);
    neighbour->refusals++;
    if (failure == SWARM_FAILURE_ERROR)
        pause = swarm->settings.chunk_timeout_us;
    if (failure == SWARM_FAILURE_ABSENT)
        neighbour->wants_full = true;
    if (failure == SWARM_FAILURE_CORRUPT && mostly_corrupt(neighbour))
        pause = swarm->settings.silence_us * CORRUPT_PAUSE_SILENCES;
    if (pause < retry_after_us)
        pause = retry_after_us;
    neighbour->backoff_until = now + pause;
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
    duty_failed(swarm, now, &request, failure);
    if (source == SWARM_ORIGIN) {
        uint64_t pause = swarm->settings.busy_backoff_us + swarm->settings.origin_step_us / 2;
        swarm->origin_backoff_until = now + (pause > retry_after_us ? pause : retry_after_us);
    }
    struct neighbour *neighbour = find_neighbour(swarm, source);
    if (neighbour)
        punish(swarm, now, neighbour, failure, retry_after_us);
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
        i = 0; /* the table changed */
    }
}

static void replace_silent(struct swarm *swarm, uint64_t now)
{
    bool replaced = false;
    for (uint32_t i = 0; i < swarm->neighbour_count;) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        bool silent = now - neighbour->last_heard >= swarm->settings.silence_us;
        if (silent && !neighbour->chosen) {
            remove_neighbour(swarm, neighbour);
            continue;
        }
        /* A chosen one stays as it may come back, but no longer counts as chosen. */
        if (silent) {
            neighbour->chosen = false;
            neighbour->last_heard = now;
            neighbour->backoff_until = now + swarm->settings.silence_us;
            replaced = true;
        }
        i++;
    }
    if (replaced)
        fill_neighbours(swarm, now);
}

void swarm_on_tick(struct swarm *swarm, uint64_t now)
{
    if (!swarm->plan)
        return;
    expire_requests(swarm, now);
    replace_silent(swarm, now);
    fill_requests(swarm, now);
    announce_news(swarm, now);
}

uint64_t swarm_next_tick(const struct swarm *swarm, uint64_t now)
{
    return now + swarm->settings.announce_us;
}

enum swarm_upload swarm_admit_upload(const struct swarm *swarm, uint32_t chunk, uint32_t queue)
{
    if (chunk >= swarm->chunk_count)
        return SWARM_UPLOAD_ABSENT;
    if (bitmap_get(swarm->have, chunk))
        return queue < swarm->settings.upload_limit ? SWARM_UPLOAD_SERVE : SWARM_UPLOAD_BUSY;
    if (!bitmap_get(swarm->open, chunk))
        return SWARM_UPLOAD_PENDING;
    for (uint32_t i = 0; i < swarm->duty_count; i++)
        if (swarm->duties[i].chunk == chunk && swarm->duties[i].next == swarm->duties[i].position)
            return SWARM_UPLOAD_PENDING;
    return SWARM_UPLOAD_ABSENT;
}

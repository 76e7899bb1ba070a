/* Which of the back ends that are fit gets a request: what has room, and which of these is the
 * best. */
#include "core/backend_pool_internal.h"
#include "core/crash_table.h"
#include "core/hash.h"

/** Parts of the expected time to the first token at an engine, ms. */
#define ENGINE_BASE_MS 80
#define ENGINE_REQUEST_MS 3
#define ENGINE_QUEUE_MS 65
/** What a back end in another zone or region must be better by, ms. */
#define ZONE_PENALTY_MS 5
#define REGION_PENALTY_MS 45
#define SERVICE_REGION_PENALTY_MS 15
#define FAILURE_PENALTY 8.0
#define REFUSAL_PENALTY 3.0
/** So much more than its part a gateway may take, as not all take theirs. */
#define OVERCOMMIT 2.0
/** Parts of an engine's free places for the gateways of its own region, and for all others: these
 * send only what finds no room at home, so that few of them do at a time, and both parts may
 * overlap. */
#define NEAR_PART 0.75
#define FAR_PART 0.4
/** A gateway that began so lately has heard no load yet: it waits for the first report. */
#define FIRST_REPORTS_US 1000000

/* Whether the last report still tells how full the engine is. */
static bool has_fresh_load(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now)
{
    const struct backend_pool_settings *settings = &pool->settings;
    uint64_t fresh_us = backend->distance < 2 ? settings->near_fresh_us : settings->load_fresh_us;
    return backend->load_at && now < backend->load_at + fresh_us;
}

/* This gateway's part of an engine's places, as there are others that send to it. */
static double part_of_engine(const struct backend_wish *wish, const struct backend *backend)
{
    const struct backend_load *load = &backend->load;
    uint32_t gateways = wish->gateways ? wish->gateways : 1;
    if (!load->near_gateways && !load->far_gateways)
        return 1.0 / gateways;
    bool near = backend->distance < 2;
    uint32_t sharing = near ? load->near_gateways : load->far_gateways;
    uint32_t others = near ? load->far_gateways : load->near_gateways;
    if (!sharing) /* the engine's machine does not know this gateway yet */
        return 1.0 / gateways;
    return (!others ? 1.0 : near ? NEAR_PART : FAR_PART) / sharing;
}

uint32_t backend_occupancy(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now)
{
    if (!has_fresh_load(pool, backend, now)) /* others have sent there too: neither idle nor full */
        return backend->listing.slots / 2 + backend->in_flight;
    int64_t known = (int64_t)backend->load.running + backend->load.waiting + backend->sent_since;
    return known > (int64_t)backend->in_flight ? (uint32_t)known : backend->in_flight;
}

/* Tokens of prompts that an engine still has to read, as far as known. */
static uint64_t unread_tokens(const struct backend_pool *pool, const struct backend_wish *wish,
                              const struct backend *backend, uint64_t now)
{
    if (!has_fresh_load(pool, backend, now))
        return backend->unread_tokens;
    int64_t known = (int64_t)backend->load.waiting * wish->usual_tokens + backend->tokens_since;
    return known > (int64_t)backend->unread_tokens ? (uint64_t)known : backend->unread_tokens;
}

static bool is_ejected(const struct backend *backend, uint64_t now)
{
    return backend->ejected_until && (now < backend->ejected_until || backend->probing);
}

/* One request finds out whether it works again, after an ejection or a time that it asked for. */
static bool needs_probe(const struct backend *backend, uint64_t now)
{
    return backend->ejected_until || backend_is_returning(backend, now);
}

/* Places that were free at the last report, below 0 where more are taken than there are. */
static double free_places(const struct backend_pool *pool, const struct backend *backend)
{
    return (double)backend->listing.slots + pool->settings.queue_per_engine -
           backend->load.running - backend->load.waiting;
}

/*
 * This gateway's part of the places that were free at the last report. All gateways see the same
 * report; if each took all that is free, an engine would get many times what it has room for.
 */
static double free_share(const struct backend_pool *pool, const struct backend_wish *wish,
                         const struct backend *backend)
{
    double places = free_places(pool, backend);
    double usual = wish->usual_tokens ? wish->usual_tokens : 1;
    double prompts = pool->settings.tokens_per_engine / usual - backend->load.waiting;
    double free = places < prompts ? places : prompts;
    return free > 0 ? OVERCOMMIT * free * part_of_engine(wish, backend) : 0;
}

/* After a start the list may name engines that are gone, or that lost their weights. */
static bool awaits_first_report(const struct backend_pool *pool, const struct backend *backend,
                                uint64_t now)
{
    return !backend->load_at && pool->settings.created &&
           now < pool->settings.created + FIRST_REPORTS_US;
}

/*
 * With many gateways a part is mostly less than one place: chance decides in proportion whether
 * this gateway may send at all. If the first one might always go, an engine that looks free would
 * get one from every gateway.
 */
static bool has_part(const struct backend_pool *pool, const struct backend_wish *wish,
                     const struct backend *backend)
{
    double part = free_share(pool, wish, backend);
    return part > 0 && backend->begun_since + 1 <= part + backend->luck;
}

/*
 * An engine whose machine no longer reports may be idle, full or dead. This gateway takes no more
 * of its places than its part: taken for idle, each such engine gets a request from every gateway.
 */
static bool has_unreported_room(const struct backend_wish *wish, const struct backend *backend)
{
    double part = backend->listing.slots * part_of_engine(wish, backend);
    return backend->in_flight + 1 <= part + backend->luck;
}

static bool has_room(const struct backend_pool *pool, const struct backend_wish *wish,
                     const struct backend *backend, uint64_t now)
{
    if (!wish->engine)
        return backend->in_flight < 2 * backend->listing.slots;
    uint64_t tokens = unread_tokens(pool, wish, backend, now);
    if (tokens && tokens + wish->tokens > pool->settings.tokens_per_engine)
        return false;
    if (!has_fresh_load(pool, backend, now))
        return !awaits_first_report(pool, backend, now) && has_unreported_room(wish, backend);
    uint32_t most = backend->listing.slots + pool->settings.queue_per_engine;
    return backend_occupancy(pool, backend, now) < most && has_part(pool, wish, backend);
}

/* Expected time to the first token of one more request at an engine, ms. */
static double engine_cost(const struct backend_pool *pool, const struct backend_wish *wish,
                          const struct backend *backend, uint64_t now)
{
    uint32_t requests = backend_occupancy(pool, backend, now);
    double rate = wish->read_tokens_per_ms > 0 ? wish->read_tokens_per_ms : 1;
    double cost = ENGINE_BASE_MS + ENGINE_REQUEST_MS * requests;
    cost += (double)(unread_tokens(pool, wish, backend, now) + wish->tokens) / rate;
    if (requests >= backend->listing.slots)
        cost += ENGINE_QUEUE_MS * (requests - backend->listing.slots + 1);
    if (backend->load.pace_permille > 1000 && has_fresh_load(pool, backend, now))
        cost = cost * backend->load.pace_permille / 1000;
    if (backend->distance)
        cost += backend->distance == 1 ? ZONE_PENALTY_MS : REGION_PENALTY_MS;
    return cost;
}

/* Expected time of one more request at a plain service, ms. */
static double service_cost(const struct backend *backend)
{
    double slots = backend->listing.slots ? backend->listing.slots : 1;
    double latency_ms = backend->latency_us > 0 ? backend->latency_us / 1000 : 1;
    double cost = (1 + backend->in_flight / slots) * latency_ms;
    return backend->distance == 2 ? cost + SERVICE_REGION_PENALTY_MS : cost;
}

/* Smaller is better. */
static double score(const struct backend_pool *pool, const struct backend_wish *wish,
                    const struct backend *backend, uint64_t now)
{
    double cost = wish->engine ? engine_cost(pool, wish, backend, now) : service_cost(backend);
    return cost * (1 + FAILURE_PENALTY * backend->failure_share +
                   REFUSAL_PENALTY * backend->refusal_share);
}

/* Two candidates of one kind, each pair equally likely. */
struct candidates {
    struct backend *pair[2];
    uint32_t count;
};

static void add_candidate(struct backend_pool *pool, struct candidates *candidates,
                          struct backend *backend)
{
    candidates->count++;
    if (candidates->count <= 2) {
        candidates->pair[candidates->count - 1] = backend;
        return;
    }
    uint64_t place = random_below(&pool->random, candidates->count);
    if (place < 2)
        candidates->pair[place] = backend;
}

static struct backend *better(const struct backend_pool *pool, const struct backend_wish *wish,
                              struct backend *left, struct backend *right, uint64_t now)
{
    if (!left || !right)
        return left ? left : right;
    return score(pool, wish, right, now) < score(pool, wish, left, now) ? right : left;
}

static struct backend *best_of(const struct backend_pool *pool, const struct backend_wish *wish,
                               const struct candidates *candidates, uint64_t now)
{
    return better(pool, wish, candidates->pair[0], candidates->pair[1], now);
}

/* The engine is to take other weights, and would have to wait for the end of this request. */
static bool outlasts_turn(const struct backend_wish *wish, const struct backend *backend,
                          uint64_t now)
{
    return backend->turn_at && now + wish->expected_us > backend->turn_at;
}

/* What the back ends offer to one request. */
struct offer {
    struct candidates near;
    struct candidates far;
    struct candidates unreported; /* nothing is known of their load */
    struct candidates turning;    /* their turn for other weights comes before its end */
    struct backend *ejected;      /* the one that is left out for the shortest time */
    struct backend *probe;        /* its time is over: one request finds out */
    uint32_t probes;
    uint32_t fit;
    uint32_t lasting; /* of these, engines whose turn does not come before its end */
    bool reported;    /* the load of some that are fit is known */
};

/* Its machine does not report, but it answered this gateway lately. */
static bool answers_lately(const struct backend *backend, uint64_t now)
{
    return backend->last_answer_at && now < backend->last_answer_at + BACKEND_PROMPT_US;
}

static void offer_backend(struct backend_pool *pool, const struct backend_wish *wish,
                          struct backend *backend, uint64_t now, struct offer *offer)
{
    bool reported = !wish->engine || has_fresh_load(pool, backend, now);
    bool turning = wish->expected_us && outlasts_turn(wish, backend, now);
    offer->fit++;
    offer->lasting += !turning;
    offer->reported |= reported;
    if (!wish->any_load && !has_room(pool, wish, backend, now))
        return;
    if (is_ejected(backend, now)) {
        if (!offer->ejected || backend->ejected_until < offer->ejected->ejected_until)
            offer->ejected = backend;
    } else if (needs_probe(backend, now)) {
        if (!backend->probing && random_below(&pool->random, ++offer->probes) == 0)
            offer->probe = backend;
    } else if (turning) {
        add_candidate(pool, &offer->turning, backend);
    } else if (!reported && !answers_lately(backend, now)) {
        add_candidate(pool, &offer->unreported, backend);
    } else {
        add_candidate(pool, backend->distance < 2 ? &offer->near : &offer->far, backend);
    }
}

/* An engine of which nothing is known gets requests only while nothing is known of any other. */
static struct backend *best_offer(struct backend_pool *pool, const struct backend_wish *wish,
                                  const struct offer *offer, uint64_t now)
{
    struct backend *near = best_of(pool, wish, &offer->near, now);
    struct backend *far = best_of(pool, wish, &offer->far, now);
    struct backend *best = better(pool, wish, near, far, now);
    if (!offer->lasting)
        best = best_of(pool, wish, &offer->turning, now);
    if (!best && (!offer->reported || wish->any_load))
        best = best_of(pool, wish, &offer->unreported, now);
    return best ? best : offer->ejected;
}

static bool is_barred(const struct backend_wish *wish, uint64_t start)
{
    for (uint32_t i = 0; i < wish->barred_count; i++)
        if (wish->barred_starts[i] == start)
            return true;
    return false;
}

/* Weights of back ends that are not barred lie above all others. */
#define RANK_FREE ((uint64_t)1 << 63)

/* Its weight for a rank key; 0: the request must not run there. */
static uint64_t rank_weight(const struct backend_wish *wish, const struct backend *backend)
{
    uint64_t weight = (hash_pair(wish->rank_key, hash_name(backend->listing.id)) >> 1) | 1;
    if (!wish->barred_count && !wish->leased_start)
        return weight | RANK_FREE;
    uint64_t start = crash_incarnation_key(backend->listing.id, backend->listing.born);
    if (start == wish->leased_start)
        return is_barred(wish, start) ? 0 : UINT64_MAX;
    if (!is_barred(wish, start))
        return weight | RANK_FREE;
    return wish->isolated ? 0 : weight;
}

/* By a key alone, so that all gateways choose alike. */
static enum backend_absence choose_by_rank(const struct backend_pool *pool,
                                           const struct backend_wish *wish, uint64_t now,
                                           struct backend **chosen)
{
    const struct backend_group *group = backend_table_group(&pool->table, wish->service);
    uint64_t best_weight = 0;
    bool fit = false;
    *chosen = NULL;
    for (uint32_t i = 0; group && i < group->count; i++) {
        struct backend *backend = group->items[i];
        if (!backend_is_fit(pool, wish, backend, now))
            continue;
        fit = true;
        if (is_ejected(backend, now) || (needs_probe(backend, now) && backend->probing) ||
            (!wish->any_load && !has_room(pool, wish, backend, now)))
            continue;
        uint64_t weight = rank_weight(wish, backend);
        if (weight <= best_weight)
            continue;
        best_weight = weight;
        *chosen = backend;
    }
    if (!*chosen)
        return fit ? BACKEND_FULL : BACKEND_NONE;
    (*chosen)->probing = needs_probe(*chosen, now);
    return BACKEND_FOUND;
}

enum backend_absence backend_pool_choose(struct backend_pool *pool, const struct backend_wish *wish,
                                         uint64_t now, struct backend **chosen)
{
    if (wish->rank_key)
        return choose_by_rank(pool, wish, now, chosen);
    struct offer offer = {0};
    const struct backend_group *group = backend_table_group(&pool->table, wish->service);
    for (uint32_t i = 0; group && i < group->count; i++) {
        if (i >= group->reported && offer.reported && wish->engine && !wish->any_load)
            break;
        if (backend_is_fit(pool, wish, group->items[i], now))
            offer_backend(pool, wish, group->items[i], now, &offer);
    }
    if (offer.probe) {
        offer.probe->probing = true;
        *chosen = offer.probe;
        return BACKEND_FOUND;
    }
    *chosen = best_offer(pool, wish, &offer, now);
    if (*chosen)
        return BACKEND_FOUND;
    return offer.fit ? BACKEND_FULL : BACKEND_NONE;
}

bool backend_pool_has_room(struct backend_pool *pool, const struct backend_wish *wish, uint64_t now)
{
    const struct backend_group *group = backend_table_group(&pool->table, wish->service);
    for (uint32_t i = 0; group && i < group->count; i++) {
        const struct backend *backend = group->items[i];
        if (backend_is_fit(pool, wish, backend, now) && !needs_probe(backend, now) &&
            (wish->any_load || has_room(pool, wish, backend, now)))
            return true;
    }
    return false;
}

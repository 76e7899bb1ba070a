/* Which of the back ends that are fit gets a request: what has room, and which of these is the
 * best. */
#include "core/backend_pool_internal.h"
#include "core/crash_table.h"
#include "core/hash.h"

/** Parts of the expected time to the first token at an engine, ms. */
#define ENGINE_BASE_COST_MS 80
#define ENGINE_RUNNING_COST_MS 3
#define ENGINE_QUEUED_COST_MS 65
/** What a back end in another zone or region must be better by, ms. */
#define ZONE_PENALTY_MS 5
#define REGION_PENALTY_MS 45
#define SERVICE_REGION_PENALTY_MS 15
#define FAILURE_PENALTY 8.0
#define REFUSAL_PENALTY 3.0
/** So much more than its part a gateway may take, as not all take theirs. */
#define OVERCOMMIT_FACTOR 2.0
/** Parts of an engine's free places for the gateways of its own region, and for all others: these
 * send only what finds no room at home, so that few of them do at a time, and both parts may
 * overlap. */
#define NEAR_GATEWAYS_SHARE 0.75
#define FAR_GATEWAYS_SHARE 0.4
/** A gateway that began so lately has heard no load yet: it waits for the first report. */
#define FIRST_REPORT_WAIT_US 1000000

/* Whether the last report still tells how full the engine is. */
static bool has_fresh_load(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now)
{
    const struct backend_pool_settings *settings = &pool->settings;
    uint64_t fresh_us =
        backend->distance < 2 ? settings->max_near_load_age_us : settings->max_load_age_us;
    return backend->load_at && now < backend->load_at + fresh_us;
}

/* This gateway's part of an engine's places, as there are others that send to it. */
static double gateway_share(const struct backend_criteria *criteria, const struct backend *backend)
{
    const struct backend_load *load = &backend->load;
    uint32_t gateways = criteria->gateways ? criteria->gateways : 1;
    if (!load->near_gateways && !load->far_gateways)
        return 1.0 / gateways;
    bool near = backend->distance < 2;
    uint32_t sharing = near ? load->near_gateways : load->far_gateways;
    uint32_t others = near ? load->far_gateways : load->near_gateways;
    if (!sharing) /* the engine's machine does not know this gateway yet */
        return 1.0 / gateways;
    return (!others ? 1.0 : near ? NEAR_GATEWAYS_SHARE : FAR_GATEWAYS_SHARE) / sharing;
}

uint32_t backend_occupancy(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now)
{
    if (!has_fresh_load(pool, backend, now)) /* others have sent there too: neither idle nor full */
        return backend->listing.slots / 2 + backend->in_flight;
    int64_t known =
        (int64_t)backend->load.running + backend->load.waiting + backend->sent_since_report;
    return known > (int64_t)backend->in_flight ? (uint32_t)known : backend->in_flight;
}

/* Tokens of prompts that an engine still has to read, as far as known. */
static uint64_t pending_prompt_tokens(const struct backend_pool *pool,
                                      const struct backend_criteria *criteria,
                                      const struct backend *backend, uint64_t now)
{
    if (!has_fresh_load(pool, backend, now))
        return backend->pending_prompt_tokens;
    int64_t known = (int64_t)backend->load.waiting * criteria->mean_prompt_tokens +
                    backend->tokens_since_report;
    return known > (int64_t)backend->pending_prompt_tokens ? (uint64_t)known
                                                           : backend->pending_prompt_tokens;
}

static bool is_ejected(const struct backend *backend, uint64_t now)
{
    return backend->ejected_until && (now < backend->ejected_until || backend->probing);
}

/* One request finds out whether it works again, after an ejection or a time that it asked for. */
static bool needs_probe(const struct backend *backend, uint64_t now)
{
    return backend->ejected_until || backend_backoff_has_expired(backend, now);
}

/* Places that were free at the last report, below 0 where more are taken than there are. */
static double free_slots(const struct backend_pool *pool, const struct backend *backend)
{
    return (double)backend->listing.slots + pool->settings.queue_per_engine -
           backend->load.running - backend->load.waiting;
}

/*
 * This gateway's part of the places that were free at the last report. All gateways see the same
 * report; if each took all that is free, an engine would get many times what it has room for.
 */
static double free_slot_share(const struct backend_pool *pool,
                              const struct backend_criteria *criteria,
                              const struct backend *backend)
{
    double places = free_slots(pool, backend);
    double usual = criteria->mean_prompt_tokens ? criteria->mean_prompt_tokens : 1;
    double prompts = pool->settings.tokens_per_engine / usual - backend->load.waiting;
    double free = places < prompts ? places : prompts;
    return free > 0 ? OVERCOMMIT_FACTOR * free * gateway_share(criteria, backend) : 0;
}

/* After a start the list may name engines that are gone, or that lost their weights. */
static bool awaits_first_report(const struct backend_pool *pool, const struct backend *backend,
                                uint64_t now)
{
    return !backend->load_at && pool->settings.created &&
           now < pool->settings.created + FIRST_REPORT_WAIT_US;
}

/*
 * With many gateways a part is mostly less than one place: chance decides in proportion whether
 * this gateway may send at all. If the first one might always go, an engine that looks free would
 * get one from every gateway.
 */
static bool has_free_share(const struct backend_pool *pool, const struct backend_criteria *criteria,
                           const struct backend *backend)
{
    double part = free_slot_share(pool, criteria, backend);
    return part > 0 && backend->started_since_report + 1 <= part + backend->rounding_draw;
}

/*
 * An engine whose machine no longer reports may be idle, full or dead. This gateway takes no more
 * of its places than its part: taken for idle, each such engine gets a request from every gateway.
 */
static bool has_unreported_share(const struct backend_criteria *criteria,
                                 const struct backend *backend)
{
    double part = backend->listing.slots * gateway_share(criteria, backend);
    return backend->in_flight + 1 <= part + backend->rounding_draw;
}

static bool has_room(const struct backend_pool *pool, const struct backend_criteria *criteria,
                     const struct backend *backend, uint64_t now)
{
    if (!criteria->engine)
        return backend->in_flight < 2 * backend->listing.slots;
    uint64_t tokens = pending_prompt_tokens(pool, criteria, backend, now);
    if (tokens && tokens + criteria->tokens > pool->settings.tokens_per_engine)
        return false;
    if (!has_fresh_load(pool, backend, now))
        return !awaits_first_report(pool, backend, now) && has_unreported_share(criteria, backend);
    uint32_t most = backend->listing.slots + pool->settings.queue_per_engine;
    return backend_occupancy(pool, backend, now) < most && has_free_share(pool, criteria, backend);
}

/* Expected time to the first token of one more request at an engine, ms. */
static double engine_cost(const struct backend_pool *pool, const struct backend_criteria *criteria,
                          const struct backend *backend, uint64_t now)
{
    uint32_t requests = backend_occupancy(pool, backend, now);
    double rate = criteria->prefill_tokens_per_ms > 0 ? criteria->prefill_tokens_per_ms : 1;
    double cost = ENGINE_BASE_COST_MS + ENGINE_RUNNING_COST_MS * requests;
    cost += (double)(pending_prompt_tokens(pool, criteria, backend, now) + criteria->tokens) / rate;
    if (requests >= backend->listing.slots)
        cost += ENGINE_QUEUED_COST_MS * (requests - backend->listing.slots + 1);
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
static double score(const struct backend_pool *pool, const struct backend_criteria *criteria,
                    const struct backend *backend, uint64_t now)
{
    double cost =
        criteria->engine ? engine_cost(pool, criteria, backend, now) : service_cost(backend);
    return cost *
           (1 + FAILURE_PENALTY * backend->failure_rate + REFUSAL_PENALTY * backend->refusal_rate);
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

static struct backend *better(const struct backend_pool *pool,
                              const struct backend_criteria *criteria, struct backend *left,
                              struct backend *right, uint64_t now)
{
    if (!left || !right)
        return left ? left : right;
    return score(pool, criteria, right, now) < score(pool, criteria, left, now) ? right : left;
}

static struct backend *best_of(const struct backend_pool *pool,
                               const struct backend_criteria *criteria,
                               const struct candidates *candidates, uint64_t now)
{
    return better(pool, criteria, candidates->pair[0], candidates->pair[1], now);
}

/* The engine is to take other weights, and would have to wait for the end of this request. */
static bool outlasts_turn(const struct backend_criteria *criteria, const struct backend *backend,
                          uint64_t now)
{
    return backend->turn_at && now + criteria->expected_us > backend->turn_at;
}

/* What the back ends offer to one request. */
struct candidate_set {
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
static bool answered_recently(const struct backend *backend, uint64_t now)
{
    return backend->last_answer_at && now < backend->last_answer_at + BACKEND_RECENT_ANSWER_US;
}

static void classify_candidate(struct backend_pool *pool, const struct backend_criteria *criteria,
                               struct backend *backend, uint64_t now,
                               struct candidate_set *candidate_set)
{
    bool reported = !criteria->engine || has_fresh_load(pool, backend, now);
    bool turning = criteria->expected_us && outlasts_turn(criteria, backend, now);
    candidate_set->fit++;
    candidate_set->lasting += !turning;
    candidate_set->reported |= reported;
    if (!criteria->any_load && !has_room(pool, criteria, backend, now))
        return;
    if (is_ejected(backend, now)) {
        if (!candidate_set->ejected ||
            backend->ejected_until < candidate_set->ejected->ejected_until)
            candidate_set->ejected = backend;
    } else if (needs_probe(backend, now)) {
        if (!backend->probing && random_below(&pool->random, ++candidate_set->probes) == 0)
            candidate_set->probe = backend;
    } else if (turning) {
        add_candidate(pool, &candidate_set->turning, backend);
    } else if (!reported && !answered_recently(backend, now)) {
        add_candidate(pool, &candidate_set->unreported, backend);
    } else {
        add_candidate(pool, backend->distance < 2 ? &candidate_set->near : &candidate_set->far,
                      backend);
    }
}

/* An engine of which nothing is known gets requests only while nothing is known of any other. */
static struct backend *choose_candidate(struct backend_pool *pool,
                                        const struct backend_criteria *criteria,
                                        const struct candidate_set *candidate_set, uint64_t now)
{
    struct backend *near = best_of(pool, criteria, &candidate_set->near, now);
    struct backend *far = best_of(pool, criteria, &candidate_set->far, now);
    struct backend *best = better(pool, criteria, near, far, now);
    if (!candidate_set->lasting)
        best = best_of(pool, criteria, &candidate_set->turning, now);
    if (!best && (!candidate_set->reported || criteria->any_load))
        best = best_of(pool, criteria, &candidate_set->unreported, now);
    return best ? best : candidate_set->ejected;
}

static bool is_barred(const struct backend_criteria *criteria, uint64_t start)
{
    for (uint32_t i = 0; i < criteria->barred_count; i++)
        if (criteria->barred_starts[i] == start)
            return true;
    return false;
}

/* Weights of back ends that are not barred lie above all others. */
#define RANK_PREFERRED ((uint64_t)1 << 63)

/* Its weight for a rank key; 0: the request must not run there. */
static uint64_t rank_weight(const struct backend_criteria *criteria, const struct backend *backend)
{
    uint64_t weight = (hash_pair(criteria->rank_key, hash_name(backend->listing.id)) >> 1) | 1;
    if (!criteria->barred_count && !criteria->leased_start)
        return weight | RANK_PREFERRED;
    uint64_t start = crash_start_key(backend->listing.id, backend->listing.born);
    if (start == criteria->leased_start)
        return is_barred(criteria, start) ? 0 : UINT64_MAX;
    if (!is_barred(criteria, start))
        return weight | RANK_PREFERRED;
    return criteria->isolated ? 0 : weight;
}

/* By a key alone, so that all gateways choose alike. */
static enum backend_choice_result choose_by_rank(const struct backend_pool *pool,
                                                 const struct backend_criteria *criteria,
                                                 uint64_t now, struct backend **chosen)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    uint64_t best_weight = 0;
    bool fit = false;
    *chosen = NULL;
    for (uint32_t i = 0; group && i < group->count; i++) {
        struct backend *backend = group->items[i];
        if (!backend_is_eligible(pool, criteria, backend, now))
            continue;
        fit = true;
        if (is_ejected(backend, now) || (needs_probe(backend, now) && backend->probing) ||
            (!criteria->any_load && !has_room(pool, criteria, backend, now)))
            continue;
        uint64_t weight = rank_weight(criteria, backend);
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

enum backend_choice_result backend_pool_choose(struct backend_pool *pool,
                                               const struct backend_criteria *criteria,
                                               uint64_t now, struct backend **chosen)
{
    if (criteria->rank_key)
        return choose_by_rank(pool, criteria, now, chosen);
    struct candidate_set candidate_set = {0};
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    for (uint32_t i = 0; group && i < group->count; i++) {
        if (i >= group->reported && candidate_set.reported && criteria->engine &&
            !criteria->any_load)
            break;
        if (backend_is_eligible(pool, criteria, group->items[i], now))
            classify_candidate(pool, criteria, group->items[i], now, &candidate_set);
    }
    if (candidate_set.probe) {
        candidate_set.probe->probing = true;
        *chosen = candidate_set.probe;
        return BACKEND_FOUND;
    }
    *chosen = choose_candidate(pool, criteria, &candidate_set, now);
    if (*chosen)
        return BACKEND_FOUND;
    return candidate_set.fit ? BACKEND_FULL : BACKEND_NONE;
}

bool backend_pool_has_room(struct backend_pool *pool, const struct backend_criteria *criteria,
                           uint64_t now)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    for (uint32_t i = 0; group && i < group->count; i++) {
        const struct backend *backend = group->items[i];
        if (backend_is_eligible(pool, criteria, backend, now) && !needs_probe(backend, now) &&
            (criteria->any_load || has_room(pool, criteria, backend, now)))
            return true;
    }
    return false;
}

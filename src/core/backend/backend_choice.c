/* Chooses one of the eligible backends for a request: which of them have room, and which of these
 * has the lowest expected cost. */
#include "core/backend/backend_pool_internal.h"
#include "core/crash/crash_table.h"
#include "core/hash.h"

/** Terms of the expected time to the first token at an engine, ms: fixed, per running or waiting
 *  request, and per request beyond the slots. */
#define ENGINE_BASE_COST_MS 80
#define ENGINE_RUNNING_COST_MS 3
#define ENGINE_QUEUED_COST_MS 65
/** Added to the expected time of a backend in another zone or region, ms. */
#define ZONE_PENALTY_MS 5
#define REGION_PENALTY_MS 45
#define SERVICE_REGION_PENALTY_MS 15
/** Added to the expected time of a cold backend, ms: its quota serves what finds no room at warm
 * ones. */
#define COLD_PENALTY_MS 60
/** Weights of the failure and refusal rates, as parts of the expected time. */
#define FAILURE_PENALTY 8.0
#define REFUSAL_PENALTY 3.0
/** A gateway may use this multiple of its share, as not all gateways use theirs. */
#define OVERCOMMIT_FACTOR 2.0
/** Shares of an engine's free slots for the gateways of its own region and for all others. The
 * others send only what finds no room in their own regions, so few of them do so at a time, and the
 * sum of the shares may exceed 1. */
#define NEAR_GATEWAYS_SHARE 0.75
#define FAR_GATEWAYS_SHARE 0.4
/** An engine whose KV cache is fuller gets no requests: the rest is for those that other gateways
 * send before a report shows them, and for contexts that grow. */
#define MAX_MEMORY_PERMILLE 850
/** A gateway that started more recently than this waits for an engine's first load report. */
#define FIRST_REPORT_WAIT_US 1000000

/* Whether the last report is recent enough to tell how full the engine is. */
static bool has_fresh_load(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now)
{
    const struct backend_pool_settings *settings = &pool->settings;
    uint64_t max_age_us =
        backend->distance < 2 ? settings->max_near_load_age_us : settings->max_load_age_us;
    return backend->load_at && now < backend->load_at + max_age_us;
}

/* This gateway's share of an engine's slots, which it shares with the other gateways. */
static double gateway_share(const struct backend_criteria *criteria, const struct backend *backend)
{
    const struct backend_load *load = &backend->load;
    uint32_t gateways = criteria->gateways ? criteria->gateways : 1;
    if (!load->near_gateways && !load->far_gateways)
        return 1.0 / gateways;
    bool near = backend->distance < 2;
    uint32_t sharing = near ? load->near_gateways : load->far_gateways;
    uint32_t others = near ? load->far_gateways : load->near_gateways;
    if (!sharing) /* the engine's machine does not count this gateway yet */
        return 1.0 / gateways;
    return (!others ? 1.0 : near ? NEAR_GATEWAYS_SHARE : FAR_GATEWAYS_SHARE) / sharing;
}

uint32_t backend_occupancy(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now)
{
    if (!has_fresh_load(pool, backend, now)) /* other gateways send too: assume half full */
        return backend->listing.slots / 2 + backend->in_flight;
    int64_t known =
        (int64_t)backend->load.running + backend->load.waiting + backend->sent_since_report;
    return known > (int64_t)backend->in_flight ? (uint32_t)known : backend->in_flight;
}

/* Prompt tokens that an engine has yet to process, as far as known. */
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

/* Slots and queue places that were free at the last report; negative when overcommitted. */
static double free_slots(const struct backend_pool *pool, const struct backend *backend)
{
    return (double)backend->listing.slots + pool->settings.queue_per_engine -
           backend->load.running - backend->load.waiting;
}

/*
 * This gateway's share of the slots that were free at the last report. All gateways see the same
 * report: if each used all free slots, an engine would get many times the requests it has room for.
 */
static double free_slot_share(const struct backend_pool *pool,
                              const struct backend_criteria *criteria,
                              const struct backend *backend)
{
    double slots = free_slots(pool, backend);
    double mean = criteria->mean_prompt_tokens ? criteria->mean_prompt_tokens : 1;
    double prompts = pool->settings.tokens_per_engine / mean - backend->load.waiting;
    double free = slots < prompts ? slots : prompts;
    return free > 0 ? OVERCOMMIT_FACTOR * free * gateway_share(criteria, backend) : 0;
}

/* Just after this gateway's start the list may name engines that are gone or lost their weights. */
static bool awaits_first_report(const struct backend_pool *pool, const struct backend *backend,
                                uint64_t now)
{
    return !backend->load_at && pool->settings.created &&
           now < pool->settings.created + FIRST_REPORT_WAIT_US;
}

/*
 * With many gateways a share is mostly less than one slot. Randomized rounding decides whether this
 * gateway may send a request: if one were always allowed, an engine that looks free would get one
 * from every gateway.
 */
static bool has_free_share(const struct backend_pool *pool, const struct backend_criteria *criteria,
                           const struct backend *backend)
{
    double share = free_slot_share(pool, criteria, backend);
    return share > 0 && backend->started_since_report + 1 <= share + backend->rounding_draw;
}

/*
 * An engine without recent reports may be idle, full or dead. This gateway uses no more than its
 * share of the slots: if such an engine were taken for idle, every gateway would send it a request.
 */
static bool has_unreported_share(const struct backend_criteria *criteria,
                                 const struct backend *backend)
{
    double share = backend->listing.slots * gateway_share(criteria, backend);
    return backend->in_flight + 1 <= share + backend->rounding_draw;
}

/* Whether the slots reserved for other requests stay free. */
static bool spares_reserve(const struct backend_pool *pool, const struct backend_criteria *criteria,
                           const struct backend *backend, uint64_t now)
{
    double usable = backend->listing.slots * (1 - criteria->reserved_share);
    return criteria->reserved_share <= 0 || backend_occupancy(pool, backend, now) + 1 <= usable;
}

/* Engines fail when the requests that they hold outgrow their memory. */
static bool fits_memory(const struct backend_criteria *criteria, const struct backend *backend)
{
    const struct backend_load *load = &backend->load;
    if (!load->memory_total)
        return true;
    uint64_t permille = load->memory_used * 1000 / load->memory_total;
    uint64_t left = permille < 1000 ? criteria->kv_cache_tokens * (1000 - permille) / 1000 : 0;
    return permille <= MAX_MEMORY_PERMILLE &&
           (!criteria->kv_cache_tokens || criteria->context_tokens <= left);
}

static bool has_room(const struct backend_pool *pool, const struct backend_criteria *criteria,
                     const struct backend *backend, uint64_t now)
{
    if (!criteria->engine)
        return backend->in_flight < 2 * backend->listing.slots;
    if (!spares_reserve(pool, criteria, backend, now))
        return false;
    uint64_t tokens = pending_prompt_tokens(pool, criteria, backend, now);
    double tokens_max = pool->settings.tokens_per_engine * (1 - criteria->reserved_share);
    if (tokens && (double)(tokens + criteria->tokens) > tokens_max)
        return false;
    if (!has_fresh_load(pool, backend, now))
        return !awaits_first_report(pool, backend, now) && has_unreported_share(criteria, backend);
    uint32_t capacity = backend->listing.slots + pool->settings.queue_per_engine;
    return fits_memory(criteria, backend) && backend_occupancy(pool, backend, now) < capacity &&
           has_free_share(pool, criteria, backend);
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

/* Whether a request may be sent there now. A stream that has begun goes to full engines, too. */
static bool accepts(const struct backend_pool *pool, const struct backend_criteria *criteria,
                    const struct backend *backend, uint64_t now)
{
    return backend_is_within_quota(pool, criteria, backend, now) &&
           (criteria->any_load || has_room(pool, criteria, backend, now));
}

/* Demand that a rate limit keeps away leads to a probe of that limit. */
static void record_rate_demand(const struct backend_pool *pool, struct backend *backend,
                               uint64_t now)
{
    if (!backend_is_within_stated_rate(pool, backend, now))
        rate_probe_record_demand(&backend->rate_probe, now);
}

/* Expected time of one more request at a service without engines, ms. */
static double service_cost(const struct backend *backend)
{
    double slots = backend->listing.slots ? backend->listing.slots : 1;
    double latency_ms = backend->latency_us > 0 ? backend->latency_us / 1000 : 1;
    double cost = (1 + backend->in_flight / slots) * latency_ms;
    return backend->distance == 2 ? cost + SERVICE_REGION_PENALTY_MS : cost;
}

/* Expected time with penalties for failures and refusals, ms; lower is better. */
static double score(const struct backend_pool *pool, const struct backend_criteria *criteria,
                    const struct backend *backend, uint64_t now)
{
    double cost =
        criteria->engine ? engine_cost(pool, criteria, backend, now) : service_cost(backend);
    if (backend_is_cold(backend, &criteria->cold, now))
        cost += COLD_PENALTY_MS;
    return cost *
           (1 + FAILURE_PENALTY * backend->failure_rate + REFUSAL_PENALTY * backend->refusal_rate);
}

/* Reservoir sample of two candidates of one kind: each pair is equally likely. */
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
    uint64_t index = random_below(&pool->random, candidates->count);
    if (index < 2)
        candidates->pair[index] = backend;
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

/* The engine stops for other weights before this request ends, and would have to wait for it. */
static bool outlasts_turn(const struct backend_criteria *criteria, const struct backend *backend,
                          uint64_t now)
{
    return backend->turn_at && now + criteria->expected_us > backend->turn_at;
}

/* The backends that one request may go to, by kind. */
struct candidate_set {
    struct candidates near;
    struct candidates far;
    struct candidates unreported; /* load not known */
    struct candidates turning;    /* stop for other weights before the request ends */
    struct backend *ejected;      /* the one whose ejection ends first */
    struct backend *probe;        /* its ejection or backoff is over */
    uint32_t probes;
    uint32_t eligible;
    uint32_t lasting;     /* of these, not stopping for other weights before the request ends */
    bool reported;        /* the load of some eligible backend is known */
    bool without_weights; /* some engine reports that it has none yet */
};

/* Without load reports, a recent answer to this gateway shows that the engine works. */
static bool answered_recently(const struct backend *backend, uint64_t now)
{
    return backend->last_answer_at && now < backend->last_answer_at + BACKEND_RECENT_ANSWER_US;
}

static void classify_candidate(struct backend_pool *pool, const struct backend_criteria *criteria,
                               struct backend *backend, uint64_t now, struct candidate_set *set)
{
    bool reported = !criteria->engine || has_fresh_load(pool, backend, now);
    bool turning = criteria->expected_us && outlasts_turn(criteria, backend, now);
    set->eligible++;
    set->lasting += !turning;
    set->reported |= reported;
    record_rate_demand(pool, backend, now);
    if (!accepts(pool, criteria, backend, now))
        return;
    if (is_ejected(backend, now)) {
        if (!set->ejected || backend->ejected_until < set->ejected->ejected_until)
            set->ejected = backend;
    } else if (backend_needs_probe(backend, now)) {
        if (!backend->probing && random_below(&pool->random, ++set->probes) == 0)
            set->probe = backend;
    } else if (turning) {
        add_candidate(pool, &set->turning, backend);
    } else if (!reported && !answered_recently(backend, now)) {
        add_candidate(pool, &set->unreported, backend);
    } else {
        add_candidate(pool, backend->distance < 2 ? &set->near : &set->far, backend);
    }
}

/* An engine of unknown load gets requests only while the load of no other engine is known. */
static struct backend *choose_candidate(struct backend_pool *pool,
                                        const struct backend_criteria *criteria,
                                        const struct candidate_set *set, uint64_t now)
{
    struct backend *near = best_of(pool, criteria, &set->near, now);
    struct backend *far = best_of(pool, criteria, &set->far, now);
    struct backend *best = better(pool, criteria, near, far, now);
    if (!set->lasting)
        best = best_of(pool, criteria, &set->turning, now);
    if (!best && (!set->reported || criteria->any_load))
        best = best_of(pool, criteria, &set->unreported, now);
    return best;
}

/* A probe costs its request an attempt if the backend still fails, so it gets a request that can
 * have another one. */
static struct backend *choose_from(struct backend_pool *pool,
                                   const struct backend_criteria *criteria,
                                   const struct candidate_set *set, uint64_t now)
{
    if (set->probe && !criteria->may_have_run)
        return set->probe;
    struct backend *best = choose_candidate(pool, criteria, set, now);
    if (best)
        return best;
    return set->probe ? set->probe : set->ejected;
}

static bool is_barred(const struct backend_criteria *criteria, uint64_t incarnation)
{
    for (uint32_t i = 0; i < criteria->barred_count; i++)
        if (criteria->barred_incarnations[i] == incarnation)
            return true;
    return false;
}

/* Added to the rank of backends that are not barred, so that it exceeds all others. */
#define RANK_PREFERRED ((uint64_t)1 << 63)

/* Rendezvous weight of a backend for the rank key; 0: the request must not run there. */
static uint64_t rank_weight(const struct backend_criteria *criteria, const struct backend *backend)
{
    uint64_t weight = (hash_pair(criteria->rank_key, hash_name(backend->listing.id)) >> 1) | 1;
    if (!criteria->barred_count && !criteria->leased_incarnation)
        return weight | RANK_PREFERRED;
    uint64_t incarnation = crash_incarnation_key(backend->listing.id, backend->listing.born);
    if (incarnation == criteria->leased_incarnation)
        return is_barred(criteria, incarnation) ? 0 : UINT64_MAX;
    if (!is_barred(criteria, incarnation))
        return weight | RANK_PREFERRED;
    return criteria->isolated ? 0 : weight;
}

/* Rendezvous hashing: depends on the key and the backends only, so all gateways choose alike. */
static enum backend_choice_result choose_by_rank(const struct backend_pool *pool,
                                                 const struct backend_criteria *criteria,
                                                 uint64_t now, struct backend **chosen)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    uint64_t best_weight = 0;
    bool has_eligible = false;
    *chosen = NULL;
    for (uint32_t i = 0; group && i < group->count; i++) {
        struct backend *backend = group->items[i];
        if (!backend_is_eligible(pool, criteria, backend, now))
            continue;
        has_eligible = true;
        record_rate_demand(pool, backend, now);
        if (is_ejected(backend, now) || (backend_needs_probe(backend, now) && backend->probing) ||
            !accepts(pool, criteria, backend, now))
            continue;
        uint64_t weight = rank_weight(criteria, backend);
        if (weight <= best_weight)
            continue;
        best_weight = weight;
        *chosen = backend;
    }
    if (!*chosen)
        return has_eligible ? BACKEND_FULL : BACKEND_NONE;
    return BACKEND_FOUND;
}

static bool reports_no_weights(const struct backend_pool *pool, const struct backend *backend,
                               uint64_t now)
{
    return backend_has_recent_load(pool, backend, now) && !backend->load.version;
}

/* All engines that report their load have no weights, as after a loss of power: the others, which
 * did not report yet, have none either. */
static bool is_outage(const struct backend_criteria *criteria, const struct candidate_set *set)
{
    return criteria->engine && !set->reported && set->without_weights;
}

enum backend_choice_result backend_pool_choose(struct backend_pool *pool,
                                               const struct backend_criteria *criteria,
                                               uint64_t now, struct backend **chosen)
{
    if (criteria->rank_key)
        return choose_by_rank(pool, criteria, now, chosen);
    struct candidate_set set = {0};
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    for (uint32_t i = 0; group && i < group->count; i++) {
        if (i >= group->reported && set.reported && criteria->engine && !criteria->any_load)
            break;
        if (backend_is_eligible(pool, criteria, group->items[i], now))
            classify_candidate(pool, criteria, group->items[i], now, &set);
        else
            set.without_weights |= reports_no_weights(pool, group->items[i], now);
    }
    *chosen = choose_from(pool, criteria, &set, now);
    if (*chosen)
        return BACKEND_FOUND;
    return set.eligible && !is_outage(criteria, &set) ? BACKEND_FULL : BACKEND_NONE;
}

bool backend_pool_has_room(struct backend_pool *pool, const struct backend_criteria *criteria,
                           uint64_t now)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    for (uint32_t i = 0; group && i < group->count; i++) {
        const struct backend *backend = group->items[i];
        if (backend_is_eligible(pool, criteria, backend, now) &&
            !backend_needs_probe(backend, now) && accepts(pool, criteria, backend, now))
            return true;
    }
    return false;
}

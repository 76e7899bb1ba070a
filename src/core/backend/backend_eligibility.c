/* Which backends are eligible for a request: in use, with acceptable weights, and responsive. */
#include "core/backend/backend_pool_internal.h"

/** An engine that sends no first byte for this time gets no requests until it answers. */
#define STALL_TIMEOUT_US 700000
/** A first byte after this time shows that the backend, or the network to it, is slow. */
#define LATE_FIRST_BYTE_US 450000

static uint64_t weights_version(const struct backend_pool *pool, const struct backend *backend,
                                uint64_t now)
{
    return backend_has_recent_load(pool, backend, now) ? backend->load.version
                                                       : backend->listing.version;
}

/* Requests are unanswered, and no first byte has arrived for too long. */
static bool is_stalled(const struct backend *backend, uint64_t now)
{
    return backend->awaiting_first_byte && now > backend->awaiting_since + STALL_TIMEOUT_US;
}

/* Requests may begin there with a long delay, as far as this gateway's own traffic shows. */
static bool is_late(const struct backend *backend, uint64_t now)
{
    return backend->load.link_slow || backend->last_latency_us > LATE_FIRST_BYTE_US ||
           now > backend->last_answer_at + BACKEND_RECENT_ANSWER_US || is_stalled(backend, now);
}

/* Whether the weights there are acceptable now, and will be when a delayed request begins. */
static bool has_version(const struct backend_pool *pool, const struct backend_criteria *criteria,
                        const struct backend *backend, uint64_t now)
{
    uint64_t version = weights_version(pool, backend, now);
    if (!version || version < criteria->min_version)
        return false;
    if (criteria->required_version && version != criteria->required_version)
        return false;
    if (is_late(backend, now) && version < criteria->later_min_version)
        return false;
    bool staged = backend_has_recent_load(pool, backend, now) && backend->load.staged;
    return version >= criteria->next_min_version || staged;
}

/* Either all backends of a platform write their start time (`born`) into their entries or none
 * does: an entry without it among others with it was written by somebody else, and no backend may
 * be there. The majority of the service's entries decides; where the service is small, or its
 * entries with a start time are gone, the majority of all entries does, provided that the service
 * ever had an entry with a start time. */
static bool is_untrusted_entry(const struct backend_pool *pool, const struct backend *backend)
{
    if (backend->listing.born)
        return false;
    const struct backend_table *table = &pool->table;
    const struct backend_group *group = backend_table_group(table, backend->listing.service);
    if (!group || !group->ever_dated)
        return false;
    return 2 * group->dated > group->count || 2 * table->dated > table->count;
}

/* The backend's own statements override the list, which may lag. */
static bool is_out_of_use(const struct backend_pool *pool, const struct backend *backend,
                          uint64_t now)
{
    return backend->evacuated || backend->listing.draining || backend->leaving ||
           backend->load.leaving || backend_unlisting_has_expired(backend, now) ||
           is_untrusted_entry(pool, backend);
}

bool backend_pool_has_home(const struct backend_pool *pool, const char *service,
                           const struct residency *residency)
{
    const struct backend_group *group = backend_table_group(&pool->table, service);
    for (uint32_t i = 0; group && i < group->count; i++)
        if (residency_allows(residency, group->items[i]->region))
            return true;
    return false;
}

static bool is_presumed_down(const struct backend *backend, uint64_t now)
{
    return now < backend->presumed_down_until;
}

bool backend_is_cold(const struct backend *backend, const struct cold_limit *limit, uint64_t now)
{
    bool has_started = backend->restarted_at && now < backend->restarted_at + limit->start_us;
    return limit->rate.per_s > 0 && (now < backend->cold_until || has_started);
}

/* \return requests that this gateway may send to the backend in any window of the limit; 0 without
 * a recent rank */
static uint32_t quota(const struct backend_pool *pool, const struct backend *backend,
                      const struct rate_limit *limit, uint64_t now)
{
    bool is_rank_known =
        backend->rate_rank_at && now < backend->rate_rank_at + pool->settings.max_near_load_age_us;
    return is_rank_known ? rate_quota(limit, &backend->rate_rank) : 0;
}

static bool has_quota_left(const struct backend_pool *pool, const struct backend *backend,
                           const struct rate_limit *limit, uint64_t now)
{
    return send_window_count(&backend->sends, limit->window_us, now) <
           quota(pool, backend, limit, now);
}

bool backend_is_within_stated_rate(const struct backend_pool *pool, const struct backend *backend,
                                   uint64_t now)
{
    if (!backend->rate.limited || rate_probe_is_granted(&backend->rate_probe, now))
        return true;
    struct rate_limit limit = rate_limit_stated(backend->rate.per_s);
    return has_quota_left(pool, backend, &limit, now);
}

bool backend_is_within_quota(const struct backend_pool *pool,
                             const struct backend_criteria *criteria, const struct backend *backend,
                             uint64_t now)
{
    if (backend_is_cold(backend, &criteria->cold, now) &&
        !has_quota_left(pool, backend, &criteria->cold.rate, now))
        return false;
    return backend_is_within_stated_rate(pool, backend, now);
}

/* \return time at which the backend may get a request, as far as its backoff and its stated rate
 * decide; `now` where they do not prevent it */
static uint64_t withheld_until(const struct backend_pool *pool, const struct backend *backend,
                               uint64_t now)
{
    if (backend_is_backed_off(backend, now))
        return backend->backoff_until;
    if (backend_is_within_stated_rate(pool, backend, now))
        return now;
    uint64_t probe_at = rate_probe_next_at(&backend->rate_probe, &backend->rate, now);
    struct rate_limit limit = rate_limit_stated(backend->rate.per_s);
    if (!quota(pool, backend, &limit, now))
        return probe_at;
    uint64_t quota_at = send_window_next_at(&backend->sends, limit.window_us, now);
    return quota_at < probe_at ? quota_at : probe_at;
}

bool backend_may_start_request(const struct backend_pool *pool, const struct backend *backend,
                               const struct backend_criteria *criteria, uint64_t now)
{
    if (!backend->listed || is_out_of_use(pool, backend, now) || is_presumed_down(backend, now) ||
        backend_is_backed_off(backend, now) ||
        !residency_allows(&criteria->residency, backend->region) ||
        !backend_is_within_quota(pool, criteria, backend, now))
        return false;
    return !criteria->engine || has_version(pool, criteria, backend, now);
}

/* The engine is empty and is about to load the version that the request needs. */
static bool awaits_required_version(const struct backend_pool *pool,
                                    const struct backend_criteria *criteria,
                                    const struct backend *backend, uint64_t now)
{
    return criteria->required_version && criteria->required_version == criteria->coming_version &&
           criteria->required_version >= criteria->min_version &&
           !weights_version(pool, backend, now);
}

static bool is_loading(const struct backend_pool *pool, const struct backend *backend, uint64_t now)
{
    return backend_has_recent_load(pool, backend, now) && backend->load.loading;
}

static bool may_serve(const struct backend_pool *pool, const struct backend_criteria *criteria,
                      const struct backend *backend, uint64_t now)
{
    if (is_out_of_use(pool, backend, now) ||
        !residency_allows(&criteria->residency, backend->region))
        return false;
    if (!criteria->engine || awaits_required_version(pool, criteria, backend, now))
        return true;
    return has_version(pool, criteria, backend, now) && !is_loading(pool, backend, now);
}

bool backend_pool_may_serve(const struct backend_pool *pool,
                            const struct backend_criteria *criteria, uint64_t now)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    for (uint32_t i = 0; group && i < group->count; i++)
        if (may_serve(pool, criteria, group->items[i], now))
            return true;
    return false;
}

static bool is_excluded(const struct backend_criteria *criteria, const struct backend *backend)
{
    for (uint32_t i = 0; i < criteria->excluded_count; i++)
        if (criteria->excluded[i] == backend)
            return true;
    return false;
}

/* Whether the backend could serve the request once its backoff, if any, is over. A backend that is
 * backed off reports itself empty. */
static bool is_able_to_serve(const struct backend_pool *pool,
                             const struct backend_criteria *criteria, const struct backend *backend,
                             uint64_t now)
{
    if (is_out_of_use(pool, backend, now) || is_presumed_down(backend, now) ||
        !residency_allows(&criteria->residency, backend->region))
        return false;
    if (!criteria->engine)
        return true;
    if (!has_version(pool, criteria, backend, now))
        return false;
    return !is_loading(pool, backend, now) && !is_stalled(backend, now);
}

/* An engine that never reported to this gateway may report to others. */
static bool is_inactive_since(const struct backend *backend, uint64_t moment)
{
    return backend->load_at && backend->load_at <= moment && backend->last_answer_at <= moment;
}

bool backend_is_eligible(const struct backend_pool *pool, const struct backend_criteria *criteria,
                         const struct backend *backend, uint64_t now)
{
    if (criteria->heard_after && is_inactive_since(backend, criteria->heard_after))
        return false;
    return is_able_to_serve(pool, criteria, backend, now) && !backend_is_backed_off(backend, now) &&
           !is_excluded(criteria, backend);
}

uint64_t backend_pool_withheld_until(const struct backend_pool *pool,
                                     const struct backend_criteria *criteria, uint64_t now)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    uint64_t first = 0;
    for (uint32_t i = 0; group && i < group->count; i++) {
        const struct backend *backend = group->items[i];
        if (!is_able_to_serve(pool, criteria, backend, now))
            continue;
        uint64_t until = withheld_until(pool, backend, now);
        if (until <= now)
            return 0;
        if (!first || until < first)
            first = until;
    }
    return first;
}

/* \return slots that requests of this duration can take at the rate that the backend accepts */
static uint32_t usable_slots(const struct backend *backend, uint64_t duration_us)
{
    double at_rate = backend->rate.per_s * (double)duration_us / 1e6;
    bool is_short_of_slots = backend->rate.limited && at_rate < backend->listing.slots;
    return is_short_of_slots ? (uint32_t)(at_rate + 0.5) : backend->listing.slots;
}

uint32_t backend_pool_slots(const struct backend_pool *pool,
                            const struct backend_criteria *criteria, uint64_t now)
{
    const struct backend_group *group = backend_table_group(&pool->table, criteria->service);
    uint32_t slots = 0;
    for (uint32_t i = 0; group && i < group->count; i++)
        if (backend_is_eligible(pool, criteria, group->items[i], now))
            slots += usable_slots(group->items[i], criteria->expected_us);
    return slots;
}

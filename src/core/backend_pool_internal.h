/**
 * What the modules of the pool share: its state, and what the reports of load still tell. What is
 * listed and reported is in backend_pool.c, which back ends are fit for a request in backend_fit.c,
 * the choice among them in backend_choice.c, what their answers show of their health in
 * backend_health.c.
 */
#ifndef SHUNTRUN_BACKEND_POOL_INTERNAL_H
#define SHUNTRUN_BACKEND_POOL_INTERNAL_H

#include "core/backend_table.h"

struct backend_pool {
    struct backend_pool_settings settings;
    struct random_stream random;
    struct backend_table table;
    bool sound; /* the list's keeper works */
};

/** Only an answer within this time shows that a back end, or the way to it, is not late. */
#define BACKEND_PROMPT_US 1500000

/** \return whether the back end may get the request, if it has room */
bool backend_is_fit(const struct backend_pool *pool, const struct backend_wish *wish,
                    const struct backend *backend, uint64_t now);

/** \return whether the last report still tells what weights the engine has */
static inline bool backend_has_recent_load(const struct backend_pool *pool,
                                           const struct backend *backend, uint64_t now)
{
    return backend->load_at && now < backend->load_at + pool->settings.load_fresh_us;
}

/** \return whether the time is over for which a back end that the list dropped stays usable */
static inline bool backend_is_past_unlisting(const struct backend *backend, uint64_t now)
{
    return backend->unlisted_until && backend->unlisted_until <= now;
}

#endif

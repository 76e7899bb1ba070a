/**
 * Shared by the modules of the pool: its state, and checks of one backend. backend_pool.c applies
 * list entries and load reports, backend_statement.c what backends state about themselves;
 * backend_eligibility.c tells which are eligible for a request, backend_choice.c chooses among
 * them, and backend_health.c tracks their load and health by this gateway's own requests.
 */
#ifndef SHUNTRUN_BACKEND_POOL_INTERNAL_H
#define SHUNTRUN_BACKEND_POOL_INTERNAL_H

#include "core/backend/backend_table.h"
#include "core/routing/zone_set.h"

/** Number of incarnations whose statements are saved after their removal. A list that is lost in
 * an outage names its backends again afterwards; a tenth of 1,000 may leave in the meantime. */
#define SAVED_STATEMENTS 128

/** What an incarnation that is no longer listed stated about itself. */
struct saved_statement {
    char id[BACKEND_ID_SIZE];
    uint64_t born;
    bool leaving;
    uint64_t leaving_known_since; /* as in struct backend */
    uint64_t backoff_until;
    struct stated_rate rate;
};

struct backend_pool {
    struct backend_pool_settings settings;
    struct random_stream random;
    struct backend_table table;
    struct zone_set evacuated;
    bool sound; /* the store works */
    struct saved_statement kept[SAVED_STATEMENTS];
    uint32_t saved_next; /* index of the oldest, which is replaced next */
};

/** \brief Save the statements of a backend that is removed. */
void backend_statement_save(struct backend_pool *pool, const struct backend *backend);
/** \brief Restore what this incarnation stated before it was removed. */
void backend_statement_restore(struct backend_pool *pool, struct backend *backend);
/** \brief Handle a backend that is listed or reported again. Where entries have no start time, it
 * is a new incarnation if the last one was presumed down, and the statements of that one are
 * cleared. */
void backend_clear_undated_incarnation(struct backend_pool *pool, struct backend *backend);

/** \return whether the backoff that it asked for is still running */
static inline bool backend_is_backed_off(const struct backend *backend, uint64_t now)
{
    return now < backend->backoff_until;
}

/** \return whether its backoff is over, and no request has worked since */
static inline bool backend_backoff_has_expired(const struct backend *backend, uint64_t now)
{
    return backend->backoff_until && now >= backend->backoff_until;
}

/** \return whether a request there would be the probe that shows, after an ejection or a backoff,
 * whether the backend works again */
static inline bool backend_needs_probe(const struct backend *backend, uint64_t now)
{
    return backend->ejected_until || backend_backoff_has_expired(backend, now);
}

/** Only an answer within this time shows that a backend, and the network to it, are not slow. */
#define BACKEND_RECENT_ANSWER_US 1500000

/** \return whether this gateway may send one more request there: it did not use up its quota where
 * the backend is cold or states a rate limit */
bool backend_is_within_quota(const struct backend_pool *pool,
                             const struct backend_criteria *criteria, const struct backend *backend,
                             uint64_t now);
/** \return the same, as far as the rate limit that it states decides */
bool backend_is_within_stated_rate(const struct backend_pool *pool, const struct backend *backend,
                                   uint64_t now);
/** \return whether the backend may get the request if it has room */
bool backend_is_eligible(const struct backend_pool *pool, const struct backend_criteria *criteria,
                         const struct backend *backend, uint64_t now);

/** \return whether the last load report is recent enough to tell the engine's weights */
static inline bool backend_has_recent_load(const struct backend_pool *pool,
                                           const struct backend *backend, uint64_t now)
{
    return backend->load_at && now < backend->load_at + pool->settings.max_load_age_us;
}

/** \return whether the grace period of an unlisted backend is over */
static inline bool backend_unlisting_has_expired(const struct backend *backend, uint64_t now)
{
    return backend->unlisted_until && backend->unlisted_until <= now;
}

#endif

/**
 * What the modules of the pool share: its state, and what the reports of load still tell. What is
 * listed and reported is in backend_pool.c, what back ends say of themselves in
 * backend_statement.c, which are fit for a request in backend_eligibility.c, the choice among them
 * in backend_choice.c, what their answers show of their health in backend_health.c.
 */
#ifndef SHUNTRUN_BACKEND_POOL_INTERNAL_H
#define SHUNTRUN_BACKEND_POOL_INTERNAL_H

#include "core/backend_table.h"

/** Starts whose statements are kept after the list dropped them. A list that lapses in an outage
 *  names its back ends again when it is back; a tenth of 1,000 may leave meanwhile. */
#define SAVED_STATEMENTS 128

/** What a start that is no longer listed said of itself. */
struct saved_statement {
    char id[BACKEND_ID_SIZE];
    uint64_t born;
    bool leaving;
    uint64_t backoff_until;
};

struct backend_pool {
    struct backend_pool_settings settings;
    struct random_stream random;
    struct backend_table table;
    bool sound; /* the list's keeper works */
    struct saved_statement kept[SAVED_STATEMENTS];
    uint32_t saved_next; /* the oldest, which the next one replaces */
};

/** \brief Keep what a back end said of itself, as the list drops it. */
void backend_statement_save(struct backend_pool *pool, const struct backend *backend);
/** \brief Bring back what this start said before the list dropped it. */
void backend_statement_restore(struct backend_pool *pool, struct backend *backend);
/** \brief It is listed or reported again. Where starts have no date, that is another one if the
 * last is known to have ended: what that one said is over. */
void backend_clear_undated_start(struct backend_pool *pool, struct backend *backend);

/** \return whether it asked in an answer to get nothing now */
static inline bool backend_is_backed_off(const struct backend *backend, uint64_t now)
{
    return now < backend->backoff_until;
}

/** \return whether the time is over for which it wanted nothing, and it has not worked since */
static inline bool backend_backoff_has_expired(const struct backend *backend, uint64_t now)
{
    return backend->backoff_until && now >= backend->backoff_until;
}

/** Only an answer within this time shows that a back end, or the way to it, is not late. */
#define BACKEND_RECENT_ANSWER_US 1500000

/** \return whether the back end may get the request, if it has room */
bool backend_is_eligible(const struct backend_pool *pool, const struct backend_criteria *criteria,
                         const struct backend *backend, uint64_t now);

/** \return whether the last report still tells what weights the engine has */
static inline bool backend_has_recent_load(const struct backend_pool *pool,
                                           const struct backend *backend, uint64_t now)
{
    return backend->load_at && now < backend->load_at + pool->settings.max_load_age_us;
}

/** \return whether the time is over for which a back end that the list dropped stays usable */
static inline bool backend_unlisting_has_expired(const struct backend *backend, uint64_t now)
{
    return backend->unlisted_until && backend->unlisted_until <= now;
}

#endif

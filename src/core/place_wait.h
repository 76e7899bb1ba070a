/**
 * Whether a request for which no back end can be had waits for one, or is refused.
 *
 * It waits only while a place can come free: back ends that are fit but full free one with each
 * request that ends, and one that wants nothing for a while may be asked afterwards. Where none is
 * fit at all, nothing that ends helps, and the caller is better off with an answer at once.
 */
#ifndef SHUNTRUN_PLACE_WAIT_H
#define SHUNTRUN_PLACE_WAIT_H

#include "core/backend_pool.h"

/**
 * \param backoff_end as backend_pool_backoff_end() says
 * \param until time up to which a request may wait for a place
 * \return whether it is refused
 */
static inline bool place_wait_refuses(enum backend_absence absence, uint64_t backoff_end,
                                      uint64_t until, uint64_t now)
{
    if (now >= until)
        return true;
    return absence == BACKEND_NONE && (!backoff_end || backoff_end >= until);
}

#endif

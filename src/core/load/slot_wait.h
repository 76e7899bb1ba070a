/**
 * Whether a request that no backend can take now waits for a free slot or is refused.
 *
 * It waits only while a slot can become free: a usable but full backend frees one with each request
 * that completes, and a backend that asked for a backoff, or states a rate limit, may be tried
 * again afterwards. With no usable backend at all, no completing request helps, and the client is
 * better served by an immediate refusal.
 */
#ifndef SHUNTRUN_LOAD_SLOT_WAIT_H
#define SHUNTRUN_LOAD_SLOT_WAIT_H

#include "core/backend/backend_pool.h"

/**
 * \param withheld_until see backend_pool_withheld_until()
 * \param until time until which the request may wait for a slot
 * \return whether the request is refused now
 */
static inline bool slot_wait_refuses(enum backend_choice_result absence, uint64_t withheld_until,
                                     uint64_t until, uint64_t now)
{
    if (now >= until)
        return true;
    if (withheld_until)
        return withheld_until >= until;
    return absence == BACKEND_NONE;
}

#endif

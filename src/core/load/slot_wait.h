/**
 * Whether a request that no backend can take now waits for a free slot or is refused.
 *
 * It waits only while a slot can become free: a usable but full backend frees one with each request
 * that completes, and a backend that asked for a backoff may be tried again afterwards. With no
 * usable backend at all, no completing request helps, and the client is better served by an
 * immediate refusal.
 *
 * Load pattern of the time to wait: as long as an overload lasts, more new clients arrive than
 * slots become free. A slot that is given to one who has waited makes that one late, and the next
 * one, who could be in time, waits in turn. So new clients then wait just for reports that are due.
 */
#ifndef SHUNTRUN_LOAD_SLOT_WAIT_H
#define SHUNTRUN_LOAD_SLOT_WAIT_H

#include "core/backend_pool.h"

/** Shortest time for which a request may wait for a slot: between two load reports. */
#define SLOT_WAIT_MIN_US ((uint64_t)15000)

/**
 * \param target_us latency target of the route
 * \param percent of the target that a request may wait
 * \param overload_lasts see overload_lasts()
 * \return time for which a request may wait for a slot
 */
static inline uint64_t slot_wait_us(uint64_t target_us, uint32_t percent, bool overload_lasts)
{
    uint64_t wait = target_us * percent / 100;
    return overload_lasts || wait < SLOT_WAIT_MIN_US ? SLOT_WAIT_MIN_US : wait;
}

/**
 * \param backoff_end see backend_pool_backoff_end()
 * \param until time until which the request may wait for a slot
 * \return whether the request is refused now
 */
static inline bool slot_wait_refuses(enum backend_choice_result absence, uint64_t backoff_end,
                                     uint64_t until, uint64_t now)
{
    if (now >= until)
        return true;
    return absence == BACKEND_NONE && (!backoff_end || backoff_end >= until);
}

#endif

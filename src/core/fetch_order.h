/**
 * Which of several versions of the weights a loader fetches first, when more than one is missing.
 *
 * The newest one wins, as an older one would be replaced at once. It loses to an older one that is
 * half here, and when it does not come: the origin may be gone since it was named.
 */
#ifndef SHUNTRUN_FETCH_ORDER_H
#define SHUNTRUN_FETCH_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/** No version goes first: all are tried. */
#define FETCH_ORDER_NONE UINT32_MAX

struct fetch_state {
    bool complete;
    bool half_fetched;
    uint64_t wanted_at;   /**< time at which the version was heard of */
    uint64_t progress_at; /**< time of the last piece, 0: none came yet */
};

/** \return whether pieces are missing and come, or may still come soon after the version was named
 */
static inline bool fetch_is_progressing(const struct fetch_state *state, uint64_t stall_timeout_us,
                                        uint64_t now)
{
    uint64_t last = state->progress_at > state->wanted_at ? state->progress_at : state->wanted_at;
    return !state->complete && now < last + stall_timeout_us;
}

/**
 * \param states of the versions that are wanted, oldest first
 * \param stall_timeout_us without a piece for so long, a version does not progress
 * \return index of the one version that goes first, or FETCH_ORDER_NONE
 */
static inline uint32_t fetch_order_select(const struct fetch_state *states, uint32_t count,
                                          uint64_t stall_timeout_us, uint64_t now)
{
    for (uint32_t i = 0; i < count; i++)
        if (states[i].half_fetched && fetch_is_progressing(&states[i], stall_timeout_us, now))
            return i;
    for (uint32_t i = count; i-- > 0;)
        if (fetch_is_progressing(&states[i], stall_timeout_us, now))
            return i;
    return FETCH_ORDER_NONE;
}

#endif

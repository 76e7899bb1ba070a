/**
 * Selects the version of the weights that a loader or a relay fetches first, when more than one is
 * missing. Fetched side by side, both would arrive late, as the origin's link is narrow.
 *
 * The newest version is preferred, as it would replace an older one at once. There are two
 * exceptions: an older version of which half is fetched is completed first, and a version that
 * makes no progress is skipped, as its origin may be gone since it was announced.
 */
#ifndef SHUNTRUN_FETCH_ORDER_H
#define SHUNTRUN_FETCH_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/** No version is preferred: all are tried. */
#define FETCH_ORDER_NONE UINT32_MAX
/** A fetch without a new piece for this long is stalled: about ten times the transfer time of a
 * piece on a loader's link. */
#define FETCH_STALL_TIMEOUT_US 800000

struct fetch_state {
    uint64_t version;
    bool complete;
    bool half_fetched;
    uint64_t wanted_at;   /**< time at which this node learned of the version */
    uint64_t progress_at; /**< arrival time of the last piece, 0: none yet */
};

/**
 * \return whether the version is incomplete, and a piece arrived or the version was learned of
 *         within the last `stall_timeout_us`
 */
static inline bool fetch_is_progressing(const struct fetch_state *state, uint64_t stall_timeout_us,
                                        uint64_t now)
{
    uint64_t last = state->progress_at > state->wanted_at ? state->progress_at : state->wanted_at;
    return !state->complete && now < last + stall_timeout_us;
}

/**
 * \param states of the wanted versions of one model; of equal versions the last counts as newest
 * \param stall_timeout_us time without a piece after which a version counts as stalled
 * \return index of the version to fetch first, or FETCH_ORDER_NONE
 */
static inline uint32_t fetch_order_select(const struct fetch_state *states, uint32_t count,
                                          uint64_t stall_timeout_us, uint64_t now)
{
    uint32_t oldest_half = FETCH_ORDER_NONE, newest = FETCH_ORDER_NONE;
    for (uint32_t i = 0; i < count; i++) {
        if (!fetch_is_progressing(&states[i], stall_timeout_us, now))
            continue;
        if (newest == FETCH_ORDER_NONE || states[i].version >= states[newest].version)
            newest = i;
        if (states[i].half_fetched &&
            (oldest_half == FETCH_ORDER_NONE || states[i].version < states[oldest_half].version))
            oldest_half = i;
    }
    return oldest_half != FETCH_ORDER_NONE ? oldest_half : newest;
}

#endif

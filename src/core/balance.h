/**
 * Load-balancing algorithms over the candidates of one request.
 */
#ifndef SHUNTRUN_BALANCE_H
#define SHUNTRUN_BALANCE_H

#include "core/random.h"

#include <stdint.h>

/** One agent that may take the request. */
struct balance_candidate {
    uint32_t agent;     /**< index in the routing view */
    uint32_t in_flight; /**< requests that this gateway has there now */
    uint32_t reported;  /**< requests in progress as the agent last said; lags */
    uint32_t capacity;
    uint32_t token_us; /**< mean time between tokens as this gateway saw it; 0: not known */
    uint16_t distance; /**< 0 same zone, 1 same region, 2 other region */
};

struct balance_state {
    struct random_stream random;
    uint64_t turn; /**< of round robin */
};

/**
 * \brief Leave out agents that are much slower than the median one, unless too few are left. Now
 * and then one is kept as a probe, so that an agent that recovered is noticed. \return how many
 * candidates are left, in place
 */
uint32_t balance_drop_slow(struct balance_state *state, struct balance_candidate *candidates,
                           uint32_t count);

/** \param count at least 1 \return index into `candidates` */
typedef uint32_t balance_choose(struct balance_state *state,
                                const struct balance_candidate *candidates, uint32_t count);

/**
 * \brief Two random choices, the one with the shorter expected wait taken: own in-flight counts
 * over lagging reports, times the observed time between tokens, so that slow engines get less.
 */
balance_choose balance_two_choices;
balance_choose balance_round_robin;
balance_choose balance_random;

#endif

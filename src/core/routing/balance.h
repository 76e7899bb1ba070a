/**
 * Load-balancing algorithms that choose among the candidate agents of one request.
 */
#ifndef SHUNTRUN_BALANCE_H
#define SHUNTRUN_BALANCE_H

#include "core/random.h"

#include <stdint.h>

/** One agent that may take the request. */
struct balance_candidate {
    uint32_t agent;     /**< index in the routing view */
    uint32_t in_flight; /**< requests of this gateway in progress there */
    uint32_t reported;  /**< requests in progress by the agent's last report, which lags */
    uint32_t capacity;  /**< requests that it runs concurrently */
    uint32_t token_us;  /**< mean time between tokens, observed by this gateway; 0: not known */
    uint16_t distance;  /**< 0 same zone, 1 same region, 2 other region */
};

struct balance_state {
    struct random_stream random;
    uint64_t turn; /**< number of round-robin choices made */
};

/**
 * \brief Remove agents that are much slower than the median, if enough speeds are known. At random
 * one of them is kept as a probe, to notice that it has recovered. \return number of candidates
 * left, compacted in place
 */
uint32_t balance_drop_slow(struct balance_state *state, struct balance_candidate *candidates,
                           uint32_t count);

/** \brief Choose a candidate. \param count at least 1 \return index into `candidates` */
typedef uint32_t balance_choose(struct balance_state *state,
                                const struct balance_candidate *candidates, uint32_t count);

/**
 * \brief Power of two choices: draw two candidates and choose the one with the shorter expected
 * wait. The load is the greater of own in-flight count and lagging report, multiplied by the
 * observed time between tokens so that slow engines get fewer requests.
 */
balance_choose balance_two_choices;
balance_choose balance_round_robin;
balance_choose balance_random;

#endif

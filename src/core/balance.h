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
    uint16_t distance; /**< 0 same zone, 1 same region, 2 other region */
};

struct balance_state {
    struct random_stream random;
    uint64_t turn; /**< of round robin */
};

/** \param count at least 1 \return index into `candidates` */
typedef uint32_t balance_choose(struct balance_state *state,
                                const struct balance_candidate *candidates, uint32_t count);

/** \brief Two random choices, the less loaded taken: own in-flight counts over lagging reports. */
balance_choose balance_two_choices;
balance_choose balance_round_robin;
balance_choose balance_random;

#endif

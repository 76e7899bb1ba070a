#include "core/routing/balance.h"

#include <stdbool.h>

#define SLOW_FACTOR 2      /* an agent is slow above this multiple of the median time */
#define MIN_KNOWN_SPEEDS 4 /* agents are removed only if this many times are known */
#define PROBE_ONE_IN 64

/* Median of the known times between tokens, microseconds; 0 if too few are known. */
static uint32_t median_token_us(const struct balance_candidate *candidates, uint32_t count)
{
    uint32_t sorted[count];
    uint32_t known = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (!candidates[i].token_us)
            continue;
        uint32_t at = known++;
        for (; at > 0 && sorted[at - 1] > candidates[i].token_us; at--)
            sorted[at] = sorted[at - 1];
        sorted[at] = candidates[i].token_us;
    }
    return known >= MIN_KNOWN_SPEEDS ? sorted[known / 2] : 0;
}

uint32_t balance_drop_slow(struct balance_state *state, struct balance_candidate *candidates,
                           uint32_t count)
{
    uint32_t median = count ? median_token_us(candidates, count) : 0;
    if (!median)
        return count;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < count; i++) {
        bool slow = candidates[i].token_us > (uint64_t)SLOW_FACTOR * median;
        bool probe = slow && random_below(&state->random, PROBE_ONE_IN) == 0;
        if (!slow || probe)
            candidates[kept++] = candidates[i];
    }
    return kept;
}

#include "core/routing/balance.h"

uint32_t balance_random(struct balance_state *state, const struct balance_candidate *candidates,
                        uint32_t count)
{
    (void)candidates;
    return (uint32_t)random_below(&state->random, count);
}

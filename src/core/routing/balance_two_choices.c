#include "core/routing/balance.h"

#include <stdbool.h>

/** Load, relative to the capacity, that is added for each step of distance. */
#define DISTANCE_COST 0.02

/* Own counts are exact but partial, reports complete but outdated: the greater one is used. */
static double load_of(const struct balance_candidate *candidate)
{
    uint32_t busy =
        candidate->in_flight > candidate->reported ? candidate->in_flight : candidate->reported;
    uint32_t capacity = candidate->capacity ? candidate->capacity : 1;
    return (double)(busy + 1) / capacity + DISTANCE_COST * candidate->distance;
}

static bool is_better(const struct balance_candidate *left, const struct balance_candidate *right)
{
    double left_cost = load_of(left);
    double right_cost = load_of(right);
    if (left->token_us && right->token_us) {
        left_cost *= left->token_us;
        right_cost *= right->token_us;
    }
    return left_cost < right_cost;
}

uint32_t balance_two_choices(struct balance_state *state,
                             const struct balance_candidate *candidates, uint32_t count)
{
    uint32_t first = (uint32_t)random_below(&state->random, count);
    if (count == 1)
        return first;
    uint32_t second = (uint32_t)random_below(&state->random, count - 1);
    second += second >= first;
    return is_better(&candidates[second], &candidates[first]) ? second : first;
}

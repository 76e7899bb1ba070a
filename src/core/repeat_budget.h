/**
 * A budget of repeats that all gateways share without coordination: in any sliding window, each
 * spends at most a share of its own requests plus its part of a fixed allowance.
 *
 * The sum over all gateways then stays within the global bound, even when they disagree on which
 * gateways are alive: the allowance is divided by the highest number of gateways seen, and a
 * gateway that does not know their number yet has no part of it.
 *
 * A part may be less than one repeat. A gateway rounds up or down by its rank among all gateways,
 * so that in a large fleet the sum is used instead of rounded to 0.
 */
#ifndef SHUNTRUN_REPEAT_BUDGET_H
#define SHUNTRUN_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Buckets of equal length into which the window is divided; one more than these is kept. */
#define REPEAT_BUDGET_BUCKETS 20

struct repeat_budget_settings {
    double ratio;       /**< repeats per request in the window */
    uint32_t allowance; /**< additional repeats per window, of all gateways together */
    uint64_t window_us; /**< length of the sliding window */
};

struct repeat_budget {
    struct repeat_budget_settings settings;
    uint64_t bucket;                              /**< number of the current bucket */
    uint32_t requests[REPEAT_BUDGET_BUCKETS + 1]; /**< by bucket number modulo the array size */
    uint32_t repeats[REPEAT_BUDGET_BUCKETS + 1];  /**< the same */
    uint64_t started; /**< time of creation, us; half the allowance holds for the first window */
};

/** What a decision on a repeat rests on, for logs. */
struct repeat_budget_account {
    uint32_t repeats; /**< spent by this process in the window */
    double bound;     /**< on these */
    uint64_t life_us; /**< time for which this process has kept the account */
};

/** The place of a gateway among those that share the budget. */
struct budget_share {
    uint32_t gateways; /**< 0: not known */
    uint32_t rank;     /**< from 0, in an order that all agree on */
};

void repeat_budget_init(struct repeat_budget *budget, const struct repeat_budget_settings *settings,
                        uint64_t now);
/** \brief Count a client request, which earns budget. */
void repeat_budget_earn(struct repeat_budget *budget, uint64_t now);
/** \return whether the budget has room for a repeat now */
bool repeat_budget_allows(struct repeat_budget *budget, uint64_t now,
                          const struct budget_share *share);
/** \return the account of this process as of now */
struct repeat_budget_account repeat_budget_account(struct repeat_budget *budget, uint64_t now,
                                                   const struct budget_share *share);
/**
 * \brief Spend one repeat.
 * \return false if the budget is exhausted: the request must not be repeated
 */
bool repeat_budget_spend(struct repeat_budget *budget, uint64_t now,
                         const struct budget_share *share);

#endif

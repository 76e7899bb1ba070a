/**
 * A budget of repeats that all gateways share without talking: each spends at most a share of its
 * own requests, and its part of a fixed allowance, in any sliding window.
 *
 * The sum over all gateways then keeps the bound of the whole, also when they disagree on who
 * lives: the allowance is divided by the greatest number of gateways seen.
 */
#ifndef SHUNTRUN_REPEAT_BUDGET_H
#define SHUNTRUN_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** The window is counted in this many steps, and one step more than the window is kept. */
#define REPEAT_BUDGET_BUCKETS 20

struct repeat_budget_settings {
    double ratio;       /**< repeats for each request of the window */
    uint32_t allowance; /**< repeats of all gateways besides, in each window */
    uint64_t window_us;
};

struct repeat_budget {
    struct repeat_budget_settings settings;
    uint64_t bucket; /**< number of the present step */
    uint32_t requests[REPEAT_BUDGET_BUCKETS + 1];
    uint32_t repeats[REPEAT_BUDGET_BUCKETS + 1];
    uint64_t started; /**< time of the first use; the allowance grows over the first window */
};

void repeat_budget_init(struct repeat_budget *budget, const struct repeat_budget_settings *settings,
                        uint64_t now);
/** \brief Count a request from a client. */
void repeat_budget_earn(struct repeat_budget *budget, uint64_t now);
/** \return whether a repeat may be taken now */
bool repeat_budget_allows(struct repeat_budget *budget, uint64_t now, uint32_t gateways);
/** \brief Take one repeat. \param gateways that share the allowance \return false: do not repeat */
bool repeat_budget_spend(struct repeat_budget *budget, uint64_t now, uint32_t gateways);

#endif

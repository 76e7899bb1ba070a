/**
 * Retry budget: retries are a bounded share of requests, so that a failing fleet is not stormed.
 */
#ifndef SHUNTRUN_RETRY_BUDGET_H
#define SHUNTRUN_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_COST 100  /**< one retry in hundredths */
#define RETRY_BUDGET_MAX 10000 /**< retries saved up at most, in hundredths: 100 */

struct retry_budget {
    uint32_t percent; /**< retries for each hundred requests */
    uint32_t saved;   /**< hundredths of a retry */
};

static inline void retry_budget_init(struct retry_budget *budget, uint32_t percent)
{
    budget->percent = percent;
    budget->saved = percent ? RETRY_BUDGET_MAX / 10 : 0;
}

/** \brief Count one new request. */
static inline void retry_budget_earn(struct retry_budget *budget)
{
    budget->saved += budget->percent;
    if (budget->saved > RETRY_BUDGET_MAX)
        budget->saved = RETRY_BUDGET_MAX;
}

/** \return false when no retry may be made now */
static inline bool retry_budget_spend(struct retry_budget *budget)
{
    if (budget->saved < RETRY_BUDGET_COST)
        return false;
    budget->saved -= RETRY_BUDGET_COST;
    return true;
}

#endif

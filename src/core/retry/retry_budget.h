/**
 * Retry budget: bounds retries to a share of requests, to prevent retry storms on a failing fleet.
 */
#ifndef SHUNTRUN_RETRY_BUDGET_H
#define SHUNTRUN_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_COST 100  /**< hundredths that one retry costs */
#define RETRY_BUDGET_MAX 10000 /**< cap of the saved budget in hundredths: 100 retries */

struct retry_budget {
    uint32_t percent; /**< retries per hundred requests */
    uint32_t saved;   /**< saved budget, hundredths of a retry */
};

/** \brief Start with a tenth of the cap, or with nothing if retries are disabled (0 percent). */
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

/** \brief Spend one retry. \return false if the budget is exhausted: do not retry now */
static inline bool retry_budget_spend(struct retry_budget *budget)
{
    if (budget->saved < RETRY_BUDGET_COST)
        return false;
    budget->saved -= RETRY_BUDGET_COST;
    return true;
}

#endif

/**
 * A budget of repeats that all gateways share without coordination: in any sliding window, each
 * spends at most the credit that its own requests earn, and its part of a fixed allowance.
 *
 * The sum over all gateways then stays within the global bound, however often they start, and
 * whatever they know of each other:
 * - Each request earns credit for a fraction of a repeat, once, at the gateway that received it.
 * The credit lapses after a short time, so that what was earned before a window adds little to it,
 *   also when the requests move to other gateways.
 * - A process has its whole part of the allowance once it has lived for a window: the process
 * before it may have spent that part, and only one process of a gateway lives that long in any
 * window. Until then it has a small share of the part, in proportion to the time that it has lived:
 * for any number of starts in a window, these add up to that share at most.
 * - The allowance is divided by the highest number of gateways seen, and a gateway that does not
 *   know their number yet has no part of it. A gateway that has not seen all seeds may have started
 *   in a partition: the gateways that it sees share only what the seeds among them stand for.
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
/** Buckets for which credit can be spent, after the one in which it was earned. */
#define REPEAT_CREDIT_BUCKETS 4

struct repeat_budget_settings {
    double ratio;       /**< repeats per request in the window */
    uint32_t allowance; /**< additional repeats per window, of all gateways together */
    uint64_t window_us; /**< length of the sliding window */
};

/** What happened in one bucket. */
struct repeat_budget_bucket {
    double credit;    /**< earned in it and not spent, in repeats */
    double paid;      /**< spent in it of the credit of this and earlier buckets */
    uint32_t repeats; /**< spent in it */
};

struct repeat_budget {
    struct repeat_budget_settings settings;
    uint64_t bucket; /**< number of the current bucket */
    struct repeat_budget_bucket buckets[REPEAT_BUDGET_BUCKETS + 1]; /**< by number modulo size */
    uint64_t started; /**< time since which this process knows all repeats of its gateway, us */
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

/** What a gateway has learned of the fleet since its start. */
struct budget_fleet {
    uint32_t gateways;       /**< most that it knew, with itself */
    uint32_t least_gateways; /**< by the settings */
    uint32_t seeds;          /**< nodes by the settings through which all find each other */
    uint32_t known_seeds;    /**< most of these that it knew, with itself if it is one */
};

/** \return number of gateways to divide the allowance by; 0: not known */
uint32_t budget_fleet_gateways(const struct budget_fleet *fleet);

/** \param started start of this process, which has sent no repeat before `now` */
void repeat_budget_init(struct repeat_budget *budget, const struct repeat_budget_settings *settings,
                        uint64_t started);
/** \brief Count a client request, which earns credit. */
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

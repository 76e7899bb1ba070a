/**
 * Compares what the new clients of a service ask for with what its engines can run.
 *
 * Load patterns: after a loss of engines, retries of refused clients come on top of new clients,
 * and engines are full for some seconds although new clients alone need fewer; it passes by itself.
 * In an overload new clients alone need more than all slots, and it lasts as long as they do.
 * Refusals look the same in both; the ratio of demand to capacity tells them apart.
 *
 * A gateway knows the rate of its own new clients; others have about as many each. Capacity is the
 * rate at which slots become free: engines share their time among prompts and tokens, so the time
 * that a stream holds a slot is observed, not derived from lengths.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_LOAD_DEMAND_H
#define SHUNTRUN_LOAD_DEMAND_H

#include <stdint.h>

/** Window in which new clients are counted. */
#define DEMAND_WINDOW_US ((uint64_t)1000000)
/** Weight of one window in the moving average. */
#define DEMAND_WEIGHT 0.5
/** With fewer windows the rate is not known. */
#define DEMAND_MIN_WINDOWS 2

/** New clients of one service at this gateway. All 0 at first. */
struct demand {
    double rate;      /**< moving average, clients a second */
    uint32_t windows; /**< in the average, at most DEMAND_MIN_WINDOWS */
    uint32_t clients; /**< in the current window */
    uint64_t window_began;
};

/** What serves them. */
struct capacity {
    uint32_t slots;        /**< of all engines that may get requests */
    uint32_t gateways;     /**< that share them */
    uint64_t slot_time_us; /**< mean time for which a stream holds a slot; 0: not known */
};

/** \brief Record a new client. */
void demand_record(struct demand *demand, uint64_t now);
/** \return slots that new clients need, as a multiple of all slots; 0: not known */
double demand_ratio(const struct demand *demand, const struct capacity *capacity);

#endif

/**
 * Estimates the rate of this machine's link from transfers, and detects a link that is much slower
 * than its nominal rate.
 */
#ifndef SHUNTRUN_LINK_RATE_H
#define SHUNTRUN_LINK_RATE_H

#include <stdbool.h>
#include <stdint.h>

struct link_rate {
    double nominal;   /**< Mbit/s; 0: unknown */
    double estimated; /**< Mbit/s; 0 before the first transfer */
};

/** Weight of a new transfer in the exponentially weighted moving average. */
#define LINK_RATE_EWMA_WEIGHT 0.4
/** Share of the nominal rate below which a link counts as slow. */
#define LINK_RATE_SLOW_SHARE 0.35

/**
 * \brief Update the estimate with a transfer.
 * \param transfer_us time from its first to its last byte; 0: ignored
 * \param parallel number of transfers that shared the link, including this one
 */
static inline void link_rate_add(struct link_rate *rate, uint64_t bytes, uint64_t transfer_us,
                                 uint32_t parallel)
{
    if (!transfer_us)
        return;
    double measured = (double)bytes * 8 * (parallel ? parallel : 1) / (double)transfer_us;
    if (rate->estimated > 0)
        rate->estimated += LINK_RATE_EWMA_WEIGHT * (measured - rate->estimated);
    else
        rate->estimated = measured;
}

static inline bool link_rate_is_slow(const struct link_rate *rate)
{
    return rate->estimated > 0 && rate->estimated < LINK_RATE_SLOW_SHARE * rate->nominal;
}

#endif

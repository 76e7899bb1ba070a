/**
 * The rate of this machine's link, estimated from transfers, and whether it is much below what it
 * should be.
 */
#ifndef SHUNTRUN_LINK_RATE_H
#define SHUNTRUN_LINK_RATE_H

#include <stdbool.h>
#include <stdint.h>

struct link_rate {
    double nominal;   /**< bits a microsecond; 0: not known */
    double estimated; /**< bits a microsecond; 0 before the first transfer */
};

/** Weight of a new transfer in the estimate. */
#define LINK_RATE_EWMA_WEIGHT 0.4
/** Below this share of its nominal rate a link counts as slow. */
#define LINK_RATE_SLOW_SHARE 0.35

/**
 * \brief Take a transfer into account.
 * \param transfer_us from its first to its last byte
 * \param parallel transfers that shared the link, this one included
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

/**
 * Detects an overload that lasts: the backends of a service will still be full when a refused
 * client retries.
 *
 * Load pattern: new clients alone need more than the backends can run. A slot given to a retry is
 * then mostly too late for it, and is taken from a new client that could have been served in time:
 * two requests are late or refused instead of one. So retries get only the slots that new clients
 * leave, and leave a reserve of them. Only full backends count: after a power loss the backends are
 * absent at first, and retries find free slots.
 */
#ifndef SHUNTRUN_LOAD_OVERLOAD_H
#define SHUNTRUN_LOAD_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Weight of one new client in the moving average of refusals: about the last 50 clients count. */
#define OVERLOAD_WEIGHT 0.02
/** Share of new clients refused from which on the backends count as full. */
#define OVERLOAD_ENTER_SHARE 0.2
/** Share of new clients refused below which the backends no longer count as full. */
#define OVERLOAD_EXIT_SHARE 0.1
/** Part of an engine's slots, and of the prompt tokens that may be pending there, that retries
 * leave free for new clients while an overload lasts. */
#define OVERLOAD_RESERVED_SHARE 0.2
/** Time after which overload counts as sustained: longer than the retry delay of a refused client,
 *  which is 2.0 s at most (core/load/retry_after). */
#define OVERLOAD_SUSTAINED_US ((uint64_t)2500000)

struct overload {
    double refused_share; /**< moving average, 0 to 1, of new clients refused by full backends */
    uint64_t since;       /**< time since which backends are full, us; 0: they are not */
};

/** \brief Record that a new client got a slot, or was refused because all backends were full. */
static inline void overload_record(struct overload *overload, bool refused, uint64_t now)
{
    overload->refused_share += OVERLOAD_WEIGHT * ((refused ? 1.0 : 0.0) - overload->refused_share);
    if (overload->refused_share < OVERLOAD_EXIT_SHARE)
        overload->since = 0;
    else if (overload->refused_share >= OVERLOAD_ENTER_SHARE && !overload->since)
        overload->since = now;
}

/** \brief Reset the state when no backend is available at all, which is not overload. */
static inline void overload_reset(struct overload *overload)
{
    *overload = (struct overload){0};
}

/** \return whether the backends have been full for OVERLOAD_SUSTAINED_US */
static inline bool overload_is_sustained(const struct overload *overload, uint64_t now)
{
    return overload->since && now >= overload->since + OVERLOAD_SUSTAINED_US;
}

/**
 * \param demand_ratio see demand_ratio()
 * \return whether backends will still be full when a refused client retries: they have been full
 * for long, or are full and new clients alone need more slots than there are
 */
static inline bool overload_lasts(const struct overload *overload, double demand_ratio,
                                  uint64_t now)
{
    if (overload_is_sustained(overload, now))
        return true;
    return overload->refused_share >= OVERLOAD_EXIT_SHARE && demand_ratio >= 1;
}

#endif

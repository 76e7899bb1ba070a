/**
 * Whether a service's back ends have been full for so long that a caller who was refused, and comes
 * back, finds them full again.
 *
 * Then a place for one who came back is mostly late, and takes the place of a new caller who could
 * have been served in time: two are late or refused where one would be. So those who came back take
 * what new callers leave. Only fullness counts: after a loss of power back ends are absent first,
 * and those who come back find places.
 */
#ifndef SHUNTRUN_OVERLOAD_H
#define SHUNTRUN_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Weight of one new caller in the moving share of those refused: about the last fifty count. */
#define OVERLOAD_WEIGHT 0.02
/** From this share of new callers refused on, back ends count as full. */
#define OVERLOAD_ENTER_SHARE 0.2
/** Below this one they do no longer. */
#define OVERLOAD_EXIT_SHARE 0.1
/** Longer than a refused caller stays away, which is 2.0 s at most (core/come_back). */
#define OVERLOAD_SUSTAINED_US ((uint64_t)2500000)

struct overload {
    double refused_share; /**< moving share of new callers refused, as back ends were full */
    uint64_t since;       /**< back ends are full since then; 0: they are not */
};

/** \brief A new caller found a place, or was refused as all back ends were full. */
static inline void overload_record(struct overload *overload, bool refused, uint64_t now)
{
    overload->refused_share += OVERLOAD_WEIGHT * ((refused ? 1.0 : 0.0) - overload->refused_share);
    if (overload->refused_share < OVERLOAD_EXIT_SHARE)
        overload->since = 0;
    else if (overload->refused_share >= OVERLOAD_ENTER_SHARE && !overload->since)
        overload->since = now;
}

/** \brief No back end is there at all: what follows is no overload. */
static inline void overload_reset(struct overload *overload)
{
    *overload = (struct overload){0};
}

static inline bool overload_is_sustained(const struct overload *overload, uint64_t now)
{
    return overload->since && now >= overload->since + OVERLOAD_SUSTAINED_US;
}

#endif

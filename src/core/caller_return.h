/**
 * Tells callers who come back after a refusal from new ones: they have less of their time left.
 *
 * Callers of one route give themselves the same time, and say how much of it is left. The longest
 * time that was said lately is that of a new caller.
 */
#ifndef SHUNTRUN_CALLER_RETURN_H
#define SHUNTRUN_CALLER_RETURN_H

#include <stdbool.h>
#include <stdint.h>

/** A caller with a smaller part of the longest time left has come back. New callers differ by their
 *  way here alone, which is shorter than the shortest time to come back. */
#define CALLER_RETURN_SHARE 0.93
/** The longest time counts for one to two such spans, so that one odd caller is forgotten. */
#define CALLER_RETURN_WINDOW_US ((uint64_t)10000000)

struct caller_times {
    uint32_t longest_ms;          /**< said in this span */
    uint32_t previous_longest_ms; /**< said in the last one */
    uint64_t window_end;
};

/** \param left_ms time that the caller says to have left; 0: not said \return whether it came back
 */
static inline bool caller_is_returning(struct caller_times *times, uint32_t left_ms, uint64_t now)
{
    if (now >= times->window_end) {
        times->previous_longest_ms = times->longest_ms;
        times->longest_ms = 0;
        times->window_end = now + CALLER_RETURN_WINDOW_US;
    }
    if (left_ms > times->longest_ms)
        times->longest_ms = left_ms;
    uint32_t longest = times->longest_ms > times->previous_longest_ms ? times->longest_ms
                                                                      : times->previous_longest_ms;
    return left_ms && left_ms < CALLER_RETURN_SHARE * longest;
}

#endif

/**
 * Detects callers that retry after a refusal by their deadline: they have less time left than new
 * callers.
 *
 * Callers of one route use the same timeout and state how much of it is left. The longest time left
 * stated recently is that of a new caller.
 */
#ifndef SHUNTRUN_CLIENT_RETRY_H
#define SHUNTRUN_CLIENT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** A caller that has less than this share of the longest time left is a returning one. New callers
 *  differ only by their network latency, which is shorter than the shortest retry delay. */
#define CLIENT_RETRY_SHARE 0.93
/** The longest time counts for one to two windows, so that one caller with an unusually long
 * timeout does not distort the comparison for long. */
#define CLIENT_RETRY_WINDOW_US ((uint64_t)10000000)

/** The longest times left that callers of one route stated. */
struct client_retry_times {
    uint32_t longest_ms;          /**< in the current window */
    uint32_t previous_longest_ms; /**< in the previous window */
    uint64_t window_end;          /**< microseconds */
};

/**
 * \brief Record a caller and classify it.
 * \param left_ms time that the caller states to have left; 0: not stated
 * \return whether the caller retries after a refusal
 */
static inline bool client_retry_detect(struct client_retry_times *times, uint32_t left_ms,
                                       uint64_t now)
{
    if (now >= times->window_end) {
        times->previous_longest_ms = times->longest_ms;
        times->longest_ms = 0;
        times->window_end = now + CLIENT_RETRY_WINDOW_US;
    }
    if (left_ms > times->longest_ms)
        times->longest_ms = left_ms;
    uint32_t longest = times->longest_ms > times->previous_longest_ms ? times->longest_ms
                                                                      : times->previous_longest_ms;
    return left_ms && left_ms < CLIENT_RETRY_SHARE * longest;
}

#endif

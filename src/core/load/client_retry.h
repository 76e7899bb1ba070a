/**
 * Detects clients that retry after a refusal by their deadline: they have less time left than new
 * clients.
 *
 * Clients of one route use the same timeout and state how much of it is left. The longest time left
 * stated recently is that of a new client.
 */
#ifndef SHUNTRUN_LOAD_CLIENT_RETRY_H
#define SHUNTRUN_LOAD_CLIENT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** A client that has less than this share of the longest time left is a retrying one. New clients
 *  differ only by their network latency, which is shorter than the shortest retry delay. */
#define CLIENT_RETRY_SHARE 0.93
/** The longest time counts for one to two windows, so that one client with an unusually long
 * timeout does not distort the comparison for long. */
#define CLIENT_RETRY_WINDOW_US ((uint64_t)10000000)

/** The longest times left that clients of one route stated. */
struct client_retry_times {
    uint32_t longest_ms;          /**< in the current window */
    uint32_t previous_longest_ms; /**< in the previous window */
    uint64_t window_end;          /**< microseconds */
};

/**
 * \brief Record a client and classify it.
 * \param left_ms time that the client states to have left; 0: not stated
 * \return whether the client retries after a refusal
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

/**
 * Detects clients that retry after a refusal by their deadline: they have less time left than new
 * clients.
 *
 * Load pattern: an overload, in which a third of all arrivals are retries. Clients state how much
 * of their timeout is left. Timeouts of one route are about the same: equal on some deployments,
 * spread over a sixth of the longest on others. Retries have waited for a Retry-After delay, so
 * that few arrivals lie between the shortest timeout of a new client and the time left of a retry.
 * The detection finds this gap among the latest arrivals of the route.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock, unless a name says otherwise.
 */
#ifndef SHUNTRUN_LOAD_CLIENT_RETRY_H
#define SHUNTRUN_LOAD_CLIENT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** A client with less than this share of the longest time left is a retrying one, if timeouts are
 *  equal. New clients then differ only by their network latency. */
#define CLIENT_RETRY_SHARE 0.93
/** The longest time counts for one to two windows, so that one client with an unusually long
 * timeout does not distort the comparison for long. */
#define CLIENT_RETRY_WINDOW_US ((uint64_t)10000000)
/** Ranges of the histogram, which together cover shares of 0.5 to 1. Less is always a retry. */
#define CLIENT_RETRY_RANGES 16

/** The times left that clients of one route stated. */
struct client_retry_times {
    uint32_t longest_ms;          /**< in the current window */
    uint32_t previous_longest_ms; /**< in the previous window */
    uint64_t window_end;
    uint16_t shares[CLIENT_RETRY_RANGES]; /**< histogram of the share of the longest time, highest
                                               range first; older arrivals weigh less */
    uint16_t share_count;                 /**< sum of the histogram */
};

/**
 * \brief Record a client and classify it.
 * \param left_ms time that the client states to have left; 0: not stated
 * \return whether the client retries after a refusal
 */
bool client_retry_detect(struct client_retry_times *times, uint32_t left_ms, uint64_t now);
/** \return share of the longest time below which a client is a retrying one */
double client_retry_share(const struct client_retry_times *times);

#endif

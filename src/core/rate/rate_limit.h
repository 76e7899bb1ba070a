/**
 * The rate of requests that a backend gets when it accepts fewer than its slots would run: it is
 * cold, as it started a short time ago or states so, or it states a limit in its answers. Where
 * both hold, the stricter one is in force (backend_eligibility.c).
 *
 * All gateways together keep a bound on the requests in any window without talking to each other:
 * each gets a quota from its rank among the gateways that send to the backend. The quotas of one
 * ranking add up to half of the bound, so the bound holds while two rankings are in use, as when
 * gateways join or end. Engines are ranked for by their loaders (core/rate/rate_ranking), which
 * tell each gateway its rank with the load report: no two gateways then have the same rank,
 * whatever they know of each other.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_RATE_LIMIT_H
#define SHUNTRUN_RATE_LIMIT_H

#include <stdint.h>

/** Rankings that may be in use at the same time. */
#define RATE_RANKINGS 2
/** Sends are counted by parts of this length. */
#define SEND_PART_US ((uint64_t)100000)
/** Longest window of a limit. */
#define SEND_WINDOW_MAX_US ((uint64_t)4000000)
/** Parts that are kept: one more than the longest window has, so that no window is cut short. */
#define SEND_PARTS (SEND_WINDOW_MAX_US / SEND_PART_US + 1)

/** Window of the bound on cold backends. */
#define COLD_WINDOW_US ((uint64_t)1000000)
/** Window of the bound on backends that state a limit, the multiple of the limit that it allows,
 * and the requests that it allows in addition; all from the platform's rules. */
#define STATED_WINDOW_US ((uint64_t)4000000)
#define STATED_OVER 1.5
#define STATED_SLACK 5.0
/** Requests of that bound that are not in the quotas: probes (core/rate/rate_probe). */
#define RATE_PROBES_PER_WINDOW 3

/** Bound on the requests that all gateways together send to one backend in any window. */
struct rate_limit {
    double per_s;       /**< requests a second that the backend accepts; see rate_limit_stated() */
    double over;        /**< multiple of it that the bound allows */
    double slack;       /**< requests that the bound allows in addition in a window */
    uint64_t window_us; /**< a multiple of SEND_PART_US, SEND_WINDOW_MAX_US at most */
    uint32_t most;      /**< the quotas of a ranking add up to no more; 0: to half of the bound */
};

/** Place of one gateway among those that send to a backend. All 0: none. */
struct rate_rank {
    uint32_t rank;     /**< counted from 1; 0: this gateway may not send */
    uint32_t gateways; /**< number of gateways ranked */
};

/** Requests that one gateway sent to one backend lately. All 0 at first. */
struct send_window {
    uint64_t part;              /**< number of the last part with a request */
    uint16_t sends[SEND_PARTS]; /**< by part modulo the array size */
};

/**
 * \brief The limit that a backend states, without the part of the bound that is for probes. Its
 * quotas do not use the bound where the backend accepts less, but for one request in a window.
 */
struct rate_limit rate_limit_stated(double per_s);
/** \return requests that a gateway may send to the backend in any window */
uint32_t rate_quota(const struct rate_limit *limit, const struct rate_rank *rank);
/** \brief Record a request that was sent to the backend, limited or not. */
void send_window_record(struct send_window *window, uint64_t now);
/** \return requests sent in the last `window_us`, and in the rest of the part in which it began */
uint32_t send_window_count(const struct send_window *window, uint64_t window_us, uint64_t now);
/** \return time from which the oldest request of the last `window_us` counts no longer; `now` if
 * there is none */
uint64_t send_window_next_at(const struct send_window *window, uint64_t window_us, uint64_t now);

#endif

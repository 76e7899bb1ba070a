/**
 * The rate of requests that a cold backend gets: one that started a short time ago, or states that
 * it is cold for another reason, and fails under the load of a warm one.
 *
 * All gateways together keep a bound on the requests in any second without talking to each other:
 * each gets a quota from its rank among the gateways that send to the backend. The quotas of one
 * ranking add up to half of the bound, so the bound holds while two rankings are in use, as when
 * gateways join or end. Engines are ranked for by their loaders (core/rate_ranking), which tell
 * each gateway its rank with the load report: no two gateways then have the same rank, whatever
 * they know of each other.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_RATE_LIMIT_H
#define SHUNTRUN_RATE_LIMIT_H

#include <stdint.h>

/** Rankings that may be in use at the same time. */
#define RATE_RANKINGS 2
/** Window of the bound. */
#define SEND_WINDOW_US ((uint64_t)1000000)
/** Parts into which the window is divided; one more is counted, so that no window is cut short. */
#define SEND_WINDOW_PARTS 10

/** What backends of one service bear while they are cold. All 0: no limit. */
struct rate_limit {
    double per_s;      /**< requests a second, according to the service; 0: no limit */
    double over;       /**< multiple of it that the bound allows */
    double slack;      /**< requests a second that the bound allows in addition */
    uint64_t start_us; /**< time for which a backend is cold after its start */
};

/** Place of one gateway among those that send to a backend. All 0: none. */
struct rate_rank {
    uint32_t rank;     /**< counted from 1; 0: this gateway may not send */
    uint32_t gateways; /**< number of gateways ranked */
};

/** Requests that one gateway sent to one backend lately. All 0 at first. */
struct send_window {
    uint64_t part;                         /**< number of the last part with a request */
    uint16_t sends[SEND_WINDOW_PARTS + 1]; /**< by part modulo the array size */
};

/** \return requests that a gateway may send to a cold backend in any second */
uint32_t rate_quota(const struct rate_limit *limit, const struct rate_rank *rank);
/** \brief Record a request that was sent to the backend, cold or not. */
void send_window_record(struct send_window *window, uint64_t now);
/** \return requests sent in the last second, and in the rest of the part in which it began */
uint32_t send_window_count(const struct send_window *window, uint64_t now);

#endif

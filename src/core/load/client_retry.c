#include "core/load/client_retry.h"

/** Width of a range of the histogram, as a share of the longest time. */
#define RANGE_WIDTH (0.5 / CLIENT_RETRY_RANGES)
/** With fewer arrivals in the histogram, timeouts are taken for equal. */
#define MIN_ARRIVALS 16
/** At this sum all ranges are halved, so that about the last 100 arrivals count. */
#define MAX_ARRIVALS 128
/** A range with less than this part of the mean of all higher ranges is the gap. */
#define GAP_PART 0.25

static void record_share(struct client_retry_times *times, double share)
{
    if (share <= 0.5)
        return;
    uint32_t range = (uint32_t)((1 - share) / RANGE_WIDTH);
    times->shares[range < CLIENT_RETRY_RANGES ? range : CLIENT_RETRY_RANGES - 1]++;
    if (++times->share_count < MAX_ARRIVALS)
        return;
    times->share_count = 0;
    for (uint32_t i = 0; i < CLIENT_RETRY_RANGES; i++) {
        times->shares[i] /= 2;
        times->share_count = (uint16_t)(times->share_count + times->shares[i]);
    }
}

double client_retry_share(const struct client_retry_times *times)
{
    uint32_t above = times->shares[0];
    if (times->share_count < MIN_ARRIVALS)
        return CLIENT_RETRY_SHARE;
    for (uint32_t i = 1; i < CLIENT_RETRY_RANGES; i++) {
        double share = 1 - i * RANGE_WIDTH;
        if (times->shares[i] < GAP_PART * above / i)
            return share < CLIENT_RETRY_SHARE ? share : CLIENT_RETRY_SHARE;
        above += times->shares[i];
    }
    return CLIENT_RETRY_SHARE; /* no gap: retries cannot be told from new clients */
}

bool client_retry_detect(struct client_retry_times *times, uint32_t left_ms, uint64_t now)
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
    if (!left_ms)
        return false;
    double share = (double)left_ms / longest;
    record_share(times, share);
    return share < client_retry_share(times);
}

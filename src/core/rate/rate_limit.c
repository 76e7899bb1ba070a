#include "core/rate/rate_limit.h"

#include <math.h>

struct rate_limit rate_limit_stated(double per_s)
{
    double accepted = ceil(per_s * STATED_WINDOW_US / 1e6);
    return (struct rate_limit){
        .per_s = per_s,
        .over = STATED_OVER,
        .slack = STATED_SLACK - RATE_PROBES_PER_WINDOW,
        .window_us = STATED_WINDOW_US,
        .most = accepted < 1            ? 1
                : accepted < UINT32_MAX ? (uint32_t)accepted
                                        : UINT32_MAX,
    };
}

/* Requests of all gateways of one ranking in a window. */
static uint32_t shared_quota(const struct rate_limit *limit)
{
    double accepted = limit->per_s * (double)limit->window_us / 1e6;
    double half_bound = (accepted * limit->over + limit->slack) / RATE_RANKINGS;
    uint32_t shared = half_bound < UINT32_MAX ? (uint32_t)half_bound : UINT32_MAX;
    return limit->most && limit->most < shared ? limit->most : shared;
}

uint32_t rate_quota(const struct rate_limit *limit, const struct rate_rank *rank)
{
    uint32_t shared = shared_quota(limit);
    if (!rank->rank || rank->rank > rank->gateways)
        return 0;
    return shared / rank->gateways + (rank->rank <= shared % rank->gateways);
}

void send_window_record(struct send_window *window, uint64_t now)
{
    uint64_t part = now / SEND_PART_US;
    uint64_t passed = part > window->part ? part - window->part : 0;
    for (uint64_t i = 0; i < passed && i < SEND_PARTS; i++)
        window->sends[(part - i) % SEND_PARTS] = 0;
    if (passed)
        window->part = part;
    uint16_t *sends = &window->sends[window->part % SEND_PARTS];
    *sends += *sends < UINT16_MAX;
}

/* Number of the oldest part that a window reaches into. */
static uint64_t first_part(uint64_t window_us, uint64_t now)
{
    return now > window_us ? (now - window_us) / SEND_PART_US : 0;
}

/* Requests sent in a part that is kept. */
static uint32_t sends_in(const struct send_window *window, uint64_t part)
{
    return window->sends[part % SEND_PARTS];
}

uint32_t send_window_count(const struct send_window *window, uint64_t window_us, uint64_t now)
{
    uint32_t count = 0;
    for (uint64_t part = first_part(window_us, now); part <= window->part; part++)
        if (part + SEND_PARTS > window->part)
            count += sends_in(window, part);
    return count;
}

uint64_t send_window_next_at(const struct send_window *window, uint64_t window_us, uint64_t now)
{
    for (uint64_t part = first_part(window_us, now); part <= window->part; part++)
        if (part + SEND_PARTS > window->part && sends_in(window, part))
            return (part + 1) * SEND_PART_US + window_us;
    return now;
}

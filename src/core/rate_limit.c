#include "core/rate_limit.h"

#define PART_US (SEND_WINDOW_US / SEND_WINDOW_PARTS)
#define KEPT_PARTS (SEND_WINDOW_PARTS + 1)

uint32_t rate_quota(const struct rate_limit *limit, const struct rate_rank *rank)
{
    uint32_t shared = (uint32_t)((limit->per_s * limit->over + limit->slack) / RATE_RANKINGS);
    if (!rank->rank || rank->rank > rank->gateways)
        return 0;
    return shared / rank->gateways + (rank->rank <= shared % rank->gateways);
}

void send_window_record(struct send_window *window, uint64_t now)
{
    uint64_t part = now / PART_US;
    uint64_t passed = part > window->part ? part - window->part : 0;
    for (uint64_t i = 0; i < passed && i < KEPT_PARTS; i++)
        window->sends[(part - i) % KEPT_PARTS] = 0;
    if (passed)
        window->part = part;
    uint16_t *sends = &window->sends[window->part % KEPT_PARTS];
    *sends += *sends < UINT16_MAX;
}

uint32_t send_window_count(const struct send_window *window, uint64_t now)
{
    uint64_t part = now / PART_US;
    uint32_t count = 0;
    for (uint64_t i = 0; i < KEPT_PARTS && i <= window->part; i++)
        if (window->part - i + KEPT_PARTS > part)
            count += window->sends[(window->part - i) % KEPT_PARTS];
    return count;
}

#include "core/cold_limit.h"

#define PART_US (COLD_WINDOW_US / COLD_WINDOW_PARTS)
#define KEPT_PARTS (COLD_WINDOW_PARTS + 1)

uint32_t cold_quota(const struct cold_limit *limit, const struct cold_rank *rank)
{
    uint32_t shared = (uint32_t)((limit->per_s * limit->over + limit->slack) / COLD_RANKINGS);
    if (!rank->rank || rank->rank > rank->gateways)
        return 0;
    return shared / rank->gateways + (rank->rank <= shared % rank->gateways);
}

void cold_window_record(struct cold_window *window, uint64_t now)
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

uint32_t cold_window_count(const struct cold_window *window, uint64_t now)
{
    uint64_t part = now / PART_US;
    uint32_t count = 0;
    for (uint64_t i = 0; i < KEPT_PARTS && i <= window->part; i++)
        if (window->part - i + KEPT_PARTS > part)
            count += window->sends[(window->part - i) % KEPT_PARTS];
    return count;
}

#include "core/rate/rate_ranking.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

/* Insertion sort by hash, the greatest first: the number of targets is bounded. */
static void sort_by_hash(uint32_t *addresses, uint32_t count, uint32_t loader)
{
    for (uint32_t i = 1; i < count; i++) {
        uint32_t address = addresses[i];
        uint64_t weight = hash_pair(loader, address);
        uint32_t place = i;
        for (; place > 0 && hash_pair(loader, addresses[place - 1]) < weight; place--)
            addresses[place] = addresses[place - 1];
        addresses[place] = address;
    }
}

void rate_ranking_refresh(struct rate_ranking *ranking, const struct load_targets *targets,
                          uint32_t loader, uint64_t window_us, uint64_t now)
{
    uint32_t count = targets->near_count + targets->far_count;
    bool is_recent =
        ranking->ranked_at && now < ranking->ranked_at + window_us + RATE_REPORT_USE_US;
    if (is_recent || ranking->generation == targets->generation || !count)
        return;
    ranking->addresses = memory_realloc(ranking->addresses, count * sizeof *ranking->addresses);
    memcpy(ranking->addresses, targets->addresses, count * sizeof *ranking->addresses);
    sort_by_hash(ranking->addresses, targets->near_count, loader);
    sort_by_hash(ranking->addresses + targets->near_count, targets->far_count, loader);
    ranking->count = count;
    ranking->ranked_at = now;
    ranking->generation = targets->generation;
}

struct rate_rank rate_ranking_find(const struct rate_ranking *ranking, uint32_t address)
{
    for (uint32_t i = 0; i < ranking->count; i++)
        if (ranking->addresses[i] == address)
            return (struct rate_rank){i + 1, ranking->count};
    return (struct rate_rank){0};
}

void rate_ranking_clear(struct rate_ranking *ranking)
{
    free(ranking->addresses);
    *ranking = (struct rate_ranking){0};
}

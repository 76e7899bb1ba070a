#include "core/overlay.h"

#include "core/hash.h"

#include <stddef.h>

#define SAME_REGION_BIT (1ULL << 63)

static uint64_t symmetric_weight(uint64_t left, uint64_t right)
{
    return left < right ? hash_pair(left, right) : hash_pair(right, left);
}

uint64_t overlay_select_neighbour(const struct overlay_query *query)
{
    uint64_t best = 0;
    uint64_t best_weight = 0;
    for (uint32_t i = 0; i < query->member_count; i++) {
        const struct member *member = &query->members[i];
        uint64_t weight = symmetric_weight(query->self, member->id) & ~SAME_REGION_BIT;
        if (query->prefer_same_region && member->region == query->region)
            weight |= SAME_REGION_BIT;
        if (member->id == query->self || weight < best_weight)
            continue;
        if (query->excluded(query->context, member->id))
            continue;
        best = member->id;
        best_weight = weight;
    }
    return best;
}

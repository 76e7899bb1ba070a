#include "core/swarm/swarm_plan.h"

#include "base/memory.h"
#include "core/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Keeps the `size` members with the highest weights, in descending order. */
static void insert_rank(uint32_t *ranks, uint64_t *weights, uint32_t size, uint32_t member,
                        uint64_t weight)
{
    if (ranks[size - 1] != SWARM_NO_MEMBER && weight <= weights[size - 1])
        return;
    uint32_t at = size - 1;
    while (at > 0 && (ranks[at - 1] == SWARM_NO_MEMBER || weights[at - 1] < weight)) {
        ranks[at] = ranks[at - 1];
        weights[at] = weights[at - 1];
        at--;
    }
    ranks[at] = member;
    weights[at] = weight;
}

static void rank_chunk(struct swarm_plan *plan, uint32_t chunk)
{
    uint64_t global_weights[SWARM_GLOBAL_RANKS] = {0};
    uint64_t region_weights[SWARM_MAX_REGIONS][SWARM_REGION_RANKS] = {{0}};
    uint32_t *global_ranks = &plan->global_ranks[(size_t)chunk * SWARM_GLOBAL_RANKS];
    uint32_t *region_ranks =
        &plan->region_ranks[(size_t)chunk * plan->region_count * SWARM_REGION_RANKS];
    uint64_t key = hash_pair(plan->rollout, chunk);
    for (uint32_t i = 0; i < plan->member_count; i++) {
        const struct member *member = &plan->members[i];
        uint64_t weight = hash_pair(key, member->id);
        insert_rank(global_ranks, global_weights, SWARM_GLOBAL_RANKS, i, weight);
        insert_rank(&region_ranks[member->region * SWARM_REGION_RANKS],
                    region_weights[member->region], SWARM_REGION_RANKS, i, weight);
    }
}

struct swarm_plan *swarm_plan_create(uint64_t rollout, uint32_t chunk_count,
                                     const struct member *members, uint32_t member_count)
{
    struct swarm_plan *plan = memory_calloc(1, sizeof *plan);
    plan->rollout = rollout;
    plan->chunk_count = chunk_count;
    plan->member_count = member_count;
    plan->references = 1;
    plan->members = memory_duplicate(members, member_count * sizeof *members);
    for (uint32_t i = 0; i < member_count; i++) {
        assert(i == 0 || members[i - 1].id < members[i].id);
        assert(members[i].region < SWARM_MAX_REGIONS);
        if (members[i].region >= plan->region_count)
            plan->region_count = members[i].region + 1U;
    }
    size_t global_size = (size_t)chunk_count * SWARM_GLOBAL_RANKS;
    size_t region_size = (size_t)chunk_count * plan->region_count * SWARM_REGION_RANKS;
    plan->global_ranks = memory_calloc(global_size, sizeof(uint32_t));
    plan->region_ranks = memory_calloc(region_size, sizeof(uint32_t));
    memset(plan->global_ranks, 0xff, global_size * sizeof(uint32_t));
    memset(plan->region_ranks, 0xff, region_size * sizeof(uint32_t));
    for (uint32_t chunk = 0; chunk < chunk_count; chunk++)
        rank_chunk(plan, chunk);
    return plan;
}

struct swarm_plan *swarm_plan_retain(struct swarm_plan *plan)
{
    plan->references++;
    return plan;
}

void swarm_plan_release(struct swarm_plan *plan)
{
    if (!plan || --plan->references)
        return;
    free(plan->members);
    free(plan->global_ranks);
    free(plan->region_ranks);
    free(plan);
}

uint32_t swarm_plan_find(const struct swarm_plan *plan, uint64_t id)
{
    uint32_t low = 0;
    uint32_t high = plan->member_count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (plan->members[middle].id < id)
            low = middle + 1;
        else
            high = middle;
    }
    bool found = low < plan->member_count && plan->members[low].id == id;
    return found ? low : SWARM_NO_MEMBER;
}

static uint32_t append_unlisted(uint32_t *preferences, uint32_t count, const uint32_t *ranks,
                                uint32_t size)
{
    for (uint32_t i = 0; i < size && ranks[i] != SWARM_NO_MEMBER; i++) {
        bool repeated = false;
        for (uint32_t j = 0; j < count; j++)
            repeated = repeated || preferences[j] == ranks[i];
        if (!repeated)
            preferences[count++] = ranks[i];
    }
    return count;
}

uint32_t swarm_plan_preference_list(const struct swarm_plan *plan, uint32_t chunk, uint16_t region,
                                    uint32_t preferences[SWARM_PREFERENCE_LIST_SIZE])
{
    uint32_t count =
        append_unlisted(preferences, 0, &plan->global_ranks[(size_t)chunk * SWARM_GLOBAL_RANKS],
                        SWARM_GLOBAL_RANKS);
    size_t row = ((size_t)chunk * plan->region_count + region) * SWARM_REGION_RANKS;
    return append_unlisted(preferences, count, &plan->region_ranks[row], SWARM_REGION_RANKS);
}

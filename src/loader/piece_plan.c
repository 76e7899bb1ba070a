#include "loader/piece_plan.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>

#define REGIONS_MOST 16

/* Numbers for zones and regions, in order of their first mention. */
struct names {
    uint64_t hashes[REGIONS_MOST];
    uint16_t count;
};

static int by_id(const void *left, const void *right)
{
    const struct member *a = left;
    const struct member *b = right;
    return a->id < b->id ? -1 : a->id > b->id;
}

static uint16_t number_of(struct names *names, const char *name)
{
    uint64_t hash = hash_name(name);
    for (uint16_t i = 0; i < names->count; i++)
        if (names->hashes[i] == hash)
            return i;
    if (names->count == REGIONS_MOST)
        return 0;
    names->hashes[names->count] = hash;
    return names->count++;
}

static void add_member(struct member *list, uint32_t *count, struct names *names,
                       const struct member_state *state)
{
    list[(*count)++] = (struct member){state->address, number_of(names, state->zone),
                                       number_of(names, state->region)};
}

static uint32_t collect(const struct cluster *cluster, struct member *list)
{
    const struct membership *members = cluster->membership;
    struct names names = {.count = 0};
    uint32_t count = 0;
    add_member(list, &count, &names, membership_self(cluster->membership));
    for (uint32_t i = 0; i < membership_count(members) && count < PIECE_PLAN_MEMBERS; i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role == MEMBER_LOADER && member_is_alive(member))
            add_member(list, &count, &names, member);
    }
    qsort(list, count, sizeof *list, by_id);
    return count;
}

struct swarm_plan *piece_plan_refresh(const struct cluster *cluster, uint64_t rollout,
                                      uint32_t pieces, uint64_t *members_hash)
{
    struct swarm_plan *plan = NULL;
    struct member *list = memory_zero(PIECE_PLAN_MEMBERS, sizeof *list);
    uint32_t count = collect(cluster, list);
    uint64_t hash = count;
    for (uint32_t i = 0; i < count; i++)
        hash = hash_pair(hash_pair(hash, list[i].id), list[i].region);
    if (hash != *members_hash)
        plan = swarm_plan_create(rollout, pieces, list, count, PIECE_PLAN_READERS);
    *members_hash = hash;
    free(list);
    return plan;
}

/* The same weights as in the plan, which needs the number of pieces. */
static bool is_reader(const struct cluster *cluster, uint64_t rollout, uint32_t address)
{
    const struct membership *members = cluster->membership;
    uint64_t own = hash_pair(rollout, address);
    uint32_t before = membership_self(cluster->membership)->address != address &&
                      hash_pair(rollout, membership_self(cluster->membership)->address) > own;
    for (uint32_t i = 0; i < membership_count(members) && before < PIECE_PLAN_READERS; i++) {
        const struct member_state *member = membership_at(members, i);
        before += member->role == MEMBER_LOADER && member_is_alive(member) &&
                  hash_pair(rollout, member->address) > own;
    }
    return before < PIECE_PLAN_READERS;
}

bool piece_plan_reads_origin(const struct cluster *cluster, uint64_t rollout)
{
    return is_reader(cluster, rollout, membership_self(cluster->membership)->address);
}

uint32_t piece_plan_random_loader(struct cluster *cluster, uint64_t rollout, bool reader)
{
    const struct membership *members = cluster->membership;
    uint32_t chosen = 0, seen = 0;
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role != MEMBER_LOADER || !member_is_trusted(member) ||
            (reader && !is_reader(cluster, rollout, member->address)))
            continue;
        if (random_below(&cluster->random, ++seen) == 0)
            chosen = member->address;
    }
    return chosen;
}

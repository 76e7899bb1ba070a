#include "core/weights/relay_plan.h"

#include "core/hash.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/** Minimum number of relays in a region that has as many gateways: one may fail. */
#define MIN_RELAYS_PER_REGION 2
/** Combined link rate of a region's relays, in percent of the combined link rate of its loaders.
 * The surplus carries client requests. More relays are slower: each fetches a whole copy from the
 * others, and relays with slow links delayed a region of 41 loaders by 1.5 s. */
#define RELAY_CAPACITY_PERCENT 150
/** Hash key of the manifest, in place of a piece number. */
#define MANIFEST_KEY UINT64_MAX

/* A gateway that is eligible as a relay. */
struct candidate {
    uint32_t address;
    uint32_t link_mbit;
    uint64_t weight;
};

struct candidate_list {
    struct candidate items[RELAY_MAX_PER_REGION];
    uint32_t count;
};

static bool ranks_before(const struct candidate *left, const struct candidate *right)
{
    if (left->link_mbit != right->link_mbit)
        return left->link_mbit > right->link_mbit;
    return left->weight > right->weight;
}

static void insert_candidate(struct candidate_list *list, const struct candidate *candidate)
{
    uint32_t position = list->count;
    while (position > 0 && ranks_before(candidate, &list->items[position - 1]))
        position--;
    if (position == RELAY_MAX_PER_REGION)
        return;
    uint32_t new_count =
        list->count < RELAY_MAX_PER_REGION ? list->count : RELAY_MAX_PER_REGION - 1;
    memmove(&list->items[position + 1], &list->items[position],
            (new_count - position) * sizeof *candidate);
    list->items[position] = *candidate;
    list->count = new_count + 1;
}

static bool is_relay_candidate(const struct member_state *member, const char *region)
{
    return member->role == MEMBER_GATEWAY && member_is_healthy(member) && !member->draining &&
           strcmp(member->region, region) == 0;
}

static void add_candidate(struct candidate_list *list, const struct member_state *member,
                          const char *region, uint64_t rollout)
{
    if (!is_relay_candidate(member, region))
        return;
    struct candidate candidate = {member->address, member->link_mbit,
                                  hash_pair(rollout, member->address)};
    insert_candidate(list, &candidate);
}

static uint64_t loader_demand(const struct member_state *member, const char *region)
{
    bool is_loader = member->role == MEMBER_LOADER && member_is_alive(member) &&
                     strcmp(member->region, region) == 0;
    return is_loader ? member->link_mbit : 0;
}

/* Combined link rate of the loaders of a region, in Mbit/s. */
static uint64_t region_demand(struct membership *membership, const char *region)
{
    uint64_t demand = loader_demand(membership_self(membership), region);
    for (uint32_t i = 0; i < membership_count(membership); i++)
        demand += loader_demand(membership_at(membership, i), region);
    return demand;
}

static void add_region(struct relay_plan *plan, struct membership *membership, const char *region)
{
    struct candidate_list list = {.count = 0};
    add_candidate(&list, membership_self(membership), region, plan->rollout);
    for (uint32_t i = 0; i < membership_count(membership); i++)
        add_candidate(&list, membership_at(membership, i), region, plan->rollout);
    uint64_t demand = RELAY_CAPACITY_PERCENT * region_demand(membership, region) / 100;
    uint64_t supply = 0;
    for (uint32_t i = 0; i < list.count && plan->count < RELAY_PLAN_MAX_RELAYS; i++) {
        if (i >= MIN_RELAYS_PER_REGION && supply >= demand)
            return;
        struct relay *relay = &plan->relays[plan->count++];
        relay->address = list.items[i].address;
        relay->link_mbit = list.items[i].link_mbit ? list.items[i].link_mbit : 1;
        snprintf(relay->region, sizeof relay->region, "%s", region);
        relay->reads_origin = i == 0;
        supply += list.items[i].link_mbit;
    }
}

static bool has_region(const struct relay_plan *plan, const char *region)
{
    for (uint32_t i = 0; i < plan->count; i++)
        if (strcmp(plan->relays[i].region, region) == 0)
            return true;
    return false;
}

static void choose_fallback_loaders(struct relay_plan *plan, struct membership *membership)
{
    uint64_t best[2] = {0, 0};
    plan->loaders[0] = plan->loaders[1] = 0;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        uint64_t weight = hash_pair(plan->rollout ^ plan->self, member->address);
        if (member->role != MEMBER_LOADER || !member_is_healthy(member) ||
            strcmp(member->region, plan->region) != 0)
            continue;
        uint32_t worse = best[0] < best[1] ? 0 : 1;
        if (weight > best[worse]) {
            best[worse] = weight;
            plan->loaders[worse] = member->address;
        }
    }
}

void relay_plan_refresh(struct relay_plan *plan, struct membership *membership, uint64_t rollout)
{
    const struct member_state *self = membership_self(membership);
    plan->rollout = rollout;
    plan->self = self->address;
    plan->count = 0;
    snprintf(plan->region, sizeof plan->region, "%s", self->region);
    add_region(plan, membership, plan->region);
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const char *region = membership_at(membership, i)->region;
        if (strcmp(region, plan->region) != 0 && !has_region(plan, region))
            add_region(plan, membership, region);
    }
    choose_fallback_loaders(plan, membership);
}

uint64_t relay_plan_piece_priority(const struct relay_plan *plan, uint32_t piece)
{
    return hash_pair(hash_pair(plan->rollout, piece), plan->self);
}

bool relay_plan_includes_self(const struct relay_plan *plan)
{
    for (uint32_t i = 0; i < plan->count; i++)
        if (plan->relays[i].address == plan->self)
            return true;
    return false;
}

static void add_source(struct relay_sources *sources, uint32_t address)
{
    for (uint32_t i = 0; i < sources->count; i++)
        if (sources->addresses[i] == address)
            return;
    if (sources->count < RELAY_MAX_SOURCES)
        sources->addresses[sources->count++] = address;
}

/* Weighted rendezvous hashing: a relay has the highest weight for a share of the keys that equals
 * its share of the combined link rate. */
static double relay_rendezvous_weight(const struct relay *relay, uint64_t key)
{
    /* In the open interval (0, 1), so that the logarithm is finite and not zero. */
    double uniform = ((double)(hash_pair(key, relay->address) >> 12) + 0.5) / (double)(1ULL << 52);
    return relay->link_mbit / -log(uniform);
}

/* Adds the relays of one region, or of all other regions, by descending weight for a key. */
static void add_by_rendezvous_weight(const struct relay_plan *plan, uint64_t key,
                                     const char *region, bool others, struct relay_sources *sources)
{
    double before = INFINITY;
    for (;;) {
        const struct relay *best = NULL;
        double best_weight = 0;
        for (uint32_t i = 0; i < plan->count; i++) {
            const struct relay *relay = &plan->relays[i];
            double weight = relay_rendezvous_weight(relay, key);
            bool fits = (strcmp(relay->region, region) == 0) != others;
            if (fits && weight < before && (!best || weight > best_weight)) {
                best = relay;
                best_weight = weight;
            }
        }
        if (!best || sources->count == RELAY_MAX_SOURCES)
            return;
        if (best->address != plan->self)
            add_source(sources, best->address);
        before = best_weight;
    }
}

void relay_plan_loader_sources(const struct relay_plan *plan, bool origin,
                               struct relay_sources *sources)
{
    sources->count = 0;
    uint64_t key = hash_pair(plan->rollout, plan->self);
    add_by_rendezvous_weight(plan, key, plan->region, false, sources);
    sources->same_region_count = sources->count;
    add_by_rendezvous_weight(plan, key, plan->region, true, sources);
    if (!origin)
        return;
    if (sources->count == RELAY_MAX_SOURCES)
        sources->count--;
    add_source(sources, RELAY_ORIGIN);
}

/* \return the relay with the highest weight for a key, in one region or in all of them (NULL) */
static const struct relay *top_ranked_relay(const struct relay_plan *plan, uint64_t key,
                                            const char *region, bool reads_origin)
{
    const struct relay *best = NULL;
    for (uint32_t i = 0; i < plan->count; i++) {
        const struct relay *relay = &plan->relays[i];
        if ((region && strcmp(relay->region, region) != 0) ||
            (reads_origin && !relay->reads_origin))
            continue;
        if (!best || relay_rendezvous_weight(relay, key) > relay_rendezvous_weight(best, key))
            best = relay;
    }
    return best;
}

/* Leaves space for the origin and two loaders. */
static void reserve_fallback_sources(struct relay_sources *sources)
{
    if (sources->count > RELAY_MAX_SOURCES - 3)
        sources->count = RELAY_MAX_SOURCES - 3;
}

void relay_plan_relay_sources(const struct relay_plan *plan, uint32_t piece,
                              struct relay_sources *sources)
{
    uint64_t key = hash_pair(plan->rollout, piece);
    const struct relay *reader = top_ranked_relay(plan, key, NULL, true);
    const struct relay *region_relay = top_ranked_relay(plan, key, plan->region, false);
    sources->count = sources->same_region_count = 0;
    if (!reader || reader->address == plan->self) {
        add_source(sources, RELAY_ORIGIN);
    } else {
        bool is_region_relay = !region_relay || region_relay->address == plan->self;
        bool same_region = strcmp(reader->region, plan->region) == 0;
        add_source(sources,
                   is_region_relay || same_region ? reader->address : region_relay->address);
    }
    add_by_rendezvous_weight(plan, key, plan->region, false, sources);
    reserve_fallback_sources(sources);
    add_source(sources, RELAY_ORIGIN);
    for (uint32_t i = 0; i < 2; i++)
        if (plan->loaders[i])
            add_source(sources, plan->loaders[i]);
}

static void add_origin_readers_of_other_regions(const struct relay_plan *plan,
                                                struct relay_sources *sources)
{
    for (uint32_t i = 0; i < plan->count; i++)
        if (plan->relays[i].reads_origin && strcmp(plan->relays[i].region, plan->region) != 0)
            add_source(sources, plan->relays[i].address);
}

/*
 * Only the relays that read pieces from the origin request the manifest from it. The origin's link
 * is slow, and a response queues behind all pieces: 0.8 s when 27 relays read from the origin. So a
 * reader also asks those of other regions, one of which may have it already.
 */
void relay_plan_manifest_sources(const struct relay_plan *plan, struct relay_sources *sources)
{
    uint64_t key = hash_pair(plan->rollout, MANIFEST_KEY);
    const struct relay *manifest_reader = top_ranked_relay(plan, key, plan->region, true);
    sources->count = sources->same_region_count = sources->independent_count = 0;
    if (manifest_reader && manifest_reader->address != plan->self) {
        add_source(sources, manifest_reader->address);
    } else {
        add_source(sources, RELAY_ORIGIN);
        add_origin_readers_of_other_regions(plan, sources);
        sources->independent_count = sources->count;
    }
    add_by_rendezvous_weight(plan, key, plan->region, false, sources);
    reserve_fallback_sources(sources);
    add_source(sources, RELAY_ORIGIN);
}

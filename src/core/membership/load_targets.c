#include "core/membership/load_targets.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

/** Average number of engines of its own region whose load a gateway receives: two of those with
 * room are compared for each request. */
#define NEAR_ENGINES_PER_GATEWAY 32
/** The same for engines of other regions, which get only requests that find no room in the
 * gateway's own region. Traffic between regions decreases with it. */
#define FAR_ENGINES_PER_GATEWAY 10
#define PAIR_HASH_SEED 0x6c6f616473ULL

/** Loaders of one region. */
struct region_loaders {
    const char *region; /* owned by a member, valid until the membership changes */
    uint32_t count;
};

struct loader_counts {
    struct region_loaders *regions;
    uint32_t region_count;
    uint32_t total;
};

static struct region_loaders *find_region(struct loader_counts *counts, const char *region)
{
    for (uint32_t i = 0; i < counts->region_count; i++)
        if (strcmp(counts->regions[i].region, region) == 0)
            return &counts->regions[i];
    return NULL;
}

static void count_loader(struct loader_counts *counts, const struct member_state *member)
{
    if (member->role != MEMBER_LOADER || !member_is_alive(member))
        return;
    counts->total++;
    struct region_loaders *region = find_region(counts, member->region);
    if (!region) {
        counts->regions =
            memory_realloc(counts->regions, (counts->region_count + 1) * sizeof *counts->regions);
        region = &counts->regions[counts->region_count++];
        *region = (struct region_loaders){.region = member->region};
    }
    region->count++;
}

static struct loader_counts count_loaders(struct membership *membership)
{
    struct loader_counts counts = {0};
    count_loader(&counts, membership_self(membership));
    for (uint32_t i = 0; i < membership_count(membership); i++)
        count_loader(&counts, membership_at(membership, i));
    return counts;
}

/* Whether the loader is among the `wanted` of `available` that the gateway receives reports from.
 */
static bool is_selected(const struct member_state *gateway, const struct member_state *loader,
                        uint32_t wanted, uint32_t available)
{
    if (available <= wanted)
        return true;
    uint64_t weight = hash_pair(gateway->address ^ PAIR_HASH_SEED, loader->address);
    return weight < UINT64_MAX / available * wanted;
}

static bool receives_load(struct loader_counts *counts, const struct member_state *gateway,
                          const struct member_state *loader, bool near)
{
    const struct region_loaders *region = find_region(counts, gateway->region);
    uint32_t near_loaders = region ? region->count : 0;
    if (near)
        return is_selected(gateway, loader, NEAR_ENGINES_PER_GATEWAY, near_loaders);
    return is_selected(gateway, loader, FAR_ENGINES_PER_GATEWAY, counts->total - near_loaders);
}

/* Append the gateways of the own region, or those of all others. \return their number */
static uint32_t add_gateways(struct load_targets *targets, struct membership *membership,
                             struct loader_counts *counts, bool near)
{
    const struct member_state *self = membership_self(membership);
    uint32_t *addresses = targets->addresses + targets->near_count;
    uint32_t count = 0;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (member->role != MEMBER_GATEWAY || !member_is_alive(member) ||
            (strcmp(member->region, self->region) == 0) != near)
            continue;
        if (receives_load(counts, member, self, near))
            addresses[count++] = member->address;
    }
    return count;
}

void load_targets_refresh(struct load_targets *targets, struct membership *membership)
{
    uint64_t generation = membership_generation(membership);
    if (targets->generation == generation)
        return;
    struct loader_counts counts = count_loaders(membership);
    targets->generation = generation;
    targets->addresses = memory_realloc(targets->addresses, (membership_count(membership) + 1) *
                                                                sizeof *targets->addresses);
    targets->near_count = 0;
    targets->near_count = add_gateways(targets, membership, &counts, true);
    targets->far_count = add_gateways(targets, membership, &counts, false);
    free(counts.regions);
}

void load_targets_clear(struct load_targets *targets)
{
    free(targets->addresses);
    *targets = (struct load_targets){0};
}

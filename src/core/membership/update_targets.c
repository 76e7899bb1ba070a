#include "core/membership/update_targets.h"

#include "base/memory.h"
#include "core/hash.h"

#include <string.h>

/** Gateways to which a gateway sends a change. */
#define GATEWAY_FANOUT 4
/** Gateways that are responsible for each loader. */
#define GATEWAYS_PER_LOADER 2

struct target_list {
    uint32_t *addresses;
    uint32_t count;
};

static void add(struct target_list *list, uint32_t address)
{
    list->addresses[list->count++] = address;
}

static void add_gateways(const struct membership *membership, uint64_t revision,
                         struct random_stream *random, struct target_list *list)
{
    uint32_t seen = 0;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (member->role != MEMBER_GATEWAY || !member_is_healthy(member) ||
            member->operator_revision >= revision)
            continue;
        seen++;
        if (list->count < GATEWAY_FANOUT) {
            add(list, member->address);
            continue;
        }
        uint64_t place = random_below(random, seen);
        if (place < GATEWAY_FANOUT)
            list->addresses[place] = member->address;
    }
}

/* Gateways of the loader's region outrank all others. */
static uint64_t rendezvous_weight(const struct member_state *gateway,
                                  const struct member_state *loader)
{
    uint64_t weight = hash_pair(gateway->address, loader->address) >> 1;
    bool same_region = strcmp(gateway->region, loader->region) == 0;
    return same_region ? weight | (1ULL << 63) : weight;
}

static bool is_responsible(struct membership *membership, const struct member_state *loader)
{
    uint64_t own = rendezvous_weight(membership_self(membership), loader);
    uint32_t ahead = 0;
    for (uint32_t i = 0; i < membership_count(membership) && ahead < GATEWAYS_PER_LOADER; i++) {
        const struct member_state *member = membership_at(membership, i);
        ahead += member->role == MEMBER_GATEWAY && member_is_healthy(member) &&
                 rendezvous_weight(member, loader) > own;
    }
    return ahead < GATEWAYS_PER_LOADER;
}

static void add_loaders(struct membership *membership, uint64_t revision, struct target_list *list)
{
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (member->role == MEMBER_LOADER && member_is_alive(member) &&
            member->operator_revision < revision && is_responsible(membership, member))
            add(list, member->address);
    }
}

uint32_t *update_targets(struct membership *membership, uint64_t revision,
                         struct random_stream *random, uint32_t *count)
{
    struct target_list list = {.count = 0};
    list.addresses = memory_calloc(membership_count(membership) + 1, sizeof *list.addresses);
    if (membership_self(membership)->role == MEMBER_GATEWAY) {
        add_gateways(membership, revision, random, &list);
        add_loaders(membership, revision, &list);
    }
    *count = list.count;
    return list.addresses;
}

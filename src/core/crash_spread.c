#include "core/crash_spread.h"

#include "core/hash.h"

static bool is_known(const struct crash_receivers *receivers, uint32_t address)
{
    for (uint32_t i = 0; i < receivers->count; i++)
        if (receivers->addresses[i] == address)
            return true;
    return false;
}

static void add(struct crash_receivers *receivers, uint32_t address)
{
    if (!is_known(receivers, address))
        receivers->addresses[receivers->count++] = address;
}

static bool may_be_told(const struct member_state *member, enum member_role role)
{
    return member->role == role && member_is_alive(member);
}

/* The first ones of a role by rendezvous weight, without this node. */
static void add_homes(struct membership *membership, const struct crash_entry *entry,
                      enum member_role role, uint32_t homes, struct crash_receivers *receivers)
{
    uint64_t key = hash_bytes(entry->identity.bytes, sizeof entry->identity.bytes);
    uint64_t limit = UINT64_MAX;
    for (uint32_t home = 0; home < homes; home++) {
        uint64_t best_weight = 0;
        uint32_t best = 0;
        for (uint32_t i = 0; i < membership_count(membership); i++) {
            const struct member_state *member = membership_at(membership, i);
            uint64_t weight = hash_pair(key, member->address);
            if (!may_be_told(member, role) || weight >= limit || weight < best_weight)
                continue;
            best_weight = weight;
            best = member->address;
        }
        if (!best)
            return;
        add(receivers, best);
        limit = best_weight;
    }
}

/* A few of the gateways, each equally likely. */
static void add_some_gateways(struct membership *membership, struct random_stream *random,
                              struct crash_receivers *receivers)
{
    uint32_t left = 0;
    for (uint32_t i = 0; i < membership_count(membership); i++)
        left += may_be_told(membership_at(membership, i), MEMBER_GATEWAY);
    uint32_t wanted = left < CRASH_TOLD_MOST ? left : CRASH_TOLD_MOST;
    for (uint32_t i = 0; i < membership_count(membership) && wanted; i++) {
        const struct member_state *member = membership_at(membership, i);
        if (!may_be_told(member, MEMBER_GATEWAY) || random_below(random, left--) >= wanted)
            continue;
        wanted--;
        add(receivers, member->address);
    }
}

void crash_spread_receivers(struct membership *membership, const struct crash_entry *entry,
                            struct random_stream *random, struct crash_receivers *receivers)
{
    receivers->count = 0;
    add_homes(membership, entry, MEMBER_GATEWAY, CRASH_GATEWAY_HOMES, receivers);
    if (!entry->shared)
        return;
    add_homes(membership, entry, MEMBER_LOADER, CRASH_LOADER_HOMES, receivers);
    add_some_gateways(membership, random, receivers);
}

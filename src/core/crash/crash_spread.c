#include "core/crash/crash_spread.h"

#include "core/hash.h"

static bool has_receiver(const struct crash_receivers *receivers, uint32_t address)
{
    for (uint32_t i = 0; i < receivers->count; i++)
        if (receivers->addresses[i] == address)
            return true;
    return false;
}

static void add(struct crash_receivers *receivers, uint32_t address)
{
    if (!has_receiver(receivers, address))
        receivers->addresses[receivers->count++] = address;
}

static bool can_receive(const struct member_state *member, enum member_role role)
{
    return member->role == role && member_is_alive(member);
}

/* Adds the members of a role with the highest rendezvous weights, without this node. */
static void add_replica_holders(struct membership *membership, const struct crash_entry *entry,
                                enum member_role role, uint32_t replicas,
                                struct crash_receivers *receivers)
{
    uint64_t key = hash_bytes(entry->identity.bytes, sizeof entry->identity.bytes);
    uint64_t limit = UINT64_MAX;
    for (uint32_t replica = 0; replica < replicas; replica++) {
        uint64_t best_weight = 0;
        uint32_t best = 0;
        for (uint32_t i = 0; i < membership_count(membership); i++) {
            const struct member_state *member = membership_at(membership, i);
            uint64_t weight = hash_pair(key, member->address);
            if (!can_receive(member, role) || weight >= limit || weight < best_weight)
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

/* Adds a random sample of the gateways, each equally likely (selection sampling). */
static void add_random_gateways(struct membership *membership, struct random_stream *random,
                                struct crash_receivers *receivers)
{
    uint32_t left = 0;
    for (uint32_t i = 0; i < membership_count(membership); i++)
        left += can_receive(membership_at(membership, i), MEMBER_GATEWAY);
    uint32_t wanted = left < CRASH_GOSSIP_FANOUT ? left : CRASH_GOSSIP_FANOUT;
    for (uint32_t i = 0; i < membership_count(membership) && wanted; i++) {
        const struct member_state *member = membership_at(membership, i);
        if (!can_receive(member, MEMBER_GATEWAY) || random_below(random, left--) >= wanted)
            continue;
        wanted--;
        add(receivers, member->address);
    }
}

void crash_spread_receivers(struct membership *membership, const struct crash_entry *entry,
                            struct random_stream *random, struct crash_receivers *receivers)
{
    receivers->count = 0;
    add_replica_holders(membership, entry, MEMBER_GATEWAY, CRASH_GATEWAY_REPLICAS, receivers);
    add_replica_holders(membership, entry, MEMBER_LOADER, CRASH_LOADER_REPLICAS, receivers);
    if (entry->shared)
        add_random_gateways(membership, random, receivers);
}

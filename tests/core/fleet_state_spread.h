/**
 * How the platform's state reaches all gateways after a start of all nodes: who reads the store
 * (core/store/reader_role), and who gets a copy from whom, on a simulated clock and network.
 * Transfers of the state take their time on the links, beside the datagrams; one peer sends its
 * copies in sequence.
 */
#ifndef SHUNTRUN_FLEET_STATE_SPREAD_H
#define SHUNTRUN_FLEET_STATE_SPREAD_H

#include "testing.h"

#include "core/swarm/copy_queue.h"
#include "core/fleet_network.h"
#include "core/load/start_hold.h"
#include "core/store/reader_role.h"
#include "core/membership/update_targets.h"

#include <stdio.h>
#include <stdlib.h>

/** The state of 270 backends and 160 routes: from the store, and compressed from a peer. */
#define STORE_BYTES 200000
#define PEER_BYTES 30000
#define STORE_DELAY_US 4000ULL
/** The store is in this region. */
#define STORE_REGION 0
#define REVISION 5
/** A copy is asked of a peer in another region after this time, as in cluster/state_sync.c. */
#define FAR_PEER_DELAY_US 250000ULL

struct copy {
    struct reader_role role;
    uint64_t arrives_at; /* of the transfer in progress; 0: none */
    uint64_t knows_holder_since;
    uint64_t held_at; /* 0: not yet */
};

struct fleet {
    struct world *world;
    struct copy *copies;              /* of the gateways */
    struct copy_queue *queues;        /* of the copies that each gateway sends */
    uint64_t region_free_at[REGIONS]; /* the same for the store's answers to a region */
};

/* \return time at which the last byte arrives on a link that is free from `*free_at` on */
static uint64_t transfer(uint64_t *free_at, uint64_t now, size_t bytes, double mbit)
{
    uint64_t begin = *free_at > now ? *free_at : now;
    *free_at = begin + (uint64_t)((double)bytes * 8 / mbit);
    return *free_at;
}

static void read_store(struct fleet *fleet, const struct node *node, struct copy *copy)
{
    uint64_t now = fleet->world->now + STORE_DELAY_US;
    copy->arrives_at = now + (uint64_t)(STORE_BYTES * 8 / GATEWAY_MBIT);
    if (node->region == STORE_REGION)
        return;
    uint64_t crossed =
        transfer(&fleet->region_free_at[node->region], now, STORE_BYTES, INTERREGION_MBIT);
    if (crossed > copy->arrives_at)
        copy->arrives_at = crossed;
}

/* \return a random known gateway that has the state, of the own region if there is one; NULL: none
 */
static const struct member_state *find_holder(struct world *world, const struct node *node)
{
    const struct member_state *found = NULL;
    uint32_t near = 0, far = 0;
    for (uint32_t i = 0; i < membership_count(node->membership); i++) {
        const struct member_state *member = membership_at(node->membership, i);
        if (!member->state_revision || member->role != MEMBER_GATEWAY)
            continue;
        bool is_near = (member->address - 1) % REGIONS == node->region;
        if (is_near ? random_below(&world->random, ++near) == 0
                    : !near && random_below(&world->random, ++far) == 0)
            found = member;
    }
    return found;
}

static void ask_peer(struct fleet *fleet, const struct node *node, struct copy *copy)
{
    uint64_t now = fleet->world->now;
    const struct member_state *holder = find_holder(fleet->world, node);
    if (!holder)
        return;
    if (!copy->knows_holder_since)
        copy->knows_holder_since = now;
    bool is_near = (holder->address - 1) % REGIONS == node->region;
    if (!is_near && now < copy->knows_holder_since + FAR_PEER_DELAY_US)
        return;
    struct copy_queue *queue = &fleet->queues[holder->address - 1];
    if (!copy_queue_accepts(queue, now))
        return; /* refused: asks a peer again with the next tick */
    copy_queue_add(queue, PEER_BYTES, GATEWAY_MBIT, now);
    copy->arrives_at = queue->free_at + 2 * (is_near ? LOCAL_DELAY_US : INTERREGION_DELAY_US);
}

/* A reader tells its region, and every gateway some others, as cluster/update_push.c does. */
static void announce(struct fleet *fleet, const struct node *node, const struct copy *copy)
{
    uint32_t count;
    membership_self(node->membership)->state_revision = REVISION;
    membership_self(node->membership)->operator_revision = REVISION;
    uint32_t *addresses = update_targets(node->membership, REVISION, &fleet->world->random, &count);
    for (uint32_t i = 0; i < count; i++)
        membership_send_update(node->membership, addresses[i]);
    free(addresses);
    if (copy->role.duty == READER_INACTIVE)
        return;
    for (uint32_t i = 0; i < membership_count(node->membership); i++) {
        const struct member_state *member = membership_at(node->membership, i);
        if (member->role == MEMBER_GATEWAY && (member->address - 1) % REGIONS == node->region)
            membership_send_update(node->membership, member->address);
    }
}

static void update_copy(struct fleet *fleet, const struct node *node, struct copy *copy)
{
    uint64_t now = fleet->world->now;
    if (copy->held_at || !node->membership)
        return;
    if (copy->arrives_at && now >= copy->arrives_at) {
        copy->held_at = now;
        announce(fleet, node, copy);
        return;
    }
    if (copy->arrives_at || (now - node->starts_at) % FIRST_TICK_US >= STEP_US)
        return;
    if (reader_role_update(&copy->role, node->membership, now) != READER_INACTIVE)
        read_store(fleet, node, copy);
    else
        ask_peer(fleet, node, copy);
}

static int compare_times(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;
    return a < b ? -1 : a > b;
}

struct spread {
    double
        tenth_s; /* from the start of the first node until a tenth of the gateways know the state */
    double half_s;
    double most_s; /* 99 in 100 */
    uint32_t readers;
};

/* \param seed_is_early the first seed starts with the first nodes, not after them */
static struct spread measure(uint32_t gateways, uint32_t loaders, bool seed_is_early)
{
    struct world *world = world_create(gateways, loaders, gateways);
    struct fleet fleet = {
        world, calloc(gateways, sizeof *fleet.copies), calloc(gateways, sizeof *fleet.queues), {0}};
    struct spread spread = {0};
    uint64_t begin = world->now;
    uint64_t *times = calloc(gateways, sizeof *times);
    if (seed_is_early)
        world->nodes[0].starts_at = begin;
    while (world->now < begin + START_HOLD_US) {
        run_for(world, STEP_US);
        for (uint32_t i = 0; i < gateways; i++)
            update_copy(&fleet, &world->nodes[i], &fleet.copies[i]);
    }
    for (uint32_t i = 0; i < gateways; i++) {
        const struct copy *copy = &fleet.copies[i];
        times[i] = copy->held_at ? copy->held_at - begin : 99 * SECOND;
        spread.readers += copy->role.duty != READER_INACTIVE;
    }
    qsort(times, gateways, sizeof *times, compare_times);
    spread.tenth_s = (double)times[gateways / 10] / SECOND;
    spread.half_s = (double)times[gateways / 2] / SECOND;
    spread.most_s = (double)times[(gateways - 1) * 99 / 100] / SECOND;
    printf(
        "%u gateways, %u loaders, seed %s: a tenth know the state after %.2f s, half after %.2f s, "
        "99 in 100 after %.2f s; %u read the store\n",
        gateways, loaders, seed_is_early ? "early" : "late", spread.tenth_s, spread.half_s,
        spread.most_s, spread.readers);
    free(times);
    free(fleet.copies);
    free(fleet.queues);
    world_destroy(world);
    return spread;
}

/* Requests are held for START_HOLD_US from the start of each gateway. */
static void assert_spread_while_requests_are_held(uint32_t gateways, uint32_t loaders,
                                                  bool seed_is_early)
{
    struct spread spread = measure(gateways, loaders, seed_is_early);
    assert_true(spread.most_s < (double)START_HOLD_US / SECOND);
}

#endif

/**
 * Hundreds of nodes on a simulated clock and network: the link of each node, and the link from each
 * region to each other one, has a limited rate and transmits its bytes in sequence. Nodes run the
 * membership protocol; a test may add what else they do.
 */
#ifndef SHUNTRUN_FLEET_NETWORK_H
#define SHUNTRUN_FLEET_NETWORK_H

#include "core/membership/membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REGIONS 5
#define SEEDS 3
#define SECOND 1000000ULL
#define STEP_US 1000ULL
/** Nodes tick faster until the state and most members are known, as in cluster/cluster.c. */
#define FIRST_TICKS_US (2 * SECOND)
#define FIRST_TICK_US 25000ULL
#define TICK_US 100000ULL
/** Nodes start within this time, and seeds at its end. */
#define START_SPREAD_US 300000ULL
#define INTERREGION_MBIT 30.0
#define GATEWAY_MBIT 40.0
#define LOADER_MBIT 9.4
#define HEADER_BYTES 28
/** A link drops datagrams that would queue for longer. */
#define QUEUE_US 200000ULL
#define LOCAL_DELAY_US 300ULL
#define INTERREGION_DELAY_US 1800ULL
#define LOST_PER_THOUSAND 2

struct datagram {
    uint64_t arrives;
    uint32_t from;
    uint32_t to;
    size_t size;
    uint8_t *bytes;
};

struct world;

struct node {
    struct world *world;
    struct membership *membership;
    uint32_t index;
    uint32_t region;
    uint64_t starts_at;
    uint64_t next_tick;
    uint64_t link_free_at; /* outgoing link */
    uint64_t sent_bytes;
    uint64_t complete_at; /* time at which it knew all members; 0: not yet */
};

struct world {
    struct node *nodes;
    uint32_t count;
    uint32_t gateways; /* the first nodes; loaders follow */
    struct random_stream random;
    uint64_t now;
    uint64_t interregion_free_at[REGIONS][REGIONS];
    uint64_t interregion_bytes;
    uint64_t dropped;
    uint32_t partitioned_region; /* partitioned from the others; REGIONS: none */
    struct datagram *heap;       /* by time of arrival, the earliest on top */
    uint32_t queued;
    uint32_t capacity;
};

/* --- datagrams in transit ------------------------------------------------------------------------
 */

static inline void push(struct world *world, const struct datagram *datagram)
{
    if (world->queued == world->capacity) {
        world->capacity = world->capacity ? 2 * world->capacity : 1024;
        world->heap = realloc(world->heap, world->capacity * sizeof *world->heap);
    }
    uint32_t place = world->queued++;
    while (place > 0 && world->heap[(place - 1) / 2].arrives > datagram->arrives) {
        world->heap[place] = world->heap[(place - 1) / 2];
        place = (place - 1) / 2;
    }
    world->heap[place] = *datagram;
}

static inline struct datagram pop(struct world *world)
{
    struct datagram first = world->heap[0];
    struct datagram last = world->heap[--world->queued];
    uint32_t place = 0;
    for (;;) {
        uint32_t child = 2 * place + 1;
        if (child >= world->queued)
            break;
        if (child + 1 < world->queued &&
            world->heap[child + 1].arrives < world->heap[child].arrives)
            child++;
        if (last.arrives <= world->heap[child].arrives)
            break;
        world->heap[place] = world->heap[child];
        place = child;
    }
    world->heap[place] = last;
    return first;
}

/* Transmits bytes over a link. \return the time at which the last one is sent, 0: dropped */
static inline uint64_t transmit(struct world *world, uint64_t *free_at, uint64_t at, size_t bytes,
                                double mbit)
{
    uint64_t begin = *free_at > at ? *free_at : at;
    if (begin > at + QUEUE_US) {
        world->dropped++;
        return 0;
    }
    *free_at = begin + (uint64_t)((double)bytes * 8 / mbit);
    return *free_at;
}

static inline void on_send(void *context, uint32_t address, const Shuntrun__MemberMessage *message)
{
    struct node *node = context;
    struct world *world = node->world;
    size_t size = shuntrun__member_message__get_packed_size(message);
    size_t wire = size + HEADER_BYTES;
    uint32_t to = address - 1;
    node->sent_bytes += wire;
    double rate = node->index < world->gateways ? GATEWAY_MBIT : LOADER_MBIT;
    uint64_t at = transmit(world, &node->link_free_at, world->now, wire, rate);
    if (!at || to >= world->count || random_below(&world->random, 1000) < LOST_PER_THOUSAND)
        return;
    uint32_t region = world->nodes[to].region;
    if (region != node->region) {
        if (region == world->partitioned_region || node->region == world->partitioned_region)
            return;
        world->interregion_bytes += wire;
        at = transmit(world, &world->interregion_free_at[node->region][region], at, wire,
                      INTERREGION_MBIT);
        if (!at)
            return;
    }
    uint8_t *bytes = malloc(size);
    shuntrun__member_message__pack(message, bytes);
    at += region == node->region ? LOCAL_DELAY_US : INTERREGION_DELAY_US;
    push(world, &(struct datagram){at, node->index, to, size, bytes});
}

/* --- nodes ---------------------------------------------------------------------------------------
 */

static inline void node_start(struct world *world, struct node *node)
{
    bool gateway = node->index < world->gateways;
    struct member_state self = {.address = node->index + 1,
                                .incarnation = 1767225600000000ULL + node->index,
                                .role = gateway ? MEMBER_GATEWAY : MEMBER_LOADER,
                                .link_mbit = gateway ? (uint32_t)GATEWAY_MBIT : 9,
                                .traffic_port = gateway ? 8005 : 0};
    snprintf(self.zone, sizeof self.zone, "zone-%u-hall", node->region);
    snprintf(self.region, sizeof self.region, "region-%u", node->region);
    struct membership_driver driver = {node, on_send};
    node->membership =
        membership_create(&membership_default_settings, &self, node->index + 77, &driver);
    for (uint32_t seed = 0; seed < SEEDS; seed++)
        membership_add_seed(node->membership, seed + 1);
}

static inline uint32_t alive_at(const struct node *node)
{
    return membership_alive_count(node->membership, MEMBER_GATEWAY) +
           membership_alive_count(node->membership, MEMBER_LOADER);
}

static inline void tick(struct world *world, struct node *node)
{
    if (world->now < node->starts_at || world->now < node->next_tick)
        return;
    if (!node->membership)
        node_start(world, node);
    membership_tick(node->membership, world->now);
    bool recently_started = world->now < node->starts_at + FIRST_TICKS_US;
    node->next_tick = world->now + (recently_started ? FIRST_TICK_US : TICK_US);
    if (!node->complete_at && alive_at(node) == world->count)
        node->complete_at = world->now;
}

static inline void deliver(struct world *world)
{
    while (world->queued && world->heap[0].arrives <= world->now) {
        struct datagram datagram = pop(world);
        struct node *node = &world->nodes[datagram.to];
        if (node->membership) {
            Shuntrun__MemberMessage *message =
                shuntrun__member_message__unpack(NULL, datagram.size, datagram.bytes);
            membership_receive(node->membership, datagram.from + 1, message, world->now);
            shuntrun__member_message__free_unpacked(message, NULL);
        }
        free(datagram.bytes);
    }
}

static inline void run_for(struct world *world, uint64_t time_us)
{
    for (uint64_t end = world->now + time_us; world->now < end; world->now += STEP_US) {
        deliver(world);
        for (uint32_t i = 0; i < world->count; i++)
            tick(world, &world->nodes[i]);
    }
}

static inline struct world *world_create(uint32_t gateways, uint32_t loaders, uint64_t seed)
{
    struct world *world = calloc(1, sizeof *world);
    world->random.seed = seed;
    world->gateways = gateways;
    world->count = gateways + loaders;
    world->partitioned_region = REGIONS;
    world->now = 5 * SECOND;
    world->nodes = calloc(world->count, sizeof *world->nodes);
    for (uint32_t i = 0; i < world->count; i++) {
        uint64_t late = i < SEEDS ? START_SPREAD_US : random_below(&world->random, START_SPREAD_US);
        world->nodes[i] = (struct node){.world = world,
                                        .index = i,
                                        .region = i % REGIONS,
                                        .starts_at = world->now + late,
                                        .next_tick = world->now};
    }
    return world;
}

static inline void world_destroy(struct world *world)
{
    for (uint32_t i = 0; i < world->queued; i++)
        free(world->heap[i].bytes);
    for (uint32_t i = 0; i < world->count; i++)
        if (world->nodes[i].membership)
            membership_destroy(world->nodes[i].membership);
    free(world->nodes);
    free(world->heap);
    free(world);
}

#endif

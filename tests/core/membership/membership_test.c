/* Membership on a simulated clock: message loss, partitions, dead, paused and restarted members. */
#include "testing.h"

#include "core/membership/membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NODES 120
#define SMALL_FLEET 20
#define TICK_US 50000ULL
#define SECOND 1000000ULL
#define DEAD_SEED 999
#define MAX_QUEUED 65536

struct datagram {
    uint32_t from;
    uint32_t to;
    size_t size;
    uint8_t *bytes;
};

struct world;

struct node {
    struct world *world;
    uint32_t address;
    struct membership *membership;
    bool down;
    bool paused;
};

struct world {
    struct node nodes[MAX_NODES];
    uint32_t count;
    struct random_stream random;
    uint64_t now;
    uint32_t lost_percent;
    uint32_t unreachable; /* messages to this address are lost */
    uint32_t partition;   /* partition between addresses up to this one and the others; 0: none */
    struct datagram queue[MAX_QUEUED];
    uint32_t queued;
    uint64_t bytes_sent;
    size_t largest;
};

static bool is_lost(struct world *world, uint32_t from, uint32_t to)
{
    if (world->partition && (from <= world->partition) != (to <= world->partition))
        return true;
    return to == world->unreachable || random_below(&world->random, 100) < world->lost_percent;
}

static void on_send(void *context, uint32_t address, const Shuntrun__MemberMessage *message)
{
    struct node *node = context;
    struct world *world = node->world;
    size_t size = shuntrun__member_message__get_packed_size(message);
    world->bytes_sent += size;
    if (size > world->largest)
        world->largest = size;
    if (address > world->count || is_lost(world, node->address, address))
        return;
    assert_true(world->queued < MAX_QUEUED);
    uint8_t *bytes = malloc(size);
    shuntrun__member_message__pack(message, bytes);
    world->queue[world->queued++] = (struct datagram){node->address, address, size, bytes};
}

static void node_start(struct world *world, uint32_t index, uint64_t incarnation)
{
    struct node *node = &world->nodes[index];
    struct member_state self = {.address = index + 1,
                                .incarnation = incarnation,
                                .role = index % 3 ? MEMBER_LOADER : MEMBER_GATEWAY};
    snprintf(self.zone, sizeof self.zone, "zone-%u", index % 3);
    snprintf(self.region, sizeof self.region, "region-%u", index % 3);
    *node = (struct node){.world = world, .address = index + 1};
    struct membership_driver driver = {node, on_send};
    node->membership =
        membership_create(&membership_default_settings, &self, index + incarnation, &driver);
    membership_add_seed(node->membership, DEAD_SEED);
    membership_add_seed(node->membership, 1);
    membership_add_seed(node->membership, 2);
}

static void deliver_all(struct world *world)
{
    for (uint32_t i = 0; i < world->queued; i++) {
        struct datagram *datagram = &world->queue[i];
        struct node *node = &world->nodes[datagram->to - 1];
        Shuntrun__MemberMessage *message =
            shuntrun__member_message__unpack(NULL, datagram->size, datagram->bytes);
        if (!node->down && !node->paused)
            membership_receive(node->membership, datagram->from, message, world->now);
        shuntrun__member_message__free_unpacked(message, NULL);
        free(datagram->bytes);
    }
    world->queued = 0;
}

static void run_for(struct world *world, uint64_t time_us)
{
    for (uint64_t end = world->now + time_us; world->now < end; world->now += TICK_US) {
        for (uint32_t i = 0; i < world->count; i++)
            if (!world->nodes[i].down && !world->nodes[i].paused)
                membership_tick(world->nodes[i].membership, world->now);
        deliver_all(world);
    }
}

static struct world *world_create(uint32_t count, uint64_t seed, uint32_t lost_percent)
{
    struct world *world = calloc(1, sizeof *world);
    world->random.seed = seed;
    world->lost_percent = lost_percent;
    world->count = count;
    world->now = 5 * SECOND;
    for (uint32_t i = 0; i < count; i++)
        node_start(world, i, 100);
    return world;
}

static void world_destroy(struct world *world)
{
    for (uint32_t i = 0; i < world->queued; i++)
        free(world->queue[i].bytes);
    for (uint32_t i = 0; i < world->count; i++)
        membership_destroy(world->nodes[i].membership);
    free(world);
}

static uint32_t alive_at(const struct world *world, uint32_t node)
{
    const struct membership *membership = world->nodes[node].membership;
    return membership_alive_count(membership, MEMBER_GATEWAY) +
           membership_alive_count(membership, MEMBER_LOADER);
}

static void assert_all_count(const struct world *world, uint32_t expected)
{
    for (uint32_t i = 0; i < world->count; i++)
        if (!world->nodes[i].down)
            assert_int_equal(alive_at(world, i), expected);
}

static void members_join_despite_dead_seed(void **state)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct world *world = world_create(SMALL_FLEET, seed, 10);
        run_for(world, 2 * SECOND);
        assert_all_count(world, SMALL_FLEET);
        world_destroy(world);
    }
}

/* Guards against randomly spread heartbeats: too rare for more than some fifty members. */
static void large_fleet_converges_and_declares_no_live_member_dead(void **state)
{
    struct world *world = world_create(MAX_NODES, 3, 2);
    run_for(world, 3 * SECOND);
    assert_all_count(world, MAX_NODES);
    for (uint32_t second = 0; second < 20; second++) {
        run_for(world, SECOND);
        assert_all_count(world, MAX_NODES);
    }
    world_destroy(world);
}

static void idle_traffic_per_node_is_independent_of_fleet_size(void **state)
{
    double rates[2];
    const uint32_t sizes[2] = {30, MAX_NODES};
    for (uint32_t i = 0; i < 2; i++) {
        struct world *world = world_create(sizes[i], 3, 0);
        run_for(world, 15 * SECOND);
        world->bytes_sent = 0;
        run_for(world, 10 * SECOND);
        rates[i] = (double)world->bytes_sent / 10 / sizes[i];
        assert_true(world->largest < 2048);
        world_destroy(world);
    }
    printf("bytes per second and node: %.0f, %.0f\n", rates[0], rates[1]);
    assert_true(rates[0] < 1000);
    assert_true(rates[1] < 1.1 * rates[0]);
}

static void only_dead_members_are_declared_dead(void **state)
{
    struct world *world = world_create(MAX_NODES, 3, 2);
    run_for(world, 5 * SECOND);
    for (uint32_t i = 0; i < 5; i++)
        world->nodes[i * 4].down = true;
    run_for(world, 5 * SECOND);
    assert_all_count(world, MAX_NODES - 5);
    world_destroy(world);
}

static void death_of_most_members_at_once_is_detected(void **state)
{
    struct world *world = world_create(MAX_NODES, 8, 2);
    run_for(world, 5 * SECOND);
    for (uint32_t i = 0; i < MAX_NODES; i++)
        world->nodes[i].down = i % 5 != 0;
    run_for(world, 25 * SECOND);
    assert_all_count(world, MAX_NODES / 5);
    world_destroy(world);
}

static void restart_with_lower_incarnation_is_accepted(void **state)
{
    struct world *world = world_create(SMALL_FLEET, 4, 0);
    run_for(world, 4 * SECOND);
    membership_destroy(world->nodes[7].membership);
    node_start(world, 7, 40); /* lower than the incarnation that the others know */
    run_for(world, 4 * SECOND);
    assert_all_count(world, SMALL_FLEET);
    assert_true(membership_self(world->nodes[7].membership)->incarnation > 100);
    world_destroy(world);
}

static void paused_member_returns_without_declaring_others_dead(void **state)
{
    struct world *world = world_create(SMALL_FLEET, 5, 0);
    run_for(world, 4 * SECOND);
    world->nodes[6].paused = true;
    run_for(world, 5 * SECOND);
    assert_int_equal(alive_at(world, 3), SMALL_FLEET - 1);
    world->nodes[6].paused = false;
    for (uint32_t i = 0; i < 10; i++) {
        run_for(world, SECOND / 2);
        assert_int_equal(alive_at(world, 6), SMALL_FLEET);
    }
    assert_all_count(world, SMALL_FLEET);
    world_destroy(world);
}

/* A member whose incoming messages are all lost must not declare the others dead at once. */
static void member_without_incoming_messages_declares_nobody_dead(void **state)
{
    struct world *world = world_create(SMALL_FLEET, 6, 0);
    run_for(world, 4 * SECOND);
    world->unreachable = 9;
    run_for(world, 3 * SECOND);
    assert_int_equal(alive_at(world, 8), SMALL_FLEET);
    run_for(world, 4 * SECOND);
    assert_int_equal(alive_at(world, 3), SMALL_FLEET - 1);
    world->unreachable = 0;
    run_for(world, 4 * SECOND);
    assert_all_count(world, SMALL_FLEET);
    world_destroy(world);
}

static void partitioned_groups_merge_again(void **state)
{
    struct world *world = world_create(SMALL_FLEET, 7, 0);
    run_for(world, 4 * SECOND);
    world->partition = 8;
    run_for(world, 12 * SECOND);
    assert_int_equal(alive_at(world, 0), 8);
    assert_int_equal(alive_at(world, 12), SMALL_FLEET - 8);
    world->partition = 0;
    run_for(world, 6 * SECOND);
    assert_all_count(world, SMALL_FLEET);
    world_destroy(world);
}

static void change_of_member_reaches_all_members(void **state)
{
    struct world *world = world_create(MAX_NODES, 9, 2);
    run_for(world, 5 * SECOND);
    struct membership *leaving = world->nodes[30].membership;
    membership_self(leaving)->draining = true;
    membership_self_changed(leaving);
    run_for(world, 3 * SECOND);
    for (uint32_t i = 0; i < MAX_NODES; i++)
        if (i != 30)
            assert_true(membership_find(world->nodes[i].membership, 31)->draining);
    world_destroy(world);
}

/* Guards against incomplete weights: a put of a loader's earlier process arrived late, and its
 * next process did not know that there had been an earlier one. */
static void earlier_process_of_member_is_remembered(void **state)
{
    struct world *world = world_create(3, 1, 0);
    run_for(world, 3 * SECOND);
    struct membership *membership = world->nodes[0].membership;
    const struct member_state *member = membership_find(membership, 2);
    uint64_t now = world->now;
    membership_record_contact(membership, 2, now);
    membership_record_engine_start(membership, 2, 77);
    /* The same process reports a recent start: nothing was received before it. */
    assert_false(membership_record_process_start(membership, 2, now - SECOND));
    assert_int_equal(member->earlier_heard_at, 0);
    uint64_t started_at = now + SECOND;
    assert_true(membership_record_process_start(membership, 2, started_at));
    assert_int_equal(member->earlier_heard_at, now);
    assert_int_equal(member->earlier_born, 77);
    assert_int_equal(member->engine_born, 0);
    assert_false(membership_record_process_start(membership, 2, started_at));
    membership_record_contact(membership, 2, started_at + 1000);
    assert_false(membership_record_process_start(membership, 2, started_at));
    assert_int_equal(member->earlier_heard_at, now);
    world_destroy(world);
}

/* If dead members counted as known, a node that joins later would never converge. */
static void member_joining_after_many_deaths_is_converged(void **state)
{
    struct world *world = world_create(SMALL_FLEET, 10, 0);
    world->nodes[19].down = true;
    run_for(world, 4 * SECOND);
    for (uint32_t i = 8; i < 19; i++)
        world->nodes[i].down = true;
    run_for(world, 8 * SECOND);
    membership_destroy(world->nodes[19].membership);
    node_start(world, 19, 300);
    run_for(world, 2 * SECOND);
    assert_int_equal(alive_at(world, 19), 9);
    assert_true(membership_is_converged(world->nodes[19].membership));
    world_destroy(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(members_join_despite_dead_seed),
        cmocka_unit_test(large_fleet_converges_and_declares_no_live_member_dead),
        cmocka_unit_test(idle_traffic_per_node_is_independent_of_fleet_size),
        cmocka_unit_test(only_dead_members_are_declared_dead),
        cmocka_unit_test(death_of_most_members_at_once_is_detected),
        cmocka_unit_test(restart_with_lower_incarnation_is_accepted),
        cmocka_unit_test(paused_member_returns_without_declaring_others_dead),
        cmocka_unit_test(member_without_incoming_messages_declares_nobody_dead),
        cmocka_unit_test(partitioned_groups_merge_again),
        cmocka_unit_test(change_of_member_reaches_all_members),
        cmocka_unit_test(earlier_process_of_member_is_remembered),
        cmocka_unit_test(member_joining_after_many_deaths_is_converged),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Gossip between members on a virtual clock, with lost messages, restarts and dead seeds. */
#include "testing.h"

#include "core/membership.h"

#include <stdlib.h>

#define NODES 20
#define ROUND_US 500000ULL
#define DEAD_SEED 999

static const struct membership_settings settings = {
    .fanout = 3, .suspect_us = 3000000, .forget_us = 20000000};

struct world {
    struct membership *nodes[NODES];
    bool down[NODES];
    struct random_stream random;
    uint64_t now;
    uint32_t lost_percent;
};

static struct membership *node_create(uint32_t index, uint64_t incarnation)
{
    struct member_state self = {.address = index + 1,
                                .incarnation = incarnation,
                                .role = index % 3 ? MEMBER_LOADER : MEMBER_GATEWAY};
    struct membership *node = membership_create(&settings, &self, index + incarnation);
    membership_add_seed(node, DEAD_SEED);
    membership_add_seed(node, 1);
    return node;
}

static void deliver(struct world *world, uint32_t from, uint32_t address)
{
    uint8_t bytes[8192];
    Shuntrun__MemberMessage message;
    if (address > NODES || world->down[address - 1] ||
        random_below(&world->random, 100) < world->lost_percent)
        return;
    membership_write(world->nodes[from], &message);
    size_t size = shuntrun__member_message__pack(&message, bytes);
    Shuntrun__MemberMessage *copy = shuntrun__member_message__unpack(NULL, size, bytes);
    membership_read(world->nodes[address - 1], copy, world->now);
    shuntrun__member_message__free_unpacked(copy, NULL);
}

static void play(struct world *world, uint32_t rounds)
{
    for (uint32_t round = 0; round < rounds; round++, world->now += ROUND_US) {
        for (uint32_t i = 0; i < NODES; i++) {
            uint32_t targets[8];
            if (world->down[i])
                continue;
            membership_tick(world->nodes[i], world->now);
            uint32_t count = membership_targets(world->nodes[i], world->now, targets, 8);
            for (uint32_t k = 0; k < count; k++)
                deliver(world, i, targets[k]);
        }
    }
}

static struct world *world_create(uint64_t seed, uint32_t lost_percent)
{
    struct world *world = calloc(1, sizeof *world);
    world->random.seed = seed;
    world->lost_percent = lost_percent;
    world->now = 5000000;
    for (uint32_t i = 0; i < NODES; i++)
        world->nodes[i] = node_create(i, 100);
    return world;
}

static void world_destroy(struct world *world)
{
    for (uint32_t i = 0; i < NODES; i++)
        membership_destroy(world->nodes[i]);
    free(world);
}

static uint32_t alive_at(const struct world *world, uint32_t node)
{
    return membership_alive_count(world->nodes[node], MEMBER_GATEWAY, world->now) +
           membership_alive_count(world->nodes[node], MEMBER_LOADER, world->now);
}

static void all_find_each_other_past_a_dead_seed(void **state)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct world *world = world_create(seed, 10);
        play(world, 10);
        for (uint32_t i = 0; i < NODES; i++)
            assert_int_equal(alive_at(world, i), NODES);
        world_destroy(world);
    }
}

static void the_dead_are_suspected_and_the_living_are_not(void **state)
{
    struct world *world = world_create(3, 5);
    play(world, 10);
    for (uint32_t i = 0; i < 5; i++)
        world->down[i * 4] = true;
    play(world, 14);
    for (uint32_t i = 0; i < NODES; i++)
        if (!world->down[i])
            assert_int_equal(alive_at(world, i), NODES - 5);
    world_destroy(world);
}

static void a_restart_with_a_clock_that_stepped_back_is_heard(void **state)
{
    struct world *world = world_create(4, 0);
    play(world, 10);
    membership_destroy(world->nodes[7]);
    world->nodes[7] = node_create(7, 40); /* an older incarnation than the one remembered */
    play(world, 10);
    for (uint32_t i = 0; i < NODES; i++)
        assert_int_equal(alive_at(world, i), NODES);
    world_destroy(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_find_each_other_past_a_dead_seed),
        cmocka_unit_test(the_dead_are_suspected_and_the_living_are_not),
        cmocka_unit_test(a_restart_with_a_clock_that_stepped_back_is_heard),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

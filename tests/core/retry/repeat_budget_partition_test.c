/*
 * The parts of the allowance of gateways that all start in a partition: each knows only those of
 * its own side. In any partition the parts add up to the allowance at most.
 */
#include "testing.h"

#include "core/random.h"
#include "core/retry/repeat_budget.h"

#include <string.h>

#define SECOND_US 1000000ULL
#define ALLOWANCE 654
#define MAX_GATEWAYS 39
#define MAX_SEEDS 5
#define SEEDS_OF_WORLDS 2000

static const struct repeat_budget_settings settings = {
    .ratio = 0.2, .allowance = ALLOWANCE, .window_us = 10 * SECOND_US};

struct world {
    uint32_t gateways, seeds, sides;
    uint32_t least_gateways;
    uint32_t side[MAX_GATEWAYS]; /* of each gateway */
    bool is_seed[MAX_GATEWAYS];
};

static struct world draw_world(uint64_t seed)
{
    struct random_stream random = {seed, 0};
    struct world world = {.least_gateways = 4};
    world.gateways = 1 + (uint32_t)random_below(&random, MAX_GATEWAYS);
    world.sides = 1 + (uint32_t)random_below(&random, 5);
    uint32_t wanted = 1 + (uint32_t)random_below(&random, MAX_SEEDS);
    for (uint32_t i = 0; i < world.gateways; i++)
        world.side[i] = (uint32_t)random_below(&random, world.sides);
    for (; world.seeds < wanted && world.seeds < world.gateways; world.seeds++) {
        uint32_t chosen = (uint32_t)random_below(&random, world.gateways);
        while (world.is_seed[chosen])
            chosen = (chosen + 1) % world.gateways;
        world.is_seed[chosen] = true;
    }
    return world;
}

/* \return what a gateway knows once it has heard of all others of its side. \param rank gets its
 * place among them */
static struct budget_fleet known_fleet(const struct world *world, uint32_t gateway, uint32_t *rank)
{
    struct budget_fleet fleet = {.least_gateways = world->least_gateways, .seeds = world->seeds};
    *rank = 0;
    for (uint32_t i = 0; i < world->gateways; i++) {
        if (world->side[i] != world->side[gateway])
            continue;
        fleet.gateways++;
        fleet.known_seeds += world->is_seed[i];
        *rank += i < gateway;
    }
    return fleet;
}

/* \return repeats that a gateway without requests may send in one window */
static uint32_t spend_all(const struct world *world, uint32_t gateway)
{
    struct repeat_budget budget;
    struct budget_share share;
    uint32_t spent = 0;
    struct budget_fleet fleet = known_fleet(world, gateway, &share.rank);
    share.gateways = budget_fleet_gateways(&fleet);
    repeat_budget_init(&budget, &settings, 100 * SECOND_US);
    while (repeat_budget_spend(&budget, 120 * SECOND_US, &share))
        spent++;
    return spent;
}

static void a_start_in_any_partition_keeps_the_allowance(void **state)
{
    for (uint64_t seed = 1; seed <= SEEDS_OF_WORLDS; seed++) {
        struct world world = draw_world(seed);
        uint32_t spent = 0;
        for (uint32_t i = 0; i < world.gateways; i++)
            spent += spend_all(&world, i);
        if (spent > ALLOWANCE)
            fail_msg("seed %u: %u gateways on %u sides, %u seeds: %u repeats", (unsigned)seed,
                     world.gateways, world.sides, world.seeds, spent);
    }
}

static void without_a_partition_most_of_the_allowance_is_used(void **state)
{
    for (uint64_t seed = 1; seed <= SEEDS_OF_WORLDS; seed++) {
        struct world world = draw_world(seed);
        uint32_t spent = 0;
        memset(world.side, 0, sizeof world.side);
        for (uint32_t i = 0; i < world.gateways; i++)
            spent += spend_all(&world, i);
        if (world.gateways >= world.least_gateways)
            assert_true(spent >= ALLOWANCE / 2);
    }
}

static void a_gateway_without_seeds_in_its_settings_counts_what_it_knows(void **state)
{
    assert_int_equal(budget_fleet_gateways(&(struct budget_fleet){7, 4, 0, 0}), 7);
    assert_int_equal(budget_fleet_gateways(&(struct budget_fleet){1, 4, 0, 0}), 4);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_start_in_any_partition_keeps_the_allowance),
        cmocka_unit_test(without_a_partition_most_of_the_allowance_is_used),
        cmocka_unit_test(a_gateway_without_seeds_in_its_settings_counts_what_it_knows),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * The shared repeat budget while gateways end and start again in series. A process that starts
 * knows nothing of the repeats of the one before it, and the load of a gateway that is down moves
 * to the others. The sum over all processes is checked in every window of the platform's rule.
 */
#include "testing.h"

#include "core/random.h"
#include "core/retry/repeat_budget.h"

#include <stdlib.h>

#define SECOND_US 1000000ULL
#define STEP_US 10000ULL
#define STEPS_PER_SECOND 100
#define SECONDS 60
#define STEPS (SECONDS * STEPS_PER_SECOND)
#define WINDOW_STEPS (10 * STEPS_PER_SECOND)
#define MAX_GATEWAYS 39
/** A process knows the other gateways from this time after its start. */
#define SETTLE_STEPS 60
/** Faults begin then: all processes have been up for longer than a window. */
#define FIRST_FAULT_STEP (2 * WINDOW_STEPS)
#define SEEDS 36
/** Spells in which requests fail begin this long before a fault, and last this long. */
#define SPELL_BEFORE_STEPS 50
#define SPELL_STEPS 300

static const struct repeat_budget_settings settings = {
    .ratio = 0.2, .allowance = 106, .window_us = 10 * SECOND_US};

enum fault {
    FAULT_RESTART_ALL,
    FAULT_ROLLING,
    FAULT_KILL_HALF,   /* one half and the other in turn */
    FAULT_UNREACHABLE, /* the same, but the processes go on without clients */
};

struct play {
    uint32_t gateways;
    enum fault fault;
    uint32_t every_steps; /* from one fault to the next */
    uint32_t down_steps;  /* time for which a gateway that ended is down */
    uint32_t per_s;       /* requests of all clients in steady traffic */
    bool bursts;          /* traffic changes every few seconds */
    bool spells;          /* requests fail only in spells, each of which begins before a fault */
};

struct gateway {
    struct repeat_budget budget;
    uint32_t started_step;
    uint32_t up_at; /* step at which clients reach it again; 0: they do */
};

struct world {
    const struct play *play;
    struct random_stream random;
    struct gateway gateways[MAX_GATEWAYS];
    uint32_t next_rolling;
    uint32_t requests[STEPS];
    uint32_t repeats[STEPS];
};

static uint64_t time_of(uint32_t step)
{
    return 1000 * SECOND_US + step * STEP_US;
}

static void start(struct gateway *gateway, uint32_t step)
{
    repeat_budget_init(&gateway->budget, &settings, time_of(step));
    gateway->started_step = step;
}

static void end(struct world *world, uint32_t number, uint32_t step)
{
    struct gateway *gateway = &world->gateways[number];
    if (!gateway->up_at)
        gateway->up_at = step + world->play->down_steps;
}

static void inject_fault(struct world *world, uint32_t step)
{
    const struct play *play = world->play;
    if (step < FIRST_FAULT_STEP || (step - FIRST_FAULT_STEP) % play->every_steps)
        return;
    if (play->fault == FAULT_ROLLING) {
        end(world, world->next_rolling++ % play->gateways, step);
        return;
    }
    bool second_half = (step - FIRST_FAULT_STEP) / play->every_steps % 2;
    for (uint32_t i = 0; i < play->gateways; i++)
        if (play->fault == FAULT_RESTART_ALL || (i < play->gateways / 2) == second_half)
            end(world, i, step);
}

static void start_due(struct world *world, uint32_t step)
{
    for (uint32_t i = 0; i < world->play->gateways; i++) {
        struct gateway *gateway = &world->gateways[i];
        if (!gateway->up_at || gateway->up_at > step)
            continue;
        gateway->up_at = 0;
        if (world->play->fault != FAULT_UNREACHABLE)
            start(gateway, step);
    }
}

/* \return a gateway that is up, by chance, or NULL if none is */
static struct gateway *choose_gateway(struct world *world)
{
    uint32_t first = (uint32_t)random_below(&world->random, world->play->gateways);
    for (uint32_t i = 0; i < world->play->gateways; i++) {
        struct gateway *gateway = &world->gateways[(first + i) % world->play->gateways];
        if (!gateway->up_at)
            return gateway;
    }
    return NULL;
}

static uint32_t arrivals(struct world *world, uint32_t step)
{
    uint32_t per_s = world->play->per_s;
    if (world->play->bursts)
        per_s = per_s * (1 + step / (7 * STEPS_PER_SECOND) % 3) / 3;
    return (uint32_t)(random_below(&world->random, STEPS_PER_SECOND) + per_s) / STEPS_PER_SECOND;
}

static bool is_failing(const struct play *play, uint32_t step)
{
    uint32_t since_spell = step + SPELL_BEFORE_STEPS + WINDOW_STEPS * play->every_steps;
    return !play->spells || (since_spell - FIRST_FAULT_STEP) % play->every_steps < SPELL_STEPS;
}

/* A request arrives. If it fails, it asks for repeats as long as there are any. */
static void receive(struct world *world, uint32_t step)
{
    struct gateway *gateway = choose_gateway(world);
    if (!gateway)
        return;
    bool is_settled = step >= gateway->started_step + SETTLE_STEPS;
    struct budget_share share = {is_settled ? world->play->gateways : 0,
                                 (uint32_t)(gateway - world->gateways)};
    repeat_budget_earn(&gateway->budget, time_of(step));
    world->requests[step]++;
    while (is_failing(world->play, step) &&
           repeat_budget_spend(&gateway->budget, time_of(step), &share))
        world->repeats[step]++;
}

static uint32_t sum(const uint32_t counts[STEPS], uint32_t first)
{
    uint32_t total = 0;
    for (uint32_t i = first; i < first + WINDOW_STEPS; i++)
        total += counts[i];
    return total;
}

static uint32_t max_of(uint32_t left, uint32_t right)
{
    return left > right ? left : right;
}

/* The requests that count are those of the window, of the one before it, or of the one half a
 * window earlier, whichever holds the most. */
static void check_windows(const struct world *world)
{
    for (uint32_t first = WINDOW_STEPS; first + WINDOW_STEPS <= STEPS; first += 7) {
        uint32_t requests = max_of(sum(world->requests, first),
                                   max_of(sum(world->requests, first - WINDOW_STEPS),
                                          sum(world->requests, first - WINDOW_STEPS / 2)));
        uint32_t repeats = sum(world->repeats, first);
        if (repeats > settings.ratio * requests + settings.allowance)
            fail_msg("fault %d each %u steps: %u repeats for %u requests from step %u on",
                     world->play->fault, world->play->every_steps, repeats, requests, first);
    }
}

static void run(const struct play *play, uint64_t seed)
{
    struct world *world = calloc(1, sizeof *world);
    world->play = play;
    world->random = (struct random_stream){seed, 0};
    for (uint32_t i = 0; i < play->gateways; i++)
        start(&world->gateways[i], 0);
    for (uint32_t step = 0; step < STEPS; step++) {
        inject_fault(world, step);
        start_due(world, step);
        for (uint32_t i = arrivals(world, step); i > 0; i--)
            receive(world, step);
    }
    check_windows(world);
    free(world);
}

static void explore(struct play play)
{
    static const uint32_t fleets[] = {2, 9, 39};
    static const uint32_t rates[] = {30, 100, 600};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        play.gateways = fleets[seed % 3];
        play.per_s = rates[seed / 3 % 3];
        play.bursts = seed % 2;
        play.spells = seed / 9 % 2;
        run(&play, seed);
    }
}

static void any_number_of_restarts_of_all_keeps_the_bound(void **state)
{
    static const uint32_t every[] = {100, 150, 300, 500, 900};
    for (uint32_t i = 0; i < sizeof every / sizeof every[0]; i++)
        explore((struct play){
            .fault = FAULT_RESTART_ALL, .every_steps = every[i], .down_steps = 1 + 49 * (i % 2)});
}

static void rolling_restarts_keep_the_bound(void **state)
{
    static const uint32_t every[] = {10, 30, 100};
    for (uint32_t i = 0; i < sizeof every / sizeof every[0]; i++)
        explore((struct play){.fault = FAULT_ROLLING, .every_steps = every[i], .down_steps = 50});
}

static void load_that_moves_from_killed_gateways_keeps_the_bound(void **state)
{
    static const uint32_t every[] = {200, 500, 1000};
    for (uint32_t i = 0; i < sizeof every / sizeof every[0]; i++)
        explore((struct play){
            .fault = FAULT_KILL_HALF, .every_steps = every[i], .down_steps = every[i]});
}

static void load_that_moves_between_gateways_keeps_the_bound(void **state)
{
    static const uint32_t every[] = {200, 500, 1000};
    for (uint32_t i = 0; i < sizeof every / sizeof every[0]; i++)
        explore((struct play){
            .fault = FAULT_UNREACHABLE, .every_steps = every[i], .down_steps = every[i]});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(any_number_of_restarts_of_all_keeps_the_bound),
        cmocka_unit_test(rolling_restarts_keep_the_bound),
        cmocka_unit_test(load_that_moves_from_killed_gateways_keeps_the_bound),
        cmocka_unit_test(load_that_moves_between_gateways_keeps_the_bound),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

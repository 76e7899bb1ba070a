/**
 * Random walks through the worlds of weight_install_world.h, followed by calm, at the end of which
 * the engine has to have the newest version, whole.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_WALK_H
#define SHUNTRUN_WEIGHT_INSTALL_WALK_H

#include "core/random.h"
#include "testing.h"
#include "weight_install_world.h"

#define WALK_STEPS 300
/** Steps within which an engine without further failures has the newest version: all calls in doubt
 *  live for 6 units of time, and each unit takes some dozen steps. */
#define CALM_ROUNDS 60

static const struct world_options walked = {.budget = {.ticks = 60,
                                                       .names = 6,
                                                       .late = 6,
                                                       .lost = 6,
                                                       .loader_restarts = 2,
                                                       .engine_crashes = 2,
                                                       .engine_replacements = 1,
                                                       .new_starts = 2,
                                                       .power_losses = 1,
                                                       .bad_pieces = 2},
                                            .prompt = true,
                                            .stale_reports = true};

/* What is under way is answered, reports come, time passes; an engine that leaves has ended. */
static void stay_calm(struct world *world, const struct world_options *options)
{
    if (world->engine.leaving) {
        world->left.new_starts = 1;
        world_step(world, options, WORLD_ENGINE_STARTS_AGAIN);
    }
    static const enum world_step steps[] = {WORLD_STAGE_ANSWERED, WORLD_ORDER_ANSWERED,
                                            WORLD_WEIGHTS_LOADED, WORLD_REPORT_READ,
                                            WORLD_REPORT_DELIVERED};
    for (int repeats = 0; repeats < 2 * WORLD_PIECES + 2; repeats++)
        for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
            world_step(world, options, steps[i]);
    world->left.ticks = 1;
    world_step(world, options, WORLD_TIME_PASSES);
}

/* \param steps those that may come are the first ones of enum world_step */
static void play_walk(struct world *world, const struct world_options *options, uint64_t steps,
                      uint64_t seed)
{
    struct random_stream random = {.seed = seed};
    world_begin(world, options);
    for (int i = 0; i < WALK_STEPS && !world->broken; i++)
        world_step(world, options, (enum world_step)random_below(&random, steps));
    for (int i = 0; i < CALM_ROUNDS && world->engine.version < world->named && !world->broken; i++)
        stay_calm(world, options);
}

static void walk(const struct world_options *options, uint64_t steps, uint64_t seed)
{
    struct world world;
    play_walk(&world, options, steps, seed);
    if (world.broken || world.engine.version != world.named)
        print_message("seed %llu: %s, version %llu of %llu\n", (unsigned long long)seed,
                      world.broken ? "not whole" : "whole",
                      (unsigned long long)world.engine.version, (unsigned long long)world.named);
    assert_false(world.broken);
    assert_int_equal(world.engine.version, world.named);
}

#endif

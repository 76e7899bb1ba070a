/**
 * Random walks through the states of weight_install_sim.h, followed by a phase without failures, at
 * the end of which the engine must run the newest version with valid weights.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_WALK_H
#define SHUNTRUN_WEIGHT_INSTALL_WALK_H

#include "core/random.h"
#include "testing.h"
#include "weight_install_sim.h"

#define WALK_STEPS 300
/** Rounds without failures within which the engine runs the newest version: each round is one unit
 * of time and some dozen steps, and the lifetime of calls in doubt is 6 units. */
#define FAILURE_FREE_ROUNDS_MAX 60

static const struct sim_options walk_options = {.budget = {.ticks = 60,
                                                           .announcements = 6,
                                                           .delayed = 6,
                                                           .lost = 6,
                                                           .loader_restarts = 2,
                                                           .engine_crashes = 2,
                                                           .engine_replacements = 1,
                                                           .unnoticed_restarts = 2,
                                                           .power_losses = 1,
                                                           .corrupted_pieces = 2},
                                                .prompt_stage_calls = true,
                                                .stale_reports = true};

/* Calls under way are answered, reports delivered, and one unit of time passes. An engine that is
 * shutting down restarts first. */
static void run_failure_free_round(struct sim *sim, const struct sim_options *options)
{
    if (sim->engine.leaving) {
        sim->budget_left.unnoticed_restarts = 1;
        sim_step(sim, options, SIM_ENGINE_RESTARTS_UNNOTICED);
    }
    static const enum sim_step steps[] = {SIM_STAGE_CALL_ANSWERED, SIM_ORDER_ANSWERED,
                                          SIM_WEIGHTS_LOADED, SIM_REPORT_SENT,
                                          SIM_REPORT_DELIVERED};
    for (int repeats = 0; repeats < 2 * SIM_PIECES + 2; repeats++)
        for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
            sim_step(sim, options, steps[i]);
    sim->budget_left.ticks = 1;
    sim_step(sim, options, SIM_TIME_PASSES);
}

/* \param steps number of values of enum sim_step, from the first, that may be drawn */
static void run_walk(struct sim *sim, const struct sim_options *options, uint64_t steps,
                     uint64_t seed)
{
    struct random_stream random = {.seed = seed};
    sim_init(sim, options);
    for (int i = 0; i < WALK_STEPS && !sim->violated; i++)
        sim_step(sim, options, (enum sim_step)random_below(&random, steps));
    for (int i = 0; i < FAILURE_FREE_ROUNDS_MAX && sim->engine.version < sim->announced_version &&
                    !sim->violated;
         i++)
        run_failure_free_round(sim, options);
}

static void check_walk(const struct sim_options *options, uint64_t steps, uint64_t seed)
{
    struct sim sim;
    run_walk(&sim, options, steps, seed);
    if (sim.violated || sim.engine.version != sim.announced_version)
        print_message("seed %llu: %s, version %llu of %llu\n", (unsigned long long)seed,
                      sim.violated ? "invariant violated" : "invariant held",
                      (unsigned long long)sim.engine.version,
                      (unsigned long long)sim.announced_version);
    assert_false(sim.violated);
    assert_int_equal(sim.engine.version, sim.announced_version);
}

#endif

/**
 * The command line of `shuntrun simulate`.
 */
#ifndef SHUNTRUN_SIMULATE_OPTIONS_H
#define SHUNTRUN_SIMULATE_OPTIONS_H

#include "sim/rollout/rollout_sim.h"
#include "sim/scenario_run.h"

#include <stdbool.h>
#include <stdint.h>

struct simulate_options {
    struct rollout_options rollout;
    bool json;
    uint32_t neighbours; /**< from here to `budget`: override the derived settings when not 0 */
    uint32_t downloads;
    uint32_t uploads;
    uint64_t announce_ms;
    uint32_t budget;
    struct scenario_run scenario; /**< `scenario.scenario` is NULL for a rollout */
};

/** \brief Set the defaults, then what the arguments say. A usage error ends the process with 2. */
void simulate_options_parse(struct simulate_options *options, int argc, char **argv);

/** \brief Name of a strategy on the command line and in the output. */
const char *simulate_strategy_name(enum rollout_strategy strategy);

#endif

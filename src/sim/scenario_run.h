/**
 * Runs fleet scenarios over ranges of seeds.
 */
#ifndef SHUNTRUN_SCENARIO_RUN_H
#define SHUNTRUN_SCENARIO_RUN_H

#include "base/status.h"
#include "sim/fleet/fleet_sim.h"

struct scenario_run {
    const char *scenario; /**< a name, or "all" */
    const char *fleet;    /**< "brief", "matchmaking", "large" or "small" */
    uint32_t gateways;    /**< this and the next override the fleet's number when not 0 */
    uint32_t engines;
    double large_tenant_share;
    double slow_engine_share;
    balance_choose *balance;
    double rate;
    double seconds;
    uint64_t first_seed;
    uint64_t last_seed;
    uint64_t enabled_faults;
    enum fleet_mutation mutation;
    const char *record; /**< file for the session of one seed; NULL: none */
    bool json;
};

/**
 * \brief Run all seeds and print a summary. For the first failing seed of a scenario, also print
 * faults that suffice to reproduce the failure and the command that does. \return exit status:
 * 0 without violations, 1 with, 2 for an unknown name
 */
int scenario_run(const struct scenario_run *run);

/** \brief Set the options of one run. \return STATUS_NOT_FOUND for an unknown scenario or fleet */
enum status scenario_options(const struct scenario_run *run, const char *scenario, uint64_t seed,
                             struct fleet_sim_options *options);

#endif

/**
 * Runs of fleet scenarios over many seeds, their recorded sessions and replay.
 *
 * A recorded session is a text file: a head that names the scenario, seed, fleet, mutation and
 * faults, then one line for each event. Replay runs it again and compares line by line.
 */
#ifndef SHUNTRUN_SCENARIO_RUN_H
#define SHUNTRUN_SCENARIO_RUN_H

#include "base/status.h"
#include "sim/fleet/fleet_sim.h"

struct scenario_run {
    const char *scenario; /**< a name, or "all" */
    const char *fleet;    /**< "brief", "matchmaking", "large" or "small" */
    uint32_t gateways;    /**< these override the fleet's, when not 0 */
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
 * \brief Run all seeds, print a summary, and for a failing seed the faults that suffice and the
 *        command that runs it again.
 * \return exit status: 0 without violations, 1 with, 2 for an unknown name
 */
int scenario_run(const struct scenario_run *run);

/** \brief Options of one run. \return STATUS_NOT_FOUND for an unknown scenario or fleet */
enum status scenario_options(const struct scenario_run *run, const char *scenario, uint64_t seed,
                             struct fleet_sim_options *options);

/** \brief Write a session to a stream. */
struct fleet_sim_result scenario_record(const struct scenario_run *run, const char *scenario,
                                        uint64_t seed, FILE *stream);

/** `shuntrun replay FILE` */
int replay_main(int argc, char **argv);

#endif

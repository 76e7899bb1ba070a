/**
 * Records and replays sessions of fleet scenarios.
 *
 * A recorded session is a text file: a header line with the scenario, fleet, seed, mutation and
 * fault mask, then one line for each event. Replay runs the simulation again and compares its
 * output line by line.
 */
#ifndef SHUNTRUN_SESSION_H
#define SHUNTRUN_SESSION_H

#include "sim/scenario_run.h"

#include <stdio.h>

/** \brief Run one seed and write its session to a stream. */
struct fleet_sim_result session_record(const struct scenario_run *run, const char *scenario,
                                       uint64_t seed, FILE *stream);

/** \brief Main function of `shuntrun replay FILE`. */
int replay_main(int argc, char **argv);

#endif

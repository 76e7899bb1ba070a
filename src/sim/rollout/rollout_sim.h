/**
 * Simulates a whole rollout of weights on a virtual clock, with the real chunk scheduling of
 * core/swarm/swarm.
 *
 * Links: every machine has one link for both directions, which transfers whole chunks in FIFO
 * order. A transfer takes time on the links of both ends, and so do control messages and chunk
 * requests. A machine transfers `machine_copies_per_window` copies in total in a window, the origin
 * sends `origin_copies_per_window`. The network stores and forwards each chunk, so one hop takes
 * two chunk times. Delays are added by zone and region.
 */
#ifndef SHUNTRUN_ROLLOUT_SIM_H
#define SHUNTRUN_ROLLOUT_SIM_H

#include "core/swarm/swarm.h"

#include <stdbool.h>
#include <stdint.h>

enum rollout_strategy {
    STRATEGY_SWARM,
    STRATEGY_ORIGIN_ONLY,  /**< every machine reads all chunks from the origin */
    STRATEGY_TREE,         /**< a binary tree of whole copies */
    STRATEGY_CHUNKED_TREE, /**< a binary tree, each chunk forwarded as soon as it is received */
};

/** Faults of a run; shares are of machines or transfers, times are shares of the window. */
struct rollout_faults {
    double die;         /**< machines that crash at random times and do not restart */
    double restart;     /**< machines that restart at random times and lose their chunks */
    double stall;       /**< machines whose link stalls at a random time and does not recover */
    double pause;       /**< machines that are paused for 2 to 32 s */
    double shuffle;     /**< messages and chunks that are delayed; half of these are duplicated */
    double corrupt;     /**< transfers whose bytes are corrupted */
    double origin_down; /**< length of an outage of the origin at a random time */
    double change;      /**< time at which a new version is published; 0: never */
    double shared;      /**< chunks that the new version shares with the old one */
    double partition;   /**< length of a partition between regions at a random time */
};

/** A rule that is disabled on purpose, to test that the checker detects its absence. */
enum rollout_mutation {
    ROLLOUT_MUTATION_NONE,
    ROLLOUT_MUTATION_IGNORE_DIGEST, /**< accept any bytes as the requested chunk */
    ROLLOUT_MUTATION_LOAD_EARLY,    /**< load with one chunk missing */
};

struct rollout_options {
    uint32_t machines;
    uint32_t zones;
    uint32_t regions;
    uint64_t model_bytes;
    uint64_t chunk_bytes;
    double origin_copies_per_window;
    double machine_copies_per_window;
    double window_seconds;
    double zone_delay_seconds;   /**< one way, between zones of a region */
    double region_delay_seconds; /**< one way, between regions */
    enum rollout_strategy strategy;
    uint64_t seed;
    struct rollout_faults faults;
    struct swarm_settings swarm;
    enum rollout_mutation mutation;
    double limit_windows; /**< time limit of the run, in windows */
};

struct rollout_result {
    bool finished;
    const char *reason; /**< why it is not finished, "" otherwise */
    uint32_t survivors;
    uint32_t serving;
    double time_to_half_seconds;
    double time_to_n_seconds;
    double lower_bound_seconds;
    uint64_t origin_bytes;
    uint64_t origin_bytes_newest; /**< of chunks that only the newest version has */
    uint64_t peer_bytes;
    uint64_t chunks_rejected;
    uint64_t timeouts;
    uint64_t refusals;
    uint64_t events;
    uint64_t violations; /**< loads of partial or mixed versions; must be 0 */
    double control_bytes_per_machine_per_second;
    double max_control_bytes_per_second; /**< of the machine with the most */
};

/** \brief Defaults: 300 machines, 3 regions of 2 zones, 2,200 chunks, a window of 300 s. */
struct rollout_options rollout_options_default(void);

/** \brief Settings of the chunk scheduling, derived from the link rates of `options`. */
struct swarm_settings rollout_swarm_settings(const struct rollout_options *options);

/** \brief Run a simulation to its end; the same options give the same result. */
struct rollout_result rollout_simulate(const struct rollout_options *options);

/**
 * \brief Lower bound on the time of any schedule, in seconds: the greater of the time of one copy
 *        on the origin's link and of (2N - K) copies on N machine links, where K is the origin's
 *        budget.
 */
double rollout_lower_bound(const struct rollout_options *options);

#endif

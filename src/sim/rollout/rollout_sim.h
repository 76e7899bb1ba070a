/**
 * A whole rollout of weights on a virtual clock, with the real chunk scheduling of core/swarm.
 *
 * Links: every machine has one link that is shared for in and out and sends whole chunks first in,
 * first out; both ends of a transfer pay for it, and control messages and chunk requests pay too. A
 * machine moves `machine_copies_per_window` copies in all in the window, the origin gives
 * `origin_copies_per_window`. A chunk is stored by the network between the two links, so one hop
 * takes two chunk times. Delays are added by zone and region.
 */
#ifndef SHUNTRUN_ROLLOUT_SIM_H
#define SHUNTRUN_ROLLOUT_SIM_H

#include "core/swarm.h"

#include <stdbool.h>
#include <stdint.h>

enum rollout_strategy {
    STRATEGY_SWARM,
    STRATEGY_ORIGIN_ONLY,  /**< everyone reads everything from the origin */
    STRATEGY_TREE,         /**< a binary tree of whole copies */
    STRATEGY_CHUNKED_TREE, /**< a binary tree, each chunk passed on at once */
};

/** Faults of a run; shares are of machines or transfers, times are shares of the window. */
struct rollout_faults {
    double die;         /**< machines that die at random moments and do not come back */
    double restart;     /**< machines that restart empty at random moments */
    double stall;       /**< machines whose link stalls at a random moment, for good */
    double pause;       /**< machines that stand still for a while and wake late */
    double shuffle;     /**< messages and chunks that come late, half of these twice */
    double corrupt;     /**< transfers whose bytes arrive wrong */
    double origin_down; /**< the origin is down for this long, from a random moment */
    double change;      /**< the version changes at this time; 0: it does not */
    double shared;      /**< chunks that the new version shares with the old one */
    double partition;   /**< regions are parted for this long, from a random moment */
};

/** A rule left out on purpose, so that tests see the checker turn red. */
enum rollout_mutation {
    ROLLOUT_MUTATION_NONE,
    ROLLOUT_MUTATION_IGNORE_DIGEST, /**< take any bytes for the chunk that was asked for */
    ROLLOUT_MUTATION_LOAD_EARLY,    /**< load one chunk before the last */
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
    double limit_windows; /**< the run is given up after so many windows */
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
    uint64_t violations; /**< partial or mixed versions loaded; must be 0 */
    double control_bytes_per_machine_per_second;
    double max_control_bytes_per_second; /**< of one machine */
};

/** \brief Defaults: 300 machines, 3 regions of 2 zones, 2,200 chunks, a window of 300 s. */
struct rollout_options rollout_options_default(void);

/** \brief Settings of the chunk scheduling that fit the links of `options`. */
struct swarm_settings rollout_swarm_settings(const struct rollout_options *options);

/** \brief Run to the end; the same options give the same result. */
struct rollout_result rollout_simulate(const struct rollout_options *options);

/**
 * \brief The bound that no schedule beats: the greater of one copy through the origin's link and
 *        (2N - K) copies over N machine links, K being the origin's budget.
 */
double rollout_lower_bound(const struct rollout_options *options);

#endif

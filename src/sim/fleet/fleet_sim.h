/**
 * Simulates a whole fleet on a virtual clock: gateways, agents, back ends, callers and the
 * platform. It runs the real core (node, router, executor), whose messages are serialized on every
 * hop.
 */
#ifndef SHUNTRUN_FLEET_SIM_H
#define SHUNTRUN_FLEET_SIM_H

#include "base/histogram.h"
#include "core/routing/balance.h"
#include "sim/fleet/checker.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum fleet_fault_kind {
    FLEET_KILL,          /**< a process crashes; a new one starts after `duration` */
    FLEET_PAUSE,         /**< a process is paused for `duration` and then handles what queued up */
    FLEET_ZOMBIE,        /**< a paused process is replaced at once and resumes after `duration` */
    FLEET_CUT,           /**< a machine is partitioned from all others, in both directions */
    FLEET_CUT_ZONE,      /**< a zone is partitioned from the others */
    FLEET_CUT_OUTWARD,   /**< messages from a machine are lost, messages to it are not */
    FLEET_SHUFFLE,       /**< messages are reordered and duplicated */
    FLEET_CONFIG_DOWN,   /**< the configuration service does not answer */
    FLEET_CONFIG_STALE,  /**< it serves an older revision */
    FLEET_LIST_DOWN,     /**< the machine list does not answer */
    FLEET_NEW_VERSION,   /**< the operator publishes a new version of the model */
    FLEET_MOVE_HOMES,    /**< the operator changes the machines assigned to the plain service */
    FLEET_BAD_CONFIG,    /**< the operator publishes a configuration that must be refused */
    FLEET_LEAVE,         /**< the machine list marks a machine as leaving */
    FLEET_STOP,          /**< a planned stop; a new process starts after `duration` */
    FLEET_BACKEND_STALL, /**< a back end makes no progress */
    FLEET_BACKEND_BREAK, /**< a back end closes the connections of its runs */
    FLEET_KILL_ZONE,     /**< every process of a zone crashes; new ones start after `duration` */
    FLEET_RESTART_ALL,   /**< every process but the machine's crashes and restarts within 0.5 s */
    FLEET_FAULT_KINDS
};

struct fleet_fault {
    uint64_t at; /**< microseconds */
    uint64_t duration;
    enum fleet_fault_kind kind;
    uint32_t machine; /**< or zone */
};

#define FLEET_MAX_FAULTS 64

struct fleet_scenario {
    const char *name;
    const char *description;
    const enum fleet_fault_kind *kinds; /**< terminated by FLEET_FAULT_KINDS */
    uint32_t min_faults;
    uint32_t max_faults;
};

/** \return all scenarios, the last one with a NULL name */
const struct fleet_scenario *fleet_scenarios(void);
const struct fleet_scenario *fleet_scenario_find(const char *name);
const char *fleet_fault_name(enum fleet_fault_kind kind);

/** A rule that is disabled on purpose, to test that the checker detects its absence. */
enum fleet_mutation {
    FLEET_MUTATION_NONE,
    FLEET_MUTATION_NO_KEYS,       /**< agents ignore idempotency keys */
    FLEET_MUTATION_NO_GUARD,      /**< agents run duplicates of a message */
    FLEET_MUTATION_NO_TICKETS,    /**< agents accept any ticket: incarnations are reused */
    FLEET_MUTATION_NO_DRAIN,      /**< agents accept work while draining */
    FLEET_MUTATION_NO_REVISION,   /**< nodes accept older revisions */
    FLEET_MUTATION_NO_VERSION,    /**< streams resume on any version */
    FLEET_MUTATION_EARLY_NOT_RUN, /**< gateways report "not run" for what may have run */
    FLEET_MUTATION_NO_MATCH,      /**< gateways match an answer to the newest request, not by id */
    FLEET_MUTATION_HARD_STOP,     /**< a planned stop does not wait */
    FLEET_MUTATION_COUNT
};

const char *fleet_mutation_name(enum fleet_mutation mutation);
/** \brief Find a mutation by its name. \return whether there is one */
bool fleet_mutation_find(const char *name, enum fleet_mutation *mutation);

struct fleet_sim_options {
    uint32_t gateways;
    uint32_t engines;
    uint32_t services; /**< agents of the plain service */
    uint32_t zones;    /**< each in a region of its own */
    uint32_t tenants;
    uint64_t region_delay_us;
    uint64_t client_delay_us;
    double seconds; /**< in which requests arrive */
    double rate;    /**< requests a second */
    double
        large_tenant_share;   /**< share of requests that the first tenant sends; 0: an equal one */
    double slow_engine_share; /**< share of engines that make tokens at a fourth of the speed */
    balance_choose *balance;  /**< NULL: two choices */
    bool fenced;              /**< the plain service checks fences */
    uint64_t seed;
    const struct fleet_scenario *scenario;
    uint64_t enabled_faults; /**< bit mask: fault N happens when bit N is set */
    enum fleet_mutation mutation;
    FILE *trace; /**< gets one line for each significant event; NULL: no trace */
};

struct fleet_sim_result {
    uint64_t submitted; /**< attempts */
    uint64_t done;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t broken; /**< attempts that timed out or whose connection closed without an outcome */
    uint64_t replayed;
    uint64_t resumed;
    uint64_t requests;       /**< logical requests, each with one or more attempts */
    uint64_t done_in_time;   /**< model requests done while requests arrived */
    uint64_t large_requests; /**< of the first tenant */
    uint64_t large_done;
    struct histogram latency; /**< of whole model answers, from the first attempt on */
    uint64_t events;
    uint64_t messages;
    uint64_t platform_calls;
    uint64_t peak_platform_calls; /**< in one second */
    uint64_t slowest_config_us;   /**< until in force on every undisturbed node */
    double control_bytes_per_node_per_second;
    uint32_t fault_count;
    struct fleet_fault faults[FLEET_MAX_FAULTS];
    uint64_t violation_count;
    struct violation violations[CHECKER_MAX_VIOLATIONS];
};

/** \brief The default fleet: 7 gateways, 12 engines, 4 service agents, 3 zones, 10 tenants. */
struct fleet_sim_options fleet_sim_options_default(void);

/** \brief Run a simulation to its end; the same options give the same result and trace. */
struct fleet_sim_result fleet_simulate(const struct fleet_sim_options *options);

/**
 * \brief Disable faults one by one while the run still has violations.
 * \return mask of the faults that suffice for a violation
 */
uint64_t fleet_shrink(const struct fleet_sim_options *options);

#endif

/**
 * Policy programs: restricted Lua 5.4, pure functions over tables.
 *
 * A program may define these functions; each has a default:
 *   place(model, machine)     -> weight >= 0 (0 or false: not eligible); default 1
 *   replicas(model, fleet)    -> whole number; default the model's `replicas`
 *   spread(model)             -> largest share of replicas in one zone, in (0, 1]; default 1
 *   tenant_order(tenant)      -> number, smaller has precedence; default 0
 *   may_leave(machine, fleet) -> boolean; default true
 *   rollout(model)            -> "origin-weighted" or "time-weighted"; default "origin-weighted"
 *
 * Programs have no access to io, os, load, require, random, time, coroutines or metatables.
 * Instructions and memory are limited. `pairs` iterates in sorted key order, so every node gets the
 * same result.
 */
#ifndef SHUNTRUN_POLICY_H
#define SHUNTRUN_POLICY_H

#include "base/findings.h"
#include "core/fleet.h"
#include "core/fleet_config.h"

#define POLICY_MAX_INSTRUCTIONS 2000000 /**< VM instructions of one function call */
#define POLICY_MAX_MEMORY (8u << 20)    /**< bytes of one program */

struct policy;

/** The `fleet` argument of a program. */
struct fleet_summary {
    uint32_t machines;
    uint32_t zones;
    uint32_t regions;
};

enum rollout_weighting { ROLLOUT_ORIGIN_WEIGHTED, ROLLOUT_TIME_WEIGHTED };

/**
 * \brief Compile a program and run its top level.
 * \param name chunk name: the location of findings is `name:line`
 * \return a policy, or NULL with findings
 */
struct policy *policy_create(const char *name, const char *program, struct findings *findings);
void policy_destroy(struct policy *policy);

/* If the program fails or returns an invalid result, each call adds one finding and returns its
 * default; policy_place() returns 0. */
double policy_place(struct policy *policy, const struct model_config *model,
                    const struct machine *machine, struct findings *findings);
uint32_t policy_replicas(struct policy *policy, const struct model_config *model,
                         const struct fleet_summary *fleet, struct findings *findings);
double policy_spread(struct policy *policy, const struct model_config *model,
                     struct findings *findings);
double policy_tenant_order(struct policy *policy, const struct tenant_config *tenant,
                           struct findings *findings);
bool policy_may_leave(struct policy *policy, const struct machine *machine,
                      const struct fleet_summary *fleet, struct findings *findings);
enum rollout_weighting policy_rollout(struct policy *policy, const struct model_config *model,
                                      struct findings *findings);

#endif

/**
 * Placement of models on machines, a pure function of configuration, machine list and policy. Every
 * node computes it for itself; weighted rendezvous hashing moves as few replicas as possible when
 * machines change.
 */
#ifndef SHUNTRUN_PLACEMENT_H
#define SHUNTRUN_PLACEMENT_H

#include "core/fleet.h"
#include "core/fleet_config.h"
#include "core/policy.h"

enum placement_reason {
    PLACEMENT_CHOSEN,
    PLACEMENT_NOT_ELIGIBLE, /**< the policy returned weight 0 */
    PLACEMENT_LEAVING,
    PLACEMENT_NO_FREE_ACCELERATORS, /**< accelerators are used by models placed earlier */
    PLACEMENT_ZONE_FULL,            /**< the zone has its maximum share of replicas */
    PLACEMENT_ENOUGH_REPLICAS,      /**< machines of higher rank hold all replicas */
    PLACEMENT_NO_ENGINE,            /**< a gateway, or a machine without accelerators */
};

/** Placement of one model. */
struct model_placement {
    uint32_t *targets; /**< indexes of machines, sorted; owned */
    uint32_t target_count;
    uint32_t wanted;                /**< number of replicas */
    enum placement_reason *reasons; /**< one for each machine; owned */
    enum rollout_weighting weighting;
};

struct placement {
    struct model_placement *models; /**< in the order of the configuration */
    uint32_t model_count;
};

/**
 * \brief Place every model.
 * \param policy program that sets weights, replicas and spread; NULL: defaults
 * \param findings errors of the policy are added to these
 * \return placement, to be released with placement_clear()
 */
struct placement placement_compute(const struct fleet_config *config, const struct fleet *fleet,
                                   struct policy *policy, struct findings *findings);

/** \brief Set each tenant's precedence from the policy's `tenant_order`; NULL: all equal. */
void placement_order_tenants(struct policy *policy, struct fleet_config *config,
                             struct findings *findings);

#define PLACEMENT_KEY_HOMES 3 /**< machines that may be the home of a key of a model service */

/**
 * \brief Set the key homes of every model service: the PLACEMENT_KEY_HOMES targets of its model
 *        with the highest rendezvous weights. Plain services list theirs in the configuration.
 */
void placement_assign_homes(const struct placement *placement, const struct fleet *fleet,
                            struct fleet_config *config);

/** \return whether a machine, given by its index, is a target */
bool placement_has(const struct model_placement *placement, uint32_t machine);
const char *placement_reason_text(enum placement_reason reason);
/** \return numbers of agent machines, zones and regions */
struct fleet_summary fleet_summarize(const struct fleet *fleet);
void placement_clear(struct placement *placement);

#endif

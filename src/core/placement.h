/**
 * Placement: which machines hold which models, a pure function of configuration, machine list and
 * policy. Every node computes it for itself; weighted rendezvous keeps movement minimal.
 */
#ifndef SHUNTRUN_PLACEMENT_H
#define SHUNTRUN_PLACEMENT_H

#include "core/fleet.h"
#include "core/fleet_config.h"
#include "core/policy.h"

enum placement_reason {
    PLACEMENT_CHOSEN,
    PLACEMENT_NOT_ELIGIBLE, /**< the policy gave weight 0 */
    PLACEMENT_LEAVING,
    PLACEMENT_NO_FREE_ACCELERATORS, /**< accelerators are taken by earlier models */
    PLACEMENT_ZONE_FULL,            /**< the policy's spread bounds the zone */
    PLACEMENT_ENOUGH_REPLICAS,      /**< replicas wanted are reached by better ranks */
    PLACEMENT_NO_ENGINE,            /**< a gateway, or no accelerators */
};

/** Placement of one model. */
struct model_placement {
    uint32_t *targets; /**< machine indexes, sorted; owned */
    uint32_t target_count;
    uint32_t wanted;
    enum placement_reason *reasons; /**< one for each machine; owned */
    enum rollout_weighting weighting;
};

struct placement {
    struct model_placement *models; /**< in the order of the configuration */
    uint32_t model_count;
};

/** \brief Place every model; findings of the policy are added to `findings`. */
struct placement placement_compute(const struct fleet_config *config, const struct fleet *fleet,
                                   struct policy *policy, struct findings *findings);

/** \brief Set each tenant's precedence by the policy's tenant_order. */
void placement_order_tenants(struct policy *policy, struct fleet_config *config,
                             struct findings *findings);

#define PLACEMENT_KEY_HOMES 3 /**< machines that run a model's requests under a key */

/**
 * \brief Give every model service its key homes: the best PLACEMENT_KEY_HOMES targets of its model.
 *        Plain services name theirs in the configuration.
 */
void placement_assign_homes(const struct placement *placement, const struct fleet *fleet,
                            struct fleet_config *config);

bool placement_has(const struct model_placement *placement, uint32_t machine);
const char *placement_reason_text(enum placement_reason reason);
struct fleet_summary fleet_summarize(const struct fleet *fleet);
void placement_clear(struct placement *placement);

#endif

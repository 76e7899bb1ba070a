/**
 * Selects the gateways that a loader sends the load reports of its engine to.
 *
 * Reports to all gateways would take loaders x gateways messages, most of them between regions.
 * Instead each pair of a gateway and a loader is selected by its hash: a gateway receives the load
 * of NEAR_ENGINES_PER_GATEWAY engines of its own region and FAR_ENGINES_PER_GATEWAY of all others,
 * or of all if there are fewer, whatever the size of the fleet. The selection needs no
 * coordination: it depends only on the two addresses and the number of loaders, and one more loader
 * changes few pairs.
 */
#ifndef SHUNTRUN_LOAD_TARGETS_H
#define SHUNTRUN_LOAD_TARGETS_H

#include "core/membership/membership.h"

/** Addresses that one loader reports to. */
struct load_targets {
    uint32_t *addresses; /**< gateways of the own region, then those of other regions */
    uint32_t near_count; /**< of the own region */
    uint32_t far_count;  /**< of other regions */
    uint64_t generation; /**< of the membership that the list was built from; 0: none yet */
};

/** \brief Rebuild the list if the membership has changed. */
void load_targets_refresh(struct load_targets *targets, struct membership *membership);
void load_targets_clear(struct load_targets *targets);

#endif

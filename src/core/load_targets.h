/**
 * Which gateways a loader tells the load of its engine.
 *
 * Told to everybody, loads cost the fleet loaders x gateways messages, and most of them cross a
 * link between regions. So each pair of a gateway and a loader is drawn by its hash: a gateway
 * hears of NEAR_ENGINES_PER_GATEWAY engines of its own region and of FAR_ENGINES_PER_GATEWAY of all
 * others, or of all where there are fewer, whatever the size of the fleet. The draw takes no
 * agreement: it depends on the two addresses and on the number of loaders only, and one more loader
 * moves few pairs.
 */
#ifndef SHUNTRUN_LOAD_TARGETS_H
#define SHUNTRUN_LOAD_TARGETS_H

#include "core/membership.h"

struct load_targets {
    uint32_t *addresses; /**< gateways of the own region, then those of others */
    uint32_t near_count; /**< of the own region */
    uint32_t far_count;  /**< of other regions */
    uint64_t generation; /**< of the membership that the list was made from; 0: none yet */
};

/** \brief Make the list anew where the membership has changed. */
void load_targets_refresh(struct load_targets *targets, struct membership *membership);
void load_targets_clear(struct load_targets *targets);

#endif

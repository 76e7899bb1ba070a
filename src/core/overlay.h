/**
 * Overlay network of bounded degree. Each node selects its neighbours by a symmetric weight, half
 * of them preferably in its own region, so that the selections of both ends agree
 * without coordination.
 */
#ifndef SHUNTRUN_OVERLAY_H
#define SHUNTRUN_OVERLAY_H

#include "core/member.h"

#include <stdbool.h>

struct overlay_query {
    const struct member *members;
    uint32_t member_count;
    uint64_t self;
    uint16_t region;         /**< of `self` */
    bool prefer_same_region; /**< rank members of the own region first */
    /** \return whether a member is not to be selected, for example an existing neighbour */
    bool (*excluded)(const void *context, uint64_t id);
    const void *context;
};

/** \return id of the member with the highest weight that is not excluded, 0: none */
uint64_t overlay_select_neighbour(const struct overlay_query *query);

#endif

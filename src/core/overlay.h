/**
 * Overlay of bounded degree: each node chooses its neighbours by a symmetric weight, half of them
 * near, so that choices agree in both directions without talking.
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
    bool prefer_same_region; /**< members of the own region go first */
    bool (*excluded)(const void *context, uint64_t id);
    const void *context;
};

/** \return id of the best member that is not excluded, 0 when there is none */
uint64_t overlay_select_neighbour(const struct overlay_query *query);

#endif

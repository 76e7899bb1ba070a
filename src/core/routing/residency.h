/**
 * Data residency: the regions in which a request may be processed.
 *
 * A route and a tenant may each name home regions; a request is bound by both. Backends whose
 * region is not known are never at home.
 */
#ifndef SHUNTRUN_RESIDENCY_H
#define SHUNTRUN_RESIDENCY_H

#include "core/routing/route_table.h"
#include "core/routing/zone_map.h"

#include <stdbool.h>
#include <stdint.h>

/** Allowed regions of a request. All 0: anywhere. */
struct residency {
    bool restricted;
    uint64_t regions; /**< bits of a zone map; only if `restricted` */
};

/** \brief Allow only regions that `homes` names, too; an empty list restricts nothing. */
static inline void residency_restrict(struct residency *residency, const struct zone_map *zones,
                                      const struct home_regions *homes)
{
    uint64_t named = 0;
    if (!homes->count)
        return;
    for (uint32_t i = 0; i < homes->count; i++)
        named |= zone_map_region_bit(zones, homes->names[i]);
    residency->regions = residency->restricted ? residency->regions & named : named;
    residency->restricted = true;
}

/** \return whether a request may be processed in a region. \param region its bit; 0: not known */
static inline bool residency_allows(const struct residency *residency, uint64_t region)
{
    return !residency->restricted || (residency->regions & region) != 0;
}

/** \return whether no region is allowed: no backend may process the request */
static inline bool residency_is_empty(const struct residency *residency)
{
    return residency->restricted && !residency->regions;
}

#endif

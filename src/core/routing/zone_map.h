/**
 * The zones of the platform and the regions that they belong to, as the settings list them.
 *
 * A region is also a bit, so that sets of regions are words. A zone that is not listed has no
 * region: its bit is 0, which is in no set.
 */
#ifndef SHUNTRUN_ZONE_MAP_H
#define SHUNTRUN_ZONE_MAP_H

#include <stdint.h>

/** Regions that have a bit; zones of further ones count as not listed. */
#define ZONE_MAP_MAX_REGIONS 64

struct zone_map;

/**
 * \param list "ZONE=REGION" pairs, separated by commas; other entries are ignored
 * \return owned by the caller, to be freed with zone_map_destroy()
 */
struct zone_map *zone_map_create(const char *list);
void zone_map_destroy(struct zone_map *map);
/** \return the region of a zone; "" if the zone is not listed */
const char *zone_map_region(const struct zone_map *map, const char *zone);
/** \return the bit of a zone's region; 0 if the zone is not listed */
uint64_t zone_map_zone_bit(const struct zone_map *map, const char *zone);
/** \return the bit of a region; 0 if no listed zone is in it */
uint64_t zone_map_region_bit(const struct zone_map *map, const char *region);

#endif

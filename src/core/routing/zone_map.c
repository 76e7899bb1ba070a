#include "core/routing/zone_map.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

struct zone_entry {
    char *zone;
    uint32_t region; /* index */
};

struct zone_map {
    struct zone_entry *zones;
    uint32_t zone_count;
    char *regions[ZONE_MAP_MAX_REGIONS];
    uint32_t region_count;
};

/* \return index of the region, or ZONE_MAP_MAX_REGIONS */
static uint32_t find_region(const struct zone_map *map, const char *region)
{
    for (uint32_t i = 0; i < map->region_count; i++)
        if (strcmp(map->regions[i], region) == 0)
            return i;
    return ZONE_MAP_MAX_REGIONS;
}

/* \return index of the region, which is added; ZONE_MAP_MAX_REGIONS if there is no room */
static uint32_t add_region(struct zone_map *map, const char *region)
{
    uint32_t index = find_region(map, region);
    if (index < ZONE_MAP_MAX_REGIONS || map->region_count == ZONE_MAP_MAX_REGIONS)
        return index;
    map->regions[map->region_count] = memory_strdup(region);
    return map->region_count++;
}

static void add_zone(struct zone_map *map, const char *zone, const char *region)
{
    uint32_t index = add_region(map, region);
    if (index == ZONE_MAP_MAX_REGIONS)
        return;
    map->zones = memory_realloc(map->zones, (map->zone_count + 1) * sizeof *map->zones);
    map->zones[map->zone_count++] = (struct zone_entry){memory_strdup(zone), index};
}

struct zone_map *zone_map_create(const char *list)
{
    struct zone_map *map = memory_calloc(1, sizeof *map);
    char *copy = memory_strdup(list);
    char *rest = copy;
    for (char *zone = strsep(&rest, ","); zone; zone = strsep(&rest, ",")) {
        char *equals = strchr(zone, '=');
        if (!equals || equals == zone || !equals[1])
            continue;
        *equals = 0;
        add_zone(map, zone, equals + 1);
    }
    free(copy);
    return map;
}

void zone_map_destroy(struct zone_map *map)
{
    for (uint32_t i = 0; i < map->zone_count; i++)
        free(map->zones[i].zone);
    for (uint32_t i = 0; i < map->region_count; i++)
        free(map->regions[i]);
    free(map->zones);
    free(map);
}

static const struct zone_entry *find_zone(const struct zone_map *map, const char *zone)
{
    for (uint32_t i = 0; i < map->zone_count; i++)
        if (strcmp(map->zones[i].zone, zone) == 0)
            return &map->zones[i];
    return NULL;
}

const char *zone_map_region(const struct zone_map *map, const char *zone)
{
    const struct zone_entry *entry = find_zone(map, zone);
    return entry ? map->regions[entry->region] : "";
}

uint64_t zone_map_zone_bit(const struct zone_map *map, const char *zone)
{
    const struct zone_entry *entry = find_zone(map, zone);
    return entry ? (uint64_t)1 << entry->region : 0;
}

uint64_t zone_map_region_bit(const struct zone_map *map, const char *region)
{
    uint32_t index = find_region(map, region);
    return index < ZONE_MAP_MAX_REGIONS ? (uint64_t)1 << index : 0;
}

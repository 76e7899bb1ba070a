/* Zones and regions as the settings list them. */
#include "testing.h"

#include "core/routing/zone_map.h"

#include <stdio.h>
#include <string.h>

static void zones_of_one_region_share_its_bit(void **state)
{
    struct zone_map *map = zone_map_create("a=east,b=east,c=west");
    assert_string_equal(zone_map_region(map, "b"), "east");
    assert_int_equal(zone_map_zone_bit(map, "a"), zone_map_zone_bit(map, "b"));
    assert_int_not_equal(zone_map_zone_bit(map, "a"), zone_map_zone_bit(map, "c"));
    assert_int_equal(zone_map_zone_bit(map, "c"), zone_map_region_bit(map, "west"));
    zone_map_destroy(map);
}

static void what_is_not_listed_has_no_bit(void **state)
{
    struct zone_map *map = zone_map_create(",=x,y,z=,a=east");
    assert_string_equal(zone_map_region(map, "y"), "");
    assert_int_equal(zone_map_zone_bit(map, "y"), 0);
    assert_int_equal(zone_map_zone_bit(map, "z"), 0);
    assert_int_equal(zone_map_zone_bit(map, ""), 0);
    assert_int_equal(zone_map_region_bit(map, ""), 0);
    assert_int_equal(zone_map_region_bit(map, "a"), 0);
    assert_int_equal(zone_map_zone_bit(map, "a"), 1);
    zone_map_destroy(map);
}

static void zones_of_more_regions_than_bits_count_as_not_listed(void **state)
{
    char list[4096] = "";
    for (int i = 0; i <= ZONE_MAP_MAX_REGIONS; i++)
        snprintf(list + strlen(list), sizeof list - strlen(list), "z%d=r%d,", i, i);
    struct zone_map *map = zone_map_create(list);
    char zone[8];
    for (int i = 0; i < ZONE_MAP_MAX_REGIONS; i++) {
        snprintf(zone, sizeof zone, "z%d", i);
        assert_true(zone_map_zone_bit(map, zone) == (uint64_t)1 << i);
    }
    snprintf(zone, sizeof zone, "z%d", ZONE_MAP_MAX_REGIONS);
    assert_int_equal(zone_map_zone_bit(map, zone), 0);
    zone_map_destroy(map);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(zones_of_one_region_share_its_bit),
        cmocka_unit_test(what_is_not_listed_has_no_bit),
        cmocka_unit_test(zones_of_more_regions_than_bits_count_as_not_listed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Hundreds of members of which a region is cut off, on a simulated clock and network
 * (fleet_network.h). */
#include "testing.h"

#include "core/fleet_network.h"

static void partitioned_region_rejoins(void **state)
{
    struct world *world = world_create(149, 204, 4);
    run_for(world, 4 * SECOND);
    world->partitioned_region = 2;
    run_for(world, 12 * SECOND);
    assert_int_equal(alive_at(&world->nodes[2]), 70 + (2 < world->count % REGIONS));
    world->partitioned_region = REGIONS;
    run_for(world, 8 * SECOND);
    for (uint32_t i = 0; i < world->count; i++)
        assert_int_equal(alive_at(&world->nodes[i]), world->count);
    world_destroy(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(partitioned_region_rejoins),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

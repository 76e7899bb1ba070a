/* Traffic of hundreds of idle members, and the time in which all learn that one drains, on a
 * simulated clock and network (fleet_network.h). */
#include "testing.h"

#include "core/fleet_network.h"

#include <stdio.h>

/* \return time until all live nodes know that a gateway drains, us */
static uint64_t draining_spread_time(struct world *world, uint32_t leaving)
{
    uint64_t begin = world->now;
    struct membership *membership = world->nodes[leaving].membership;
    membership_self(membership)->draining = true;
    membership_self_changed(membership);
    for (uint32_t i = 0; i < world->gateways; i++) /* as a stopping gateway does */
        if (i != leaving)
            membership_send_update(membership, i + 1);
    for (uint32_t aware = 0; aware + 1 < world->count; run_for(world, STEP_US)) {
        aware = 0;
        for (uint32_t i = 0; i < world->count; i++)
            aware +=
                i != leaving && membership_find(world->nodes[i].membership, leaving + 1)->draining;
        if (world->now > begin + 20 * SECOND)
            break;
    }
    return world->now - begin;
}

static uint64_t all_bytes(const struct world *world)
{
    uint64_t bytes = 0;
    for (uint32_t i = 0; i < world->count; i++)
        bytes += world->nodes[i].sent_bytes;
    return bytes;
}

static void large_idle_fleet_has_low_traffic_and_spreads_draining(void **state)
{
    const uint32_t gateways[] = {149, 260}, loaders[] = {204, 440};
    for (uint32_t size = 0; size < 2; size++) {
        struct world *world = world_create(gateways[size], loaders[size], 3);
        run_for(world, 7 * SECOND);
        uint64_t before = all_bytes(world);
        run_for(world, 3 * SECOND);
        double rate = (double)(all_bytes(world) - before) / 3 / world->count;
        double spread_s = (double)draining_spread_time(world, 40) / SECOND;
        printf("%u members: %.0f bytes per second and node, draining gateway known to all after "
               "%.2f s\n",
               world->count, rate, spread_s);
        assert_true(rate < 800);
        assert_true(spread_s < 4);
        world_destroy(world);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_idle_fleet_has_low_traffic_and_spreads_draining),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Recipients of a change by the operator: every node is reached soon, and none by all others. */
#include "testing.h"

#include "core/fleet_members.h"
#include "core/membership/update_targets.h"

#include <stdlib.h>

#define REVISION 50

static void each_loader_is_target_of_two_gateways_of_its_region(void **state)
{
    uint32_t told[FLEET_MEMBERS] = {0};
    for (uint32_t gateway = 0; gateway < FLEET_GATEWAYS; gateway++) {
        uint32_t count;
        struct random_stream random = {.seed = gateway};
        struct membership *membership = fleet_view_of(gateway, NULL);
        uint32_t *addresses = update_targets(membership, REVISION, &random, &count);
        for (uint32_t i = 0; i < count; i++) {
            told[addresses[i] - 1]++;
            if (addresses[i] > FLEET_GATEWAYS)
                assert_int_equal((addresses[i] - 1) % FLEET_REGIONS, gateway % FLEET_REGIONS);
        }
        free(addresses);
        membership_destroy(membership);
    }
    for (uint32_t i = FLEET_GATEWAYS; i < FLEET_MEMBERS; i++)
        assert_int_equal(told[i], 2);
    for (uint32_t i = 0; i < FLEET_GATEWAYS; i++)
        assert_true(told[i] < 15);
}

static void loader_has_no_targets(void **state)
{
    uint32_t count;
    struct random_stream random = {.seed = 1};
    struct membership *membership = fleet_view_of(FLEET_GATEWAYS, NULL);
    free(update_targets(membership, REVISION, &random, &count));
    assert_int_equal(count, 0);
    membership_destroy(membership);
}

/* With few gateways each is responsible for many loaders; no loader is left out. */
static void single_gateway_targets_all_loaders(void **state)
{
    uint32_t count;
    struct random_stream random = {.seed = 1};
    struct membership *membership = fleet_view_of(0, NULL);
    for (uint32_t i = 1; i < FLEET_GATEWAYS; i++)
        fleet_update_member(membership, i, NULL, MEMBER_DEAD);
    for (uint32_t i = FLEET_MEMBERS; i < FLEET_MEMBERS + 400; i++)
        fleet_update_member(membership, i, NULL, MEMBER_ALIVE);
    free(update_targets(membership, REVISION, &random, &count));
    assert_int_equal(count, FLEET_LOADERS + 400);
    membership_destroy(membership);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_loader_is_target_of_two_gateways_of_its_region),
        cmocka_unit_test(loader_has_no_targets),
        cmocka_unit_test(single_gateway_targets_all_loaders),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

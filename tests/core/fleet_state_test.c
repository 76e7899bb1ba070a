/* How the platform's state reaches all gateways of small and large fleets after a start of all
 * nodes. */
#include "core/fleet_state_spread.h"

static void the_state_reaches_small_fleets_while_requests_are_held(void **state)
{
    assert_spread_while_requests_are_held(15, 15, false);
    assert_spread_while_requests_are_held(15, 15, true);
}

static void the_state_reaches_large_fleets_while_requests_are_held(void **state)
{
    assert_spread_while_requests_are_held(330, 270, false);
    assert_spread_while_requests_are_held(330, 270, true);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_state_reaches_small_fleets_while_requests_are_held),
        cmocka_unit_test(the_state_reaches_large_fleets_while_requests_are_held),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The same as core.fleet_state, for the largest fleet: a program of its own, as it takes long. */
#include "core/fleet_state_spread.h"

static void the_state_reaches_the_largest_fleet_while_requests_are_held(void **state)
{
    assert_spread_while_requests_are_held(660, 540, true);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_state_reaches_the_largest_fleet_while_requests_are_held),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Selection of the version to fetch first. */
#include "testing.h"

#include "core/fetch_order.h"

#define STALL_TIMEOUT_US 100

static void the_newer_of_two_versions_learned_together_is_fetched_first(void **state)
{
    const struct fetch_state states[] = {{.wanted_at = 1000}, {.wanted_at = 1010}};
    assert_int_equal(fetch_order_select(states, 2, STALL_TIMEOUT_US, 1020), 1);
}

static void a_stalled_version_does_not_delay_others(void **state)
{
    const struct fetch_state states[] = {{.wanted_at = 1000, .progress_at = 1150},
                                         {.wanted_at = 1010}};
    assert_int_equal(fetch_order_select(states, 2, STALL_TIMEOUT_US, 1160), 0);
    assert_int_equal(fetch_order_select(states, 2, STALL_TIMEOUT_US, 1300), FETCH_ORDER_NONE);
}

static void an_older_version_that_is_half_fetched_is_finished_first(void **state)
{
    const struct fetch_state states[] = {
        {.half_fetched = true, .wanted_at = 1000, .progress_at = 1190}, {.wanted_at = 1200}};
    assert_int_equal(fetch_order_select(states, 2, STALL_TIMEOUT_US, 1200), 0);
}

static void a_complete_version_is_not_fetched_again(void **state)
{
    const struct fetch_state states[] = {
        {.wanted_at = 1190}, {.complete = true, .half_fetched = true, .progress_at = 1200}};
    assert_int_equal(fetch_order_select(states, 2, STALL_TIMEOUT_US, 1200), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_newer_of_two_versions_learned_together_is_fetched_first),
        cmocka_unit_test(a_stalled_version_does_not_delay_others),
        cmocka_unit_test(an_older_version_that_is_half_fetched_is_finished_first),
        cmocka_unit_test(a_complete_version_is_not_fetched_again),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

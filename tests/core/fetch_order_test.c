/* Which of several missing versions is fetched first. */
#include "testing.h"

#include "core/fetch_order.h"

#define PATIENCE 100

static void of_two_versions_heard_of_at_once_the_newer_goes_first(void **state)
{
    const struct fetch_state states[] = {{.wanted_at = 1000}, {.wanted_at = 1010}};
    assert_int_equal(fetch_order_first(states, 2, PATIENCE, 1020), 1);
}

static void a_version_that_does_not_come_holds_up_no_other(void **state)
{
    const struct fetch_state states[] = {{.wanted_at = 1000, .progress_at = 1150},
                                         {.wanted_at = 1010}};
    assert_int_equal(fetch_order_first(states, 2, PATIENCE, 1160), 0);
    assert_int_equal(fetch_order_first(states, 2, PATIENCE, 1300), FETCH_ORDER_NONE);
}

static void an_older_version_that_is_half_here_is_finished_first(void **state)
{
    const struct fetch_state states[] = {
        {.half_held = true, .wanted_at = 1000, .progress_at = 1190}, {.wanted_at = 1200}};
    assert_int_equal(fetch_order_first(states, 2, PATIENCE, 1200), 0);
}

static void what_is_complete_is_not_fetched(void **state)
{
    const struct fetch_state states[] = {
        {.wanted_at = 1190}, {.complete = true, .half_held = true, .progress_at = 1200}};
    assert_int_equal(fetch_order_first(states, 2, PATIENCE, 1200), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(of_two_versions_heard_of_at_once_the_newer_goes_first),
        cmocka_unit_test(a_version_that_does_not_come_holds_up_no_other),
        cmocka_unit_test(an_older_version_that_is_half_here_is_finished_first),
        cmocka_unit_test(what_is_complete_is_not_fetched),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

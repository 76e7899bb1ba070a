/* Selection of the version to fetch first. */
#include "testing.h"

#include "core/weights/fetch_order.h"

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

/* Guards against relays that fetch two versions side by side: after an outage of the store of 8 s
 * five of 76 loaders learned of version 2 some milliseconds before version 3. Relays fetched both,
 * and no engine had version 3 before its bound. A relay holds versions in the order of calls. */
static void a_relay_fetches_the_newer_of_two_versions_that_are_called_for(void **state)
{
    struct fetch_state states[] = {{.version = 3, .wanted_at = 26190},
                                   {.version = 2, .wanted_at = 26110, .progress_at = 26195}};
    for (uint64_t now = 26200; now < 28200; now += 40) {
        states[0].progress_at = now;
        states[1].progress_at = now;
        states[0].half_fetched = now >= 27200;
        assert_int_equal(fetch_order_select(states, 2, 800, now + 10), 0);
    }
    states[0].complete = true;
    assert_int_equal(fetch_order_select(states, 2, 800, 28210), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_newer_of_two_versions_learned_together_is_fetched_first),
        cmocka_unit_test(a_stalled_version_does_not_delay_others),
        cmocka_unit_test(an_older_version_that_is_half_fetched_is_finished_first),
        cmocka_unit_test(a_complete_version_is_not_fetched_again),
        cmocka_unit_test(a_relay_fetches_the_newer_of_two_versions_that_are_called_for),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

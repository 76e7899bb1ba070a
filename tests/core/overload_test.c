/* When overload lasts, and who has come back. */
#include "testing.h"

#include "core/caller_return.h"
#include "core/overload.h"

#define MS_US ((uint64_t)1000)
#define GAP_US (10 * MS_US)

/* New callers at 100 a second, of which so many in ten are refused. \return the time after them */
static uint64_t come(struct overload *overload, uint32_t callers, uint32_t refused_of_ten,
                     uint64_t now)
{
    for (uint32_t i = 0; i < callers; i++, now += GAP_US)
        overload_count(overload, i % 10 < refused_of_ten, now);
    return now;
}

static void overload_lasts_once_it_outlasts_a_return(void **state)
{
    struct overload overload = {0};
    uint64_t now = come(&overload, 200, 5, 1000 * MS_US);
    assert_false(overload_lasts(&overload, now)); /* 2 s */
    now = come(&overload, 300, 5, now);
    assert_true(overload_lasts(&overload, now));
}

static void a_few_refusals_are_no_overload(void **state)
{
    struct overload overload = {0};
    uint64_t now = come(&overload, 1000, 1, 0);
    assert_false(overload_lasts(&overload, now));
}

static void it_is_over_when_new_callers_find_places(void **state)
{
    struct overload overload = {0};
    uint64_t now = come(&overload, 600, 5, 0);
    assert_true(overload_lasts(&overload, now));
    now = come(&overload, 100, 0, now);
    assert_false(overload_lasts(&overload, now));
    now = come(&overload, 100, 5, now);
    assert_false(overload_lasts(&overload, now)); /* it begins anew */
}

static void back_ends_that_were_absent_are_not_overloaded(void **state)
{
    struct overload overload = {0};
    uint64_t now = come(&overload, 600, 9, 0);
    overload_absent(&overload);
    assert_false(overload_lasts(&overload, now));
    now = come(&overload, 200, 9, now);
    assert_false(overload_lasts(&overload, now)); /* what came together is served in 2 s */
}

static void who_has_less_time_than_others_has_come_back(void **state)
{
    struct caller_times times = {0};
    assert_false(caller_returns(&times, 6000, 0));
    assert_false(caller_returns(&times, 5990, 1));
    assert_true(caller_returns(&times, 5400, 2));
    assert_true(caller_returns(&times, 900, 3));
    assert_false(caller_returns(&times, 0, 4)); /* it does not say */
}

static void one_caller_with_much_time_is_forgotten(void **state)
{
    struct caller_times times = {0};
    uint64_t now = 0;
    caller_returns(&times, 60000, now);
    assert_true(caller_returns(&times, 6000, now + 1));
    for (int span = 0; span < 2; span++) {
        now += CALLER_RETURN_SPAN_US;
        caller_returns(&times, 6000, now);
    }
    assert_false(caller_returns(&times, 6000, now + 1));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(overload_lasts_once_it_outlasts_a_return),
        cmocka_unit_test(a_few_refusals_are_no_overload),
        cmocka_unit_test(it_is_over_when_new_callers_find_places),
        cmocka_unit_test(back_ends_that_were_absent_are_not_overloaded),
        cmocka_unit_test(who_has_less_time_than_others_has_come_back),
        cmocka_unit_test(one_caller_with_much_time_is_forgotten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

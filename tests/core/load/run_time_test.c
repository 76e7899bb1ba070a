/* The longest run of a route's requests. */
#include "testing.h"

#include "core/load/run_time.h"

static void nothing_is_known_before_the_first_run(void **state)
{
    struct run_time times = {0};
    assert_int_equal(run_time_longest_us(&times, 5000000), 0);
}

static void complete_runs(struct run_time *times, uint32_t count, uint64_t run_us, uint64_t now)
{
    for (uint32_t i = 0; i < count; i++)
        run_time_complete(times, run_us, now);
}

static void the_longest_run_counts(void **state)
{
    struct run_time times = {0};
    complete_runs(&times, RUN_TIME_MIN_RUNS, 700000, 1000000);
    run_time_complete(&times, 4900000, 2000000);
    run_time_complete(&times, 300000, 3000000);
    assert_int_equal(run_time_longest_us(&times, 3000000), 4900000);
}

static void few_runs_show_nothing(void **state)
{
    struct run_time times = {0};
    complete_runs(&times, RUN_TIME_MIN_RUNS - 1, 700000, 1000000);
    assert_int_equal(run_time_longest_us(&times, 1000000), 0);
}

/* Failure: streams of 4.8 s were taken too late, as those in progress had lasted for 2 s. */
static void runs_in_progress_do_not_show_that_runs_are_short(void **state)
{
    struct run_time times = {0};
    for (int i = 0; i < 100; i++)
        run_time_raise(&times, 2000000, 1000000);
    assert_int_equal(run_time_longest_us(&times, 1000000), 0);
}

static void a_run_in_progress_raises_the_longest_one(void **state)
{
    struct run_time times = {0};
    complete_runs(&times, RUN_TIME_MIN_RUNS, 700000, 1000000);
    run_time_raise(&times, 2000000, 1000000);
    assert_int_equal(run_time_longest_us(&times, 1000000), 2000000);
}

static void a_run_counts_for_one_to_two_windows(void **state)
{
    struct run_time times = {0};
    uint64_t begin = 1000000;
    complete_runs(&times, RUN_TIME_MIN_RUNS, 4900000, begin);
    complete_runs(&times, RUN_TIME_MIN_RUNS, 300000, begin + RUN_TIME_WINDOW_US);
    assert_int_equal(run_time_longest_us(&times, begin + RUN_TIME_WINDOW_US), 4900000);
    complete_runs(&times, RUN_TIME_MIN_RUNS, 400000, begin + 2 * RUN_TIME_WINDOW_US);
    assert_int_equal(run_time_longest_us(&times, begin + 2 * RUN_TIME_WINDOW_US), 400000);
}

static void runs_before_a_long_pause_are_forgotten(void **state)
{
    struct run_time times = {0};
    complete_runs(&times, RUN_TIME_MIN_RUNS, 4900000, 1000000);
    assert_int_equal(run_time_longest_us(&times, 1000000 + 3 * RUN_TIME_WINDOW_US), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nothing_is_known_before_the_first_run),
        cmocka_unit_test(the_longest_run_counts),
        cmocka_unit_test(few_runs_show_nothing),
        cmocka_unit_test(runs_in_progress_do_not_show_that_runs_are_short),
        cmocka_unit_test(a_run_in_progress_raises_the_longest_one),
        cmocka_unit_test(a_run_counts_for_one_to_two_windows),
        cmocka_unit_test(runs_before_a_long_pause_are_forgotten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Detection of pauses of a process, and of their kind. */
#include "testing.h"

#include "core/wake_watch.h"

#define MS ((uint64_t)1000)
#define SECOND ((uint64_t)1000000)

static void running_process_has_no_pause(void **state)
{
    struct wake_watch watch = {0};
    assert_int_equal(wake_watch_check(&watch, 900 * SECOND, 500 * SECOND).kind, WAKE_NONE);
    for (uint64_t i = 1; i < 20; i++) {
        uint64_t passed = i * 100 * MS;
        assert_int_equal(
            wake_watch_check(&watch, 900 * SECOND + passed + i % 3, 500 * SECOND + passed).kind,
            WAKE_NONE);
    }
}

static void suspension_is_the_difference_of_the_clocks(void **state)
{
    struct wake_watch watch = {0};
    wake_watch_check(&watch, 900 * SECOND, 500 * SECOND);
    struct wake wake = wake_watch_check(&watch, 905 * SECOND, 500 * SECOND + 40 * MS);
    assert_int_equal(wake.kind, WAKE_SUSPENDED);
    assert_int_equal(wake.pause_us, 5 * SECOND - 40 * MS);
    /* Each suspension is reported once. */
    assert_int_equal(wake_watch_check(&watch, 905 * SECOND + MS, 500 * SECOND + 41 * MS).kind,
                     WAKE_NONE);
    wake = wake_watch_check(&watch, 905 * SECOND + 51 * MS, 500 * SECOND + 41 * MS);
    assert_int_equal(wake.kind, WAKE_SUSPENDED);
    assert_int_equal(wake.pause_us, 50 * MS);
}

static void stopped_process_is_detected_by_time_between_checks(void **state)
{
    struct wake_watch watch = {0};
    wake_watch_check(&watch, 900 * SECOND, 500 * SECOND);
    struct wake wake = wake_watch_check(&watch, 903 * SECOND, 503 * SECOND);
    assert_int_equal(wake.kind, WAKE_STALLED);
    assert_int_equal(wake.pause_us, 3 * SECOND);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(running_process_has_no_pause),
        cmocka_unit_test(suspension_is_the_difference_of_the_clocks),
        cmocka_unit_test(stopped_process_is_detected_by_time_between_checks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

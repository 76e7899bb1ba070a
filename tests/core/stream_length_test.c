/* Estimates of stream durations. */
#include "testing.h"

#include "core/stream_length.h"

static void no_estimate_before_the_first_stream(void **state)
{
    struct stream_length length = {0};
    assert_int_equal(stream_length_expected_us(&length, 100), 0);
}

static void estimate_is_proportional_to_the_hint(void **state)
{
    struct stream_length length = {0};
    for (int i = 0; i < 50; i++) {
        stream_length_record(&length, 100, 800000);
        stream_length_record(&length, 300, 2400000);
    }
    assert_in_range(stream_length_expected_us(&length, 200), 1590000, 1610000);
    assert_in_range(stream_length_expected_us(&length, 0), 1550000, 1650000);
}

static void estimate_follows_a_change_of_speed(void **state)
{
    struct stream_length length = {0};
    for (int i = 0; i < 500; i++)
        stream_length_record(&length, 0, 1000000);
    for (int i = 0; i < 500; i++)
        stream_length_record(&length, 0, 3000000);
    assert_in_range(stream_length_expected_us(&length, 0), 2900000, 3000000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(no_estimate_before_the_first_stream),
        cmocka_unit_test(estimate_is_proportional_to_the_hint),
        cmocka_unit_test(estimate_follows_a_change_of_speed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

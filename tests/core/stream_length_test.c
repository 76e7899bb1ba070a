/* How long a stream is expected to last. */
#include "testing.h"

#include "core/stream_length.h"

static void nothing_is_expected_before_the_first_stream(void **state)
{
    struct stream_length length = {0};
    assert_int_equal(stream_length_expect(&length, 100), 0);
}

static void a_guess_counts_in_proportion(void **state)
{
    struct stream_length length = {0};
    for (int i = 0; i < 50; i++) {
        stream_length_learn(&length, 100, 800000);
        stream_length_learn(&length, 300, 2400000);
    }
    assert_in_range(stream_length_expect(&length, 200), 1590000, 1610000);
    assert_in_range(stream_length_expect(&length, 0), 1550000, 1650000);
}

static void a_change_of_speed_is_learned(void **state)
{
    struct stream_length length = {0};
    for (int i = 0; i < 500; i++)
        stream_length_learn(&length, 0, 1000000);
    for (int i = 0; i < 500; i++)
        stream_length_learn(&length, 0, 3000000);
    assert_in_range(stream_length_expect(&length, 0), 2900000, 3000000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nothing_is_expected_before_the_first_stream),
        cmocka_unit_test(a_guess_counts_in_proportion),
        cmocka_unit_test(a_change_of_speed_is_learned),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

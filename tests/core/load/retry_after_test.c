/* The Retry-After delay of refused clients. */
#include "testing.h"

#include "core/load/retry_after.h"

static const struct retry_after_settings settings = {
    .weight = 0.1, .saturation_share = 0.2, .min_ms = 500, .max_ms = 1200, .jitter_percent = 60};

static void count(struct retry_after *retry_after, uint32_t requests, uint32_t refused)
{
    for (uint32_t i = 0; i < requests; i++)
        retry_after_record(retry_after, &settings, i < refused);
}

static void short_saturation_gives_a_short_delay(void **state)
{
    struct retry_after retry_after = {0};
    assert_int_equal(retry_after_delay_ms(&retry_after, &settings, 0), 500);
    count(&retry_after, 1, 1);
    assert_in_range(retry_after_delay_ms(&retry_after, &settings, 0), 800, 900);
    count(&retry_after, 50, 0);
    assert_in_range(retry_after_delay_ms(&retry_after, &settings, 0), 500, 505);
}

static void sustained_saturation_gives_the_longest_delay(void **state)
{
    struct retry_after retry_after = {0};
    count(&retry_after, 10, 10);
    assert_int_equal(retry_after_delay_ms(&retry_after, &settings, 0), 1200);
}

static void jitter_spreads_clients(void **state)
{
    struct retry_after retry_after = {0};
    assert_int_equal(retry_after_delay_ms(&retry_after, &settings, 0.5), 650);
    count(&retry_after, 10, 10);
    assert_int_equal(retry_after_delay_ms(&retry_after, &settings, 0.5), 1560);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(short_saturation_gives_a_short_delay),
        cmocka_unit_test(sustained_saturation_gives_the_longest_delay),
        cmocka_unit_test(jitter_spreads_clients),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

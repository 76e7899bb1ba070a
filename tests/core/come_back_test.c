/* When a refused client is told to come back. */
#include "testing.h"

#include "core/come_back.h"

static const struct come_back_settings settings = {
    .weight = 0.1, .lasting_share = 0.2, .least_ms = 500, .most_ms = 1200, .spread_share = 60};

static void count(struct come_back *come_back, uint32_t requests, uint32_t refused)
{
    for (uint32_t i = 0; i < requests; i++)
        come_back_count(come_back, &settings, i < refused);
}

static void a_moment_of_fullness_is_over_soon(void **state)
{
    struct come_back come_back = {0};
    assert_int_equal(come_back_ms(&come_back, &settings, 0), 500);
    count(&come_back, 1, 1);
    assert_in_range(come_back_ms(&come_back, &settings, 0), 800, 900);
    count(&come_back, 50, 0);
    assert_in_range(come_back_ms(&come_back, &settings, 0), 500, 505);
}

static void lasting_fullness_means_a_long_wait(void **state)
{
    struct come_back come_back = {0};
    count(&come_back, 10, 10);
    assert_int_equal(come_back_ms(&come_back, &settings, 0), 1200);
}

static void clients_do_not_all_come_back_at_once(void **state)
{
    struct come_back come_back = {0};
    assert_int_equal(come_back_ms(&come_back, &settings, 0.5), 650);
    count(&come_back, 10, 10);
    assert_int_equal(come_back_ms(&come_back, &settings, 0.5), 1560);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_moment_of_fullness_is_over_soon),
        cmocka_unit_test(lasting_fullness_means_a_long_wait),
        cmocka_unit_test(clients_do_not_all_come_back_at_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

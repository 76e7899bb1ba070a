/* A slow link is told from a healthy one that several transfers share. */
#include "testing.h"

#include "core/weights/link_rate.h"

static void concurrent_transfers_do_not_make_a_link_slow(void **state)
{
    struct link_rate rate = {.nominal = 9.4};
    assert_false(link_rate_is_slow(&rate));
    for (int i = 0; i < 10; i++)
        link_rate_add(&rate, 49152, 3 * 42000, 3);
    assert_false(link_rate_is_slow(&rate));
}

static void a_narrow_link_is_slow_after_its_first_transfer(void **state)
{
    struct link_rate rate = {.nominal = 9.4};
    link_rate_add(&rate, 49152, 330000, 1);
    assert_true(link_rate_is_slow(&rate));
    link_rate_add(&rate, 49152, 0, 1); /* ignored: no duration */
    assert_true(link_rate_is_slow(&rate));
    for (int i = 0; i < 5; i++)
        link_rate_add(&rate, 49152, 42000, 1);
    assert_false(link_rate_is_slow(&rate));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(concurrent_transfers_do_not_make_a_link_slow),
        cmocka_unit_test(a_narrow_link_is_slow_after_its_first_transfer),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* How long an engine waits for its requests before it takes a new version. */
#include "testing.h"

#include "core/drain_wait.h"

static const struct drain_wait_settings settings = {.pressed_share = 0.6, .movers = 0.75};

static void an_engine_with_room_to_spare_runs_empty(void **state)
{
    assert_false(drain_wait_is_short(&settings, true, 0.4, 0, 20));
    assert_true(drain_wait_is_short(&settings, true, 0.6, 0, 20));
}

static void what_nobody_can_go_on_with_is_not_broken_off(void **state)
{
    assert_false(drain_wait_is_short(&settings, false, 0.9, 0, 20));
}

static void the_last_engines_run_empty_as_no_other_could_go_on(void **state)
{
    assert_true(drain_wait_is_short(&settings, true, 0.9, 14, 20));
    assert_false(drain_wait_is_short(&settings, true, 0.9, 15, 20));
    assert_false(drain_wait_is_short(&settings, true, 0.9, 0, 1));
    assert_true(drain_wait_is_short(&settings, true, 0.9, 0, 2));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_engine_with_room_to_spare_runs_empty),
        cmocka_unit_test(what_nobody_can_go_on_with_is_not_broken_off),
        cmocka_unit_test(the_last_engines_run_empty_as_no_other_could_go_on),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Which requests wait for a free slot, and which are refused at once. */
#include "testing.h"

#include "core/load/slot_wait.h"

static void request_waits_while_backends_are_full(void **state)
{
    assert_false(slot_wait_refuses(BACKEND_FULL, 0, 100, 10));
    assert_true(slot_wait_refuses(BACKEND_FULL, 0, 100, 100));
}

static void request_without_usable_backend_is_refused(void **state)
{
    assert_true(slot_wait_refuses(BACKEND_NONE, 0, 100, 10));
}

static void request_waits_for_a_backoff_that_ends_in_time(void **state)
{
    assert_false(slot_wait_refuses(BACKEND_NONE, 50, 100, 10));
    assert_true(slot_wait_refuses(BACKEND_NONE, 100, 100, 10));
    assert_true(slot_wait_refuses(BACKEND_NONE, 50, 100, 100));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(request_waits_while_backends_are_full),
        cmocka_unit_test(request_without_usable_backend_is_refused),
        cmocka_unit_test(request_waits_for_a_backoff_that_ends_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

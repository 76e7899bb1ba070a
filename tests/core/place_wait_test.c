/* Who waits for a place, and who is refused at once. */
#include "testing.h"

#include "core/place_wait.h"

static void a_request_waits_for_a_place_while_back_ends_are_full(void **state)
{
    assert_false(place_wait_is_over(BACKEND_FULL, 0, 100, 10));
    assert_true(place_wait_is_over(BACKEND_FULL, 0, 100, 100));
}

static void a_request_that_no_back_end_can_take_is_refused_at_once(void **state)
{
    assert_true(place_wait_is_over(BACKEND_NONE, 0, 100, 10));
}

static void a_request_waits_for_a_back_end_that_wants_requests_again_in_time(void **state)
{
    assert_false(place_wait_is_over(BACKEND_NONE, 50, 100, 10));
    assert_true(place_wait_is_over(BACKEND_NONE, 100, 100, 10));
    assert_true(place_wait_is_over(BACKEND_NONE, 50, 100, 100));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_request_waits_for_a_place_while_back_ends_are_full),
        cmocka_unit_test(a_request_that_no_back_end_can_take_is_refused_at_once),
        cmocka_unit_test(a_request_waits_for_a_back_end_that_wants_requests_again_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

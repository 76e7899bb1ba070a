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

static void waits_are_short_while_an_overload_lasts(void **state)
{
    assert_int_equal(slot_wait_us(400000, 20, false), 80000);
    assert_int_equal(slot_wait_us(400000, 20, true), SLOT_WAIT_MIN_US);
    assert_int_equal(slot_wait_us(50000, 20, false), SLOT_WAIT_MIN_US);
    assert_int_equal(slot_wait_us(0, 20, false), SLOT_WAIT_MIN_US);
}

/* Ten clients a second more than slots become free, first come first served: with a wait of 80 ms
 * all who get a slot have waited for most of it, and as many are refused. */
static void waiting_serves_nobody_more_in_an_overload(void **state)
{
    const uint64_t arrival_us = 10000, slot_us = 11111;
    uint64_t waited[2] = {0, 0};
    uint32_t served[2] = {0, 0};
    for (int lasts = 0; lasts < 2; lasts++) {
        uint64_t wait = slot_wait_us(400000, 20, lasts), free_at = 0;
        for (uint64_t arrival = 0; arrival < 20000000; arrival += arrival_us) {
            uint64_t start = free_at > arrival ? free_at : arrival;
            if (start > arrival + wait)
                continue;
            free_at = start + slot_us;
            served[lasts]++;
            waited[lasts] += start - arrival;
        }
    }
    assert_true(served[1] + 10 >= served[0]);
    assert_true(waited[0] / served[0] > 60000);
    assert_true(waited[1] / served[1] < SLOT_WAIT_MIN_US);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(request_waits_while_backends_are_full),
        cmocka_unit_test(request_without_usable_backend_is_refused),
        cmocka_unit_test(request_waits_for_a_backoff_that_ends_in_time),
        cmocka_unit_test(waits_are_short_while_an_overload_lasts),
        cmocka_unit_test(waiting_serves_nobody_more_in_an_overload),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* How long requests wait for a place, and what they may take. */
#include "testing.h"

#include "core/waiting.h"

#define MS 1000ULL

static struct waiting_terms terms_of(uint64_t deadline_ms)
{
    return (struct waiting_terms){.arrived = 100 * MS,
                                  .deadline_us = deadline_ms * MS,
                                  .longest_deadline_us = 6000 * MS,
                                  .target_us = 400 * MS,
                                  .wait_percent = 20};
}

static void a_first_attempt_is_refused_soon(void **state)
{
    struct waiting_terms terms = terms_of(6000);
    assert_false(waiting_came_back(&terms));
    assert_int_equal(waiting_until(&terms), 180 * MS);
}

static void who_came_back_waits_for_less_than_half_of_its_time(void **state)
{
    struct waiting_terms terms = terms_of(4000);
    assert_true(waiting_came_back(&terms));
    assert_int_equal(waiting_until(&terms), 1900 * MS);
}

static void without_a_deadline_nothing_shows_that_somebody_came_back(void **state)
{
    struct waiting_terms terms = terms_of(0);
    assert_false(waiting_came_back(&terms));
    assert_int_equal(waiting_until(&terms), 180 * MS);
}

static void overdue_requests_take_a_part_that_grows(void **state)
{
    struct waiting_terms terms = terms_of(4000);
    assert_false(waiting_is_overdue(&terms, 300 * MS));
    assert_true(waiting_room_share(&terms, 300 * MS) == 1);
    assert_true(waiting_is_overdue(&terms, 400 * MS));
    double early = waiting_room_share(&terms, 400 * MS);
    double late = waiting_room_share(&terms, 1800 * MS);
    assert_true(early > 0.5 && early < 0.7);
    assert_true(late > 0.9 && late < 1);
    assert_true(waiting_room_share(&terms, 2000 * MS) == 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_first_attempt_is_refused_soon),
        cmocka_unit_test(who_came_back_waits_for_less_than_half_of_its_time),
        cmocka_unit_test(without_a_deadline_nothing_shows_that_somebody_came_back),
        cmocka_unit_test(overdue_requests_take_a_part_that_grows),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

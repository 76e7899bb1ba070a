/* Which requests a stopping gateway takes, and when it ends. */
#include "testing.h"

#include "core/load/stop_plan.h"

#define S_US ((uint64_t)1000000)

static const struct stop_plan plan = {.begun_at = 100 * S_US, .grace_us = 8 * S_US};

static bool takes(uint64_t after_us, uint64_t deadline_us, uint64_t longest_us)
{
    struct run_bound bound = {deadline_us, longest_us};
    return stop_plan_takes(&plan, &bound, plan.begun_at + after_us);
}

static void a_gateway_that_does_not_stop_takes_everything(void **state)
{
    struct stop_plan none = {0};
    struct run_bound bound = {3600 * S_US, 0};
    assert_true(stop_plan_takes(&none, &bound, 100 * S_US));
}

/* Failure: whatever arrived within 3.2 s was taken, and streams of up to 6 s were cut at 7.5 s. */
static void a_request_that_cannot_end_in_time_is_not_taken(void **state)
{
    assert_true(takes(0, 6 * S_US, 0));
    assert_true(takes(1500000, 6 * S_US, 0));
    assert_false(takes(2 * S_US, 6 * S_US, 0));
    assert_false(takes(3100000, 6 * S_US, 5 * S_US));
    assert_true(takes(3100000, 2 * S_US, 0));
}

static void a_known_longest_run_bounds_the_next_one(void **state)
{
    assert_true(takes(3100000, 6 * S_US, 2 * S_US));
    assert_true(takes(3100000, 6 * S_US, 2900000));
    assert_false(takes(3100000, 6 * S_US, 3 * S_US));
}

static void the_deadline_bounds_longer_runs(void **state)
{
    assert_true(takes(3100000, 4 * S_US, 6 * S_US));
}

static void each_request_that_is_taken_ends_within_the_grace_period(void **state)
{
    for (uint64_t after = 0; after < 10 * S_US; after += 10000)
        for (uint64_t deadline = 100000; deadline <= 12 * S_US; deadline += 300000)
            if (takes(after, deadline, 0))
                assert_true(after + deadline + STOP_ANSWER_MARGIN_US <= plan.grace_us);
}

static void a_grace_period_shorter_than_the_margins_takes_nothing(void **state)
{
    struct stop_plan short_plan = {.begun_at = 100 * S_US, .grace_us = 100000};
    struct run_bound bound = {100000, 0};
    assert_false(stop_plan_takes(&short_plan, &bound, 100 * S_US));
    assert_int_equal(stop_plan_ends_by(&short_plan), 100 * S_US);
    assert_true(stop_plan_address_released(&short_plan, 100 * S_US));
}

static void answers_are_due_before_the_process_ends(void **state)
{
    assert_true(stop_plan_answers_by(&plan) < stop_plan_ends_by(&plan));
    assert_true(stop_plan_ends_by(&plan) < plan.begun_at + plan.grace_us);
}

static void the_last_gateway_names_itself_while_its_clients_are_taken(void **state)
{
    assert_true(stop_plan_names_itself(&plan, plan.begun_at));
    assert_true(stop_plan_names_itself(&plan, plan.begun_at + 4 * S_US));
    assert_false(stop_plan_names_itself(&plan, plan.begun_at + 5 * S_US));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_gateway_that_does_not_stop_takes_everything),
        cmocka_unit_test(a_request_that_cannot_end_in_time_is_not_taken),
        cmocka_unit_test(a_known_longest_run_bounds_the_next_one),
        cmocka_unit_test(the_deadline_bounds_longer_runs),
        cmocka_unit_test(each_request_that_is_taken_ends_within_the_grace_period),
        cmocka_unit_test(a_grace_period_shorter_than_the_margins_takes_nothing),
        cmocka_unit_test(answers_are_due_before_the_process_ends),
        cmocka_unit_test(the_last_gateway_names_itself_while_its_clients_are_taken),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

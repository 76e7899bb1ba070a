/* When a request is retried on another backend, and when it stays on a silent one. */
#include "testing.h"

#include "core/retry/attempt_rule.h"

static const struct attempt_facts stream = {.repeatable = true,
                                            .may_have_run = true,
                                            .begun = true,
                                            .sends = 1,
                                            .max_attempts = 2,
                                            .time_left_us = 2000000};

static void retries_stop_at_the_attempt_limit(void **state)
{
    struct attempt_facts facts = stream;
    assert_true(attempt_may_retry(&facts));
    facts.sends = 2;
    assert_false(attempt_may_retry(&facts));
}

static void refusal_to_resume_a_stream_is_not_counted(void **state)
{
    struct attempt_facts facts = stream;
    facts.sends = 3;
    facts.refusals = 2;
    assert_true(attempt_may_retry(&facts));
    facts.begun = false;
    assert_false(attempt_may_retry(&facts));
}

static void refusal_with_backoff_is_not_counted(void **state)
{
    struct attempt_facts facts = stream;
    facts.begun = false;
    facts.may_have_run = false;
    facts.sends = 3;
    facts.backoffs = 2;
    assert_true(attempt_may_retry(&facts));
    facts.backoffs = 1;
    assert_false(attempt_may_retry(&facts));
}

static void backend_crash_under_a_stream_is_not_counted(void **state)
{
    struct attempt_facts facts = stream;
    facts.sends = 3;
    facts.ended = 2;
    assert_true(attempt_may_retry(&facts));
    facts.ended = 1;
    assert_false(attempt_may_retry(&facts));
    facts.ended = 2;
    facts.begun = false;
    assert_false(attempt_may_retry(&facts));
}

static void only_repeatable_requests_are_retried_after_a_possible_run(void **state)
{
    struct attempt_facts facts = stream;
    facts.repeatable = false;
    assert_false(attempt_may_retry(&facts));
    facts.may_have_run = false;
    assert_true(attempt_may_retry(&facts));
}

static void no_retry_without_time_left(void **state)
{
    struct attempt_facts facts = stream;
    facts.time_left_us = ATTEMPT_MIN_TIME_LEFT_US - 1;
    assert_false(attempt_may_retry(&facts));
}

static void silent_backend_is_left_for_another_one(void **state)
{
    assert_int_equal(silence_choose_action(&stream, 0, true), SILENCE_LEAVE);
    assert_int_equal(silence_choose_action(&stream, PROCESS_STALL_US, true), SILENCE_LEAVE);
}

static void silent_backend_is_kept_without_an_alternative(void **state)
{
    struct attempt_facts last = stream;
    last.sends = 2;
    assert_int_equal(silence_choose_action(&stream, 0, false), SILENCE_STAY);
    assert_int_equal(silence_choose_action(&last, 0, true), SILENCE_STAY);
}

static void stalled_process_blames_no_backend(void **state)
{
    assert_int_equal(silence_choose_action(&stream, PROCESS_STALL_US + 1, true), SILENCE_STAY);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(retries_stop_at_the_attempt_limit),
        cmocka_unit_test(refusal_to_resume_a_stream_is_not_counted),
        cmocka_unit_test(refusal_with_backoff_is_not_counted),
        cmocka_unit_test(backend_crash_under_a_stream_is_not_counted),
        cmocka_unit_test(only_repeatable_requests_are_retried_after_a_possible_run),
        cmocka_unit_test(no_retry_without_time_left),
        cmocka_unit_test(silent_backend_is_left_for_another_one),
        cmocka_unit_test(silent_backend_is_kept_without_an_alternative),
        cmocka_unit_test(stalled_process_blames_no_backend),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

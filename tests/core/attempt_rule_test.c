/* When a request leaves a back end, and when it stays. */
#include "testing.h"

#include "core/attempt_rule.h"

static const struct attempt_facts stream = {.repeatable = true,
                                            .may_have_run = true,
                                            .begun = true,
                                            .sends = 1,
                                            .most = 2,
                                            .time_left = 2000000};

static void one_more_attempt_follows_up_to_the_bound(void **state)
{
    struct attempt_facts facts = stream;
    assert_true(attempt_may_follow(&facts));
    facts.sends = 2;
    assert_false(attempt_may_follow(&facts));
}

static void a_refusal_to_go_on_with_a_begun_stream_is_no_attempt(void **state)
{
    struct attempt_facts facts = stream;
    facts.sends = 3;
    facts.refusals = 2;
    assert_true(attempt_may_follow(&facts));
    facts.begun = false;
    assert_false(attempt_may_follow(&facts));
}

static void a_refusal_that_asks_for_time_is_no_attempt(void **state)
{
    struct attempt_facts facts = stream;
    facts.begun = false;
    facts.may_have_run = false;
    facts.sends = 3;
    facts.backoffs = 2;
    assert_true(attempt_may_follow(&facts));
    facts.backoffs = 1;
    assert_false(attempt_may_follow(&facts));
}

static void an_engine_that_ended_under_a_begun_stream_is_no_attempt(void **state)
{
    struct attempt_facts facts = stream;
    facts.sends = 3;
    facts.ended = 2;
    assert_true(attempt_may_follow(&facts));
    facts.ended = 1;
    assert_false(attempt_may_follow(&facts));
    facts.ended = 2;
    facts.begun = false;
    assert_false(attempt_may_follow(&facts));
}

static void what_may_have_run_is_repeated_only_if_it_may_be(void **state)
{
    struct attempt_facts facts = stream;
    facts.repeatable = false;
    assert_false(attempt_may_follow(&facts));
    facts.may_have_run = false;
    assert_true(attempt_may_follow(&facts));
}

static void nothing_follows_without_time(void **state)
{
    struct attempt_facts facts = stream;
    facts.time_left = ATTEMPT_LEAST_LEFT_US - 1;
    assert_false(attempt_may_follow(&facts));
}

static void a_silent_back_end_is_left_for_one_that_can_go_on(void **state)
{
    assert_int_equal(silence_judge(&stream, 0, true), SILENCE_LEAVES);
    assert_int_equal(silence_judge(&stream, OWN_PAUSE_US, true), SILENCE_LEAVES);
}

static void silence_is_borne_while_nobody_can_go_on(void **state)
{
    struct attempt_facts last = stream;
    last.sends = 2;
    assert_int_equal(silence_judge(&stream, 0, false), SILENCE_BORNE);
    assert_int_equal(silence_judge(&last, 0, true), SILENCE_BORNE);
}

static void a_process_that_stood_still_blames_nobody(void **state)
{
    assert_int_equal(silence_judge(&stream, OWN_PAUSE_US + 1, true), SILENCE_BORNE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_more_attempt_follows_up_to_the_bound),
        cmocka_unit_test(a_refusal_to_go_on_with_a_begun_stream_is_no_attempt),
        cmocka_unit_test(a_refusal_that_asks_for_time_is_no_attempt),
        cmocka_unit_test(an_engine_that_ended_under_a_begun_stream_is_no_attempt),
        cmocka_unit_test(what_may_have_run_is_repeated_only_if_it_may_be),
        cmocka_unit_test(nothing_follows_without_time),
        cmocka_unit_test(a_silent_back_end_is_left_for_one_that_can_go_on),
        cmocka_unit_test(silence_is_borne_while_nobody_can_go_on),
        cmocka_unit_test(a_process_that_stood_still_blames_nobody),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

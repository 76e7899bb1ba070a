/* What a node knows of the rate limit that a backend states: begin, change and end. */
#include "testing.h"

#include "core/rate/stated_rate.h"

#define MS ((uint64_t)1000)

static bool hear(struct stated_rate *rate, enum rate_statement statement, double per_s,
                 uint64_t asked_at, uint64_t now)
{
    struct heard_rate heard = {statement, per_s, asked_at};
    return stated_rate_hear(rate, &heard, now);
}

static void a_limit_holds_until_an_answer_without_it(void **state)
{
    struct stated_rate rate = {0};
    assert_false(hear(&rate, RATE_UNLIMITED, 0, 1 * MS, 2 * MS));
    assert_true(hear(&rate, RATE_LIMITED, 2.5, 3 * MS, 10 * MS));
    assert_true(rate.limited);
    assert_false(hear(&rate, RATE_LIMITED, 2.5, 4 * MS, 11 * MS));
    assert_true(hear(&rate, RATE_LIMITED, 1, 12 * MS, 13 * MS));
    assert_false(hear(&rate, RATE_UNKNOWN, 0, 14 * MS, 15 * MS));
    assert_true(rate.limited);
    assert_true(hear(&rate, RATE_UNLIMITED, 0, 16 * MS, 17 * MS));
    assert_false(rate.limited);
}

static void an_answer_from_before_the_limit_does_not_end_it(void **state)
{
    struct stated_rate rate = {0};
    hear(&rate, RATE_LIMITED, 1, 5 * MS, 10 * MS);
    assert_false(hear(&rate, RATE_UNLIMITED, 0, 9 * MS, 20 * MS));
    assert_false(hear(&rate, RATE_UNLIMITED, 0, 0, 20 * MS)); /* of unknown time */
    assert_true(rate.limited);
}

static void what_others_heard_later_counts(void **state)
{
    struct stated_rate rate = {0};
    struct stated_rate limited = {true, 3, 500 * MS}, ended = {false, 0, 900 * MS};
    assert_true(stated_rate_merge(&rate, &limited));
    assert_false(stated_rate_merge(&rate, &limited));
    assert_true(stated_rate_merge(&rate, &ended));
    assert_false(stated_rate_merge(&rate, &limited)); /* told again, late */
    assert_false(rate.limited);
}

static void an_end_counts_though_answers_in_transit_stated_the_limit(void **state)
{
    struct stated_rate rate = {0};
    struct stated_rate ended = {false, 0, 900 * MS}, earlier = {false, 0, 700 * MS};
    hear(&rate, RATE_LIMITED, 1, 800 * MS, 910 * MS);
    assert_false(stated_rate_merge(&rate, &earlier));
    assert_true(stated_rate_merge(&rate, &ended));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_limit_holds_until_an_answer_without_it),
        cmocka_unit_test(an_answer_from_before_the_limit_does_not_end_it),
        cmocka_unit_test(what_others_heard_later_counts),
        cmocka_unit_test(an_end_counts_though_answers_in_transit_stated_the_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

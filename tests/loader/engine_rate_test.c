/* The limit of an engine, as its loader hears it from reports and from gateways. */
#include "testing.h"

#include "loader/engine_rate.h"

static bool report(struct engine_rate *rate, enum rate_statement statement, double per_s,
                   uint64_t now)
{
    struct heard_rate heard = {statement, per_s, now - 1};
    return engine_rate_hear(rate, &heard, now);
}

static void a_report_ends_a_limit_that_a_report_stated(void **state)
{
    struct engine_rate rate = {0};
    assert_false(report(&rate, RATE_UNLIMITED, 0, 1000));
    assert_true(report(&rate, RATE_LIMITED, 2, 2000));
    assert_false(report(&rate, RATE_LIMITED, 2, 3000));
    assert_true(report(&rate, RATE_UNLIMITED, 0, 4000));
    assert_false(rate.stated.limited);
}

/* Guards against a limit that began and ended with each report: its engine had stated an earlier
 * one in reports, and stated this one to gateways only. */
static void a_report_does_not_end_a_limit_that_only_gateways_heard(void **state)
{
    struct engine_rate rate = {0};
    struct stated_rate told = {true, 1, 500000}, ended = {false, 0, 900000};
    report(&rate, RATE_LIMITED, 2, 2000);
    report(&rate, RATE_UNLIMITED, 0, 4000);
    assert_true(engine_rate_merge(&rate, 0, &told));
    assert_false(report(&rate, RATE_UNLIMITED, 0, 600000));
    assert_true(rate.stated.limited);
    assert_true(engine_rate_merge(&rate, 0, &ended));
    assert_false(rate.stated.limited);
}

static void a_limit_holds_for_one_start(void **state)
{
    struct engine_rate rate = {0};
    struct stated_rate told = {true, 1, 500000};
    engine_rate_set_born(&rate, 7);
    assert_false(engine_rate_merge(&rate, 6, &told));
    assert_true(engine_rate_merge(&rate, 7, &told));
    engine_rate_set_born(&rate, 8);
    assert_false(rate.stated.limited);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_report_ends_a_limit_that_a_report_stated),
        cmocka_unit_test(a_report_does_not_end_a_limit_that_only_gateways_heard),
        cmocka_unit_test(a_limit_holds_for_one_start),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

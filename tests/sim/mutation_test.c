/*
 * Guards against a checker that detects nothing: each disabled rule must cause a violation of the
 * expected invariant, on a seed that has none while the rule is in place.
 */
#include "testing.h"

#include "sim/scenario_run.h"

#include <string.h>

static void expect_violation(const char *scenario, uint64_t seed, enum fleet_mutation mutation,
                             enum invariant invariant)
{
    struct scenario_run run = {.fleet = "brief", .enabled_faults = UINT64_MAX};
    struct fleet_sim_options options;
    assert_int_equal(scenario_options(&run, scenario, seed, &options), STATUS_OK);
    struct fleet_sim_result unmutated = fleet_simulate(&options);
    assert_int_equal(unmutated.violation_count, 0);
    options.mutation = mutation;
    struct fleet_sim_result mutated = fleet_simulate(&options);
    assert_true(mutated.violation_count > 0);
    assert_int_equal(mutated.violations[0].invariant, invariant);
}

static void forgetting_keys_runs_a_request_twice(void **state)
{
    expect_violation("cut", 2, FLEET_MUTATION_NO_KEYS, INVARIANT_ONCE);
}

static void accepting_duplicates_runs_a_request_twice(void **state)
{
    expect_violation("shuffle", 1, FLEET_MUTATION_NO_GUARD, INVARIANT_ONCE);
}

static void accepting_any_ticket_runs_a_request_twice(void **state)
{
    expect_violation("kill", 11, FLEET_MUTATION_NO_TICKETS, INVARIANT_ONCE);
}

static void work_while_draining_is_detected(void **state)
{
    expect_violation("races", 2, FLEET_MUTATION_NO_DRAIN, INVARIANT_LEAVING);
}

static void older_revisions_are_detected(void **state)
{
    expect_violation("platform", 10, FLEET_MUTATION_NO_REVISION, INVARIANT_CONFIG);
}

static void answers_of_mixed_versions_are_detected(void **state)
{
    expect_violation("mixed", 27, FLEET_MUTATION_NO_VERSION, INVARIANT_ANSWER);
}

static void premature_not_run_is_detected(void **state)
{
    expect_violation("mixed", 1, FLEET_MUTATION_EARLY_NOT_RUN, INVARIANT_NOT_RUN);
}

static void answers_of_other_requests_are_detected(void **state)
{
    expect_violation("shuffle", 1, FLEET_MUTATION_NO_MATCH, INVARIANT_ANSWER);
}

static void a_stop_without_drain_is_detected(void **state)
{
    expect_violation("stops", 1, FLEET_MUTATION_HARD_STOP, INVARIANT_STOP);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(forgetting_keys_runs_a_request_twice),
        cmocka_unit_test(accepting_duplicates_runs_a_request_twice),
        cmocka_unit_test(accepting_any_ticket_runs_a_request_twice),
        cmocka_unit_test(work_while_draining_is_detected),
        cmocka_unit_test(older_revisions_are_detected),
        cmocka_unit_test(answers_of_mixed_versions_are_detected),
        cmocka_unit_test(premature_not_run_is_detected),
        cmocka_unit_test(answers_of_other_requests_are_detected),
        cmocka_unit_test(a_stop_without_drain_is_detected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

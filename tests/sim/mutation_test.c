/* Each rule left out on purpose must turn the checker red, on a seed that is green with it. */
#include "testing.h"

#include "sim/scenario_run.h"

#include <string.h>

static void expect_red(const char *scenario, uint64_t seed, enum fleet_mutation mutation,
                       enum invariant invariant)
{
    struct scenario_run run = {.fleet = "brief", .enabled_faults = UINT64_MAX};
    struct fleet_sim_options options;
    assert_int_equal(scenario_options(&run, scenario, seed, &options), STATUS_OK);
    struct fleet_sim_result green = fleet_simulate(&options);
    assert_int_equal(green.violation_count, 0);
    options.mutation = mutation;
    struct fleet_sim_result red = fleet_simulate(&options);
    assert_true(red.violation_count > 0);
    assert_int_equal(red.violations[0].invariant, invariant);
}

static void forgotten_keys(void **state)
{
    expect_red("cut", 2, FLEET_MUTATION_NO_KEYS, INVARIANT_ONCE);
}

static void doubled_requests(void **state)
{
    expect_red("shuffle", 1, FLEET_MUTATION_NO_GUARD, INVARIANT_ONCE);
}

static void reused_incarnations(void **state)
{
    expect_red("kill", 11, FLEET_MUTATION_NO_TICKETS, INVARIANT_ONCE);
}

static void work_for_a_leaving_machine(void **state)
{
    expect_red("races", 2, FLEET_MUTATION_NO_DRAIN, INVARIANT_LEAVING);
}

static void older_revisions(void **state)
{
    expect_red("platform", 10, FLEET_MUTATION_NO_REVISION, INVARIANT_CONFIG);
}

static void streams_of_two_versions(void **state)
{
    expect_red("mixed", 27, FLEET_MUTATION_NO_VERSION, INVARIANT_ANSWER);
}

static void early_words(void **state)
{
    expect_red("mixed", 1, FLEET_MUTATION_EARLY_NOT_RUN, INVARIANT_NOT_RUN);
}

static void answers_of_others(void **state)
{
    expect_red("shuffle", 1, FLEET_MUTATION_NO_MATCH, INVARIANT_ANSWER);
}

static void hard_stops(void **state)
{
    expect_red("stops", 1, FLEET_MUTATION_HARD_STOP, INVARIANT_STOP);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(forgotten_keys),      cmocka_unit_test(doubled_requests),
        cmocka_unit_test(reused_incarnations), cmocka_unit_test(work_for_a_leaving_machine),
        cmocka_unit_test(older_revisions),     cmocka_unit_test(streams_of_two_versions),
        cmocka_unit_test(early_words),         cmocka_unit_test(answers_of_others),
        cmocka_unit_test(hard_stops),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

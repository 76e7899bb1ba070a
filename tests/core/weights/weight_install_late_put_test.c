/*
 * The first put of a loader process that ended may still be in transit when the next process finds
 * an empty staging area, fills it with a newer version, and reads all pieces back. The engine
 * loaded a mix of versions when that put arrived between the last read-back and the order; a random
 * walk found this. Other nodes report when they last heard the previous process and which start of
 * the engine it knew, which distinguishes a restarted loader from a loss of power.
 */
#include "testing.h"

#include "weight_install_walk.h"

static void delayed_first_put_of_a_previous_process_does_not_corrupt_weights(void **state)
{
    check_walk(&walk_options, SIM_ENGINE_SHUTS_DOWN, 79176);
}

/* Checks that the walk still reproduces the failure when reports of other nodes are ignored. */
static void delayed_first_put_corrupts_weights_without_peer_reports(void **state)
{
    struct sim sim;
    struct sim_options options = walk_options;
    options.mutation = SIM_IGNORE_PEER_REPORTS;
    run_walk(&sim, &options, SIM_ENGINE_SHUTS_DOWN, 79176);
    assert_true(sim.violated);
}

/* Loader and engine have just restarted. No put can be in transit to an engine that started after
 * the one which the previous process reported, so the loader must not leave it empty for the
 * lifetime of a call. */
static void engine_started_after_the_predecessor_report_is_ordered_at_once(void **state)
{
    static const struct sim_options options = {.budget = {.ticks = 20, .announcements = 3}};
    for (uint64_t reported_born = 0; reported_born <= 1; reported_born++) {
        struct sim sim;
        sim_init(&sim, &options);
        sim.announced_version = 4;
        sim.engine = (struct install_engine){.born = 2};
        memset(sim.stage, 0, sizeof sim.stage);
        sim.predecessor_known = true;
        sim.heard_at = sim.now;
        sim.reported_born = reported_born;
        sim_start_loader(&sim, &options);
        sim_step(&sim, &options, SIM_REPORT_DELIVERED);
        for (int i = 0; i < 20; i++)
            sim_step(&sim, &options, SIM_STAGE_CALL_ANSWERED);
        /* If the previous process reported no start of the engine, its puts may reach this one. */
        assert_int_equal(sim.order_call.kind, reported_born ? INSTALL_ORDER : INSTALL_NO_ACTION);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(delayed_first_put_corrupts_weights_without_peer_reports),
        cmocka_unit_test(engine_started_after_the_predecessor_report_is_ordered_at_once),
        cmocka_unit_test(delayed_first_put_of_a_previous_process_does_not_corrupt_weights),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

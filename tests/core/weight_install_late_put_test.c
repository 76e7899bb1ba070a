/*
 * The first put of a loader process that ended may still be on its way when the next process finds
 * an empty stage, fills it with a newer version, and reads all pieces back. Found by a random walk:
 * the put came between the last reading and the order. Other nodes heard the earlier process: they
 * tell when, and which start of the engine it knew, so that a loss of power is told from a restart.
 */
#include "testing.h"

#include "weight_install_walk.h"

static void delayed_first_put_of_a_previous_process_does_not_mix_versions(void **state)
{
    check_walk(&walk_options, SIM_ENGINE_SHUTS_DOWN, 79176);
}

/* The walk shows what it is kept for: without the news of others it ends as it did. */
static void delayed_first_put_mixes_versions_without_peer_reports(void **state)
{
    struct sim sim;
    struct sim_options options = walk_options;
    options.mutation = SIM_IGNORE_PEER_REPORTS;
    run_walk(&sim, &options, SIM_ENGINE_SHUTS_DOWN, 79176);
    assert_true(sim.violated);
}

/* A loader that starts anew while its engine has just started: nobody's put can be on its way to
 * it, and it does not stay empty for longer than that takes. */
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
        /* It reported another start of the engine, or none: this one may have got its puts. */
        assert_int_equal(sim.order_call.kind, reported_born ? INSTALL_ORDER : INSTALL_NO_ACTION);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(delayed_first_put_mixes_versions_without_peer_reports),
        cmocka_unit_test(engine_started_after_the_predecessor_report_is_ordered_at_once),
        cmocka_unit_test(delayed_first_put_of_a_previous_process_does_not_mix_versions),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * The first put of a loader process that ended may still be on its way when the next process finds
 * an empty stage, fills it with a newer version, and reads all pieces back. Found by a random walk:
 * the put came between the last reading and the order. Other nodes heard the earlier process: they
 * tell when, and which start of the engine it knew, so that a loss of power is told from a restart.
 */
#include "testing.h"

#include "weight_install_walk.h"

static void a_first_put_of_an_earlier_process_that_comes_late_corrupts_nothing(void **state)
{
    walk(&walked, WORLD_ENGINE_LEAVES, 79176);
}

/* The walk shows what it is kept for: without the news of others it ends as it did. */
static void without_the_news_of_others_it_does(void **state)
{
    struct world world;
    struct world_options options = walked;
    options.mutation = WORLD_NOBODY_KNEW_THE_PREDECESSOR;
    play_walk(&world, &options, WORLD_ENGINE_LEAVES, 79176);
    assert_true(world.broken);
}

/* A loader that starts anew while its engine has just started: nobody's put can be on its way to
 * it, and it does not stay empty for longer than that takes. */
static void a_younger_engine_is_not_waited_for(void **state)
{
    static const struct world_options options = {.budget = {.ticks = 20, .names = 3}};
    for (uint64_t told_born = 0; told_born <= 1; told_born++) {
        struct world world;
        world_begin(&world, &options);
        world.named = 4;
        world.engine = (struct install_engine){.born = 2};
        memset(world.stage, 0, sizeof world.stage);
        world.known_before = true;
        world.heard_at = world.now;
        world.told_born = told_born;
        world_start_loader(&world, &options);
        world_step(&world, &options, WORLD_REPORT_DELIVERED);
        for (int i = 0; i < 20; i++)
            world_step(&world, &options, WORLD_STAGE_ANSWERED);
        /* It reported another start of the engine, or none: this one may have got its puts. */
        assert_int_equal(world.order_call.kind, told_born ? INSTALL_ORDER : INSTALL_WAIT);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(without_the_news_of_others_it_does),
        cmocka_unit_test(a_younger_engine_is_not_waited_for),
        cmocka_unit_test(a_first_put_of_an_earlier_process_that_comes_late_corrupts_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

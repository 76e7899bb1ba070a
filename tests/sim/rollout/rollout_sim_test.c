#include "testing.h"

#include "sim/rollout/rollout_sim.h"

#include <string.h>

#define SEEDS 4

static struct rollout_options small_fleet(void)
{
    struct rollout_options options = rollout_options_default();
    options.machines = 60;
    options.model_bytes = 200ULL << 26;
    options.swarm = rollout_swarm_settings(&options);
    return options;
}

static double origin_copies(const struct rollout_result *result,
                            const struct rollout_options *options)
{
    return (double)result->origin_bytes / (double)options->model_bytes;
}

static void the_same_arguments_give_the_same_result(void **state)
{
    struct rollout_options options = small_fleet();
    options.faults = (struct rollout_faults){.die = 0.1, .corrupt = 0.01, .change = 0.5};
    struct rollout_result first = rollout_simulate(&options);
    struct rollout_result second = rollout_simulate(&options);
    assert_memory_equal(&first, &second, sizeof first);
}

static void one_copy_leaves_the_origin_and_time_is_near_the_bound(void **state)
{
    struct rollout_options options = small_fleet();
    struct rollout_result result = rollout_simulate(&options);
    assert_true(result.finished);
    assert_int_equal(result.origin_bytes, options.model_bytes);
    assert_true(result.time_to_n_seconds < 1.15 * result.lower_bound_seconds);
    assert_true(result.time_to_n_seconds >= 0.99 * result.lower_bound_seconds);
}

static void baselines_are_slower_or_read_more_from_the_origin(void **state)
{
    struct rollout_options options = small_fleet();
    options.limit_windows = 1000;
    double swarm = rollout_simulate(&options).time_to_n_seconds;
    options.strategy = STRATEGY_ORIGIN_ONLY;
    struct rollout_result origin_only = rollout_simulate(&options);
    assert_true(origin_copies(&origin_only, &options) > 59.9);
    assert_true(origin_only.time_to_n_seconds > 10 * swarm);
    options.strategy = STRATEGY_CHUNKED_TREE;
    assert_true(rollout_simulate(&options).time_to_n_seconds > 1.2 * swarm);
    options.strategy = STRATEGY_TREE;
    assert_true(rollout_simulate(&options).time_to_n_seconds > 3 * swarm);
}

static void expect_all_survivors_serve(const struct rollout_faults *faults, double max_copies)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct rollout_options options = small_fleet();
        options.faults = *faults;
        options.seed = seed;
        struct rollout_result result = rollout_simulate(&options);
        assert_true(result.finished);
        assert_int_equal(result.serving, result.survivors);
        assert_int_equal(result.violations, 0);
        assert_true(origin_copies(&result, &options) <= max_copies);
    }
}

static void all_survivors_serve_under_every_fault(void **state)
{
    expect_all_survivors_serve(&(struct rollout_faults){.die = 0.1}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.stall = 0.1}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.corrupt = 0.01}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.origin_down = 0.33}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.restart = 0.1}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.pause = 0.2}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.shuffle = 0.1}, 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.partition = 0.5}, 2.2);
    expect_all_survivors_serve(&(struct rollout_faults){.change = 0.5}, 2 * 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.change = 0.5, .shared = 0.5}, 1.5 * 1.3);
    expect_all_survivors_serve(&(struct rollout_faults){.die = 0.1,
                                                        .restart = 0.05,
                                                        .stall = 0.1,
                                                        .pause = 0.1,
                                                        .shuffle = 0.02,
                                                        .corrupt = 0.01,
                                                        .origin_down = 0.33,
                                                        .change = 0.5,
                                                        .partition = 0.5},
                               2 * 2.2);
}

/* Guards against a checker that detects nothing. */
static void the_checker_sees_partial_and_mixed_versions(void **state)
{
    struct rollout_options options = small_fleet();
    options.mutation = ROLLOUT_MUTATION_LOAD_EARLY;
    assert_true(rollout_simulate(&options).violations > 0);
    options = small_fleet();
    options.faults.corrupt = 0.01;
    options.mutation = ROLLOUT_MUTATION_IGNORE_DIGEST;
    assert_true(rollout_simulate(&options).violations > 0);
    options.faults = (struct rollout_faults){.change = 0.5};
    assert_true(rollout_simulate(&options).violations > 0);
}

static void a_rollout_that_cannot_finish_says_so(void **state)
{
    struct rollout_options options = small_fleet();
    options.faults.origin_down = 1;
    options.limit_windows = 0.5;
    struct rollout_result result = rollout_simulate(&options);
    assert_false(result.finished);
    assert_true(strlen(result.reason) > 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_same_arguments_give_the_same_result),
        cmocka_unit_test(one_copy_leaves_the_origin_and_time_is_near_the_bound),
        cmocka_unit_test(baselines_are_slower_or_read_more_from_the_origin),
        cmocka_unit_test(all_survivors_serve_under_every_fault),
        cmocka_unit_test(the_checker_sees_partial_and_mixed_versions),
        cmocka_unit_test(a_rollout_that_cannot_finish_says_so),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

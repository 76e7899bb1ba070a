/*
 * Engines load only valid weights, for every sequence of events.
 *
 * Guards against a failure in which an engine answered with weights of which one piece was of
 * another version. Its loader had ordered one version, got no answer for 1.5 s, counted the order
 * as lost and put pieces of a newer version into the staging area; then the engine carried out the
 * order. As such sequences are easily overlooked, the test explores all of them: a breadth-first
 * search over the states of the simulation, each of which is visited once.
 */
#include "testing.h"

#include "base/memory.h"
#include "core/random.h"
#include "weight_install_walk.h"
#include "weight_install_sim_hash.h"

#include <ck_ht.h>
#include <stdio.h>
#include <stdlib.h>

/** States that one exploration visits at most. */
#define STATES_MAX 400000U
#define TRACE_LENGTH_MAX 200

struct visit {
    uint32_t parent;
    enum sim_step step;
};

struct exploration {
    struct visit *visits;
    struct sim *states;
    uint32_t count;
    bool exhausted;    /* all reachable states were visited */
    uint32_t violated; /* index of the state that violates the invariant, 0: none */
    ck_ht_t visited;
};

static void *table_allocate(size_t size)
{
    return malloc(size);
}

static void table_free(void *pointer, size_t size, bool defer)
{
    (void)size;
    (void)defer;
    free(pointer);
}

static struct ck_malloc table_memory = {.malloc = table_allocate, .free = table_free};

static bool is_new(struct exploration *exploration, uint64_t hash)
{
    ck_ht_hash_t place;
    ck_ht_entry_t entry;
    uint64_t key = hash > 1 ? hash : 2; /* the table reserves the smallest keys */
    ck_ht_hash_direct(&place, &exploration->visited, key);
    ck_ht_entry_set_direct(&entry, place, key, 1);
    return ck_ht_put_spmc(&exploration->visited, place, &entry);
}

static void add_state(struct exploration *exploration, const struct sim *sim, uint32_t parent,
                      enum sim_step step)
{
    if (exploration->count == STATES_MAX) {
        exploration->exhausted = false;
        return;
    }
    exploration->visits[exploration->count] = (struct visit){parent, step};
    exploration->states[exploration->count] = *sim;
    sim_rebind_pieces(&exploration->states[exploration->count]);
    if (sim->violated)
        exploration->violated = exploration->count;
    exploration->count++;
}

static void expand_state(struct exploration *exploration, const struct sim_options *options,
                         uint32_t index)
{
    for (int step = 0; step < SIM_STEP_COUNT && !exploration->violated; step++) {
        struct sim sim = exploration->states[index];
        sim_rebind_pieces(&sim);
        if (sim_step(&sim, options, (enum sim_step)step) && is_new(exploration, sim_hash(&sim)))
            add_state(exploration, &sim, index, (enum sim_step)step);
    }
}

static void explore(struct exploration *exploration, const struct sim_options *options)
{
    struct sim first;
    *exploration = (struct exploration){.exhausted = true};
    exploration->visits = memory_calloc(STATES_MAX, sizeof *exploration->visits);
    exploration->states = memory_calloc(STATES_MAX, sizeof *exploration->states);
    assert_true(ck_ht_init(&exploration->visited, CK_HT_MODE_DIRECT, NULL, &table_memory,
                           2 * (uint64_t)STATES_MAX, 1));
    sim_init(&first, options);
    is_new(exploration, sim_hash(&first));
    add_state(exploration, &first, 0, SIM_TIME_PASSES);
    for (uint32_t i = 0; i < exploration->count && !exploration->violated; i++)
        expand_state(exploration, options, i);
}

static void end_exploration(struct exploration *exploration)
{
    ck_ht_destroy(&exploration->visited);
    free(exploration->visits);
    free(exploration->states);
}

static void print_trace(const struct exploration *exploration)
{
    const char *announcements[TRACE_LENGTH_MAX];
    uint32_t count = 0;
    for (uint32_t i = exploration->violated; i && count < TRACE_LENGTH_MAX;
         i = exploration->visits[i].parent)
        announcements[count++] = sim_step_names[exploration->visits[i].step];
    while (count--)
        print_message("    %s\n", announcements[count]);
}

/* \return whether the engine loads invalid weights, or gets an order while shutting down, in any
 * state */
static bool violates_invariant(const char *what, const struct sim_options *options)
{
    struct exploration exploration;
    explore(&exploration, options);
    bool violated = exploration.violated != 0;
    print_message("%s: %u states%s, %s\n", what, exploration.count,
                  exploration.exhausted || violated ? "" : " (limit reached)",
                  violated ? "invariant violated by" : "invariant held");
    if (violated)
        print_trace(&exploration);
    end_exploration(&exploration);
    return violated;
}

static const struct sim_options unanswered_calls = {
    .budget = {.announcements = 2, .delayed = 2, .lost = 1}};
static const struct sim_options unanswered_calls_over_time = {
    .budget = {.ticks = 8, .announcements = 2, .delayed = 1}};
static const struct sim_options stale_reports = {
    .budget = {.announcements = 2, .delayed = 1, .lost = 1}, .stale_reports = true};
static const struct sim_options loader_restart = {
    .budget = {.ticks = 7, .announcements = 2, .loader_restarts = 1}};
static const struct sim_options engine_crash = {
    .budget = {.ticks = 2, .announcements = 2, .delayed = 1, .engine_crashes = 1}};
static const struct sim_options engine_replacement = {
    .budget = {.ticks = 2, .announcements = 2, .delayed = 1, .engine_replacements = 1}};
static const struct sim_options engine_restarts_unnoticed = {
    .budget = {.ticks = 2, .announcements = 2, .delayed = 1, .unnoticed_restarts = 2}};
static const struct sim_options engine_shutdown = {.budget = {.ticks = 2,
                                                              .announcements = 2,
                                                              .delayed = 1,
                                                              .unnoticed_restarts = 1,
                                                              .engine_shutdowns = 1}};
static const struct sim_options power_loss = {
    .budget = {.ticks = 2, .announcements = 2, .delayed = 1, .power_losses = 1}};
static const struct sim_options corrupted_pieces = {
    .budget = {.ticks = 12, .announcements = 1, .delayed = 1, .corrupted_pieces = 1},
    .prompt_stage_calls = true};
static const struct sim_options busy_engine = {
    .budget = {.ticks = 12, .announcements = 1, .delayed = 1, .corrupted_pieces = 1},
    .prompt_stage_calls = true,
    .engine_busy = true};

static void unanswered_calls_do_not_corrupt_weights(void **state)
{
    assert_false(violates_invariant("unanswered calls", &unanswered_calls));
    assert_false(
        violates_invariant("unanswered calls while time passes", &unanswered_calls_over_time));
    assert_false(violates_invariant("unanswered calls and stale reports", &stale_reports));
}

static void loader_restart_does_not_corrupt_weights(void **state)
{
    assert_false(violates_invariant("loader restart", &loader_restart));
}

static void crashed_engine_loads_only_valid_weights(void **state)
{
    assert_false(violates_invariant("engine crash", &engine_crash));
}

static void replaced_engine_loads_only_valid_weights(void **state)
{
    assert_false(violates_invariant("engine replacement", &engine_replacement));
}

static void unnoticed_engine_restart_loads_only_valid_weights(void **state)
{
    assert_false(violates_invariant("unnoticed engine restart", &engine_restarts_unnoticed));
}

static void engine_shutting_down_gets_no_order(void **state)
{
    assert_false(violates_invariant("engine shutdown", &engine_shutdown));
}

static void power_loss_does_not_corrupt_weights(void **state)
{
    assert_false(violates_invariant("power loss", &power_loss));
}

static void corrupted_piece_is_not_loaded(void **state)
{
    assert_false(violates_invariant("corrupted pieces", &corrupted_pieces));
    assert_false(violates_invariant("corrupted pieces at a busy engine", &busy_engine));
}

static void answer_stage_calls(struct sim *sim, const struct sim_options *options)
{
    while (sim->stage_call.kind != INSTALL_NO_ACTION)
        sim_step(sim, options, SIM_STAGE_CALL_ANSWERED);
}

/* The engine finishes its requests before it loads; delaying the order until it has none gains
 * nothing. */
static void engine_with_requests_is_ordered_at_its_scheduled_time(void **state)
{
    struct sim sim;
    sim_init(&sim, &busy_engine);
    sim_step(&sim, &busy_engine, SIM_VERSION_ANNOUNCED);
    answer_stage_calls(&sim, &busy_engine);
    assert_int_equal(sim.install.engine.requests, 1);
    assert_int_equal(sim.order_call.kind, INSTALL_ORDER);
}

/* Pieces put into an engine that is shutting down are lost when it ends. */
static void engine_shutting_down_gets_no_new_pieces(void **state)
{
    struct sim sim;
    sim_init(&sim, &engine_shutdown);
    sim_step(&sim, &engine_shutdown, SIM_ENGINE_SHUTS_DOWN);
    sim_step(&sim, &engine_shutdown, SIM_REPORT_DELIVERED);
    sim_step(&sim, &engine_shutdown, SIM_VERSION_ANNOUNCED);
    assert_int_equal(sim.stage_call.kind, INSTALL_NO_ACTION);
    assert_false(weight_install_is_busy(&sim.install, sim.now));
    sim_step(&sim, &engine_shutdown, SIM_ENGINE_RESTARTS_UNNOTICED);
    assert_int_equal(sim.stage_call.kind, INSTALL_PUT);
}

/* The engine may still accept an order that got no answer, and then loads the staged pieces. */
static void engine_shutting_down_keeps_a_verified_stage_while_an_order_is_in_doubt(void **state)
{
    struct sim sim;
    sim_init(&sim, &engine_shutdown);
    sim_step(&sim, &engine_shutdown, SIM_VERSION_ANNOUNCED);
    answer_stage_calls(&sim, &engine_shutdown);
    assert_true(sim_step(&sim, &engine_shutdown, SIM_ORDER_DELAYED));
    sim_step(&sim, &engine_shutdown, SIM_ENGINE_SHUTS_DOWN);
    sim_step(&sim, &engine_shutdown, SIM_REPORT_DELIVERED);
    sim_step(&sim, &engine_shutdown, SIM_TIME_PASSES);
    assert_int_equal(sim.stage_call.kind, INSTALL_READ);
}

/* A loss of power empties all staging areas and restarts all loaders. A piece that the new process
 * staged and that is corrupted afterwards is put again at once. */
static void new_process_replaces_its_own_corrupted_piece(void **state)
{
    static const struct sim_options options = {
        .budget = {.announcements = 2, .power_losses = 1, .corrupted_pieces = 1}};
    struct sim sim;
    sim_init(&sim, &options);
    sim_step(&sim, &options, SIM_VERSION_ANNOUNCED);
    sim_step(&sim, &options, SIM_VERSION_ANNOUNCED);
    sim_step(&sim, &options, SIM_POWER_LOST);
    sim_step(&sim, &options, SIM_REPORT_DELIVERED);
    while (!sim.stage[0])
        assert_true(sim_step(&sim, &options, SIM_STAGE_CALL_ANSWERED));
    assert_true(sim_step(&sim, &options, SIM_FIRST_PIECE_CORRUPTED));
    while (sim.order_call.kind == INSTALL_NO_ACTION)
        assert_true(sim_step(&sim, &options, SIM_STAGE_CALL_ANSWERED));
    assert_false(sim.corrupted_since[0]);
}

static bool violates_invariant_with(const char *what, const struct sim_options *options,
                                    enum sim_mutation mutation)
{
    struct sim_options mutated = *options;
    mutated.mutation = mutation;
    return violates_invariant(what, &mutated);
}

static void each_omitted_rule_is_detected(void **state)
{
    assert_true(violates_invariant_with("unanswered orders count as resolved", &unanswered_calls,
                                        SIM_UNANSWERED_ORDER_IS_OVER));
    assert_true(violates_invariant_with("unanswered puts count as resolved", &unanswered_calls,
                                        SIM_UNANSWERED_PUT_IS_OVER));
    assert_true(violates_invariant_with("calls of previous processes are ignored", &loader_restart,
                                        SIM_IGNORE_PREDECESSOR));
    assert_true(
        violates_invariant_with("pieces are read back once", &corrupted_pieces, SIM_VERIFY_ONCE));
    assert_true(violates_invariant_with("starts of an engine are indistinguishable",
                                        &engine_restarts_unnoticed, SIM_IDENTICAL_ENGINE_STARTS));
    assert_true(violates_invariant_with("verification outlives the engine", &engine_replacement,
                                        SIM_VERIFICATION_OUTLIVES_ENGINE));
}

/* --- random walks, for state spaces too large to explore -------------------------------------- */

/* SHUNTRUN_WALKS overrides the number of walks, which is small by default to keep test runs short.
 */
static void check_walks(const struct sim_options *options, uint64_t steps)
{
    const char *walks = getenv("SHUNTRUN_WALKS");
    uint64_t count = walks ? strtoull(walks, NULL, 10) : 5000;
    for (uint64_t seed = 1; seed <= count; seed++)
        check_walk(options, steps, seed);
    print_message("%llu walks\n", (unsigned long long)count);
}

static void random_walks_end_with_the_newest_version(void **state)
{
    check_walks(&walk_options, SIM_ENGINE_SHUTS_DOWN);
}

/* After a shutdown, the next start of the engine gets the newest version. */
static void random_walks_with_engine_shutdowns_end_with_the_newest_version(void **state)
{
    struct sim_options options = walk_options;
    options.budget.engine_shutdowns = 1;
    check_walks(&options, SIM_STEP_COUNT);
}

/* A loader restarted while its staging area was partly filled, and two newer versions were
 * announced. Its last put arrived after the next process had read all pieces back. */
static void delayed_put_of_a_previous_process_does_not_corrupt_weights(void **state)
{
    struct sim_options options = walk_options;
    options.budget.engine_shutdowns = 1;
    check_walk(&options, SIM_STEP_COUNT, 47161);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(unanswered_calls_do_not_corrupt_weights),
        cmocka_unit_test(loader_restart_does_not_corrupt_weights),
        cmocka_unit_test(crashed_engine_loads_only_valid_weights),
        cmocka_unit_test(replaced_engine_loads_only_valid_weights),
        cmocka_unit_test(unnoticed_engine_restart_loads_only_valid_weights),
        cmocka_unit_test(engine_shutting_down_gets_no_order),
        cmocka_unit_test(engine_shutting_down_gets_no_new_pieces),
        cmocka_unit_test(engine_shutting_down_keeps_a_verified_stage_while_an_order_is_in_doubt),
        cmocka_unit_test(power_loss_does_not_corrupt_weights),
        cmocka_unit_test(corrupted_piece_is_not_loaded),
        cmocka_unit_test(engine_with_requests_is_ordered_at_its_scheduled_time),
        cmocka_unit_test(new_process_replaces_its_own_corrupted_piece),
        cmocka_unit_test(each_omitted_rule_is_detected),
        cmocka_unit_test(random_walks_end_with_the_newest_version),
        cmocka_unit_test(random_walks_with_engine_shutdowns_end_with_the_newest_version),
        cmocka_unit_test(delayed_put_of_a_previous_process_does_not_corrupt_weights),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

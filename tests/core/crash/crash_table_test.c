/* Which requests are found to crash backends, from the requests present at each crash. */
#include "testing.h"

#include "core/crash/crash_table.h"
#include "core/hash.h"
#include "core/random.h"

#include <stdio.h>
#include <string.h>

#define SECOND_US ((uint64_t)1000000)
#define START_US (1000 * SECOND_US)

static struct request_identity identity_of(uint32_t number)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &number, sizeof number);
    return identity;
}

static void add_crash_of_attempt(struct crash_table *table, uint32_t request, uint64_t incarnation,
                                 uint64_t at, uint32_t attempt)
{
    struct request_identity identity = identity_of(request);
    struct crash_event crash = {
        .incarnation = incarnation, .ended_at = at, .attempt = attempt, .detected_at = at};
    crash_table_add(table, &identity, &crash);
}

/* Adds a crash with a new attempt of the caller each time. */
static void add_crash(struct crash_table *table, uint32_t request, uint64_t incarnation,
                      uint64_t at)
{
    add_crash_of_attempt(table, request, incarnation, at, (uint32_t)incarnation);
}

static enum crash_verdict verdict(const struct crash_table *table, uint32_t request, uint64_t now)
{
    struct request_identity identity = identity_of(request);
    return crash_table_verdict(table, &identity, now);
}

static void record_success(struct crash_table *table, uint32_t request, uint64_t at)
{
    struct request_identity identity = identity_of(request);
    crash_table_record_success(table, &identity, at, CRASH_FULL_RUN);
}

static void three_crashes_block_a_request(void **state)
{
    struct crash_table *table = crash_table_create();
    assert_int_equal(verdict(table, 1, START_US), CRASH_VERDICT_NONE);
    add_crash(table, 1, 11, START_US);
    assert_int_equal(verdict(table, 1, START_US), CRASH_VERDICT_SUSPECT);
    add_crash(table, 1, 12, START_US + SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + SECOND_US), CRASH_VERDICT_SUSPECT);
    add_crash(table, 1, 13, START_US + 2 * SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + 2 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_equal(verdict(table, 2, START_US + 2 * SECOND_US), CRASH_VERDICT_NONE);
    crash_table_destroy(table);
}

static void incarnation_counts_once_for_all_reporters(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t gateway = 0; gateway < 7; gateway++)
        add_crash(table, 1, 11, START_US + gateway * SECOND_US);
    assert_int_equal(verdict(table, 1, START_US), CRASH_VERDICT_SUSPECT);
    assert_int_equal(crash_table_at(table, 0)->crash_count, 1);
    assert_int_equal(crash_table_at(table, 0)->crashes[0].ended_at, START_US);
    crash_table_destroy(table);
}

static void incarnations_of_one_backend_have_different_keys(void **state)
{
    assert_int_not_equal(crash_incarnation_key("engine-1", 5),
                         crash_incarnation_key("engine-1", 6));
    assert_int_not_equal(crash_incarnation_key("engine-1", 0),
                         crash_incarnation_key("engine-2", 0));
    assert_int_equal(crash_incarnation_key("engine-1", 5), crash_incarnation_key("engine-1", 5));
}

/* A request that runs on many backends is present at many crashes when a zone loses power. */
static void simultaneous_crashes_count_once(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 0; incarnation < 6; incarnation++)
        add_crash(table, 1, incarnation, START_US + incarnation * 2000);
    assert_int_equal(verdict(table, 1, START_US + SECOND_US), CRASH_VERDICT_SUSPECT);
    crash_table_destroy(table);
}

static void requests_with_the_same_crashes_are_not_blocked(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++) {
        add_crash(table, 1, incarnation, START_US + incarnation * SECOND_US);
        add_crash(table, 2, incarnation, START_US + incarnation * SECOND_US);
    }
    assert_int_equal(verdict(table, 1, START_US + 3 * SECOND_US), CRASH_VERDICT_SUSPECT);
    assert_int_equal(verdict(table, 2, START_US + 3 * SECOND_US), CRASH_VERDICT_SUSPECT);
    /* A crash with only one of them present proves that one, and so explains the others. */
    add_crash(table, 1, 4, START_US + 4 * SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_equal(verdict(table, 2, START_US + 4 * SECOND_US), CRASH_VERDICT_SUSPECT);
    crash_table_destroy(table);
}

static void requests_always_together_are_blocked_eventually(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 1; incarnation <= CRASHES_TO_BLOCK_WITHOUT_PROOF; incarnation++) {
        add_crash(table, 1, incarnation, START_US + incarnation * SECOND_US);
        add_crash(table, 2, incarnation, START_US + incarnation * SECOND_US);
    }
    assert_int_equal(verdict(table, 1, START_US + 6 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_equal(verdict(table, 2, START_US + 6 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

/* A stream that has begun is resumed on another engine, so a single attempt of its caller may be
 * present at several crashes that other requests cause. */
static void single_attempt_needs_more_than_three_crashes(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        add_crash_of_attempt(table, 1, incarnation, START_US + incarnation * SECOND_US, 77);
    assert_int_equal(verdict(table, 1, START_US + 3 * SECOND_US), CRASH_VERDICT_SUSPECT);
    add_crash_of_attempt(table, 1, 4, START_US + 4 * SECOND_US, 77);
    assert_int_equal(verdict(table, 1, START_US + 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void successful_run_clears_a_request(void **state)
{
    struct crash_table *table = crash_table_create();
    add_crash(table, 1, 1, START_US);
    add_crash(table, 1, 2, START_US + SECOND_US);
    record_success(table, 1, START_US + 2 * SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + 2 * SECOND_US), CRASH_VERDICT_NONE);
    /* A crash before the successful run is reported late. */
    add_crash(table, 1, 3, START_US + SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + 2 * SECOND_US), CRASH_VERDICT_NONE);
    add_crash(table, 1, 4, START_US + 3 * SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + 3 * SECOND_US), CRASH_VERDICT_SUSPECT);
    crash_table_destroy(table);
}

static void blocked_request_is_retried_after_the_block_duration(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        add_crash(table, 1, incarnation, START_US + incarnation * SECOND_US);
    uint64_t later = START_US + 3 * SECOND_US + CRASH_BLOCK_DURATION_US;
    assert_int_equal(verdict(table, 1, later - 1), CRASH_VERDICT_BLOCKED);
    assert_int_equal(verdict(table, 1, later), CRASH_VERDICT_SUSPECT);
    crash_table_trim(table, later);
    add_crash(table, 1, 4, later + SECOND_US);
    assert_int_equal(verdict(table, 1, later + SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void single_crash_expires_sooner_than_several(void **state)
{
    struct crash_table *table = crash_table_create();
    add_crash(table, 1, 1, START_US);
    add_crash(table, 2, 1, START_US);
    add_crash(table, 2, 2, START_US + SECOND_US);
    crash_table_trim(table, START_US + CRASH_SINGLE_TTL_US - 1);
    assert_int_equal(crash_table_count(table), 2);
    crash_table_trim(table, START_US + CRASH_SINGLE_TTL_US);
    assert_int_equal(crash_table_count(table), 1);
    crash_table_trim(table, START_US + SECOND_US + CRASH_SHARED_TTL_US);
    assert_int_equal(crash_table_count(table), 0);
    crash_table_destroy(table);
}

static void full_table_keeps_the_most_suspect_requests(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        add_crash(table, 0, incarnation, START_US + incarnation * SECOND_US);
    for (uint32_t request = 1; request < 2 * CRASH_MAX_ENTRIES; request++)
        add_crash(table, request, 9, START_US + 4 * SECOND_US + request);
    assert_int_equal(crash_table_count(table), CRASH_MAX_ENTRIES);
    assert_int_equal(verdict(table, 0, START_US + 5 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_equal(verdict(table, 2 * CRASH_MAX_ENTRIES - 1, START_US + 5 * SECOND_US),
                     CRASH_VERDICT_SUSPECT);
    crash_table_destroy(table);
}

/* Guards against uncounted crashes: gateways that did not know the start time of the next
 * incarnation yet took its crash for that of the previous one. */
static void run_begun_after_a_crash_belongs_to_the_next_incarnation(void **state)
{
    struct crash_table *table = crash_table_create();
    uint64_t first = 11;
    assert_int_equal(crash_table_incarnation_of_run(table, first, START_US), first);
    add_crash(table, 1, first, START_US);
    assert_int_equal(crash_table_incarnation_of_run(table, first, START_US - SECOND_US), first);
    uint64_t second = crash_table_incarnation_of_run(table, first, START_US + SECOND_US);
    assert_int_not_equal(second, first);
    add_crash(table, 1, second, START_US + 2 * SECOND_US);
    assert_int_equal(crash_table_incarnation_of_run(table, first, START_US + SECOND_US), second);
    uint64_t third = crash_table_incarnation_of_run(table, first, START_US + 3 * SECOND_US);
    add_crash(table, 1, third, START_US + 4 * SECOND_US);
    assert_int_equal(verdict(table, 1, START_US + 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void add_crashed_run(struct crash_table *table, uint64_t incarnation, uint64_t began_at,
                            uint64_t at)
{
    struct request_identity identity = identity_of(1);
    struct crash_event crash = {incarnation, at, (uint32_t)at, began_at, at};
    crash_table_add(table, &identity, &crash);
}

/* Guards against a crash that counts twice: a node that was stalled reads messages that were queued
 * for seconds, and all times in them seem later than they are. */
static void delayed_report_does_not_count_twice(void **state)
{
    struct crash_table *table = crash_table_create();
    add_crashed_run(table, 11, START_US - SECOND_US, START_US);
    add_crashed_run(table, 11, START_US + SECOND_US, START_US + 2 * SECOND_US);
    assert_int_equal(crash_table_at(table, 0)->crash_count, 1);
    assert_int_equal(crash_table_at(table, 0)->crashes[0].ended_at, START_US);
    crash_table_destroy(table);
}

/* Guards against wrongly clearing a request: a stream that crashes each backend after running for a
 * second was resumed elsewhere, and the short rest succeeded. */
static void resumed_run_clears_only_crashes_after_shorter_runs(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity identity = identity_of(1);
    add_crashed_run(table, 11, START_US - SECOND_US, START_US);
    add_crashed_run(table, 12, START_US - SECOND_US / 2, START_US + SECOND_US / 2);
    assert_false(crash_table_record_success(table, &identity, START_US + SECOND_US, SECOND_US - 1));
    assert_int_equal(verdict(table, 1, START_US + SECOND_US), CRASH_VERDICT_SUSPECT);
    assert_true(crash_table_record_success(table, &identity, START_US + SECOND_US, SECOND_US));
    assert_int_equal(verdict(table, 1, START_US + SECOND_US), CRASH_VERDICT_NONE);
    crash_table_destroy(table);
}

/* Guards against a request that crashes backends and is never proven: a stream that was present at
 * two of its crashes has completed, and the crashes would stay ambiguous. */
static void resumed_run_clears_a_single_attempt(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity identity = identity_of(1);
    struct crash_event first = {11, START_US, 7, START_US - SECOND_US, START_US};
    struct crash_event second = {12, START_US + SECOND_US, 7, START_US, START_US + SECOND_US};
    crash_table_add(table, &identity, &first);
    crash_table_add(table, &identity, &second);
    assert_true(
        crash_table_record_success(table, &identity, START_US + 2 * SECOND_US, SECOND_US / 10));
    assert_int_equal(verdict(table, 1, START_US + 2 * SECOND_US), CRASH_VERDICT_NONE);
    crash_table_destroy(table);
}

/* Guards against a crash that counts twice: a run was interrupted by its link before the backend
 * crashed, and a run of another gateway began in between. */
static void run_interrupted_before_the_crash_adds_no_second_crash(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity identity = identity_of(1);
    struct crash_event early = {11, START_US, 1, START_US - SECOND_US, START_US + 3 * SECOND_US};
    struct crash_event late = {11, START_US + 2 * SECOND_US, 2, START_US + SECOND_US,
                               START_US + 2 * SECOND_US};
    crash_table_add(table, &identity, &early);
    crash_table_add(table, &identity, &late);
    assert_int_equal(crash_table_at(table, 0)->crash_count, 1);
    crash_table_destroy(table);
}

/* Guards against cleared crashes that return: a successful run was not sent to the nodes that knew
 * of the crash before it, and a restarted gateway learned of the crash from them. */
static void successful_run_is_gossiped_even_after_one_crash(void **state)
{
    struct crash_table *table = crash_table_create();
    add_crash(table, 1, 11, START_US);
    crash_table_at(table, 0)->is_dirty = false;
    record_success(table, 1, START_US + SECOND_US);
    assert_true(crash_table_at(table, 0)->is_dirty);
    crash_table_destroy(table);
}

/* --- merging in any order --------------------------------------------------------------------- */

enum { FACTS = 24, NODES = 3, REQUESTS = 5, INCARNATIONS = 7 };

/* A request was present at a crash, or ran to completion. */
struct fact {
    uint32_t request;
    uint64_t incarnation; /* 0: it ran to completion */
    uint64_t at;
};

static void draw_facts(struct random_stream *random, struct fact facts[FACTS])
{
    uint64_t crashes[INCARNATIONS + 1];
    for (uint32_t i = 0; i <= INCARNATIONS; i++)
        crashes[i] = START_US + random_below(random, 20) * SECOND_US;
    for (uint32_t i = 0; i < FACTS; i++) {
        uint64_t incarnation = random_below(random, INCARNATIONS + 1);
        uint64_t delay = random_below(random, 5) * 1000; /* as observed by another gateway */
        facts[i] =
            (struct fact){(uint32_t)random_below(random, REQUESTS), incarnation,
                          incarnation ? crashes[incarnation] + delay
                                      : START_US + random_below(random, 20) * SECOND_US + 500000};
    }
}

static void apply_fact(struct crash_table *table, const struct fact *fact)
{
    if (fact->incarnation)
        add_crash(table, fact->request, fact->incarnation, fact->at);
    else
        record_success(table, fact->request, fact->at);
}

static void merge_all(struct crash_table *into, struct crash_table *from)
{
    for (uint32_t i = 0; i < crash_table_count(from); i++)
        crash_table_merge(into, crash_table_at(from, i));
}

/* Delivers facts to nodes in random order, some twice, while the nodes merge each other's entries.
 * A node drops a successful run of a request that it holds no crash of; the merges at the end
 * spread those that were kept. */
static void deliver_facts(struct random_stream *random, const struct fact facts[FACTS],
                          struct crash_table *nodes[NODES])
{
    uint32_t order[FACTS] = {0};
    for (uint32_t i = 0; i < FACTS; i++) {
        uint32_t slot = (uint32_t)random_below(random, i + 1);
        order[i] = order[slot];
        order[slot] = i;
    }
    for (uint32_t i = 0; i < FACTS; i++) {
        const struct fact *fact = &facts[order[i]];
        apply_fact(nodes[random_below(random, NODES)], fact);
        if (random_below(random, 3) == 0)
            apply_fact(nodes[random_below(random, NODES)], fact);
        if (random_below(random, 2) == 0)
            merge_all(nodes[random_below(random, NODES)], nodes[random_below(random, NODES)]);
    }
    for (uint32_t round = 0; round < 2; round++)
        for (uint32_t i = 0; i < NODES; i++)
            for (uint32_t j = 0; j < NODES; j++)
                merge_all(nodes[i], nodes[j]);
}

static void nodes_agree_for_any_message_order(void **state)
{
    for (uint64_t seed = 1; seed <= 2000; seed++) {
        struct random_stream random = {.seed = seed};
        struct fact facts[FACTS];
        struct crash_table *nodes[NODES];
        draw_facts(&random, facts);
        for (uint32_t i = 0; i < NODES; i++)
            nodes[i] = crash_table_create();
        deliver_facts(&random, facts, nodes);
        for (uint32_t i = 1; i < NODES; i++) {
            assert_int_equal(crash_table_digest(nodes[i], START_US + 30 * SECOND_US),
                             crash_table_digest(nodes[0], START_US + 30 * SECOND_US));
            for (uint32_t request = 0; request < REQUESTS; request++)
                assert_int_equal(verdict(nodes[i], request, START_US + 30 * SECOND_US),
                                 verdict(nodes[0], request, START_US + 30 * SECOND_US));
        }
        for (uint32_t i = 0; i < NODES; i++)
            crash_table_destroy(nodes[i]);
    }
}

/* --- simulated engines ------------------------------------------------------------------------ */

enum {
    ENGINES = 12,
    ENGINE_SLOTS = 13,
    WORLD_REQUESTS = 2000,
    ATTEMPTS = 3,
    STEPS = 12,
    COMPLETIONS_PER_STEP = 6
};

/* Engines that run requests, of which the first `crashing` ones crash their engine. The others run
 * once, and are resumed on another engine when they are interrupted. */
struct world {
    struct random_stream random;
    struct crash_table *table;
    bool uses_rendezvous; /* suspects are placed by rendezvous weight */
    uint32_t running[ENGINES][ENGINE_SLOTS + 2];
    uint32_t count[ENGINES];
    uint64_t born[ENGINES];
    uint32_t interruptions[WORLD_REQUESTS]; /* by request */
    uint32_t crashes;
    uint32_t prepare_next_request;
    uint32_t crashing;
    uint32_t refused; /* others that were refused when they were to be resumed */
};

static uint32_t rendezvous_engine(struct world *world, uint32_t request, uint32_t avoid)
{
    uint32_t best = avoid == 0 ? 1 : 0;
    for (uint32_t engine = 0; engine < ENGINES; engine++)
        if (engine != avoid && hash_pair(request + 77, engine + world->random.seed * 1000) >
                                   hash_pair(request + 77, best + world->random.seed * 1000))
            best = engine;
    return best;
}

static void place_request(struct world *world, uint32_t request, uint32_t avoid, uint64_t now)
{
    uint32_t engine;
    if (verdict(world->table, request, now) == CRASH_VERDICT_BLOCKED) {
        world->refused += request >= world->crashing;
        return;
    }
    if (world->uses_rendezvous && verdict(world->table, request, now) == CRASH_VERDICT_SUSPECT)
        engine = rendezvous_engine(world, request, avoid);
    else
        engine = (uint32_t)((avoid + 1 + random_below(&world->random, ENGINES - 1)) % ENGINES);
    if (world->count[engine] < ENGINE_SLOTS + 2)
        world->running[engine][world->count[engine]++] = request;
}

static void crash_engine(struct world *world, uint32_t engine, uint64_t now)
{
    uint32_t interrupted[ENGINE_SLOTS + 2], count = world->count[engine];
    memcpy(interrupted, world->running[engine], sizeof interrupted);
    world->count[engine] = 0;
    world->crashes++;
    uint64_t incarnation = crash_incarnation_key("engine", engine * 1000 + world->born[engine]);
    /* Crashing requests come in a new attempt each time, others are resumed in the same one. */
    for (uint32_t i = 0; i < count; i++)
        add_crash_of_attempt(world->table, interrupted[i], incarnation, now,
                             interrupted[i] < world->crashing ? world->crashes : 0);
    world->born[engine]++;
    for (uint32_t i = 0; i < count; i++)
        if (interrupted[i] >= world->crashing && ++world->interruptions[interrupted[i]] < ATTEMPTS)
            place_request(world, interrupted[i], engine, now);
}

static bool has_crashing(const struct world *world, uint32_t engine)
{
    for (uint32_t i = 0; i < world->count[engine]; i++)
        if (world->running[engine][i] < world->crashing)
            return true;
    return false;
}

/* Completes the requests that have run longest and fills the free slots with new ones. */
static void complete_and_refill(struct world *world, uint32_t engine, uint64_t now)
{
    uint32_t done =
        world->count[engine] < COMPLETIONS_PER_STEP ? world->count[engine] : COMPLETIONS_PER_STEP;
    for (uint32_t i = 0; i < done; i++)
        record_success(world->table, world->running[engine][i], now);
    world->count[engine] -= done;
    memmove(world->running[engine], world->running[engine] + done,
            world->count[engine] * sizeof world->running[engine][0]);
    while (world->count[engine] < ENGINE_SLOTS)
        world->running[engine][world->count[engine]++] =
            world->crashing + world->prepare_next_request++ % (WORLD_REQUESTS - world->crashing);
}

/* \return number of other requests that were refused when they were to be resumed, or are blocked
 * at the end */
static uint32_t run_world(struct world *world)
{
    uint32_t blocked = 0;
    for (uint32_t step = 0; step < STEPS; step++) {
        uint64_t now = START_US + step * SECOND_US / 5;
        for (uint32_t engine = 0; engine < ENGINES; engine++)
            complete_and_refill(world, engine, now);
        for (uint32_t crashing = 0; crashing < world->crashing; crashing++)
            place_request(world, crashing, (uint32_t)random_below(&world->random, ENGINES), now);
        for (uint32_t engine = 0; engine < ENGINES; engine++)
            if (has_crashing(world, engine))
                crash_engine(world, engine, now + engine);
    }
    for (uint32_t request = world->crashing; request < WORLD_REQUESTS; request++)
        blocked +=
            verdict(world->table, request, START_US + STEPS * SECOND_US) == CRASH_VERDICT_BLOCKED;
    return blocked + world->refused;
}

static void run_worlds(bool uses_rendezvous, uint32_t crashing, uint32_t worlds, uint32_t *crashes,
                       uint32_t *blocked)
{
    *crashes = *blocked = 0;
    for (uint64_t seed = 1; seed <= worlds; seed++) {
        struct world world = {
            .random = {.seed = seed}, .uses_rendezvous = uses_rendezvous, .crashing = crashing};
        world.table = crash_table_create();
        *blocked += run_world(&world);
        *crashes += world.crashes;
        crash_table_destroy(world.table);
    }
}

/* 12 engines of 13 slots; an interrupted request is resumed at once, with three attempts. */
static void one_crashing_request_blocks_no_others(void **state)
{
    uint32_t crashes, blocked;
    run_worlds(true, 1, 1000, &crashes, &blocked);
    print_message("one crashing request, rendezvous placement: %u crashes in 1,000 worlds, %u "
                  "others blocked\n",
                  crashes, blocked);
    assert_int_equal(blocked, 0);
    assert_in_range(crashes, 3000, 3300);
    run_worlds(false, 1, 1000, &crashes, &blocked);
    print_message("one crashing request, random placement: %u crashes, %u others blocked\n",
                  crashes, blocked);
}

/* With three crashing requests at once, others are present at crashes of several by chance. */
static void three_crashing_requests_block_few_others(void **state)
{
    uint32_t crashes, blocked;
    run_worlds(true, 3, 1000, &crashes, &blocked);
    print_message("three crashing requests: %u crashes in 1,000 worlds, %u others blocked\n",
                  crashes, blocked);
    assert_in_range(blocked, 0, 10);
    assert_in_range(crashes, 6000, 12000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(three_crashes_block_a_request),
        cmocka_unit_test(incarnation_counts_once_for_all_reporters),
        cmocka_unit_test(incarnations_of_one_backend_have_different_keys),
        cmocka_unit_test(simultaneous_crashes_count_once),
        cmocka_unit_test(requests_with_the_same_crashes_are_not_blocked),
        cmocka_unit_test(requests_always_together_are_blocked_eventually),
        cmocka_unit_test(single_attempt_needs_more_than_three_crashes),
        cmocka_unit_test(successful_run_clears_a_request),
        cmocka_unit_test(blocked_request_is_retried_after_the_block_duration),
        cmocka_unit_test(single_crash_expires_sooner_than_several),
        cmocka_unit_test(full_table_keeps_the_most_suspect_requests),
        cmocka_unit_test(run_begun_after_a_crash_belongs_to_the_next_incarnation),
        cmocka_unit_test(delayed_report_does_not_count_twice),
        cmocka_unit_test(resumed_run_clears_only_crashes_after_shorter_runs),
        cmocka_unit_test(resumed_run_clears_a_single_attempt),
        cmocka_unit_test(run_interrupted_before_the_crash_adds_no_second_crash),
        cmocka_unit_test(successful_run_is_gossiped_even_after_one_crash),
        cmocka_unit_test(nodes_agree_for_any_message_order),
        cmocka_unit_test(one_crashing_request_blocks_no_others),
        cmocka_unit_test(three_crashing_requests_block_few_others),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Parts of prompts that crash backends, in requests that are all different, and parts that are
 * merely there; single cases, and worlds of engines and requests in virtual time. */
#include "testing.h"

#include "core/crash/crash_table.h"
#include "core/random.h"

#include <stdlib.h>
#include <string.h>

#define MS ((uint64_t)1000)
#define SECOND_US ((uint64_t)1000000)
#define START_US (1000 * SECOND_US)
#define SERVICE "llm"

/* Parts, by id; the order is that in a prompt. */
enum { FIRST = 1, BAD = 2, OTHER = 3, LATE = 4 };

static struct prompt_part part_of(uint64_t id)
{
    return prompt_part_of(SERVICE, id, (uint32_t)id);
}

static struct request_identity request_of(uint32_t number)
{
    struct request_identity identity = {{0xee}};
    memcpy(identity.bytes + 4, &number, sizeof number);
    return identity;
}

/* A run of a request with these parts is lost at the crash of an incarnation. */
static void lose_run(struct crash_table *table, uint32_t request, const uint64_t *parts,
                     uint32_t count, uint64_t incarnation, uint64_t at)
{
    struct request_identity identity = request_of(request);
    struct crash_event crash = {.incarnation = incarnation,
                                .ended_at = at,
                                .attempt = (uint32_t)incarnation,
                                .began_at = at - 80 * MS,
                                .detected_at = at + 20 * MS};
    crash_table_add(table, &identity, &crash);
    crash.attempt = crash_request_key(&identity);
    for (uint32_t i = 0; i < count; i++) {
        struct prompt_part part = part_of(parts[i]);
        crash_table_add_part(table, &part, &crash);
    }
}

#define LOSE(table, request, incarnation, at, ...)                                                 \
    lose_run(table, request, (const uint64_t[]){__VA_ARGS__},                                      \
             sizeof((uint64_t[]){__VA_ARGS__}) / sizeof(uint64_t), incarnation, START_US + (at))

static enum crash_verdict verdict(const struct crash_table *table, uint64_t part, uint64_t at)
{
    struct prompt_part named = part_of(part);
    return crash_table_verdict(table, &named.identity, START_US + at);
}

static void answer(struct crash_table *table, uint64_t part, uint64_t at)
{
    struct prompt_part named = part_of(part);
    crash_table_record_sound_part(table, &named.identity, START_US + at);
}

/* --- single cases
 * --------------------------------------------------------------------------------- */

static void a_part_of_different_requests_is_blocked_amid_other_crashes(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint32_t i = 0; i < 4; i++) {
        LOSE(table, 100 + i, 50 + i, i * SECOND_US + 500 * MS, 900 + i);
        assert_int_not_equal(verdict(table, BAD, i * SECOND_US), CRASH_VERDICT_BLOCKED);
        LOSE(table, i + 1, i + 1, i * SECOND_US, FIRST, BAD);
        answer(table, FIRST, i * SECOND_US + 100 * MS);
    }
    assert_int_equal(verdict(table, BAD, 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_equal(verdict(table, FIRST, 4 * SECOND_US), CRASH_VERDICT_NONE);
    for (uint32_t i = 0; i < 4; i++)
        assert_int_not_equal(verdict(table, 900 + i, 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void a_request_that_is_always_the_same_is_blocked_itself(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity request = request_of(1);
    for (uint32_t i = 0; i < 3; i++)
        LOSE(table, 1, i + 1, i * SECOND_US, FIRST, OTHER);
    assert_int_equal(crash_table_verdict(table, &request, START_US + 3 * SECOND_US),
                     CRASH_VERDICT_BLOCKED);
    LOSE(table, 1, 4, 3 * SECOND_US, FIRST, OTHER);
    LOSE(table, 1, 5, 4 * SECOND_US, FIRST, OTHER);
    assert_int_not_equal(verdict(table, FIRST, 5 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_not_equal(verdict(table, OTHER, 5 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

/* A stream that is resumed crashes several backends in a row. Its part was held back then for 10 s
 * and more, and requests with it were told to come back. */
static void two_requests_are_enough_after_one_that_crashed_many(void **state)
{
    struct crash_table *table = crash_table_create();
    struct prompt_part bad = part_of(BAD);
    for (uint32_t i = 0; i < 5; i++)
        LOSE(table, 1, i + 1, i * 200 * MS, FIRST, BAD);
    assert_int_equal(crash_table_held_until(table, &bad.identity, START_US + SECOND_US), 0);
    LOSE(table, 2, 6, 1200 * MS, FIRST, BAD);
    assert_int_not_equal(verdict(table, BAD, 1300 * MS), CRASH_VERDICT_BLOCKED);
    LOSE(table, 3, 7, 1400 * MS, FIRST, BAD);
    assert_int_equal(verdict(table, BAD, 1500 * MS), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void of_parts_that_are_always_together_the_later_one_is_blocked(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint32_t i = 0; i < 6; i++)
        LOSE(table, i + 1, i + 1, i * SECOND_US, FIRST, BAD);
    assert_int_equal(verdict(table, BAD, 6 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_not_equal(verdict(table, FIRST, 6 * SECOND_US), CRASH_VERDICT_BLOCKED);
    struct prompt_part first = part_of(FIRST);
    assert_false(crash_table_requires_isolation(table, &first.identity, START_US + 6 * SECOND_US));
    assert_int_equal(crash_table_held_until(table, &first.identity, START_US + 6 * SECOND_US), 0);
    crash_table_destroy(table);
}

/* The later part was answered once, long ago; the other one never was. */
static void a_part_that_was_answered_is_not_blamed_for_one_that_never_was(void **state)
{
    struct crash_table *table = crash_table_create();
    answer(table, LATE, 0);
    for (uint32_t i = 0; i < 4; i++)
        LOSE(table, i + 1, i + 1, (20 + i) * SECOND_US, BAD, LATE);
    assert_int_equal(verdict(table, BAD, 24 * SECOND_US), CRASH_VERDICT_BLOCKED);
    assert_int_not_equal(verdict(table, LATE, 24 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void a_first_part_that_crashes_is_blocked_whatever_follows_it(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint32_t i = 0; i < 4; i++)
        LOSE(table, i + 1, i + 1, i * SECOND_US, FIRST, 100 + i);
    assert_int_equal(verdict(table, FIRST, 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

static void a_part_that_crashes_after_it_was_answered_is_blocked(void **state)
{
    struct crash_table *table = crash_table_create();
    answer(table, BAD, 0);
    LOSE(table, 9, 9, CRASH_PART_SOUND_FOR_US - 1, BAD); /* too soon to count */
    for (uint32_t i = 1; i < 4; i++)
        LOSE(table, i, i, i * SECOND_US, BAD);
    assert_int_not_equal(verdict(table, BAD, 4 * SECOND_US), CRASH_VERDICT_BLOCKED);
    LOSE(table, 4, 4, 4 * SECOND_US, BAD);
    assert_int_equal(verdict(table, BAD, 5 * SECOND_US), CRASH_VERDICT_BLOCKED);
    crash_table_destroy(table);
}

/* What a node knows of a part reaches those who hold crashes against it. */
static void a_node_that_saw_an_answer_clears_the_part_for_all(void **state)
{
    struct crash_table *here = crash_table_create(), *there = crash_table_create();
    for (uint32_t i = 0; i < 3; i++)
        LOSE(here, i + 1, i + 1, i * SECOND_US, OTHER);
    answer(there, OTHER, 3 * SECOND_US);
    struct prompt_part part = part_of(OTHER);
    assert_true(crash_table_merge(there, crash_table_find(here, &part.identity)));
    assert_true(crash_table_find(there, &part.identity)->is_dirty);
    assert_true(crash_table_merge(here, crash_table_find(there, &part.identity)));
    LOSE(here, 4, 4, 4 * SECOND_US, OTHER);
    assert_int_equal(crash_table_find(here, &part.identity)->crash_count, 1);
    crash_table_destroy(here);
    crash_table_destroy(there);
}

static void parts_of_other_services_are_other_parts(void **state)
{
    struct prompt_part here = prompt_part_of("llm", 7, 0), there = prompt_part_of("ocr", 7, 0);
    assert_false(request_identity_equal(&here.identity, &there.identity));
}

static void the_oldest_answers_are_forgotten_first(void **state)
{
    struct sound_parts *parts = calloc(1, sizeof *parts);
    for (uint64_t id = 1; id <= 10 * SOUND_PARTS_SETS * SOUND_PARTS_PER_SET; id++) {
        struct prompt_part part = part_of(id), kept = part_of(1);
        sound_parts_record(parts, &part.identity, START_US + id);
        sound_parts_record(parts, &kept.identity, START_US + id);
        assert_int_equal(sound_parts_last(parts, &part.identity), START_US + id);
    }
    struct prompt_part kept = part_of(1), old = part_of(2);
    assert_int_not_equal(sound_parts_last(parts, &kept.identity), 0);
    assert_int_equal(sound_parts_last(parts, &old.identity), 0);
    free(parts);
}

/* --- worlds
 * --------------------------------------------------------------------------------------- */

#define WORLDS 120
#define STEP_US (10 * MS)
#define STEPS 1500
#define ENGINES 12
#define MAX_RUNS 4000
#define ROUTES 3
#define PARTS_PER_ROUTE 60
#define SOUND_PER_S 200
#define BAD_PER_S 6
#define BAD_FROM_STEP 300
#define RESTART_STEPS 400
#define DETECTION_US (20 * MS)
/** A run begins to write after the first of these times, and is known to be sound after the second.
 */
#define PROMPT_STEPS 10
#define SOUND_STEPS 30
/** Crashes under one bad part, of those in transit when it is blocked, too. */
#define MAX_CRASHES 12
#define FIRST_BAD 5000

struct run {
    bool active;
    uint32_t request, engine, began_step, end_step, attempts;
    uint64_t parts[2];
    bool crashes;
};

struct world {
    struct random_stream random;
    struct crash_table *table;
    struct run runs[MAX_RUNS];
    uint64_t incarnations[ENGINES];
    uint32_t up_step[ENGINES];
    bool ends_now[ENGINES];
    uint32_t requests, crashes_of_bad[2], refused_sound, sound;
    uint32_t bad_parts;
    bool warm, noisy; /* sound requests came before; engines end for other causes, too */
};

static uint64_t time_at(uint32_t step)
{
    return START_US + step * STEP_US;
}

/* \return whether a part of the request is blocked. \param settled gets whether that is final:
 * until then, requests wait */
static bool is_blocked(const struct world *world, const struct run *run, uint32_t step,
                       bool *settled)
{
    bool blocked = false;
    *settled = false;
    for (uint32_t i = 0; i < 2; i++) {
        struct prompt_part part = prompt_part_of(SERVICE, run->parts[i], i);
        if (crash_table_verdict(world->table, &part.identity, time_at(step)) !=
            CRASH_VERDICT_BLOCKED)
            continue;
        const struct crash_entry *entry = crash_table_find(world->table, &part.identity);
        *settled |= time_at(step) >= crash_entry_settled_at(entry);
        blocked = true;
    }
    return blocked;
}

/* \return whether the run found an engine that is up */
static bool place(struct world *world, struct run *run, uint32_t step)
{
    uint32_t first = (uint32_t)random_below(&world->random, ENGINES);
    for (uint32_t i = 0; i < ENGINES; i++) {
        run->engine = (first + i) % ENGINES;
        if (world->up_step[run->engine] > step)
            continue;
        run->began_step = step;
        run->end_step = step + PROMPT_STEPS + 20 + (uint32_t)random_below(&world->random, 100);
        if (run->crashes)
            run->end_step = step + PROMPT_STEPS + (uint32_t)random_below(&world->random, 10);
        run->attempts++;
        return true;
    }
    return false;
}

static void arrive(struct world *world, bool crashes, uint32_t step)
{
    uint32_t route = (uint32_t)random_below(&world->random, ROUTES);
    struct run run = {.active = true, .request = ++world->requests, .crashes = crashes};
    run.parts[0] = 1 + route;
    run.parts[1] = 100 + route * PARTS_PER_ROUTE + random_below(&world->random, PARTS_PER_ROUTE);
    if (crashes) {
        run.parts[0] = 1;
        run.parts[1] = FIRST_BAD + random_below(&world->random, world->bad_parts);
    }
    world->sound += !crashes;
    bool settled;
    if (is_blocked(world, &run, step, &settled)) {
        world->refused_sound += !crashes && settled;
        return;
    }
    for (uint32_t i = 0; i < MAX_RUNS; i++) {
        if (world->runs[i].active)
            continue;
        world->runs[i] = run;
        world->runs[i].active = place(world, &world->runs[i], step);
        return;
    }
}

/* Answers for long enough to show that its parts are sound, or ends. */
static void progress(struct world *world, struct run *run, uint32_t step)
{
    bool ends = step >= run->end_step;
    if (run->crashes) {
        world->ends_now[run->engine] |= ends;
        return;
    }
    if (ends || step >= run->began_step + PROMPT_STEPS + SOUND_STEPS)
        for (uint32_t i = 0; i < 2; i++) {
            struct prompt_part part = prompt_part_of(SERVICE, run->parts[i], i);
            crash_table_record_sound_part(world->table, &part.identity, time_at(step));
        }
    run->active = !ends;
}

static void interrupt(struct world *world, struct run *run, uint32_t step)
{
    struct request_identity identity = request_of(run->request);
    struct crash_event crash = {.incarnation = world->incarnations[run->engine],
                                .ended_at = time_at(step),
                                .attempt = run->request * 4 + run->attempts,
                                .began_at = time_at(run->began_step),
                                .detected_at = time_at(step) + DETECTION_US};
    crash_table_add(world->table, &identity, &crash);
    crash.attempt = crash_request_key(&identity);
    for (uint32_t i = 0; i < 2; i++) {
        struct prompt_part part = prompt_part_of(SERVICE, run->parts[i], i);
        crash_table_add_part(world->table, &part, &crash);
    }
    if (run->crashes && step >= run->end_step)
        world->crashes_of_bad[run->parts[1] - FIRST_BAD]++;
}

static void end_engines(struct world *world, uint32_t step)
{
    for (uint32_t engine = 0; engine < ENGINES; engine++) {
        if (!world->ends_now[engine])
            continue;
        for (uint32_t i = 0; i < MAX_RUNS; i++) {
            struct run *run = &world->runs[i];
            if (!run->active || run->engine != engine)
                continue;
            interrupt(world, run, step);
            run->active = false;
        }
        world->ends_now[engine] = false;
        world->up_step[engine] = step + RESTART_STEPS;
        world->incarnations[engine] += ENGINES;
    }
}

static bool happens(struct world *world, uint32_t per_s)
{
    return random_below(&world->random, 100) < per_s;
}

static void run_world(struct world *world, uint64_t seed)
{
    world->random = (struct random_stream){seed, 0};
    world->table = crash_table_create();
    for (uint32_t i = 0; i < ENGINES; i++)
        world->incarnations[i] = i + 1;
    for (uint32_t step = 0; step < STEPS; step++) {
        for (uint32_t i = 0; (world->warm || step >= BAD_FROM_STEP) && i < SOUND_PER_S / 100; i++)
            arrive(world, false, step);
        if (step >= BAD_FROM_STEP && happens(world, BAD_PER_S * world->bad_parts))
            arrive(world, true, step);
        if (world->noisy && happens(world, 1))
            world->ends_now[random_below(&world->random, ENGINES)] = true;
        for (uint32_t i = 0; i < MAX_RUNS; i++)
            if (world->runs[i].active)
                progress(world, &world->runs[i], step);
        end_engines(world, step);
        if (step % 50 == 0)
            crash_table_trim(world->table, time_at(step));
    }
    crash_table_destroy(world->table);
}

static void explore(bool warm, bool noisy, uint32_t bad_parts)
{
    for (uint64_t seed = 1; seed <= WORLDS; seed++) {
        struct world *world = calloc(1, sizeof *world);
        world->warm = warm;
        world->noisy = noisy;
        world->bad_parts = bad_parts;
        run_world(world, seed);
        for (uint32_t i = 0; i < bad_parts; i++)
            if (world->crashes_of_bad[i] > MAX_CRASHES)
                fail_msg("seed %u: %u crashes under bad part %u", (unsigned)seed,
                         world->crashes_of_bad[i], i);
        if (world->refused_sound)
            fail_msg("seed %u: %u of %u sound requests refused", (unsigned)seed,
                     world->refused_sound, world->sound);
        free(world);
    }
}

static void a_bad_part_is_found_and_no_other(void **state)
{
    explore(true, false, 1);
}

static void a_bad_part_is_found_where_nothing_was_known_before(void **state)
{
    explore(false, false, 1);
}

static void a_bad_part_is_found_while_engines_end_for_other_causes(void **state)
{
    explore(true, true, 1);
    explore(false, true, 1);
}

static void two_bad_parts_at_once_are_found(void **state)
{
    explore(true, false, 2);
    explore(true, true, 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_part_of_different_requests_is_blocked_amid_other_crashes),
        cmocka_unit_test(a_request_that_is_always_the_same_is_blocked_itself),
        cmocka_unit_test(two_requests_are_enough_after_one_that_crashed_many),
        cmocka_unit_test(of_parts_that_are_always_together_the_later_one_is_blocked),
        cmocka_unit_test(a_part_that_was_answered_is_not_blamed_for_one_that_never_was),
        cmocka_unit_test(a_first_part_that_crashes_is_blocked_whatever_follows_it),
        cmocka_unit_test(a_part_that_crashes_after_it_was_answered_is_blocked),
        cmocka_unit_test(a_node_that_saw_an_answer_clears_the_part_for_all),
        cmocka_unit_test(parts_of_other_services_are_other_parts),
        cmocka_unit_test(the_oldest_answers_are_forgotten_first),
        cmocka_unit_test(a_bad_part_is_found_and_no_other),
        cmocka_unit_test(a_bad_part_is_found_where_nothing_was_known_before),
        cmocka_unit_test(a_bad_part_is_found_while_engines_end_for_other_causes),
        cmocka_unit_test(two_bad_parts_at_once_are_found),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

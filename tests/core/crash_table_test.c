/* Which requests crash back ends, from who was there when back ends ended. */
#include "testing.h"

#include "core/crash_table.h"
#include "core/hash.h"
#include "core/random.h"

#include <stdio.h>
#include <string.h>

#define SECOND ((uint64_t)1000000)
#define BEGIN (1000 * SECOND)

static struct request_identity identity_of(uint32_t number)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &number, sizeof number);
    return identity;
}

static void ended_in(struct crash_table *table, uint32_t request, uint64_t start, uint64_t at,
                     uint32_t attempt)
{
    struct request_identity identity = identity_of(request);
    struct crash_start end = {.start = start, .ended_at = at, .attempt = attempt, .dead_at = at};
    crash_table_add(table, &identity, &end);
}

/* Each time in another attempt of the caller. */
static void ended(struct crash_table *table, uint32_t request, uint64_t start, uint64_t at)
{
    ended_in(table, request, start, at, (uint32_t)start);
}

static enum crash_verdict verdict(const struct crash_table *table, uint32_t request, uint64_t now)
{
    struct request_identity identity = identity_of(request);
    return crash_table_judge(table, &identity, now);
}

static void ran_well(struct crash_table *table, uint32_t request, uint64_t at)
{
    struct request_identity identity = identity_of(request);
    crash_table_clear(table, &identity, at, CRASH_RAN_WHOLE);
}

static void three_ended_starts_block_a_request(void **state)
{
    struct crash_table *table = crash_table_create();
    assert_int_equal(verdict(table, 1, BEGIN), CRASH_NO_SUSPECT);
    ended(table, 1, 11, BEGIN);
    assert_int_equal(verdict(table, 1, BEGIN), CRASH_SUSPECT);
    ended(table, 1, 12, BEGIN + SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + SECOND), CRASH_SUSPECT);
    ended(table, 1, 13, BEGIN + 2 * SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + 2 * SECOND), CRASH_BLOCKED);
    assert_int_equal(verdict(table, 2, BEGIN + 2 * SECOND), CRASH_NO_SUSPECT);
    crash_table_destroy(table);
}

static void a_start_counts_once_whoever_reports_it(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t gateway = 0; gateway < 7; gateway++)
        ended(table, 1, 11, BEGIN + gateway * SECOND);
    assert_int_equal(verdict(table, 1, BEGIN), CRASH_SUSPECT);
    assert_int_equal(crash_table_at(table, 0)->start_count, 1);
    assert_int_equal(crash_table_at(table, 0)->starts[0].ended_at, BEGIN);
    crash_table_destroy(table);
}

static void starts_of_one_id_are_told_apart(void **state)
{
    assert_int_not_equal(crash_start_key("engine-1", 5), crash_start_key("engine-1", 6));
    assert_int_not_equal(crash_start_key("engine-1", 0), crash_start_key("engine-2", 0));
    assert_int_equal(crash_start_key("engine-1", 5), crash_start_key("engine-1", 5));
}

/* A request whose like runs everywhere is at each end when a zone loses power. */
static void many_that_end_at_one_moment_count_once(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 0; start < 6; start++)
        ended(table, 1, start, BEGIN + start * 2000);
    assert_int_equal(verdict(table, 1, BEGIN + SECOND), CRASH_SUSPECT);
    crash_table_destroy(table);
}

static void who_was_there_with_another_one_is_not_blocked(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 1; start <= 3; start++) {
        ended(table, 1, start, BEGIN + start * SECOND);
        ended(table, 2, start, BEGIN + start * SECOND);
    }
    assert_int_equal(verdict(table, 1, BEGIN + 3 * SECOND), CRASH_SUSPECT);
    assert_int_equal(verdict(table, 2, BEGIN + 3 * SECOND), CRASH_SUSPECT);
    /* One of them alone was at the next end: it explains all the others. */
    ended(table, 1, 4, BEGIN + 4 * SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + 4 * SECOND), CRASH_BLOCKED);
    assert_int_equal(verdict(table, 2, BEGIN + 4 * SECOND), CRASH_SUSPECT);
    crash_table_destroy(table);
}

static void two_that_always_meet_are_blocked_in_the_end(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 1; start <= CRASH_STARTS_TO_BLOCK_ANY; start++) {
        ended(table, 1, start, BEGIN + start * SECOND);
        ended(table, 2, start, BEGIN + start * SECOND);
    }
    assert_int_equal(verdict(table, 1, BEGIN + 6 * SECOND), CRASH_BLOCKED);
    assert_int_equal(verdict(table, 2, BEGIN + 6 * SECOND), CRASH_BLOCKED);
    crash_table_destroy(table);
}

/* A begun stream goes on at the next engine: one attempt of its caller may meet the ends that
 * others are the cause of. */
static void one_attempt_at_three_ends_is_not_enough(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 1; start <= 3; start++)
        ended_in(table, 1, start, BEGIN + start * SECOND, 77);
    assert_int_equal(verdict(table, 1, BEGIN + 3 * SECOND), CRASH_SUSPECT);
    ended_in(table, 1, 4, BEGIN + 4 * SECOND, 77);
    assert_int_equal(verdict(table, 1, BEGIN + 4 * SECOND), CRASH_BLOCKED);
    crash_table_destroy(table);
}

static void a_good_end_clears(void **state)
{
    struct crash_table *table = crash_table_create();
    ended(table, 1, 1, BEGIN);
    ended(table, 1, 2, BEGIN + SECOND);
    ran_well(table, 1, BEGIN + 2 * SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + 2 * SECOND), CRASH_NO_SUSPECT);
    /* News of an end before that come late. */
    ended(table, 1, 3, BEGIN + SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + 2 * SECOND), CRASH_NO_SUSPECT);
    ended(table, 1, 4, BEGIN + 3 * SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + 3 * SECOND), CRASH_SUSPECT);
    crash_table_destroy(table);
}

static void a_blocked_request_is_tried_again_some_day(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 1; start <= 3; start++)
        ended(table, 1, start, BEGIN + start * SECOND);
    uint64_t later = BEGIN + 3 * SECOND + CRASH_BLOCK_US;
    assert_int_equal(verdict(table, 1, later - 1), CRASH_BLOCKED);
    assert_int_equal(verdict(table, 1, later), CRASH_SUSPECT);
    crash_table_trim(table, later);
    ended(table, 1, 4, later + SECOND);
    assert_int_equal(verdict(table, 1, later + SECOND), CRASH_BLOCKED);
    crash_table_destroy(table);
}

static void one_end_is_forgotten_soon_and_more_are_not(void **state)
{
    struct crash_table *table = crash_table_create();
    ended(table, 1, 1, BEGIN);
    ended(table, 2, 1, BEGIN);
    ended(table, 2, 2, BEGIN + SECOND);
    crash_table_trim(table, BEGIN + CRASH_SUSPECT_US - 1);
    assert_int_equal(crash_table_count(table), 2);
    crash_table_trim(table, BEGIN + CRASH_SUSPECT_US);
    assert_int_equal(crash_table_count(table), 1);
    crash_table_trim(table, BEGIN + SECOND + CRASH_REMEMBER_US);
    assert_int_equal(crash_table_count(table), 0);
    crash_table_destroy(table);
}

static void a_full_table_keeps_the_most_suspect(void **state)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 1; start <= 3; start++)
        ended(table, 0, start, BEGIN + start * SECOND);
    for (uint32_t request = 1; request < 2 * CRASH_ENTRIES_MOST; request++)
        ended(table, request, 9, BEGIN + 4 * SECOND + request);
    assert_int_equal(crash_table_count(table), CRASH_ENTRIES_MOST);
    assert_int_equal(verdict(table, 0, BEGIN + 5 * SECOND), CRASH_BLOCKED);
    assert_int_equal(verdict(table, 2 * CRASH_ENTRIES_MOST - 1, BEGIN + 5 * SECOND), CRASH_SUSPECT);
    crash_table_destroy(table);
}

/* Guards against ends that were not counted: gateways that had not heard yet when the next start of
 * a back end was born took its end for that of the last one. */
static void a_run_that_began_after_the_end_of_a_start_was_at_another_one(void **state)
{
    struct crash_table *table = crash_table_create();
    uint64_t first = 11;
    assert_int_equal(crash_table_start_of_run(table, first, BEGIN), first);
    ended(table, 1, first, BEGIN);
    assert_int_equal(crash_table_start_of_run(table, first, BEGIN - SECOND), first);
    uint64_t second = crash_table_start_of_run(table, first, BEGIN + SECOND);
    assert_int_not_equal(second, first);
    ended(table, 1, second, BEGIN + 2 * SECOND);
    assert_int_equal(crash_table_start_of_run(table, first, BEGIN + SECOND), second);
    uint64_t third = crash_table_start_of_run(table, first, BEGIN + 3 * SECOND);
    ended(table, 1, third, BEGIN + 4 * SECOND);
    assert_int_equal(verdict(table, 1, BEGIN + 4 * SECOND), CRASH_BLOCKED);
    crash_table_destroy(table);
}

static void ran_until(struct crash_table *table, uint64_t start, uint64_t began_at, uint64_t at)
{
    struct request_identity identity = identity_of(1);
    struct crash_start end = {start, at, (uint32_t)at, began_at, at};
    crash_table_add(table, &identity, &end);
}

/* Guards against ends that counted twice: a node that stood still takes messages that lay there for
 * seconds, and all their times seem later to it. */
static void news_that_come_late_make_no_second_end(void **state)
{
    struct crash_table *table = crash_table_create();
    ran_until(table, 11, BEGIN - SECOND, BEGIN);
    ran_until(table, 11, BEGIN + SECOND, BEGIN + 2 * SECOND);
    assert_int_equal(crash_table_at(table, 0)->start_count, 1);
    assert_int_equal(crash_table_at(table, 0)->starts[0].ended_at, BEGIN);
    crash_table_destroy(table);
}

/* Guards against a request that was cleared by others' work: a stream that ends each back end after
 * a second of it went on elsewhere for the rest, and that ended well. */
static void the_rest_of_a_stream_clears_only_ends_of_shorter_runs(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity identity = identity_of(1);
    ran_until(table, 11, BEGIN - SECOND, BEGIN);
    ran_until(table, 12, BEGIN - SECOND / 2, BEGIN + SECOND / 2);
    assert_false(crash_table_clear(table, &identity, BEGIN + SECOND, SECOND - 1));
    assert_int_equal(verdict(table, 1, BEGIN + SECOND), CRASH_SUSPECT);
    assert_true(crash_table_clear(table, &identity, BEGIN + SECOND, SECOND));
    assert_int_equal(verdict(table, 1, BEGIN + SECOND), CRASH_NO_SUSPECT);
    crash_table_destroy(table);
}

/* Guards against a request that crashes back ends and is never proven: a stream that was at two
 * ends with it is done, and its ends would stay ambiguous. */
static void the_rest_of_a_stream_clears_one_attempt(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity identity = identity_of(1);
    struct crash_start first = {11, BEGIN, 7, BEGIN - SECOND, BEGIN};
    struct crash_start second = {12, BEGIN + SECOND, 7, BEGIN, BEGIN + SECOND};
    crash_table_add(table, &identity, &first);
    crash_table_add(table, &identity, &second);
    assert_true(crash_table_clear(table, &identity, BEGIN + 2 * SECOND, SECOND / 10));
    assert_int_equal(verdict(table, 1, BEGIN + 2 * SECOND), CRASH_NO_SUSPECT);
    crash_table_destroy(table);
}

/* Guards against ends that counted twice: a run broke off, by its link, before its back end ended,
 * and another gateway's run began in between. */
static void a_run_that_broke_off_before_the_end_of_its_start_makes_no_second_one(void **state)
{
    struct crash_table *table = crash_table_create();
    struct request_identity identity = identity_of(1);
    struct crash_start early = {11, BEGIN, 1, BEGIN - SECOND, BEGIN + 3 * SECOND};
    struct crash_start late = {11, BEGIN + 2 * SECOND, 2, BEGIN + SECOND, BEGIN + 2 * SECOND};
    crash_table_add(table, &identity, &early);
    crash_table_add(table, &identity, &late);
    assert_int_equal(crash_table_at(table, 0)->start_count, 1);
    crash_table_destroy(table);
}

/* Guards against ends that came back: a good end was not told to those who had been told of the end
 * before it, and a gateway that began anew learned that one from them. */
static void a_good_end_is_told_even_of_a_request_with_one_end(void **state)
{
    struct crash_table *table = crash_table_create();
    ended(table, 1, 11, BEGIN);
    crash_table_at(table, 0)->untold = false;
    ran_well(table, 1, BEGIN + SECOND);
    assert_true(crash_table_at(table, 0)->untold);
    crash_table_destroy(table);
}

/* --- any order -----------------------------------------------------------------------------------
 */

enum { FACTS = 24, NODES = 3, REQUESTS = 5, STARTS = 7 };

/* A start ended with a request, or a request ran well. */
struct fact {
    uint32_t request;
    uint64_t start; /* 0: it ran well */
    uint64_t at;
};

static void draw_facts(struct random_stream *random, struct fact facts[FACTS])
{
    uint64_t ends[STARTS + 1];
    for (uint32_t i = 0; i <= STARTS; i++)
        ends[i] = BEGIN + random_below(random, 20) * SECOND;
    for (uint32_t i = 0; i < FACTS; i++) {
        uint64_t start = random_below(random, STARTS + 1);
        uint64_t delay = random_below(random, 5) * 1000; /* seen by another gateway */
        facts[i] = (struct fact){(uint32_t)random_below(random, REQUESTS), start,
                                 start ? ends[start] + delay
                                       : BEGIN + random_below(random, 20) * SECOND + 500000};
    }
}

static void take_fact(struct crash_table *table, const struct fact *fact)
{
    if (fact->start)
        ended(table, fact->request, fact->start, fact->at);
    else
        ran_well(table, fact->request, fact->at);
}

static void merge_all(struct crash_table *into, struct crash_table *from)
{
    for (uint32_t i = 0; i < crash_table_count(from); i++)
        crash_table_merge(into, crash_table_at(from, i));
}

/* Facts reach nodes in any order, some twice, and the nodes tell each other again and again. A good
 * end of a request that is not under suspicion is not kept: facts of that kind go to all. */
static void scatter(struct random_stream *random, const struct fact facts[FACTS],
                    struct crash_table *nodes[NODES])
{
    uint32_t order[FACTS] = {0};
    for (uint32_t i = 0; i < FACTS; i++) {
        uint32_t place = (uint32_t)random_below(random, i + 1);
        order[i] = order[place];
        order[place] = i;
    }
    for (uint32_t i = 0; i < FACTS; i++) {
        const struct fact *fact = &facts[order[i]];
        take_fact(nodes[random_below(random, NODES)], fact);
        if (random_below(random, 3) == 0)
            take_fact(nodes[random_below(random, NODES)], fact);
        if (random_below(random, 2) == 0)
            merge_all(nodes[random_below(random, NODES)], nodes[random_below(random, NODES)]);
    }
    for (uint32_t round = 0; round < 2; round++)
        for (uint32_t i = 0; i < NODES; i++)
            for (uint32_t j = 0; j < NODES; j++)
                merge_all(nodes[i], nodes[j]);
}

static void nodes_agree_whatever_the_order(void **state)
{
    for (uint64_t seed = 1; seed <= 2000; seed++) {
        struct random_stream random = {.seed = seed};
        struct fact facts[FACTS];
        struct crash_table *nodes[NODES];
        draw_facts(&random, facts);
        for (uint32_t i = 0; i < NODES; i++)
            nodes[i] = crash_table_create();
        scatter(&random, facts, nodes);
        for (uint32_t i = 1; i < NODES; i++) {
            assert_int_equal(crash_table_digest(nodes[i], BEGIN + 30 * SECOND),
                             crash_table_digest(nodes[0], BEGIN + 30 * SECOND));
            for (uint32_t request = 0; request < REQUESTS; request++)
                assert_int_equal(verdict(nodes[i], request, BEGIN + 30 * SECOND),
                                 verdict(nodes[0], request, BEGIN + 30 * SECOND));
        }
        for (uint32_t i = 0; i < NODES; i++)
            crash_table_destroy(nodes[i]);
    }
}

/* --- a small world -------------------------------------------------------------------------------
 */

enum { ENGINES = 12, PLACES = 13, PLAYERS = 2000, ATTEMPTS = 3, STEPS = 12, ENDED_A_STEP = 6 };

/* Some requests that crash engines, the first numbers, among others that run once and, when broken
 * off, go on. */
struct world {
    struct random_stream random;
    struct crash_table *table;
    bool ranks; /* suspects are placed by rendezvous weight */
    uint32_t on[ENGINES][PLACES + 2];
    uint32_t count[ENGINES];
    uint64_t born[ENGINES];
    uint32_t broken[PLAYERS]; /* times that the request was broken off */
    uint32_t ends;
    uint32_t next_player;
    uint32_t crashing;
    uint32_t refused; /* others that were refused as they went on */
};

static uint32_t by_rank(struct world *world, uint32_t request, uint32_t avoid)
{
    uint32_t best = avoid == 0 ? 1 : 0;
    for (uint32_t engine = 0; engine < ENGINES; engine++)
        if (engine != avoid && hash_pair(request + 77, engine + world->random.seed * 1000) >
                                   hash_pair(request + 77, best + world->random.seed * 1000))
            best = engine;
    return best;
}

static void place(struct world *world, uint32_t request, uint32_t avoid, uint64_t now)
{
    uint32_t engine;
    if (verdict(world->table, request, now) == CRASH_BLOCKED) {
        world->refused += request >= world->crashing;
        return;
    }
    if (world->ranks && verdict(world->table, request, now) == CRASH_SUSPECT)
        engine = by_rank(world, request, avoid);
    else
        engine = (uint32_t)((avoid + 1 + random_below(&world->random, ENGINES - 1)) % ENGINES);
    if (world->count[engine] < PLACES + 2)
        world->on[engine][world->count[engine]++] = request;
}

static void crash(struct world *world, uint32_t engine, uint64_t now)
{
    uint32_t there[PLACES + 2], count = world->count[engine];
    memcpy(there, world->on[engine], sizeof there);
    world->count[engine] = 0;
    world->ends++;
    uint64_t start = crash_start_key("engine", engine * 1000 + world->born[engine]);
    for (uint32_t i = 0; i < count; i++) /* those that crash engines come again, others go on */
        ended_in(world->table, there[i], start, now, there[i] < world->crashing ? world->ends : 0);
    world->born[engine]++;
    for (uint32_t i = 0; i < count; i++)
        if (there[i] >= world->crashing && ++world->broken[there[i]] < ATTEMPTS)
            place(world, there[i], engine, now);
}

static bool has_crashing(const struct world *world, uint32_t engine)
{
    for (uint32_t i = 0; i < world->count[engine]; i++)
        if (world->on[engine][i] < world->crashing)
            return true;
    return false;
}

/* Those that are there longest run to their end; others take their places. */
static void run_on(struct world *world, uint32_t engine, uint64_t now)
{
    uint32_t done = world->count[engine] < ENDED_A_STEP ? world->count[engine] : ENDED_A_STEP;
    for (uint32_t i = 0; i < done; i++)
        ran_well(world->table, world->on[engine][i], now);
    world->count[engine] -= done;
    memmove(world->on[engine], world->on[engine] + done,
            world->count[engine] * sizeof world->on[engine][0]);
    while (world->count[engine] < PLACES)
        world->on[engine][world->count[engine]++] =
            world->crashing + world->next_player++ % (PLAYERS - world->crashing);
}

/* \return other requests that were refused when they went on, or are blocked in the end */
static uint32_t play(struct world *world)
{
    uint32_t blocked = 0;
    for (uint32_t step = 0; step < STEPS; step++) {
        uint64_t now = BEGIN + step * SECOND / 5;
        for (uint32_t engine = 0; engine < ENGINES; engine++)
            run_on(world, engine, now);
        for (uint32_t crashing = 0; crashing < world->crashing; crashing++)
            place(world, crashing, (uint32_t)random_below(&world->random, ENGINES), now);
        for (uint32_t engine = 0; engine < ENGINES; engine++)
            if (has_crashing(world, engine))
                crash(world, engine, now + engine);
    }
    for (uint32_t request = world->crashing; request < PLAYERS; request++)
        blocked += verdict(world->table, request, BEGIN + STEPS * SECOND) == CRASH_BLOCKED;
    return blocked + world->refused;
}

static void play_many(bool ranks, uint32_t crashing, uint32_t worlds, uint32_t *ends,
                      uint32_t *blocked)
{
    *ends = *blocked = 0;
    for (uint64_t seed = 1; seed <= worlds; seed++) {
        struct world world = {.random = {.seed = seed}, .ranks = ranks, .crashing = crashing};
        world.table = crash_table_create();
        *blocked += play(&world);
        *ends += world.ends;
        crash_table_destroy(world.table);
    }
}

/* 12 engines of 13 places; who is broken off goes on at once, with three attempts. */
static void another_request_is_not_blocked(void **state)
{
    uint32_t ends, blocked;
    play_many(true, 1, 1000, &ends, &blocked);
    print_message("one, with ranks: %u ends in 1,000 worlds, %u others blocked\n", ends, blocked);
    assert_int_equal(blocked, 0);
    assert_in_range(ends, 3000, 3300);
    play_many(false, 1, 1000, &ends, &blocked);
    print_message("one, without: %u ends, %u others blocked\n", ends, blocked);
}

/* Three of them at once: others are met by chance at the ends of several. */
static void nor_is_one_beside_three_that_crash_engines(void **state)
{
    uint32_t ends, blocked;
    play_many(true, 3, 1000, &ends, &blocked);
    print_message("three: %u ends in 1,000 worlds, %u others blocked\n", ends, blocked);
    assert_in_range(blocked, 0, 10);
    assert_in_range(ends, 6000, 12000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(three_ended_starts_block_a_request),
        cmocka_unit_test(a_start_counts_once_whoever_reports_it),
        cmocka_unit_test(starts_of_one_id_are_told_apart),
        cmocka_unit_test(many_that_end_at_one_moment_count_once),
        cmocka_unit_test(who_was_there_with_another_one_is_not_blocked),
        cmocka_unit_test(two_that_always_meet_are_blocked_in_the_end),
        cmocka_unit_test(one_attempt_at_three_ends_is_not_enough),
        cmocka_unit_test(a_good_end_clears),
        cmocka_unit_test(a_blocked_request_is_tried_again_some_day),
        cmocka_unit_test(one_end_is_forgotten_soon_and_more_are_not),
        cmocka_unit_test(a_full_table_keeps_the_most_suspect),
        cmocka_unit_test(a_run_that_began_after_the_end_of_a_start_was_at_another_one),
        cmocka_unit_test(news_that_come_late_make_no_second_end),
        cmocka_unit_test(the_rest_of_a_stream_clears_only_ends_of_shorter_runs),
        cmocka_unit_test(the_rest_of_a_stream_clears_one_attempt),
        cmocka_unit_test(a_run_that_broke_off_before_the_end_of_its_start_makes_no_second_one),
        cmocka_unit_test(a_good_end_is_told_even_of_a_request_with_one_end),
        cmocka_unit_test(nodes_agree_whatever_the_order),
        cmocka_unit_test(another_request_is_not_blocked),
        cmocka_unit_test(nor_is_one_beside_three_that_crash_engines),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* What back ends say of themselves binds until their start ends, whatever a list says. */
#include "testing.h"

#include "core/backend_pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US 1000000ULL

static const struct backend_pool_settings settings = {.queue_per_engine = 3,
                                                      .tokens_per_engine = 100000,
                                                      .max_load_age_us = SECOND_US,
                                                      .max_near_load_age_us = SECOND_US,
                                                      .unlisted_grace_us = 2 * SECOND_US,
                                                      .min_drain_us = 2 * SECOND_US};

static const struct backend_statement leaves = {.leaving = true};
static const struct backend_statement works = {.works = true};

static struct backend_statement backs_off(uint64_t backoff_us)
{
    return (struct backend_statement){.backoff_us = backoff_us};
}

static struct backend_listing listing_of(int number, uint64_t born)
{
    struct backend_listing listing = {.slots = 16, .has_weights = true, .version = 1, .born = born};
    snprintf(listing.id, sizeof listing.id, "i-%d", number);
    snprintf(listing.address, sizeof listing.address, "10.0.0.%d:80", number);
    strcpy(listing.service, "llm");
    return listing;
}

static struct backend *list(struct backend_pool *pool, int number, uint64_t born)
{
    struct backend_listing listing = listing_of(number, born);
    return backend_pool_list(pool, &listing, 0);
}

static const struct backend_criteria criteria = {
    .service = "llm", .engine = true, .tokens = 10, .mean_prompt_tokens = 10, .gateways = 1};

static struct backend *choose(struct backend_pool *pool, uint64_t now)
{
    struct backend *chosen;
    return backend_pool_choose(pool, &criteria, now, &chosen) == BACKEND_FOUND ? chosen : NULL;
}

static bool may_begin(const struct backend_pool *pool, const struct backend *backend, uint64_t now)
{
    return backend_may_start_request(pool, backend, &criteria, now);
}

static bool is_unchanged(struct backend_statement_effect change)
{
    return !change.now_leaving && !change.now_backed_off;
}

static void unlist(struct backend_pool *pool, bool from_outage, uint64_t now)
{
    struct backend_unlisting drop = {.learned = now, .from_outage = from_outage};
    backend_pool_unlist(pool, "i-1", &drop, now);
}

static void a_back_end_that_leaves_gets_nothing_whatever_the_list_says(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    assert_ptr_equal(choose(pool, 1), backend);
    assert_true(backend_pool_apply_statement(pool, backend, &leaves, 2).now_leaving);
    assert_true(is_unchanged(backend_pool_apply_statement(pool, backend, &leaves, 3)));
    assert_true(is_unchanged(backend_pool_apply_statement(pool, backend, &works, 4)));
    assert_null(choose(pool, 5));
    assert_false(may_begin(pool, backend, 5));
    assert_ptr_equal(list(pool, 1, 7), backend);
    assert_null(choose(pool, 3600 * SECOND_US));
    assert_int_equal(backend_pool_backoff_end(pool, &criteria, 5), 0);
    backend_pool_destroy(pool);
}

static void a_list_that_lapsed_does_not_bring_a_leaving_back_end_back(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &leaves, 2);
    unlist(pool, true, 3);
    assert_int_equal(backend_pool_count(pool), 0);
    list(pool, 1, 7);
    assert_null(choose(pool, 4));
    backend_pool_destroy(pool);
}

/* The answer to a request that was under way comes after the list dropped its back end. */
static void what_a_dropped_back_end_says_counts_when_it_is_listed_again(void **state)
{
    for (int again_first = 0; again_first < 2; again_first++) {
        struct backend_pool *pool = backend_pool_create(&settings, 1);
        struct backend *before = backend_retain(list(pool, 1, 7));
        unlist(pool, true, SECOND_US);
        backend_pool_expire(pool, true, 10 * SECOND_US);
        assert_int_equal(backend_pool_count(pool), 0);
        if (again_first)
            list(pool, 1, 7);
        backend_pool_apply_statement(pool, before, &leaves, 11 * SECOND_US);
        list(pool, 1, 7);
        assert_null(choose(pool, 12 * SECOND_US));
        backend_release(before);
        backend_pool_destroy(pool);
    }
}

static void another_start_is_used_again(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &leaves, 2);
    struct backend *next = list(pool, 1, 8);
    assert_ptr_equal(choose(pool, 3), next);
    /* Its machine may know of a start before the list does. */
    backend_pool_apply_statement(pool, next, &leaves, 4);
    struct backend_load load = {.version = 1, .born = 9};
    assert_non_null(backend_pool_report(pool, "10.0.0.1:80", &load, 5));
    assert_non_null(choose(pool, 6));
    backend_pool_destroy(pool);
}

static void a_start_without_a_date_is_another_one_where_the_last_one_ended(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 0);
    struct backend_load load = {.version = 1};
    backend_pool_apply_statement(pool, backend, &leaves, 2);
    backend_pool_report(pool, "10.0.0.1:80", &load, 3);
    assert_null(choose(pool, 4));
    backend_pool_mark_down(pool, backend, 5);
    backend_pool_report(pool, "10.0.0.1:80", &load, SECOND_US);
    assert_ptr_equal(choose(pool, SECOND_US), backend);
    /* Nor does it come back with the entry, once that has lapsed. */
    unlist(pool, false, 2 * SECOND_US);
    backend_pool_expire(pool, true, 9 * SECOND_US);
    assert_ptr_equal(choose(pool, 9 * SECOND_US), NULL);
    list(pool, 1, 0);
    assert_non_null(choose(pool, 9 * SECOND_US));
    backend_pool_destroy(pool);
}

/* An entry that is told again is no sign of life: 40 requests went to an address that refused them.
 */
static void an_entry_that_is_repeated_says_nothing_new_of_its_start(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    backend_pool_mark_down(pool, backend, 2);
    assert_ptr_equal(list(pool, 1, 7), backend);
    assert_null(choose(pool, 3));
    backend_pool_apply_statement(pool, backend, &leaves, 4);
    list(pool, 1, 7);
    struct backend_load load = {.version = 1, .born = 7};
    backend_pool_report(pool, "10.0.0.1:80", &load, 5);
    assert_null(choose(pool, 6));
    backend_pool_destroy(pool);
}

static void what_its_machine_reports_counts_too(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_load load = {.version = 1, .born = 7, .leaving = true};
    backend_pool_report(pool, "10.0.0.1:80", &load, 2);
    assert_null(choose(pool, 3));
    /* Also when the machine falls silent. */
    assert_null(choose(pool, 60 * SECOND_US));
    load.leaving = false;
    backend_pool_report(pool, "10.0.0.1:80", &load, 61 * SECOND_US);
    assert_ptr_equal(choose(pool, 61 * SECOND_US), backend);
    backend_pool_destroy(pool);
}

static void a_back_end_is_left_alone_for_as_long_as_it_asked(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_statement three = backs_off(3 * SECOND_US), one = backs_off(SECOND_US);
    assert_true(backend_pool_apply_statement(pool, backend, &three, 0).now_backed_off);
    assert_true(is_unchanged(backend_pool_apply_statement(pool, backend, &one, SECOND_US)));
    backend_pool_apply_statement(pool, backend, &works,
                                 2 * SECOND_US); /* an answer to an earlier request */
    assert_null(choose(pool, 3 * SECOND_US - 1));
    assert_false(may_begin(pool, backend, 3 * SECOND_US - 1));
    assert_int_equal(backend_pool_backoff_end(pool, &criteria, SECOND_US), 3 * SECOND_US);
    assert_true(
        backend_pool_apply_statement(pool, backend, &one, 2 * SECOND_US + 1).now_backed_off);
    assert_null(choose(pool, 3 * SECOND_US));
    assert_ptr_equal(choose(pool, 3 * SECOND_US + 1), backend);
    backend_pool_destroy(pool);
}

static void an_endless_time_is_cut_to_an_hour(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_statement year = backs_off(31536000 * SECOND_US);
    backend_pool_apply_statement(pool, backend, &year, 0);
    assert_null(choose(pool, BACKEND_MAX_BACKOFF_US - 1));
    assert_non_null(choose(pool, BACKEND_MAX_BACKOFF_US));
    backend_pool_destroy(pool);
}

static void after_its_time_off_one_request_goes_first(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_statement one = backs_off(SECOND_US);
    backend_pool_apply_statement(pool, backend, &one, 0);
    assert_ptr_equal(choose(pool, SECOND_US), backend);
    backend_request_started(backend, 10, SECOND_US);
    assert_null(choose(pool, SECOND_US + 1));
    backend_pool_apply_statement(pool, backend, &works, SECOND_US + 2);
    assert_ptr_equal(choose(pool, SECOND_US + 3), backend);
    backend_request_started(backend, 10, SECOND_US + 3);
    assert_ptr_equal(choose(pool, SECOND_US + 4), backend);
    backend_pool_destroy(pool);
}

static void others_are_used_while_one_is_left_alone(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_statement one = backs_off(SECOND_US);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &one, 0);
    struct backend *other = list(pool, 2, 7);
    for (uint64_t now = 0; now < 50; now++)
        assert_ptr_equal(choose(pool, now), other);
    assert_int_equal(backend_pool_backoff_end(pool, &criteria, 1), 0);
    backend_pool_destroy(pool);
}

/* In an outage of the list's keeper a back end had started again under its id, and asked for time
 * in an answer. The list named that start 1.2 s later: the answer was taken for one of the start
 * before, and 11 requests of one gateway reached it within the rest of that time. */
static void a_start_that_the_list_names_late_is_left_alone_as_it_asked(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_statement three = backs_off(3 * SECOND_US);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &three, SECOND_US);
    struct backend *next = list(pool, 1, 9);
    assert_null(choose(pool, 2 * SECOND_US));
    assert_null(choose(pool, 4 * SECOND_US - 1));
    assert_ptr_equal(choose(pool, 4 * SECOND_US), next);
    backend_pool_destroy(pool);
}

/* --- orders of events ----------------------------------------------------------------------------
 */

#define WORLD_STEPS 60
#define WORLD_BACKENDS 3

/* What the back ends have said, seen from outside the pool. */
struct said {
    uint64_t born;
    bool leaving;
    uint64_t backoff_until;
};

struct world {
    struct backend_pool *pool;
    struct random_stream random;
    struct said said[WORLD_BACKENDS];
    struct backend *connected[WORLD_BACKENDS]; /* a request is under way there, or NULL */
    uint64_t now;
};

static void begin_start(struct world *world, int number)
{
    struct said *said = &world->said[number];
    *said = (struct said){.born = said->born + 1};
}

static void connect_to(struct world *world, int number)
{
    char address[BACKEND_ADDRESS_SIZE];
    snprintf(address, sizeof address, "10.0.0.%d:80", number + 1);
    struct backend *backend = backend_pool_find_address(world->pool, address);
    if (!backend)
        return;
    if (world->connected[number])
        backend_release(world->connected[number]);
    world->connected[number] = backend_retain(backend);
}

static void answer(struct world *world, int number)
{
    struct backend *backend = world->connected[number];
    struct said *said = &world->said[number];
    if (!backend || backend->listing.born != said->born)
        return; /* a connection does not outlive its start */
    struct backend_statement statement = {.works = random_below(&world->random, 2)};
    statement.leaving = said->leaving || random_below(&world->random, 6) == 0;
    if (random_below(&world->random, 3) == 0)
        statement.backoff_us = random_below(&world->random, 4 * SECOND_US);
    said->leaving = statement.leaving;
    uint64_t until = world->now + statement.backoff_us;
    if (statement.backoff_us && until > said->backoff_until)
        said->backoff_until = until;
    backend_pool_apply_statement(world->pool, backend, &statement, world->now);
}

static void step(struct world *world)
{
    int number = (int)random_below(&world->random, WORLD_BACKENDS);
    struct backend_load load = {.version = 1, .born = world->said[number].born};
    char address[BACKEND_ADDRESS_SIZE], id[BACKEND_ID_SIZE];
    snprintf(address, sizeof address, "10.0.0.%d:80", number + 1);
    snprintf(id, sizeof id, "i-%d", number + 1);
    struct backend_unlisting drop = {world->now, random_below(&world->random, 2)};
    world->now += random_below(&world->random, SECOND_US);
    struct backend *backend = backend_pool_find_address(world->pool, address);
    switch (random_below(&world->random, 11)) {
    case 0:
        begin_start(world, number);
        break;
    case 1:
    case 2: /* an entry of the present start, or one that lags behind */
        list(world->pool, number + 1, world->said[number].born - random_below(&world->random, 2));
        break;
    case 3:
        backend_pool_unlist(world->pool, id, &drop, world->now);
        break;
    case 4:
        backend_pool_expire(world->pool, random_below(&world->random, 2), world->now);
        break;
    case 5:
        backend_pool_report(world->pool, address, &load, world->now);
        break;
    case 6: /* taken for ended, rightly or not */
        if (backend)
            backend_pool_mark_down(world->pool, backend, world->now);
        break;
    case 7:
    case 8:
        connect_to(world, number);
        break;
    default:
        answer(world, number);
    }
}

/* No choice and no check before a send lets a request go to a start that does not want it. */
static void check_world(struct world *world)
{
    for (int i = 0; i < 4; i++) {
        struct backend *chosen = choose(world->pool, world->now);
        if (!chosen)
            return;
        const struct said *said = &world->said[atoi(chosen->listing.id + 2) - 1];
        if (chosen->listing.born != said->born)
            continue; /* a start that has ended: nobody is there to be bothered */
        assert_false(said->leaving);
        assert_true(world->now >= said->backoff_until);
        assert_true(may_begin(world->pool, chosen, world->now));
    }
}

static void no_order_of_events_sends_to_who_does_not_want_it(void **state)
{
    for (uint64_t seed = 1; seed <= 20000; seed++) {
        struct world world = {.pool = backend_pool_create(&settings, seed), .random.seed = seed};
        for (int i = 0; i < WORLD_BACKENDS; i++) {
            world.said[i].born = 1;
            list(world.pool, i + 1, 1);
        }
        for (int i = 0; i < WORLD_STEPS; i++) {
            step(&world);
            check_world(&world);
        }
        for (int i = 0; i < WORLD_BACKENDS; i++)
            if (world.connected[i])
                backend_release(world.connected[i]);
        backend_pool_destroy(world.pool);
    }
}

/* Guards against a request that ended leaving engines and was sent on: no such end counted. */
static void an_end_is_planned_once_the_promised_time_is_over(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    assert_false(backend_exit_is_planned(pool, backend, 100 * SECOND_US));
    backend_pool_apply_statement(pool, backend, &leaves, 100 * SECOND_US);
    backend_record_leaving(backend, 100 * SECOND_US);
    backend_record_leaving(backend, 101 * SECOND_US); /* the first word counts */
    assert_false(backend_exit_is_planned(pool, backend, 102 * SECOND_US - 1));
    assert_true(backend_exit_is_planned(pool, backend, 102 * SECOND_US));
    backend = list(pool, 1, 6); /* the next start says nothing */
    assert_false(backend_exit_is_planned(pool, backend, 110 * SECOND_US));
    backend_pool_destroy(pool);
}

static void an_end_is_planned_where_it_is_not_known_since_when_it_leaves(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    backend_pool_apply_statement(pool, backend, &leaves, 100 * SECOND_US);
    backend_record_leaving(backend, 0);
    assert_true(backend_exit_is_planned(pool, backend, 100 * SECOND_US));
    backend_pool_destroy(pool);
}

static void what_the_list_dropped_serves_on_too_and_may_come_back(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    unlist(pool, false, 100 * SECOND_US);
    assert_false(backend_exit_is_planned(pool, backend, 101 * SECOND_US));
    assert_true(backend_exit_is_planned(pool, backend, 102 * SECOND_US));
    backend = list(pool, 1, 5);
    assert_false(backend_exit_is_planned(pool, backend, 103 * SECOND_US));
    unlist(pool, false, 104 * SECOND_US);
    assert_false(backend_exit_is_planned(pool, backend, 105 * SECOND_US));
    backend_pool_destroy(pool);
}

static void what_an_outage_dropped_may_live(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    unlist(pool, true, 100 * SECOND_US);
    assert_false(backend_exit_is_planned(pool, backend, 110 * SECOND_US));
    backend_pool_destroy(pool);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_back_end_that_leaves_gets_nothing_whatever_the_list_says),
        cmocka_unit_test(a_list_that_lapsed_does_not_bring_a_leaving_back_end_back),
        cmocka_unit_test(what_a_dropped_back_end_says_counts_when_it_is_listed_again),
        cmocka_unit_test(another_start_is_used_again),
        cmocka_unit_test(a_start_without_a_date_is_another_one_where_the_last_one_ended),
        cmocka_unit_test(an_entry_that_is_repeated_says_nothing_new_of_its_start),
        cmocka_unit_test(what_its_machine_reports_counts_too),
        cmocka_unit_test(a_back_end_is_left_alone_for_as_long_as_it_asked),
        cmocka_unit_test(an_endless_time_is_cut_to_an_hour),
        cmocka_unit_test(after_its_time_off_one_request_goes_first),
        cmocka_unit_test(others_are_used_while_one_is_left_alone),
        cmocka_unit_test(a_start_that_the_list_names_late_is_left_alone_as_it_asked),
        cmocka_unit_test(no_order_of_events_sends_to_who_does_not_want_it),
        cmocka_unit_test(an_end_is_planned_once_the_promised_time_is_over),
        cmocka_unit_test(an_end_is_planned_where_it_is_not_known_since_when_it_leaves),
        cmocka_unit_test(what_the_list_dropped_serves_on_too_and_may_come_back),
        cmocka_unit_test(what_an_outage_dropped_may_live),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

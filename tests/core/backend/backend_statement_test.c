/* Statements of backends about themselves hold for their incarnation, whatever the list says. */
#include "testing.h"

#include "core/backend/backend_pool.h"

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

static const struct backend_statement leaving = {.leaving = true};
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

static void a_leaving_backend_gets_no_requests_even_if_listed_again(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    assert_ptr_equal(choose(pool, 1), backend);
    assert_true(backend_pool_apply_statement(pool, backend, &leaving, 2).now_leaving);
    assert_true(is_unchanged(backend_pool_apply_statement(pool, backend, &leaving, 3)));
    assert_true(is_unchanged(backend_pool_apply_statement(pool, backend, &works, 4)));
    assert_null(choose(pool, 5));
    assert_false(may_begin(pool, backend, 5));
    assert_ptr_equal(list(pool, 1, 7), backend);
    assert_null(choose(pool, 3600 * SECOND_US));
    assert_int_equal(backend_pool_withheld_until(pool, &criteria, 5), 0);
    backend_pool_destroy(pool);
}

static void leaving_survives_a_loss_of_the_list(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &leaving, 2);
    unlist(pool, true, 3);
    assert_int_equal(backend_pool_count(pool), 0);
    list(pool, 1, 7);
    assert_null(choose(pool, 4));
    backend_pool_destroy(pool);
}

/* The answer to a request in flight arrives after its backend was removed. */
static void statements_of_a_removed_backend_apply_when_it_is_listed_again(void **state)
{
    for (int listed_first = 0; listed_first < 2; listed_first++) {
        struct backend_pool *pool = backend_pool_create(&settings, 1);
        struct backend *before = backend_retain(list(pool, 1, 7));
        unlist(pool, true, SECOND_US);
        backend_pool_expire(pool, true, 10 * SECOND_US);
        assert_int_equal(backend_pool_count(pool), 0);
        if (listed_first)
            list(pool, 1, 7);
        backend_pool_apply_statement(pool, before, &leaving, 11 * SECOND_US);
        list(pool, 1, 7);
        assert_null(choose(pool, 12 * SECOND_US));
        backend_release(before);
        backend_pool_destroy(pool);
    }
}

static void statements_do_not_bind_the_next_incarnation(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &leaving, 2);
    struct backend *next = list(pool, 1, 8);
    assert_ptr_equal(choose(pool, 3), next);
    /* A load report may name a later incarnation before the list does. */
    backend_pool_apply_statement(pool, next, &leaving, 4);
    struct backend_load load = {.version = 1, .born = 9};
    assert_non_null(backend_pool_report(pool, "10.0.0.1:80", &load, 5));
    assert_non_null(choose(pool, 6));
    backend_pool_destroy(pool);
}

static void without_start_times_a_backend_shown_after_an_end_is_a_new_incarnation(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 0);
    struct backend_load load = {.version = 1};
    backend_pool_apply_statement(pool, backend, &leaving, 2);
    backend_pool_report(pool, "10.0.0.1:80", &load, 3);
    assert_null(choose(pool, 4));
    backend_pool_mark_down(pool, backend, 5);
    backend_pool_report(pool, "10.0.0.1:80", &load, SECOND_US);
    assert_ptr_equal(choose(pool, SECOND_US), backend);
    /* The cleared statement is not restored with the entry after an unlisting. */
    unlist(pool, false, 2 * SECOND_US);
    backend_pool_expire(pool, true, 9 * SECOND_US);
    assert_ptr_equal(choose(pool, 9 * SECOND_US), NULL);
    list(pool, 1, 0);
    assert_non_null(choose(pool, 9 * SECOND_US));
    backend_pool_destroy(pool);
}

/* Guards against taking a repeated entry for evidence that the backend is up: 40 requests went to
 * an address that refused them. */
static void a_repeated_entry_does_not_revive_its_incarnation(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    backend_pool_mark_down(pool, backend, 2);
    assert_ptr_equal(list(pool, 1, 7), backend);
    assert_null(choose(pool, 3));
    backend_pool_apply_statement(pool, backend, &leaving, 4);
    list(pool, 1, 7);
    struct backend_load load = {.version = 1, .born = 7};
    backend_pool_report(pool, "10.0.0.1:80", &load, 5);
    assert_null(choose(pool, 6));
    backend_pool_destroy(pool);
}

static void leaving_in_a_load_report_counts(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_load load = {.version = 1, .born = 7, .leaving = true};
    backend_pool_report(pool, "10.0.0.1:80", &load, 2);
    assert_null(choose(pool, 3));
    /* Also when the reports stop. */
    assert_null(choose(pool, 60 * SECOND_US));
    load.leaving = false;
    backend_pool_report(pool, "10.0.0.1:80", &load, 61 * SECOND_US);
    assert_ptr_equal(choose(pool, 61 * SECOND_US), backend);
    backend_pool_destroy(pool);
}

static void a_backoff_lasts_as_long_as_requested(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_statement three = backs_off(3 * SECOND_US), one = backs_off(SECOND_US);
    assert_true(backend_pool_apply_statement(pool, backend, &three, 0).now_backed_off);
    assert_true(is_unchanged(backend_pool_apply_statement(pool, backend, &one, SECOND_US)));
    /* An answer to an earlier request. */
    backend_pool_apply_statement(pool, backend, &works, 2 * SECOND_US);
    assert_null(choose(pool, 3 * SECOND_US - 1));
    assert_false(may_begin(pool, backend, 3 * SECOND_US - 1));
    assert_int_equal(backend_pool_withheld_until(pool, &criteria, SECOND_US), 3 * SECOND_US);
    assert_true(
        backend_pool_apply_statement(pool, backend, &one, 2 * SECOND_US + 1).now_backed_off);
    assert_null(choose(pool, 3 * SECOND_US));
    assert_ptr_equal(choose(pool, 3 * SECOND_US + 1), backend);
    backend_pool_destroy(pool);
}

static void a_backoff_is_limited_to_an_hour(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_statement year = backs_off(31536000 * SECOND_US);
    backend_pool_apply_statement(pool, backend, &year, 0);
    assert_null(choose(pool, BACKEND_MAX_BACKOFF_US - 1));
    assert_non_null(choose(pool, BACKEND_MAX_BACKOFF_US));
    backend_pool_destroy(pool);
}

static void after_a_backoff_one_probe_goes_first(void **state)
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

/* Guards against a backend that one gateway never uses again: the request that was chosen as its
 * probe was not sent, as it waited for a lease or had no time left, and none followed. */
static void a_probe_that_was_not_sent_leaves_the_next_request_to_probe(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 7);
    struct backend_statement one = backs_off(SECOND_US);
    backend_pool_apply_statement(pool, backend, &one, 0);
    assert_ptr_equal(choose(pool, SECOND_US), backend);
    assert_ptr_equal(choose(pool, SECOND_US + 1), backend);
    backend_request_started(backend, 10, SECOND_US + 2);
    assert_null(choose(pool, SECOND_US + 3));
    backend_pool_destroy(pool);
}

static void other_backends_are_used_during_a_backoff(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_statement one = backs_off(SECOND_US);
    backend_pool_apply_statement(pool, list(pool, 1, 7), &one, 0);
    struct backend *other = list(pool, 2, 7);
    for (uint64_t now = 0; now < 50; now++)
        assert_ptr_equal(choose(pool, now), other);
    assert_int_equal(backend_pool_withheld_until(pool, &criteria, 1), 0);
    backend_pool_destroy(pool);
}

/* Guards against a backoff that is lost at a restart. During a store outage a backend restarted
 * under its id and asked for a backoff in an answer. The list named the new incarnation 1.2 s
 * later, so the backoff was attributed to the earlier incarnation, and 11 requests of one gateway
 * reached the backend before the backoff was over. */
static void a_backoff_holds_for_an_incarnation_that_is_listed_late(void **state)
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

/* --- random orders of events ------------------------------------------------------------------ */

#define FUZZ_STEPS 60
#define FUZZ_BACKENDS 3

/* What the current incarnation of a backend has stated, tracked outside the pool. */
struct stated {
    uint64_t born;
    bool leaving;
    uint64_t backoff_until;
};

struct scenario {
    struct backend_pool *pool;
    struct random_stream random;
    struct stated stated[FUZZ_BACKENDS];
    struct backend *connected[FUZZ_BACKENDS]; /* with a request in flight, or NULL */
    uint64_t now;
};

static void begin_incarnation(struct scenario *scenario, int number)
{
    struct stated *stated = &scenario->stated[number];
    *stated = (struct stated){.born = stated->born + 1};
}

static void connect_to(struct scenario *scenario, int number)
{
    char address[BACKEND_ADDRESS_SIZE];
    snprintf(address, sizeof address, "10.0.0.%d:80", number + 1);
    struct backend *backend = backend_pool_find_address(scenario->pool, address);
    if (!backend)
        return;
    if (scenario->connected[number])
        backend_release(scenario->connected[number]);
    scenario->connected[number] = backend_retain(backend);
}

static void answer(struct scenario *scenario, int number)
{
    struct backend *backend = scenario->connected[number];
    struct stated *stated = &scenario->stated[number];
    if (!backend || backend->listing.born != stated->born)
        return; /* connections end with their incarnation */
    struct backend_statement statement = {.works = random_below(&scenario->random, 2)};
    statement.leaving = stated->leaving || random_below(&scenario->random, 6) == 0;
    if (random_below(&scenario->random, 3) == 0)
        statement.backoff_us = random_below(&scenario->random, 4 * SECOND_US);
    stated->leaving = statement.leaving;
    uint64_t until = scenario->now + statement.backoff_us;
    if (statement.backoff_us && until > stated->backoff_until)
        stated->backoff_until = until;
    backend_pool_apply_statement(scenario->pool, backend, &statement, scenario->now);
}

static void step(struct scenario *scenario)
{
    int number = (int)random_below(&scenario->random, FUZZ_BACKENDS);
    struct backend_load load = {.version = 1, .born = scenario->stated[number].born};
    char address[BACKEND_ADDRESS_SIZE], id[BACKEND_ID_SIZE];
    snprintf(address, sizeof address, "10.0.0.%d:80", number + 1);
    snprintf(id, sizeof id, "i-%d", number + 1);
    struct backend_unlisting drop = {scenario->now, random_below(&scenario->random, 2), false};
    scenario->now += random_below(&scenario->random, SECOND_US);
    struct backend *backend = backend_pool_find_address(scenario->pool, address);
    switch (random_below(&scenario->random, 11)) {
    case 0:
        begin_incarnation(scenario, number);
        break;
    case 1:
    case 2: /* an entry of the current incarnation, or an outdated one */
        list(scenario->pool, number + 1,
             scenario->stated[number].born - random_below(&scenario->random, 2));
        break;
    case 3:
        backend_pool_unlist(scenario->pool, id, &drop, scenario->now);
        break;
    case 4:
        backend_pool_expire(scenario->pool, random_below(&scenario->random, 2), scenario->now);
        break;
    case 5:
        backend_pool_report(scenario->pool, address, &load, scenario->now);
        break;
    case 6: /* presumed down, rightly or not */
        if (backend)
            backend_pool_mark_down(scenario->pool, backend, scenario->now);
        break;
    case 7:
    case 8:
        connect_to(scenario, number);
        break;
    default:
        answer(scenario, number);
    }
}

/* Neither the choice nor the check before sending lets a request go to an incarnation that is
 * leaving or backed off. */
static void check_choices(struct scenario *scenario)
{
    for (int i = 0; i < 4; i++) {
        struct backend *chosen = choose(scenario->pool, scenario->now);
        if (!chosen)
            return;
        const struct stated *stated = &scenario->stated[atoi(chosen->listing.id + 2) - 1];
        if (chosen->listing.born != stated->born)
            continue; /* this incarnation has already ended */
        assert_false(stated->leaving);
        assert_true(scenario->now >= stated->backoff_until);
        assert_true(may_begin(scenario->pool, chosen, scenario->now));
    }
}

static void no_order_of_events_violates_a_statement(void **state)
{
    for (uint64_t seed = 1; seed <= 20000; seed++) {
        struct scenario scenario = {.pool = backend_pool_create(&settings, seed),
                                    .random.seed = seed};
        for (int i = 0; i < FUZZ_BACKENDS; i++) {
            scenario.stated[i].born = 1;
            list(scenario.pool, i + 1, 1);
        }
        for (int i = 0; i < FUZZ_STEPS; i++) {
            step(&scenario);
            check_choices(&scenario);
        }
        for (int i = 0; i < FUZZ_BACKENDS; i++)
            if (scenario.connected[i])
                backend_release(scenario.connected[i]);
        backend_pool_destroy(scenario.pool);
    }
}

/* Guards against a request that crashed leaving engines and was sent to the next one each time:
 * none of these crashes was counted. */
static void an_exit_is_planned_after_the_minimum_drain_time(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    assert_false(backend_exit_is_planned(pool, backend, 100 * SECOND_US));
    backend_pool_apply_statement(pool, backend, &leaving, 100 * SECOND_US);
    backend_record_leaving(backend, 100 * SECOND_US);
    backend_record_leaving(backend, 101 * SECOND_US); /* the first record counts */
    assert_false(backend_exit_is_planned(pool, backend, 102 * SECOND_US - 1));
    assert_true(backend_exit_is_planned(pool, backend, 102 * SECOND_US));
    backend = list(pool, 1, 6); /* the next incarnation has not announced anything */
    assert_false(backend_exit_is_planned(pool, backend, 110 * SECOND_US));
    backend_pool_destroy(pool);
}

/* Guards against a crash that was left out, as "not known since when" was taken for "long ago":
 * requests were sent on after their third crash. */
static void an_exit_is_not_planned_if_the_start_of_leaving_is_not_known(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    backend_pool_apply_statement(pool, backend, &leaving, 100 * SECOND_US);
    assert_false(backend_exit_is_planned(pool, backend, 100 * SECOND_US));
    backend_record_leaving(backend, 100 * SECOND_US);
    assert_false(backend_exit_is_planned(pool, backend, 102 * SECOND_US - 1));
    assert_true(backend_exit_is_planned(pool, backend, 102 * SECOND_US));
    backend_pool_destroy(pool);
}

static void a_snapshot_that_lacks_an_entry_does_not_date_its_removal(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    struct backend_unlisting drop = {.learned = 1, .undated = true};
    backend_retain(backend);
    backend_pool_unlist(pool, backend->listing.id, &drop, 100 * SECOND_US);
    assert_false(backend_exit_is_planned(pool, backend, 102 * SECOND_US - 1));
    assert_true(backend_exit_is_planned(pool, backend, 102 * SECOND_US));
    backend_release(backend);
    backend_pool_destroy(pool);
}

/* An entry was gone; the next incarnation, known by reports and not listed yet, crashed under three
 * requests, and the removal of the earlier one made that a planned exit. */
static void an_incarnation_does_not_inherit_the_removal_of_the_one_before(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_load load = {.version = 1, .born = 6};
    list(pool, 1, 5);
    unlist(pool, false, 100 * SECOND_US);
    struct backend *next = backend_pool_report(pool, "10.0.0.1:80", &load, 101 * SECOND_US);
    assert_int_equal(backend_born(next), 6);
    assert_false(backend_exit_is_planned(pool, next, 103 * SECOND_US));
    backend_pool_destroy(pool);
}

static void a_backend_that_is_listed_again_has_been_leaving_since_it_said_so(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, 5);
    backend_pool_apply_statement(pool, backend, &leaving, 100 * SECOND_US);
    backend_record_leaving(backend, 100 * SECOND_US);
    unlist(pool, false, 101 * SECOND_US);
    backend = list(pool, 1, 5);
    assert_false(backend_exit_is_planned(pool, backend, 102 * SECOND_US - 1));
    assert_true(backend_exit_is_planned(pool, backend, 102 * SECOND_US));
    backend_pool_destroy(pool);
}

static void an_exit_after_an_unlisting_is_planned_until_listed_again(void **state)
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

static void an_exit_after_an_unlisting_in_an_outage_is_not_planned(void **state)
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
        cmocka_unit_test(a_leaving_backend_gets_no_requests_even_if_listed_again),
        cmocka_unit_test(leaving_survives_a_loss_of_the_list),
        cmocka_unit_test(statements_of_a_removed_backend_apply_when_it_is_listed_again),
        cmocka_unit_test(statements_do_not_bind_the_next_incarnation),
        cmocka_unit_test(without_start_times_a_backend_shown_after_an_end_is_a_new_incarnation),
        cmocka_unit_test(a_repeated_entry_does_not_revive_its_incarnation),
        cmocka_unit_test(leaving_in_a_load_report_counts),
        cmocka_unit_test(a_backoff_lasts_as_long_as_requested),
        cmocka_unit_test(a_backoff_is_limited_to_an_hour),
        cmocka_unit_test(after_a_backoff_one_probe_goes_first),
        cmocka_unit_test(a_probe_that_was_not_sent_leaves_the_next_request_to_probe),
        cmocka_unit_test(other_backends_are_used_during_a_backoff),
        cmocka_unit_test(a_backoff_holds_for_an_incarnation_that_is_listed_late),
        cmocka_unit_test(no_order_of_events_violates_a_statement),
        cmocka_unit_test(an_exit_is_planned_after_the_minimum_drain_time),
        cmocka_unit_test(an_exit_is_not_planned_if_the_start_of_leaving_is_not_known),
        cmocka_unit_test(a_snapshot_that_lacks_an_entry_does_not_date_its_removal),
        cmocka_unit_test(an_incarnation_does_not_inherit_the_removal_of_the_one_before),
        cmocka_unit_test(a_backend_that_is_listed_again_has_been_leaving_since_it_said_so),
        cmocka_unit_test(an_exit_after_an_unlisting_is_planned_until_listed_again),
        cmocka_unit_test(an_exit_after_an_unlisting_in_an_outage_is_not_planned),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

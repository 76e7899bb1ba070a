/* Choice of a backend for a request: eligibility, room, grace periods, ejection and load shares. */
#include "testing.h"

#include "core/backend/backend_pool.h"

#include <stdio.h>
#include <string.h>

#define SECOND_US 1000000ULL

static const struct backend_pool_settings settings = {.queue_per_engine = 3,
                                                      .tokens_per_engine = 4500,
                                                      .max_load_age_us = SECOND_US,
                                                      .max_near_load_age_us = SECOND_US,
                                                      .unlisted_grace_us = 2 * SECOND_US};

static struct backend_listing listing_of(int number, uint64_t version)
{
    struct backend_listing listing = {.slots = 16, .has_weights = true, .version = version};
    snprintf(listing.id, sizeof listing.id, "i-%d", number);
    snprintf(listing.address, sizeof listing.address, "10.0.0.%d:80", number);
    strcpy(listing.service, "llm");
    return listing;
}

static struct backend *add(struct backend_pool *pool, int number, uint64_t version,
                           uint16_t distance)
{
    struct backend_listing listing = listing_of(number, version);
    return backend_pool_list(pool, &listing, distance);
}

static struct backend_criteria criteria_of(void)
{
    return (struct backend_criteria){.service = "llm",
                                     .engine = true,
                                     .tokens = 1000,
                                     .mean_prompt_tokens = 1000,
                                     .prefill_tokens_per_ms = 32,
                                     .gateways = 1};
}

static struct backend *choose(struct backend_pool *pool, const struct backend_criteria *criteria,
                              uint64_t now)
{
    struct backend *chosen;
    return backend_pool_choose(pool, criteria, now, &chosen) == BACKEND_FOUND ? chosen : NULL;
}

static void report(struct backend_pool *pool, int number, struct backend_load load, uint64_t now)
{
    char address[BACKEND_ADDRESS_SIZE];
    snprintf(address, sizeof address, "10.0.0.%d:80", number);
    assert_non_null(backend_pool_report(pool, address, &load, now));
}

static void unlist(struct backend_pool *pool, bool from_outage, uint64_t now)
{
    struct backend_unlisting drop = {.learned = now, .from_outage = from_outage};
    backend_pool_unlist(pool, "i-1", &drop, now);
}

static void draining_and_empty_engines_are_not_eligible(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing draining = listing_of(1, 1);
    draining.draining = true;
    backend_pool_list(pool, &draining, 0);
    add(pool, 2, 0, 0);
    assert_null(choose(pool, &criteria, 1));
    struct backend *usable = add(pool, 3, 1, 0);
    for (uint64_t now = 1; now < 50; now++)
        assert_ptr_equal(choose(pool, &criteria, now), usable);
    backend_pool_destroy(pool);
}

static void an_unlisted_backend_stays_usable_for_its_grace_period(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 1, 0);
    unlist(pool, false, 8 * SECOND_US);
    assert_non_null(choose(pool, &criteria, 9 * SECOND_US));
    assert_null(choose(pool, &criteria, 10 * SECOND_US));
    backend_pool_expire(pool, true, 10 * SECOND_US);
    assert_int_equal(backend_pool_count(pool), 0);
    backend_pool_destroy(pool);
}

static void entries_lost_in_a_store_outage_stay_until_the_store_recovers(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 1, 0);
    backend_pool_expire(pool, false, 8 * SECOND_US);
    unlist(pool, true, 8 * SECOND_US);
    backend_pool_expire(pool, false, 9 * SECOND_US);
    backend_pool_expire(pool, false, 11 * SECOND_US);
    assert_non_null(choose(pool, &criteria, 12 * SECOND_US));
    /* After the store's recovery it has time to list itself again; then it is removed. */
    backend_pool_expire(pool, true, 13 * SECOND_US);
    assert_non_null(choose(pool, &criteria, 14 * SECOND_US));
    backend_pool_expire(pool, true, 16 * SECOND_US);
    assert_null(choose(pool, &criteria, 16 * SECOND_US));
    backend_pool_destroy(pool);
}

static void an_entry_lost_in_an_outage_gets_the_relist_grace_period(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 1, 0);
    backend_pool_expire(pool, false, 8 * SECOND_US);
    backend_pool_expire(pool, true, 9 * SECOND_US);
    unlist(pool, true, 9 * SECOND_US + SECOND_US / 5);
    assert_non_null(choose(pool, &criteria, 11 * SECOND_US));
    assert_null(choose(pool, &criteria, 12 * SECOND_US));
    backend_pool_destroy(pool);
}

/* Until a new gateway's first watch of the store returns, the store counts as failing for it. That
 * must not prolong the grace period of an entry that was unlisted before. */
static void a_later_outage_does_not_extend_an_ordinary_unlisting(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 1, 0);
    backend_pool_expire(pool, true, 8 * SECOND_US);
    unlist(pool, false, 8 * SECOND_US);
    backend_pool_expire(pool, false, 9 * SECOND_US);
    assert_non_null(choose(pool, &criteria, 9 * SECOND_US));
    backend_pool_expire(pool, false, 10 * SECOND_US);
    assert_null(choose(pool, &criteria, 10 * SECOND_US));
    backend_pool_destroy(pool);
}

/* After a power failure the store does not answer until some tenths of a second after the gateway
 * has started. */
static void a_store_that_answers_soon_after_the_start_has_not_failed(void **state)
{
    struct backend_pool_settings started = settings;
    started.created = 8 * SECOND_US;
    struct backend_pool *pool = backend_pool_create(&started, 1);
    add(pool, 1, 1, 0);
    backend_pool_expire(pool, false, 8 * SECOND_US + 100000);
    backend_pool_expire(pool, true, 8 * SECOND_US + 400000);
    unlist(pool, false, 8 * SECOND_US + 600000);
    backend_pool_expire(pool, true, 10 * SECOND_US + 600000);
    assert_int_equal(backend_pool_count(pool), 0);
    backend_pool_destroy(pool);
}

/* A gateway that started during a store outage does not trust the entries that are missing after
 * it. */
static void an_entry_lost_before_the_first_store_answer_gets_the_relist_grace_period(void **state)
{
    struct backend_pool_settings started = settings;
    started.created = 8 * SECOND_US;
    struct backend_pool *pool = backend_pool_create(&started, 1);
    add(pool, 1, 1, 0);
    backend_pool_expire(pool, false, 14 * SECOND_US);
    backend_pool_expire(pool, true, 15 * SECOND_US);
    unlist(pool, true, 15 * SECOND_US + 100000);
    backend_pool_expire(pool, true, 16 * SECOND_US);
    assert_int_equal(backend_pool_count(pool), 1);
    backend_pool_destroy(pool);
}

static void heard_after_rules_out_engines_that_are_silent_since(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_load load = {.version = 1};
    struct backend *silent = add(pool, 1, 1, 0);
    backend_pool_report(pool, "10.0.0.1:80", &load, SECOND_US);
    criteria.heard_after = SECOND_US;
    assert_null(choose(pool, &criteria, SECOND_US + 1));
    assert_false(backend_pool_has_room(pool, &criteria, SECOND_US + 1));
    silent->last_answer_at = SECOND_US + 1;
    assert_ptr_equal(choose(pool, &criteria, SECOND_US + 2), silent);
    backend_pool_report(pool, "10.0.0.1:80", &load, 2 * SECOND_US);
    criteria.heard_after = 2 * SECOND_US - 1;
    assert_true(backend_pool_has_room(pool, &criteria, 2 * SECOND_US));
    backend_pool_destroy(pool);
}

static bool is_eligible(struct backend_pool *pool)
{
    struct backend_criteria criteria = criteria_of();
    return choose(pool, &criteria, SECOND_US) != NULL;
}

static void apply_entry(struct backend_pool *pool, uint64_t born, uint64_t sequence, bool draining)
{
    struct backend_listing listing = listing_of(1, 1);
    listing.born = born;
    listing.sequence = sequence;
    listing.draining = draining;
    backend_pool_list(pool, &listing, 0);
}

static void an_entry_with_a_lower_sequence_is_ignored(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    apply_entry(pool, 1000, 8, false);
    assert_true(is_eligible(pool));
    apply_entry(pool, 1000, 9, true);
    apply_entry(pool, 1000, 7, false);
    assert_false(is_eligible(pool));
    assert_int_equal(backend_pool_at(pool, 0)->listing.sequence, 9);
    backend_pool_destroy(pool);
}

static void draining_is_final_for_an_incarnation(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_unlisting drop = {SECOND_US, false, false};
    apply_entry(pool, 1000, 8, true);
    apply_entry(pool, 1000, 9, false);
    assert_false(is_eligible(pool));
    /* Also if its entry was removed in between. */
    backend_pool_unlist(pool, "i-1", &drop, SECOND_US);
    apply_entry(pool, 1000, 10, false);
    assert_false(is_eligible(pool));
    apply_entry(pool, 2000, 1, false);
    assert_true(is_eligible(pool));
    backend_pool_destroy(pool);
}

static void draining_of_an_earlier_incarnation_does_not_bind_a_later_one(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_load load = {.born = 2000, .version = 1};
    apply_entry(pool, 1000, 8, true);
    backend_pool_report(pool, "10.0.0.1:80", &load, SECOND_US);
    apply_entry(pool, 2000, 1, false);
    assert_true(is_eligible(pool));
    backend_pool_destroy(pool);
}

static void without_start_times_a_lower_sequence_is_applied(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_listing empty = listing_of(1, 0);
    apply_entry(pool, 0, 8, false);
    empty.has_weights = false;
    empty.sequence = 1;
    backend_pool_list(pool, &empty, 0);
    assert_false(is_eligible(pool));
    assert_int_equal(backend_pool_at(pool, 0)->listing.sequence, 1);
    backend_pool_destroy(pool);
}

static void without_start_times_a_later_entry_revokes_draining(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    apply_entry(pool, 0, 8, true);
    apply_entry(pool, 0, 7, false);
    assert_false(is_eligible(pool));
    /* After the backend was presumed down, the next entry is of a new incarnation. */
    backend_pool_mark_down(pool, backend_pool_at(pool, 0), SECOND_US);
    apply_entry(pool, 0, 1, false);
    assert_true(is_eligible(pool));
    apply_entry(pool, 0, 2, true);
    apply_entry(pool, 0, 3, false);
    assert_true(is_eligible(pool));
    backend_pool_destroy(pool);
}

static void a_new_entry_replaces_the_backend_at_its_address(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_listing again = listing_of(1, 1);
    add(pool, 1, 1, 0);
    strcpy(again.id, "i-new");
    backend_pool_list(pool, &again, 0);
    assert_int_equal(backend_pool_count(pool), 1);
    assert_string_equal(backend_pool_at(pool, 0)->listing.id, "i-new");
    backend_pool_destroy(pool);
}

static void engines_below_the_required_versions_are_not_eligible(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 1, 0);
    criteria.next_min_version = 2;
    /* Version 2 is required soon, and the engine has not downloaded it. */
    assert_null(choose(pool, &criteria, SECOND_US));
    report(pool, 1, (struct backend_load){.version = 1, .staged = true}, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    criteria.min_version = 2;
    assert_null(choose(pool, &criteria, SECOND_US));
    report(pool, 1, (struct backend_load){.version = 2}, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    criteria.required_version = 1;
    assert_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void an_engine_that_may_be_late_needs_the_later_version(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *backend = add(pool, 1, 1, 0);
    criteria.later_min_version = 2;
    report(pool, 1, (struct backend_load){.version = 1}, SECOND_US);
    backend_request_started(backend, 1000, SECOND_US);
    backend_request_answered(backend, 1000, 100000, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    /* Without a recent answer the engine may be late. */
    assert_null(choose(pool, &criteria, 3 * SECOND_US));
    report(pool, 1, (struct backend_load){.version = 1, .link_slow = true}, SECOND_US);
    assert_null(choose(pool, &criteria, SECOND_US));
    report(pool, 1, (struct backend_load){.version = 2, .link_slow = true}, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void a_stalled_engine_gets_no_requests_until_it_answers(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *backend = add(pool, 1, 1, 0);
    backend_request_started(backend, 100, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US + 600000));
    assert_null(choose(pool, &criteria, SECOND_US + 800000));
    backend_request_answered(backend, 100, 800000, SECOND_US + 800000);
    assert_non_null(choose(pool, &criteria, SECOND_US + 900000));
    /* The last answer was late, so the engine needs the later version already. */
    backend_request_ended(pool, backend, BACKEND_SUCCEEDED, 800000, SECOND_US + 900000);
    criteria.later_min_version = 2;
    assert_null(choose(pool, &criteria, SECOND_US + 900000));
    backend_pool_destroy(pool);
}

static void a_loading_engine_is_not_eligible(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 1, 0);
    report(pool, 1, (struct backend_load){.version = 1, .loading = true}, SECOND_US);
    assert_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void streams_aborted_to_load_weights_are_not_failures(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = add(pool, 1, 1, 0);
    report(pool, 1, (struct backend_load){.version = 1, .loading = true}, SECOND_US);
    for (uint32_t i = 0; i < 8; i++) {
        backend_request_started(backend, 1000, SECOND_US);
        assert_false(backend_request_ended(pool, backend, BACKEND_BROKEN, 0, SECOND_US + 1));
    }
    assert_true(backend->failure_rate == 0);
    report(pool, 1, (struct backend_load){.version = 2}, SECOND_US + 2);
    backend_request_started(backend, 1000, SECOND_US + 2);
    backend_request_ended(pool, backend, BACKEND_BROKEN, 0, SECOND_US + 3);
    assert_true(backend->failure_rate > 0);
    backend_pool_destroy(pool);
}

static void a_long_request_avoids_an_engine_that_will_switch_weights(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *switching = add(pool, 1, 1, 0);
    struct backend *other = add(pool, 2, 1, 0);
    report(pool, 1, (struct backend_load){.version = 1, .turn_ms = 800}, SECOND_US);
    report(pool, 2, (struct backend_load){.version = 1, .running = 15}, SECOND_US);
    criteria.expected_us = 500000;
    assert_ptr_equal(choose(pool, &criteria, SECOND_US), switching);
    criteria.expected_us = 900000;
    for (int i = 0; i < 20; i++)
        assert_ptr_equal(choose(pool, &criteria, SECOND_US), other);
    backend_pool_destroy(pool);
}

static void a_long_request_goes_to_a_switching_engine_if_there_is_no_other(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *switching = add(pool, 1, 1, 0);
    report(pool, 1, (struct backend_load){.version = 1, .turn_ms = 100}, SECOND_US);
    criteria.expected_us = 900000;
    assert_ptr_equal(choose(pool, &criteria, SECOND_US), switching);
    backend_pool_destroy(pool);
}

static void an_excluded_engine_of_the_required_version_may_serve_again(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    criteria.required_version = 1;
    criteria.excluded[criteria.excluded_count++] = add(pool, 1, 1, 0);
    add(pool, 2, 2, 0);
    report(pool, 1, (struct backend_load){.version = 1, .running = 19}, SECOND_US);
    report(pool, 2, (struct backend_load){.version = 2}, SECOND_US);
    assert_null(choose(pool, &criteria, SECOND_US));
    /* It was tried before, and may be again. */
    assert_true(backend_pool_may_serve(pool, &criteria, SECOND_US));
    report(pool, 1, (struct backend_load){.version = 1, .loading = true}, SECOND_US);
    assert_false(backend_pool_may_serve(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static struct backend_listing incarnation_of(uint64_t born)
{
    struct backend_listing listing = listing_of(1, 1);
    listing.born = born;
    return listing;
}

static void a_restart_under_the_same_id_resets_the_health(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing first = incarnation_of(1000), second = incarnation_of(2000);
    struct backend *before = backend_pool_list(pool, &first, 0);
    for (int i = 0; i < 4; i++) {
        backend_request_started(before, 1000, SECOND_US);
        backend_request_ended(pool, before, BACKEND_BROKEN, 0, SECOND_US);
    }
    first.draining = true;
    backend_pool_list(pool, &first, 0);
    assert_null(choose(pool, &criteria, SECOND_US));
    struct backend *after = backend_pool_list(pool, &second, 0);
    assert_int_equal(after->failures, 0);
    assert_int_equal(after->in_flight, 0);
    assert_ptr_equal(choose(pool, &criteria, SECOND_US), after);
    backend_pool_destroy(pool);
}

static void a_report_of_an_earlier_incarnation_is_ignored(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_listing listing = incarnation_of(2000);
    struct backend_load late = {.version = 1, .born = 1000};
    struct backend_load present = {.born = 2000};
    backend_pool_list(pool, &listing, 0);
    assert_null(backend_pool_report(pool, listing.address, &late, SECOND_US));
    assert_non_null(backend_pool_report(pool, listing.address, &present, SECOND_US));
    backend_pool_destroy(pool);
}

static void a_report_of_a_later_incarnation_replaces_the_listed_one(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing listing = incarnation_of(1000);
    struct backend *before = backend_pool_list(pool, &listing, 0);
    struct backend_load empty = {.born = 2000}, late = {.version = 1, .born = 1000};
    backend_request_started(before, 1000, SECOND_US);
    struct backend *after = backend_pool_report(pool, listing.address, &empty, SECOND_US);
    assert_int_equal(after->in_flight, 0);
    assert_null(choose(pool, &criteria, SECOND_US)); /* it has no weights */
    listing.born = 2000;
    assert_ptr_equal(backend_pool_list(pool, &listing, 0), after);
    assert_null(backend_pool_report(pool, listing.address, &late, SECOND_US));
    backend_pool_destroy(pool);
}

/* An incarnation that only its loader knows of, after the list dropped the backend, gets no new
 * listing. */
static void a_report_does_not_list_an_unlisted_backend_again(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing listing = incarnation_of(1000);
    struct backend_load load = {.version = 1, .born = 1000}, later = {.version = 1, .born = 2000};
    backend_pool_list(pool, &listing, 0);
    report(pool, 1, load, 1);
    unlist(pool, false, SECOND_US);
    report(pool, 1, later, 2 * SECOND_US);
    assert_non_null(choose(pool, &criteria, 2 * SECOND_US));
    report(pool, 1, later, 4 * SECOND_US);
    assert_null(choose(pool, &criteria, 4 * SECOND_US));
    backend_pool_destroy(pool);
}

static void a_backend_presumed_down_gets_no_requests_until_it_reports(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing listing = incarnation_of(1000);
    struct backend_load load = {.version = 1, .born = 1000}, later = {.version = 1, .born = 2000};
    struct backend *backend = backend_pool_list(pool, &listing, 0);
    report(pool, 1, load, 1);
    backend_pool_mark_down(pool, backend, 2);
    struct backend *chosen;
    assert_int_equal(backend_pool_choose(pool, &criteria, 3, &chosen), BACKEND_NONE);
    assert_true(backend_pool_may_serve(pool, &criteria, 3)); /* it may restart */
    report(pool, 1, later, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    /* It was presumed down by mistake, and no report follows. */
    backend = choose(pool, &criteria, SECOND_US);
    backend_pool_mark_down(pool, backend, SECOND_US);
    assert_null(choose(pool, &criteria, SECOND_US));
    assert_non_null(choose(pool, &criteria, SECOND_US + BACKEND_DOWN_US));
    backend_pool_destroy(pool);
}

/* A stream waits for a restarted, empty engine that is about to load the stream's version. */
static void an_empty_engine_may_serve_the_version_it_is_about_to_load(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 0, 0);
    criteria.required_version = 2;
    assert_false(backend_pool_may_serve(pool, &criteria, 1));
    criteria.coming_version = 3;
    assert_false(backend_pool_may_serve(pool, &criteria, 1));
    criteria.coming_version = 2;
    assert_true(backend_pool_may_serve(pool, &criteria, 1));
    criteria.min_version = 3; /* no request may start on version 2 any more */
    assert_false(backend_pool_may_serve(pool, &criteria, 1));
    backend_pool_destroy(pool);
}

static void a_rank_key_selects_the_same_backend_in_all_gateways(void **state)
{
    struct backend_pool *pools[2];
    struct backend_criteria criteria = criteria_of();
    uint32_t same = 0;
    for (uint32_t i = 0; i < 2; i++) {
        pools[i] = backend_pool_create(&settings, i + 1);
        for (int number = 1; number <= 12; number++)
            add(pools[i], i ? 13 - number : number, 1, 0);
        for (int number = 1; number <= 12; number++)
            report(pools[i], number, (struct backend_load){.version = 1}, 1);
    }
    for (criteria.rank_key = 1; criteria.rank_key <= 100; criteria.rank_key++) {
        struct backend *first = choose(pools[0], &criteria, 2),
                       *second = choose(pools[1], &criteria, 2);
        assert_string_equal(first->listing.id, second->listing.id);
        same += strcmp(first->listing.id, "i-1") == 0;
    }
    assert_in_range(same, 2, 20);
    for (uint32_t i = 0; i < 2; i++)
        backend_pool_destroy(pools[i]);
}

/* The backend's clock was set back between two incarnations: the last entry of the list decides. */
static void a_listed_incarnation_is_current_even_if_its_clock_was_set_back(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_listing first = incarnation_of(2000), second = incarnation_of(1500);
    struct backend_load late = {.version = 1, .born = 2000}, present = {.version = 1, .born = 1500};
    backend_pool_list(pool, &first, 0);
    backend_pool_list(pool, &second, 0);
    assert_non_null(backend_pool_report(pool, first.address, &present, SECOND_US));
    backend_pool_report(pool, first.address, &late, SECOND_US);
    assert_non_null(backend_pool_report(pool, first.address, &present, SECOND_US));
    backend_pool_destroy(pool);
}

static void an_entry_without_start_time_is_not_trusted_among_dated_ones(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing dated = incarnation_of(1000);
    struct backend *undated = add(pool, 2, 1, 0);
    /* No entry has a start time yet. */
    assert_ptr_equal(choose(pool, &criteria, SECOND_US), undated);
    struct backend *first = backend_pool_list(pool, &dated, 0);
    struct backend_listing other = listing_of(3, 1);
    other.born = 1000;
    backend_pool_list(pool, &other, 0);
    for (int i = 0; i < 20; i++)
        assert_ptr_not_equal(choose(pool, &criteria, SECOND_US), undated);
    assert_true(backend_may_start_request(pool, first, &criteria, SECOND_US));
    assert_false(backend_may_start_request(pool, undated, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

/* One of two backends of the service is gone, so the service has no majority of its own: the
 * entries of all services decide. */
static void an_undated_entry_of_a_small_service_is_judged_by_all_entries(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend_listing dated = incarnation_of(1000);
    for (int number = 5; number <= 7; number++) {
        struct backend_listing other = listing_of(number, 1);
        other.born = 1000;
        strcpy(other.service, "records");
        backend_pool_list(pool, &other, 0);
    }
    struct backend *undated = add(pool, 2, 1, 0);
    /* Its service may give no start times. */
    assert_true(backend_may_start_request(pool, undated, &criteria, SECOND_US));
    backend_pool_list(pool, &dated, 0);
    assert_false(backend_may_start_request(pool, undated, &criteria, SECOND_US));
    /* Guards against a request that followed a bad entry after both backends with a start time had
     * left the service. */
    dated.draining = true;
    backend_pool_list(pool, &dated, 0);
    unlist(pool, false, SECOND_US);
    assert_false(backend_may_start_request(pool, undated, &criteria, SECOND_US));
    assert_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void pending_prompt_tokens_of_an_engine_are_bounded(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *backend = add(pool, 1, 1, 0);
    report(pool, 1, (struct backend_load){.version = 1, .running = 2}, SECOND_US);
    for (uint32_t i = 0; i < 4; i++) {
        assert_non_null(choose(pool, &criteria, SECOND_US));
        backend_request_started(backend, 1000, SECOND_US);
    }
    struct backend *chosen;
    assert_int_equal(backend_pool_choose(pool, &criteria, SECOND_US, &chosen), BACKEND_FULL);
    backend_request_answered(backend, 1000, 100000, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    /* A prompt above the bound goes only to an engine without other pending prompts. */
    criteria.tokens = 9000;
    assert_null(choose(pool, &criteria, SECOND_US));
    for (uint32_t i = 0; i < 3; i++)
        backend_request_answered(backend, 1000, 100000, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void near_engines_are_preferred_until_they_are_busier(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *near = add(pool, 1, 1, 0);
    struct backend *far = add(pool, 2, 1, 2);
    report(pool, 1, (struct backend_load){.version = 1, .running = 3}, SECOND_US);
    report(pool, 2, (struct backend_load){.version = 1, .running = 3}, SECOND_US);
    assert_ptr_equal(choose(pool, &criteria, SECOND_US), near);
    report(pool, 1, (struct backend_load){.version = 1, .running = 9, .waiting = 2}, SECOND_US);
    assert_ptr_equal(choose(pool, &criteria, SECOND_US), far);
    backend_pool_destroy(pool);
}

static void a_failing_backend_is_ejected_and_probed(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *bad = add(pool, 1, 1, 0);
    struct backend *good = add(pool, 2, 1, 0);
    uint64_t now = SECOND_US;
    for (int i = 0; i < 2; i++) {
        backend_request_started(bad, 1000, SECOND_US);
        backend_request_answered(bad, 1000, 100000, SECOND_US);
        backend_request_ended(pool, bad, BACKEND_BROKEN, 0, now);
    }
    for (int i = 0; i < 50; i++)
        assert_ptr_equal(choose(pool, &criteria, now), good);
    now += SECOND_US;
    assert_ptr_equal(choose(pool, &criteria, now), bad); /* the probe */
    backend_request_started(bad, 1000, SECOND_US);
    for (int i = 0; i < 50; i++)
        assert_ptr_equal(choose(pool, &criteria, now), good);
    backend_request_answered(bad, 1000, 100000, SECOND_US);
    backend_request_ended(pool, bad, BACKEND_SUCCEEDED, 1000, now);
    assert_int_equal(bad->ejected_until, 0);
    backend_pool_destroy(pool);
}

static void eject(struct backend_pool *pool, struct backend *backend, uint64_t now)
{
    for (int i = 0; i < 2; i++) {
        backend_request_started(backend, 1000, now);
        backend_request_answered(backend, 1000, 0, now);
        backend_request_ended(pool, backend, BACKEND_BROKEN, 0, now);
    }
    assert_true(backend->ejected_until > now);
}

static void a_second_attempt_probes_only_if_no_other_backend_has_room(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *suspect = add(pool, 1, 1, 0);
    struct backend *sound = add(pool, 2, 1, 0);
    eject(pool, suspect, SECOND_US);
    uint64_t now = suspect->ejected_until + 1;
    assert_ptr_equal(choose(pool, &criteria, now), suspect);
    criteria.may_have_run = true;
    for (int i = 0; i < 50; i++)
        assert_ptr_equal(choose(pool, &criteria, now), sound);
    criteria.excluded[criteria.excluded_count++] = sound; /* it was the first attempt's */
    assert_ptr_equal(choose(pool, &criteria, now), suspect);
    backend_pool_destroy(pool);
}

/* As any request does. */
static void a_second_attempt_probes_before_it_goes_to_an_ejected_backend(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *suspect = add(pool, 1, 1, 0);
    struct backend *ejected = add(pool, 2, 1, 0);
    eject(pool, suspect, SECOND_US);
    uint64_t now = suspect->ejected_until + 1;
    eject(pool, ejected, now);
    criteria.may_have_run = true;
    assert_ptr_equal(choose(pool, &criteria, now), suspect);
    backend_pool_destroy(pool);
}

static void a_retained_backend_outlives_its_listing(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = backend_retain(add(pool, 1, 1, 0));
    backend_request_started(backend, 1000, SECOND_US);
    backend_pool_remove(pool, backend);
    assert_false(backend->listed);
    backend_request_answered(backend, 1000, 100000, SECOND_US);
    backend_request_ended(pool, backend, BACKEND_CANCELLED, 0, 2);
    backend_release(backend);
    backend_pool_destroy(pool);
}

/* All gateways see the same report. Together they must not send much more than the free slots. */
static void many_gateways_together_do_not_overload_an_engine(void **state)
{
    const uint32_t gateways = 34;
    uint32_t begun = 0;
    for (uint32_t gateway = 0; gateway < gateways; gateway++) {
        struct backend_pool *pool = backend_pool_create(&settings, gateway + 1);
        struct backend_criteria criteria = criteria_of();
        struct backend *backend;
        criteria.gateways = gateways;
        criteria.tokens = 10;
        criteria.mean_prompt_tokens = 10;
        add(pool, 1, 1, 0);
        report(pool, 1, (struct backend_load){.version = 1}, SECOND_US);
        while (begun < 1000 && (backend = choose(pool, &criteria, SECOND_US))) {
            backend_request_started(backend, 10, SECOND_US);
            begun++;
        }
        backend_pool_destroy(pool);
    }
    assert_in_range(begun, 19, 42); /* 16 slots and a queue of 3, overcommitted twice at most */
}

/* \return number of requests that all gateways together start at one engine after one report */
static uint32_t started_by_all(uint32_t near_gateways, uint32_t far_gateways,
                               uint32_t *started_by_near)
{
    uint32_t begun = 0;
    *started_by_near = 0;
    for (uint32_t gateway = 0; gateway < near_gateways + far_gateways; gateway++) {
        struct backend_pool *pool = backend_pool_create(&settings, gateway + 1);
        struct backend_criteria criteria = criteria_of();
        bool near = gateway < near_gateways;
        struct backend_load load = {
            .version = 1, .near_gateways = near_gateways, .far_gateways = far_gateways};
        criteria.gateways = near_gateways + far_gateways;
        criteria.tokens = criteria.mean_prompt_tokens = 10;
        struct backend *backend = add(pool, 1, 1, near ? 0 : 2);
        report(pool, 1, load, SECOND_US);
        while (choose(pool, &criteria, SECOND_US)) {
            backend_request_started(backend, 10, SECOND_US);
            begun++;
            *started_by_near += near;
        }
        backend_pool_destroy(pool);
    }
    return begun;
}

/* 30 of 149 gateways are in the engine's region, and get most of its slots. */
static void gateways_of_the_own_region_get_most_slots(void **state)
{
    uint32_t started_by_near;
    uint32_t begun = started_by_all(30, 119, &started_by_near);
    assert_in_range(begun, 19, 46); /* 16 slots and a queue of 3, about twice that at most */
    assert_in_range(started_by_near, 19, 38);
    begun = started_by_all(2, 4, &started_by_near);
    assert_in_range(begun, 19, 46);
    begun = started_by_all(30, 0, &started_by_near);
    assert_in_range(begun, 19, 46);
}

/* Guards against a failure with 149 gateways: frozen machines send no reports, and each gateway
 * sent a request to every such engine, as it looked idle. */
static void an_engine_without_recent_reports_is_not_taken_for_idle(void **state)
{
    uint32_t sent_without_report = 0;
    for (uint32_t gateway = 0; gateway < 149; gateway++) {
        struct backend_pool *pool = backend_pool_create(&settings, gateway + 1);
        struct backend_criteria criteria = criteria_of();
        criteria.gateways = 149;
        struct backend *silent = add(pool, 1, 1, 0);
        add(pool, 2, 1, 0);
        report(pool, 1, (struct backend_load){.version = 1}, SECOND_US);
        report(pool, 2, (struct backend_load){.version = 1, .running = 6}, 3 * SECOND_US);
        sent_without_report += choose(pool, &criteria, 3 * SECOND_US) == silent;
        backend_pool_destroy(pool);
    }
    assert_int_equal(sent_without_report, 0);
}

/* The loader may be down while the engine works: a gateway with recent answers continues within its
 * share. */
static void an_answering_engine_gets_requests_without_reports(void **state)
{
    uint32_t begun = 0;
    for (uint32_t gateway = 0; gateway < 30; gateway++) {
        struct backend_pool *pool = backend_pool_create(&settings, gateway + 1);
        struct backend_criteria criteria = criteria_of();
        struct backend_load load = {.version = 1, .near_gateways = 30};
        struct backend *silent = add(pool, 1, 1, 0);
        report(pool, 1, load, SECOND_US);
        backend_request_started(silent, 10, 2 * SECOND_US);
        backend_request_answered(silent, 10, 100000, 2 * SECOND_US + 100000);
        backend_request_ended(pool, silent, BACKEND_SUCCEEDED, 100000, 2 * SECOND_US + 200000);
        while (choose(pool, &criteria, 3 * SECOND_US)) {
            backend_request_started(silent, 10, 3 * SECOND_US);
            begun++;
        }
        backend_pool_destroy(pool);
    }
    assert_in_range(begun, 8, 24); /* 16 slots for all of them */
}

static void a_report_of_lost_weights_overrides_the_list(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    add(pool, 1, 2, 0);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    report(pool, 1, (struct backend_load){.version = 0}, SECOND_US);
    assert_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void a_new_gateway_waits_for_the_first_load_reports(void **state)
{
    struct backend_pool_settings started = settings;
    started.created = SECOND_US;
    struct backend_pool *pool = backend_pool_create(&started, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *chosen;
    add(pool, 1, 2, 0);
    assert_int_equal(backend_pool_choose(pool, &criteria, SECOND_US + 1000, &chosen), BACKEND_FULL);
    assert_non_null(choose(pool, &criteria, 3 * SECOND_US));
    report(pool, 1, (struct backend_load){.version = 2}, SECOND_US + 2000);
    assert_non_null(choose(pool, &criteria, SECOND_US + 3000));
    backend_pool_destroy(pool);
}

/* Guards against an outage that is taken for overload: after a loss of power gateways answered
 * "full" with a short Retry-After, after a wait in vain, while no engine had its weights. */
static void engines_without_weights_are_absent_rather_than_full(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *chosen;
    criteria.gateways = 40;
    for (int number = 1; number <= 4; number++)
        add(pool, number, 2, 0);
    for (uint32_t i = 0; i < 2; i++) /* each unreported engine takes the share of this gateway */
        for (int number = 1; number <= 4; number++)
            backend_request_started(backend_pool_at(pool, (uint32_t)number - 1), 1000, 2);
    assert_int_equal(backend_pool_choose(pool, &criteria, 3, &chosen), BACKEND_FULL);
    report(pool, 1, (struct backend_load){.version = 0}, 4);
    report(pool, 2, (struct backend_load){.version = 0}, 4);
    assert_int_equal(backend_pool_choose(pool, &criteria, 5, &chosen), BACKEND_NONE);
    report(pool, 3, (struct backend_load){.version = 2, .running = 19}, 6);
    assert_int_equal(backend_pool_choose(pool, &criteria, 7, &chosen), BACKEND_FULL);
    backend_pool_destroy(pool);
}

/* In an overload a slot given to a retry is taken from a new client. */
static void an_engine_whose_memory_is_full_gets_no_requests(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    criteria.context_tokens = 2000;
    criteria.kv_cache_tokens = 10000;
    add(pool, 1, 1, 0);
    struct backend_load load = {.version = 1, .memory_total = 1000, .memory_used = 700};
    report(pool, 1, load, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    criteria.context_tokens = 3001; /* more than is left */
    assert_null(choose(pool, &criteria, SECOND_US));
    criteria.context_tokens = 100;
    load.memory_used = 851; /* the rest is for the requests of other gateways */
    report(pool, 1, load, SECOND_US);
    assert_null(choose(pool, &criteria, SECOND_US));
    load.memory_total = load.memory_used = 0; /* not known */
    report(pool, 1, load, SECOND_US);
    assert_non_null(choose(pool, &criteria, SECOND_US));
    backend_pool_destroy(pool);
}

static void a_reserve_is_left_free(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = criteria_of();
    struct backend *chosen;
    add(pool, 1, 1, 0);
    for (uint32_t running = 0; running <= 16; running++) {
        report(pool, 1, (struct backend_load){.version = 1, .running = running}, 10);
        criteria.reserved_share = 0.25;
        assert_int_equal(backend_pool_choose(pool, &criteria, 11, &chosen),
                         running < 12 ? BACKEND_FOUND : BACKEND_FULL);
        criteria.reserved_share = 0;
        assert_int_equal(backend_pool_choose(pool, &criteria, 11, &chosen), BACKEND_FOUND);
    }
    report(pool, 1, (struct backend_load){.version = 1, .waiting = 2, .running = 1}, 12);
    criteria.tokens = 1800; /* 2,000 are pending, of 4,500 that may be */
    assert_int_equal(backend_pool_choose(pool, &criteria, 13, &chosen), BACKEND_FOUND);
    criteria.reserved_share = 0.25;
    assert_int_equal(backend_pool_choose(pool, &criteria, 13, &chosen), BACKEND_FULL);
    assert_int_equal(backend_pool_slots(pool, &criteria, 13), 16);
    backend_pool_destroy(pool);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(many_gateways_together_do_not_overload_an_engine),
        cmocka_unit_test(gateways_of_the_own_region_get_most_slots),
        cmocka_unit_test(an_engine_without_recent_reports_is_not_taken_for_idle),
        cmocka_unit_test(an_answering_engine_gets_requests_without_reports),
        cmocka_unit_test(a_report_of_lost_weights_overrides_the_list),
        cmocka_unit_test(a_new_gateway_waits_for_the_first_load_reports),
        cmocka_unit_test(draining_and_empty_engines_are_not_eligible),
        cmocka_unit_test(an_unlisted_backend_stays_usable_for_its_grace_period),
        cmocka_unit_test(entries_lost_in_a_store_outage_stay_until_the_store_recovers),
        cmocka_unit_test(an_entry_lost_in_an_outage_gets_the_relist_grace_period),
        cmocka_unit_test(a_later_outage_does_not_extend_an_ordinary_unlisting),
        cmocka_unit_test(a_store_that_answers_soon_after_the_start_has_not_failed),
        cmocka_unit_test(an_entry_lost_before_the_first_store_answer_gets_the_relist_grace_period),
        cmocka_unit_test(heard_after_rules_out_engines_that_are_silent_since),
        cmocka_unit_test(an_entry_with_a_lower_sequence_is_ignored),
        cmocka_unit_test(draining_is_final_for_an_incarnation),
        cmocka_unit_test(draining_of_an_earlier_incarnation_does_not_bind_a_later_one),
        cmocka_unit_test(without_start_times_a_lower_sequence_is_applied),
        cmocka_unit_test(without_start_times_a_later_entry_revokes_draining),
        cmocka_unit_test(a_new_entry_replaces_the_backend_at_its_address),
        cmocka_unit_test(engines_below_the_required_versions_are_not_eligible),
        cmocka_unit_test(an_engine_that_may_be_late_needs_the_later_version),
        cmocka_unit_test(a_stalled_engine_gets_no_requests_until_it_answers),
        cmocka_unit_test(a_loading_engine_is_not_eligible),
        cmocka_unit_test(streams_aborted_to_load_weights_are_not_failures),
        cmocka_unit_test(a_long_request_avoids_an_engine_that_will_switch_weights),
        cmocka_unit_test(a_long_request_goes_to_a_switching_engine_if_there_is_no_other),
        cmocka_unit_test(an_excluded_engine_of_the_required_version_may_serve_again),
        cmocka_unit_test(a_restart_under_the_same_id_resets_the_health),
        cmocka_unit_test(a_report_of_an_earlier_incarnation_is_ignored),
        cmocka_unit_test(a_report_of_a_later_incarnation_replaces_the_listed_one),
        cmocka_unit_test(a_report_does_not_list_an_unlisted_backend_again),
        cmocka_unit_test(a_backend_presumed_down_gets_no_requests_until_it_reports),
        cmocka_unit_test(an_empty_engine_may_serve_the_version_it_is_about_to_load),
        cmocka_unit_test(a_rank_key_selects_the_same_backend_in_all_gateways),
        cmocka_unit_test(a_listed_incarnation_is_current_even_if_its_clock_was_set_back),
        cmocka_unit_test(an_entry_without_start_time_is_not_trusted_among_dated_ones),
        cmocka_unit_test(an_undated_entry_of_a_small_service_is_judged_by_all_entries),
        cmocka_unit_test(pending_prompt_tokens_of_an_engine_are_bounded),
        cmocka_unit_test(near_engines_are_preferred_until_they_are_busier),
        cmocka_unit_test(a_failing_backend_is_ejected_and_probed),
        cmocka_unit_test(a_second_attempt_probes_only_if_no_other_backend_has_room),
        cmocka_unit_test(a_second_attempt_probes_before_it_goes_to_an_ejected_backend),
        cmocka_unit_test(a_retained_backend_outlives_its_listing),
        cmocka_unit_test(engines_without_weights_are_absent_rather_than_full),
        cmocka_unit_test(an_engine_whose_memory_is_full_gets_no_requests),
        cmocka_unit_test(a_reserve_is_left_free),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

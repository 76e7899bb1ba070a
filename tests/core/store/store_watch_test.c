/* The next call to the platform's store, and its time. */
#include "testing.h"

#include "core/store/store_watch.h"

static void snapshot_is_read_before_watching(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 0, 1);
    assert_false(store_watch_next_call(&watch).watches);
    store_watch_answered(&watch, 0, 2); /* one of several pages */
    assert_false(store_watch_next_call(&watch).watches);
    store_watch_answered(&watch, 17, 2);
    assert_true(store_watch_next_call(&watch).watches);
    assert_int_equal(watch.revision, 17);
}

static void state_known_from_peers_needs_no_snapshot(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    assert_true(store_watch_next_call(&watch).watches);
    assert_false(store_watch_is_healthy(&watch)); /* the store has not answered yet */
}

static void lost_history_requires_new_snapshot(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_history_lost(&watch);
    assert_false(store_watch_next_call(&watch).watches);
}

static void failures_back_off_until_answer(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    uint32_t first = store_watch_failed(&watch, STORE_UNAVAILABLE);
    assert_false(store_watch_is_healthy(&watch));
    uint32_t second = store_watch_failed(&watch, STORE_UNAVAILABLE);
    assert_true(second > first);
    for (int i = 0; i < 100; i++)
        assert_true(store_watch_failed(&watch, STORE_UNAVAILABLE) <= 1000);
    store_watch_answered(&watch, 18, 3);
    assert_true(store_watch_is_healthy(&watch));
    assert_int_equal(store_watch_failed(&watch, STORE_UNAVAILABLE), first);
}

static void node_without_state_retries_within_250_ms(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 0, 1);
    for (int i = 0; i < 100; i++)
        assert_true(store_watch_failed(&watch, STORE_UNAVAILABLE) <= 250);
}

static void timed_out_watch_is_retried_immediately(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    struct store_call usual = store_watch_next_call(&watch);
    assert_int_equal(store_watch_failed(&watch, STORE_TIMED_OUT), 0);
    struct store_call retry = store_watch_next_call(&watch);
    assert_true(retry.watches);
    assert_true(retry.wait_ms < 100);
    /* The next answer comes within the 3 s in which nodes reconnect after an outage. */
    assert_true(usual.timeout_ms + retry.wait_ms < 2900);
    assert_true(store_watch_failed(&watch, STORE_TIMED_OUT) > 0);
}

static void removal_is_from_outage_only_if_calls_failed_since_last_answer(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    assert_false(store_watch_removal(&watch, false, 10).from_outage);
    store_watch_failed(&watch, STORE_TIMED_OUT);
    assert_true(store_watch_removal(&watch, false, 10).from_outage);
    assert_int_equal(store_watch_removal(&watch, false, 10).learned, 10);
    store_watch_answered(&watch, 18, 11);
    assert_false(store_watch_removal(&watch, false, 12).from_outage);
    store_watch_failed(&watch, STORE_UNAVAILABLE);
    assert_true(store_watch_removal(&watch, false, 13).from_outage);
}

/* Dropping history and disconnecting watches loses no entry: missing items have left. */
static void lost_history_is_not_an_outage(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    store_watch_failed(&watch, STORE_DISCONNECTED);
    store_watch_history_lost(&watch);
    store_watch_answered(&watch, 0, 20); /* one of several pages */
    struct state_removal loss = store_watch_removal(&watch, false, 30);
    assert_false(loss.from_outage);
    assert_int_equal(loss.learned, 2); /* it may have been removed since then */
    store_watch_answered(&watch, 40, 30);
    assert_int_equal(store_watch_removal(&watch, false, 50).learned, 50);
}

static void repeated_disconnects_are_an_outage(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    store_watch_failed(&watch, STORE_DISCONNECTED);
    store_watch_failed(&watch, STORE_DISCONNECTED);
    assert_true(store_watch_removal(&watch, false, 10).from_outage);
}

static void removal_after_own_pause_dates_from_last_answer(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    store_watch_failed(&watch, STORE_TIMED_OUT);
    struct state_removal loss = store_watch_removal(&watch, true, 4000);
    assert_false(loss.from_outage);
    assert_int_equal(loss.learned, 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(snapshot_is_read_before_watching),
        cmocka_unit_test(state_known_from_peers_needs_no_snapshot),
        cmocka_unit_test(lost_history_requires_new_snapshot),
        cmocka_unit_test(failures_back_off_until_answer),
        cmocka_unit_test(timed_out_watch_is_retried_immediately),
        cmocka_unit_test(removal_is_from_outage_only_if_calls_failed_since_last_answer),
        cmocka_unit_test(lost_history_is_not_an_outage),
        cmocka_unit_test(repeated_disconnects_are_an_outage),
        cmocka_unit_test(removal_after_own_pause_dates_from_last_answer),
        cmocka_unit_test(node_without_state_retries_within_250_ms),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

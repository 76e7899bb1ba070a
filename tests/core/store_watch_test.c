/* Which call to the platform's store comes next, and when. */
#include "testing.h"

#include "core/store_watch.h"

static void the_whole_is_read_before_changes_are_watched(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 0, 1);
    assert_false(store_watch_next_call(&watch).watches);
    store_watch_answered(&watch, 0, 2); /* a page of several */
    assert_false(store_watch_next_call(&watch).watches);
    store_watch_answered(&watch, 17, 2);
    assert_true(store_watch_next_call(&watch).watches);
    assert_int_equal(watch.revision, 17);
}

static void what_others_told_is_not_read_again(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    assert_true(store_watch_next_call(&watch).watches);
    assert_false(store_watch_is_sound(&watch)); /* nothing is known of the store yet */
}

static void lost_history_means_the_whole_again(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_history_lost(&watch);
    assert_false(store_watch_next_call(&watch).watches);
}

static void failures_are_spaced_out_until_an_answer_comes(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    uint32_t first = store_watch_failed(&watch, STORE_AWAY);
    assert_false(store_watch_is_sound(&watch));
    uint32_t second = store_watch_failed(&watch, STORE_AWAY);
    assert_true(second > first);
    for (int i = 0; i < 100; i++)
        assert_true(store_watch_failed(&watch, STORE_AWAY) <= 1000);
    store_watch_answered(&watch, 18, 3);
    assert_true(store_watch_is_sound(&watch));
    assert_int_equal(store_watch_failed(&watch, STORE_AWAY), first);
}

static void a_node_that_knows_nothing_asks_again_soon(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 0, 1);
    for (int i = 0; i < 100; i++)
        assert_true(store_watch_failed(&watch, STORE_AWAY) <= 250);
}

static void a_silent_watch_is_followed_by_a_check_at_once(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    struct store_call usual = store_watch_next_call(&watch);
    assert_int_equal(store_watch_failed(&watch, STORE_SILENT), 0);
    struct store_call check = store_watch_next_call(&watch);
    assert_true(check.watches);
    assert_true(check.wait_ms < 100);
    /* The next answer comes within the 3 s in which nodes get back in touch. */
    assert_true(usual.timeout_ms + check.wait_ms < 2900);
    assert_true(store_watch_failed(&watch, STORE_SILENT) > 0);
}

static void
what_went_is_from_an_outage_only_if_the_store_was_away_since_the_last_answer(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    assert_false(store_watch_loss(&watch, false, 10).from_outage);
    store_watch_failed(&watch, STORE_SILENT);
    assert_true(store_watch_loss(&watch, false, 10).from_outage);
    assert_int_equal(store_watch_loss(&watch, false, 10).learned, 10);
    store_watch_answered(&watch, 18, 11);
    assert_false(store_watch_loss(&watch, false, 12).from_outage);
    store_watch_failed(&watch, STORE_AWAY);
    assert_true(store_watch_loss(&watch, false, 13).from_outage);
}

/* It forgets its history and cuts its watches, which lapses no entry: what is missing has left. */
static void a_store_that_forgot_its_history_had_no_outage(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    store_watch_failed(&watch, STORE_CUT);
    store_watch_history_lost(&watch);
    store_watch_answered(&watch, 0, 20); /* a page of several */
    struct state_loss loss = store_watch_loss(&watch, false, 30);
    assert_false(loss.from_outage);
    assert_int_equal(loss.learned, 2); /* it may have gone since then */
    store_watch_answered(&watch, 40, 30);
    assert_int_equal(store_watch_loss(&watch, false, 50).learned, 50);
}

static void connections_that_break_again_and_again_are_an_outage(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    store_watch_failed(&watch, STORE_CUT);
    store_watch_failed(&watch, STORE_CUT);
    assert_true(store_watch_loss(&watch, false, 10).from_outage);
}

static void what_a_node_missed_by_its_own_fault_may_have_gone_long_before(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17, 1);
    store_watch_answered(&watch, 17, 2);
    store_watch_failed(&watch, STORE_SILENT);
    struct state_loss loss = store_watch_loss(&watch, true, 4000);
    assert_false(loss.from_outage);
    assert_int_equal(loss.learned, 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_whole_is_read_before_changes_are_watched),
        cmocka_unit_test(what_others_told_is_not_read_again),
        cmocka_unit_test(lost_history_means_the_whole_again),
        cmocka_unit_test(failures_are_spaced_out_until_an_answer_comes),
        cmocka_unit_test(a_silent_watch_is_followed_by_a_check_at_once),
        cmocka_unit_test(
            what_went_is_from_an_outage_only_if_the_store_was_away_since_the_last_answer),
        cmocka_unit_test(a_store_that_forgot_its_history_had_no_outage),
        cmocka_unit_test(connections_that_break_again_and_again_are_an_outage),
        cmocka_unit_test(what_a_node_missed_by_its_own_fault_may_have_gone_long_before),
        cmocka_unit_test(a_node_that_knows_nothing_asks_again_soon),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Which call to the platform's store comes next, and when. */
#include "testing.h"

#include "core/store_watch.h"

static void the_whole_is_read_before_changes_are_watched(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 0);
    assert_false(store_watch_next_call(&watch).watches);
    store_watch_answered(&watch, 0); /* a page of several */
    assert_false(store_watch_next_call(&watch).watches);
    store_watch_answered(&watch, 17);
    assert_true(store_watch_next_call(&watch).watches);
    assert_int_equal(watch.revision, 17);
}

static void what_others_told_is_not_read_again(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17);
    assert_true(store_watch_next_call(&watch).watches);
    assert_false(store_watch_is_sound(&watch)); /* nothing is known of the store yet */
}

static void lost_history_means_the_whole_again(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17);
    store_watch_history_lost(&watch);
    assert_false(store_watch_next_call(&watch).watches);
}

static void failures_are_spaced_out_until_an_answer_comes(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 17);
    store_watch_answered(&watch, 17);
    uint32_t first = store_watch_failed(&watch);
    assert_false(store_watch_is_sound(&watch));
    uint32_t second = store_watch_failed(&watch);
    assert_true(second > first);
    for (int i = 0; i < 100; i++)
        assert_true(store_watch_failed(&watch) <= 1000);
    store_watch_answered(&watch, 18);
    assert_true(store_watch_is_sound(&watch));
    assert_int_equal(store_watch_failed(&watch), first);
}

static void a_node_that_knows_nothing_asks_again_soon(void **state)
{
    struct store_watch watch;
    store_watch_begin(&watch, 0);
    for (int i = 0; i < 100; i++)
        assert_true(store_watch_failed(&watch) <= 250);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_whole_is_read_before_changes_are_watched),
        cmocka_unit_test(what_others_told_is_not_read_again),
        cmocka_unit_test(lost_history_means_the_whole_again),
        cmocka_unit_test(failures_are_spaced_out_until_an_answer_comes),
        cmocka_unit_test(a_node_that_knows_nothing_asks_again_soon),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

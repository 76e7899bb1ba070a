/* Copies of the platform state merge in any order, and no item reverts to an older revision. */
#include "testing.h"

#include "core/store/state_cache.h"

#include <string.h>

static const struct state_removal no_removal = {0};

static uint32_t changes;

static void on_changed(void *context, const struct state_item *item)
{
    changes++;
}

static struct state_cache *cache_create(void)
{
    struct state_cache_listener listener = {NULL, on_changed};
    changes = 0;
    return state_cache_create(&listener);
}

static const char *value_of(const struct state_cache *cache, const char *key)
{
    const struct state_item *item = state_cache_find(cache, key);
    return item ? item->value : "-";
}

static void item_never_reverts_to_older_revision(void **state)
{
    struct state_cache *cache = cache_create();
    assert_true(state_cache_put(cache, "op/a", "new", 3, 9, 0));
    assert_false(state_cache_put(cache, "op/a", "old", 3, 7, 0));
    assert_false(state_cache_put(cache, "op/a", "new", 3, 9, 0));
    assert_false(state_cache_remove(cache, "op/a", 8, &no_removal));
    assert_string_equal(value_of(cache, "op/a"), "new");
    assert_true(state_cache_remove(cache, "op/a", 10, &no_removal));
    assert_false(state_cache_put(cache, "op/a", "new", 3, 9, 0));
    assert_string_equal(value_of(cache, "op/a"), "-");
    assert_int_equal(changes, 2);
    state_cache_destroy(cache);
}

static void an_item_of_a_snapshot_is_undated_until_it_changes(void **state)
{
    struct state_cache *cache = cache_create();
    state_cache_put_undated(cache, "op/a", "old", 3, 4, 100);
    assert_true(state_cache_find(cache, "op/a")->undated);
    assert_false(state_cache_put(cache, "op/a", "old", 3, 4, 90)); /* the same change */
    assert_true(state_cache_find(cache, "op/a")->undated);
    assert_true(state_cache_put(cache, "op/a", "new", 3, 5, 200));
    assert_false(state_cache_find(cache, "op/a")->undated);
    state_cache_destroy(cache);
}

static void snapshot_removes_missing_items(void **state)
{
    struct state_cache *cache = cache_create();
    state_cache_put(cache, "servers/1", "x", 1, 3, 0);
    state_cache_put(cache, "servers/2", "x", 1, 4, 0);
    state_cache_put(cache, "servers/3", "x", 1, 20, 0); /* newer than the snapshot */
    state_cache_put(cache, "op/a", "x", 1, 5, 0);
    state_cache_snapshot_begin(cache, "servers/");
    state_cache_put(cache, "servers/2", "x", 1, 4, 0);
    state_cache_snapshot_end(cache, "servers/", 10, &no_removal);
    assert_string_equal(value_of(cache, "servers/1"), "-");
    assert_string_equal(value_of(cache, "servers/2"), "x");
    assert_string_equal(value_of(cache, "servers/3"), "x");
    assert_string_equal(value_of(cache, "op/a"), "x");
    state_cache_destroy(cache);
}

static void delta_is_available_until_tombstones_are_trimmed(void **state)
{
    struct state_cache *cache = cache_create();
    state_cache_put(cache, "a", "x", 1, 3, 0);
    state_cache_remove(cache, "a", 6, &(struct state_removal){.learned = 100});
    state_cache_advance(cache, 8);
    state_cache_trim(cache, 100);
    assert_true(state_cache_has_delta_for(cache, 4));
    state_cache_trim(cache, 101);
    assert_int_equal(state_cache_count(cache), 0);
    assert_false(state_cache_has_delta_for(cache, 4));
    assert_true(state_cache_has_delta_for(cache, 6));
    state_cache_advance(cache, 7);
    assert_int_equal(state_cache_revision(cache), 8);
    state_cache_destroy(cache);
}

static void copy_from_snapshot_has_no_earlier_tombstones(void **state)
{
    struct state_cache *cache = cache_create();
    state_cache_snapshot_begin(cache, "");
    state_cache_put(cache, "servers/1", "x", 1, 3, 0);
    state_cache_snapshot_end(cache, "", 10, &no_removal);
    state_cache_advance(cache, 10);
    assert_false(state_cache_has_delta_for(cache, 5));
    assert_true(state_cache_retains_since(cache, 5));
    assert_true(state_cache_has_delta_for(cache, 10));
    assert_true(state_cache_has_delta_since(cache, 10));
    state_cache_destroy(cache);
}

static void snapshot_leaves_gap_for_intermediate_revisions(void **state)
{
    struct state_cache *cache = cache_create();
    state_cache_put(cache, "servers/1", "x", 1, 3, 0);
    state_cache_advance(cache, 4);
    state_cache_snapshot_begin(cache, "");
    state_cache_snapshot_end(cache, "", 10, &no_removal);
    state_cache_advance(cache, 10);
    assert_true(state_cache_has_delta_for(cache, 4)); /* items held at 4 are known to be removed */
    assert_false(state_cache_has_delta_for(cache, 5));
    assert_true(state_cache_has_delta_for(cache, 10));
    assert_false(state_cache_has_delta_since(cache, 4));
    state_cache_snapshot_begin(cache, "");
    state_cache_snapshot_end(cache, "", 20, &no_removal);
    state_cache_advance(cache, 20);
    assert_false(state_cache_has_delta_for(cache, 4));
    assert_true(state_cache_has_delta_for(cache, 10));
    assert_false(state_cache_has_delta_for(cache, 12));
    state_cache_destroy(cache);
}

static void older_snapshot_leaves_no_gap(void **state)
{
    struct state_cache *cache = cache_create();
    state_cache_put(cache, "servers/1", "x", 1, 3, 0);
    state_cache_advance(cache, 12);
    state_cache_snapshot_begin(cache, "");
    state_cache_snapshot_end(cache, "", 10, &no_removal);
    assert_true(state_cache_has_delta_for(cache, 5));
    assert_true(state_cache_has_delta_since(cache, 5));
    state_cache_destroy(cache);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(item_never_reverts_to_older_revision),
        cmocka_unit_test(an_item_of_a_snapshot_is_undated_until_it_changes),
        cmocka_unit_test(snapshot_removes_missing_items),
        cmocka_unit_test(delta_is_available_until_tombstones_are_trimmed),
        cmocka_unit_test(copy_from_snapshot_has_no_earlier_tombstones),
        cmocka_unit_test(snapshot_leaves_gap_for_intermediate_revisions),
        cmocka_unit_test(older_snapshot_leaves_no_gap),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

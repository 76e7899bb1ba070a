/*
 * Copies of the platform's state when the store comes back from an older copy: what is written
 * afterwards is known to all nodes once messages settle, and no copy goes back in the history.
 *
 * Guards against items that were ignored because their revision, given out again, was not greater
 * than the held one. Plays a store that writes, removes and restores, nodes of which some read it,
 * and messages between nodes that are late, lost and doubled.
 */
#include "testing.h"

#include "core/random.h"
#include "core/store/state_cache.h"
#include "core/store/store_position.h"
#include "core/store/store_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 5
#define READERS 2
#define KEYS 6
#define MAX_EVENTS 4000
#define MAX_ANSWERS 64
#define STEPS 1500
#define SETTLE_STEPS 400
#define SEEDS 200
#define VALUE_SIZE 16

struct event {
    uint32_t key;
    uint64_t revision;
    bool gone;
    char value[VALUE_SIZE];
};

/* An answer of the store on its way, or a message between nodes. */
struct answer {
    uint32_t arrives; /* step */
    uint32_t to;
    bool from_store;
    bool whole;
    uint64_t epoch; /* named by the store */
    uint64_t after; /* position */
    uint64_t revision;
    uint32_t count;
    struct event items[KEYS]; /* the newest event of each key; revisions are positions */
};

struct node {
    struct state_cache *state;
    struct store_watch watch;
    bool reads;
    bool calling;
    uint64_t newest; /* position of its copy */
};

struct world {
    struct random_stream random;
    struct event events[MAX_EVENTS];
    uint32_t event_count;
    uint64_t revision;
    uint64_t epoch;
    uint32_t written; /* numbers the values */
    struct node nodes[NODES];
    struct answer *answers[MAX_ANSWERS];
    uint32_t answer_count;
};

static void ignore_change(void *context, const struct state_item *item)
{
}

static const char *key_name(uint32_t key)
{
    static const char *const names[KEYS] = {"op/config", "op/version/m", "op/evacuate/z",
                                            "servers/a", "servers/b",    "servers/c"};
    return names[key];
}

/* --- the store --- */

static void write_item(struct world *world)
{
    struct event *event = &world->events[world->event_count++];
    *event = (struct event){.key = (uint32_t)random_below(&world->random, KEYS),
                            .revision = ++world->revision,
                            .gone = random_below(&world->random, 6) == 0};
    snprintf(event->value, sizeof event->value, "%u", ++world->written);
}

static void restore(struct world *world)
{
    uint64_t lost = random_below(&world->random, 12);
    world->revision = world->revision > lost ? world->revision - lost : 0;
    while (world->event_count && world->events[world->event_count - 1].revision > world->revision)
        world->event_count--;
    world->epoch++;
}

/* Fills in the newest events after a revision; a snapshot has no removed items. */
static void read_events(const struct world *world, uint64_t after, bool whole,
                        struct answer *answer)
{
    for (uint32_t key = 0; key < KEYS; key++) {
        const struct event *newest = NULL;
        for (uint32_t i = 0; i < world->event_count; i++)
            if (world->events[i].key == key && world->events[i].revision > after)
                newest = &world->events[i];
        if (!newest || (whole && newest->gone))
            continue;
        answer->items[answer->count] = *newest;
        answer->items[answer->count++].revision = store_position(world->epoch, newest->revision);
    }
}

/* --- messages --- */

static struct answer *send_answer(struct world *world, uint32_t to, uint32_t step)
{
    struct answer *answer = calloc(1, sizeof *answer);
    answer->to = to;
    answer->arrives = step + 1 + (uint32_t)random_below(&world->random, 12);
    world->answers[world->answer_count++] = answer;
    return answer;
}

static void call_store(struct world *world, uint32_t index, uint32_t step)
{
    struct node *node = &world->nodes[index];
    if (node->calling || world->answer_count == MAX_ANSWERS)
        return;
    store_watch_advance(&node->watch, state_cache_revision(node->state));
    struct store_call call = store_watch_next_call(&node->watch);
    struct answer *answer = send_answer(world, index, step);
    node->calling = true;
    answer->from_store = true;
    answer->epoch = world->epoch;
    answer->whole = !call.watches;
    uint64_t after = store_position_revision(node->watch.revision);
    answer->revision = store_position(world->epoch, world->revision);
    read_events(world, answer->whole ? 0 : after, answer->whole, answer);
    if (call.watches && after > world->revision) { /* 410 */
        answer->count = 0;
        answer->revision = 0;
    }
}

static void tell_peer(struct world *world, uint32_t from, uint32_t to, uint32_t step)
{
    struct state_cache *state = world->nodes[from].state;
    uint64_t known = world->nodes[to].newest;
    if (world->answer_count == MAX_ANSWERS || state_cache_revision(state) <= known)
        return;
    struct answer *answer = send_answer(world, to, step);
    answer->whole = !known || !state_cache_has_delta_for(state, known);
    answer->after = known;
    answer->revision = state_cache_revision(state);
    for (uint32_t i = 0; i < state_cache_count(state); i++) {
        const struct state_item *item = state_cache_at(state, i);
        if (answer->whole ? item->gone : item->revision <= known)
            continue;
        struct event *event = &answer->items[answer->count++];
        *event = (struct event){.revision = item->revision, .gone = item->gone};
        while (strcmp(key_name(event->key), item->key) != 0)
            event->key++;
        if (item->value)
            snprintf(event->value, sizeof event->value, "%s", item->value);
    }
}

/* --- nodes --- */

static void apply(struct node *node, const struct answer *answer, uint64_t now)
{
    struct state_removal removal = {.learned = now};
    if (answer->whole)
        state_cache_snapshot_begin(node->state, "");
    for (uint32_t i = 0; i < answer->count; i++) {
        const struct event *event = &answer->items[i];
        if (event->gone)
            state_cache_remove(node->state, key_name(event->key), event->revision, &removal);
        else
            state_cache_put(node->state, key_name(event->key), event->value, strlen(event->value),
                            event->revision, now);
    }
    if (answer->whole)
        state_cache_snapshot_end(node->state, "", answer->revision, &removal);
}

static void receive_from_store(struct node *node, const struct answer *answer, uint64_t now)
{
    node->calling = false;
    bool is_snapshot = !node->watch.revision;
    enum epoch_order order = store_watch_check_epoch(&node->watch, answer->epoch);
    if (order == EPOCH_EARLIER || (order == EPOCH_NEXT && !is_snapshot))
        return;
    if (!answer->revision) {
        store_watch_history_lost(&node->watch);
        return;
    }
    if (answer->whole != is_snapshot)
        return;
    apply(node, answer, now);
    store_watch_answered(&node->watch, answer->revision, now);
    state_cache_advance(node->state, node->watch.revision);
}

static void receive_from_peer(struct node *node, const struct answer *answer, uint64_t now)
{
    uint64_t known = state_cache_revision(node->state);
    if (answer->revision <= known || (!answer->whole && answer->after > known))
        return;
    apply(node, answer, now);
    state_cache_advance(node->state, answer->revision);
}

static void deliver(struct world *world, uint32_t step)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < world->answer_count; i++) {
        struct answer *answer = world->answers[i];
        struct node *node = &world->nodes[answer->to];
        if (answer->arrives > step) {
            world->answers[kept++] = answer;
            continue;
        }
        bool doubled = !answer->from_store && random_below(&world->random, 8) == 0;
        bool lost = !answer->from_store && random_below(&world->random, 8) == 0;
        if (answer->from_store)
            receive_from_store(node, answer, step);
        else if (!lost)
            receive_from_peer(node, answer, step);
        if (doubled) {
            answer->arrives = step + 1 + (uint32_t)random_below(&world->random, 30);
            world->answers[kept++] = answer;
        } else {
            free(answer);
        }
        uint64_t newest = state_cache_revision(node->state);
        assert_true(newest >= node->newest);
        node->newest = newest;
    }
    world->answer_count = kept;
}

/* --- plays --- */

static void begin(struct world *world, uint64_t seed)
{
    struct state_cache_listener listener = {.changed = ignore_change};
    *world = (struct world){.random = {seed, 0}, .epoch = 1};
    for (uint32_t i = 0; i < NODES; i++) {
        world->nodes[i].state = state_cache_create(&listener);
        world->nodes[i].reads = i < READERS;
        store_watch_init(&world->nodes[i].watch, 0, 0);
    }
}

static void run_step(struct world *world, uint32_t step, bool settling)
{
    if (!settling && random_below(&world->random, 6) == 0)
        write_item(world);
    if (!settling && random_below(&world->random, 150) == 0)
        restore(world);
    for (uint32_t i = 0; i < NODES; i++) {
        if (world->nodes[i].reads)
            call_store(world, i, step);
        if (random_below(&world->random, 4) == 0)
            tell_peer(world, i, (uint32_t)random_below(&world->random, NODES), step);
    }
    deliver(world, step);
}

/* The newest value of a key in the store; NULL: it has none. */
static const char *stored_value(const struct world *world, uint32_t key)
{
    const struct event *newest = NULL;
    for (uint32_t i = 0; i < world->event_count; i++)
        if (world->events[i].key == key)
            newest = &world->events[i];
    return newest && !newest->gone ? newest->value : NULL;
}

static void assert_all_know_the_store(const struct world *world)
{
    for (uint32_t i = 0; i < NODES; i++) {
        for (uint32_t key = 0; key < KEYS; key++) {
            const struct state_item *item = state_cache_find(world->nodes[i].state, key_name(key));
            const char *expected = stored_value(world, key);
            assert_string_equal(item ? item->value : "-", expected ? expected : "-");
        }
    }
}

static void end(struct world *world)
{
    for (uint32_t i = 0; i < world->answer_count; i++)
        free(world->answers[i]);
    for (uint32_t i = 0; i < NODES; i++)
        state_cache_destroy(world->nodes[i].state);
    free(world);
}

static void all_nodes_know_what_was_written_after_restores(void **state)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct world *world = malloc(sizeof *world);
        begin(world, seed);
        for (uint32_t step = 0; step < STEPS + SETTLE_STEPS; step++)
            run_step(world, step, step >= STEPS);
        assert_all_know_the_store(world);
        end(world);
    }
}

static void an_answer_of_an_earlier_epoch_is_void(void **state)
{
    struct store_watch watch;
    store_watch_init(&watch, store_position(2, 40), 1);
    assert_int_equal(store_watch_check_epoch(&watch, 2), EPOCH_CURRENT);
    assert_int_equal(store_watch_check_epoch(&watch, 1), EPOCH_EARLIER);
    assert_int_equal(watch.revision, store_position(2, 40));
    assert_int_equal(store_watch_check_epoch(&watch, 3), EPOCH_NEXT);
    assert_false(store_watch_next_call(&watch).watches);
    assert_true(store_watch_removal(&watch, true, 5).from_outage);
    store_watch_answered(&watch, store_position(3, 20), 6);
    assert_true(store_watch_next_call(&watch).watches);
    assert_false(store_watch_removal(&watch, false, 7).from_outage);
}

static void what_the_copy_confirms_keeps_its_time(void **state)
{
    struct state_cache_listener listener = {.changed = ignore_change};
    struct state_cache *cache = state_cache_create(&listener);
    state_cache_put(cache, "op/version/m", "2", 1, store_position(1, 90), 100);
    state_cache_put(cache, "op/evacuate/z", "1", 1, store_position(1, 95), 100);
    state_cache_advance(cache, store_position(1, 99));
    struct state_removal removal = {.learned = 200, .from_outage = true};
    state_cache_snapshot_begin(cache, "");
    state_cache_put_undated(cache, "op/version/m", "2", 1, store_position(2, 90), 200);
    state_cache_snapshot_end(cache, "", store_position(2, 92), &removal);
    state_cache_advance(cache, store_position(2, 92));
    assert_int_equal(state_cache_find(cache, "op/version/m")->learned, 100);
    assert_true(state_cache_find(cache, "op/version/m")->kept);
    assert_null(state_cache_find(cache, "op/evacuate/z"));
    assert_true(state_cache_at(cache, 0)->lost_in_copy);
    assert_false(state_cache_has_delta_for(cache, store_position(1, 99)));
    assert_false(state_cache_retains_since(cache, store_position(1, 99)));
    state_cache_destroy(cache);
}

static const struct state_item *entry_after(struct state_cache *cache, const char *value,
                                            uint64_t position)
{
    state_cache_put(cache, "servers/a", value, strlen(value), position, 1);
    return state_cache_find(cache, "servers/a");
}

static void what_the_copy_may_revive_is_unconfirmed(void **state)
{
    struct state_cache_listener listener = {.changed = ignore_change};
    struct state_cache *cache = state_cache_create(&listener);
    struct state_removal removal = {.learned = 1}, lost = {.learned = 1, .from_outage = true};
    assert_false(entry_after(cache, "1", store_position(1, 10))->unconfirmed);
    assert_false(entry_after(cache, "2", store_position(1, 20))->unconfirmed);
    assert_true(entry_after(cache, "1", store_position(2, 10))->unconfirmed);
    assert_false(entry_after(cache, "1", store_position(3, 10))->unconfirmed);
    assert_true(state_cache_find(cache, "servers/a")->kept);
    assert_false(entry_after(cache, "3", store_position(3, 15))->unconfirmed);
    assert_false(state_cache_find(cache, "servers/a")->kept);
    state_cache_remove(cache, "servers/a", store_position(3, 20), &removal);
    assert_true(entry_after(cache, "3", store_position(4, 15))->revived);
    assert_false(entry_after(cache, "4", store_position(4, 16))->revived);
    state_cache_remove(cache, "servers/a", store_position(4, 20), &lost);
    assert_true(entry_after(cache, "4", store_position(5, 16))->revived);
    state_cache_advance(cache, store_position(5, 20));
    state_cache_put(cache, "servers/b", "1", 1, store_position(5, 21), 1);
    assert_false(state_cache_find(cache, "servers/b")->unconfirmed);
    state_cache_put(cache, "servers/c", "1", 1, store_position(6, 3), 1); /* not known before */
    assert_true(state_cache_find(cache, "servers/c")->unconfirmed);
    assert_false(state_cache_find(cache, "servers/c")->revived);
    state_cache_destroy(cache);
}

/* Guards against the removal of an item that the copy had confirmed: nobody was told of it. */
static void the_removal_of_a_kept_item_is_news(void **state)
{
    struct state_cache_listener listener = {.changed = ignore_change};
    struct state_cache *cache = state_cache_create(&listener);
    struct state_removal removal = {.learned = 1};
    entry_after(cache, "1", store_position(1, 10));
    assert_true(entry_after(cache, "1", store_position(2, 10))->kept);
    state_cache_remove(cache, "servers/a", store_position(2, 11), &removal);
    assert_true(state_cache_at(cache, 0)->gone);
    assert_false(state_cache_at(cache, 0)->kept);
    assert_false(state_cache_at(cache, 0)->unconfirmed);
    state_cache_destroy(cache);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_nodes_know_what_was_written_after_restores),
        cmocka_unit_test(an_answer_of_an_earlier_epoch_is_void),
        cmocka_unit_test(what_the_copy_confirms_keeps_its_time),
        cmocka_unit_test(what_the_copy_may_revive_is_unconfirmed),
        cmocka_unit_test(the_removal_of_a_kept_item_is_news),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "testing.h"

#include "core/swarm/swarm.h"
#include "core/swarm/swarm_plan.h"

#include <stdlib.h>
#include <string.h>

#define CHUNKS 8
#define MEMBERS 6
#define ROLLOUT 77

/* Records the calls of the swarm to its driver. */
struct recorder {
    uint64_t sources[256];
    uint32_t chunks[256];
    uint32_t fetches;
    uint32_t cancels;
    uint32_t announcements;
};

static void on_fetch(void *context, uint64_t source, uint32_t chunk)
{
    struct recorder *recorder = context;
    recorder->sources[recorder->fetches] = source;
    recorder->chunks[recorder->fetches++] = chunk;
}

static void on_cancel(void *context, uint64_t source, uint32_t chunk)
{
    ((struct recorder *)context)->cancels++;
}

static void on_announce(void *context, uint64_t peer, const struct swarm_update *update)
{
    ((struct recorder *)context)->announcements++;
}

static struct swarm_settings test_settings(void)
{
    return (struct swarm_settings){
        .origin_budget = 1,
        .download_window = 4,
        .peer_window = 2,
        .upload_limit = 2,
        .neighbours = 3,
        .announce_us = 100000,
        .neighbour_timeout_us = 1000000,
        .chunk_timeout_us = 2000000,
        .busy_backoff_us = 10000,
        .origin_copy_us = 1000000,
        .origin_rank_delay_us = 500000,
    };
}

static struct swarm_plan *make_plan(uint32_t members)
{
    struct member list[MEMBERS];
    for (uint32_t i = 0; i < members; i++)
        list[i] = (struct member){100 + i, (uint16_t)(i % 2), (uint16_t)(i % 2)};
    return swarm_plan_create(ROLLOUT, CHUNKS, list, members);
}

static struct swarm *make_swarm(struct recorder *recorder, uint64_t self, uint32_t members)
{
    struct swarm_settings settings = test_settings();
    struct swarm_driver driver = {recorder, on_fetch, on_cancel, on_announce};
    struct swarm *swarm = swarm_create(&settings, self, ROLLOUT, CHUNKS, 1, &driver);
    struct swarm_plan *plan = make_plan(members);
    swarm_set_plan(swarm, 1, plan);
    swarm_plan_release(plan);
    return swarm;
}

static uint32_t rank_of(const struct swarm_plan *plan, uint32_t chunk, uint64_t id)
{
    uint32_t preferences[SWARM_PREFERENCE_LIST_SIZE];
    uint32_t self = swarm_plan_find(plan, id);
    uint32_t length =
        swarm_plan_preference_list(plan, chunk, plan->members[self].region, preferences);
    for (uint32_t i = 0; i < length; i++)
        if (preferences[i] == self)
            return i;
    return UINT32_MAX;
}

static void peer_has(struct swarm *swarm, uint64_t now, uint64_t peer, uint64_t bits)
{
    struct swarm_update update = {.rollout = ROLLOUT, .sequence = 1, .have_all = &bits};
    update.have_words = 1;
    swarm_on_update(swarm, now, peer, &update);
}

static void each_chunk_is_read_from_the_origin_by_one_member(void **state)
{
    struct swarm_plan *plan = make_plan(MEMBERS);
    uint32_t readers[CHUNKS] = {0};
    for (uint32_t i = 0; i < MEMBERS; i++) {
        struct recorder recorder = {0};
        struct swarm *swarm = make_swarm(&recorder, 100 + i, MEMBERS);
        for (uint32_t step = 0; step < CHUNKS; step++) {
            if (recorder.fetches == step)
                break;
            assert_int_equal(recorder.sources[step], SWARM_ORIGIN);
            assert_int_equal(rank_of(plan, recorder.chunks[step], 100 + i), 0);
            readers[recorder.chunks[step]]++;
            swarm_on_chunk(swarm, 2, SWARM_ORIGIN, recorder.chunks[step]);
        }
        swarm_destroy(swarm);
    }
    for (uint32_t chunk = 0; chunk < CHUNKS; chunk++)
        assert_int_equal(readers[chunk], 1);
    swarm_plan_release(plan);
}

static void a_lower_rank_asks_higher_ranks_before_the_origin(void **state)
{
    struct swarm_plan *plan = make_plan(MEMBERS);
    struct recorder recorder = {0};
    struct swarm *swarm = make_swarm(&recorder, 100, MEMBERS);
    uint32_t before = recorder.fetches;
    swarm_on_tick(swarm, 1 + 3000000 + 500000 * SWARM_PREFERENCE_LIST_SIZE);
    assert_true(recorder.fetches > before);
    bool asked = false;
    for (uint32_t i = before; i < recorder.fetches; i++) {
        uint32_t rank = rank_of(plan, recorder.chunks[i], 100);
        if (rank > 0)
            asked = true;
        assert_true(rank == 0 || recorder.sources[i] != SWARM_ORIGIN);
    }
    assert_true(asked);
    swarm_destroy(swarm);
    swarm_plan_release(plan);
}

/* A response to a request of the earlier plan advanced the assignment of the new plan past the end
 * of its preference list. */
static void a_response_to_a_request_of_an_earlier_plan_is_ignored(void **state)
{
    struct recorder recorder = {0};
    struct swarm *swarm = make_swarm(&recorder, 100, MEMBERS);
    uint64_t now = 10000000;
    swarm_on_tick(swarm, now);
    uint32_t asked = recorder.fetches;
    struct swarm_plan *smaller = make_plan(3);
    swarm_set_plan(swarm, now, smaller);
    swarm_plan_release(smaller);
    for (uint32_t round = 0; round < 4; round++)
        for (uint32_t i = 0; i < asked; i++)
            swarm_on_failure(swarm, now + round, recorder.sources[i], recorder.chunks[i],
                             SWARM_FAILURE_ABSENT, 0);
    swarm_on_tick(swarm, now + 60000000);
    swarm_destroy(swarm);
}

static void a_busy_peer_is_not_asked_before_its_backoff_ends(void **state)
{
    struct recorder recorder = {0};
    struct swarm *swarm = make_swarm(&recorder, 100, MEMBERS);
    uint64_t peers[SWARM_MAX_NEIGHBOURS];
    assert_true(swarm_neighbours(swarm, peers) >= 2);
    uint32_t before = recorder.fetches;
    peer_has(swarm, 10, peers[0], 0x3);
    assert_int_equal(recorder.fetches, before + 2);
    swarm_on_failure(swarm, 11, peers[0], recorder.chunks[before], SWARM_FAILURE_BUSY, 0);
    assert_int_equal(recorder.fetches, before + 2);
    swarm_on_tick(swarm, 11 + 10000);
    assert_int_equal(recorder.fetches, before + 3);
    swarm_destroy(swarm);
}

/* Three corrupt chunks in a rollout excluded a peer permanently, whatever their share. */
static void a_peer_with_a_low_share_of_corrupt_chunks_stays_in_use(void **state)
{
    struct recorder recorder = {0};
    struct swarm *swarm = make_swarm(&recorder, 100, MEMBERS);
    uint64_t peers[SWARM_MAX_NEIGHBOURS];
    swarm_neighbours(swarm, peers);
    uint64_t now = 100;
    for (uint32_t i = 0; i < 40; i++) {
        peer_has(swarm, now, peers[0], 0xff);
        uint32_t last = recorder.fetches - 1;
        if (recorder.sources[last] == peers[0])
            swarm_on_failure(swarm, now, peers[0], recorder.chunks[last], SWARM_FAILURE_CORRUPT, 0);
        now += 20000000; /* longer than any backoff */
    }
    uint32_t before = recorder.fetches;
    peer_has(swarm, now, peers[0], 0xff);
    assert_true(recorder.fetches > before);
    assert_true(swarm_counters(swarm)->chunks_corrupt >= 3);
    swarm_destroy(swarm);
}

static void uploads_are_admitted_by_held_chunks_and_queue_length(void **state)
{
    struct recorder recorder = {0};
    struct swarm *swarm = make_swarm(&recorder, 100, MEMBERS);
    swarm_on_chunk(swarm, 5, SWARM_ORIGIN, 3);
    assert_int_equal(swarm_admit_upload(swarm, 3, 0), SWARM_UPLOAD_SERVE);
    assert_int_equal(swarm_admit_upload(swarm, 3, 2), SWARM_UPLOAD_BUSY);
    assert_int_equal(swarm_admit_upload(swarm, CHUNKS, 0), SWARM_UPLOAD_ABSENT);
    assert_false(swarm_on_chunk(swarm, 6, 101, 3));
    swarm_destroy(swarm);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_chunk_is_read_from_the_origin_by_one_member),
        cmocka_unit_test(a_lower_rank_asks_higher_ranks_before_the_origin),
        cmocka_unit_test(a_response_to_a_request_of_an_earlier_plan_is_ignored),
        cmocka_unit_test(a_busy_peer_is_not_asked_before_its_backoff_ends),
        cmocka_unit_test(a_peer_with_a_low_share_of_corrupt_chunks_stays_in_use),
        cmocka_unit_test(uploads_are_admitted_by_held_chunks_and_queue_length),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Overload told from a hole: replays of arrivals at a service with slots, in which each refused
 * client retries once. */
#include "testing.h"

#include "core/load/demand.h"
#include "core/load/overload.h"
#include "core/random.h"

#include <string.h>

#define SLOTS 100
#define STREAM_US ((uint64_t)1400000)
#define SECOND_US ((uint64_t)1000000)
#define STEP_US ((uint64_t)1000)
#define MAX_RETRIES 20000

/* One gateway in front of all slots. */
struct play {
    bool keeps_reserve; /* retries leave a reserve while an overload lasts */
    uint64_t now;
    uint32_t slots;
    uint64_t busy_until[SLOTS];
    uint64_t retries_at[MAX_RETRIES]; /* refused clients that have not retried yet */
    uint32_t retries;
    double credit; /* fraction of the next new client */
    struct random_stream random;
    struct demand demand;
    struct overload overload;
    uint32_t new_clients, in_time, late, lost; /* counted since the last clear */
};

static uint32_t count_busy(const struct play *play)
{
    uint32_t busy = 0;
    for (uint32_t i = 0; i < play->slots; i++)
        busy += play->busy_until[i] > play->now;
    return busy;
}

static bool lasts(const struct play *play)
{
    struct capacity capacity = {.slots = play->slots, .gateways = 1, .slot_time_us = STREAM_US};
    return overload_lasts(&play->overload, demand_ratio(&play->demand, &capacity), play->now);
}

static bool take_slot(struct play *play, double usable)
{
    if (count_busy(play) + 1 > usable)
        return false;
    for (uint32_t i = 0; i < play->slots; i++) {
        if (play->busy_until[i] > play->now)
            continue;
        play->busy_until[i] = play->now + STREAM_US / 2 + random_below(&play->random, STREAM_US);
        return true;
    }
    return false;
}

static void arrive_new(struct play *play)
{
    play->new_clients++;
    demand_record(&play->demand, play->now);
    bool served = take_slot(play, play->slots);
    overload_record(&play->overload, !served, play->now);
    play->in_time += served;
    if (served)
        return;
    assert_true(play->retries < MAX_RETRIES);
    uint64_t delay = 1200000 + random_below(&play->random, 800000);
    play->retries_at[play->retries++] = play->now + delay;
}

static void arrive_retry(struct play *play)
{
    bool reserve = play->keeps_reserve && lasts(play);
    bool served = take_slot(play, play->slots * (reserve ? 1 - OVERLOAD_RESERVED_SHARE : 1));
    play->late += served;
    play->lost += !served;
}

/* \param demand of new clients, as a multiple of what SLOTS slots serve */
static void run(struct play *play, double demand, uint64_t length_us)
{
    double per_step = demand * SLOTS * (double)STEP_US / (double)STREAM_US;
    for (uint64_t end = play->now + length_us; play->now < end; play->now += STEP_US) {
        for (uint32_t i = 0; i < play->retries;) {
            if (play->retries_at[i] > play->now) {
                i++;
                continue;
            }
            play->retries_at[i] = play->retries_at[--play->retries];
            arrive_retry(play);
        }
        for (play->credit += per_step; play->credit >= 1; play->credit--)
            arrive_new(play);
    }
}

static void clear_counts(struct play *play)
{
    play->new_clients = play->in_time = play->late = play->lost = 0;
}

static struct play begin(bool keeps_reserve)
{
    struct play play = {
        .keeps_reserve = keeps_reserve, .now = SECOND_US, .slots = SLOTS, .random = {.seed = 7}};
    run(&play, 0.8, 5 * SECOND_US);
    clear_counts(&play);
    return play;
}

/* In an overload a slot for a retry is a slot that a new client lacks. */
static void new_clients_are_in_time_in_an_overload(void **state)
{
    struct play equal = begin(false), reserve = begin(true);
    run(&equal, 1.3, 20 * SECOND_US);
    run(&reserve, 1.3, 20 * SECOND_US);
    assert_true(reserve.in_time > 0.72 * reserve.new_clients);
    assert_true(reserve.in_time > 1.15 * equal.in_time);
    assert_true(reserve.in_time + reserve.late > 0.95 * (equal.in_time + equal.late));
}

static void overload_is_told_before_retries_arrive(void **state)
{
    struct play play = begin(true);
    run(&play, 1.6, 5 * SECOND_US / 2);
    assert_true(lasts(&play));
}

/* Overload that retries keep up would outlast its cause. */
static void overload_ends_when_demand_falls_under_capacity(void **state)
{
    struct play play = begin(true);
    run(&play, 1.3, 20 * SECOND_US);
    run(&play, 0.95, 5 * SECOND_US);
    assert_false(lasts(&play));
    clear_counts(&play);
    run(&play, 0.95, 5 * SECOND_US);
    assert_true(play.in_time > 0.9 * play.new_clients);
}

/* After a loss of all slots for 3 s new clients and retries fill them, but the former need fewer: a
 * retry is its client's last attempt, and gets an equal chance. */
static void a_hole_is_no_overload(void **state)
{
    struct play play = begin(true), equal = begin(false);
    for (struct play *each = &play; each; each = each == &play ? &equal : NULL) {
        each->slots = 0;
        run(each, 0.78, 3 * SECOND_US);
        overload_reset(&each->overload); /* as backends were absent, not full */
        memset(each->busy_until, 0, sizeof each->busy_until);
        each->slots = SLOTS;
        clear_counts(each);
        run(each, 0.78, 2 * SECOND_US);
        assert_false(lasts(each));
    }
    assert_int_equal(play.late, equal.late);
    assert_int_equal(play.in_time, equal.in_time);
}

static void demand_is_unknown_at_first(void **state)
{
    struct demand demand = {0};
    struct capacity capacity = {.slots = 10, .gateways = 4, .slot_time_us = SECOND_US};
    for (uint64_t now = SECOND_US; now < 2 * SECOND_US; now += SECOND_US / 10)
        demand_record(&demand, now);
    assert_true(demand_ratio(&demand, &capacity) == 0);
    for (uint64_t now = 2 * SECOND_US; now < 6 * SECOND_US; now += SECOND_US / 10)
        demand_record(&demand, now);
    assert_true(demand_ratio(&demand, &capacity) > 3.5 && demand_ratio(&demand, &capacity) < 4.5);
    capacity.slot_time_us = 0;
    assert_true(demand_ratio(&demand, &capacity) == 0);
    capacity = (struct capacity){.gateways = 4, .slot_time_us = SECOND_US};
    assert_true(demand_ratio(&demand, &capacity) == 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(new_clients_are_in_time_in_an_overload),
        cmocka_unit_test(overload_is_told_before_retries_arrive),
        cmocka_unit_test(overload_ends_when_demand_falls_under_capacity),
        cmocka_unit_test(a_hole_is_no_overload),
        cmocka_unit_test(demand_is_unknown_at_first),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/**
 * Planned stop of a gateway: which requests it still takes, and when its process ends.
 *
 * The process is killed at the end of the grace period. What it has read by then is owed an answer
 * or a refusal, whole. So it takes a request only if that can end in time, by its deadline or by
 * what is known of its route; it refuses any other at once, as another gateway takes that. It ends
 * when it owes nothing and no client holds its address any more, and at the latest with the grace
 * period, less the time that the last answers need.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_LOAD_STOP_PLAN_H
#define SHUNTRUN_LOAD_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/** Before the end of the grace period, what is still owed gets a final response. */
#define STOP_ANSWER_MARGIN_US ((uint64_t)450000)
/** Before the end of the grace period, the process ends. */
#define STOP_END_MARGIN_US ((uint64_t)200000)
/** Clients keep an address for this long after the directory has stopped naming it. */
#define STOP_ADDRESS_KEPT_US ((uint64_t)3000000)
/** The same, with the time in which they connect. */
#define STOP_ADDRESS_HELD_US ((uint64_t)3200000)
/** For this long after an answer that kept its connection, the client's next request is awaited. */
#define STOP_PROMISE_US ((uint64_t)500000)
/** Bound of the next run, as a percentage of the longest known one. */
#define STOP_RUN_BOUND_PERCENT 200

struct stop_plan {
    uint64_t begun_at; /**< 0: no stop */
    uint64_t grace_us;
};

/** The longest time for which a request may run. */
struct run_bound {
    uint64_t deadline_us; /**< left until its deadline */
    uint64_t longest_us;  /**< longest known run of its route; 0: unknown */
};

/** \return time by which all requests must have their final response */
static inline uint64_t stop_plan_answers_by(const struct stop_plan *plan)
{
    uint64_t usable =
        plan->grace_us > STOP_ANSWER_MARGIN_US ? plan->grace_us - STOP_ANSWER_MARGIN_US : 0;
    return plan->begun_at + usable;
}

/** \return time by which the process ends */
static inline uint64_t stop_plan_ends_by(const struct stop_plan *plan)
{
    uint64_t usable = plan->grace_us > STOP_END_MARGIN_US ? plan->grace_us - STOP_END_MARGIN_US : 0;
    return plan->begun_at + usable;
}

/** \return longest time that the request is expected to run, us */
static inline uint64_t run_bound_us(const struct run_bound *bound)
{
    uint64_t expected = bound->longest_us * STOP_RUN_BOUND_PERCENT / 100;
    return expected && expected < bound->deadline_us ? expected : bound->deadline_us;
}

/**
 * What is expected may be exceeded when the load rises. So it serves clients only that can't know
 * of another gateway yet; any later one is taken only if its deadline leaves no doubt.
 *
 * \return whether the request is taken: there is no stop, or it can end in time
 */
static inline bool stop_plan_takes(const struct stop_plan *plan, const struct run_bound *bound,
                                   uint64_t now)
{
    bool may_know_others = now >= plan->begun_at + STOP_ADDRESS_KEPT_US;
    uint64_t run_us = may_know_others ? bound->deadline_us : run_bound_us(bound);
    return !plan->begun_at || now + run_us <= stop_plan_answers_by(plan);
}

/** \return whether a gateway that knows no other one still names itself to clients: they may come
 * for as long as they hold the address */
static inline bool stop_plan_names_itself(const struct stop_plan *plan, uint64_t now)
{
    return !plan->begun_at || now + STOP_ADDRESS_HELD_US <= stop_plan_answers_by(plan);
}

/** \return whether clients are no longer expected */
static inline bool stop_plan_address_released(const struct stop_plan *plan, uint64_t now)
{
    return now >= plan->begun_at + STOP_ADDRESS_HELD_US || now >= stop_plan_answers_by(plan);
}

#endif

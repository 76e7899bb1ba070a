/**
 * When a request leaves a back end for another one, and when it has to stay or to wait.
 *
 * A client that reads a stream loses an answer when its connection breaks, so a stream that has
 * begun is given up only when nobody can finish it: silence alone ends nothing, and a back end that
 * refuses to go on is followed by another one, or by a wait for a place.
 */
#ifndef SHUNTRUN_ATTEMPT_RULE_H
#define SHUNTRUN_ATTEMPT_RULE_H

#include <stdbool.h>
#include <stdint.h>

/** What is known of a request between two attempts, or in the middle of one. */
struct attempt_facts {
    bool repeatable;   /**< it may run more than once */
    bool may_have_run; /**< an attempt ended without a word on whether it ran */
    bool begun;        /**< the client has the first events of a stream */
    uint32_t sends;    /**< back ends that got it, with the present one */
    uint32_t refusals; /**< of these, back ends that did not run it after the stream had begun */
    uint32_t backoffs; /**< of these, back ends that did not run it and want nothing for a while */
    uint32_t ended;    /**< of these, back ends that ended, for all that is known */
    uint32_t max_attempts; /**< attempts that its route allows */
    uint64_t time_left_us; /**< until its final answer is due, microseconds */
};

/** With less time left no further back end could read a usual prompt. */
#define ATTEMPT_MIN_TIME_LEFT_US ((uint64_t)60000)

/**
 * \brief Whether one more back end may get the request.
 *
 * The number of attempts bounds how often a request runs. A back end that refuses to go on with a
 * begun stream has not run it: counted as an attempt, it would cut the stream at a second engine
 * that is only full. Nor does a refusal count whose back end wants nothing for a while: none of
 * these is asked twice. Nor is it the stream's fault that a back end ended. What bounds a request
 * that ends them itself is core/crash_table.
 */
static inline bool attempt_may_retry(const struct attempt_facts *facts)
{
    uint32_t excused = facts->begun ? facts->refusals + facts->ended : facts->backoffs;
    uint32_t used = facts->sends - excused;
    return used < facts->max_attempts && facts->time_left_us >= ATTEMPT_MIN_TIME_LEFT_US &&
           (facts->repeatable || !facts->may_have_run);
}

/** What to do about a back end that has sent nothing for a while. */
enum silence_action {
    SILENCE_STAY,  /**< stay with it: the silence is this process's own, or nobody else can go on */
    SILENCE_LEAVE, /**< go to another back end */
};

/** A timer of this process that fires later than this shows that the process stood still, or was
 *  short of processor time: what has arrived meanwhile is not read yet. */
#define PROCESS_STALL_US ((uint64_t)100000)

/**
 * \param late by how much the timer fired after its time, microseconds
 * \param others whether another back end has room for the request now, and the shared budget a
 * repeat
 */
static inline enum silence_action silence_choose_action(const struct attempt_facts *facts,
                                                        uint64_t late, bool others)
{
    if (late > PROCESS_STALL_US || !others || !attempt_may_retry(facts))
        return SILENCE_STAY;
    return SILENCE_LEAVE;
}

#endif

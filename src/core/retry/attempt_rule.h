/**
 * When a request is retried on another backend, and when it stays on a silent one.
 *
 * A client loses the answer when a stream is cut, so a stream that has begun is given up only when
 * no backend can finish it: silence alone does not end it, and after a backend that refuses to
 * resume it another one is tried, or the request waits for a free slot.
 */
#ifndef SHUNTRUN_ATTEMPT_RULE_H
#define SHUNTRUN_ATTEMPT_RULE_H

#include <stdbool.h>
#include <stdint.h>

/** State of a request between two attempts or during one. */
struct attempt_facts {
    bool repeatable;       /**< it may run more than once */
    bool may_have_run;     /**< an attempt ended and it is unknown whether it ran */
    bool begun;            /**< the client has received the first events of a stream */
    uint32_t sends;        /**< backends it was sent to, including the current one */
    uint32_t refusals;     /**< of these, backends that refused to resume the begun stream */
    uint32_t backoffs;     /**< of these, backends that refused it and asked for a backoff */
    uint32_t ended;        /**< of these, backends whose process has ended, as far as known */
    uint32_t max_attempts; /**< attempts that its route allows */
    uint64_t time_left_us; /**< until its final answer is due */
};

/** With less time left, another backend could not even process a typical prompt. */
#define ATTEMPT_MIN_TIME_LEFT_US ((uint64_t)60000)

/**
 * \brief Whether the request may be sent to one more backend.
 *
 * The number of attempts bounds how often a request runs. A backend that refuses to resume a begun
 * stream has not run it: if that counted as an attempt, a second engine that is merely full would
 * cut the stream. A refusal with a backoff does not count either, as no such backend is asked
 * twice. Nor does a backend whose process ended under a begun stream, which is not to blame for
 * that. Requests that crash backends themselves are bounded by core/crash/crash_table.
 */
static inline bool attempt_may_retry(const struct attempt_facts *facts)
{
    uint32_t excused = facts->begun ? facts->refusals + facts->ended : facts->backoffs;
    uint32_t used = facts->sends - excused;
    return used < facts->max_attempts && facts->time_left_us >= ATTEMPT_MIN_TIME_LEFT_US &&
           (facts->repeatable || !facts->may_have_run);
}

/** What to do about a backend that has been silent for some time. */
enum silence_action {
    SILENCE_STAY,  /**< keep waiting: this process was stalled, or no other backend can take over */
    SILENCE_LEAVE, /**< retry on another backend */
};

/** A timer that fires later than this shows that this process was stalled or short of CPU time, so
 *  that data may have arrived that it has not read yet. */
#define PROCESS_STALL_US ((uint64_t)100000)

/**
 * \brief Decide when the silence timer of a request has fired.
 * \param late by how much the timer fired after its due time, microseconds
 * \param others whether another backend has room for the request now, and the shared repeat budget
 * allows a repeat
 */
static inline enum silence_action silence_choose_action(const struct attempt_facts *facts,
                                                        uint64_t late, bool others)
{
    if (late > PROCESS_STALL_US || !others || !attempt_may_retry(facts))
        return SILENCE_STAY;
    return SILENCE_LEAVE;
}

#endif

/**
 * The longest run of the requests of one route lately. It bounds how long the next one may run,
 * where a mean would be exceeded by half of them.
 *
 * A run that is still in progress raises the longest one with the time that it has lasted so far,
 * but it is no evidence that runs are short. Lengths follow the load, so runs are forgotten after
 * one to two windows.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_LOAD_RUN_TIME_H
#define SHUNTRUN_LOAD_RUN_TIME_H

#include <stdbool.h>
#include <stdint.h>

#define RUN_TIME_WINDOW_US ((uint64_t)20000000)
/** Completed runs from which a longest one is known. */
#define RUN_TIME_MIN_RUNS 20

/** Runs of one window. */
struct run_time_window {
    uint64_t longest_us;
    uint32_t completed;
};

/** All 0 before the first run. */
struct run_time {
    struct run_time_window current;
    struct run_time_window previous;
    uint64_t window_end;
};

/** \brief Begin a new window if the current one is over. */
static inline void run_time_advance(struct run_time *times, uint64_t now)
{
    if (now < times->window_end)
        return;
    bool adjoins = now < times->window_end + RUN_TIME_WINDOW_US;
    times->previous = adjoins ? times->current : (struct run_time_window){0};
    times->current = (struct run_time_window){0};
    times->window_end = now + RUN_TIME_WINDOW_US;
}

/** \brief Record that a run has lasted this long, from the arrival of its request. */
static inline void run_time_raise(struct run_time *times, uint64_t run_us, uint64_t now)
{
    run_time_advance(times, now);
    if (run_us > times->current.longest_us)
        times->current.longest_us = run_us;
}

/** \brief Record a completed run, from the arrival of its request to the end of its response. */
static inline void run_time_complete(struct run_time *times, uint64_t run_us, uint64_t now)
{
    run_time_raise(times, run_us, now);
    times->current.completed++;
}

/** \return the longest run, us; 0: too few have completed to know it */
static inline uint64_t run_time_longest_us(struct run_time *times, uint64_t now)
{
    run_time_advance(times, now);
    if (times->current.completed + times->previous.completed < RUN_TIME_MIN_RUNS)
        return 0;
    return times->current.longest_us > times->previous.longest_us ? times->current.longest_us
                                                                  : times->previous.longest_us;
}

#endif

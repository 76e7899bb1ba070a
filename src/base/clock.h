/**
 * System clocks, for the daemons only: code under src/core takes the time as an argument.
 */
#ifndef SHUNTRUN_CLOCK_H
#define SHUNTRUN_CLOCK_H

#include <stdint.h>

#define MICROSECONDS_PER_SECOND 1000000ULL
#define MICROSECONDS_PER_MILLISECOND 1000ULL

/**
 * \brief Monotonic time in microseconds that also advances while the process is stopped or the
 * machine is suspended (CLOCK_BOOTTIME). All ages, timeouts and deadlines use this clock.
 */
uint64_t clock_monotonic_us(void);

/**
 * \brief Time in microseconds of the clock of event-loop timers, which stops while the machine is
 * suspended (CLOCK_MONOTONIC). Only for detecting a suspension, see core/wake_watch.h.
 */
uint64_t clock_timer_us(void);

/**
 * \brief Incarnation number of this process: the wall-clock time in milliseconds. It is greater
 * than that of an earlier process on the same machine unless the wall clock stepped back.
 */
uint64_t clock_incarnation(void);

#endif

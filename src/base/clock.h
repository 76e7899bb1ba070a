/**
 * The real clocks, for the daemons only: code under src/core takes time as an argument.
 */
#ifndef SHUNTRUN_CLOCK_H
#define SHUNTRUN_CLOCK_H

#include <stdint.h>

#define MICROSECONDS_PER_SECOND 1000000ULL
#define MICROSECONDS_PER_MILLISECOND 1000ULL

/**
 * \brief Microseconds of a clock that does not step back and counts all time that passes, also
 *        while the process is stopped or its machine suspended. All ages, bounds and deadlines are
 *        of this clock.
 */
uint64_t clock_monotonic_us(void);

/**
 * \brief Microseconds of the clock that timers of the event loop run on: it stands still while the
 *        machine is suspended. Only to tell a suspension, see core/wake_watch.h.
 */
uint64_t clock_timer_us(void);

/**
 * \brief A number for this start of the process, greater than that of an earlier start on the same
 *        machine as long as its wall clock does not step back: milliseconds of the wall clock.
 */
uint64_t clock_incarnation(void);

#endif

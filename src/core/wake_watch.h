/**
 * Detects that the process did not run for a while: its machine was suspended, or it was stalled.
 *
 * While a machine is suspended, the clock of the timers stops and the clock of elapsed time goes
 * on: their difference gives the pause to the microsecond. A process that was stopped, or got no
 * CPU time, is detected by the time between two checks.
 */
#ifndef SHUNTRUN_WAKE_WATCH_H
#define SHUNTRUN_WAKE_WATCH_H

#include <stdint.h>

/** Smallest difference of the clocks that counts as a suspension; reading them takes less. */
#define WAKE_SUSPENDED_MIN_US ((uint64_t)10000)
/** Time between two checks that counts as a stall; normally they are 0.1 s apart at most. */
#define WAKE_STALLED_MIN_US ((uint64_t)1000000)
/** After a pause of this length peers may have closed connections, and state from other nodes is
 * old: the platform's store is read again, and idle connections are not reused. */
#define WAKE_LONG_PAUSE_US ((uint64_t)1000000)

/** Why a process did not run. */
enum wake_kind { WAKE_NONE, WAKE_STALLED, WAKE_SUSPENDED };

/** A pause that has ended. */
struct wake {
    enum wake_kind kind;
    uint64_t pause_us;
};

/** Both clocks at the last check, microseconds; begins as all zeros. */
struct wake_watch {
    uint64_t elapsed_us; /**< clock that counts all time, at the last check; 0: none yet */
    uint64_t timer_us;   /**< clock that stops during a suspension, at the last check */
};

/** \brief Compare both clocks with the last check. \return the pause since then, if any */
static inline struct wake wake_watch_check(struct wake_watch *watch, uint64_t elapsed_us,
                                           uint64_t timer_us)
{
    struct wake_watch last = *watch;
    *watch = (struct wake_watch){elapsed_us, timer_us};
    if (!last.elapsed_us)
        return (struct wake){WAKE_NONE, 0};
    uint64_t passed = elapsed_us - last.elapsed_us;
    uint64_t counted = timer_us - last.timer_us;
    if (passed >= counted + WAKE_SUSPENDED_MIN_US)
        return (struct wake){WAKE_SUSPENDED, passed - counted};
    if (passed > WAKE_STALLED_MIN_US)
        return (struct wake){WAKE_STALLED, passed};
    return (struct wake){WAKE_NONE, 0};
}

/** \return name of the kind in log lines */
static inline const char *wake_kind_name(enum wake_kind kind)
{
    return kind == WAKE_SUSPENDED ? "suspended" : kind == WAKE_STALLED ? "stood-still" : "none";
}

#endif

/**
 * Tells that a process did not run for a while: its machine was suspended, or it stood still.
 *
 * While a machine is suspended the clock of the timers stands still, and the other one does not:
 * their difference shows it to the microsecond. A process that was stopped, or got no processor
 * time, shows by the time between two looks.
 */
#ifndef SHUNTRUN_WAKE_WATCH_H
#define SHUNTRUN_WAKE_WATCH_H

#include <stdint.h>

/** Two readings of the clocks, one after the other, differ by less. */
#define WAKE_SUSPENDED_MIN_US ((uint64_t)10000)
/** Time between two looks after which the process stood still; they are 0.1 s apart at most. */
#define WAKE_STALLED_MIN_US ((uint64_t)1000000)
/** After a pause of this length peers may have given up connections, and what others told is old:
 *  the platform's store is asked anew, and connections that were idle are not used. */
#define WAKE_LONG_PAUSE_US ((uint64_t)1000000)

enum wake_kind { WAKE_NONE, WAKE_STALLED, WAKE_SUSPENDED };

/** A pause that is over. */
struct wake {
    enum wake_kind kind;
    uint64_t pause_us;
};

struct wake_watch {
    uint64_t elapsed_us; /**< all time, at the last look; 0: there was none */
    uint64_t timer_us;   /**< of the clock that stands still in a suspension */
};

/** \brief Look at both clocks. \return the pause since the last look, if there was one */
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

/** \return the word for logs */
static inline const char *wake_kind_name(enum wake_kind kind)
{
    return kind == WAKE_SUSPENDED ? "suspended" : kind == WAKE_STALLED ? "stood-still" : "none";
}

#endif

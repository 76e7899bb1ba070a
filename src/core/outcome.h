/**
 * How a request ended, as far as the system can know.
 */
#ifndef SHUNTRUN_OUTCOME_H
#define SHUNTRUN_OUTCOME_H

enum outcome {
    OUTCOME_DONE,    /**< it ran once and the whole answer was given */
    OUTCOME_NOT_RUN, /**< it did not run, neither now nor later */
    OUTCOME_UNKNOWN, /**< it may have run, or may run yet */
};

static inline const char *outcome_name(enum outcome outcome)
{
    static const char *const names[] = {"done", "not-run", "unknown"};
    return names[outcome];
}

#endif

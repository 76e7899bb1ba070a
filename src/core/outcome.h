/**
 * Outcome of a request, as far as the system can know.
 */
#ifndef SHUNTRUN_OUTCOME_H
#define SHUNTRUN_OUTCOME_H

enum outcome {
    OUTCOME_DONE,    /**< it ran once and the complete answer was delivered */
    OUTCOME_NOT_RUN, /**< it has not run and will not run */
    OUTCOME_UNKNOWN, /**< it may have run, or may still run */
};

/** \return the name used in answers, logs and metrics */
static inline const char *outcome_name(enum outcome outcome)
{
    static const char *const names[] = {"done", "not-run", "unknown"};
    return names[outcome];
}

#endif

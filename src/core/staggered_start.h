/**
 * Staggers the times at which the engines of a model switch to a new version, so that they are not
 * all idle at once.
 *
 * Each loader computes its own time from the members that it knows, without a coordinator.
 * Differing membership views only move the times of some engines closer together.
 */
#ifndef SHUNTRUN_STAGGERED_START_H
#define SHUNTRUN_STAGGERED_START_H

#include <stdint.h>

struct staggered_start_settings {
    uint64_t first_us; /**< time from naming the version to the switch of the first engine */
    uint64_t last_us;  /**< time from naming the version to the switch of the last engine */
};

/**
 * \param named time at which the version was named, microseconds
 * \param position of this engine among `count`, in an order that all loaders agree on, from 0
 * \return time from which this engine may switch to the version
 */
static inline uint64_t staggered_start_at(const struct staggered_start_settings *settings,
                                          uint64_t named, uint32_t position, uint32_t count)
{
    uint64_t window = settings->last_us - settings->first_us;
    if (count < 2)
        return named + settings->first_us;
    return named + settings->first_us + window * position / (count - 1);
}

#endif

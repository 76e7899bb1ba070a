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

/** Time that the first engines get to fetch a version before they switch, and its greatest part of
 *  the time until the version is required. */
#define STAGGERED_START_FETCH_US ((uint64_t)2000000)
#define STAGGERED_START_FETCH_PART 4
/** Time from an engine's switch until it serves the version: end of its streams, order and load. */
#define STAGGERED_START_SWITCH_US ((uint64_t)1200000)
/** The last switch is due no later, however long older versions may serve. */
#define STAGGERED_START_MAX_US ((uint64_t)20000000)

/**
 * \brief Spread the switches over the time in which both versions may serve: the longer it is, the
 * fewer engines are idle at a time.
 * \param bound_us time from naming the version until no request may start on an older one
 */
static inline struct staggered_start_settings staggered_start_within(uint64_t bound_us)
{
    uint64_t first = bound_us / STAGGERED_START_FETCH_PART;
    if (first > STAGGERED_START_FETCH_US)
        first = STAGGERED_START_FETCH_US;
    uint64_t last =
        bound_us > first + STAGGERED_START_SWITCH_US ? bound_us - STAGGERED_START_SWITCH_US : first;
    if (last > STAGGERED_START_MAX_US)
        last = STAGGERED_START_MAX_US;
    return (struct staggered_start_settings){.first_us = first, .last_us = last};
}

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

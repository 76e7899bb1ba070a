/**
 * When each engine of a model takes a new version, so that they do not all stand idle at once.
 *
 * Every loader computes its own moment from the members that it sees; there is no coordinator.
 * Views that differ move a few engines closer together and do no other harm.
 */
#ifndef SHUNTRUN_STAGGERED_START_H
#define SHUNTRUN_STAGGERED_START_H

#include <stdint.h>

struct staggered_start_settings {
    uint64_t first_us; /**< after the version was named, the first engine starts */
    uint64_t last_us;  /**< after the version was named, the last engine starts */
};

/**
 * \param named time at which the version was named
 * \param position of this engine among `count` in an order that all loaders agree on
 * \return time at which this engine may take the version
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

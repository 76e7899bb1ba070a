/**
 * How long an engine that is to take a new version waits for the requests that it still runs.
 *
 * Waiting until it runs empty leaves more and more of its places unused. That costs nothing while
 * other engines have room, and much when they have none. An engine under pressure therefore waits
 * only until its short requests are done, and breaks the others off: gateways go on with them at
 * another engine of the same version. The last engines of a rollout always wait, as no other engine
 * could take what they break off.
 */
#ifndef SHUNTRUN_DRAIN_WAIT_H
#define SHUNTRUN_DRAIN_WAIT_H

#include <stdbool.h>
#include <stdint.h>

struct drain_wait_settings {
    double pressed_share; /**< of an engine's places taken, from which waiting costs others */
    double movers;        /**< share of the engines, in order of turns, that may break off */
};

/**
 * \param movable whether others can go on with what is broken off
 * \param places_taken moving mean share of the engine's places that are taken, 0 to 1
 * \param position of this engine's turn among `count`
 * \return whether it breaks off what still runs after a while
 */
static inline bool drain_wait_is_short(const struct drain_wait_settings *settings, bool movable,
                                       double places_taken, uint32_t position, uint32_t count)
{
    return movable && places_taken >= settings->pressed_share &&
           position + 1 <= settings->movers * count;
}

#endif

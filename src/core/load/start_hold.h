/**
 * How long a gateway that has just started holds requests.
 *
 * Load pattern: all gateways start at once, after a loss of power or a kill of all processes.
 * Clients whose requests were cut or found nobody come back at that moment, mostly with their last
 * attempt, and the gateways do not know the configuration, or which engines have room, for some
 * tenths of a second. A request that is refused then is lost, though it could be served well before
 * its deadline. So it waits for what the gateway is about to learn, but not for longer than a start
 * takes: if that time passes, something else is wrong.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_LOAD_START_HOLD_H
#define SHUNTRUN_LOAD_START_HOLD_H

#include <stdbool.h>
#include <stdint.h>

/** Time from the start of a process within which it knows the configuration and the load of
 * engines. */
#define START_HOLD_US ((uint64_t)1200000)

/** \return whether requests wait for the configuration */
static inline bool start_hold_awaits_configuration(uint64_t started_at, bool is_configured,
                                                   uint64_t now)
{
    return !is_configured && now < started_at + START_HOLD_US;
}

/** \return time until which a request waits for a slot, if `until` is the time in normal operation
 */
static inline uint64_t start_hold_slot_wait(uint64_t started_at, uint64_t until, uint64_t now)
{
    uint64_t end = started_at + START_HOLD_US;
    return now < end && until < end ? end : until;
}

#endif

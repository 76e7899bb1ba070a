/**
 * How long a request waits for a back end with room, and what it may take of an engine meanwhile.
 *
 * A first attempt is refused soon: its client comes back with time left, and is then served within
 * its objective if all is well. A client that came back already will not do so again, so its
 * request waits longer. Requests that can no longer meet their objective come after those that
 * can, and take only a part of each engine, which grows with the time that they have waited.
 *
 * Pure functions; times are microseconds.
 */
#ifndef SHUNTRUN_WAITING_H
#define SHUNTRUN_WAITING_H

#include <stdbool.h>
#include <stdint.h>

struct waiting_terms {
    uint64_t arrived;
    uint64_t deadline_us;         /**< time that the client waits from then */
    uint64_t longest_deadline_us; /**< that clients of this service were seen to wait */
    uint64_t target_us;           /**< latency objective */
    uint32_t wait_percent;        /**< share of the objective for which a first attempt waits */
};

/** \return whether the client was refused before: it has clearly less time than others */
bool waiting_came_back(const struct waiting_terms *terms);
/** \return time until which the request waits for a place */
uint64_t waiting_until(const struct waiting_terms *terms);
/** \return whether a request that begins now can no longer meet its objective */
bool waiting_is_overdue(const struct waiting_terms *terms, uint64_t now);
/** \return part of an engine's places that the request may find taken, 1: all but one */
double waiting_room_share(const struct waiting_terms *terms, uint64_t now);

#endif

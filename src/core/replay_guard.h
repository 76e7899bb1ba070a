/**
 * Replay protection for forwarded requests: a sliding window of accepted sequence numbers for each
 * gateway incarnation, bounded in size. A number that is below the window counts as a replay. Not
 * thread-safe: one owner.
 */
#ifndef SHUNTRUN_REPLAY_GUARD_H
#define SHUNTRUN_REPLAY_GUARD_H

#include <stdbool.h>
#include <stdint.h>

/** Gateway incarnations that are tracked; the least recently used one is evicted. */
#define REPLAY_GUARD_MAX_GATEWAYS 512
/** Sequence numbers, up to the highest one, that are tracked individually. */
#define REPLAY_GUARD_WINDOW 1024

struct replay_window {
    uint64_t incarnation;                    /**< of the gateway */
    uint64_t highest;                        /**< highest sequence number accepted */
    uint64_t last_used;                      /**< value of `uses` at the last call */
    uint64_t seen[REPLAY_GUARD_WINDOW / 64]; /**< bitmap by sequence number modulo the window */
};

struct replay_guard {
    struct replay_window *windows; /**< owned */
    uint32_t count;
    uint64_t uses; /**< calls so far */
};

/** \brief Accept a sequence number once. \return false if it is a replay or below the window */
bool replay_guard_accept(struct replay_guard *guard, uint64_t incarnation, uint64_t sequence);
void replay_guard_clear(struct replay_guard *guard);

#endif

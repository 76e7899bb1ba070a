/**
 * Guard against a forwarded request that comes twice: a bounded memory of sequence numbers for
 * each gateway incarnation. What is too old to be told apart counts as seen. One owner.
 */
#ifndef SHUNTRUN_REPLAY_GUARD_H
#define SHUNTRUN_REPLAY_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#define REPLAY_GUARD_MAX_GATEWAYS 512
#define REPLAY_GUARD_WINDOW                                                                        \
    1024 /**< sequence numbers below the greatest one that are told apart                          \
          */

struct replay_window {
    uint64_t incarnation;
    uint64_t highest;
    uint64_t last_used;
    uint64_t seen[REPLAY_GUARD_WINDOW / 64]; /**< by sequence modulo the window */
};

struct replay_guard {
    struct replay_window *windows; /**< owned */
    uint32_t count;
    uint64_t uses;
};

/** \return true when this is the first time, and remember it */
bool replay_guard_accept(struct replay_guard *guard, uint64_t incarnation, uint64_t sequence);
void replay_guard_clear(struct replay_guard *guard);

#endif

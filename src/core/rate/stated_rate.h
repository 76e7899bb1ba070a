/**
 * The rate limit that one incarnation of a backend states in its answers, as one node knows it:
 * from answers that it received itself, or from other nodes. The limit holds until an answer
 * without it; silence does not end it.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock of this node.
 */
#ifndef SHUNTRUN_STATED_RATE_H
#define SHUNTRUN_STATED_RATE_H

#include "core/backend/backend_answer.h"

/** All 0: it stated no limit so far. */
struct stated_rate {
    bool limited;
    double per_s;      /**< requests a second from all gateways together, if `limited` */
    uint64_t heard_at; /**< time of the last answer with the limit, or of the one that ended it */
};

/** What one answer states. */
struct heard_rate {
    enum rate_statement statement;
    double per_s;      /**< with RATE_LIMITED */
    uint64_t asked_at; /**< time at which its request was sent */
};

/**
 * \brief Apply an answer that this node received. A limit ends with an answer whose request was
 * sent after the limit was last heard: an earlier one may have been written before the limit began.
 * \return whether the limit began, changed or ended
 */
bool stated_rate_hear(struct stated_rate *rate, const struct heard_rate *heard, uint64_t now);
/** \brief Apply what another node heard. \return whether the limit began, changed or ended */
bool stated_rate_merge(struct stated_rate *rate, const struct stated_rate *told);

#endif

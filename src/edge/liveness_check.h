/**
 * Finds out whether a backend lived on after it ended answers with their connections: asks it by
 * health checks until one shows that (core/backend/liveness). One check serves all answers of the
 * backend that ended before it was sent.
 */
#ifndef SHUNTRUN_LIVENESS_CHECK_H
#define SHUNTRUN_LIVENESS_CHECK_H

#include "core/backend/liveness.h"
#include "edge/edge_internal.h"

/** \brief Begins to ask the exchange's backend; exchange_on_liveness() gets the result, not within
 * this call, unless liveness_check_leave() comes first. */
void liveness_check_join(struct exchange *exchange);
/** \brief The exchange awaits the result no longer; does nothing if it does not. */
void liveness_check_leave(struct exchange *exchange);
/** \brief Sends checks again that showed nothing, and ends those that nobody awaits any more. */
void liveness_check_tick(struct edge *edge, uint64_t now);

#endif

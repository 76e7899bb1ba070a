/**
 * What a back end states of itself in the head of an answer, taken to the pool and into the log.
 */
#ifndef SHUNTRUN_BACKEND_STATES_H
#define SHUNTRUN_BACKEND_STATES_H

#include "edge/edge_internal.h"

/** \brief The head of an answer came on a connection to the back end. */
void backend_states(struct edge *edge, struct backend *backend, const struct answer_head *head);

#endif

/**
 * What a back end states of itself, in the head of an answer or to its machine, taken to the pool
 * and into the log.
 */
#ifndef SHUNTRUN_BACKEND_FEEDBACK_H
#define SHUNTRUN_BACKEND_FEEDBACK_H

#include "edge/edge_internal.h"

/** \brief The head of an answer came on a connection to the back end. */
void backend_feedback_from_response(struct edge *edge, struct backend *backend,
                                    const struct answer_head *head);
/** \brief The machine of a model engine told its load. \return whether it is one that is listed */
bool backend_feedback_from_load(struct edge *edge, const char *address,
                                const struct backend_load *load);

#endif

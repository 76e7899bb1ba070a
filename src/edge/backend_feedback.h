/**
 * Applies what a backend reports about itself, in response headers or through its machine's load
 * reports, to the backend pool, and logs the changes.
 */
#ifndef SHUNTRUN_BACKEND_FEEDBACK_H
#define SHUNTRUN_BACKEND_FEEDBACK_H

#include "edge/edge_internal.h"

/** \brief Applies the headers of a response that came on a connection to the backend. */
void backend_feedback_from_response(struct edge *edge, struct backend *backend,
                                    const struct response_head *head);
/**
 * \brief Applies a load report that the machine of a model engine sent.
 * \return false if no backend is listed at `address`, or if the report is from an earlier
 * incarnation
 */
bool backend_feedback_from_load(struct edge *edge, const char *address,
                                const struct backend_load *load);

#endif

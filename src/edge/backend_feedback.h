/**
 * Applies what a backend reports about itself, in response headers or through its machine's load
 * reports, to the backend pool, and logs the changes.
 */
#ifndef SHUNTRUN_BACKEND_FEEDBACK_H
#define SHUNTRUN_BACKEND_FEEDBACK_H

#include "edge/edge_internal.h"

/**
 * \brief Applies the headers of a response that came on a connection to the backend.
 * \param asked_at time at which the request was sent; 0: it is an earlier one, of unknown time
 */
void backend_feedback_from_response(struct edge *edge, struct backend *backend,
                                    const struct response_head *head, uint64_t asked_at);
/** \brief Applies the rate limit that a backend stated to another node. */
void backend_feedback_from_rate(struct edge *edge, const Shuntrun__RateStatement *rate);
/**
 * \brief Applies a load report that the machine of a model engine sent.
 * \param rate that the engine states; NULL: it has not stated a limit
 * \return false if no backend is listed at `address`, or if the report is from an earlier
 * incarnation
 */
bool backend_feedback_from_load(struct edge *edge, const char *address,
                                const struct backend_load *load,
                                const Shuntrun__RateStatement *rate);

#endif

/**
 * Admin endpoints for requests that crash backends, at the metrics address of a gateway or loader:
 *
 *   GET /suspects                      lists the crash entries of this node, as JSON
 *   POST /suspects/lift?identity=HEX   clears a request, so that all gateways run it again
 *
 * A lift is recorded and propagated like a successful run of the request: it clears all earlier
 * crashes. Evidence of these that arrives later, from a node that was partitioned, does not undo
 * it; a new crash counts.
 */
#ifndef SHUNTRUN_CRASH_PAGE_H
#define SHUNTRUN_CRASH_PAGE_H

#include "cluster/crash_sync.h"
#include "net/http_service.h"

/**
 * \brief Handle a call to one of these endpoints.
 * \param context a struct crash_sync
 * \return whether the call was for one of them, and is answered
 */
bool crash_page_handle(void *context, struct service_call *call,
                       const struct service_request *request);

#endif

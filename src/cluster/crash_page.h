/**
 * What an operator reads and says of requests that crash back ends, at the metrics address of a
 * gateway or loader:
 *
 *   GET /suspects                      those that this node holds, as JSON
 *   POST /suspects/lift?identity=HEX   this one may run again, at all gateways
 *
 * A lift is kept and told like a good end of the request: it takes back all that ended before, so
 * evidence that comes later from a node that was cut off does not undo it; a new end counts.
 */
#ifndef SHUNTRUN_CRASH_PAGE_H
#define SHUNTRUN_CRASH_PAGE_H

#include "cluster/crash_sync.h"
#include "net/http_service.h"

/** \param context a struct crash_sync \return whether the call was one of these, and is answered */
bool crash_page_handle(void *context, struct service_call *call,
                       const struct service_request *request);

#endif

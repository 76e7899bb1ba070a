/**
 * HTTP endpoints of every daemon: /healthz, /readyz, /metrics, /v1/status and /v1/machines. The
 * control thread publishes their content; HTTP threads read it.
 */
#ifndef SHUNTRUN_STATUS_PAGE_H
#define SHUNTRUN_STATUS_PAGE_H

#include "net/http_server.h"

#include <jansson.h>

struct status_page;

struct status_page *status_page_create(void);
void status_page_destroy(struct status_page *page);

/**
 * \param status JSON object for /v1/status; takes over the reference
 * \param not_ready reason why /readyz answers 503; "" when ready
 * \param now monotonic time, microseconds; /healthz answers 503 after CONTROL_THREAD_STALL_US
 * without a new publication
 */
void status_page_publish(struct status_page *page, json_t *status, const char *not_ready,
                         uint64_t now);

/** \brief Set the content of /v1/machines; takes over the reference. */
void status_page_set_machines(struct status_page *page, json_t *machines);

/** \brief Set more series for /metrics, Prometheus text; takes ownership of `text`. Callable from
 * any thread. */
void status_page_set_extra_metrics(struct status_page *page, char *text);

/** \brief Reply to a request. \return false when it is not a GET of one of these endpoints */
bool status_page_handle(struct status_page *page, struct http_exchange *exchange,
                        const struct http_request *request);

#endif

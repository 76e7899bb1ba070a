/**
 * The pages that every daemon serves: /healthz, /readyz, /metrics and /v1/status. The control
 * thread publishes their content; HTTP threads read it.
 */
#ifndef SHUNTRUN_STATUS_PAGE_H
#define SHUNTRUN_STATUS_PAGE_H

#include "net/http_server.h"

#include <jansson.h>

struct status_page;

struct status_page *status_page_create(void);
void status_page_destroy(struct status_page *page);

/**
 * \param status JSON object for /v1/status; the reference is taken
 * \param not_ready why /readyz answers 503; "" when ready
 * \param now time of the control thread, microseconds: /healthz answers 503 when it stands still
 */
void status_page_publish(struct status_page *page, json_t *status, const char *not_ready,
                         uint64_t now);

/** \brief Content of /v1/machines; the reference is taken. */
void status_page_set_machines(struct status_page *page, json_t *machines);

/** \brief More series for /metrics, owned by the page from now on; from any thread. */
void status_page_set_extra_metrics(struct status_page *page, char *text);

/** \return false when the path is none of these pages */
bool status_page_handle(struct status_page *page, struct http_exchange *exchange,
                        const struct http_request *request);

#endif

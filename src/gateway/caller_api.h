/**
 * The callers' side of a gateway: which address to use, requests, streamed answers.
 *
 * GET  /v1/endpoints?service=S   addresses of gateways with a max-age, and a ticket for keys
 * POST /v1/services/S            a request; see docs/OPERATIONS.md for headers and answers
 */
#ifndef SHUNTRUN_CALLER_API_H
#define SHUNTRUN_CALLER_API_H

#include "gateway/gateway_traffic.h"
#include "net/http_server.h"
#include "net/status_page.h"

struct caller_api;

/** \return NULL with a status message when the port cannot be bound */
struct caller_api *caller_api_start(const struct settings *settings, struct status_page *page,
                                    struct gateway_traffic *traffic);
/** \brief Tell the traffic thread nothing more; before it is stopped. */
void caller_api_detach(struct caller_api *api);
void caller_api_stop(struct caller_api *api);

/**
 * \brief Publish the answer to /v1/endpoints; the control thread's.
 * \param endpoints JSON array of "ip:port"; the reference is taken
 * \param tickets JSON object: service name to ticket; the reference is taken
 */
void caller_api_publish(struct caller_api *api, json_t *endpoints, json_t *tickets);

#endif

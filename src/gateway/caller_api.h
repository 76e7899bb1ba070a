/**
 * HTTP API of a gateway for callers: gateway discovery, requests and streamed responses.
 *
 * GET  /v1/endpoints?service=S   gateway addresses with a max-age, and a ticket for keys
 * POST /v1/services/S            a request; see docs/OPERATIONS.md for headers and responses
 *
 * The HTTP server also serves the status page, see net/status_page.h.
 */
#ifndef SHUNTRUN_CALLER_API_H
#define SHUNTRUN_CALLER_API_H

#include "gateway/gateway_traffic.h"
#include "net/http_server.h"
#include "net/status_page.h"

struct caller_api;

/**
 * \brief Start the HTTP server on `address` and `http-port`.
 * \param settings must stay valid until caller_api_stop(), as `page` and `traffic` must
 * \return NULL with a status message when the port cannot be bound or a TLS file cannot be read
 */
struct caller_api *caller_api_start(const struct settings *settings, struct status_page *page,
                                    struct gateway_traffic *traffic);
/** \brief Close each connection with the next response that begins on it. */
void caller_api_announce_close(struct caller_api *api);
/** \brief Reject new requests with status 503; those submitted before go on. When this returns, the
 * number of active calls of the traffic thread only falls. */
void caller_api_refuse_requests(struct caller_api *api);
/** \brief Accept no more connections; call once at most. */
void caller_api_stop_listening(struct caller_api *api);
/** \return requests whose response is not completely sent */
uint32_t caller_api_unsent_responses(const struct caller_api *api);
/** \brief Post no more events to the traffic thread and reject new requests with status 503; call
 * before gateway_traffic_stop(). NULL is ignored. */
void caller_api_detach(struct caller_api *api);
/** \brief Stop the HTTP server and free the API. NULL is ignored. */
void caller_api_stop(struct caller_api *api);

/**
 * \brief Replace the response to /v1/endpoints; called by the control thread.
 * \param endpoints JSON array of "ip:port"; ownership of the reference passes to the API
 * \param tickets JSON object: service name to ticket; ownership passes likewise
 */
void caller_api_publish(struct caller_api *api, json_t *endpoints, json_t *tickets);

#endif

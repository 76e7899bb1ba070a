/**
 * Small HTTP/1.1 server on a libuv loop for short requests: addresses, readiness, metrics, and
 * requests between nodes. The handler may reply at once or later.
 */
#ifndef SHUNTRUN_HTTP_SERVICE_H
#define SHUNTRUN_HTTP_SERVICE_H

#include "net/http_message.h"
#include "net/tcp_stream.h"

struct http_service;

/** A request without a reply yet. */
struct service_call;

struct service_request {
    const char *method;
    const char *target; /**< path and query, not NUL-terminated */
    size_t target_length;
    const char *body;
    size_t body_size;
    struct sockaddr_in peer;
};

/** Resource limits per connection. */
struct http_service_limits {
    size_t body_bytes;           /**< request body */
    uint32_t idle_timeout_ms;    /**< a connection is closed after this time without bytes
                                  received and without a pending reply */
    uint32_t request_timeout_ms; /**< a connection is closed when a request is not complete after
                                    this time from its first byte */
};

/** Pollers send a request every few seconds, and nodes reconnect on demand: a peer that is silent
 *  for a minute has most likely disappeared. */
#define HTTP_SERVICE_IDLE_TIMEOUT_MS 60000
/** Callers wait no longer than a few seconds for the reply to a request that they sent at once. */
#define HTTP_SERVICE_REQUEST_TIMEOUT_MS 5000

/** Handles a request. `request` is valid during the call, its target and body until
 * service_reply(). */
typedef void service_handler(void *context, struct service_call *call,
                             const struct service_request *request);

/** \return NULL with a status message when the address cannot be bound */
struct http_service *http_service_start(uv_loop_t *loop, const struct sockaddr_in *address,
                                        const struct http_service_limits *limits,
                                        service_handler *handler, void *context);
/** \brief Reply to a call, exactly once; `call` must not be used afterwards. */
void service_reply(struct service_call *call, unsigned status, const char *content_type,
                   const void *body, size_t size);
/** \return whether the peer closed the connection, so that a reply would be discarded */
bool service_call_is_disconnected(const struct service_call *call);
/** \return whether the path without the query equals `path` */
bool service_path_is(const struct service_request *request, const char *path);

#endif

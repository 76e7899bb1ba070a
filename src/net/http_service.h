/**
 * A small HTTP/1.1 server on a libuv loop for short calls: addresses, readiness, metrics, and what
 * nodes ask of each other. The answer may be given at once or later.
 */
#ifndef SHUNTRUN_HTTP_SERVICE_H
#define SHUNTRUN_HTTP_SERVICE_H

#include "net/http_message.h"
#include "net/tcp_stream.h"

struct http_service;

/** One call that waits for its answer. */
struct service_call;

struct service_request {
    const char *method;
    const char *target; /**< path and query, not ended by zero */
    size_t target_length;
    const char *body;
    size_t body_size;
    struct sockaddr_in peer;
};

/** What a peer may take up. */
struct http_service_limits {
    size_t body_bytes;        /**< of one call */
    uint32_t idle_timeout_ms; /**< a connection is closed when its peer sends nothing, and waits for
                           no answer, for so long */
};

/** Pollers come every few seconds, and nodes that ask each other connect again when they need to:
 *  whoever is silent for a minute is most likely gone. */
#define HTTP_SERVICE_IDLE_TIMEOUT_MS 60000

typedef void service_handler(void *context, struct service_call *call,
                             const struct service_request *request);

/** \return NULL with a status message when the address cannot be bound */
struct http_service *http_service_start(uv_loop_t *loop, const struct sockaddr_in *address,
                                        const struct http_service_limits *limits,
                                        service_handler *handler, void *context);
/** \brief Answer a call, once; the call is gone afterwards. */
void service_reply(struct service_call *call, unsigned status, const char *content_type,
                   const void *body, size_t size);
/** \return whether the peer closed the connection: an answer would reach nobody */
bool service_call_is_disconnected(const struct service_call *call);
/** \return whether the path, without its query, is this one */
bool service_path_is(const struct service_request *request, const char *path);

#endif

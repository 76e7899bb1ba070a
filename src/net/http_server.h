/**
 * HTTP server based on libmicrohttpd. Handlers run on the server's threads; they reply at once, or
 * another thread streams the response later through a retained exchange.
 */
#ifndef SHUNTRUN_HTTP_SERVER_H
#define SHUNTRUN_HTTP_SERVER_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

struct http_server;
struct http_exchange;

/** A complete request; valid during the handler only. */
struct http_request {
    const char *method;
    const char *path;
    const uint8_t *body;
    size_t body_size;
};

/**
 * \brief Handle a request: reply with http_reply*() now, or retain the exchange for http_stream_*()
 * later. Called once the whole body was received.
 */
typedef void http_handler(void *context, struct http_exchange *exchange,
                          const struct http_request *request);

struct http_server_settings {
    const char *address;
    uint16_t port;
    unsigned threads;
    unsigned connection_limit; /**< open connections at most */
    size_t body_limit;         /**< bytes; a longer body is answered with 413 */
    size_t header_limit; /**< bytes of memory per connection, which bounds the request headers */
    const char *tls_certificate; /**< PEM text; NULL: plain HTTP */
    const char *tls_key;
    http_handler *handler;
    /** The client of a retained exchange disconnected, or the response is complete; the exchange
     *  is freed after http_exchange_release(). May be NULL. */
    void (*closed)(void *context, struct http_exchange *exchange);
    void *context;
};

/** \return NULL with a status message */
struct http_server *http_server_start(const struct http_server_settings *settings);
/** \brief Announce in each response that begins from now on that its connection closes at its end.
 */
void http_server_announce_close(struct http_server *server);
/** \brief Accept no more connections; those that are open go on. Call once at most. */
void http_server_stop_listening(struct http_server *server);
/** \return requests whose header was read and whose response is not completely sent; callable from
 * any thread */
uint32_t http_server_open_exchanges(const struct http_server *server);
void http_server_stop(struct http_server *server);

/** \return a request header, or NULL; for use within the handler */
const char *http_header(struct http_exchange *exchange, const char *name);
/** \return a query parameter, or NULL; for use within the handler */
const char *http_query(struct http_exchange *exchange, const char *name);

struct http_reply_header {
    const char *name;
    const char *value;
};

/** \brief Send a complete response with a copy of `body`. \param headers ended by a NULL name; may
 * be NULL */
void http_reply(struct http_exchange *exchange, unsigned status, const char *content_type,
                const void *body, size_t size, const struct http_reply_header *headers);

/** \brief Send a complete response without copying `body`, which stays valid until
 * `release(owner)`. */
void http_reply_shared(struct http_exchange *exchange, unsigned status, const void *body,
                       size_t size, void (*release)(void *owner), void *owner);

/**
 * \brief Send a response of known size, read block by block on the server's thread, which `read`
 * may block to pace it. `release(owner)` is called at the end, also of an aborted response.
 */
void http_reply_paced(struct http_exchange *exchange, unsigned status, uint64_t size,
                      ssize_t (*read)(void *owner, uint64_t position, char *buffer,
                                      size_t max_size),
                      void (*release)(void *owner), void *owner);

/** \brief Retain the exchange beyond the handler; call once, within the handler. */
void http_exchange_retain(struct http_exchange *exchange);

/* For retained exchanges, from any thread. The response starts with http_stream_begin(). */
/** \brief Append response data. \return false, with nothing appended, when the client has
 * disconnected or more than `limit` bytes would be unsent */
bool http_stream_data(struct http_exchange *exchange, const void *data, size_t size, size_t limit);
/** \brief Start the response with its status and headers. */
void http_stream_begin(struct http_exchange *exchange, unsigned status, const char *content_type,
                       const struct http_reply_header *headers);
/** \brief Complete the response once all data is sent. */
void http_stream_end(struct http_exchange *exchange);
/** \brief Abort the connection, so that the client cannot mistake a truncated response for a
 * complete one. */
void http_stream_abort(struct http_exchange *exchange);
/** \brief Release a retained exchange; it must not be used afterwards. */
void http_exchange_release(struct http_exchange *exchange);
/** \brief Store a value of the handler's owner with a retained exchange. */
void http_exchange_set_tag(struct http_exchange *exchange, uint64_t tag);
uint64_t http_exchange_tag(const struct http_exchange *exchange);

#endif

/**
 * HTTP listener on libmicrohttpd. Handlers run on the listener's threads; a response may be given
 * at once, or later and in pieces by another thread through an exchange.
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

struct http_request {
    const char *method;
    const char *path;
    const uint8_t *body;
    size_t body_size;
};

/**
 * \brief Answer a request: http_reply() now, or keep the exchange for http_stream_*() later.
 * Called once the whole body is there.
 */
typedef void http_handler(void *context, struct http_exchange *exchange,
                          const struct http_request *request);

struct http_server_settings {
    const char *address;
    uint16_t port;
    unsigned threads;
    unsigned connection_limit;
    size_t body_limit;
    size_t header_limit;         /**< bytes for the headers of one connection */
    const char *tls_certificate; /**< PEM text; NULL: plain HTTP */
    const char *tls_key;
    http_handler *handler;
    /** The client of a kept exchange went away, or its response is complete; the exchange is freed
     *  when the handler's owner calls http_exchange_release(). May be NULL. */
    void (*closed)(void *context, struct http_exchange *exchange);
    void *context;
};

/** \return NULL with a status message */
struct http_server *http_server_start(const struct http_server_settings *settings);
void http_server_stop(struct http_server *server);

const char *http_header(struct http_exchange *exchange, const char *name);
const char *http_query(struct http_exchange *exchange, const char *name);

struct http_reply_header {
    const char *name;
    const char *value;
};

/** \brief Whole response from a copy of `body`. \param headers ended by a NULL name; may be NULL */
void http_reply(struct http_exchange *exchange, unsigned status, const char *content_type,
                const void *body, size_t size, const struct http_reply_header *headers);

/** \brief Whole response from memory that stays valid until `release(owner)`; nothing is copied. */
void http_reply_shared(struct http_exchange *exchange, unsigned status, const void *body,
                       size_t size, void (*release)(void *owner), void *owner);

/**
 * \brief Whole response of known size, read in pieces on the listener's thread, which `read` may
 *        block. `release(owner)` is called at the end, also of a broken response.
 */
void http_reply_paced(struct http_exchange *exchange, unsigned status, uint64_t size,
                      ssize_t (*read)(void *owner, uint64_t position, char *buffer,
                                      size_t max_size),
                      void (*release)(void *owner), void *owner);

/** \brief Keep the exchange beyond the handler; call once, within the handler. */
void http_exchange_retain(struct http_exchange *exchange);

/* For kept exchanges, from any thread. The head goes out with the first call. */
/** \return false when the client is gone or `limit` bytes wait for a slow client */
bool http_stream_data(struct http_exchange *exchange, const void *data, size_t size, size_t limit);
void http_stream_begin(struct http_exchange *exchange, unsigned status, const char *content_type,
                       const struct http_reply_header *headers);
void http_stream_end(struct http_exchange *exchange);
/** \brief Break the connection, so that the client cannot take what it has for whole. */
void http_stream_abort(struct http_exchange *exchange);
/** \brief Give the kept exchange back; it must not be used afterwards. */
void http_exchange_release(struct http_exchange *exchange);
/** \brief Owner's own word for a kept exchange. */
void http_exchange_set_tag(struct http_exchange *exchange, uint64_t tag);
uint64_t http_exchange_tag(const struct http_exchange *exchange);

#endif

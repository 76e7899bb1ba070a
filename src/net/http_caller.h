/**
 * HTTP/1.1 client for one address on a libuv loop. It sends one request at a time over a persistent
 * connection; further calls are queued. Each request is sent at most once: nothing is retried.
 */
#ifndef SHUNTRUN_HTTP_CALLER_H
#define SHUNTRUN_HTTP_CALLER_H

#include "net/http_message.h"
#include "net/tcp_stream.h"

struct http_caller;

enum http_call_result {
    CALL_COMPLETE,          /**< a complete response was received; see `message` */
    CALL_CONNECT_FAILED,    /**< the connect was refused: the server received nothing */
    CALL_CONNECT_TIMED_OUT, /**< no connection within the timeout: the server received nothing */
    CALL_BROKEN,            /**< the connection broke, or the response was malformed */
    CALL_TIMED_OUT,         /**< no complete response within the timeout */
};

/** \return a short text for logs */
const char *http_call_result_name(enum http_call_result result);

/** \param message the response, valid during the callback only; NULL unless CALL_COMPLETE */
typedef void http_call_done(void *context, enum http_call_result result,
                            const struct http_message *message);

struct http_caller *http_caller_create(uv_loop_t *loop, const struct sockaddr_in *address);
/** \brief Set a callback for a connection that ends while no call is in flight. */
void http_caller_set_on_disconnect(struct http_caller *caller, void (*on_disconnect)(void *context),
                                   void *context);
/** \brief Close the connection and free the client; callbacks of pending calls are not called. */
void http_caller_destroy(struct http_caller *caller);

struct http_caller_request {
    const char *method;
    const char *target;
    const char *headers; /**< complete header lines, each ended by CRLF, or NULL */
    const void *body;    /**< copied by http_caller_send() */
    size_t body_size;
    uint32_t timeout_ms; /**< to connect, and again from sending to the complete response */
    size_t body_limit;   /**< bytes of response body; a longer one fails as CALL_BROKEN */
    http_call_done *done;
    void *context;
};

/** \brief Queue a call; it is sent when the calls before it are complete. */
void http_caller_send(struct http_caller *caller, const struct http_caller_request *request);
/** \return number of calls without a result, queued or in flight */
uint32_t http_caller_pending_count(const struct http_caller *caller);
/** \return time from the first to the last byte of the latest response, microseconds */
uint64_t http_caller_transfer_us(const struct http_caller *caller);
/** \return whether part of the response in flight was received */
bool http_caller_is_receiving(const struct http_caller *caller);
/** \brief Close the connection if it has been idle for longer than `idle_us` microseconds. */
void http_caller_close_idle(struct http_caller *caller, uint64_t idle_us);
/** \brief Fail all pending calls with CALL_BROKEN and close the connection. */
void http_caller_abort(struct http_caller *caller);

#endif

/**
 * Event loop of one thread: HTTP requests (libcurl multi), ZeroMQ sockets, callbacks posted by
 * other threads, and a periodic tick. All callbacks run on the loop's thread.
 */
#ifndef SHUNTRUN_LOOP_H
#define SHUNTRUN_LOOP_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loop;

typedef void loop_callback(void *context);

struct loop *loop_create(void);
/** \brief Run the callbacks still posted; call after the loop's thread ended, before their
 * arguments are freed. */
void loop_run_posted(struct loop *loop);
/** \brief Cancel all requests and free the loop: `on_abandoned` is called for each, `on_done` is
 * not. */
void loop_destroy(struct loop *loop);

/** \brief Run until loop_stop(). */
void loop_run(struct loop *loop);
/** \brief Make loop_run() return; callable from any thread. */
void loop_stop(struct loop *loop);
/** \brief Run `callback(argument)` on the loop's thread, in order of posting; callable from any
 * thread. */
void loop_post(struct loop *loop, loop_callback *callback, void *argument);

/** \brief Call `callback` every `interval_us` microseconds, or later when other callbacks take
 * longer. */
void loop_set_tick(struct loop *loop, uint64_t interval_us, loop_callback *callback, void *context);
/** \brief Call `callback` when a ZeroMQ socket is readable; it must read until the socket is empty.
 */
void loop_watch_socket(struct loop *loop, void *socket, loop_callback *callback, void *context);
/** \brief Stop watching a socket; call before it is closed. */
void loop_unwatch_socket(struct loop *loop, void *socket);

enum http_result {
    HTTP_COMPLETE, /**< a complete response was received; see `status` */
    HTTP_NOT_SENT, /**< no request was sent: the server received nothing */
    HTTP_BROKEN,   /**< broken, stalled or timed out after something was sent, or without a framing
                      that shows whether the body is complete */
};

/** Result of one request; valid during `on_done` only. */
struct http_response {
    enum http_result result;
    long status;
    uint8_t *body; /**< empty when `on_data` received the bytes; see http_response_take_body() */
    size_t size;
    uint32_t retry_after_ms; /**< from Retry-After, 0 when absent */
    char note[32];           /**< the X-Note header, "" when absent */
    const char *error;       /**< text for logs */
};

/** \brief Take ownership of the body; freed by the caller. */
uint8_t *http_response_take_body(struct http_response *response);

struct http_call {
    const char *method; /**< "GET" or "POST" */
    const char *url;
    const char *const *headers; /**< "Name: value", ended by NULL; may be NULL */
    const void *body;           /**< copied */
    size_t body_size;
    size_t body_limit;       /**< bytes of response body; a longer one fails as HTTP_BROKEN */
    uint64_t timeout_ms;     /**< for the whole request; 0: none */
    uint64_t stall_ms;       /**< longest time without a received byte; 0: unlimited */
    uint64_t send_before_us; /**< monotonic time after which nothing may be sent; 0: none */
    bool fresh_connection;   /**< do not reuse a connection: on a reused one libcurl may send the
                                request twice */
    /** Receives the bytes of a response with status 200 instead of `body`; may be NULL. */
    void (*on_data)(void *context, const uint8_t *data, size_t size);
    /** Called after bytes were appended to `body`; may block to limit the rate; may be NULL. */
    void (*on_bytes)(void *context, size_t size);
    void (*on_done)(void *context, struct http_response *response);
    /** Releases `context` of a request that loop_destroy() cancels; may be NULL. */
    void (*on_abandoned)(void *context);
    void *context;
};

/** \brief Start a request. \return its number, for loop_http_cancel() */
uint64_t loop_http(struct loop *loop, const struct http_call *call);
/** \brief Cancel a request; no callback is called. Unknown numbers are ignored. */
void loop_http_cancel(struct loop *loop, uint64_t number);

#endif

/**
 * Event loop of one thread: HTTP transfers (libcurl multi), ZeroMQ sockets, work posted by other
 * threads, and a periodic tick. All callbacks run on the loop's thread.
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
/** \brief Run what is still posted; after the loop's thread ended, before what it uses is freed. */
void loop_run_posted(struct loop *loop);
/** \brief End all calls: `on_abandoned` is called for each, `on_done` is not. */
void loop_destroy(struct loop *loop);

/** \brief Run until loop_stop(). */
void loop_run(struct loop *loop);
/** \brief From any thread. */
void loop_stop(struct loop *loop);
/** \brief From any thread: run `callback(argument)` on the loop's thread, in order of posting. */
void loop_post(struct loop *loop, loop_callback *callback, void *argument);

/** \brief Call on every turn and at least every `interval_us`. */
void loop_set_tick(struct loop *loop, uint64_t interval_us, loop_callback *callback, void *context);
/** \brief Call when a ZeroMQ socket may be readable; the callback drains it. */
void loop_watch_socket(struct loop *loop, void *socket, loop_callback *callback, void *context);
/** \brief Before the socket is closed. */
void loop_unwatch_socket(struct loop *loop, void *socket);

enum http_result {
    HTTP_COMPLETE, /**< a whole response came; see `status` */
    HTTP_NOT_SENT, /**< no connection was made: the server saw nothing */
    HTTP_BROKEN,   /**< broken, stalled or timed out after something was sent */
};

/** Result of one call; valid during `on_done` only. */
struct http_response {
    enum http_result result;
    long status;
    uint8_t *body; /**< empty when `on_data` took the bytes; see http_response_take_body() */
    size_t size;
    uint32_t retry_after_ms;
    char note[32];     /**< the X-Note header, "" when absent */
    const char *error; /**< text for logs */
};

/** \brief Take the body over: freed by the caller from now on. */
uint8_t *http_response_take_body(struct http_response *response);

struct http_call {
    const char *method; /**< "GET" or "POST" */
    const char *url;
    const char *const *headers; /**< "Name: value", ended by NULL; may be NULL */
    const void *body;           /**< copied */
    size_t body_size;
    size_t body_limit;       /**< bytes of response kept at most; more breaks the call */
    uint64_t timeout_ms;     /**< of the whole call; 0: none */
    uint64_t stall_ms;       /**< no byte for so long breaks the call; 0: none */
    uint64_t send_before_us; /**< monotonic time after which nothing may be sent; 0: none */
    bool fresh_connection;   /**< no reuse: libcurl then never sends a request twice */
    /** Take response bytes as they come, instead of `body`; may be NULL. */
    void (*on_data)(void *context, const uint8_t *data, size_t size);
    /** Bytes came that are kept in `body`; may block to pace them; may be NULL. */
    void (*on_bytes)(void *context, size_t size);
    void (*on_done)(void *context, struct http_response *response);
    /** Release `context` of a call that loop_destroy() ends; may be NULL. */
    void (*on_abandoned)(void *context);
    void *context;
};

/** \brief Start a call. \return its number, for loop_http_cancel() */
uint64_t loop_http(struct loop *loop, const struct http_call *call);
/** \brief End a call; `on_done` is not called. Unknown numbers are ignored. */
void loop_http_cancel(struct loop *loop, uint64_t number);

#endif

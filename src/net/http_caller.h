/**
 * HTTP/1.1 calls to one address on a libuv loop: one call at a time on a connection that is kept,
 * further calls wait in line. A call is sent once; nothing is repeated.
 */
#ifndef SHUNTRUN_HTTP_CALLER_H
#define SHUNTRUN_HTTP_CALLER_H

#include "net/http_message.h"
#include "net/tcp_stream.h"

struct http_caller;

enum http_call_result {
    CALL_COMPLETE,       /**< a whole answer came; see `message` */
    CALL_CONNECT_FAILED, /**< no connection came up: the server saw nothing */
    CALL_BROKEN,         /**< the connection broke, or the answer was malformed */
    CALL_TIMED_OUT,      /**< no whole answer came in time */
};

/** \return the result in words, for logs */
const char *http_call_result_name(enum http_call_result result);

/** \param message valid during the call only, NULL unless CALL_COMPLETE */
typedef void http_call_done(void *context, enum http_call_result result,
                            const struct http_message *message);

struct http_caller *http_caller_create(uv_loop_t *loop, const struct sockaddr_in *address);
/** \brief Have it told when the kept connection ends while no call is under way. */
void http_caller_set_on_disconnect(struct http_caller *caller, void (*on_disconnect)(void *context),
                                   void *context);
/** \brief Drop the connection; callbacks of calls that wait are not called. */
void http_caller_destroy(struct http_caller *caller);

struct http_caller_request {
    const char *method;
    const char *target;
    const char *headers; /**< whole lines, or NULL */
    const void *body;    /**< copied */
    size_t body_size;
    uint32_t timeout_ms;
    size_t body_limit;
    http_call_done *done;
    void *context;
};

void http_caller_send(struct http_caller *caller, const struct http_caller_request *request);
/** \return calls that have no answer yet */
uint32_t http_caller_pending_count(const struct http_caller *caller);
/** \return time from the first to the last byte of the last answer, microseconds */
uint64_t http_caller_transfer_us(const struct http_caller *caller);
/** \return whether part of an answer has come */
bool http_caller_is_receiving(const struct http_caller *caller);
/** \brief Close a connection that was not used for so long. */
void http_caller_close_idle(struct http_caller *caller, uint64_t idle_us);
/** \brief Give all calls up as broken, and the connection. */
void http_caller_abort(struct http_caller *caller);

#endif

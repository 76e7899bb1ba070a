#include "net/http_caller.h"

#include "base/clock.h"
#include "base/memory.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

struct pending_call {
    struct pending_call *next;
    http_call_done *done;
    void *context;
    uint32_t timeout_ms;
    size_t body_limit;
    struct buffer bytes; /* the serialized request */
};

struct http_caller {
    uv_loop_t *loop;
    struct sockaddr_in address;
    struct tcp_stream *stream;
    bool is_connected;
    bool request_sent; /* the first pending call is in flight */
    bool destroyed;
    uint32_t callback_depth; /* nested callbacks; the client is freed only at 0 */
    struct http_message message;
    struct pending_call *first;
    struct pending_call **last;
    uint32_t pending_count;
    uint64_t first_byte_at;               /* of the current or latest response; 0: none yet */
    uint64_t transfer_us;                 /* of the latest response */
    uint64_t idle_since;                  /* time of the end of the last call */
    void (*on_disconnect)(void *context); /* may be NULL */
    void *disconnect_context;
    uv_timer_t timer;
};

static void start_next(struct http_caller *caller);

const char *http_call_result_name(enum http_call_result result)
{
    static const char *const names[] = {[CALL_COMPLETE] = "answered",
                                        [CALL_CONNECT_FAILED] = "connection failed",
                                        [CALL_CONNECT_TIMED_OUT] = "connection timed out",
                                        [CALL_BROKEN] = "broken",
                                        [CALL_TIMED_OUT] = "timed out"};
    return names[result];
}

static void on_timer_closed(uv_handle_t *handle)
{
    struct http_caller *caller = handle->data;
    http_message_clear(&caller->message);
    free(caller);
}

static void drop_connection(struct http_caller *caller)
{
    /* Unsent bytes of an abandoned request must not reach the server. */
    if (caller->stream && caller->request_sent)
        tcp_stream_reset(caller->stream);
    else if (caller->stream)
        tcp_stream_close(caller->stream);
    caller->stream = NULL;
    caller->is_connected = false;
}

static void free_if_destroyed(struct http_caller *caller)
{
    if (caller->destroyed && !caller->callback_depth)
        uv_close((uv_handle_t *)&caller->timer, on_timer_closed);
}

static void finish_first(struct http_caller *caller, enum http_call_result result)
{
    struct pending_call *call = caller->first;
    if (!call)
        return;
    uv_timer_stop(&caller->timer);
    caller->first = call->next;
    if (!caller->first)
        caller->last = &caller->first;
    caller->pending_count--;
    caller->request_sent = false;
    caller->idle_since = clock_monotonic_us();
    caller->callback_depth++;
    call->done(call->context, result, result == CALL_COMPLETE ? &caller->message : NULL);
    caller->callback_depth--;
    buffer_clear(&call->bytes);
    free(call);
}

static void fail_first(struct http_caller *caller, enum http_call_result result)
{
    caller->callback_depth++;
    drop_connection(caller);
    finish_first(caller, result);
    caller->callback_depth--;
    if (caller->destroyed)
        free_if_destroyed(caller);
    else
        start_next(caller);
}

static void on_timeout(uv_timer_t *timer)
{
    struct http_caller *caller = timer->data;
    fail_first(caller, caller->is_connected ? CALL_TIMED_OUT : CALL_CONNECT_TIMED_OUT);
}

static void on_connected(void *context, bool success)
{
    struct http_caller *caller = context;
    if (!success) {
        fail_first(caller, CALL_CONNECT_FAILED);
        return;
    }
    caller->is_connected = true;
    start_next(caller);
}

static void finish_response(struct http_caller *caller, bool reusable)
{
    caller->callback_depth++;
    caller->request_sent = false;
    if (!reusable)
        drop_connection(caller);
    finish_first(caller, CALL_COMPLETE);
    caller->callback_depth--;
    if (caller->destroyed)
        free_if_destroyed(caller);
    else
        start_next(caller);
}

/* Skips interim responses. \param left gets the number of bytes after the final one */
static enum http_parse_result parse_response(struct http_caller *caller, const char *bytes,
                                             size_t size, size_t *left)
{
    enum http_parse_result result;
    bool skipped;
    do {
        size_t used;
        result = http_message_parse(&caller->message, bytes, size, &used);
        bytes += used;
        size -= used;
        skipped = result == HTTP_PARSE_DONE && http_message_is_interim(&caller->message);
        if (skipped) {
            http_message_begin(&caller->message, HTTP_MESSAGE_RESPONSE);
            result = HTTP_PARSE_MORE;
        }
    } while (skipped && size);
    *left = size;
    return result;
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct http_caller *caller = context;
    if (!caller->request_sent) { /* unsolicited bytes */
        drop_connection(caller);
        return;
    }
    size_t left;
    uint64_t now = clock_monotonic_us();
    if (!caller->first_byte_at)
        caller->first_byte_at = now;
    enum http_parse_result result = parse_response(caller, bytes, size, &left);
    if (result == HTTP_PARSE_MORE)
        return;
    caller->transfer_us = now - caller->first_byte_at;
    if (result == HTTP_PARSE_DONE)
        finish_response(caller, caller->message.keep_alive && !left);
    else
        fail_first(caller, CALL_BROKEN);
}

static void on_ended(void *context, enum tcp_end end)
{
    struct http_caller *caller = context;
    if (!caller->request_sent) {
        drop_connection(caller);
        if (caller->on_disconnect)
            caller->on_disconnect(caller->disconnect_context);
        return;
    }
    if (end == TCP_END_ORDERLY && http_message_end_of_input(&caller->message) == HTTP_PARSE_DONE)
        finish_response(caller, false);
    else
        fail_first(caller, CALL_BROKEN);
}

static const struct tcp_stream_callbacks stream_callbacks = {
    .connected = on_connected, .received = on_received, .ended = on_ended};

static void start_next(struct http_caller *caller)
{
    struct pending_call *call = caller->first;
    /* Not within a callback, which may still read the previous response. */
    if (!call || caller->request_sent || caller->destroyed || caller->callback_depth)
        return;
    if (!caller->stream) {
        caller->is_connected = false;
        uv_timer_start(&caller->timer, on_timeout, call->timeout_ms, 0);
        caller->stream =
            tcp_stream_connect(caller->loop, &caller->address, &stream_callbacks, caller);
        return;
    }
    if (!caller->is_connected)
        return;
    caller->request_sent = true;
    caller->first_byte_at = 0;
    caller->message.body_limit = call->body_limit;
    http_message_begin(&caller->message, HTTP_MESSAGE_RESPONSE);
    uv_timer_start(&caller->timer, on_timeout, call->timeout_ms, 0);
    tcp_stream_write(caller->stream, call->bytes.data, call->bytes.size);
}

struct http_caller *http_caller_create(uv_loop_t *loop, const struct sockaddr_in *address)
{
    struct http_caller *caller = memory_calloc(1, sizeof *caller);
    caller->loop = loop;
    caller->address = *address;
    caller->last = &caller->first;
    uv_timer_init(loop, &caller->timer);
    caller->timer.data = caller;
    return caller;
}

void http_caller_destroy(struct http_caller *caller)
{
    caller->destroyed = true;
    drop_connection(caller);
    uv_timer_stop(&caller->timer);
    while (caller->first) {
        struct pending_call *call = caller->first;
        caller->first = call->next;
        buffer_clear(&call->bytes);
        free(call);
    }
    free_if_destroyed(caller);
}

void http_caller_send(struct http_caller *caller, const struct http_caller_request *request)
{
    struct pending_call *call = memory_calloc(1, sizeof *call);
    char host[INET_ADDRSTRLEN];
    uv_ip4_name(&caller->address, host, sizeof host);
    call->done = request->done;
    call->context = request->context;
    call->timeout_ms = request->timeout_ms;
    call->body_limit = request->body_limit;
    buffer_append_format(&call->bytes, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n", request->method,
                         request->target, host, ntohs(caller->address.sin_port));
    if (request->headers)
        buffer_append_text(&call->bytes, request->headers);
    if (request->body_size || strcmp(request->method, "GET") != 0)
        buffer_append_format(&call->bytes, "Content-Length: %zu\r\n", request->body_size);
    buffer_append_text(&call->bytes, "\r\n");
    buffer_append(&call->bytes, request->body, request->body_size);
    *caller->last = call;
    caller->last = &call->next;
    caller->pending_count++;
    start_next(caller);
}

uint64_t http_caller_transfer_us(const struct http_caller *caller)
{
    return caller->transfer_us;
}

bool http_caller_is_receiving(const struct http_caller *caller)
{
    return caller->request_sent && caller->first_byte_at;
}

void http_caller_close_idle(struct http_caller *caller, uint64_t idle_us)
{
    if (!caller->first && !caller->callback_depth && caller->stream &&
        clock_monotonic_us() > caller->idle_since + idle_us)
        drop_connection(caller);
}

void http_caller_set_on_disconnect(struct http_caller *caller, void (*on_disconnect)(void *context),
                                   void *context)
{
    caller->on_disconnect = on_disconnect;
    caller->disconnect_context = context;
}

uint32_t http_caller_pending_count(const struct http_caller *caller)
{
    return caller->pending_count;
}

void http_caller_abort(struct http_caller *caller)
{
    caller->callback_depth++;
    drop_connection(caller);
    for (uint32_t remaining = caller->pending_count; remaining && !caller->destroyed; remaining--)
        finish_first(caller, CALL_BROKEN);
    caller->callback_depth--;
    if (caller->destroyed)
        free_if_destroyed(caller);
    else
        start_next(caller); /* a callback may have sent another call */
}

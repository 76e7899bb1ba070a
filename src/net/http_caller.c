#include "net/http_caller.h"

#include "base/clock.h"
#include "base/memory.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

struct pending_call {
    struct pending_call *next;
    call_done *done;
    void *context;
    uint32_t timeout_ms;
    size_t body_limit;
    struct buffer bytes; /* the whole request */
};

struct http_caller {
    uv_loop_t *loop;
    struct sockaddr_in address;
    struct tcp_stream *stream;
    bool up;
    bool sent; /* the first pending call is on its way */
    bool destroyed;
    uint32_t depth; /* nested callbacks; freed only at 0 */
    struct http_message message;
    struct pending_call *first;
    struct pending_call **last;
    uint32_t waiting;
    uint64_t first_byte_at;      /* of the answer under way or the last one, 0: none yet */
    uint64_t transfer_us;        /* of the last answer */
    uint64_t idle_since;         /* time of the end of the last call */
    void (*lost)(void *context); /* NULL: nobody asks */
    void *lost_context;
    uv_timer_t timer;
};

static void start_next(struct http_caller *caller);

const char *call_result_name(enum call_result result)
{
    static const char *const names[] = {[CALL_ANSWERED] = "answered",
                                        [CALL_NOT_REACHED] = "not reached",
                                        [CALL_BROKEN] = "broken",
                                        [CALL_SILENT] = "no answer"};
    return names[result];
}

static void on_timer_closed(uv_handle_t *handle)
{
    struct http_caller *caller = handle->data;
    http_message_clear(&caller->message);
    free(caller);
}

static void drop_stream(struct http_caller *caller)
{
    if (caller->stream && caller->sent) /* what was given up must not arrive any more */
        tcp_stream_reset(caller->stream);
    else if (caller->stream)
        tcp_stream_close(caller->stream);
    caller->stream = NULL;
    caller->up = false;
}

static void release(struct http_caller *caller)
{
    if (caller->destroyed && !caller->depth)
        uv_close((uv_handle_t *)&caller->timer, on_timer_closed);
}

static void finish_first(struct http_caller *caller, enum call_result result)
{
    struct pending_call *call = caller->first;
    if (!call)
        return;
    uv_timer_stop(&caller->timer);
    caller->first = call->next;
    if (!caller->first)
        caller->last = &caller->first;
    caller->waiting--;
    caller->sent = false;
    caller->idle_since = clock_monotonic_us();
    caller->depth++;
    call->done(call->context, result, result == CALL_ANSWERED ? &caller->message : NULL);
    caller->depth--;
    buffer_clear(&call->bytes);
    free(call);
}

static void fail_first(struct http_caller *caller, enum call_result result)
{
    caller->depth++;
    drop_stream(caller);
    finish_first(caller, result);
    caller->depth--;
    if (caller->destroyed)
        release(caller);
    else
        start_next(caller);
}

static void on_timeout(uv_timer_t *timer)
{
    struct http_caller *caller = timer->data;
    fail_first(caller, caller->up ? CALL_SILENT : CALL_NOT_REACHED);
}

static void on_connected(void *context, bool success)
{
    struct http_caller *caller = context;
    if (!success) {
        fail_first(caller, CALL_NOT_REACHED);
        return;
    }
    caller->up = true;
    start_next(caller);
}

static void finish_answer(struct http_caller *caller, bool reusable)
{
    caller->depth++;
    caller->sent = false;
    if (!reusable)
        drop_stream(caller);
    finish_first(caller, CALL_ANSWERED);
    caller->depth--;
    if (caller->destroyed)
        release(caller);
    else
        start_next(caller);
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct http_caller *caller = context;
    if (!caller->sent) { /* bytes that nobody asked for */
        drop_stream(caller);
        return;
    }
    size_t used;
    uint64_t now = clock_monotonic_us();
    if (!caller->first_byte_at)
        caller->first_byte_at = now;
    enum http_parse_result result = http_message_feed(&caller->message, bytes, size, &used);
    if (result == HTTP_PARSE_MORE)
        return;
    caller->transfer_us = now - caller->first_byte_at;
    if (result == HTTP_PARSE_DONE)
        finish_answer(caller, caller->message.keep_alive && used == size);
    else
        fail_first(caller, CALL_BROKEN);
}

static void on_ended(void *context, enum tcp_end end)
{
    struct http_caller *caller = context;
    if (!caller->sent) {
        drop_stream(caller);
        if (caller->lost)
            caller->lost(caller->lost_context);
        return;
    }
    if (end == TCP_END_ORDERLY && http_message_end(&caller->message) == HTTP_PARSE_DONE)
        finish_answer(caller, false);
    else
        fail_first(caller, CALL_BROKEN);
}

static const struct tcp_stream_callbacks stream_callbacks = {
    .connected = on_connected, .received = on_received, .ended = on_ended};

static void start_next(struct http_caller *caller)
{
    struct pending_call *call = caller->first;
    /* Not from within a callback: it still reads the last answer. */
    if (!call || caller->sent || caller->destroyed || caller->depth)
        return;
    if (!caller->stream) {
        caller->up = false;
        uv_timer_start(&caller->timer, on_timeout, call->timeout_ms, 0);
        caller->stream =
            tcp_stream_connect(caller->loop, &caller->address, &stream_callbacks, caller);
        return;
    }
    if (!caller->up)
        return;
    caller->sent = true;
    caller->first_byte_at = 0;
    caller->message.body_limit = call->body_limit;
    http_message_begin(&caller->message, HTTP_MESSAGE_RESPONSE);
    uv_timer_start(&caller->timer, on_timeout, call->timeout_ms, 0);
    tcp_stream_write(caller->stream, call->bytes.data, call->bytes.size);
}

struct http_caller *http_caller_create(uv_loop_t *loop, const struct sockaddr_in *address)
{
    struct http_caller *caller = memory_zero(1, sizeof *caller);
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
    drop_stream(caller);
    uv_timer_stop(&caller->timer);
    while (caller->first) {
        struct pending_call *call = caller->first;
        caller->first = call->next;
        buffer_clear(&call->bytes);
        free(call);
    }
    release(caller);
}

void http_caller_send(struct http_caller *caller, const struct caller_request *request)
{
    struct pending_call *call = memory_zero(1, sizeof *call);
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
    caller->waiting++;
    start_next(caller);
}

uint64_t http_caller_transfer_us(const struct http_caller *caller)
{
    return caller->transfer_us;
}

bool http_caller_is_receiving(const struct http_caller *caller)
{
    return caller->sent && caller->first_byte_at;
}

void http_caller_rest(struct http_caller *caller, uint64_t idle_us)
{
    if (!caller->first && !caller->depth && caller->stream &&
        clock_monotonic_us() > caller->idle_since + idle_us)
        drop_stream(caller);
}

void http_caller_on_lost(struct http_caller *caller, void (*lost)(void *context), void *context)
{
    caller->lost = lost;
    caller->lost_context = context;
}

uint32_t http_caller_waiting(const struct http_caller *caller)
{
    return caller->waiting;
}

void http_caller_abort(struct http_caller *caller)
{
    caller->depth++;
    drop_stream(caller);
    for (uint32_t rest = caller->waiting; rest && !caller->destroyed; rest--)
        finish_first(caller, CALL_BROKEN);
    caller->depth--;
    if (caller->destroyed)
        release(caller);
    else
        start_next(caller); /* a callback may have sent another call */
}

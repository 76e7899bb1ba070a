#include "net/http_service.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/status.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_LIMIT_BYTES 16384
/** Bytes behind a request without a reply after which no more are read until it has one. */
#define UNPARSED_LIMIT_BYTES 16384
/** Checks for idle connections and incomplete requests, per shorter timeout of the two. */
#define CHECKS_PER_TIMEOUT 4

struct http_service {
    uv_tcp_t listener;
    uv_timer_t check_timer;
    struct http_service_limits limits;
    uint16_t port;
    service_handler *handler;
    void *context;
    struct service_call *calls;
};

/* A connection; `awaiting_reply` is set while a request has no reply. */
struct service_call {
    struct http_service *service;
    struct tcp_stream *stream; /* NULL once the connection is closed */
    struct http_message message;
    struct buffer unparsed;
    bool awaiting_reply;
    bool paused; /* enough bytes were received behind the request without a reply */
    bool parsing;
    uint64_t last_activity_us; /* time of the last bytes received or the last reply */
    uint64_t request_begun_us; /* time of the first byte of an incomplete request, 0: none */
    struct service_call *next;
    struct service_call **previous_link;
};

static void free_call(struct service_call *call)
{
    *call->previous_link = call->next;
    if (call->next)
        call->next->previous_link = call->previous_link;
    http_message_clear(&call->message);
    buffer_clear(&call->unparsed);
    free(call);
}

static void close_call(struct service_call *call)
{
    if (call->stream)
        tcp_stream_close(call->stream);
    call->stream = NULL;
    if (!call->awaiting_reply && !call->parsing)
        free_call(call);
}

static void write_reply(struct service_call *call, unsigned status, const char *content_type,
                        const void *body, size_t size)
{
    struct buffer reply = {0};
    buffer_append_format(&reply, "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n", status,
                         http_status_str((enum http_status)status), size);
    if (content_type)
        buffer_append_format(&reply, "Content-Type: %s\r\n", content_type);
    buffer_append_text(&reply, call->message.keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
    buffer_append(&reply, body, size);
    tcp_stream_write(call->stream, reply.data, reply.size);
    buffer_clear(&reply);
}

static void dispatch(struct service_call *call)
{
    struct service_request request = {
        .method = http_message_method(&call->message),
        .target = call->message.text.data,
        .target_length = call->message.target_length,
        .body = call->message.body.data,
        .body_size = call->message.body.size,
    };
    call->awaiting_reply = true;
    call->request_begun_us = 0;
    call->service->handler(call->service->context, call, &request);
}

static void refuse(struct service_call *call)
{
    log_event(LOG_LEVEL_WARN, "service", "bad-request", "port=%u head_bytes=%zu body_bytes=%zu",
              call->service->port, call->message.head_bytes, call->message.body_bytes);
    write_reply(call, 400, NULL, NULL, 0);
    tcp_stream_finish(call->stream);
    call->stream = NULL;
}

static void parse(struct service_call *call)
{
    call->parsing = true;
    while (call->stream && !call->awaiting_reply && call->unparsed.size) {
        size_t used;
        enum http_parse_result result =
            http_message_parse(&call->message, call->unparsed.data, call->unparsed.size, &used);
        if (result == HTTP_PARSE_MORE) {
            buffer_reset(&call->unparsed);
            break;
        }
        if (result != HTTP_PARSE_DONE) {
            refuse(call);
            break;
        }
        buffer_consume(&call->unparsed, used);
        dispatch(call);
    }
    call->parsing = false;
    if (!call->stream && !call->awaiting_reply)
        free_call(call);
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct service_call *call = context;
    call->last_activity_us = clock_monotonic_us();
    if (!call->awaiting_reply && !call->request_begun_us)
        call->request_begun_us = call->last_activity_us;
    buffer_append(&call->unparsed, bytes, size);
    if (call->awaiting_reply && call->unparsed.size >= UNPARSED_LIMIT_BYTES) {
        call->paused = true;
        tcp_stream_pause(call->stream, true);
    }
    parse(call);
}

static void on_ended(void *context, enum tcp_end end)
{
    close_call(context);
}

static const struct tcp_stream_callbacks stream_callbacks = {.received = on_received,
                                                             .ended = on_ended};

void service_reply(struct service_call *call, unsigned status, const char *content_type,
                   const void *body, size_t size)
{
    call->awaiting_reply = false;
    call->last_activity_us = clock_monotonic_us();
    call->request_begun_us = call->unparsed.size ? call->last_activity_us : 0;
    if (call->stream) {
        bool keep = call->message.keep_alive;
        write_reply(call, status, content_type, body, size);
        if (!keep) {
            tcp_stream_finish(call->stream);
            call->stream = NULL;
        }
    }
    if (call->stream)
        http_message_begin(&call->message, HTTP_MESSAGE_REQUEST);
    if (call->stream && call->paused)
        tcp_stream_pause(call->stream, false);
    call->paused = false;
    if (call->parsing)
        return;
    if (!call->stream)
        free_call(call);
    else
        parse(call);
}

bool service_call_is_disconnected(const struct service_call *call)
{
    return !call->stream;
}

bool service_path_is(const struct service_request *request, const char *path)
{
    size_t length = strlen(path);
    return request->target_length >= length && memcmp(request->target, path, length) == 0 &&
           (request->target_length == length || request->target[length] == '?');
}

static void on_accept(uv_stream_t *listener, int status)
{
    struct http_service *service = listener->data;
    if (status) {
        log_event(LOG_LEVEL_WARN, "service", "accept-failed", "error=\"%s\"", uv_strerror(status));
        return;
    }
    struct service_call *call = memory_calloc(1, sizeof *call);
    call->service = service;
    call->last_activity_us = clock_monotonic_us();
    call->next = service->calls;
    call->previous_link = &service->calls;
    if (call->next)
        call->next->previous_link = &call->next;
    service->calls = call;
    call->message.head_limit = HEAD_LIMIT_BYTES;
    call->message.body_limit = service->limits.body_bytes;
    http_message_begin(&call->message, HTTP_MESSAGE_REQUEST);
    call->stream = tcp_stream_accept(listener, &stream_callbacks, call);
    if (!call->stream)
        free_call(call);
}

static bool is_overdue(const struct service_call *call, uint64_t now)
{
    const struct http_service_limits *limits = &call->service->limits;
    uint64_t idle_us = limits->idle_timeout_ms * (uint64_t)1000;
    uint64_t request_us = limits->request_timeout_ms * (uint64_t)1000;
    return now > call->last_activity_us + idle_us ||
           (call->request_begun_us && now > call->request_begun_us + request_us);
}

/* A machine that lost power doesn't close its connections, and a peer in trouble may send bytes
 * without an end: without this check, each would hold a descriptor for the lifetime of this
 * process. */
static void on_check(uv_timer_t *timer)
{
    struct http_service *service = timer->data;
    uint64_t now = clock_monotonic_us();
    for (struct service_call *call = service->calls, *next; call; call = next) {
        next = call->next;
        if (!call->awaiting_reply && call->stream && is_overdue(call, now))
            close_call(call);
    }
}

static void start_checks(struct http_service *service, uv_loop_t *loop)
{
    const struct http_service_limits *limits = &service->limits;
    uint32_t shorter_ms = limits->idle_timeout_ms < limits->request_timeout_ms
                              ? limits->idle_timeout_ms
                              : limits->request_timeout_ms;
    uint64_t period = shorter_ms / CHECKS_PER_TIMEOUT + 1;
    uv_timer_init(loop, &service->check_timer);
    service->check_timer.data = service;
    uv_timer_start(&service->check_timer, on_check, period, period);
    uv_unref((uv_handle_t *)&service->check_timer);
}

struct http_service *http_service_start(uv_loop_t *loop, const struct sockaddr_in *address,
                                        const struct http_service_limits *limits,
                                        service_handler *handler, void *context)
{
    struct http_service *service = memory_calloc(1, sizeof *service);
    service->limits = *limits;
    service->port = ntohs(address->sin_port);
    service->handler = handler;
    service->context = context;
    int error = tcp_listen(loop, &service->listener, address, on_accept, service);
    if (error) {
        status_fail(STATUS_IO, "cannot listen: %s", uv_strerror(error));
        return NULL;
    }
    start_checks(service, loop);
    return service;
}

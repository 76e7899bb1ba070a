/* Connections to backends, with one request at a time on each, kept alive for reuse. */
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/backend_feedback.h"
#include "edge/edge_internal.h"

#include <stdlib.h>

/** Time for which an idle connection is kept if the backend names none. */
#define KEEP_ALIVE_DEFAULT_US 4000000
/** A connection is not reused from this long before the backend may close it. */
#define KEEP_ALIVE_MARGIN_US 400000
#define CONNECT_TIMEOUT_US 700000

enum upstream_state { UPSTREAM_CONNECTING, UPSTREAM_BUSY, UPSTREAM_IDLE };

struct upstream {
    struct edge *edge;
    struct backend *backend;
    struct tcp_stream *stream;
    struct upstream_response response;
    bool head_read; /* `response.head` is decoded */
    enum upstream_state state;
    struct exchange *exchange; /* NULL while idle */
    uint64_t started_at;
    uint64_t sent_at; /* the last request was written */
    uint64_t idle_since;
    uint64_t keep_until;
    struct upstream *next;         /* of the backend's connections */
    struct upstream *next_in_edge; /* of all connections of the edge */
    struct upstream **edge_link;
};

/* All connections to one backend, most recently used first. */
struct upstream_list {
    struct upstream *first;
};

static struct upstream_list *connections_of(struct backend *backend)
{
    if (!backend->connections)
        backend->connections = memory_calloc(1, sizeof(struct upstream_list));
    return backend->connections;
}

static void remove_from_backend(struct upstream *upstream)
{
    struct upstream_list *list = connections_of(upstream->backend);
    for (struct upstream **link = &list->first; *link; link = &(*link)->next) {
        if (*link == upstream) {
            *link = upstream->next;
            break;
        }
    }
    if (!list->first) {
        free(list);
        upstream->backend->connections = NULL;
    }
}

static void prepend_to_backend(struct upstream *upstream)
{
    struct upstream_list *list = connections_of(upstream->backend);
    upstream->next = list->first;
    list->first = upstream;
}

static void prepend_to_edge(struct upstream *upstream)
{
    struct upstream **first = &upstream->edge->upstreams;
    upstream->next_in_edge = *first;
    upstream->edge_link = first;
    if (*first)
        (*first)->edge_link = &upstream->next_in_edge;
    *first = upstream;
}

static void remove_from_edge(struct upstream *upstream)
{
    *upstream->edge_link = upstream->next_in_edge;
    if (upstream->next_in_edge)
        upstream->next_in_edge->edge_link = upstream->edge_link;
}

/* Resets a connection with a request in progress, as a cancelled request must not arrive any more:
 * after a plain close the kernel still delivers what was written. */
static void close_stream(struct upstream *upstream)
{
    if (upstream->state == UPSTREAM_BUSY)
        tcp_stream_reset(upstream->stream);
    else
        tcp_stream_close(upstream->stream);
}

static void destroy_upstream(struct upstream *upstream)
{
    remove_from_backend(upstream);
    remove_from_edge(upstream);
    if (upstream->stream)
        close_stream(upstream);
    backend_release(upstream->backend);
    http_message_clear(&upstream->response.message);
    free(upstream);
}

/* Tells the exchange last, when the connection is already idle or destroyed. */
static void finish_request(struct upstream *upstream, enum upstream_event event, bool reusable)
{
    struct exchange *exchange = upstream->exchange;
    struct upstream_response response = upstream->response;
    if (event == UPSTREAM_DONE)
        upstream->state = UPSTREAM_IDLE;
    upstream->exchange = NULL;
    upstream->response.message = (struct http_message){0};
    /* Cleared as the parser's state is part of the message that is handed over. */
    if (reusable) {
        upstream->idle_since = cluster_now();
        remove_from_backend(upstream);
        prepend_to_backend(upstream);
    } else {
        destroy_upstream(upstream);
    }
    exchange_on_upstream_event(exchange, event, &response);
    http_message_clear(&response.message);
}

static void begin_response(struct upstream *upstream)
{
    upstream->head_read = false;
    http_message_begin(&upstream->response.message, HTTP_MESSAGE_RESPONSE);
}

/* What a backend reports about itself applies as soon as the headers are complete, as a stream may
 * last for seconds, and whichever request the response is for, as late responses are skipped. */
static void read_head(struct upstream *upstream)
{
    struct upstream_response *response = &upstream->response;
    if (upstream->head_read || !response->message.head_complete)
        return;
    upstream->head_read = true;
    platform_read_response(&response->message, &response->head);
    bool is_late = exchange_is_mismatched_response(upstream->exchange, &response->head);
    backend_feedback_from_response(upstream->edge, upstream->backend, &response->head,
                                   is_late ? 0 : upstream->sent_at);
}

static bool may_reuse(struct upstream *upstream, bool bytes_left)
{
    const struct http_message *message = &upstream->response.message;
    if (!message->keep_alive || !message->framed || bytes_left ||
        tcp_stream_unsent_bytes(upstream->stream) || !upstream->backend->listed)
        return false;
    uint32_t keep_ms = upstream->response.head.keep_alive_ms;
    uint64_t keep = keep_ms ? keep_ms * 1000ULL : KEEP_ALIVE_DEFAULT_US;
    if (keep <= KEEP_ALIVE_MARGIN_US)
        return false;
    upstream->keep_until = cluster_now() + keep - KEEP_ALIVE_MARGIN_US;
    return true;
}

/* \return whether the message is the final response to the current request */
static bool is_expected_response(struct upstream *upstream)
{
    return !http_message_is_interim(&upstream->response.message) &&
           !exchange_is_mismatched_response(upstream->exchange, &upstream->response.head);
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct upstream *upstream = context;
    if (upstream->state != UPSTREAM_BUSY) { /* no request is in progress */
        destroy_upstream(upstream);
        return;
    }
    while (size) {
        size_t consumed;
        enum http_parse_result result =
            http_message_parse(&upstream->response.message, bytes, size, &consumed);
        bytes += consumed;
        size -= consumed;
        read_head(upstream);
        if (result == HTTP_PARSE_DONE && !is_expected_response(upstream)) {
            begin_response(upstream);
            continue;
        }
        if (result == HTTP_PARSE_DONE) {
            finish_request(upstream, UPSTREAM_DONE, may_reuse(upstream, size > 0));
            return;
        }
        if (result != HTTP_PARSE_MORE) {
            finish_request(upstream, UPSTREAM_BROKEN, false);
            return;
        }
    }
    if (!upstream->head_read)
        return;
    if (!is_expected_response(upstream)) /* skipped */
        buffer_reset(&upstream->response.message.body);
    else
        exchange_on_upstream_event(upstream->exchange, UPSTREAM_PROGRESS, &upstream->response);
}

static void on_ended(void *context, enum tcp_end end)
{
    struct upstream *upstream = context;
    if (upstream->state != UPSTREAM_BUSY) {
        destroy_upstream(upstream);
        return;
    }
    bool is_complete = end == TCP_END_ORDERLY &&
                       http_message_end_of_input(&upstream->response.message) == HTTP_PARSE_DONE &&
                       is_expected_response(upstream);
    finish_request(upstream, is_complete ? UPSTREAM_DONE : UPSTREAM_BROKEN, false);
}

static bool write_request(struct upstream *upstream)
{
    struct buffer bytes = {0};
    bool may_send = exchange_write_request(upstream->exchange, &bytes);
    if (may_send) {
        upstream->state = UPSTREAM_BUSY;
        upstream->sent_at = cluster_now();
        begin_response(upstream);
        tcp_stream_write(upstream->stream, bytes.data, bytes.size);
    }
    buffer_clear(&bytes);
    return may_send;
}

static void on_connected(void *context, bool success)
{
    struct upstream *upstream = context;
    if (!success) {
        finish_request(upstream, UPSTREAM_NOT_SENT, false);
        return;
    }
    if (!write_request(upstream))
        finish_request(upstream, UPSTREAM_WITHHELD, false);
}

static const struct tcp_stream_callbacks stream_callbacks = {
    .connected = on_connected, .received = on_received, .ended = on_ended};

static struct upstream *find_idle(struct backend *backend, uint64_t now, uint64_t max_idle_us)
{
    struct upstream_list *list = backend->connections;
    for (struct upstream *upstream = list ? list->first : NULL; upstream; upstream = upstream->next)
        if (upstream->state == UPSTREAM_IDLE && now < upstream->keep_until &&
            now <= upstream->idle_since + max_idle_us)
            return upstream;
    return NULL;
}

static struct upstream *connect_new(struct edge *edge, struct backend *backend)
{
    struct sockaddr_in address;
    if (!tcp_address_parse(backend->listing.address, &address))
        return NULL;
    struct upstream *upstream = memory_calloc(1, sizeof *upstream);
    upstream->edge = edge;
    upstream->backend = backend_retain(backend);
    upstream->state = UPSTREAM_CONNECTING;
    upstream->stream = tcp_stream_connect(edge->loop, &address, &stream_callbacks, upstream);
    prepend_to_backend(upstream);
    prepend_to_edge(upstream);
    if (!upstream->stream) {
        destroy_upstream(upstream);
        return NULL;
    }
    metric_add(METRIC_UPSTREAM_CONNECTIONS, 1);
    return upstream;
}

struct upstream *upstream_send(struct edge *edge, struct backend *backend,
                               struct exchange *exchange, uint64_t max_idle_us)
{
    uint64_t now = cluster_now();
    struct upstream *upstream = find_idle(backend, now, max_idle_us);
    bool is_idle = upstream != NULL;
    if (!upstream)
        upstream = connect_new(edge, backend);
    if (!upstream)
        return NULL;
    upstream->exchange = exchange;
    upstream->started_at = now;
    if (is_idle && !write_request(upstream)) {
        /* Nothing was sent; the connection stays idle for other requests. */
        upstream->exchange = NULL;
        return NULL;
    }
    return upstream;
}

void upstream_cancel(struct upstream *upstream)
{
    upstream->exchange = NULL;
    destroy_upstream(upstream);
}

bool upstream_is_sent(const struct upstream *upstream)
{
    return upstream->state == UPSTREAM_BUSY;
}

bool upstream_has_open_connection(const struct backend *backend)
{
    const struct upstream_list *list = backend->connections;
    for (const struct upstream *upstream = list ? list->first : NULL; upstream;
         upstream = upstream->next)
        if (upstream->state != UPSTREAM_CONNECTING)
            return true;
    return false;
}

void upstream_pause(struct upstream *upstream, bool pause)
{
    tcp_stream_pause(upstream->stream, pause);
}

struct exchange *upstream_largest_answer(const struct edge *edge, size_t *size)
{
    struct exchange *largest = NULL;
    *size = 0;
    for (struct upstream *upstream = edge->upstreams; upstream; upstream = upstream->next_in_edge) {
        if (upstream->state != UPSTREAM_BUSY)
            continue;
        size_t held = exchange_held_bytes(upstream->exchange, &upstream->response);
        if (held <= *size)
            continue;
        largest = upstream->exchange;
        *size = held;
    }
    return largest;
}

static bool is_expired(const struct upstream *upstream, uint64_t now)
{
    bool listed = upstream->backend->listed;
    switch (upstream->state) {
    case UPSTREAM_IDLE:
        return !listed || now >= upstream->keep_until;
    case UPSTREAM_CONNECTING: /* a connect begun in this pass has started after `now` */
        return !listed || now > upstream->started_at + CONNECT_TIMEOUT_US;
    case UPSTREAM_BUSY:
        break;
    }
    return false;
}

static struct upstream *find_expired(const struct edge *edge, uint64_t now)
{
    struct upstream *upstream = edge->upstreams;
    while (upstream && !is_expired(upstream, now))
        upstream = upstream->next_in_edge;
    return upstream;
}

/* Covers connections to unlisted backends too: a machine that lost power closes nothing, and a
 * request would wait until its deadline for a connection to it. */
void upstream_close_expired(struct edge *edge, uint64_t now)
{
    struct upstream *upstream;
    while ((upstream = find_expired(edge, now))) {
        if (upstream->state == UPSTREAM_IDLE)
            destroy_upstream(upstream);
        else
            finish_request(
                upstream, upstream->backend->listed ? UPSTREAM_NOT_SENT : UPSTREAM_WITHHELD, false);
    }
}

void upstream_close_idle(struct edge *edge)
{
    for (struct upstream *upstream = edge->upstreams; upstream; upstream = upstream->next_in_edge)
        if (upstream->state == UPSTREAM_IDLE)
            upstream->keep_until = 0;
    upstream_close_expired(edge, cluster_now());
}

/* Connections to back ends: one request at a time on each, kept for the next one. */
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/backend_states.h"
#include "edge/edge_internal.h"

#include <stdlib.h>

/** An idle connection is kept for so long when the back end does not say. */
#define KEEP_DEFAULT_US 4000000
/** A connection is no longer used so long before the back end may close it. */
#define KEEP_MARGIN_US 400000
#define CONNECT_TIMEOUT_US 700000
/** Answers with a lower status are followed by another one to the same request. */
#define FINAL_STATUS 200

enum upstream_state { UPSTREAM_CONNECTING, UPSTREAM_BUSY, UPSTREAM_IDLE };

struct upstream {
    struct edge *edge;
    struct backend *backend;
    struct tcp_stream *stream;
    struct upstream_answer answer;
    bool head_read; /* `answer.head` is decoded */
    enum upstream_state state;
    struct exchange *exchange; /* NULL while idle */
    uint64_t started;
    uint64_t idle_since;
    uint64_t keep_until;
    struct upstream *next;      /* of the back end's connections */
    struct upstream *next_open; /* of all connections of the edge */
    struct upstream **open_place;
};

/* All connections to one back end, newest use first. */
struct upstream_list {
    struct upstream *first;
};

static struct upstream_list *list_of(struct backend *backend)
{
    if (!backend->connections)
        backend->connections = memory_zero(1, sizeof(struct upstream_list));
    return backend->connections;
}

static void unlink_upstream(struct upstream *upstream)
{
    struct upstream_list *list = list_of(upstream->backend);
    for (struct upstream **place = &list->first; *place; place = &(*place)->next) {
        if (*place == upstream) {
            *place = upstream->next;
            break;
        }
    }
    if (!list->first) {
        free(list);
        upstream->backend->connections = NULL;
    }
}

static void link_first(struct upstream *upstream)
{
    struct upstream_list *list = list_of(upstream->backend);
    upstream->next = list->first;
    list->first = upstream;
}

static void link_open(struct upstream *upstream)
{
    struct upstream **first = &upstream->edge->upstreams;
    upstream->next_open = *first;
    upstream->open_place = first;
    if (*first)
        (*first)->open_place = &upstream->next_open;
    *first = upstream;
}

static void unlink_open(struct upstream *upstream)
{
    *upstream->open_place = upstream->next_open;
    if (upstream->next_open)
        upstream->next_open->open_place = upstream->open_place;
}

/* A request that is given up must not arrive any more: after a close the kernel still delivers what
 * was written. */
static void close_stream(struct upstream *upstream)
{
    if (upstream->state == UPSTREAM_BUSY)
        tcp_stream_reset(upstream->stream);
    else
        tcp_stream_close(upstream->stream);
}

static void destroy(struct upstream *upstream)
{
    unlink_upstream(upstream);
    unlink_open(upstream);
    if (upstream->stream)
        close_stream(upstream);
    backend_release(upstream->backend);
    http_message_clear(&upstream->answer.message);
    free(upstream);
}

/* The exchange is told last, with the connection already out of its way. */
static void finish(struct upstream *upstream, enum upstream_event event, bool reusable)
{
    struct exchange *exchange = upstream->exchange;
    struct upstream_answer answer = upstream->answer;
    if (event == UPSTREAM_DONE)
        upstream->state = UPSTREAM_IDLE;
    upstream->exchange = NULL;
    upstream->answer.message = (struct http_message){0};
    /* The parser's position is part of the message that is handed over. */
    if (reusable) {
        upstream->idle_since = cluster_now();
        unlink_upstream(upstream);
        link_first(upstream);
    } else {
        destroy(upstream);
    }
    exchange_on_upstream(exchange, event, &answer);
    http_message_clear(&answer.message);
}

static void begin_answer(struct upstream *upstream)
{
    upstream->head_read = false;
    http_message_begin(&upstream->answer.message, HTTP_MESSAGE_RESPONSE);
}

/* What a back end says of itself holds from the head on, whichever request the answer is for: a
 * stream may last for seconds, and a late answer is passed over. */
static void read_head(struct upstream *upstream)
{
    struct upstream_answer *answer = &upstream->answer;
    if (upstream->head_read || !answer->message.head_complete)
        return;
    upstream->head_read = true;
    platform_read_answer(&answer->message, &answer->head);
    backend_states(upstream->edge, upstream->backend, &answer->head);
}

static bool may_reuse(struct upstream *upstream, bool bytes_left)
{
    const struct http_message *message = &upstream->answer.message;
    if (!message->keep_alive || !message->framed || bytes_left ||
        tcp_stream_pending(upstream->stream) || !upstream->backend->listed)
        return false;
    uint32_t keep_ms = upstream->answer.head.keep_alive_ms;
    uint64_t keep = keep_ms ? keep_ms * 1000ULL : KEEP_DEFAULT_US;
    if (keep <= KEEP_MARGIN_US)
        return false;
    upstream->keep_until = cluster_now() + keep - KEEP_MARGIN_US;
    return true;
}

/* A message is complete: pass over what is not the answer. \return whether it was the answer */
static bool is_answer(struct upstream *upstream)
{
    const struct answer_head *head = &upstream->answer.head;
    return head->facts.status >= FINAL_STATUS && !exchange_is_foreign(upstream->exchange, head);
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct upstream *upstream = context;
    if (upstream->state != UPSTREAM_BUSY) { /* nobody asked for these bytes */
        destroy(upstream);
        return;
    }
    while (size) {
        size_t used;
        enum http_parse_result result =
            http_message_feed(&upstream->answer.message, bytes, size, &used);
        bytes += used;
        size -= used;
        read_head(upstream);
        if (result == HTTP_PARSE_DONE && !is_answer(upstream)) {
            begin_answer(upstream);
            continue;
        }
        if (result == HTTP_PARSE_DONE) {
            finish(upstream, UPSTREAM_DONE, may_reuse(upstream, size > 0));
            return;
        }
        if (result != HTTP_PARSE_MORE) {
            finish(upstream, UPSTREAM_BROKEN, false);
            return;
        }
    }
    if (upstream->head_read && is_answer(upstream))
        exchange_on_upstream(upstream->exchange, UPSTREAM_PROGRESS, &upstream->answer);
}

static void on_ended(void *context, enum tcp_end end)
{
    struct upstream *upstream = context;
    if (upstream->state != UPSTREAM_BUSY) {
        destroy(upstream);
        return;
    }
    bool whole = end == TCP_END_ORDERLY &&
                 http_message_end(&upstream->answer.message) == HTTP_PARSE_DONE &&
                 is_answer(upstream);
    finish(upstream, whole ? UPSTREAM_DONE : UPSTREAM_BROKEN, false);
}

static bool write_request(struct upstream *upstream)
{
    struct buffer bytes = {0};
    bool fits = exchange_write(upstream->exchange, &bytes);
    if (fits) {
        upstream->state = UPSTREAM_BUSY;
        begin_answer(upstream);
        tcp_stream_write(upstream->stream, bytes.data, bytes.size);
    }
    buffer_clear(&bytes);
    return fits;
}

static void on_connected(void *context, bool success)
{
    struct upstream *upstream = context;
    if (!success) {
        finish(upstream, UPSTREAM_NOT_SENT, false);
        return;
    }
    if (!write_request(upstream))
        finish(upstream, UPSTREAM_WITHHELD, false);
}

static const struct tcp_stream_callbacks stream_callbacks = {
    .connected = on_connected, .received = on_received, .ended = on_ended};

static struct upstream *find_idle(struct backend *backend, uint64_t now, uint64_t most_idle_us)
{
    struct upstream_list *list = backend->connections;
    for (struct upstream *upstream = list ? list->first : NULL; upstream; upstream = upstream->next)
        if (upstream->state == UPSTREAM_IDLE && now < upstream->keep_until &&
            now <= upstream->idle_since + most_idle_us)
            return upstream;
    return NULL;
}

static struct upstream *connect_new(struct edge *edge, struct backend *backend)
{
    struct sockaddr_in address;
    if (!tcp_address_parse(backend->listing.address, &address))
        return NULL;
    struct upstream *upstream = memory_zero(1, sizeof *upstream);
    upstream->edge = edge;
    upstream->backend = backend_retain(backend);
    upstream->state = UPSTREAM_CONNECTING;
    upstream->stream = tcp_stream_connect(edge->loop, &address, &stream_callbacks, upstream);
    link_first(upstream);
    link_open(upstream);
    if (!upstream->stream) {
        destroy(upstream);
        return NULL;
    }
    metric_add(METRIC_UPSTREAM_CONNECTIONS, 1);
    return upstream;
}

struct upstream *upstream_send(struct edge *edge, struct backend *backend,
                               struct exchange *exchange, uint64_t most_idle_us)
{
    uint64_t now = cluster_now();
    struct upstream *upstream = find_idle(backend, now, most_idle_us);
    bool is_idle = upstream != NULL;
    if (!upstream)
        upstream = connect_new(edge, backend);
    if (!upstream)
        return NULL;
    upstream->exchange = exchange;
    upstream->started = now;
    if (is_idle && !write_request(upstream)) {
        /* Nothing was sent: the connection stays idle and belongs to nobody. */
        upstream->exchange = NULL;
        return NULL;
    }
    return upstream;
}

void upstream_cancel(struct upstream *upstream)
{
    upstream->exchange = NULL;
    destroy(upstream);
}

bool upstream_is_sent(const struct upstream *upstream)
{
    return upstream->state == UPSTREAM_BUSY;
}

bool upstream_is_open(const struct backend *backend)
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

static bool is_expired(const struct upstream *upstream, uint64_t now)
{
    bool listed = upstream->backend->listed;
    switch (upstream->state) {
    case UPSTREAM_IDLE:
        return !listed || now >= upstream->keep_until;
    case UPSTREAM_CONNECTING: /* one that was opened in this sweep began after `now` */
        return !listed || now > upstream->started + CONNECT_TIMEOUT_US;
    case UPSTREAM_BUSY:
        break;
    }
    return false;
}

static struct upstream *find_expired(const struct edge *edge, uint64_t now)
{
    struct upstream *upstream = edge->upstreams;
    while (upstream && !is_expired(upstream, now))
        upstream = upstream->next_open;
    return upstream;
}

/* All that are open, also to back ends that the list dropped: machines that lost power close
 * nothing, and a request would wait until its deadline for a connection to one to come up. */
void upstream_sweep(struct edge *edge, uint64_t now)
{
    struct upstream *upstream;
    while ((upstream = find_expired(edge, now))) {
        if (upstream->state == UPSTREAM_IDLE)
            destroy(upstream);
        else
            finish(upstream, upstream->backend->listed ? UPSTREAM_NOT_SENT : UPSTREAM_WITHHELD,
                   false);
    }
}

void upstream_close_idle(struct edge *edge)
{
    for (struct upstream *upstream = edge->upstreams; upstream; upstream = upstream->next_open)
        if (upstream->state == UPSTREAM_IDLE)
            upstream->keep_until = 0;
    upstream_sweep(edge, cluster_now());
}

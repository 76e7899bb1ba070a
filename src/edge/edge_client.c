/* Client connections, with one request in progress at a time on each. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>

/** A client that takes no byte for this long is dropped first when buffers are nearly full. */
#define SLOW_CLIENT_US 2000000
/** Retry-After of requests that are refused for want of memory: slow clients are dropped by then.
 */
#define NO_MEMORY_RETRY_MS 2500
/* Limits and timeouts until the first configuration is known. */
#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES 4194304
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 30000

struct edge_client {
    struct edge *edge;
    struct tcp_stream *stream; /* NULL when closed */
    struct http_message request;
    struct buffer unread;
    struct exchange *exchange;
    bool awaits_configuration; /* the request is complete, and held */
    uint64_t arrived_at;       /* time at which the request was complete */
    bool parsing;
    bool streaming;
    bool keeps;                /* the head of the current stream promised a kept connection */
    bool closes;               /* a response said that the connection closes; what was read behind
                                  its request is refused */
    bool continue_sent;        /* "100 Continue" was sent */
    uint64_t idle_since;       /* time of the last response, or of the accept */
    uint64_t head_started;     /* time of the first byte of the current request; 0: none */
    uint64_t last_received_at; /* time at which bytes last arrived */
    size_t unsent_bytes;       /* of responses, when last checked */
    uint64_t last_taken_at;    /* time at which `unsent_bytes` last decreased, or was 0 */
    struct edge_client *next;
    struct edge_client **link;
};

struct edge *edge_client_edge(const struct edge_client *client)
{
    return client->edge;
}

const struct http_message *edge_client_request(const struct edge_client *client)
{
    return &client->request;
}

uint64_t edge_client_arrived_at(const struct edge_client *client)
{
    return client->arrived_at;
}

bool edge_client_closes(const struct edge_client *client)
{
    return client->closes;
}

size_t edge_client_unsent_bytes(const struct edge_client *client)
{
    return client->stream ? tcp_stream_unsent_bytes(client->stream) : 0;
}

static void set_limits(struct edge_client *client)
{
    const struct route_table *table = client->edge->table;
    client->request.head_limit = table ? route_table_limits(table)->head_bytes : DEFAULT_HEAD_BYTES;
    client->request.body_limit = table ? route_table_limits(table)->body_bytes : DEFAULT_BODY_BYTES;
}

static void prepare_next_request(struct edge_client *client)
{
    set_limits(client);
    http_message_begin(&client->request, HTTP_MESSAGE_REQUEST);
    client->head_started = 0;
    client->continue_sent = false;
    client->idle_since = cluster_now();
}

static void client_free(struct edge_client *client)
{
    *client->link = client->next;
    if (client->next)
        client->next->link = client->link;
    http_message_clear(&client->request);
    buffer_clear(&client->unread);
    free(client);
}

static void free_if_unused(struct edge_client *client)
{
    if (!client->stream && !client->parsing && !client->exchange)
        client_free(client);
}

static void close_in_order(struct edge_client *client)
{
    tcp_stream_finish(client->stream);
    client->stream = NULL;
}

/* \param retry_ms Retry-After; 0: none */
static void reject_request(struct edge_client *client, unsigned status, uint32_t retry_ms)
{
    struct buffer reply = {0};
    metric_add(METRIC_REQUESTS_BAD, 1);
    log_event(LOG_LEVEL_WARN, "client", "bad-request", "status=%u head_bytes=%zu body_bytes=%zu",
              status, client->request.head_bytes, client->request.body_bytes);
    buffer_append_format(&reply, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_own_response("", retry_ms, &reply);
    buffer_append_text(&reply, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    tcp_stream_write(client->stream, reply.data, reply.size);
    buffer_clear(&reply);
    close_in_order(client);
}

static void send_continue(struct edge_client *client)
{
    char expect[32];
    if (client->continue_sent || !client->request.head_complete || client->request.complete)
        return;
    if (!http_message_field_value(&client->request, "Expect", expect, sizeof expect))
        return;
    client->continue_sent = true;
    tcp_stream_write(client->stream, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

/* The rest of a body is refused before it arrives; nothing of the request has run. */
static bool has_room_for_body(const struct edge_client *client)
{
    struct memory_use use = edge_memory_use(client->edge);
    size_t expected = http_message_remaining_body(&client->request);
    if (!client->request.head_complete || memory_share_accepts(&use, expected))
        return true;
    metric_add(METRIC_REQUESTS_NO_MEMORY, 1);
    return false;
}

static void start_exchange(struct edge_client *client)
{
    client->exchange = exchange_begin(client->edge, client);
    if (client->exchange)
        exchange_start(client->exchange);
}

static void parse_request(struct edge_client *client)
{
    size_t used;
    enum http_parse_result result =
        http_message_parse(&client->request, client->unread.data, client->unread.size, &used);
    buffer_consume(&client->unread, used);
    switch (result) {
    case HTTP_PARSE_MORE:
        buffer_reset(&client->unread);
        if (has_room_for_body(client))
            send_continue(client);
        else
            reject_request(client, 503, NO_MEMORY_RETRY_MS);
        break;
    case HTTP_PARSE_DONE:
        client->arrived_at = cluster_now();
        client->awaits_configuration = edge_awaits_configuration(client->edge);
        if (!client->awaits_configuration)
            start_exchange(client);
        break;
    case HTTP_PARSE_MALFORMED:
        reject_request(client, 400, 0);
        break;
    case HTTP_PARSE_HEAD_TOO_LARGE:
        reject_request(client, 431, 0);
        break;
    case HTTP_PARSE_BODY_TOO_LARGE:
        reject_request(client, 413, 0);
        break;
    }
}

/* Whether a request is in progress. */
static bool is_busy(const struct edge_client *client)
{
    return client->exchange || client->awaits_configuration;
}

static void parse_unread(struct edge_client *client)
{
    client->parsing = true;
    while (client->stream && !is_busy(client) && client->unread.size) {
        if (!client->head_started)
            client->head_started = cluster_now();
        parse_request(client);
    }
    client->parsing = false;
    if (client->closes && client->stream && !is_busy(client))
        close_in_order(client);
    free_if_unused(client);
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct edge_client *client = context;
    struct memory_use memory = edge_memory_use(client->edge);
    client->last_received_at = cluster_now();
    buffer_append(&client->unread, bytes, size);
    if (!is_busy(client))
        parse_unread(client);
    else if (memory_share_must_pause(&memory, client->unread.size))
        tcp_stream_pause(client->stream, true);
}

static void on_ended(void *context, enum tcp_end end)
{
    struct edge_client *client = context;
    struct exchange *exchange = client->exchange;
    tcp_stream_close(client->stream);
    client->stream = NULL;
    client->exchange = NULL;
    if (exchange)
        exchange_cancel(exchange);
    free_if_unused(client);
}

static const struct tcp_stream_callbacks stream_callbacks = {.received = on_received,
                                                             .ended = on_ended};

void edge_client_accept(uv_stream_t *listener, int status)
{
    struct edge *edge = listener->data;
    if (status) {
        log_event(LOG_LEVEL_WARN, "client", "accept-failed", "error=\"%s\"", uv_strerror(status));
        return;
    }
    struct edge_client *client = memory_calloc(1, sizeof *client);
    client->edge = edge;
    client->next = edge->clients;
    client->link = &edge->clients;
    if (client->next)
        client->next->link = &client->next;
    edge->clients = client;
    prepare_next_request(client);
    client->stream = tcp_stream_accept(listener, &stream_callbacks, client);
    free_if_unused(client);
}

/* A stopping gateway still answers the requests that it has read. */
static bool keeps_connection(const struct edge_client *client)
{
    return client->request.keep_alive && !client->closes &&
           (!edge_is_stopping(client->edge) || client->unread.size);
}

/* \return whether the client may await answers to requests that were read behind the current one,
 * although the connection closes */
static bool owes_refusals(const struct edge_client *client)
{
    return client->request.keep_alive && client->unread.size && edge_is_stopping(client->edge);
}

/* The response was written: continues with the next request, or closes the connection. */
static void finish_response(struct edge_client *client, bool keep)
{
    client->exchange = NULL;
    if (!client->stream) {
        free_if_unused(client);
        return;
    }
    if (!keep && !owes_refusals(client)) {
        close_in_order(client);
        free_if_unused(client);
        return;
    }
    client->closes = !keep;
    prepare_next_request(client);
    tcp_stream_pause(client->stream, false);
    if (!client->parsing && client->unread.size)
        parse_unread(client);
}

void edge_client_send_response(struct edge_client *client, const struct buffer *head,
                               const void *body, size_t size)
{
    struct buffer response = {0};
    bool keep = keeps_connection(client);
    if (client->stream) {
        buffer_append(&response, head->data, head->size);
        buffer_append_format(&response, "Content-Length: %zu\r\n%s\r\n", size,
                             keep ? "" : "Connection: close\r\n");
        if (strcmp(http_message_method(&client->request), "HEAD") != 0)
            buffer_append(&response, body, size);
        tcp_stream_write(client->stream, response.data, response.size);
        buffer_clear(&response);
    }
    finish_response(client, keep);
}

void edge_client_stream_begin(struct edge_client *client, const struct buffer *head)
{
    struct buffer bytes = {0};
    client->streaming = true;
    client->keeps = keeps_connection(client);
    buffer_append(&bytes, head->data, head->size);
    buffer_append_format(&bytes, "Transfer-Encoding: chunked\r\n%s\r\n",
                         client->keeps ? "" : "Connection: close\r\n");
    if (client->stream)
        tcp_stream_write(client->stream, bytes.data, bytes.size);
    buffer_clear(&bytes);
}

void edge_client_stream_data(struct edge_client *client, const void *bytes, size_t size)
{
    struct buffer chunk = {0};
    if (!size || !client->stream)
        return;
    buffer_append_format(&chunk, "%zx\r\n", size);
    buffer_append(&chunk, bytes, size);
    buffer_append_text(&chunk, "\r\n");
    tcp_stream_write(client->stream, chunk.data, chunk.size);
    buffer_clear(&chunk);
}

void edge_client_stream_end(struct edge_client *client)
{
    client->streaming = false;
    if (client->stream)
        tcp_stream_write(client->stream, "0\r\n\r\n", 5);
    finish_response(client, client->keeps);
}

void edge_client_abort(struct edge_client *client)
{
    client->streaming = false;
    client->exchange = NULL;
    if (client->stream)
        tcp_stream_reset(client->stream);
    client->stream = NULL;
    free_if_unused(client);
}

void edge_client_release_held(struct edge *edge)
{
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        if (!client->awaits_configuration)
            continue;
        client->awaits_configuration = false;
        client->parsing = true; /* it must not be freed here */
        start_exchange(client);
        parse_unread(client);
    }
}

/* \return whether bytes of a further request were read */
static bool has_unread(const struct edge_client *client)
{
    return client->stream && (is_busy(client) ? client->unread.size > 0 : client->head_started > 0);
}

struct client_debt edge_client_debt(const struct edge *edge)
{
    struct tcp_closing closing = tcp_stream_closing();
    struct client_debt debt = {.unsent = closing.streams, .unsent_bytes = closing.owed_bytes};
    for (const struct edge_client *client = edge->clients; client; client = client->next) {
        size_t unsent = edge_client_unsent_bytes(client);
        debt.requests += is_busy(client);
        debt.unread += has_unread(client);
        debt.unsent += unsent > 0;
        debt.unsent_bytes += unsent;
    }
    return debt;
}

void edge_client_record_run_times(const struct edge *edge, uint64_t now)
{
    for (const struct edge_client *client = edge->clients; client; client = client->next)
        if (client->exchange)
            exchange_record_run_time(client->exchange, now);
}

static void log_owed(const struct edge_client *client)
{
    log_event(LOG_LEVEL_WARN, "client", "owed-connection",
              "busy=%d unsent_bytes=%zu unread_bytes=%zu head_started=%d", is_busy(client),
              edge_client_unsent_bytes(client), client->unread.size, client->head_started > 0);
}

/* Answers the request in progress, and refuses what else was read. */
static void answer_owed(struct edge_client *client)
{
    if (client->exchange)
        exchange_end_at_stop(client->exchange);
    else if (client->stream && client->head_started)
        reject_request(client, 503, edge_stop_retry_ms(client->edge));
    else
        return; /* nothing was read */
}

void edge_client_answer_owed(struct edge *edge)
{
    edge_client_release_held(edge);
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        if (edge_client_unsent_bytes(client) || has_unread(client))
            log_owed(client);
        client->parsing = true; /* it must not be freed here */
        answer_owed(client);
        parse_unread(client);
    }
}

void edge_client_close_idle(struct edge *edge)
{
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        if (is_busy(client) || !client->stream)
            continue;
        close_in_order(client);
        free_if_unused(client);
    }
}

void edge_client_fail_blocked(struct edge *edge)
{
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        if (client->exchange)
            exchange_fail_if_blocked(client->exchange);
    }
}

void edge_client_recheck_deadlines(struct edge *edge)
{
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        if (client->exchange)
            exchange_recheck_deadlines(client->exchange);
    }
}

static bool is_overdue(const struct edge_client *client, uint64_t now)
{
    const struct route_table *table = client->edge->table;
    uint64_t head_ms = table ? route_table_limits(table)->head_timeout_ms : DEFAULT_HEAD_TIMEOUT_MS;
    uint64_t idle_ms = table ? route_table_limits(table)->idle_timeout_ms : DEFAULT_IDLE_TIMEOUT_MS;
    if (!client->head_started)
        return now > client->idle_since + idle_ms * 1000;
    if (!client->request.head_complete)
        return now > client->head_started + head_ms * 1000;
    return now > client->last_received_at + idle_ms * 1000; /* a long body may arrive slowly */
}

static void drop_client(struct edge_client *client)
{
    struct exchange *exchange = client->exchange;
    metric_add(METRIC_CLIENTS_DROPPED, 1);
    log_event(LOG_LEVEL_WARN, "client", "dropped", "reason=memory unsent_bytes=%zu held_bytes=%zu",
              client->unsent_bytes, memory_held_by_buffers());
    tcp_stream_reset(client->stream);
    client->stream = NULL;
    client->exchange = NULL;
    if (exchange)
        exchange_cancel(exchange);
    free_if_unused(client);
}

void edge_client_drop_slow(struct edge *edge, uint64_t now)
{
    struct memory_use use = edge_memory_use(edge);
    bool is_full = !memory_share_accepts(&use, 0);
    size_t share = memory_share_of_connection(&use);
    metric_gauge_set(METRIC_BUFFER_MEMORY, use.held);
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        size_t unsent = edge_client_unsent_bytes(client);
        if (!unsent || unsent < client->unsent_bytes)
            client->last_taken_at = now;
        client->unsent_bytes = unsent;
        if (is_full && unsent > share && now > client->last_taken_at + SLOW_CLIENT_US) {
            drop_client(client);
            next = edge->clients; /* the slot that became free may have ended other requests */
        }
    }
}

void edge_client_close_expired(struct edge *edge, uint64_t now)
{
    for (struct edge_client *client = edge->clients, *next; client; client = next) {
        next = client->next;
        if (is_busy(client) || !client->stream || !is_overdue(client, now))
            continue;
        if (client->head_started) {
            reject_request(client, 408, 0);
        } else {
            tcp_stream_close(client->stream);
            client->stream = NULL;
        }
        free_if_unused(client);
    }
}

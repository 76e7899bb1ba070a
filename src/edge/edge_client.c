/* Client connections, with one request in progress at a time on each. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/edge_client_internal.h"

#include <stdlib.h>
#include <string.h>

/** Retry-After of requests that are refused for want of memory: slow clients are dropped by then.
 */
#define NO_MEMORY_RETRY_MS 2500
/* Limits until the first configuration is known. */
#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES 4194304

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

void edge_client_free_if_unused(struct edge_client *client)
{
    if (!client->stream && !client->parsing && !client->exchange)
        client_free(client);
}

static void close_in_order(struct edge_client *client)
{
    tcp_stream_finish(client->stream);
    client->stream = NULL;
}

void edge_client_reject(struct edge_client *client, unsigned status, uint32_t retry_ms)
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
    size_t expected = http_message_remaining_body(&client->request);
    if (!client->request.head_complete || edge_accepts_bytes(client->edge, expected))
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
            edge_client_reject(client, 503, NO_MEMORY_RETRY_MS);
        break;
    case HTTP_PARSE_DONE:
        client->arrived_at = cluster_now();
        client->awaits_configuration = edge_awaits_configuration(client->edge);
        if (!client->awaits_configuration)
            start_exchange(client);
        break;
    case HTTP_PARSE_MALFORMED:
        edge_client_reject(client, 400, 0);
        break;
    case HTTP_PARSE_HEAD_TOO_LARGE:
        edge_client_reject(client, 431, 0);
        break;
    case HTTP_PARSE_BODY_TOO_LARGE:
        edge_client_reject(client, 413, 0);
        break;
    }
}

/* The client counts as connected until then: it may be dropped for want of memory, and a planned
 * stop waits for it. */
static void close_when_taken(struct edge_client *client)
{
    buffer_clear(&client->unread);
    if (!edge_client_unsent_bytes(client)) {
        close_in_order(client);
        return;
    }
    prepare_next_request(client);
    client->closes_when_taken = true;
    tcp_stream_pause(client->stream, false);
}

void edge_client_parse_unread(struct edge_client *client)
{
    client->parsing = true;
    while (client->stream && !edge_client_is_busy(client) && client->unread.size) {
        if (!client->head_started)
            client->head_started = cluster_now();
        parse_request(client);
    }
    client->parsing = false;
    if (client->closes && client->stream && !edge_client_is_busy(client))
        close_when_taken(client);
    edge_client_free_if_unused(client);
}

static void on_received(void *context, const char *bytes, size_t size)
{
    struct edge_client *client = context;
    struct memory_use memory = edge_memory_use(client->edge);
    if (client->closes_when_taken)
        return;
    client->last_received_at = cluster_now();
    buffer_append(&client->unread, bytes, size);
    if (edge_client_is_busy(client)) {
        if (memory_share_must_pause(&memory, client->unread.size))
            tcp_stream_pause(client->stream, true);
        return;
    }
    /* This client has no request that could end. */
    exchange_reclaim_memory(client->edge);
    edge_client_parse_unread(client);
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
    edge_client_free_if_unused(client);
}

void edge_client_record_delivery(const struct edge_client *client, uint64_t now)
{
    if (client->delivered_route)
        edge_raise_run_time(client->edge, client->delivered_route,
                            now - client->delivery_arrived_at, now);
}

static void on_drained(void *context)
{
    struct edge_client *client = context;
    client->idle_since = cluster_now();
    edge_client_record_delivery(client, client->idle_since);
    client->delivered_route = 0;
    if (!client->closes_when_taken)
        return;
    close_in_order(client);
    edge_client_free_if_unused(client);
}

static const struct tcp_stream_callbacks stream_callbacks = {
    .received = on_received, .ended = on_ended, .drained = on_drained};

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
    edge_client_free_if_unused(client);
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
        edge_client_free_if_unused(client);
        return;
    }
    if (!keep && !owes_refusals(client)) {
        close_when_taken(client);
        edge_client_free_if_unused(client);
        return;
    }
    client->closes = !keep;
    client->promised = keep && edge_is_stopping(client->edge);
    prepare_next_request(client);
    tcp_stream_pause(client->stream, false);
    if (!client->parsing && client->unread.size)
        edge_client_parse_unread(client);
}

void edge_client_begin_delivery(struct edge_client *client, const char *route)
{
    client->delivered_route = edge_route(client->edge, route)->key;
    client->delivery_arrived_at = client->arrived_at;
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
    if (!edge_client_unsent_bytes(client))
        client->delivered_route = 0;
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
    edge_client_free_if_unused(client);
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
        edge_client_parse_unread(client);
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

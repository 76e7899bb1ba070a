/* Client connections that end for lack of progress: timeouts, and clients that take nothing while
 * memory is short. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/edge_client_internal.h"

/** A client that takes no byte for this long is dropped first when buffers are nearly full. */
#define SLOW_CLIENT_US 2000000
/* Timeouts until the first configuration is known. */
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 30000

static bool is_overdue(const struct edge_client *client, uint64_t now)
{
    const struct route_table *table = client->edge->table;
    uint64_t head_ms = table ? route_table_limits(table)->head_timeout_ms : DEFAULT_HEAD_TIMEOUT_MS;
    uint64_t idle_ms = table ? route_table_limits(table)->idle_timeout_ms : DEFAULT_IDLE_TIMEOUT_MS;
    if (!client->head_started)
        return !edge_client_unsent_bytes(client) && now > client->idle_since + idle_ms * 1000;
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
    edge_client_free_if_unused(client);
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
        if (edge_client_is_busy(client) || !client->stream || !is_overdue(client, now))
            continue;
        if (client->head_started) {
            edge_client_reject(client, 408, 0);
        } else {
            tcp_stream_close(client->stream);
            client->stream = NULL;
        }
        edge_client_free_if_unused(client);
    }
}

/* What the clients are owed when a planned stop ends: answers, refusals, bytes. */
#include "base/log.h"
#include "edge/edge_client_internal.h"

/* \return whether bytes of a further request were read */
static bool has_unread(const struct edge_client *client)
{
    return client->stream &&
           (edge_client_is_busy(client) ? client->unread.size > 0 : client->head_started > 0);
}

/* \return whether the client may be about to use a connection that it was promised */
static bool is_promised(const struct edge_client *client, uint64_t now)
{
    return client->promised && client->stream && !edge_client_is_busy(client) &&
           now < client->idle_since + STOP_PROMISE_US;
}

struct client_debt edge_client_debt(const struct edge *edge)
{
    uint64_t now = cluster_now();
    struct tcp_closing closing = tcp_stream_closing();
    struct client_debt debt = {.unsent = closing.streams, .unsent_bytes = closing.owed_bytes};
    for (const struct edge_client *client = edge->clients; client; client = client->next) {
        size_t unsent = edge_client_unsent_bytes(client);
        debt.requests += edge_client_is_busy(client);
        debt.unread += has_unread(client);
        debt.promised += is_promised(client, now);
        debt.unsent += unsent > 0;
        debt.unsent_bytes += unsent;
    }
    return debt;
}

void edge_client_record_run_times(const struct edge *edge, uint64_t now)
{
    for (const struct edge_client *client = edge->clients; client; client = client->next) {
        if (client->exchange)
            exchange_record_run_time(client->exchange, now);
        if (edge_client_unsent_bytes(client))
            edge_client_record_delivery(client, now);
    }
}

static void log_owed(const struct edge_client *client)
{
    log_event(LOG_LEVEL_WARN, "client", "owed-connection",
              "busy=%d unsent_bytes=%zu unread_bytes=%zu head_started=%d",
              edge_client_is_busy(client), edge_client_unsent_bytes(client), client->unread.size,
              client->head_started > 0);
}

/* Answers the request in progress, and refuses what else was read. */
static void answer_owed(struct edge_client *client)
{
    if (client->exchange)
        exchange_end_at_stop(client->exchange);
    else if (client->stream && client->head_started)
        edge_client_reject(client, 503, edge_stop_retry_ms(client->edge));
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
        edge_client_parse_unread(client);
    }
}

void edge_client_stop_reading(struct edge *edge)
{
    for (struct edge_client *client = edge->clients; client; client = client->next)
        if (client->stream)
            tcp_stream_pause(client->stream, true);
}

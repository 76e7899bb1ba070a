/* Requests at a planned stop: those that arrive after it began, and those that still run at its
 * end. */
#include "base/log.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"

#include <inttypes.h>

/* It arrived after the planned stop began. */
static void log_taken(const struct edge *edge, const struct edge_client *client,
                      const struct request_head *head, const struct run_bound *bound)
{
    metric_add(METRIC_STOP_TAKEN, 1);
    log_event(LOG_LEVEL_INFO, "request", "taken",
              "request=%s host=%s stop_ms=%" PRIu64 " timeout_ms=%" PRIu64 " longest_ms=%" PRIu64,
              head->id, head->host, edge_stop_elapsed_ms(edge, edge_client_arrived_at(client)),
              bound->deadline_us / US_PER_MS, bound->longest_us / US_PER_MS);
}

static void refuse(struct edge *edge, struct edge_client *client, const struct request_head *head,
                   const struct run_bound *bound)
{
    uint32_t retry_ms = edge_stop_retry_ms(edge);
    metric_add(METRIC_STOP_REFUSED, 1);
    log_event(LOG_LEVEL_INFO, "request", "refused-at-stop",
              "request=%s host=%s stop_ms=%" PRIu64 " timeout_ms=%" PRIu64 " longest_ms=%" PRIu64
              " closes=%d retry_ms=%u",
              head->id, head->host, edge_stop_elapsed_ms(edge, edge_client_arrived_at(client)),
              bound->deadline_us / US_PER_MS, bound->longest_us / US_PER_MS,
              edge_client_closes(client), retry_ms);
    exchange_send_local_response(edge, client, head->id, 503, retry_ms, "");
}

bool exchange_refuse_at_stop(struct edge *edge, struct edge_client *client,
                             const struct request_head *head, const struct route *route)
{
    if (!edge_is_stopping(edge))
        return false;
    uint64_t now = cluster_now();
    uint64_t deadline_at =
        edge_client_arrived_at(client) + exchange_timeout_ms(head, route) * US_PER_MS;
    struct run_time *run_time = &edge_route(edge, route->name)->run_time;
    struct run_bound bound = {.deadline_us = deadline_at > now ? deadline_at - now : 0};
    bound.longest_us = run_time_longest_us(run_time, bound.deadline_us, now);
    if (!edge_client_closes(client) && stop_plan_takes(&edge->stop, &bound, now)) {
        log_taken(edge, client, head, &bound);
        return false;
    }
    refuse(edge, client, head, &bound);
    return true;
}

void exchange_record_run_time(const struct exchange *exchange, uint64_t now)
{
    if (exchange->sends || exchange_is_sent(exchange))
        run_time_raise(&edge_route(exchange->edge, exchange->route->name)->run_time,
                       now - exchange->arrived_at, now);
}

/* The end of a planned stop finds the request without its final response. */
static void log_owed(const struct exchange *exchange)
{
    uint64_t now = cluster_now();
    log_event(LOG_LEVEL_WARN, "request", "owed-request",
              "request=%s route=%s backend=%s sent=%d events=%" PRIu64 " took_ms=%" PRIu64
              " left_ms=%" PRId64 " stop_ms=%" PRIu64 " unsent_bytes=%zu trail=\"%s\"",
              exchange->head.id, exchange->route->name,
              exchange->backend ? exchange->backend->listing.id : "-", exchange_is_sent(exchange),
              exchange->events.events, (now - exchange->arrived_at) / US_PER_MS,
              ((int64_t)exchange->deadline_at - (int64_t)now) / (int64_t)US_PER_MS,
              edge_stop_elapsed_ms(exchange->edge, now), edge_client_unsent_bytes(exchange->client),
              exchange->trail);
}

void exchange_end_at_stop(struct exchange *exchange)
{
    bool not_run = !exchange->may_have_run && !exchange_is_sent(exchange);
    log_owed(exchange);
    metric_add(METRIC_STOP_CUT, 1);
    exchange_fail(exchange, not_run ? 503 : 502, END_STOPPED);
}

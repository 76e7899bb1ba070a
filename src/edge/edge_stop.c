/* Planned stop: how long requests are taken, and when the process ends. */
#include "base/log.h"
#include "base/metrics.h"
#include "edge/edge_internal.h"

#include <inttypes.h>

/** Retry-After while other gateways accept clients. */
#define STOP_RETRY_MS 50
/** Random part that is added, so that clients do not retry all at once. */
#define STOP_RETRY_SPREAD_MS 100

void edge_stop_begin(struct edge *edge)
{
    if (edge_is_stopping(edge))
        return;
    edge->stop = (struct stop_plan){.begun_at = cluster_now(),
                                    .grace_us = edge->settings->stop_grace_s * 1000000};
    cluster_announce_draining(&edge->cluster);
    struct client_debt debt = edge_client_debt(edge);
    log_event(LOG_LEVEL_INFO, "process", "stopping",
              "grace_s=%" PRIu64 " requests=%u unread=%u unsent=%u unsent_bytes=%zu",
              edge->settings->stop_grace_s, debt.requests, debt.unread, debt.unsent,
              debt.unsent_bytes);
}

uint64_t edge_stop_elapsed_ms(const struct edge *edge, uint64_t now)
{
    return edge_is_stopping(edge) && now > edge->stop.begun_at ? (now - edge->stop.begun_at) / 1000
                                                               : 0;
}

uint32_t edge_stop_retry_ms(struct edge *edge)
{
    if (!edge_knows_other_gateway(edge))
        return exchange_no_backend_retry_ms(edge);
    return STOP_RETRY_MS + (uint32_t)random_below(&edge->random, STOP_RETRY_SPREAD_MS);
}

static void end_process(struct edge *edge, const struct client_debt *debt, uint64_t now)
{
    log_event(LOG_LEVEL_INFO, "process", "drained",
              "active=%u took_ms=%" PRIu64 " requests=%u unread=%u unsent=%u unsent_bytes=%zu",
              edge->active, edge_stop_elapsed_ms(edge, now), debt->requests, debt->unread,
              debt->unsent, debt->unsent_bytes);
    uv_stop(edge->loop);
}

/* No client is expected any more, or time is over. All that was read gets its answer, and clients
 * learn that their connections close, before the process ends. */
static void close_to_clients(struct edge *edge, uint64_t now)
{
    edge->closed_to_clients = true;
    log_event(LOG_LEVEL_INFO, "process", "closed-to-clients", "active=%u stop_ms=%" PRIu64,
              edge->active, edge_stop_elapsed_ms(edge, now));
    uv_close((uv_handle_t *)&edge->listener, NULL);
    edge_client_answer_owed(edge);
    edge_client_close_idle(edge);
}

void edge_stop_tick(struct edge *edge, uint64_t now)
{
    edge_client_record_run_times(edge, now);
    if (!stop_plan_address_released(&edge->stop, now))
        return;
    struct client_debt debt = edge_client_debt(edge);
    bool is_due = now >= stop_plan_answers_by(&edge->stop);
    if (!edge->closed_to_clients && (client_debt_is_none(&debt) || is_due))
        close_to_clients(edge, now);
    else if (edge->closed_to_clients &&
             (client_debt_is_none(&debt) || now >= stop_plan_ends_by(&edge->stop)))
        end_process(edge, &debt, now);
}

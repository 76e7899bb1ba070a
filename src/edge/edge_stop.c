/* Planned stop: how long requests are taken, and when the process ends. */
#include "base/log.h"
#include "base/metrics.h"
#include "edge/edge_internal.h"

#include <inttypes.h>

/** New requests are accepted for this long after a planned stop began, as clients keep an address
 * for up to three times ADDRESS_MAX_AGE_S. Requests in progress then still have time to finish. */
#define STOP_ACCEPT_PERIOD_US 3200000
/** The process exits this long before the end of the grace period, whatever is in progress. */
#define STOP_MARGIN_US 500000

void edge_stop_begin(struct edge *edge)
{
    if (edge->stopping_since)
        return;
    edge->stopping_since = cluster_now();
    cluster_announce_draining(&edge->cluster);
    struct client_debt debt = edge_client_debt(edge);
    log_event(LOG_LEVEL_INFO, "process", "stopping",
              "grace_s=%" PRIu64 " requests=%u unread=%u unsent=%u unsent_bytes=%zu",
              edge->settings->stop_grace_s, debt.requests, debt.unread, debt.unsent,
              debt.unsent_bytes);
}

uint64_t edge_stop_elapsed_ms(const struct edge *edge, uint64_t now)
{
    return edge->stopping_since && now > edge->stopping_since ? (now - edge->stopping_since) / 1000
                                                              : 0;
}

/* Closes the listener: a request that arrives now might not finish in time. */
static void stop_accepting(struct edge *edge)
{
    if (edge->listener_closed)
        return;
    edge->listener_closed = true;
    log_event(LOG_LEVEL_INFO, "process", "closed-to-clients", "active=%u", edge->active);
    uv_close((uv_handle_t *)&edge->listener, NULL);
    edge_client_close_idle(edge);
}

static void end_process(struct edge *edge, uint64_t now)
{
    struct client_debt debt = edge_client_debt(edge);
    edge_client_log_debts(edge);
    metric_add(METRIC_STOP_CUT, debt.requests);
    log_event(LOG_LEVEL_INFO, "process", "drained",
              "active=%u took_ms=%" PRIu64 " requests=%u unread=%u unsent=%u unsent_bytes=%zu",
              edge->active, edge_stop_elapsed_ms(edge, now), debt.requests, debt.unread,
              debt.unsent, debt.unsent_bytes);
    uv_stop(edge->loop);
}

void edge_stop_tick(struct edge *edge, uint64_t now)
{
    uint64_t grace = edge->settings->stop_grace_s * 1000000;
    uint64_t elapsed = now - edge->stopping_since;
    if (elapsed < STOP_ACCEPT_PERIOD_US)
        return;
    stop_accepting(edge);
    if (edge->active == 0 || elapsed + STOP_MARGIN_US > grace)
        end_process(edge, now);
}

/* Answers without a framing: they end with their connections, as they do when their backends crash,
 * and are held until their backends are shown to have lived on. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include "edge/liveness_check.h"

#include <inttypes.h>
#include <stdlib.h>

void exchange_log_unframed_end(const struct exchange *exchange,
                               const struct upstream_response *response)
{
    log_event(LOG_LEVEL_INFO, "request", "unframed-end",
              "request=%s backend=%s born=%" PRIu64 " status=%u events=%" PRIu64
              " body_bytes=%zu sent_ms_ago=%" PRIu64,
              exchange->head.id, exchange->backend->listing.id, exchange->backend->listing.born,
              response->head.properties.status, exchange->events.events,
              response->message.body_bytes, (cluster_now() - exchange->sent_at) / US_PER_MS);
}

static void log_liveness(const struct exchange *exchange, enum liveness liveness)
{
    log_event(liveness == LIVENESS_ALIVE ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "request",
              "unframed-checked",
              "request=%s backend=%s born=%" PRIu64 " outcome=%s waited_ms=%" PRIu64,
              exchange->head.id, exchange->backend->listing.id, exchange->backend->listing.born,
              liveness_name(liveness), (cluster_now() - exchange->unframed_end_at) / US_PER_MS);
}

/* Takes over the message of the response. */
static struct upstream_response *keep_response(struct upstream_response *response)
{
    struct upstream_response *kept = memory_calloc(1, sizeof *kept);
    *kept = *response;
    response->message = (struct http_message){0};
    return kept;
}

static void free_response(struct upstream_response *response)
{
    http_message_clear(&response->message);
    free(response);
}

void exchange_drop_unproved(struct exchange *exchange)
{
    if (exchange->unproved_response)
        free_response(exchange->unproved_response);
    exchange->unproved_response = NULL;
}

void exchange_await_liveness(struct exchange *exchange, struct upstream_response *response)
{
    if (response)
        exchange->unproved_response = keep_response(response);
    exchange->unframed_end_at = cluster_now();
    liveness_check_join(exchange);
    exchange_arm_timer(exchange);
}

static void forward(struct exchange *exchange)
{
    struct upstream_response *response = exchange->unproved_response;
    exchange->unproved_response = NULL;
    if (!response) {
        exchange_complete_stream(exchange);
        return;
    }
    exchange_forward_whole(exchange, response);
    free_response(response);
}

void exchange_on_liveness(struct exchange *exchange, enum liveness liveness)
{
    struct edge *edge = exchange->edge;
    bool is_whole = liveness == LIVENESS_ALIVE;
    log_liveness(exchange, liveness);
    metric_add(is_whole ? METRIC_UNFRAMED_WHOLE : METRIC_UNFRAMED_UNPROVED, 1);
    if (is_whole)
        forward(exchange);
    else
        exchange_on_attempt_failed(exchange, BACKEND_BROKEN, END_UNFRAMED);
    exchange_dispatch_queued(edge);
}

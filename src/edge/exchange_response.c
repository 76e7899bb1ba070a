/* Handles upstream events, and forwards complete responses to the client. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Statuses from here on are failures of the backend, not of the request. */
#define FIRST_SERVER_ERROR 500
/** Backends wait longer than this before they close a connection whose bytes are not read. */
#define UNREAD_MIN_US 1000000

bool exchange_is_mismatched_response(const struct exchange *exchange,
                                     const struct response_head *head)
{
    return exchange->head.id[0] && strcmp(head->request_id, exchange->head.id) != 0;
}

void exchange_write_head(const struct http_message *message, struct buffer *head)
{
    unsigned status = http_message_status(message);
    buffer_append_format(head, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_response(message, head);
}

void exchange_count_done(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    metric_add(METRIC_REQUESTS_DONE, 1);
    if (edge->has_responded)
        return;
    edge->has_responded = true;
    metric_gauge_set(METRIC_FIRST_ANSWER_MS, (cluster_now() - edge->started_at) / US_PER_MS);
}

void exchange_complete_run(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    run_time_complete(&edge_route(exchange->edge, exchange->route->name)->run_time,
                      now - exchange->arrived_at, now);
}

/* Forwards a complete response of the backend to the client. */
static void forward_response(struct exchange *exchange, struct http_message *message,
                             enum end_reason reason)
{
    struct buffer head = {0};
    struct edge_client *client = exchange->client;
    exchange_write_head(message, &head);
    exchange_count_done(exchange);
    if (reason == END_DONE)
        exchange_complete_run(exchange);
    metric_observe(METRIC_WHOLE_ANSWER, cluster_now() - exchange->arrived_at);
    exchange_log_end(exchange, http_message_status(message), reason, exchange_last_tried(exchange));
    edge_client_begin_delivery(client, exchange->route->name);
    exchange_finish(exchange);
    edge_client_send_response(client, &head, message->body.data, message->body.size);
    buffer_clear(&head);
}

static void note_first_byte(struct exchange *exchange)
{
    if (exchange->first_byte_received_at)
        return;
    exchange->first_byte_received_at = cluster_now();
    if (exchange->route->kind == ROUTE_STREAM && !exchange->streaming)
        metric_observe(METRIC_FIRST_EVENT, exchange->first_byte_received_at - exchange->arrived_at);
    backend_request_answered(exchange->backend, exchange->head.prompt_tokens,
                             exchange->first_byte_received_at - exchange->sent_at,
                             exchange->first_byte_received_at);
}

static void on_progress(struct exchange *exchange, struct upstream_response *response)
{
    note_first_byte(exchange);
    if (exchange->route->kind != ROUTE_STREAM ||
        classify_answer(&response->head.properties) != ANSWER_SUCCEEDED) {
        exchange_give_up_if_memory_full(exchange, exchange_held_bytes(exchange, response));
        return; /* buffered until it is complete */
    }
    if (!exchange->version)
        exchange->version = response->head.version;
    exchange_forward_events(exchange, &response->message);
    if (exchange->upstream &&
        exchange_give_up_if_memory_full(exchange, exchange_held_bytes(exchange, response)))
        return;
    struct memory_use memory = edge_memory_use(exchange->edge);
    if (exchange->upstream &&
        memory_share_must_pause(&memory, edge_client_unsent_bytes(exchange->client))) {
        exchange->paused = true;
        exchange->paused_since = cluster_now();
        upstream_pause(exchange->upstream, true);
        exchange_arm_timer(exchange);
    }
}

static void on_misdirected(struct exchange *exchange, const struct response_head *head)
{
    struct backend *backend = exchange->backend;
    if (!head->instance[0] || strcmp(head->instance, backend->listing.id) == 0)
        return;
    log_event(LOG_LEVEL_WARN, "backend", "replaced", "expected=%s found=%s address=%s",
              backend->listing.id, head->instance, backend->listing.address);
    backend_pool_remove(exchange->edge->pool, backend);
}

void exchange_on_attempt_failed(struct exchange *exchange, enum backend_result result,
                                enum end_reason reason)
{
    bool stream = exchange->route->kind == ROUTE_STREAM;
    bool may_have_crashed = reason == END_CONNECTION_BROKEN || reason == END_TRUNCATED_EVENT ||
                            reason == END_EMPTY_STREAM || reason == END_UNFRAMED;
    if (may_have_crashed)
        exchange_on_run_lost(exchange, reason);
    exchange_end_attempt(exchange, result);
    exchange->may_have_run = true;
    event_stream_drop_partial(&exchange->events);
    if (stream && exchange->streaming) {
        if (!exchange->route->resumable) {
            exchange_fail(exchange, 502, reason);
            return;
        }
        exchange->resuming = true;
        metric_add(METRIC_RESUMES, 1);
    }
    exchange_retry(exchange, reason);
}

/* A retry may succeed, if the request allows it and another backend has room. */
static bool should_retry_after_error(struct exchange *exchange, unsigned status)
{
    struct attempt_facts facts = exchange_facts(exchange, cluster_now());
    facts.may_have_run = true;
    return status >= FIRST_SERVER_ERROR && attempt_may_retry(&facts) &&
           exchange_has_alternative(exchange, 0);
}

/* The backend did not run the request. */
static void on_not_run(struct exchange *exchange, const struct answer_properties *facts,
                       enum backend_result result, enum end_reason reason)
{
    exchange_end_attempt(exchange, result);
    exchange->refusals += exchange->streaming;
    exchange->backoffs += answer_backoff_us(facts) > 0;
    exchange_retry(exchange, reason);
}

void exchange_forward_whole(struct exchange *exchange, struct upstream_response *response)
{
    bool succeeded = classify_answer(&response->head.properties) == ANSWER_SUCCEEDED;
    exchange_end_attempt(exchange, succeeded ? BACKEND_SUCCEEDED : BACKEND_ERROR);
    if (succeeded)
        exchange_clear_suspicion(exchange);
    forward_response(exchange, &response->message, succeeded ? END_DONE : END_BACKEND_ERROR);
}

/* The whole answer was received, as far as its framing tells. */
static void on_ended_answer(struct exchange *exchange, struct upstream_response *response)
{
    if (response->message.framed)
        exchange_forward_whole(exchange, response);
    else
        exchange_await_liveness(exchange, response);
}

static void on_delivered(struct exchange *exchange, struct upstream_response *response)
{
    if (exchange->route->kind != ROUTE_STREAM) {
        on_ended_answer(exchange, response);
        return;
    }
    if (!exchange->version)
        exchange->version = response->head.version;
    exchange_finish_stream(exchange, &response->message);
}

static void on_failed(struct exchange *exchange, struct upstream_response *response)
{
    if (exchange->streaming) { /* a resumed stream cannot end in another response */
        exchange_on_attempt_failed(exchange, BACKEND_ERROR, END_RESUME_REFUSED);
        return;
    }
    if (should_retry_after_error(exchange, response->head.properties.status)) {
        exchange_end_attempt(exchange, BACKEND_ERROR);
        exchange->may_have_run = true;
        exchange_retry(exchange, END_BACKEND_ERROR);
        return;
    }
    on_ended_answer(exchange, response);
}

static void on_complete(struct exchange *exchange, struct upstream_response *response)
{
    if (!response->message.framed)
        exchange_log_unframed_end(exchange, response);
    switch (classify_answer(&response->head.properties)) {
    case ANSWER_SUCCEEDED:
        on_delivered(exchange, response);
        break;
    case ANSWER_NOT_RUN:
        on_not_run(exchange, &response->head.properties, BACKEND_REFUSED, END_REFUSED);
        break;
    case ANSWER_MISDIRECTED:
        on_misdirected(exchange, &response->head);
        on_not_run(exchange, &response->head.properties, BACKEND_CANCELLED, END_MISDIRECTED);
        break;
    case ANSWER_UNVERIFIED:
        exchange_on_attempt_failed(exchange, BACKEND_BROKEN, END_NO_SEAL);
        break;
    case ANSWER_FAILED:
        on_failed(exchange, response);
        break;
    }
}

void exchange_count_send(struct exchange *exchange)
{
    if (exchange->send_counted)
        return;
    exchange->send_counted = true;
    exchange->sends++;
}

static bool was_unread_for_long(const struct exchange *exchange)
{
    return exchange->paused && cluster_now() > exchange->paused_since + UNREAD_MIN_US;
}

/* Backends close connections whose bytes nobody reads. The client caused that, so it counts neither
 * against the backend nor as a crash, and another backend would fare the same. */
static void on_unread_stream_ended(struct exchange *exchange)
{
    exchange_end_attempt(exchange, BACKEND_CANCELLED);
    exchange_fail(exchange, 502, END_CLIENT_SLOW);
}

/* An update on the backend arrived while the connection was being established. */
static void log_withheld(const struct exchange *exchange)
{
    const struct backend *backend = exchange->backend;
    uint64_t now = cluster_now();
    uint64_t backoff_ms =
        backend->backoff_until > now ? (backend->backoff_until - now) / US_PER_MS : 0;
    metric_add(METRIC_SENDS_WITHHELD, 1);
    log_event(LOG_LEVEL_INFO, "request", "withheld",
              "request=%s backend=%s listed=%d draining=%d leaving=%d evacuated=%d cold=%d "
              "rate_limited=%d "
              "backoff_ms=%" PRIu64 " took_ms=%" PRIu64,
              exchange->head.id, backend->listing.id, backend->listed, backend->listing.draining,
              backend->leaving || backend->load.leaving, backend->evacuated,
              now < backend->cold_until, backend->rate.limited, backoff_ms,
              (now - exchange->sent_at) / US_PER_MS);
}

void exchange_on_upstream_event(struct exchange *exchange, enum upstream_event event,
                                struct upstream_response *response)
{
    if (event != UPSTREAM_PROGRESS)
        exchange->upstream = NULL;
    if (event != UPSTREAM_NOT_SENT && event != UPSTREAM_WITHHELD)
        exchange_count_send(exchange);
    struct edge *edge = exchange->edge;
    switch (event) {
    case UPSTREAM_PROGRESS:
        on_progress(exchange, response);
        return;
    case UPSTREAM_DONE:
        note_first_byte(exchange);
        on_complete(exchange, response);
        break;
    case UPSTREAM_BROKEN:
        if (was_unread_for_long(exchange))
            on_unread_stream_ended(exchange);
        else
            exchange_on_attempt_failed(exchange, BACKEND_BROKEN, END_CONNECTION_BROKEN);
        break;
    case UPSTREAM_WITHHELD:
        log_withheld(exchange);
        exchange_end_attempt(exchange, BACKEND_CANCELLED);
        exchange_dispatch(exchange);
        break;
    case UPSTREAM_NOT_SENT:
        exchange_end_attempt(exchange, BACKEND_UNREACHABLE);
        exchange_dispatch(exchange);
        break;
    }
    exchange_dispatch_queued(edge);
}

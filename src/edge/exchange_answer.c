/* Answers of back ends: what is whole and belongs to the request goes to the client. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Statuses from here on are failures of the back end, not of the request. */
#define FIRST_SERVER_ERROR 500

bool exchange_is_foreign(const struct exchange *exchange, const struct answer_head *head)
{
    return exchange->head.id[0] && strcmp(head->request_id, exchange->head.id) != 0;
}

static void write_head(const struct http_message *message, struct buffer *head)
{
    unsigned status = http_message_status(message);
    buffer_append_format(head, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_answer(message, head);
}

static void count_done(struct edge *edge)
{
    metric_add(METRIC_REQUESTS_DONE, 1);
    if (edge->answered)
        return;
    edge->answered = true;
    metric_gauge_set(METRIC_FIRST_ANSWER_MS, (cluster_now() - edge->started) / MS_US);
}

/* A whole answer of the back end goes to the client as it is. */
static void pass_on(struct exchange *exchange, struct http_message *message,
                    enum exchange_end reason)
{
    struct buffer head = {0};
    struct edge_client *client = exchange->client;
    write_head(message, &head);
    count_done(exchange->edge);
    metric_observe(METRIC_WHOLE_ANSWER, cluster_now() - exchange->arrived);
    exchange_log_end(exchange, http_message_status(message), reason, exchange_last_tried(exchange));
    exchange_finish(exchange);
    edge_client_answer(client, &head, message->body.data, message->body.size);
    buffer_clear(&head);
}

static void begin_stream(struct exchange *exchange, struct http_message *message)
{
    struct buffer head = {0};
    write_head(message, &head);
    edge_client_stream_begin(exchange->client, &head);
    buffer_clear(&head);
    exchange->streaming = true;
}

/* Take new bytes of a stream's body, and hand on the events that are whole. */
static void pass_events(struct exchange *exchange, struct http_message *message)
{
    struct buffer whole = {0};
    event_stream_feed(&exchange->events, message->body.data, message->body.size, &whole);
    buffer_reset(&message->body);
    if (whole.size) {
        uint64_t now = cluster_now();
        if (exchange->streaming)
            metric_observe(METRIC_EVENT_PAUSE, now - exchange->last_event_at);
        exchange->last_event_at = now;
        if (!exchange->streaming)
            begin_stream(exchange, message);
        edge_client_stream_data(exchange->client, whole.data, whole.size);
    }
    buffer_clear(&whole);
}

static void note_first_byte(struct exchange *exchange)
{
    if (exchange->first_byte_at)
        return;
    exchange->first_byte_at = cluster_now();
    if (exchange->route->kind == ROUTE_STREAM && !exchange->streaming)
        metric_observe(METRIC_FIRST_EVENT, exchange->first_byte_at - exchange->arrived);
    backend_answers(exchange->backend, exchange->head.tokens_in,
                    exchange->first_byte_at - exchange->sent_at, exchange->first_byte_at);
}

static void on_progress(struct exchange *exchange, struct upstream_answer *answer)
{
    note_first_byte(exchange);
    if (exchange->route->kind != ROUTE_STREAM ||
        answer_meaning(&answer->head.facts) != ANSWER_DELIVERED)
        return; /* kept until it is complete */
    if (!exchange->version)
        exchange->version = answer->head.version;
    pass_events(exchange, &answer->message);
    if (exchange->upstream && edge_client_pending(exchange->client) > CLIENT_PENDING_MOST) {
        exchange->paused = true;
        upstream_pause(exchange->upstream, true);
        exchange_arm(exchange);
    }
}

static void finish_stream(struct exchange *exchange, struct http_message *message)
{
    struct edge_client *client = exchange->client;
    pass_events(exchange, message);
    if (exchange->events.partial.size) {
        /* Complete by its framing, but torn: no whole answer. */
        exchange_on_broken(exchange, BACKEND_BROKEN, END_TORN);
        return;
    }
    if (!exchange->streaming)
        begin_stream(exchange, message);
    if (!exchange->resuming)
        stream_length_record(&exchange->state_of_service->stream_length,
                             exchange->head.tokens_guess, cluster_now() - exchange->sent_at);
    exchange_end_attempt(exchange, BACKEND_SUCCEEDED);
    exchange_ran_well(exchange);
    count_done(exchange->edge);
    exchange_log_end(exchange, 200, END_DONE, exchange_first_tried(exchange));
    exchange_finish(exchange);
    edge_client_stream_end(client);
}

static void on_misdirected(struct exchange *exchange, const struct answer_head *head)
{
    struct backend *backend = exchange->backend;
    if (!head->instance[0] || strcmp(head->instance, backend->listing.id) == 0)
        return;
    log_event(LOG_LEVEL_WARN, "backend", "replaced", "expected=%s found=%s address=%s",
              backend->listing.id, head->instance, backend->listing.address);
    backend_pool_replaced(exchange->edge->pool, backend);
}

void exchange_on_broken(struct exchange *exchange, enum backend_result result,
                        enum exchange_end reason)
{
    bool stream = exchange->route->kind == ROUTE_STREAM;
    if (reason == END_BROKEN)
        exchange_on_lost_run(exchange);
    exchange_end_attempt(exchange, result);
    exchange->may_have_run = true;
    event_stream_drop_partial(&exchange->events);
    if (stream && exchange->streaming) {
        if (!exchange->route->resumable) {
            exchange_give_up(exchange, 502, reason);
            return;
        }
        exchange->resuming = true;
        metric_add(METRIC_RESUMES, 1);
    }
    exchange_try_again(exchange, reason);
}

/* Another back end may do better, if the request may be repeated and there is one with room. */
static bool goes_on_after_error(struct exchange *exchange, unsigned status)
{
    struct attempt_facts facts = exchange_facts(exchange, cluster_now());
    facts.may_have_run = true;
    return status >= FIRST_SERVER_ERROR && attempt_may_retry(&facts) &&
           exchange_has_other(exchange, 0);
}

/* The back end did not run it. */
static void on_not_run(struct exchange *exchange, const struct answer_facts *facts,
                       enum backend_result result, enum exchange_end reason)
{
    exchange_end_attempt(exchange, result);
    exchange->refusals += exchange->streaming;
    exchange->backoffs += answer_backoff_us(facts) > 0;
    exchange_try_again(exchange, reason);
}

static void on_delivered(struct exchange *exchange, struct upstream_answer *answer)
{
    if (exchange->route->kind == ROUTE_STREAM) {
        if (!exchange->version)
            exchange->version = answer->head.version;
        finish_stream(exchange, &answer->message);
        return;
    }
    exchange_end_attempt(exchange, BACKEND_SUCCEEDED);
    exchange_ran_well(exchange);
    pass_on(exchange, &answer->message, END_DONE);
}

static void on_failed(struct exchange *exchange, struct upstream_answer *answer)
{
    if (exchange->streaming) { /* a resumed stream cannot end in another answer */
        exchange_on_broken(exchange, BACKEND_ERROR, END_RESUME_REFUSED);
        return;
    }
    if (goes_on_after_error(exchange, answer->head.facts.status)) {
        exchange_end_attempt(exchange, BACKEND_ERROR);
        exchange->may_have_run = true;
        exchange_try_again(exchange, END_BACKEND_ERROR);
        return;
    }
    exchange_end_attempt(exchange, BACKEND_ERROR);
    pass_on(exchange, &answer->message, END_BACKEND_ERROR);
}

static void on_done(struct exchange *exchange, struct upstream_answer *answer)
{
    switch (answer_meaning(&answer->head.facts)) {
    case ANSWER_DELIVERED:
        on_delivered(exchange, answer);
        break;
    case ANSWER_NOT_RUN:
        on_not_run(exchange, &answer->head.facts, BACKEND_REFUSED, END_REFUSED);
        break;
    case ANSWER_ELSEWHERE:
        on_misdirected(exchange, &answer->head);
        on_not_run(exchange, &answer->head.facts, BACKEND_CANCELLED, END_MISDIRECTED);
        break;
    case ANSWER_UNPROVEN:
        exchange_on_broken(exchange, BACKEND_BROKEN, END_NO_SEAL);
        break;
    case ANSWER_FAILED:
        on_failed(exchange, answer);
        break;
    }
}

void exchange_count_send(struct exchange *exchange)
{
    if (exchange->counted)
        return;
    exchange->counted = true;
    exchange->sends++;
}

/* News of the back end came while the connection did. */
static void log_withheld(const struct exchange *exchange)
{
    const struct backend *backend = exchange->backend;
    uint64_t now = cluster_now();
    metric_add(METRIC_SENDS_WITHHELD, 1);
    log_event(LOG_LEVEL_INFO, "request", "withheld",
              "request=%s backend=%s listed=%d draining=%d leaving=%d backoff_ms=%" PRIu64
              " took_ms=%" PRIu64,
              exchange->head.id, backend->listing.id, backend->listed, backend->listing.draining,
              backend->leaving || backend->load.leaving,
              backend->backoff_until > now ? (backend->backoff_until - now) / MS_US : 0,
              (now - exchange->sent_at) / MS_US);
}

void exchange_on_upstream(struct exchange *exchange, enum upstream_event event,
                          struct upstream_answer *answer)
{
    if (event != UPSTREAM_PROGRESS)
        exchange->upstream = NULL;
    if (event != UPSTREAM_NOT_SENT && event != UPSTREAM_WITHHELD)
        exchange_count_send(exchange);
    struct edge *edge = exchange->edge;
    switch (event) {
    case UPSTREAM_PROGRESS:
        on_progress(exchange, answer);
        return;
    case UPSTREAM_DONE:
        note_first_byte(exchange);
        on_done(exchange, answer);
        break;
    case UPSTREAM_BROKEN:
        exchange_on_broken(exchange, BACKEND_BROKEN, END_BROKEN);
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
    exchange_dispatch_waiting(edge);
}

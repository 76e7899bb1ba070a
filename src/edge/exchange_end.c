/* Ends of requests and attempts: local responses, Retry-After, one log line per request. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include "edge/liveness_check.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Retry-After while no engine serves at all: such an outage lasts for seconds, and clients wait
 * for at most a third of their deadline, 2.0 s of 6. */
#define NO_BACKEND_RETRY_MS 1700
/** Random part that is added, so that clients do not retry all at once. */
#define NO_BACKEND_RETRY_SPREAD_MS 500
/** Retries after the end of a backoff of all backends are spread over this time: each backend first
 * gets a single request from a gateway, which takes about as long to show that it works. */
#define BACKOFF_RETRY_SPREAD_MS 500
/** Retry-After while engines are full. The moving share covers about one second of requests; a
 * fifth of them refused means that engines will stay full for a while. */
static const struct retry_after_settings full_retry_settings = {
    .weight = 0.05, .saturation_share = 0.2, .min_ms = 500, .max_ms = 1200, .jitter_percent = 65};

/* Bodies of the response to a request that crashes backends. It has no Retry-After, as the request
 * would crash the next backend too. */
#define BLOCKED_TEXT                                                                               \
    "This request is not run: several back ends ended while they ran it. Do not send it again "    \
    "unchanged.\n"
#define BLOCKED_PART_TEXT                                                                          \
    "This request is not run: several back ends ended while they ran requests with the part "      \
    "%08" PRIx64 " of its prompt. Do not send this part again.\n"
#define BLOCKED_TEXT_SIZE 200

/* --- Trail of attempts, for the log line --- */

void exchange_trail_append(struct exchange *exchange, const char *format, ...)
{
    size_t room = sizeof exchange->trail - exchange->trail_length;
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(exchange->trail + exchange->trail_length, room, format, arguments);
    va_end(arguments);
    if (length > 0)
        exchange->trail_length += (size_t)length < room ? (size_t)length : room - 1;
}

void exchange_trail_append_send(struct exchange *exchange, const struct backend *backend,
                                uint64_t now)
{
    const struct edge *edge = exchange->edge;
    uint64_t age_ms = backend->load_at ? (now - backend->load_at) / US_PER_MS : 0;
    exchange_trail_append(exchange,
                          "%s@%" PRIu64 "ms:occupancy=%u,load_age=%" PRIu64
                          "ms,distance=%u,weights=%" PRIu64,
                          backend->listing.id, (now - exchange->arrived_at) / US_PER_MS,
                          backend_occupancy(edge->pool, backend, now), age_ms, backend->distance,
                          backend->load.version);
}

static const char *const end_names[] = {
    [END_DONE] = "done",
    [END_DEADLINE] = "time-out",
    [END_BACKENDS_FULL] = "full",
    [END_NO_BACKEND] = "no-backend",
    [END_BACKED_OFF] = "backed-off",
    [END_RATE_LIMITED] = "rate-limited",
    [END_NO_CONNECTION] = "no-connection",
    [END_BACKEND_SILENT] = "silent",
    [END_CONNECTION_BROKEN] = "broken",
    [END_TRUNCATED_EVENT] = "torn",
    [END_EMPTY_STREAM] = "empty",
    [END_UNFRAMED] = "unframed",
    [END_NO_SEAL] = "no-seal",
    [END_MEMORY] = "memory",
    [END_REFUSED] = "refused",
    [END_MISDIRECTED] = "misdirected",
    [END_RESUME_REFUSED] = "resume-refused",
    [END_BACKEND_ERROR] = "backend-error",
    [END_BLOCKED] = "crashes-back-ends",
    [END_HELD] = "held",
    [END_CLIENT_SLOW] = "client-slow",
    [END_STOPPED] = "stopped",
    [END_NO_REGION] = "no-region",
};

const char *end_reason_name(enum end_reason end)
{
    return end_names[end];
}

/* Counts a stream that was aborted after it had begun. */
static void count_cut_stream(enum end_reason reason)
{
    switch (reason) {
    case END_DEADLINE:
    case END_STOPPED:
        metric_add(METRIC_STREAMS_CUT_TIME, 1);
        break;
    case END_NO_BACKEND:
        metric_add(METRIC_STREAMS_CUT_NO_BACKEND, 1);
        break;
    case END_REFUSED:
    case END_MISDIRECTED:
        metric_add(METRIC_STREAMS_CUT_REFUSED, 1);
        break;
    case END_BACKEND_SILENT:
        metric_add(METRIC_STREAMS_CUT_SILENT, 1);
        break;
    case END_CLIENT_SLOW:
        metric_add(METRIC_STREAMS_CUT_CLIENT_SLOW, 1);
        break;
    case END_BLOCKED:
        metric_add(METRIC_STREAMS_CUT_BLOCKED, 1);
        break;
    default:
        metric_add(METRIC_STREAMS_CUT_BROKEN, 1);
    }
}

/* --- End of an exchange --- */

static void on_timer_closed(uv_handle_t *handle)
{
    struct exchange *exchange = handle->data;
    for (uint32_t i = 0; i < exchange->tried_count; i++)
        backend_release(exchange->tried[i].backend);
    event_stream_clear(&exchange->events);
    route_table_release(exchange->table);
    free(exchange);
}

static const char *const result_names[] = {
    [BACKEND_SUCCEEDED] = "succeeded", [BACKEND_ERROR] = "error",
    [BACKEND_REFUSED] = "refused",     [BACKEND_BROKEN] = "broken",
    [BACKEND_TIMED_OUT] = "silent",    [BACKEND_UNREACHABLE] = "unreachable",
    [BACKEND_CANCELLED] = "cancelled",
};

/* Keeps count of ended backends, as the end of an engine does not count as an attempt of its
 * stream. */
static void drop_first_tried(struct exchange *exchange)
{
    exchange->ended_before += tried_has_ended(&exchange->tried[0]);
    backend_release(exchange->tried[0].backend);
    memmove(exchange->tried, exchange->tried + 1,
            (BACKEND_MAX_EXCLUDED - 1) * sizeof exchange->tried[0]);
    exchange->tried_count--;
    exchange->excluded_from -= exchange->excluded_from > 0;
}

/* Takes over the reference to the backend. */
static void add_tried(struct exchange *exchange, struct backend *backend, bool ran)
{
    if (exchange->tried_count == BACKEND_MAX_EXCLUDED)
        drop_first_tried(exchange);
    exchange->tried[exchange->tried_count++] = (struct tried_backend){backend, ran};
}

const struct backend *exchange_first_tried(const struct exchange *exchange)
{
    return exchange->tried_count ? exchange->tried[0].backend : NULL;
}

const struct backend *exchange_last_tried(const struct exchange *exchange)
{
    return exchange->tried_count ? exchange->tried[exchange->tried_count - 1].backend : NULL;
}

void exchange_end_attempt(struct exchange *exchange, enum backend_result result)
{
    uint64_t now = cluster_now();
    struct backend *backend = exchange->backend;
    if (exchange->upstream)
        upstream_cancel(exchange->upstream);
    liveness_check_leave(exchange);
    exchange_drop_unproved(exchange);
    exchange->upstream = NULL;
    exchange->backend = NULL;
    if (!backend)
        return;
    if (!exchange->first_byte_received_at)
        backend_request_answered(backend, exchange->head.prompt_tokens, 0, now);
    uint64_t latency = exchange->first_byte_received_at && !exchange->resuming
                           ? exchange->first_byte_received_at - exchange->sent_at
                           : 0;
    if (backend_request_ended(exchange->edge->pool, backend, result, latency, now)) {
        metric_add(METRIC_EJECTIONS, 1);
        log_event(LOG_LEVEL_WARN, "backend", "ejected",
                  "id=%s request=%s result=%s failures=%u share=%.2f for_ms=%" PRIu64,
                  backend->listing.id, exchange->head.id, result_names[result], backend->failures,
                  backend->failure_rate, backend->ejection_us / US_PER_MS);
    }
    exchange_trail_append(exchange, ",%s;", result_names[result]);
    add_tried(exchange, backend, result == BACKEND_BROKEN);
}

/* Aborted streams have their own event: the log limits the lines of each event, and many refusals
 * must not displace the line that shows why a client lost its stream. */
static const char *end_event(const struct exchange *exchange, bool succeeded)
{
    if (succeeded)
        return "answered";
    return exchange->streaming ? "cut" : "failed";
}

void exchange_log_end(const struct exchange *exchange, unsigned status, enum end_reason reason,
                      const struct backend *backend)
{
    uint64_t now = cluster_now();
    bool succeeded = status >= 200 && status < 300 && reason == END_DONE;
    log_event(
        succeeded ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "request", end_event(exchange, succeeded),
        "request=%s route=%s service=%s status=%u reason=%s backend=%s sends=%u events=%" PRIu64
        " weights=%" PRIu64 " took_ms=%" PRIu64 " left_ms=%" PRId64 " config=%" PRIu64
        " waiting=%d client_retry=%d restricted=%d regions=%" PRIx64 " trail=\"%s\"",
        exchange->head.id, exchange->route->name, exchange->service->name, status,
        end_names[reason], backend ? backend->listing.id : "-", exchange->sends,
        exchange->events.events, exchange->version, (now - exchange->arrived_at) / US_PER_MS,
        ((int64_t)exchange->deadline_at - (int64_t)now) / (int64_t)US_PER_MS,
        route_table_version(exchange->table), exchange->is_queued, exchange->is_client_retry,
        exchange->residency.restricted, exchange->residency.regions, exchange->trail);
}

void exchange_finish(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    exchange_dequeue(exchange);
    exchange_record_run_time(exchange, cluster_now());
    exchange_end_attempt(exchange, BACKEND_CANCELLED);
    edge->active--;
    uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

uint32_t exchange_no_backend_retry_ms(struct edge *edge)
{
    return NO_BACKEND_RETRY_MS + (uint32_t)random_below(&edge->random, NO_BACKEND_RETRY_SPREAD_MS);
}

void exchange_record_slot_result(struct exchange *exchange, bool found)
{
    retry_after_record(&exchange->service_state->retry_after, &full_retry_settings, !found);
    if (!exchange->is_client_retry)
        overload_record(&exchange->service_state->overload, !found, cluster_now());
}

static uint32_t retry_after_ms(struct exchange *exchange, enum end_reason reason)
{
    struct edge *edge = exchange->edge;
    if (reason == END_STOPPED)
        return edge_stop_retry_ms(edge);
    uint64_t now = cluster_now();
    uint64_t withheld_until = exchange_withheld_until(exchange, now);
    uint64_t held_until = exchange_held_until(exchange, now);
    if (held_until > withheld_until)
        withheld_until = held_until;
    if (withheld_until)
        return (uint32_t)((withheld_until - now) / US_PER_MS) + 1 +
               (uint32_t)random_below(&edge->random, BACKOFF_RETRY_SPREAD_MS);
    if (exchange->no_backend)
        return exchange_no_backend_retry_ms(edge);
    return retry_after_delay_ms(&exchange->service_state->retry_after, &full_retry_settings,
                                random_unit(&edge->random));
}

void exchange_send_local_response(struct edge *edge, struct edge_client *client,
                                  const char *request_id, unsigned status, uint32_t wait_ms,
                                  const char *text)
{
    struct buffer head = {0};
    buffer_append_format(&head, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_own_response(request_id, wait_ms, &head);
    if (text[0])
        buffer_append_text(&head, "Content-Type: text/plain\r\n");
    edge_client_send_response(client, &head, text, strlen(text));
    buffer_clear(&head);
}

/* Writes the body of the response, "" for none. */
static void write_reason(const struct exchange *exchange, enum end_reason reason,
                         char text[BLOCKED_TEXT_SIZE])
{
    text[0] = 0;
    if (reason == END_BLOCKED && exchange->blocked_by_part)
        snprintf(text, BLOCKED_TEXT_SIZE, BLOCKED_PART_TEXT, exchange->blocked_part);
    else if (reason == END_BLOCKED)
        snprintf(text, BLOCKED_TEXT_SIZE, BLOCKED_TEXT);
}

/* Otherwise a retry of the same request fails in the same way. */
static bool may_succeed_later(enum end_reason reason)
{
    return reason != END_BLOCKED && reason != END_NO_REGION;
}

void exchange_fail(struct exchange *exchange, unsigned status, enum end_reason reason)
{
    struct edge_client *client = exchange->client;
    struct edge *edge = exchange->edge;
    exchange_log_end(exchange, status, reason, exchange->backend);
    metric_add(status == 503 ? METRIC_REQUESTS_NOT_RUN : METRIC_REQUESTS_UNKNOWN, 1);
    if (reason == END_BLOCKED)
        metric_add(METRIC_REQUESTS_BLOCKED, 1);
    if (reason == END_NO_REGION)
        metric_add(METRIC_REQUESTS_NO_REGION, 1);
    if (exchange->streaming) {
        count_cut_stream(reason);
        exchange_finish(exchange);
        edge_client_abort(client);
        return;
    }
    char id[PLATFORM_TEXT_SIZE], text[BLOCKED_TEXT_SIZE];
    uint32_t wait_ms =
        status == 503 && may_succeed_later(reason) ? retry_after_ms(exchange, reason) : 0;
    memcpy(id, exchange->head.id, sizeof id);
    write_reason(exchange, reason, text);
    exchange_finish(exchange);
    exchange_send_local_response(edge, client, id, status, wait_ms, text);
}

void exchange_fail_by_run_state(struct exchange *exchange, enum end_reason reason)
{
    exchange_fail(exchange, exchange->may_have_run ? 502 : 503, reason);
}

void exchange_cancel(struct exchange *exchange)
{
    metric_add(METRIC_CLIENTS_GONE, 1);
    log_event(LOG_LEVEL_INFO, "request", "client-gone",
              "request=%s route=%s backend=%s sends=%u took_ms=%" PRIu64, exchange->head.id,
              exchange->route->name, exchange->backend ? exchange->backend->listing.id : "-",
              exchange->sends, (cluster_now() - exchange->arrived_at) / US_PER_MS);
    struct edge *edge = exchange->edge;
    exchange_finish(exchange);
    exchange_dispatch_queued(edge);
}

/* How a request, or one attempt at a back end, ends; and the one log line that says so. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Time after which a refused client may come back when no engine serves at all: that takes seconds
 *  to end, and clients wait for a third of their time at most, 2.0 s of 6. */
#define ABSENT_RETRY_MS 1700
#define ABSENT_SPREAD_MS 500
/** Callers come back spread over so long after the end of a time in which no back end wants
 * requests: each back end gets one request from a gateway first, which takes about as long to show
 * that it works. */
#define BACKOFF_SPREAD_MS 500
/** When engines are full. The share moves with some second of requests; a fifth refused means that
 *  engines will be full for a while. */
static const struct come_back_settings full_settings = {
    .weight = 0.05, .saturation_share = 0.2, .min_ms = 500, .max_ms = 1200, .jitter_percent = 65};

/* What a caller reads whose request crashes back ends. There is no time to come back: it would
 * crash the next one too. */
#define BLOCKED_TEXT                                                                               \
    "This request is not run: several back ends ended while they ran it. Do not send it again "    \
    "unchanged.\n"

/* --- the trail of an exchange, for its one log line
 * ----------------------------------------------- */

void exchange_note(struct exchange *exchange, const char *format, ...)
{
    size_t room = sizeof exchange->trail - exchange->trail_length;
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(exchange->trail + exchange->trail_length, room, format, arguments);
    va_end(arguments);
    if (length > 0)
        exchange->trail_length += (size_t)length < room ? (size_t)length : room - 1;
}

void exchange_note_send(struct exchange *exchange, const struct backend *backend, uint64_t now)
{
    const struct edge *edge = exchange->edge;
    uint64_t age_ms = backend->load_at ? (now - backend->load_at) / MS_US : 0;
    exchange_note(exchange,
                  "%s@%" PRIu64 "ms:occupancy=%u,load_age=%" PRIu64
                  "ms,distance=%u,weights=%" PRIu64,
                  backend->listing.id, (now - exchange->arrived) / MS_US,
                  backend_occupancy(edge->pool, backend, now), age_ms, backend->distance,
                  backend->load.version);
}

static const char *const end_names[] = {
    [END_DONE] = "done",
    [END_TIME_OUT] = "time-out",
    [END_FULL] = "full",
    [END_NO_BACKEND] = "no-backend",
    [END_BACKED_OFF] = "backed-off",
    [END_NO_CONNECTION] = "no-connection",
    [END_SILENT] = "silent",
    [END_BROKEN] = "broken",
    [END_TORN] = "torn",
    [END_NO_SEAL] = "no-seal",
    [END_REFUSED] = "refused",
    [END_MISDIRECTED] = "misdirected",
    [END_RESUME_REFUSED] = "resume-refused",
    [END_BACKEND_ERROR] = "backend-error",
    [END_BLOCKED] = "crashes-back-ends",
    [END_HELD] = "held",
};

const char *exchange_end_name(enum exchange_end end)
{
    return end_names[end];
}

/* A client lost a stream that it was reading. */
static void count_cut(enum exchange_end reason)
{
    switch (reason) {
    case END_TIME_OUT:
        metric_add(METRIC_STREAMS_CUT_TIME, 1);
        break;
    case END_NO_BACKEND:
        metric_add(METRIC_STREAMS_CUT_NO_BACKEND, 1);
        break;
    case END_REFUSED:
    case END_MISDIRECTED:
        metric_add(METRIC_STREAMS_CUT_REFUSED, 1);
        break;
    case END_SILENT:
        metric_add(METRIC_STREAMS_CUT_SILENT, 1);
        break;
    case END_BLOCKED:
        metric_add(METRIC_STREAMS_CUT_BLOCKED, 1);
        break;
    default:
        metric_add(METRIC_STREAMS_CUT_BROKEN, 1);
    }
}

/* --- end of an exchange --------------------------------------------------------------------------
 */

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
    [BACKEND_SILENT] = "silent",       [BACKEND_UNREACHABLE] = "unreachable",
    [BACKEND_CANCELLED] = "cancelled",
};

/* That it ended is kept in mind: the end of an engine is not an attempt of its stream. */
static void forget_first_tried(struct exchange *exchange)
{
    exchange->ended_before += tried_has_ended(&exchange->tried[0]);
    backend_release(exchange->tried[0].backend);
    memmove(exchange->tried, exchange->tried + 1,
            (BACKEND_MAX_EXCLUDED - 1) * sizeof exchange->tried[0]);
    exchange->tried_count--;
    exchange->excluded_from -= exchange->excluded_from > 0;
}

/* Takes over the reference to the back end. */
static void remember_tried(struct exchange *exchange, struct backend *backend, bool ran)
{
    if (exchange->tried_count == BACKEND_MAX_EXCLUDED)
        forget_first_tried(exchange);
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

/* Let go of the back end. */
void exchange_end_attempt(struct exchange *exchange, enum backend_result result)
{
    uint64_t now = cluster_now();
    struct backend *backend = exchange->backend;
    if (exchange->upstream)
        upstream_cancel(exchange->upstream);
    exchange->upstream = NULL;
    exchange->backend = NULL;
    if (!backend)
        return;
    if (!exchange->first_byte_at)
        backend_answers(backend, exchange->head.tokens_in, 0, now);
    uint64_t latency = exchange->first_byte_at && !exchange->resuming
                           ? exchange->first_byte_at - exchange->sent_at
                           : 0;
    if (backend_end(exchange->edge->pool, backend, result, latency, now)) {
        metric_add(METRIC_EJECTIONS, 1);
        log_event(LOG_LEVEL_WARN, "backend", "ejected",
                  "id=%s request=%s result=%s failures=%u share=%.2f for_ms=%" PRIu64,
                  backend->listing.id, exchange->head.id, result_names[result], backend->failures,
                  backend->failure_share, backend->ejection_us / MS_US);
    }
    exchange_note(exchange, ",%s;", result_names[result]);
    remember_tried(exchange, backend, result == BACKEND_BROKEN);
}

/* A cut stream is a kind of its own: the lines of a kind are bounded, and many refusals must not
 * crowd out the one that says why a client lost its stream. */
static const char *end_event(const struct exchange *exchange, bool good)
{
    if (good)
        return "answered";
    return exchange->streaming ? "cut" : "failed";
}

void exchange_log_end(const struct exchange *exchange, unsigned status, enum exchange_end reason,
                      const struct backend *backend)
{
    uint64_t now = cluster_now();
    bool good = status >= 200 && status < 300 && reason == END_DONE;
    log_event(
        good ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "request", end_event(exchange, good),
        "request=%s route=%s service=%s status=%u reason=%s backend=%s sends=%u events=%" PRIu64
        " weights=%" PRIu64 " took_ms=%" PRIu64 " left_ms=%" PRId64 " config=%" PRIu64
        " waiting=%d trail=\"%s\"",
        exchange->head.id, exchange->route->name, exchange->service->name, status,
        end_names[reason], backend ? backend->listing.id : "-", exchange->sends,
        exchange->events.events, exchange->version, (now - exchange->arrived) / MS_US,
        ((int64_t)exchange->final_at - (int64_t)now) / (int64_t)MS_US,
        route_table_version(exchange->table), exchange->in_line, exchange->trail);
}

void exchange_finish(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    exchange_leave_line(exchange);
    exchange_end_attempt(exchange, BACKEND_CANCELLED);
    edge->active--;
    uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

uint32_t exchange_absent_retry_ms(struct edge *edge)
{
    return ABSENT_RETRY_MS + (uint32_t)random_below(&edge->random, ABSENT_SPREAD_MS);
}

void exchange_count_place(struct exchange *exchange, bool found)
{
    come_back_count(&exchange->state_of_service->come_back, &full_settings, !found);
    if (!exchange->returned)
        overload_record(&exchange->state_of_service->overload, !found, cluster_now());
}

static uint32_t retry_after_ms(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    uint64_t now = cluster_now();
    uint64_t backoff_end = exchange_backoff_end(exchange, now);
    uint64_t held_until = exchange_held_until(exchange, now);
    if (held_until > backoff_end)
        backoff_end = held_until;
    if (backoff_end)
        return (uint32_t)((backoff_end - now) / MS_US) + 1 +
               (uint32_t)random_below(&edge->random, BACKOFF_SPREAD_MS);
    if (exchange->no_backend)
        return exchange_absent_retry_ms(edge);
    return come_back_ms(&exchange->state_of_service->come_back, &full_settings,
                        random_unit(&edge->random));
}

void exchange_answer_own(struct edge *edge, struct edge_client *client, const char *request_id,
                         unsigned status, uint32_t wait_ms, const char *text)
{
    struct buffer head = {0};
    buffer_append_format(&head, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_own_answer(request_id, wait_ms, &head);
    if (text[0])
        buffer_append_text(&head, "Content-Type: text/plain\r\n");
    edge_client_answer(client, &head, text, strlen(text));
    buffer_clear(&head);
}

/* The final answer is one of this system's own. */
void exchange_give_up(struct exchange *exchange, unsigned status, enum exchange_end reason)
{
    struct edge_client *client = exchange->client;
    struct edge *edge = exchange->edge;
    exchange_log_end(exchange, status, reason, exchange->backend);
    metric_add(status == 503 ? METRIC_REQUESTS_NOT_RUN : METRIC_REQUESTS_UNKNOWN, 1);
    if (reason == END_BLOCKED)
        metric_add(METRIC_REQUESTS_BLOCKED, 1);
    if (exchange->streaming) {
        count_cut(reason);
        exchange_finish(exchange);
        edge_client_break(client);
        return;
    }
    char id[PLATFORM_TEXT_SIZE];
    uint32_t wait_ms = status == 503 && reason != END_BLOCKED ? retry_after_ms(exchange) : 0;
    memcpy(id, exchange->head.id, sizeof id);
    exchange_finish(exchange);
    exchange_answer_own(edge, client, id, status, wait_ms,
                        reason == END_BLOCKED ? BLOCKED_TEXT : "");
}

/* Nothing has run: say so, or admit that it is not known. */
void exchange_give_up_truly(struct exchange *exchange, enum exchange_end reason)
{
    exchange_give_up(exchange, exchange->may_have_run ? 502 : 503, reason);
}

void exchange_abandon(struct exchange *exchange)
{
    metric_add(METRIC_CLIENTS_GONE, 1);
    log_event(LOG_LEVEL_INFO, "request", "client-gone",
              "request=%s route=%s backend=%s sends=%u took_ms=%" PRIu64, exchange->head.id,
              exchange->route->name, exchange->backend ? exchange->backend->listing.id : "-",
              exchange->sends, (cluster_now() - exchange->arrived) / MS_US);
    struct edge *edge = exchange->edge;
    exchange_finish(exchange);
    exchange_dispatch_waiting(edge);
}

/* One request of a client, from its whole arrival to its one final answer. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/edge_internal.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define MS_US ((uint64_t)1000)
#define WAIT_LEAST_US 15000
/** Time for which a request without a client deadline or route timeout is held. */
#define FALLBACK_TIMEOUT_MS 10000
/** No further back end is tried when less time than this is left. */
#define RETRY_LEAST_US 60000
/** Silence before the first byte after which a repeatable request goes elsewhere. */
#define SILENCE_TARGETS 2.2
#define SILENCE_LEAST_US 300000
/** Silence between events after which a resumable stream goes elsewhere. */
#define STREAM_SILENCE_US 1000000
/** An unrepeatable request uses no connection that was idle for longer. */
#define UNREPEATABLE_IDLE_US 1500000
#define ANY_IDLE_US 3600000000ULL
/** A client that reads too slowly stops the back end from sending more. */
#define CLIENT_PENDING_MOST 262144
/** Time after which a refused client may come back: soon when engines are full, later when none
 *  serves at all, as that takes seconds to end. */
#define FULL_RETRY_MS 500
#define ABSENT_RETRY_MS 1700
#define RETRY_SPREAD_MS 500
#define URGENCY_MOST 9
#define TRAIL_SIZE 320
/** So long before a version is required, engines that do not have it at hand get no new work: their
 *  links may be slow, and what waits there may begin late. */
#define VERSION_LEAD_US 400000
#define VERSION_SLOW_LEAD_US 1700000

enum exchange_state { EXCHANGE_WAITING, EXCHANGE_SENT };

struct exchange {
    struct edge *edge;
    struct edge_client *client;
    struct route_table *table;
    const struct route *route;
    const struct service_entry *service;
    const struct tenant_entry *tenant; /* NULL: none */
    struct request_head head;
    enum exchange_state state;
    uint64_t arrived;
    uint64_t final_at;   /* the final answer is due */
    uint64_t wait_until; /* without a place by then it is refused */
    struct upstream *upstream;
    struct backend *backend;
    struct backend *tried[BACKEND_MAX_EXCLUDED];
    uint32_t tried_count;
    uint32_t sends;    /* requests handed to a connection that came up */
    bool counted;      /* the present attempt is among them */
    bool no_backend;   /* none was fit when it was last looked for */
    bool may_have_run; /* a send ended without a word on whether it ran */
    uint64_t sent_at;
    uint64_t first_byte_at; /* of the present back end, 0: none */
    uint64_t last_event_at;
    bool streaming; /* the head went out to the client */
    struct event_stream events;
    uint64_t version; /* of the weights of the first back end */
    bool paused;
    bool resuming;          /* the next back end goes on with a stream that has begun */
    char trail[TRAIL_SIZE]; /* attempts with what decided them, for the log */
    size_t trail_length;
    uv_timer_t timer;
    struct exchange *next_waiting;
    bool in_line;
};

static void dispatch(struct exchange *exchange);
static void arm(struct exchange *exchange);
static void on_broken(struct exchange *exchange, enum backend_result result, const char *reason);

/* --- the trail of an exchange, for its one log line
 * ----------------------------------------------- */

static void note(struct exchange *exchange, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void note(struct exchange *exchange, const char *format, ...)
{
    size_t room = sizeof exchange->trail - exchange->trail_length;
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(exchange->trail + exchange->trail_length, room, format, arguments);
    va_end(arguments);
    if (length > 0)
        exchange->trail_length += (size_t)length < room ? (size_t)length : room - 1;
}

static void note_send(struct exchange *exchange, const struct backend *backend, uint64_t now)
{
    const struct edge *edge = exchange->edge;
    uint64_t age_ms = backend->load_at ? (now - backend->load_at) / MS_US : 0;
    note(exchange,
         "%s@%" PRIu64 "ms:occupancy=%u,load_age=%" PRIu64 "ms,distance=%u,weights=%" PRIu64,
         backend->listing.id, (now - exchange->arrived) / MS_US,
         backend_occupancy(edge->pool, backend, edge->gateways, now), age_ms, backend->distance,
         backend->load.version);
}

/* --- end of an exchange --------------------------------------------------------------------------
 */

static void on_timer_closed(uv_handle_t *handle)
{
    struct exchange *exchange = handle->data;
    for (uint32_t i = 0; i < exchange->tried_count; i++)
        backend_release(exchange->tried[i]);
    event_stream_clear(&exchange->events);
    route_table_release(exchange->table);
    free(exchange);
}

static void leave_line(struct exchange *exchange)
{
    if (!exchange->in_line)
        return;
    exchange->in_line = false;
    for (struct exchange **place = &exchange->edge->waiting; *place;
         place = &(*place)->next_waiting) {
        if (*place == exchange) {
            *place = exchange->next_waiting;
            return;
        }
    }
}

static const char *const result_names[] = {
    [BACKEND_SUCCEEDED] = "succeeded", [BACKEND_ERROR] = "error",
    [BACKEND_REFUSED] = "refused",     [BACKEND_BROKEN] = "broken",
    [BACKEND_SILENT] = "silent",       [BACKEND_UNREACHABLE] = "unreachable",
    [BACKEND_CANCELLED] = "cancelled",
};

/* Let go of the back end. */
static void end_attempt(struct exchange *exchange, enum backend_result result)
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
    note(exchange, ",%s;", result_names[result]);
    if (exchange->tried_count < BACKEND_MAX_EXCLUDED)
        exchange->tried[exchange->tried_count++] = backend;
    else
        backend_release(backend);
}

static void log_end(const struct exchange *exchange, unsigned status, const char *reason,
                    const struct backend *backend)
{
    uint64_t now = cluster_now();
    bool good = status >= 200 && status < 300 && strcmp(reason, "done") == 0;
    log_event(
        good ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "request", good ? "answered" : "failed",
        "request=%s route=%s service=%s status=%u reason=%s backend=%s sends=%u events=%" PRIu64
        " weights=%" PRIu64 " took_ms=%" PRIu64 " left_ms=%" PRId64 " config=%" PRIu64
        " waiting=%d trail=\"%s\"",
        exchange->head.id, exchange->route->name, exchange->service->name, status, reason,
        backend ? backend->listing.id : "-", exchange->sends, exchange->events.events,
        exchange->version, (now - exchange->arrived) / MS_US,
        ((int64_t)exchange->final_at - (int64_t)now) / (int64_t)MS_US,
        route_table_version(exchange->table), exchange->in_line, exchange->trail);
}

static void finish(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    leave_line(exchange);
    end_attempt(exchange, BACKEND_CANCELLED);
    edge->active--;
    uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static uint32_t retry_after_ms(struct edge *edge, bool absent)
{
    uint32_t least = absent ? ABSENT_RETRY_MS : FULL_RETRY_MS;
    return least + (uint32_t)random_below(&edge->random, RETRY_SPREAD_MS);
}

static void answer_own(struct edge *edge, struct edge_client *client, const char *request_id,
                       unsigned status, uint32_t wait_ms)
{
    struct buffer head = {0};
    buffer_append_format(&head, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_own_answer(request_id, wait_ms, &head);
    edge_client_answer(client, &head, NULL, 0);
    buffer_clear(&head);
}

/* The final answer is one of this system's own. */
static void give_up(struct exchange *exchange, unsigned status, const char *reason)
{
    struct edge_client *client = exchange->client;
    struct edge *edge = exchange->edge;
    log_end(exchange, status, reason, exchange->backend);
    metric_add(status == 503 ? METRIC_REQUESTS_NOT_RUN : METRIC_REQUESTS_UNKNOWN, 1);
    if (exchange->streaming) {
        finish(exchange);
        edge_client_break(client);
        return;
    }
    char id[PLATFORM_TEXT_SIZE];
    bool absent = exchange->no_backend;
    memcpy(id, exchange->head.id, sizeof id);
    finish(exchange);
    answer_own(edge, client, id, status, status == 503 ? retry_after_ms(edge, absent) : 0);
}

/* Nothing has run: say so, or admit that it is not known. */
static void give_up_truly(struct exchange *exchange, const char *reason)
{
    give_up(exchange, exchange->may_have_run ? 502 : 503, reason);
}

void exchange_abandon(struct exchange *exchange)
{
    metric_add(METRIC_CLIENTS_GONE, 1);
    log_event(LOG_LEVEL_INFO, "request", "client-gone",
              "request=%s route=%s backend=%s sends=%u took_ms=%" PRIu64, exchange->head.id,
              exchange->route->name, exchange->backend ? exchange->backend->listing.id : "-",
              exchange->sends, (cluster_now() - exchange->arrived) / MS_US);
    struct edge *edge = exchange->edge;
    finish(exchange);
    exchange_dispatch_waiting(edge);
}

/* --- sending -------------------------------------------------------------------------------------
 */

static bool is_repeatable(const struct exchange *exchange)
{
    return exchange->route->kind == ROUTE_REPEATABLE ||
           (exchange->route->kind == ROUTE_STREAM && exchange->route->resumable);
}

static int urgency_of(const struct exchange *exchange)
{
    uint32_t tenant = exchange->tenant ? exchange->tenant->priority : 0;
    uint32_t urgency = 2 * tenant + exchange->route->priority;
    return urgency < URGENCY_MOST ? (int)urgency : URGENCY_MOST;
}

static uint64_t least_version(const struct exchange *exchange, uint64_t at)
{
    const char *model = exchange->service->engine.model;
    return model ? version_bounds_least(&exchange->edge->versions, model, at) : 0;
}

static void fill_wish(const struct exchange *exchange, uint64_t now, struct backend_wish *wish)
{
    *wish = (struct backend_wish){
        .service = exchange->service->name,
        .engine = exchange->service->engine.model != NULL,
        .tokens = exchange->head.tokens_in,
        .usual_tokens = exchange->service->engine.usual_prompt,
        .read_tokens_per_ms = exchange->service->engine.read_tokens_per_ms,
        .least_version = least_version(exchange, now),
        .next_version = least_version(exchange, now + VERSION_LEAD_US),
        .later_version = least_version(exchange, now + VERSION_SLOW_LEAD_US),
        .exact_version = exchange->resuming ? exchange->version : 0,
        .gateways = exchange->edge->gateways,
        .any_load = exchange->resuming,
    };
    for (uint32_t i = 0; i < exchange->tried_count; i++)
        wish->excluded[wish->excluded_count++] = exchange->tried[i];
}

bool exchange_write(struct exchange *exchange, struct buffer *bytes)
{
    uint64_t now = cluster_now();
    struct backend *backend = exchange->backend;
    struct backend_wish wish;
    fill_wish(exchange, now, &wish);
    if (now + MS_US > exchange->final_at ||
        !backend_may_begin(exchange->edge->pool, backend, &wish, now))
        return false;
    const struct http_message *request = edge_client_request(exchange->client);
    struct forward_head forward = {
        .deadline_ms = (uint32_t)((exchange->final_at - now) / MS_US),
        .instance = backend->listing.id,
        .tenant = exchange->tenant ? exchange->tenant->name : NULL,
        .last_event_id =
            exchange->resuming && exchange->events.last_id[0] ? exchange->events.last_id : NULL,
        .version = exchange->resuming ? exchange->version : wish.least_version,
        .urgency = exchange->service->engine.model ? urgency_of(exchange) : -1,
    };
    platform_write_request(request, &forward, bytes);
    buffer_append(bytes, request->body.data, request->body.size);
    return true;
}

static void send_to(struct exchange *exchange, struct backend *backend, uint64_t now)
{
    uint64_t most_idle =
        exchange->route->kind == ROUTE_UNREPEATABLE ? UNREPEATABLE_IDLE_US : ANY_IDLE_US;
    exchange->state = EXCHANGE_SENT;
    exchange->backend = backend_retain(backend);
    exchange->sent_at = now;
    exchange->first_byte_at = 0;
    exchange->counted = false;
    exchange->paused = false;
    exchange->last_event_at = now;
    note_send(exchange, backend, now);
    metric_observe(METRIC_PLACE_WAIT, now - exchange->arrived);
    backend_begin(backend, exchange->head.tokens_in, now);
    exchange->upstream = upstream_send(exchange->edge, backend, exchange, most_idle);
    if (!exchange->upstream) {
        end_attempt(exchange, BACKEND_UNREACHABLE);
        give_up_truly(exchange, "no-connection");
        return;
    }
    arm(exchange);
}

static bool goes_before(const struct exchange *left, const struct exchange *right)
{
    int left_urgency = urgency_of(left), right_urgency = urgency_of(right);
    if (left_urgency != right_urgency)
        return left_urgency < right_urgency;
    return left->arrived < right->arrived;
}

static void join_line(struct exchange *exchange)
{
    struct exchange **place = &exchange->edge->waiting;
    if (exchange->in_line)
        return;
    while (*place && !goes_before(exchange, *place))
        place = &(*place)->next_waiting;
    exchange->next_waiting = *place;
    *place = exchange;
    exchange->in_line = true;
}

static void dispatch(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    struct backend_wish wish;
    struct backend *backend;
    fill_wish(exchange, now, &wish);
    enum backend_absence absence = backend_pool_choose(exchange->edge->pool, &wish, now, &backend);
    if (absence == BACKEND_FOUND) {
        leave_line(exchange);
        send_to(exchange, backend, now);
        return;
    }
    exchange->no_backend = absence == BACKEND_NONE && !exchange->tried_count;
    if (now >= exchange->wait_until || exchange->tried_count == BACKEND_MAX_EXCLUDED) {
        give_up_truly(exchange, absence == BACKEND_FULL ? "full" : "no-backend");
        return;
    }
    exchange->state = EXCHANGE_WAITING;
    join_line(exchange);
    arm(exchange);
}

uint32_t exchange_waiting_count(const struct edge *edge)
{
    uint32_t count = 0;
    for (const struct exchange *exchange = edge->waiting; exchange;
         exchange = exchange->next_waiting)
        count++;
    return count;
}

void exchange_dispatch_waiting(struct edge *edge)
{
    for (struct exchange *exchange = edge->waiting, *next; exchange; exchange = next) {
        next = exchange->next_waiting;
        uint64_t now = cluster_now();
        struct backend_wish wish;
        struct backend *backend;
        fill_wish(exchange, now, &wish);
        if (backend_pool_choose(edge->pool, &wish, now, &backend) != BACKEND_FOUND)
            continue;
        leave_line(exchange);
        send_to(exchange, backend, now);
        next = edge->waiting; /* a send that fails may have changed the line */
    }
}

/* Go to another back end, if the rules and the budget allow it. */
static void try_again(struct exchange *exchange, const char *reason)
{
    struct edge *edge = exchange->edge;
    uint64_t now = cluster_now();
    if (exchange->sends >= exchange->route->attempts || exchange->final_at < now + RETRY_LEAST_US ||
        (exchange->may_have_run && !is_repeatable(exchange))) {
        give_up_truly(exchange, reason);
        return;
    }
    if (!repeat_budget_spend(edge_budget(edge, exchange->service->name), now,
                             edge->gateways_most)) {
        metric_add(METRIC_BUDGET_SPENT, 1);
        log_event(LOG_LEVEL_WARN, "request", "budget-spent", "request=%s service=%s gateways=%u",
                  exchange->head.id, exchange->service->name, edge->gateways_most);
        give_up_truly(exchange, reason);
        return;
    }
    metric_add(METRIC_RETRIES, 1);
    log_event(LOG_LEVEL_INFO, "request", "retry", "request=%s reason=%s sends=%u took_ms=%" PRIu64,
              exchange->head.id, reason, exchange->sends, (now - exchange->arrived) / MS_US);
    dispatch(exchange);
}

/* --- answers -------------------------------------------------------------------------------------
 */

bool exchange_is_foreign(const struct exchange *exchange, const struct http_message *message)
{
    struct answer_head head;
    if (!exchange->head.id[0])
        return false;
    platform_read_answer(message, &head);
    return strcmp(head.request_id, exchange->head.id) != 0;
}

static bool is_success(const struct http_message *message, const struct answer_head *head)
{
    unsigned status = http_message_status(message);
    return status >= 200 && status < 300 && head->sealed && !head->encoded && !head->not_executed;
}

static void write_head(const struct http_message *message, struct buffer *head)
{
    unsigned status = http_message_status(message);
    buffer_append_format(head, "HTTP/1.1 %u %s\r\n", status,
                         http_status_str((enum http_status)status));
    platform_write_answer(message, head);
}

/* A whole answer of the back end goes to the client as it is. */
static void pass_on(struct exchange *exchange, struct http_message *message, const char *reason)
{
    struct buffer head = {0};
    struct edge_client *client = exchange->client;
    write_head(message, &head);
    metric_add(METRIC_REQUESTS_DONE, 1);
    metric_observe(METRIC_WHOLE_ANSWER, cluster_now() - exchange->arrived);
    log_end(exchange, http_message_status(message), reason,
            exchange->tried_count ? exchange->tried[exchange->tried_count - 1] : NULL);
    finish(exchange);
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

static void on_progress(struct exchange *exchange, struct http_message *message)
{
    struct answer_head head;
    note_first_byte(exchange);
    if (exchange->route->kind != ROUTE_STREAM || !message->head_complete)
        return;
    platform_read_answer(message, &head);
    if (!is_success(message, &head))
        return; /* kept until it is complete */
    if (!exchange->version)
        exchange->version = head.version;
    pass_events(exchange, message);
    if (exchange->upstream && edge_client_pending(exchange->client) > CLIENT_PENDING_MOST) {
        exchange->paused = true;
        upstream_pause(exchange->upstream, true);
        arm(exchange);
    }
}

static void finish_stream(struct exchange *exchange, struct http_message *message)
{
    struct edge_client *client = exchange->client;
    pass_events(exchange, message);
    if (exchange->events.partial.size) {
        /* Complete by its framing, but torn: no whole answer. */
        on_broken(exchange, BACKEND_BROKEN, "torn");
        return;
    }
    if (!exchange->streaming)
        begin_stream(exchange, message);
    end_attempt(exchange, BACKEND_SUCCEEDED);
    metric_add(METRIC_REQUESTS_DONE, 1);
    log_end(exchange, 200, "done", exchange->tried_count ? exchange->tried[0] : NULL);
    finish(exchange);
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

static void on_broken(struct exchange *exchange, enum backend_result result, const char *reason)
{
    bool stream = exchange->route->kind == ROUTE_STREAM;
    end_attempt(exchange, result);
    exchange->may_have_run = true;
    event_stream_drop_partial(&exchange->events);
    if (stream && exchange->streaming) {
        if (!exchange->route->resumable) {
            give_up(exchange, 502, reason);
            return;
        }
        exchange->resuming = true;
        metric_add(METRIC_RESUMES, 1);
    }
    try_again(exchange, reason);
}

static void on_done(struct exchange *exchange, struct http_message *message)
{
    struct answer_head head;
    unsigned status = http_message_status(message);
    platform_read_answer(message, &head);
    if (head.not_executed || status == 421) {
        if (status == 421)
            on_misdirected(exchange, &head);
        end_attempt(exchange, status == 421 ? BACKEND_CANCELLED : BACKEND_REFUSED);
        try_again(exchange, status == 421 ? "misdirected" : "refused");
        return;
    }
    if (!head.sealed || head.encoded) {
        on_broken(exchange, BACKEND_BROKEN, "no-seal");
        return;
    }
    if (is_success(message, &head)) {
        if (exchange->route->kind == ROUTE_STREAM) {
            if (!exchange->version)
                exchange->version = head.version;
            finish_stream(exchange, message);
            return;
        }
        end_attempt(exchange, BACKEND_SUCCEEDED);
        pass_on(exchange, message, "done");
        return;
    }
    if (exchange->streaming) { /* a resumed stream cannot end in another answer */
        on_broken(exchange, BACKEND_ERROR, "resume-refused");
        return;
    }
    end_attempt(exchange, BACKEND_ERROR);
    pass_on(exchange, message, "backend-error");
}

static void count_send(struct exchange *exchange)
{
    if (exchange->counted)
        return;
    exchange->counted = true;
    exchange->sends++;
}

void exchange_on_upstream(struct exchange *exchange, enum upstream_event event,
                          struct http_message *message)
{
    if (event != UPSTREAM_PROGRESS)
        exchange->upstream = NULL;
    if (event != UPSTREAM_NOT_SENT)
        count_send(exchange);
    struct edge *edge = exchange->edge;
    switch (event) {
    case UPSTREAM_PROGRESS:
        on_progress(exchange, message);
        return;
    case UPSTREAM_DONE:
        note_first_byte(exchange);
        on_done(exchange, message);
        break;
    case UPSTREAM_BROKEN:
        on_broken(exchange, BACKEND_BROKEN, "broken");
        break;
    case UPSTREAM_NOT_SENT:
        end_attempt(exchange, BACKEND_UNREACHABLE);
        dispatch(exchange);
        break;
    }
    exchange_dispatch_waiting(edge);
}

/* --- time ----------------------------------------------------------------------------------------
 */

static bool may_go_elsewhere(const struct exchange *exchange)
{
    return is_repeatable(exchange) && exchange->sends < exchange->route->attempts &&
           exchange->upstream;
}

/* Time at which the silence of the back end is too long, 0: never. */
static uint64_t silence_end(const struct exchange *exchange)
{
    if (exchange->state != EXCHANGE_SENT || exchange->paused || !may_go_elsewhere(exchange))
        return 0;
    if (exchange->streaming)
        return exchange->last_event_at + STREAM_SILENCE_US;
    uint64_t silence = (uint64_t)(SILENCE_TARGETS * exchange->route->target_ms * MS_US);
    return exchange->sent_at + (silence > SILENCE_LEAST_US ? silence : SILENCE_LEAST_US);
}

static uint64_t next_moment(const struct exchange *exchange)
{
    uint64_t moment = exchange->final_at;
    uint64_t silence = silence_end(exchange);
    if (silence && silence < moment)
        moment = silence;
    if (exchange->state == EXCHANGE_WAITING && exchange->wait_until < moment)
        moment = exchange->wait_until;
    return moment;
}

static void go_on_when_read(struct exchange *exchange)
{
    if (!exchange->paused || edge_client_pending(exchange->client) > CLIENT_PENDING_MOST / 2)
        return;
    exchange->paused = false;
    exchange->last_event_at = cluster_now();
    if (exchange->upstream)
        upstream_pause(exchange->upstream, false);
}

static void on_silence(struct exchange *exchange)
{
    if (upstream_is_sent(exchange->upstream)) {
        count_send(exchange);
        on_broken(exchange, BACKEND_SILENT, "silent");
        return;
    }
    end_attempt(exchange, BACKEND_UNREACHABLE);
    dispatch(exchange);
}

static void on_final_time(struct exchange *exchange)
{
    bool untouched =
        !exchange->may_have_run && (!exchange->upstream || !upstream_is_sent(exchange->upstream));
    if (exchange->backend && !exchange->first_byte_at)
        end_attempt(exchange, BACKEND_SILENT);
    give_up(exchange, untouched ? 503 : 504, "time-out");
}

static void on_timer(uv_timer_t *timer)
{
    struct exchange *exchange = timer->data;
    uint64_t now = cluster_now();
    go_on_when_read(exchange);
    if (now >= exchange->final_at) {
        on_final_time(exchange);
        return;
    }
    if (exchange->state == EXCHANGE_WAITING && now >= exchange->wait_until) {
        dispatch(exchange);
        return;
    }
    uint64_t silence = silence_end(exchange);
    if (silence && now >= silence) {
        on_silence(exchange);
        return;
    }
    arm(exchange);
}

static void arm(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    uint64_t moment = next_moment(exchange);
    uint64_t wait = moment > now ? (moment - now) / MS_US + 1 : 1;
    if (exchange->paused && wait > 50)
        wait = 50;
    if (!uv_is_closing((uv_handle_t *)&exchange->timer))
        uv_timer_start(&exchange->timer, on_timer, wait, 0);
}

/* --- begin ---------------------------------------------------------------------------------------
 */

static void refuse_early(struct edge *edge, struct edge_client *client,
                         const struct request_head *head, unsigned status, const char *reason)
{
    log_event(LOG_LEVEL_WARN, "request", "refused",
              "request=%s host=%s status=%u reason=%s config=%" PRIu64, head->id, head->host,
              status, reason, edge->table ? route_table_version(edge->table) : 0);
    metric_add(METRIC_REQUESTS_BAD, 1);
    answer_own(edge, client, head->id, status, status == 503 ? retry_after_ms(edge, true) : 0);
}

static size_t path_length(const struct http_message *request)
{
    const char *query = memchr(request->text.data, '?', request->target_length);
    return query ? (size_t)(query - request->text.data) : request->target_length;
}

static void set_times(struct exchange *exchange)
{
    uint64_t hold_ms = exchange->route->timeout_ms;
    if (!hold_ms)
        hold_ms = FALLBACK_TIMEOUT_MS;
    if (exchange->head.deadline_ms && exchange->head.deadline_ms < hold_ms)
        hold_ms = exchange->head.deadline_ms;
    uint64_t wait =
        exchange->edge->settings->wait_percent * exchange->route->target_ms * MS_US / 100;
    exchange->arrived = cluster_now();
    exchange->final_at = exchange->arrived + hold_ms * MS_US;
    exchange->wait_until = exchange->arrived + (wait > WAIT_LEAST_US ? wait : WAIT_LEAST_US);
}

static struct exchange *exchange_create(struct edge *edge, struct edge_client *client,
                                        const struct request_head *head, const struct route *route,
                                        uint32_t tenant)
{
    struct exchange *exchange = memory_zero(1, sizeof *exchange);
    uint32_t service = route_choose_service(route, random_next(&edge->random));
    exchange->edge = edge;
    exchange->client = client;
    exchange->table = route_table_retain(edge->table);
    exchange->route = route;
    exchange->service = route_table_service(edge->table, service);
    exchange->tenant = tenant == ROUTE_NO_TENANT ? NULL : route_table_tenant(edge->table, tenant);
    exchange->head = *head;
    set_times(exchange);
    uv_timer_init(edge->loop, &exchange->timer);
    exchange->timer.data = exchange;
    edge->active++;
    return exchange;
}

struct exchange *exchange_begin(struct edge *edge, struct edge_client *client)
{
    struct request_head head;
    const struct http_message *request = edge_client_request(client);
    platform_read_request(request, &head);
    if (!edge->table) {
        refuse_early(edge, client, &head, 503, "no-configuration");
        return NULL;
    }
    if (!head.id[0]) {
        refuse_early(edge, client, &head, 400, "no-request-id");
        return NULL;
    }
    const struct route *route =
        route_table_match(edge->table, head.host, request->text.data, path_length(request));
    if (!route || !route->target_count) {
        refuse_early(edge, client, &head, 404, "no-route");
        return NULL;
    }
    uint32_t tenant = route_table_key_owner(edge->table, head.key);
    if (route_table_has_tenants(edge->table) && !route->anonymous && tenant == ROUTE_NO_TENANT) {
        refuse_early(edge, client, &head, 401, "unknown-key");
        return NULL;
    }
    struct exchange *exchange = exchange_create(edge, client, &head, route, tenant);
    repeat_budget_earn(edge_budget(edge, exchange->service->name), exchange->arrived);
    return exchange;
}

void exchange_start(struct exchange *exchange)
{
    dispatch(exchange);
}

/* Beginning and timers of an exchange: deadline, wait for a slot, silence of the backend. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Shortest time for which a request may wait for a slot. */
#define MIN_QUEUE_WAIT_US 15000
/** Deadline of a request without a client deadline on a route without a timeout. */
#define DEFAULT_REQUEST_TIMEOUT_MS 10000
/** Silence before the first byte after which a retryable request goes to another backend, as a
 * multiple of the route's latency target. */
#define SILENCE_LATENCY_TARGETS 2.2
/** The least silence for that, whatever the target. */
#define MIN_SILENCE_US 300000
/** Silence between events after which a resumable stream goes to another backend that can continue
 * it. */
#define STREAM_SILENCE_US 1000000
/** An engine without a report or response for this long may be as silent as the stream's current
 * one. */
#define ALTERNATIVE_MAX_SILENCE_US (STREAM_SILENCE_US / 2)
/** Interval of the search for a backend that can take over from a silent one. */
#define SILENCE_RECHECK_US 100000
/** Interval at which a paused stream checks whether its client has taken enough. */
#define PAUSED_POLL_MS 50

/* --- Timers --- */

static uint32_t count_ended(const struct exchange *exchange)
{
    uint32_t count = exchange->ended_before;
    for (uint32_t i = 0; i < exchange->tried_count; i++)
        count += tried_has_ended(&exchange->tried[i]);
    return count;
}

bool exchange_is_sent(const struct exchange *exchange)
{
    return exchange->liveness_check || (exchange->upstream && upstream_is_sent(exchange->upstream));
}

struct attempt_facts exchange_facts(const struct exchange *exchange, uint64_t now)
{
    bool sent = exchange_is_sent(exchange);
    return (struct attempt_facts){
        .repeatable = exchange_is_retryable(exchange),
        .may_have_run = exchange->may_have_run || sent,
        .begun = exchange->streaming,
        .sends = exchange->sends + (sent && !exchange->send_counted),
        .refusals = exchange->refusals,
        .backoffs = exchange->backoffs,
        .ended = count_ended(exchange),
        .max_attempts = exchange->route->attempts,
        .time_left_us = exchange->deadline_at > now ? exchange->deadline_at - now : 0,
    };
}

/* \return silence of the current backend after which another one is searched for */
static uint64_t silence_limit(const struct exchange *exchange)
{
    if (exchange->streaming)
        return STREAM_SILENCE_US;
    uint64_t limit = (uint64_t)(SILENCE_LATENCY_TARGETS * exchange->route->target_ms * US_PER_MS);
    return limit > MIN_SILENCE_US ? limit : MIN_SILENCE_US;
}

static uint64_t silence_started_at(const struct exchange *exchange)
{
    if (exchange->liveness_check)
        return exchange->unframed_end_at;
    return exchange->streaming ? exchange->last_event_at : exchange->sent_at;
}

/* \return time at which the backend's silence is too long; 0: never */
static uint64_t silence_deadline(const struct exchange *exchange)
{
    bool awaits_backend = exchange->upstream || exchange->liveness_check;
    if (exchange->state != EXCHANGE_SENT || exchange->paused || !awaits_backend ||
        !exchange_is_retryable(exchange))
        return 0;
    uint64_t end = silence_started_at(exchange) + silence_limit(exchange);
    return end > exchange->silence_tolerated_until ? end : exchange->silence_tolerated_until;
}

static uint64_t next_timer_at(const struct exchange *exchange)
{
    uint64_t time = exchange->deadline_at;
    uint64_t silence = silence_deadline(exchange);
    if (silence && silence < time)
        time = silence;
    if (exchange->state == EXCHANGE_WAITING && exchange->wait_until < time)
        time = exchange->wait_until;
    if (exchange->state == EXCHANGE_WAITING && exchange->recheck_at && exchange->recheck_at < time)
        time = exchange->recheck_at;
    return time;
}

static void resume_upstream_when_drained(struct exchange *exchange)
{
    struct memory_use memory = edge_memory_use(exchange->edge);
    if (!exchange->paused ||
        !memory_share_may_resume(&memory, edge_client_unsent_bytes(exchange->client)))
        return;
    exchange->paused = false;
    exchange->last_event_at = cluster_now();
    if (exchange->upstream)
        upstream_pause(exchange->upstream, false);
}

static void log_silence(const struct exchange *exchange, uint64_t now, uint64_t late,
                        bool has_alternative, enum silence_action verdict)
{
    log_event(LOG_LEVEL_WARN, "request", "silent",
              "request=%s backend=%s silence_ms=%" PRIu64 " timer_late_ms=%" PRIu64
              " sent=%d sends=%u refusals=%u events=%" PRIu64 " others=%d outcome=%s",
              exchange->head.id, exchange->backend->listing.id,
              (now - silence_started_at(exchange)) / US_PER_MS, late / US_PER_MS,
              exchange_is_sent(exchange), exchange->sends, exchange->refusals,
              exchange->events.events, has_alternative,
              verdict == SILENCE_LEAVE ? "leave" : "stay");
}

static void leave_silent_backend(struct exchange *exchange)
{
    enum end_reason reason = exchange->liveness_check ? END_UNFRAMED : END_BACKEND_SILENT;
    if (exchange_is_sent(exchange)) {
        exchange_count_send(exchange);
        exchange_on_attempt_failed(exchange, BACKEND_TIMED_OUT, reason);
        return;
    }
    exchange_end_attempt(exchange, BACKEND_UNREACHABLE);
    exchange_dispatch(exchange);
}

/* A silent backend may still be working, so it is left only for another one that can take the
 * request. Until there is one, only the request's deadline ends the wait. */
static void on_silence(struct exchange *exchange, uint64_t now)
{
    uint64_t late = now > exchange->timer_due ? now - exchange->timer_due : 0;
    struct attempt_facts facts = exchange_facts(exchange, now);
    uint64_t heard_after = now - ALTERNATIVE_MAX_SILENCE_US;
    bool has_alternative = exchange_has_alternative(exchange, heard_after);
    enum silence_action verdict = silence_choose_action(&facts, late, has_alternative);
    if (verdict == SILENCE_LEAVE || !exchange->silence_tolerated_until)
        log_silence(exchange, now, late, has_alternative, verdict);
    if (verdict == SILENCE_LEAVE) {
        exchange->heard_after = heard_after;
        leave_silent_backend(exchange);
        return;
    }
    exchange->silence_tolerated_until =
        now + (late > PROCESS_STALL_US ? silence_limit(exchange) : SILENCE_RECHECK_US);
    exchange_arm_timer(exchange);
}

/* A stream that has begun shows that its backend works, and an answer that has ended waits for
 * proof of that; any other answer has to end in time. */
static bool is_backend_late(const struct exchange *exchange)
{
    bool is_unended = exchange->upstream && exchange->route->kind != ROUTE_STREAM;
    return exchange->backend && (!exchange->first_byte_received_at || is_unended);
}

static void on_deadline(struct exchange *exchange)
{
    bool not_run = !exchange->may_have_run && !exchange_is_sent(exchange);
    if (is_backend_late(exchange))
        exchange_end_attempt(exchange, BACKEND_TIMED_OUT);
    exchange_fail(exchange, not_run ? 503 : 504, END_DEADLINE);
}

/* The backend seemed silent during the pause because this process did not read. */
void exchange_recheck_deadlines(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    if (now >= exchange->deadline_at) {
        on_deadline(exchange);
        return;
    }
    exchange->silence_tolerated_until = now + silence_limit(exchange);
    exchange_arm_timer(exchange);
}

static void on_timer(uv_timer_t *timer)
{
    struct exchange *exchange = timer->data;
    uint64_t now = cluster_now();
    resume_upstream_when_drained(exchange);
    if (now >= exchange->deadline_at) {
        on_deadline(exchange);
        return;
    }
    bool is_recheck_due = exchange->recheck_at && now >= exchange->recheck_at;
    if (exchange->state == EXCHANGE_WAITING && (is_recheck_due || now >= exchange->wait_until)) {
        exchange_dispatch(exchange);
        return;
    }
    uint64_t silence = silence_deadline(exchange);
    if (silence && now >= silence) {
        on_silence(exchange, now);
        return;
    }
    exchange_arm_timer(exchange);
}

void exchange_arm_timer(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    uint64_t time = next_timer_at(exchange);
    uint64_t wait = time > now ? (time - now) / US_PER_MS + 1 : 1;
    if (exchange->paused && wait > PAUSED_POLL_MS)
        wait = PAUSED_POLL_MS;
    exchange->timer_due = now + wait * US_PER_MS;
    if (!uv_is_closing((uv_handle_t *)&exchange->timer))
        uv_timer_start(&exchange->timer, on_timer, wait, 0);
}

/* --- Begin --- */

static void reject_early(struct edge *edge, struct edge_client *client,
                         const struct request_head *head, unsigned status, const char *reason)
{
    log_event(LOG_LEVEL_WARN, "request", "refused",
              "request=%s host=%s status=%u reason=%s config=%" PRIu64, head->id, head->host,
              status, reason, edge->table ? route_table_version(edge->table) : 0);
    metric_add(METRIC_REQUESTS_BAD, 1);
    exchange_send_local_response(edge, client, head->id, status,
                                 status == 503 ? exchange_no_backend_retry_ms(edge) : 0, "");
}

uint64_t exchange_timeout_ms(const struct request_head *head, const struct route *route)
{
    uint64_t timeout_ms = route->timeout_ms ? route->timeout_ms : DEFAULT_REQUEST_TIMEOUT_MS;
    return head->has_deadline && head->deadline_ms < timeout_ms ? head->deadline_ms : timeout_ms;
}

static void set_times(struct exchange *exchange)
{
    uint64_t timeout_ms = exchange_timeout_ms(&exchange->head, exchange->route);
    uint64_t wait =
        exchange->edge->settings->wait_percent * exchange->route->target_ms * US_PER_MS / 100;
    exchange->arrived_at = edge_client_arrived_at(exchange->client);
    exchange->deadline_at = exchange->arrived_at + timeout_ms * US_PER_MS;
    exchange->wait_until =
        exchange->arrived_at + (wait > MIN_QUEUE_WAIT_US ? wait : MIN_QUEUE_WAIT_US);
    exchange->wait_until = start_hold_slot_wait(exchange->edge->started_at, exchange->wait_until,
                                                exchange->arrived_at);
}

static struct exchange *exchange_create(struct edge *edge, struct edge_client *client,
                                        const struct request_head *head, const struct route *route,
                                        uint32_t tenant)
{
    struct exchange *exchange = memory_calloc(1, sizeof *exchange);
    exchange->edge = edge;
    exchange->client = client;
    exchange->table = route_table_retain(edge->table);
    exchange->route = route;
    exchange->tenant = tenant == ROUTE_NO_TENANT ? NULL : route_table_tenant(edge->table, tenant);
    exchange->head = *head;
    exchange_update_residency(exchange);
    exchange->service = route_table_service(edge->table, exchange_choose_service(exchange));
    exchange->service_state = edge_service(edge, exchange->service->name);
    set_times(exchange);
    struct client_retry_times *times = &edge_route(edge, route->name)->times;
    exchange->is_client_retry = client_retry_detect(times, head->deadline_ms, exchange->arrived_at);
    if (!exchange->is_client_retry)
        demand_record(&exchange->service_state->demand, exchange->arrived_at);
    uv_timer_init(edge->loop, &exchange->timer);
    exchange->timer.data = exchange;
    edge->active++;
    return exchange;
}

/* Why a request is refused; `status` is 0 if it is not. */
struct refusal {
    unsigned status;
    const char *reason;
};

/* What the configuration does not have is refused for good, unless an entry could not be read. */
static struct refusal refusal_by_configuration(const struct route_table *table,
                                               const struct route *route, uint32_t tenant)
{
    if (!route && !route_table_is_complete(table, ROUTE_TABLE_ROUTES))
        return (struct refusal){503, "unreadable-routes"};
    if (!route)
        return (struct refusal){404, "no-route"};
    if (route->unreadable)
        return (struct refusal){503, "unreadable-route"};
    bool needs_tenant = route_table_has_tenants(table) && !route->anonymous;
    if (needs_tenant && tenant == ROUTE_NO_TENANT &&
        !route_table_is_complete(table, ROUTE_TABLE_TENANTS))
        return (struct refusal){503, "unreadable-tenants"};
    if (needs_tenant && tenant == ROUTE_NO_TENANT)
        return (struct refusal){401, "unknown-key"};
    if (tenant != ROUTE_NO_TENANT && route_table_tenant(table, tenant)->unreadable)
        return (struct refusal){503, "unreadable-tenant"};
    return (struct refusal){0};
}

struct exchange *exchange_begin(struct edge *edge, struct edge_client *client)
{
    struct request_head head;
    const struct http_message *request = edge_client_request(client);
    platform_read_request(request, &head);
    if (head.malformed_field)
        log_event(LOG_LEVEL_WARN, "client", "unreadable-field", "request=%s field=%s", head.id,
                  head.malformed_field);
    if (!edge->table) {
        reject_early(edge, client, &head, 503, "no-configuration");
        return NULL;
    }
    if (!edge_accepts_bytes(edge, 0)) {
        metric_add(METRIC_REQUESTS_NO_MEMORY, 1);
        reject_early(edge, client, &head, 503, "no-memory");
        return NULL;
    }
    if (!head.id[0]) {
        reject_early(edge, client, &head, 400, "no-request-id");
        return NULL;
    }
    const struct route *route = route_table_match(edge->table, head.host, request->text.data,
                                                  http_message_path_length(request));
    uint32_t tenant = route_table_key_owner(edge->table, head.key);
    struct refusal refusal = refusal_by_configuration(edge->table, route, tenant);
    if (refusal.status) {
        reject_early(edge, client, &head, refusal.status, refusal.reason);
        return NULL;
    }
    if (exchange_refuse_at_stop(edge, client, &head, route))
        return NULL;
    struct exchange *exchange = exchange_create(edge, client, &head, route, tenant);
    repeat_budget_earn(&exchange->service_state->budget, exchange->arrived_at);
    if (exchange_is_blocked(exchange)) {
        exchange_fail_by_run_state(exchange, END_BLOCKED);
        return NULL;
    }
    if (residency_is_empty(&exchange->residency)) {
        exchange_fail_by_run_state(exchange, END_NO_REGION);
        return NULL;
    }
    return exchange;
}

void exchange_start(struct exchange *exchange)
{
    exchange_dispatch(exchange);
}

/* One request of a client: its beginning, and what happens by time alone. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Time for which a request without a client deadline or route timeout is held. */
#define WAIT_LEAST_US 15000
#define FALLBACK_TIMEOUT_MS 10000
/** Silence before the first byte after which a repeatable request goes elsewhere. */
#define SILENCE_TARGETS 2.2
#define SILENCE_LEAST_US 300000
/** Silence between events after which a resumable stream goes elsewhere, if another can go on. */
#define STREAM_SILENCE_US 1000000
/** An engine that was not heard of for so long may be as silent as the one that a stream is at. */
#define OTHER_HEARD_US (STREAM_SILENCE_US / 2)
/** Between two looks for a back end that could take over from a silent one. */
#define SILENCE_LOOK_US 100000

/* --- time ----------------------------------------------------------------------------------------
 */

static uint32_t count_ended(const struct exchange *exchange)
{
    uint32_t count = exchange->ended_before;
    for (uint32_t i = 0; i < exchange->tried_count; i++)
        count += tried_has_ended(&exchange->tried[i]);
    return count;
}

struct attempt_facts exchange_facts(const struct exchange *exchange, uint64_t now)
{
    bool sent = exchange->upstream && upstream_is_sent(exchange->upstream);
    return (struct attempt_facts){
        .repeatable = exchange_is_repeatable(exchange),
        .may_have_run = exchange->may_have_run || sent,
        .begun = exchange->streaming,
        .sends = exchange->sends + (sent && !exchange->counted),
        .refusals = exchange->refusals,
        .backoffs = exchange->backoffs,
        .ended = count_ended(exchange),
        .max_attempts = exchange->route->attempts,
        .time_left_us = exchange->final_at > now ? exchange->final_at - now : 0,
    };
}

/* Silence of the present back end after which another one is looked for. */
static uint64_t silence_limit(const struct exchange *exchange)
{
    if (exchange->streaming)
        return STREAM_SILENCE_US;
    uint64_t limit = (uint64_t)(SILENCE_TARGETS * exchange->route->target_ms * MS_US);
    return limit > SILENCE_LEAST_US ? limit : SILENCE_LEAST_US;
}

static uint64_t heard_at(const struct exchange *exchange)
{
    return exchange->streaming ? exchange->last_event_at : exchange->sent_at;
}

/* Time at which the silence of the back end is too long, 0: never. */
static uint64_t silence_end(const struct exchange *exchange)
{
    if (exchange->state != EXCHANGE_SENT || exchange->paused || !exchange->upstream ||
        !exchange_is_repeatable(exchange))
        return 0;
    uint64_t end = heard_at(exchange) + silence_limit(exchange);
    return end > exchange->bear_until ? end : exchange->bear_until;
}

static uint64_t next_moment(const struct exchange *exchange)
{
    uint64_t moment = exchange->final_at;
    uint64_t silence = silence_end(exchange);
    if (silence && silence < moment)
        moment = silence;
    if (exchange->state == EXCHANGE_WAITING && exchange->wait_until < moment)
        moment = exchange->wait_until;
    if (exchange->state == EXCHANGE_WAITING && exchange->next_look && exchange->next_look < moment)
        moment = exchange->next_look;
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

static void log_silence(const struct exchange *exchange, uint64_t now, uint64_t late, bool others,
                        enum silence_action verdict)
{
    log_event(LOG_LEVEL_WARN, "request", "silent",
              "request=%s backend=%s silence_ms=%" PRIu64 " timer_late_ms=%" PRIu64
              " sent=%d sends=%u refusals=%u events=%" PRIu64 " others=%d outcome=%s",
              exchange->head.id, exchange->backend->listing.id, (now - heard_at(exchange)) / MS_US,
              late / MS_US, upstream_is_sent(exchange->upstream), exchange->sends,
              exchange->refusals, exchange->events.events, others,
              verdict == SILENCE_LEAVE ? "leave" : "stay");
}

static void leave_silent(struct exchange *exchange)
{
    if (upstream_is_sent(exchange->upstream)) {
        exchange_count_send(exchange);
        exchange_on_broken(exchange, BACKEND_SILENT, END_SILENT);
        return;
    }
    exchange_end_attempt(exchange, BACKEND_UNREACHABLE);
    exchange_dispatch(exchange);
}

/* A back end that sends nothing may be at work still: it is left only for another one that can take
 * the request. While there is none, silence ends nothing but the time of the request. */
static void on_silence(struct exchange *exchange, uint64_t now)
{
    uint64_t late = now > exchange->timer_due ? now - exchange->timer_due : 0;
    struct attempt_facts facts = exchange_facts(exchange, now);
    uint64_t heard_after = exchange->streaming ? now - OTHER_HEARD_US : 0;
    bool others = exchange_has_other(exchange, heard_after);
    enum silence_action verdict = silence_choose_action(&facts, late, others);
    if (verdict == SILENCE_LEAVE || !exchange->bear_until)
        log_silence(exchange, now, late, others, verdict);
    if (verdict == SILENCE_LEAVE) {
        exchange->heard_after = heard_after;
        leave_silent(exchange);
        return;
    }
    exchange->bear_until =
        now + (late > PROCESS_STALL_US ? silence_limit(exchange) : SILENCE_LOOK_US);
    exchange_arm(exchange);
}

static void on_final_time(struct exchange *exchange)
{
    bool untouched =
        !exchange->may_have_run && (!exchange->upstream || !upstream_is_sent(exchange->upstream));
    if (exchange->backend && !exchange->first_byte_at)
        exchange_end_attempt(exchange, BACKEND_SILENT);
    exchange_give_up(exchange, untouched ? 503 : 504, END_TIME_OUT);
}

/* The silence of its back end meanwhile was this process's own. */
void exchange_look_at_time(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    if (now >= exchange->final_at) {
        on_final_time(exchange);
        return;
    }
    exchange->bear_until = now + silence_limit(exchange);
    exchange_arm(exchange);
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
    bool looks = exchange->next_look && now >= exchange->next_look;
    if (exchange->state == EXCHANGE_WAITING && (looks || now >= exchange->wait_until)) {
        exchange_dispatch(exchange);
        return;
    }
    uint64_t silence = silence_end(exchange);
    if (silence && now >= silence) {
        on_silence(exchange, now);
        return;
    }
    exchange_arm(exchange);
}

void exchange_arm(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    uint64_t moment = next_moment(exchange);
    uint64_t wait = moment > now ? (moment - now) / MS_US + 1 : 1;
    if (exchange->paused && wait > 50)
        wait = 50;
    exchange->timer_due = now + wait * MS_US;
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
    exchange_answer_own(edge, client, head->id, status,
                        status == 503 ? exchange_absent_retry_ms(edge) : 0, "");
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
    if (exchange->head.has_deadline && exchange->head.deadline_ms < hold_ms)
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
    exchange->state_of_service = edge_service(edge, exchange->service->name);
    set_times(exchange);
    struct caller_times *times = edge_route_times(edge, route->name);
    exchange->returned = times && caller_is_returning(times, head->deadline_ms, exchange->arrived);
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
    if (head.unreadable)
        log_event(LOG_LEVEL_WARN, "client", "unreadable-field", "request=%s field=%s", head.id,
                  head.unreadable);
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
    repeat_budget_earn(&exchange->state_of_service->budget, exchange->arrived);
    if (exchange_is_blocked(exchange)) {
        exchange_give_up_truly(exchange, END_BLOCKED);
        return NULL;
    }
    return exchange;
}

void exchange_start(struct exchange *exchange)
{
    exchange_dispatch(exchange);
}

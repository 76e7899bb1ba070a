/* Where a request goes: the choice of a back end, the line of those that wait, repeats. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/place_wait.h"
#include "edge/crash_watch.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** After every back end that could go on with a stream was tried, they are tried again after this:
 *  about two reports of load, which tell of places that came free. */
#define RESUME_PAUSE_US 100000
/** Between two looks for a place by a caller who came back, while overload lasts: several new
 * callers come to a gateway in that time. */
#define RETURNED_LOOK_US 20000
/** An unrepeatable request uses no connection that was idle for longer. */
#define UNREPEATABLE_IDLE_US 1500000
#define ANY_IDLE_US 3600000000ULL
/** With less time left a request is not sent any more. */
#define LEAST_LEFT_US 2000
/** So long before a version is required, engines that do not have it at hand get no new work: their
 *  links may be slow, and what waits there may begin late. */
#define VERSION_LEAD_US 400000
#define VERSION_SLOW_LEAD_US 1700000

/* --- sending -------------------------------------------------------------------------------------
 */

bool exchange_is_repeatable(const struct exchange *exchange)
{
    return exchange->route->kind == ROUTE_REPEATABLE ||
           (exchange->route->kind == ROUTE_STREAM && exchange->route->resumable);
}

static uint64_t least_version(const struct exchange *exchange, uint64_t at)
{
    const char *model = exchange->service->engine.model;
    return model ? version_bounds_least(&exchange->edge->versions, model, at) : 0;
}

/* Empty engines get the newest version that was named, the first one when none was. */
static uint64_t coming_version(const struct exchange *exchange)
{
    const char *model = exchange->service->engine.model;
    uint64_t newest = model ? version_bounds_newest(&exchange->edge->versions, model) : 0;
    return newest ? newest : FIRST_VERSION;
}

/* A begun stream goes wherever it can go on. */
static uint64_t expected_us(const struct exchange *exchange)
{
    if (exchange->route->kind != ROUTE_STREAM || exchange->resuming)
        return 0;
    return stream_length_expected_us(&exchange->state_of_service->stream_length,
                                     exchange->head.tokens_guess);
}

static void fill_wish(struct exchange *exchange, uint64_t now, struct backend_wish *wish)
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
        .coming_version = coming_version(exchange),
        .gateways = exchange->edge->gateways,
        .any_load = exchange->resuming,
        .expected_us = expected_us(exchange),
        .heard_after = exchange->heard_after,
    };
    exchange_fill_isolation(exchange, now, wish);
    for (uint32_t i = exchange->excluded_from; i < exchange->tried_count; i++)
        wish->excluded[wish->excluded_count++] = exchange->tried[i].backend;
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
    /* Only a begun stream names a version. Any other may run on a newer one, and an engine that is
     * ahead refuses what asks for the least. */
    struct forward_head forward = {
        .deadline_ms = (uint32_t)((exchange->final_at - now) / MS_US),
        .instance = backend->listing.id,
        .tenant = exchange->tenant ? exchange->tenant->name : NULL,
        .last_event_id =
            exchange->resuming && exchange->events.last_id[0] ? exchange->events.last_id : NULL,
        .version = exchange->resuming ? exchange->version : 0,
        .urgency = exchange->service->engine.model ? exchange_urgency(exchange) : -1,
    };
    platform_write_request(request, &forward, bytes);
    buffer_append(bytes, request->body.data, request->body.size);
    return true;
}

/* The list dropped it: whether it still should have got this request shows here alone. */
static void log_unlisted(const struct exchange *exchange, const struct backend *backend,
                         uint64_t now)
{
    metric_add(METRIC_SENDS_UNLISTED, 1);
    log_event(LOG_LEVEL_INFO, "request", "sent-unlisted",
              "request=%s backend=%s unlisted_ms=%" PRIu64 " usable_ms=%" PRIu64 " from_outage=%d",
              exchange->head.id, backend->listing.id, (now - backend->unlisted_at) / MS_US,
              (backend->unlisted_until - now) / MS_US, backend->doubtful);
}

/* While back ends stay full for longer than a caller stays away, one who came back is in time no
 * more and would take the place of one who can be: he looks for what is left now and then. */
static void wait_apart(struct exchange *exchange, uint64_t now)
{
    exchange_wait_until(exchange, now + RETURNED_LOOK_US);
}

/* All that could go on with a begun stream were tried: they may be again, after a while. */
static void wait_for_others(struct exchange *exchange, uint64_t now)
{
    exchange->excluded_from = exchange->tried_count;
    exchange->not_before = now + RESUME_PAUSE_US;
    exchange->heard_after = 0;
    exchange_wait_in_line(exchange);
}

/* Not even an attempt to connect could be made, so nothing has run: others may have a way. */
static void on_no_connection(struct exchange *exchange, uint64_t now)
{
    exchange_end_attempt(exchange, BACKEND_UNREACHABLE);
    if (exchange->streaming)
        wait_for_others(exchange, now);
    else if (exchange->tried_count < BACKEND_MAX_EXCLUDED)
        exchange_dispatch(exchange);
    else
        exchange_give_up_truly(exchange, END_NO_CONNECTION);
}

static void send_to(struct exchange *exchange, struct backend *backend, uint64_t now)
{
    if (now + LEAST_LEFT_US > exchange->final_at) { /* no back end could begin in time */
        exchange_give_up(exchange, exchange->may_have_run ? 504 : 503, END_TIME_OUT);
        return;
    }
    uint64_t most_idle =
        exchange->route->kind == ROUTE_UNREPEATABLE ? UNREPEATABLE_IDLE_US : ANY_IDLE_US;
    exchange_count_place(exchange, true);
    exchange->next_look = 0;
    exchange->state = EXCHANGE_SENT;
    exchange->backend = backend_retain(backend);
    exchange->sent_at = now;
    exchange->first_byte_at = 0;
    exchange->counted = false;
    exchange->paused = false;
    exchange->last_event_at = now;
    exchange->bear_until = 0;
    exchange->heard_after = 0;
    exchange_note_send(exchange, backend, now);
    if (backend->unlisted_until)
        log_unlisted(exchange, backend, now);
    metric_observe(METRIC_PLACE_WAIT, now - exchange->arrived);
    if (backend->load_at)
        metric_observe(METRIC_LOAD_AGE, now - backend->load_at);
    backend_begin(backend, exchange->head.tokens_in, now);
    exchange->upstream = upstream_send(exchange->edge, backend, exchange, most_idle);
    if (exchange->upstream)
        exchange_arm(exchange);
    else
        on_no_connection(exchange, now);
}

static void spend_repeat(struct exchange *exchange, uint64_t now)
{
    if (!exchange->owes_repeat)
        return;
    exchange->owes_repeat = false;
    repeat_budget_spend(&exchange->state_of_service->budget, now, exchange->edge->gateways_most);
}

/* Its attempts are used up, unless its last back end has ended. \return whether it may go on */
static bool is_past_doubt(struct exchange *exchange, uint64_t now)
{
    if (!exchange->in_doubt)
        return true;
    if (crash_watch_is_checking(exchange->edge, exchange_last_tried(exchange))) {
        exchange_wait_in_line(exchange);
        return false;
    }
    exchange->in_doubt = false;
    struct attempt_facts facts = exchange_facts(exchange, now);
    if (attempt_may_retry(&facts))
        return true;
    exchange_give_up_truly(exchange, exchange->doubt_reason);
    return false;
}

/* A client reads this stream: it waits for whoever can go on with it, as long as somebody can. */
static void dispatch_begun(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    uint64_t now = cluster_now();
    struct backend_wish wish;
    struct backend *backend;
    if (!is_past_doubt(exchange, now))
        return;
    bool allowed =
        !exchange->owes_repeat ||
        repeat_budget_allows(&exchange->state_of_service->budget, now, edge->gateways_most);
    fill_wish(exchange, now, &wish);
    if (!backend_pool_may_serve(edge->pool, &wish, now)) {
        exchange_give_up_truly(exchange, END_NO_BACKEND);
        return;
    }
    if (!allowed || now < exchange->not_before) {
        exchange_wait_in_line(exchange);
        return;
    }
    if (backend_pool_choose(edge->pool, &wish, now, &backend) != BACKEND_FOUND) {
        wait_for_others(exchange, now);
        return;
    }
    if (exchange_waits_for_lease(exchange, backend, now))
        return;
    exchange_leave_line(exchange);
    spend_repeat(exchange, now);
    send_to(exchange, backend, now);
}

uint64_t exchange_backoff_end(struct exchange *exchange, uint64_t now)
{
    struct backend_wish wish;
    fill_wish(exchange, now, &wish);
    return backend_pool_backoff_end(exchange->edge->pool, &wish, now);
}

static enum exchange_end end_without_place(const struct exchange *exchange,
                                           enum backend_absence absence, uint64_t backoff_end)
{
    if (absence == BACKEND_FULL)
        return exchange->held ? END_HELD : END_FULL;
    return backoff_end ? END_BACKED_OFF : END_NO_BACKEND;
}

/* \return whether it ends here, as no back end can be had for it in time */
static bool is_given_up(struct exchange *exchange, enum backend_absence absence, uint64_t now)
{
    uint64_t backoff_end = absence == BACKEND_NONE ? exchange_backoff_end(exchange, now) : 0;
    if (!place_wait_refuses(absence, backoff_end, exchange->wait_until, now) &&
        exchange->tried_count < BACKEND_MAX_EXCLUDED)
        return false;
    exchange->no_backend = absence == BACKEND_NONE && !exchange->tried_count;
    if (absence == BACKEND_FULL && !exchange->held)
        exchange_count_place(exchange, false);
    else if (absence == BACKEND_NONE)
        overload_reset(&exchange->state_of_service->overload);
    exchange_give_up_truly(exchange, end_without_place(exchange, absence, backoff_end));
    return true;
}

static void dispatch_new(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    struct backend_wish wish;
    struct backend *backend;
    fill_wish(exchange, now, &wish);
    enum backend_absence absence = backend_pool_choose(exchange->edge->pool, &wish, now, &backend);
    if (absence == BACKEND_FOUND) {
        if (exchange_waits_for_lease(exchange, backend, now))
            return;
        exchange_leave_line(exchange);
        send_to(exchange, backend, now);
        return;
    }
    if (is_given_up(exchange, absence, now))
        return;
    if (exchange->returned && overload_is_sustained(&exchange->state_of_service->overload, now))
        wait_apart(exchange, now);
    else
        exchange_wait_in_line(exchange);
}

void exchange_dispatch(struct exchange *exchange)
{
    uint64_t pause = exchange_suspicion_pause(exchange, cluster_now());
    if (pause)
        exchange_hold_until(exchange, pause);
    else if (exchange->streaming)
        dispatch_begun(exchange);
    else
        dispatch_new(exchange);
}

/* Places that are gone are news for those that wait, too. \return whether the request left the line
 */
static bool offer_place(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    struct backend_wish wish;
    struct backend *backend;
    if (exchange_suspicion_pause(exchange, now))
        return false;
    if (exchange->streaming) {
        dispatch_begun(exchange);
        return !exchange->in_line;
    }
    fill_wish(exchange, now, &wish);
    enum backend_absence absence = backend_pool_choose(exchange->edge->pool, &wish, now, &backend);
    if (absence == BACKEND_NONE)
        return is_given_up(exchange, absence, now);
    if (absence == BACKEND_FULL)
        return false;
    if (exchange_waits_for_lease(exchange, backend, now))
        return true;
    exchange_leave_line(exchange);
    send_to(exchange, backend, now);
    return true;
}

void exchange_dispatch_waiting(struct edge *edge)
{
    for (struct exchange *exchange = edge->waiting, *next; exchange; exchange = next) {
        next = exchange->next_waiting;
        if (offer_place(exchange))
            next = edge->waiting; /* a send that fails may have changed the line */
    }
}

bool exchange_has_other(struct exchange *exchange, uint64_t heard_after)
{
    struct edge *edge = exchange->edge;
    uint64_t now = cluster_now();
    struct backend_wish wish;
    bool repeats = exchange->upstream && upstream_is_sent(exchange->upstream);
    if (repeats &&
        !repeat_budget_allows(&exchange->state_of_service->budget, now, edge->gateways_most))
        return false;
    fill_wish(exchange, now, &wish);
    wish.exact_version = exchange->streaming ? exchange->version : 0;
    wish.any_load = false;
    wish.heard_after = heard_after;
    if (wish.excluded_count < BACKEND_MAX_EXCLUDED)
        wish.excluded[wish.excluded_count++] = exchange->backend;
    return backend_pool_has_room(edge->pool, &wish, now);
}

static void log_retry(const struct exchange *exchange, enum exchange_end reason, uint64_t now)
{
    metric_add(METRIC_RETRIES, 1);
    log_event(LOG_LEVEL_INFO, "request", "retry",
              "request=%s reason=%s sends=%u refusals=%u events=%" PRIu64 " weights=%" PRIu64
              " took_ms=%" PRIu64,
              exchange->head.id, exchange_end_name(reason), exchange->sends, exchange->refusals,
              exchange->events.events, exchange->version, (now - exchange->arrived) / MS_US);
}

static bool may_repeat(struct exchange *exchange, uint64_t now)
{
    struct edge *edge = exchange->edge;
    if (repeat_budget_spend(&exchange->state_of_service->budget, now, edge->gateways_most))
        return true;
    metric_add(METRIC_BUDGET_SPENT, 1);
    log_event(LOG_LEVEL_WARN, "request", "budget-spent", "request=%s service=%s gateways=%u",
              exchange->head.id, exchange->service->name, edge->gateways_most);
    return false;
}

/* Go to another back end, if the rules and the budget allow it. A begun stream waits for the budget
 * too: it is earned anew with each request. */
void exchange_try_again(struct exchange *exchange, enum exchange_end reason)
{
    uint64_t now = cluster_now();
    struct attempt_facts facts = exchange_facts(exchange, now);
    exchange->in_doubt = exchange->streaming && !attempt_may_retry(&facts) &&
                         crash_watch_is_checking(exchange->edge, exchange_last_tried(exchange));
    exchange->doubt_reason = reason;
    if ((!attempt_may_retry(&facts) && !exchange->in_doubt) ||
        (!exchange->streaming && !may_repeat(exchange, now))) {
        exchange_give_up_truly(exchange, reason);
        return;
    }
    if (exchange_is_blocked(exchange)) {
        exchange_give_up_truly(exchange, END_BLOCKED);
        return;
    }
    log_retry(exchange, reason, now);
    if (exchange->streaming) {
        exchange->owes_repeat = true;
        exchange->wait_until = exchange->final_at;
    }
    exchange_dispatch(exchange);
}

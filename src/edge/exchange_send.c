/* Dispatch of requests: choice of a backend, offers to queued requests, retries. */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/load/slot_wait.h"
#include "edge/crash_watch.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/** Delay before backends are tried again after all that could resume a stream were tried: about two
 * load reports, which show slots that became free. */
#define RESUME_RETRY_DELAY_US 100000
/** Interval at which a client's retry polls for a slot while an overload lasts: several new
 * requests reach a gateway in that time. */
#define RETRY_POLL_US 20000
/** A request that must not be retried uses no connection that was idle for longer. */
#define NON_RETRYABLE_MAX_IDLE_US 1500000
#define RETRYABLE_MAX_IDLE_US 3600000000ULL
/** A request with less time left until its deadline is not sent any more. */
#define MIN_TIME_LEFT_US 2000
/** From this long before a version is required, engines that have not staged it get no new
 * requests: their links may be slow, and requests queued there may begin late. */
#define VERSION_LEAD_US 400000
/** The same for engines on slow links, which must have loaded it by then. */
#define VERSION_SLOW_LEAD_US 1700000

/* --- Sending --- */

bool exchange_is_retryable(const struct exchange *exchange)
{
    return exchange->route->kind == ROUTE_IDEMPOTENT ||
           (exchange->route->kind == ROUTE_STREAM && exchange->route->resumable);
}

static uint64_t required_version_at(const struct exchange *exchange, uint64_t at)
{
    const char *model = exchange->service->engine.model;
    return model ? version_bounds_minimum(&exchange->edge->versions, model, at) : 0;
}

/* \return the version that engines without weights will load: the newest one named, or the first */
static uint64_t newest_version(const struct exchange *exchange)
{
    const char *model = exchange->service->engine.model;
    uint64_t newest = model ? version_bounds_newest(&exchange->edge->versions, model) : 0;
    return newest ? newest : INITIAL_VERSION;
}

/* \return expected duration of a stream; 0: unknown, or irrelevant, as a resumed stream goes to
 * any backend */
static uint64_t expected_duration_us(const struct exchange *exchange)
{
    if (exchange->route->kind != ROUTE_STREAM || exchange->resuming)
        return 0;
    return stream_length_expected_us(&exchange->service_state->stream_length,
                                     exchange->head.expected_output_tokens);
}

static struct cold_limit cold_limit_of(const struct exchange *exchange)
{
    struct cold_limit limit = {.rate = exchange->edge->cold_bound};
    limit.rate.per_s = exchange->service->cold_per_s;
    limit.start_us = exchange->service->cold_start_ms * US_PER_MS;
    return limit;
}

static void fill_criteria(struct exchange *exchange, uint64_t now,
                          struct backend_criteria *criteria)
{
    exchange_update_residency(exchange);
    *criteria = (struct backend_criteria){
        .service = exchange->service->name,
        .engine = exchange->service->engine.model != NULL,
        .tokens = exchange->head.prompt_tokens,
        .mean_prompt_tokens = exchange->service->engine.mean_prompt_tokens,
        .context_tokens = exchange->head.prompt_tokens + exchange->head.max_output_tokens,
        .kv_cache_tokens = exchange->service->engine.kv_cache_tokens,
        .prefill_tokens_per_ms = exchange->service->engine.prefill_tokens_per_ms,
        .min_version = required_version_at(exchange, now),
        .next_min_version = required_version_at(exchange, now + VERSION_LEAD_US),
        .later_min_version = required_version_at(exchange, now + VERSION_SLOW_LEAD_US),
        .required_version = exchange->resuming ? exchange->version : 0,
        .coming_version = newest_version(exchange),
        .gateways = exchange->edge->gateways,
        .any_load = exchange->resuming,
        .may_have_run = exchange->may_have_run,
        .cold = cold_limit_of(exchange),
        .residency = exchange->residency,
        .expected_us = expected_duration_us(exchange),
        .heard_after = exchange->heard_after,
        .reserved_share = exchange_takes_leftovers(exchange, now) ? OVERLOAD_RESERVED_SHARE : 0,
    };
    exchange_fill_isolation(exchange, now, criteria);
    for (uint32_t i = exchange->excluded_from; i < exchange->tried_count; i++)
        criteria->excluded[criteria->excluded_count++] = exchange->tried[i].backend;
}

bool exchange_write_request(struct exchange *exchange, struct buffer *bytes)
{
    uint64_t now = cluster_now();
    struct backend *backend = exchange->backend;
    struct backend_criteria criteria;
    fill_criteria(exchange, now, &criteria);
    if (now + US_PER_MS > exchange->deadline_at ||
        !backend_may_start_request(exchange->edge->pool, backend, &criteria, now))
        return false;
    const struct http_message *request = edge_client_request(exchange->client);
    /* Only a resumed stream names a version. Any other request may run on a newer one, and an
     * engine that is ahead would refuse a request for the least version. */
    struct forward_head forward = {
        .deadline_ms = (uint32_t)((exchange->deadline_at - now) / US_PER_MS),
        .instance = backend->listing.id,
        .tenant = exchange->tenant ? exchange->tenant->name : NULL,
        .last_event_id =
            exchange->resuming && exchange->events.last_id[0] ? exchange->events.last_id : NULL,
        .version = exchange->resuming ? exchange->version : 0,
        .urgency = exchange->service->engine.model ? exchange_urgency(exchange) : -1,
    };
    platform_write_request(request, &forward, bytes);
    buffer_append(bytes, request->body.data, request->body.size);
    backend_record_send(backend, now);
    return true;
}

/* The backend is no longer listed; this line is the only record for judging whether the request
 * should still have gone there. */
static void log_unlisted(const struct exchange *exchange, const struct backend *backend,
                         uint64_t now)
{
    metric_add(METRIC_SENDS_UNLISTED, 1);
    log_event(LOG_LEVEL_INFO, "request", "sent-unlisted",
              "request=%s backend=%s unlisted_ms=%" PRIu64 " usable_ms=%" PRIu64 " from_outage=%d",
              exchange->head.id, backend->listing.id, (now - backend->unlisted_at) / US_PER_MS,
              (backend->unlisted_until - now) / US_PER_MS, backend->unlisted_in_outage);
}

/* While backends stay full for longer than a refused client waits, its retry would be late anyway
 * and take a slot from a new request that can be in time. So retries only poll for slots that are
 * left. */
static void wait_outside_queue(struct exchange *exchange, uint64_t now)
{
    exchange_wait_until(exchange, now + RETRY_POLL_US);
}

/* All backends that could resume the stream were tried; allows them again after a delay. */
static void wait_for_backends(struct exchange *exchange, uint64_t now)
{
    exchange->excluded_from = exchange->tried_count;
    exchange->not_before = now + RESUME_RETRY_DELAY_US;
    exchange->heard_after = 0;
    exchange_enqueue(exchange);
}

/* No connect could be started, so nothing has run; other backends may be reachable. */
static void on_no_connection(struct exchange *exchange, uint64_t now)
{
    exchange_end_attempt(exchange, BACKEND_UNREACHABLE);
    if (exchange->streaming)
        wait_for_backends(exchange, now);
    else if (exchange->tried_count < BACKEND_MAX_EXCLUDED)
        exchange_dispatch(exchange);
    else
        exchange_fail_by_run_state(exchange, END_NO_CONNECTION);
}

/* With `backoff-over`, tells which gateway uses a backend again after a backoff or an ejection. */
static void log_probe(const struct exchange *exchange, const struct backend *backend, uint64_t now)
{
    uint64_t free_at = backend->backoff_until > backend->ejected_until ? backend->backoff_until
                                                                       : backend->ejected_until;
    log_event(LOG_LEVEL_INFO, "backend", "probe",
              "id=%s born=%" PRIu64 " request=%s after=%s free_ms=%" PRIu64 " in_flight=%u",
              backend->listing.id, backend->listing.born, exchange->head.id,
              backend->ejected_until ? "ejection" : "backoff", (now - free_at) / US_PER_MS,
              backend->in_flight);
}

static void send_to(struct exchange *exchange, struct backend *backend, uint64_t now)
{
    if (now + MIN_TIME_LEFT_US > exchange->deadline_at) { /* no backend could begin in time */
        exchange_fail(exchange, exchange->may_have_run ? 504 : 503, END_DEADLINE);
        return;
    }
    uint64_t most_idle = exchange->route->kind == ROUTE_NON_IDEMPOTENT ? NON_RETRYABLE_MAX_IDLE_US
                                                                       : RETRYABLE_MAX_IDLE_US;
    exchange_record_slot_result(exchange, true);
    exchange->recheck_at = 0;
    exchange->state = EXCHANGE_SENT;
    exchange->backend = backend_retain(backend);
    exchange->sent_at = now;
    exchange->first_byte_received_at = 0;
    exchange->send_counted = false;
    exchange->paused = false;
    exchange->last_event_at = now;
    exchange->silence_tolerated_until = 0;
    exchange->heard_after = 0;
    exchange->run_begun_at = 0;
    exchange->unframed_end_at = 0;
    exchange_trail_append_send(exchange, backend, now);
    if (backend->unlisted_until)
        log_unlisted(exchange, backend, now);
    metric_observe(METRIC_PLACE_WAIT, now - exchange->arrived_at);
    if (backend->load_at)
        metric_observe(METRIC_LOAD_AGE, now - backend->load_at);
    bool was_probing = backend->probing;
    backend_request_started(backend, exchange->head.prompt_tokens, now);
    if (backend->probing && !was_probing)
        log_probe(exchange, backend, now);
    exchange->upstream = upstream_send(exchange->edge, backend, exchange, most_idle);
    if (exchange->upstream)
        exchange_arm_timer(exchange);
    else
        on_no_connection(exchange, now);
}

/* If the attempts are used up unless the last backend has ended, waits for that check, and fails
 * the request if it has not ended. \return whether the request may be retried */
static bool crash_check_allows_retry(struct exchange *exchange, uint64_t now)
{
    if (!exchange->awaiting_crash_check)
        return true;
    if (crash_watch_is_checking(exchange->edge, exchange_last_tried(exchange))) {
        exchange_enqueue(exchange);
        return false;
    }
    exchange->awaiting_crash_check = false;
    struct attempt_facts facts = exchange_facts(exchange, now);
    if (attempt_may_retry(&facts))
        return true;
    exchange_fail_by_run_state(exchange, exchange->retry_reason);
    return false;
}

/* A client is reading this stream, so it waits for a backend to resume it as long as any can. */
static void dispatch_stream(struct exchange *exchange)
{
    struct edge *edge = exchange->edge;
    uint64_t now = cluster_now();
    struct backend_criteria criteria;
    struct backend *backend;
    if (!crash_check_allows_retry(exchange, now))
        return;
    bool is_within_budget = exchange_may_pay_retry(exchange, now);
    fill_criteria(exchange, now, &criteria);
    if (!backend_pool_may_serve(edge->pool, &criteria, now)) {
        exchange_fail_by_run_state(exchange, END_NO_BACKEND);
        return;
    }
    if (!is_within_budget || now < exchange->not_before) {
        exchange_enqueue(exchange);
        return;
    }
    if (backend_pool_choose(edge->pool, &criteria, now, &backend) != BACKEND_FOUND) {
        wait_for_backends(exchange, now);
        return;
    }
    if (exchange_waits_for_lease(exchange, backend, now))
        return;
    exchange_dequeue(exchange);
    exchange_pay_retry(exchange, now);
    send_to(exchange, backend, now);
}

uint64_t exchange_withheld_until(struct exchange *exchange, uint64_t now)
{
    struct backend_criteria criteria;
    fill_criteria(exchange, now, &criteria);
    return backend_pool_withheld_until(exchange->edge->pool, &criteria, now);
}

static enum end_reason no_slot_reason(const struct exchange *exchange,
                                      enum backend_choice_result absence, uint64_t withheld_until)
{
    if (absence == BACKEND_FULL && withheld_until)
        return END_RATE_LIMITED;
    if (absence == BACKEND_FULL)
        return exchange->held ? END_HELD : END_BACKENDS_FULL;
    if (residency_is_empty(&exchange->residency))
        return END_NO_REGION;
    return withheld_until ? END_BACKED_OFF : END_NO_BACKEND;
}

/* Fails the request if it cannot get a backend in time. \return whether it failed */
static bool fail_if_wait_is_over(struct exchange *exchange, enum backend_choice_result absence,
                                 uint64_t now)
{
    uint64_t withheld_until = exchange_withheld_until(exchange, now);
    if (!slot_wait_refuses(absence, withheld_until, exchange->wait_until, now) &&
        exchange->tried_count < BACKEND_MAX_EXCLUDED)
        return false;
    exchange->no_backend = absence == BACKEND_NONE && !exchange->tried_count;
    if (absence == BACKEND_FULL && !exchange->held)
        exchange_record_slot_result(exchange, false);
    else if (absence == BACKEND_NONE)
        overload_reset(&exchange->service_state->overload);
    exchange_fail_by_run_state(exchange, no_slot_reason(exchange, absence, withheld_until));
    return true;
}

static void dispatch_new(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    struct backend_criteria criteria;
    struct backend *backend;
    fill_criteria(exchange, now, &criteria);
    enum backend_choice_result absence =
        backend_pool_choose(exchange->edge->pool, &criteria, now, &backend);
    if (absence == BACKEND_FOUND) {
        if (exchange_waits_for_lease(exchange, backend, now))
            return;
        exchange_dequeue(exchange);
        send_to(exchange, backend, now);
        return;
    }
    if (fail_if_wait_is_over(exchange, absence, now))
        return;
    if (criteria.reserved_share > 0)
        wait_outside_queue(exchange, now);
    else
        exchange_enqueue(exchange);
}

void exchange_dispatch(struct exchange *exchange)
{
    uint64_t wait_until = exchange_must_wait_until(exchange, cluster_now());
    if (wait_until)
        exchange_hold_until(exchange, wait_until);
    else if (exchange->streaming)
        dispatch_stream(exchange);
    else
        dispatch_new(exchange);
}

/* Offers free slots to a queued request; fails it if none can become free.
 * \return whether it was dequeued */
static bool offer_slot(struct exchange *exchange)
{
    uint64_t now = cluster_now();
    struct backend_criteria criteria;
    struct backend *backend;
    if (exchange_must_wait_until(exchange, now))
        return false;
    if (exchange->streaming) {
        dispatch_stream(exchange);
        return !exchange->is_queued;
    }
    fill_criteria(exchange, now, &criteria);
    enum backend_choice_result absence =
        backend_pool_choose(exchange->edge->pool, &criteria, now, &backend);
    if (absence == BACKEND_NONE)
        return fail_if_wait_is_over(exchange, absence, now);
    if (absence == BACKEND_FULL)
        return false;
    if (exchange_waits_for_lease(exchange, backend, now))
        return true;
    exchange_dequeue(exchange);
    send_to(exchange, backend, now);
    return true;
}

void exchange_dispatch_queued(struct edge *edge)
{
    for (struct exchange *exchange = edge->queue, *next; exchange; exchange = next) {
        next = exchange->next_queued;
        if (offer_slot(exchange))
            next = edge->queue; /* a send that fails may have changed the queue */
    }
}

bool exchange_has_alternative(struct exchange *exchange, uint64_t heard_after)
{
    struct edge *edge = exchange->edge;
    uint64_t now = cluster_now();
    struct backend_criteria criteria;
    bool is_retry = exchange_is_sent(exchange);
    if (is_retry &&
        !repeat_budget_allows(&exchange->service_state->budget, now, &edge->budget_share))
        return false;
    fill_criteria(exchange, now, &criteria);
    criteria.required_version = exchange->streaming ? exchange->version : 0;
    criteria.any_load = false;
    criteria.heard_after = heard_after;
    if (criteria.excluded_count < BACKEND_MAX_EXCLUDED)
        criteria.excluded[criteria.excluded_count++] = exchange->backend;
    return backend_pool_has_room(edge->pool, &criteria, now);
}

static void log_retry(const struct exchange *exchange, enum end_reason reason, uint64_t now)
{
    metric_add(METRIC_RETRIES, 1);
    log_event(LOG_LEVEL_INFO, "request", "retry",
              "request=%s reason=%s sends=%u refusals=%u events=%" PRIu64 " weights=%" PRIu64
              " took_ms=%" PRIu64,
              exchange->head.id, end_reason_name(reason), exchange->sends, exchange->refusals,
              exchange->events.events, exchange->version, (now - exchange->arrived_at) / US_PER_MS);
}

/* A begun stream waits until the budget allows a retry, as each new request adds to the budget. */
void exchange_retry(struct exchange *exchange, enum end_reason reason)
{
    uint64_t now = cluster_now();
    struct attempt_facts facts = exchange_facts(exchange, now);
    exchange->awaiting_crash_check =
        exchange->streaming && !attempt_may_retry(&facts) &&
        crash_watch_is_checking(exchange->edge, exchange_last_tried(exchange));
    exchange->retry_reason = reason;
    if ((!attempt_may_retry(&facts) && !exchange->awaiting_crash_check) ||
        (!exchange->streaming && !exchange_take_retry(exchange, now))) {
        exchange_fail_by_run_state(exchange, reason);
        return;
    }
    if (exchange_is_blocked(exchange)) {
        exchange_fail_by_run_state(exchange, END_BLOCKED);
        return;
    }
    log_retry(exchange, reason, now);
    if (exchange->streaming) {
        exchange->owes_retry_charge = true;
        exchange->wait_until = exchange->deadline_at;
    }
    exchange_dispatch(exchange);
}

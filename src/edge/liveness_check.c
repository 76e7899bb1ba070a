#include "edge/liveness_check.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "edge/backend_feedback.h"
#include "edge/exchange_internal.h"
#include "net/http_caller.h"

#include <inttypes.h>
#include <stdlib.h>

/** A health check waits for a slot like a request; one without an answer by then is sent again. */
#define HEALTH_TIMEOUT_MS 2000
/** Bytes of a health answer's body, which is not used. */
#define HEALTH_BODY_LIMIT 65536
/** Pause after a health check that showed nothing; it doubles, as a full backend rejects them. */
#define MIN_PAUSE_US 50000
#define MAX_PAUSE_US 800000
/** Time for which the connection is kept for the next health check. */
#define KEEP_CONNECTION_US 1000000

/* Health checks of one backend, and the exchanges that await their result. */
struct liveness_check {
    struct edge *edge;
    struct backend *backend;
    struct http_caller *caller;
    struct exchange *waiting; /* first of them */
    bool asking;              /* a health check has no result yet */
    uint64_t asked_at;        /* when the latest one was sent */
    uint64_t answered_at;     /* when the latest result came */
    uint64_t pause_us;        /* from then to the next one; 0: it showed something */
    struct liveness_check *next;
};

static struct liveness_check *find_check(const struct edge *edge, const struct backend *backend)
{
    struct liveness_check *check = edge->liveness_checks;
    while (check && check->backend != backend)
        check = check->next;
    return check;
}

static struct liveness_check *create_check(struct edge *edge, struct backend *backend)
{
    struct sockaddr_in address = {0};
    if (!tcp_address_parse(backend->listing.address, &address))
        log_event(LOG_LEVEL_ERROR, "backend", "bad-address", "id=%s address=%s",
                  backend->listing.id, backend->listing.address);
    struct liveness_check *check = memory_calloc(1, sizeof *check);
    check->edge = edge;
    check->backend = backend_retain(backend);
    check->caller = http_caller_create(edge->loop, &address);
    check->next = edge->liveness_checks;
    edge->liveness_checks = check;
    return check;
}

static void destroy_check(struct liveness_check *check)
{
    struct liveness_check **link = &check->edge->liveness_checks;
    while (*link != check)
        link = &(*link)->next;
    *link = check->next;
    http_caller_destroy(check->caller);
    backend_release(check->backend);
    free(check);
}

static void remove_waiting(struct liveness_check *check, struct exchange *exchange)
{
    struct exchange **link = &check->waiting;
    while (*link != exchange)
        link = &(*link)->next_awaiting_liveness;
    *link = exchange->next_awaiting_liveness;
    exchange->liveness_check = NULL;
}

static struct exchange *find_covered(const struct liveness_check *check, uint64_t asked_at)
{
    struct exchange *exchange = check->waiting;
    while (exchange && !liveness_probe_covers(asked_at, exchange->unframed_end_at))
        exchange = exchange->next_awaiting_liveness;
    return exchange;
}

/* Tells all exchanges whose answers ended before `asked_at`. Each of them may end others, and make
 * them await another result. */
static void resolve(struct liveness_check *check, enum liveness liveness, uint64_t asked_at)
{
    struct exchange *exchange;
    while ((exchange = find_covered(check, asked_at))) {
        remove_waiting(check, exchange);
        exchange_on_liveness(exchange, liveness);
    }
}

static enum probe_result probe_result_of(enum http_call_result result)
{
    switch (result) {
    case CALL_COMPLETE:
        return PROBE_ANSWERED;
    case CALL_CONNECT_FAILED:
        return PROBE_REFUSED;
    default:
        return PROBE_UNANSWERED;
    }
}

static void pause_checks(struct liveness_check *check)
{
    check->pause_us = check->pause_us ? 2 * check->pause_us : MIN_PAUSE_US;
    if (check->pause_us > MAX_PAUSE_US)
        check->pause_us = MAX_PAUSE_US;
}

static void ask(struct liveness_check *check);

static void on_health(void *context, enum http_call_result result,
                      const struct http_message *message)
{
    struct liveness_check *check = context;
    const char *id = check->backend->listing.id;
    struct response_head head = {0};
    if (message) {
        platform_read_response(message, &head);
        backend_feedback_from_response(check->edge, check->backend, &head, check->asked_at);
    }
    enum liveness liveness = liveness_from_probe(probe_result_of(result), id, head.instance);
    log_event(LOG_LEVEL_INFO, "backend", "health",
              "id=%s born=%" PRIu64 " result=\"%s\" status=%u answered_by=%s asked_ms_ago=%" PRIu64
              " outcome=%s",
              id, check->backend->listing.born, http_call_result_name(result),
              head.properties.status, head.instance[0] ? head.instance : "-",
              (cluster_now() - check->asked_at) / US_PER_MS, liveness_name(liveness));
    check->asking = false;
    check->answered_at = cluster_now();
    if (liveness == LIVENESS_UNKNOWN) {
        pause_checks(check);
        return; /* a tick asks again */
    }
    check->pause_us = 0;
    resolve(check, liveness, check->asked_at);
    ask(check);
}

static void ask(struct liveness_check *check)
{
    uint64_t now = cluster_now();
    if (check->asking || !check->waiting || now < check->answered_at + check->pause_us)
        return;
    struct http_caller_request request = {
        .method = "GET",
        .target = platform_health_target(check->waiting->service),
        .timeout_ms = HEALTH_TIMEOUT_MS,
        .body_limit = HEALTH_BODY_LIMIT,
        .done = on_health,
        .context = check,
    };
    check->asking = true;
    check->asked_at = now;
    metric_add(METRIC_HEALTH_CHECKS, 1);
    http_caller_send(check->caller, &request);
}

void liveness_check_join(struct exchange *exchange)
{
    struct liveness_check *check = find_check(exchange->edge, exchange->backend);
    if (!check)
        check = create_check(exchange->edge, exchange->backend);
    exchange->liveness_check = check;
    exchange->next_awaiting_liveness = check->waiting;
    check->waiting = exchange;
    ask(check);
}

void liveness_check_leave(struct exchange *exchange)
{
    if (exchange->liveness_check)
        remove_waiting(exchange->liveness_check, exchange);
}

/* A later start that is listed at the address proves the end, also while it answers nothing. */
static void end_if_successor_is_listed(struct liveness_check *check, uint64_t now)
{
    const struct backend *current =
        backend_pool_find_address(check->edge->pool, check->backend->listing.address);
    if (!check->waiting || !current || current == check->backend)
        return;
    log_event(LOG_LEVEL_INFO, "backend", "successor-listed", "id=%s by=%s address=%s",
              check->backend->listing.id, current->listing.id, current->listing.address);
    resolve(check, LIVENESS_ENDED, now);
}

void liveness_check_tick(struct edge *edge, uint64_t now)
{
    for (struct liveness_check *check = edge->liveness_checks, *next; check; check = next) {
        end_if_successor_is_listed(check, now);
        ask(check);
        next = check->next;
        if (!check->waiting && !check->asking && now > check->asked_at + KEEP_CONNECTION_US)
            destroy_check(check);
    }
}

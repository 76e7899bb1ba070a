#include "edge/crash_watch.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Requests of this gateway at one back end that are kept; engines run 12 to 16 of all gateways. */
#define RUNS_MOST 64
/** Time after the first broken connection in which the others of an ended back end break too. */
#define GATHER_MS 10
/** Requests that broke off so long before the last one did not run when the back end ended. */
#define SAME_END_US ((uint64_t)300000)
/** A request that broke off sooner may have been sent into a connection whose other end was gone.
 */
#define RUN_LEAST_US ((uint64_t)20000)
/** A new connection that is neither up nor refused by then proves nothing. */
#define CONNECT_MS 700
/** Time in which another start at the address shows that the last one ended. */
#define RESTART_US ((uint64_t)5000000)

enum crash_check_state {
    CHECK_GATHERS,  /* further connections may break */
    CHECK_DOUBTS,   /* some are still up: they may break yet */
    CHECK_CONNECTS, /* whether a new one is refused */
    CHECK_WAITS,    /* for another start at the address */
};

struct lost_run {
    struct request_identity identity;
    uint32_t attempt; /* crash_attempt_key() */
    uint64_t broken_at;
    uint64_t began_at; /* of the first of like ones; 0: it may not have begun */
};

/* A back end that may have ended, and the requests that broke off there. */
struct crash_check {
    struct edge *edge;
    struct backend *backend;
    bool planned;       /* it had said that it leaves: its end is no evidence */
    uint64_t start;     /* crash_incarnation_key() */
    uint64_t began_at;  /* when the last of these requests began there; 0: not known */
    uint64_t broken_at; /* when the last request broke off */
    enum crash_check_state state;
    struct lost_run runs[RUNS_MOST];
    uint32_t run_count;
    uv_timer_t timer;
    uv_tcp_t connection;
    uv_connect_t connect;
    uint32_t open_handles; /* the timer, and the connection while there is one */
    struct crash_check *next;
};

/* --- end of a check ------------------------------------------------------------------------------
 */

static void on_closed(uv_handle_t *handle)
{
    struct crash_check *check = handle->data;
    if (--check->open_handles)
        return;
    backend_release(check->backend);
    free(check);
}

static void end_check(struct crash_check *check)
{
    struct crash_check **place = &check->edge->crash_checks;
    while (*place != check)
        place = &(*place)->next;
    *place = check->next;
    uv_close((uv_handle_t *)&check->timer, on_closed);
    if (check->open_handles > 1 && !uv_is_closing((uv_handle_t *)&check->connection))
        uv_close((uv_handle_t *)&check->connection, on_closed);
}

static bool was_at_end(const struct crash_check *check, const struct lost_run *run)
{
    return run->broken_at + SAME_END_US >= check->broken_at;
}

static void log_evidence(const struct crash_check *check, const struct lost_run *run, uint64_t now)
{
    const struct crash_table *table = crash_sync_table(check->edge->cluster.crashes);
    const struct crash_entry *entry = crash_table_find(table, &run->identity);
    if (!entry)
        return;
    struct crash_finding finding = crash_table_finding(table, &run->identity, now);
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(&run->identity, hex);
    log_event(LOG_LEVEL_WARN, "crash", "evidence",
              "identity=%s backend=%s born=%" PRIu64 " start=%08" PRIx32
              " starts=%u weight=%u unexplained=%u proofs=%u isolated=%d outcome=%s",
              hex, check->backend->listing.id, check->backend->listing.born, (uint32_t)check->start,
              entry->crash_count, crash_entry_distinct_crashes(entry), finding.unexplained,
              finding.proofs, finding.isolated,
              crash_verdict_name(crash_table_verdict(table, &run->identity, now)));
}

/* All that were there are known before any of them is judged. */
static void add_evidence(struct crash_check *check)
{
    struct crash_table *table = crash_sync_table(check->edge->cluster.crashes);
    uint64_t now = cluster_now();
    check->start = crash_table_incarnation_of_run(table, check->start, check->began_at);
    for (uint32_t i = 0; i < check->run_count; i++) {
        const struct lost_run *run = &check->runs[i];
        struct crash_event start = {.incarnation = check->start,
                                    .ended_at = check->broken_at,
                                    .attempt = run->attempt,
                                    .began_at = run->began_at,
                                    .detected_at = now};
        if (was_at_end(check, run))
            crash_table_add(table, &run->identity, &start);
    }
    for (uint32_t i = 0; i < check->run_count; i++)
        if (was_at_end(check, &check->runs[i]))
            log_evidence(check, &check->runs[i], now);
}

static void confirm(struct crash_check *check, const char *proof)
{
    struct edge *edge = check->edge;
    metric_add(METRIC_CRASHES, !check->planned);
    backend_pool_ended(edge->pool, check->backend, cluster_now());
    log_event(check->planned ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "crash", "ended",
              "backend=%s born=%" PRIu64 " proof=%s planned=%d requests=%u ended_ms_ago=%" PRIu64,
              check->backend->listing.id, check->backend->listing.born, proof, check->planned,
              check->run_count, (cluster_now() - check->broken_at) / 1000);
    add_evidence(check);
    end_check(check);
    crash_sync_tell(edge->cluster.crashes);
    edge_client_end_blocked(edge);
    exchange_dispatch_waiting(edge);
}

static void dismiss(struct crash_check *check, const char *reason)
{
    log_event(LOG_LEVEL_INFO, "crash", "dismissed", "backend=%s requests=%u reason=%s",
              check->backend->listing.id, check->run_count, reason);
    end_check(check);
}

/* --- steps of a check ----------------------------------------------------------------------------
 */

static void wait_for_restart(struct crash_check *check)
{
    check->state = CHECK_WAITS;
    uv_timer_stop(&check->timer);
    if (!uv_is_closing((uv_handle_t *)&check->connection))
        uv_close((uv_handle_t *)&check->connection, on_closed);
}

static void on_connected(uv_connect_t *request, int status)
{
    struct crash_check *check = request->data;
    if (status == UV_ECANCELED) /* the check is over, or its time to connect is */
        return;
    if (status == UV_ECONNREFUSED)
        confirm(check, "refused");
    else
        wait_for_restart(check);
}

static void on_connect_time(uv_timer_t *timer)
{
    wait_for_restart(timer->data);
}

static void connect_anew(struct crash_check *check)
{
    struct sockaddr_in address;
    check->state = CHECK_CONNECTS;
    if (!tcp_address_parse(check->backend->listing.address, &address)) {
        dismiss(check, "bad-address");
        return;
    }
    uv_tcp_init(check->edge->loop, &check->connection);
    check->connection.data = check;
    check->open_handles++;
    check->connect.data = check;
    uv_timer_start(&check->timer, on_connect_time, CONNECT_MS, 0);
    int error = uv_tcp_connect(&check->connect, &check->connection,
                               (const struct sockaddr *)&address, on_connected);
    if (error == UV_ECONNREFUSED)
        confirm(check, "refused");
    else if (error)
        wait_for_restart(check);
}

static void on_gathered(uv_timer_t *timer)
{
    struct crash_check *check = timer->data;
    if (upstream_is_open(check->backend))
        check->state = CHECK_DOUBTS;
    else
        connect_anew(check);
}

/* --- begin ---------------------------------------------------------------------------------------
 */

static struct crash_check *find_check(const struct edge *edge, const struct backend *backend)
{
    for (struct crash_check *check = edge->crash_checks; check; check = check->next)
        if (check->backend == backend)
            return check;
    return NULL;
}

static void gather(struct crash_check *check)
{
    check->state = CHECK_GATHERS;
    uv_timer_start(&check->timer, on_gathered, GATHER_MS, 0);
}

static struct crash_check *begin_check(struct edge *edge, struct backend *backend)
{
    struct crash_check *check = memory_zero(1, sizeof *check);
    check->edge = edge;
    check->backend = backend_retain(backend);
    check->start = crash_incarnation_key(backend->listing.id, backend->listing.born);
    uv_timer_init(edge->loop, &check->timer);
    check->timer.data = check;
    check->open_handles = 1;
    gather(check);
    check->next = edge->crash_checks;
    edge->crash_checks = check;
    return check;
}

static struct lost_run *find_run(struct crash_check *check, const struct request_identity *identity)
{
    for (uint32_t i = 0; i < check->run_count; i++)
        if (request_identity_equal(&check->runs[i].identity, identity))
            return &check->runs[i];
    return NULL;
}

static void add_run(struct crash_check *check, const struct lost_run *run)
{
    struct lost_run *known = find_run(check, &run->identity);
    check->broken_at = run->broken_at;
    if (known) {
        known->broken_at = run->broken_at;
        if (run->began_at && (!known->began_at || run->began_at < known->began_at))
            known->began_at = run->began_at;
        return;
    }
    if (check->run_count == RUNS_MOST) {
        log_event(LOG_LEVEL_WARN, "crash", "too-many", "backend=%s most=%d",
                  check->backend->listing.id, RUNS_MOST);
        return;
    }
    check->runs[check->run_count++] = *run;
}

void crash_watch_lost_run(struct edge *edge, struct backend *backend,
                          const struct request_identity *identity, const char *request_id,
                          uint64_t sent_at)
{
    struct crash_check *check = find_check(edge, backend);
    if (!check)
        check = begin_check(edge, backend);
    else if (check->state == CHECK_WAITS && check->open_handles == 1)
        gather(check);
    uint64_t began_at = cluster_now() >= sent_at + RUN_LEAST_US ? sent_at : 0;
    if (began_at > check->began_at)
        check->began_at = began_at;
    check->planned |= backend_end_is_planned(edge->pool, backend, cluster_now());
    if (check->planned) {
        check->broken_at = cluster_now();
        log_event(LOG_LEVEL_INFO, "crash", "planned",
                  "request=%s backend=%s draining=%d leaving=%d known_ms=%" PRIu64, request_id,
                  backend->listing.id, backend->listing.draining,
                  backend->leaving || backend->load.leaving,
                  (cluster_now() - backend->leaves_since) / 1000);
        return;
    }
    struct lost_run run = {*identity, crash_attempt_key(request_id), cluster_now(), began_at};
    add_run(check, &run);
}

static bool has_restarted(const struct crash_check *check)
{
    const struct backend *there =
        backend_pool_find_address(check->edge->pool, check->backend->listing.address);
    return there && there != check->backend;
}

bool crash_watch_is_checking(const struct edge *edge, const struct backend *backend)
{
    const struct crash_check *check = backend ? find_check(edge, backend) : NULL;
    if (!check)
        return false;
    /* One that starts again at once accepts connections before the next tick confirms it. */
    return check->state == CHECK_GATHERS || check->state == CHECK_CONNECTS || has_restarted(check);
}

void crash_watch_tick(struct edge *edge, uint64_t now)
{
    for (struct crash_check *check = edge->crash_checks, *next; check; check = next) {
        next = check->next;
        if (check->state == CHECK_GATHERS || check->state == CHECK_CONNECTS)
            continue;
        if (has_restarted(check))
            confirm(check, "restarted");
        else if (now > check->broken_at + RESTART_US)
            dismiss(check, "it-lives");
        else if (check->state == CHECK_DOUBTS && !upstream_is_open(check->backend))
            connect_anew(check);
    }
}

#include "edge/crash_watch.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Interrupted requests of this gateway, and parts of their prompts, recorded for one backend;
 * engines run 12 to 16 requests of all gateways. */
#define MAX_LOST_RUNS 256
/** Time after the first broken connection within which a crashed backend's other connections break
 * too. */
#define COLLECT_MS 10
/** A request interrupted earlier than this before the last one was not running when the backend
 * crashed. */
#define SAME_CRASH_WINDOW_US ((uint64_t)300000)
/** A request interrupted within this time after its send may have been sent on a connection whose
 * peer was already gone. */
#define MIN_RUN_US ((uint64_t)20000)
/** A probe connection that is neither accepted nor refused by then is inconclusive. */
#define PROBE_CONNECT_TIMEOUT_MS 700
/** Time within which a later incarnation at the address proves that the previous one ended. */
#define RESTART_WINDOW_US ((uint64_t)5000000)

enum crash_check_state {
    CHECK_COLLECTING,       /* waiting for further connections to break */
    CHECK_CONNECTIONS_OPEN, /* some connections are still up and may break yet */
    CHECK_CONNECTING,       /* probing whether a new connection is refused */
    CHECK_AWAITING_RESTART, /* waiting for a later incarnation at the address */
};

/* What was running when a run broke off: a request, or a part of its prompt. */
struct lost_run {
    struct request_identity identity;
    bool is_part;
    struct prompt_part part;
    uint32_t attempt; /* crash_attempt_key(), or crash_request_key() for a part */
    uint64_t interrupted_at;
    uint64_t began_at; /* of the first run of an identical request; 0: it may not have begun */
};

/* A backend that may have crashed, and the requests that were interrupted there. */
struct crash_check {
    struct edge *edge;
    struct backend *backend;
    bool planned;            /* its end was announced and is no evidence */
    uint64_t incarnation;    /* crash_incarnation_key() */
    uint64_t began_at;       /* when the last of its requests began; 0: not known */
    uint64_t interrupted_at; /* when the last request was interrupted */
    enum crash_check_state state;
    struct lost_run runs[MAX_LOST_RUNS];
    uint32_t run_count;
    uv_timer_t timer;
    uv_tcp_t connection;
    uv_connect_t connect;
    uint32_t open_handles; /* the timer, and the connection while it is open */
    struct crash_check *next;
};

/* --- end of a check --- */

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
    struct crash_check **link = &check->edge->crash_checks;
    while (*link != check)
        link = &(*link)->next;
    *link = check->next;
    uv_close((uv_handle_t *)&check->timer, on_closed);
    if (check->open_handles > 1 && !uv_is_closing((uv_handle_t *)&check->connection))
        uv_close((uv_handle_t *)&check->connection, on_closed);
}

static bool was_running_at_crash(const struct crash_check *check, const struct lost_run *run)
{
    return run->interrupted_at + SAME_CRASH_WINDOW_US >= check->interrupted_at;
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
              "identity=%s part=%08" PRIx64 " backend=%s born=%" PRIu64 " start=%08" PRIx32
              " starts=%u weight=%u unexplained=%u proofs=%u isolated=%d answered=%d outcome=%s",
              hex, entry->part_id, check->backend->listing.id, check->backend->listing.born,
              (uint32_t)check->incarnation, entry->crash_count, crash_entry_distinct_crashes(entry),
              finding.unexplained, finding.proofs, finding.isolated, entry->cleared_at != 0,
              crash_verdict_name(crash_table_verdict(table, &run->identity, now)));
}

static void add_run(struct crash_table *table, const struct lost_run *run,
                    const struct crash_event *crash)
{
    if (run->is_part)
        crash_table_add_part(table, &run->part, crash);
    else
        crash_table_add(table, &run->identity, crash);
}

/* Adds all requests before logging any finding, as each finding depends on all of them. */
static void add_evidence(struct crash_check *check)
{
    struct crash_table *table = crash_sync_table(check->edge->cluster.crashes);
    uint64_t now = cluster_now();
    check->incarnation = crash_table_incarnation_of_run(table, check->incarnation, check->began_at);
    for (uint32_t i = 0; i < check->run_count; i++) {
        const struct lost_run *run = &check->runs[i];
        struct crash_event crash = {.incarnation = check->incarnation,
                                    .ended_at = check->interrupted_at,
                                    .attempt = run->attempt,
                                    .began_at = run->began_at,
                                    .detected_at = now};
        if (was_running_at_crash(check, run))
            add_run(table, run, &crash);
    }
    for (uint32_t i = 0; i < check->run_count; i++)
        if (was_running_at_crash(check, &check->runs[i]))
            log_evidence(check, &check->runs[i], now);
}

static void confirm_crash(struct crash_check *check, const char *proof)
{
    struct edge *edge = check->edge;
    metric_add(METRIC_CRASHES, !check->planned);
    backend_pool_mark_down(edge->pool, check->backend, cluster_now());
    log_event(check->planned ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "crash", "ended",
              "backend=%s born=%" PRIu64 " proof=%s planned=%d requests=%u ended_ms_ago=%" PRIu64,
              check->backend->listing.id, check->backend->listing.born, proof, check->planned,
              check->run_count, (cluster_now() - check->interrupted_at) / 1000);
    add_evidence(check);
    end_check(check);
    crash_sync_send_updates(edge->cluster.crashes);
    edge_client_fail_blocked(edge);
    exchange_dispatch_queued(edge);
}

static void dismiss_check(struct crash_check *check, const char *reason)
{
    log_event(LOG_LEVEL_INFO, "crash", "dismissed", "backend=%s requests=%u reason=%s",
              check->backend->listing.id, check->run_count, reason);
    end_check(check);
}

/* --- steps of a check --- */

static void wait_for_restart(struct crash_check *check)
{
    check->state = CHECK_AWAITING_RESTART;
    uv_timer_stop(&check->timer);
    if (!uv_is_closing((uv_handle_t *)&check->connection))
        uv_close((uv_handle_t *)&check->connection, on_closed);
}

static void on_connected(uv_connect_t *request, int status)
{
    struct crash_check *check = request->data;
    if (status == UV_ECANCELED) /* the check has ended, or the connect timed out */
        return;
    if (status == UV_ECONNREFUSED)
        confirm_crash(check, "refused");
    else
        wait_for_restart(check);
}

static void on_connect_timeout(uv_timer_t *timer)
{
    wait_for_restart(timer->data);
}

static void probe_with_connection(struct crash_check *check)
{
    struct sockaddr_in address;
    check->state = CHECK_CONNECTING;
    if (!tcp_address_parse(check->backend->listing.address, &address)) {
        dismiss_check(check, "bad-address");
        return;
    }
    uv_tcp_init(check->edge->loop, &check->connection);
    check->connection.data = check;
    check->open_handles++;
    check->connect.data = check;
    uv_timer_start(&check->timer, on_connect_timeout, PROBE_CONNECT_TIMEOUT_MS, 0);
    int error = uv_tcp_connect(&check->connect, &check->connection,
                               (const struct sockaddr *)&address, on_connected);
    if (error == UV_ECONNREFUSED)
        confirm_crash(check, "refused");
    else if (error)
        wait_for_restart(check);
}

static void on_collected(uv_timer_t *timer)
{
    struct crash_check *check = timer->data;
    if (upstream_has_open_connection(check->backend))
        check->state = CHECK_CONNECTIONS_OPEN;
    else
        probe_with_connection(check);
}

/* --- begin --- */

static struct crash_check *find_check(const struct edge *edge, const struct backend *backend)
{
    for (struct crash_check *check = edge->crash_checks; check; check = check->next)
        if (check->backend == backend)
            return check;
    return NULL;
}

static void collect_lost_runs(struct crash_check *check)
{
    check->state = CHECK_COLLECTING;
    uv_timer_start(&check->timer, on_collected, COLLECT_MS, 0);
}

static struct crash_check *begin_check(struct edge *edge, struct backend *backend)
{
    struct crash_check *check = memory_calloc(1, sizeof *check);
    check->edge = edge;
    check->backend = backend_retain(backend);
    check->incarnation = crash_incarnation_key(backend->listing.id, backend->listing.born);
    uv_timer_init(edge->loop, &check->timer);
    check->timer.data = check;
    check->open_handles = 1;
    collect_lost_runs(check);
    check->next = edge->crash_checks;
    edge->crash_checks = check;
    return check;
}

static struct lost_run *find_lost_run(struct crash_check *check,
                                      const struct request_identity *identity)
{
    for (uint32_t i = 0; i < check->run_count; i++)
        if (request_identity_equal(&check->runs[i].identity, identity))
            return &check->runs[i];
    return NULL;
}

/* Interruptions may be reported late, and so in another order. */
static void note_interruption(struct crash_check *check, uint64_t interrupted_at)
{
    if (interrupted_at > check->interrupted_at)
        check->interrupted_at = interrupted_at;
}

static void add_lost_run(struct crash_check *check, const struct lost_run *run)
{
    struct lost_run *known = find_lost_run(check, &run->identity);
    note_interruption(check, run->interrupted_at);
    if (known) {
        if (run->interrupted_at > known->interrupted_at)
            known->interrupted_at = run->interrupted_at;
        if (run->began_at && (!known->began_at || run->began_at < known->began_at))
            known->began_at = run->began_at;
        return;
    }
    if (check->run_count == MAX_LOST_RUNS) {
        log_event(LOG_LEVEL_WARN, "crash", "too-many", "backend=%s most=%d",
                  check->backend->listing.id, MAX_LOST_RUNS);
        return;
    }
    check->runs[check->run_count++] = *run;
}

static void log_planned(const struct backend *backend, const char *request_id)
{
    log_event(LOG_LEVEL_INFO, "crash", "planned",
              "request=%s backend=%s draining=%d leaving=%d known_ms=%" PRIu64, request_id,
              backend->listing.id, backend->listing.draining,
              backend->leaving || backend->load.leaving,
              (cluster_now() - backend->leaving_known_since) / 1000);
}

static void add_lost_request(struct crash_check *check, const struct lost_request *request,
                             uint64_t began_at)
{
    struct lost_run run = {.identity = *request->identity,
                           .attempt = crash_attempt_key(request->id),
                           .interrupted_at = request->ended_at,
                           .began_at = began_at};
    add_lost_run(check, &run);
    for (uint32_t i = 0; i < request->part_count; i++) {
        run.identity = request->parts[i].identity;
        run.is_part = true;
        run.part = request->parts[i];
        run.attempt = crash_request_key(request->identity);
        add_lost_run(check, &run);
    }
}

void crash_watch_report_lost_run(struct edge *edge, struct backend *backend,
                                 const struct lost_request *request)
{
    uint64_t now = cluster_now();
    struct crash_check *check = find_check(edge, backend);
    if (!check)
        check = begin_check(edge, backend);
    else if (check->state == CHECK_AWAITING_RESTART && check->open_handles == 1)
        collect_lost_runs(check);
    uint64_t began_at = request->ended_at >= request->sent_at + MIN_RUN_US ? request->sent_at : 0;
    if (began_at > check->began_at)
        check->began_at = began_at;
    check->planned |= backend_exit_is_planned(edge->pool, backend, now);
    if (check->planned) {
        note_interruption(check, request->ended_at);
        log_planned(backend, request->id);
        return;
    }
    add_lost_request(check, request, began_at);
}

static bool has_restarted(const struct crash_check *check)
{
    const struct backend *current =
        backend_pool_find_address(check->edge->pool, check->backend->listing.address);
    return current && current != check->backend;
}

bool crash_watch_is_checking(const struct edge *edge, const struct backend *backend)
{
    const struct crash_check *check = backend ? find_check(edge, backend) : NULL;
    if (!check)
        return false;
    /* A tick probes the backend once its last connection has broken. */
    if (check->state == CHECK_CONNECTIONS_OPEN && !upstream_has_open_connection(backend))
        return true;
    /* A backend that restarts at once accepts connections before a tick confirms the crash. */
    return check->state == CHECK_COLLECTING || check->state == CHECK_CONNECTING ||
           has_restarted(check);
}

void crash_watch_tick(struct edge *edge, uint64_t now)
{
    for (struct crash_check *check = edge->crash_checks, *next; check; check = next) {
        next = check->next;
        if (check->state == CHECK_COLLECTING || check->state == CHECK_CONNECTING)
            continue;
        if (has_restarted(check))
            confirm_crash(check, "restarted");
        else if (now > check->interrupted_at + RESTART_WINDOW_US)
            dismiss_check(check, "it-lives");
        else if (check->state == CHECK_CONNECTIONS_OPEN &&
                 !upstream_has_open_connection(check->backend))
            probe_with_connection(check);
    }
}

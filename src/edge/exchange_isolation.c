/* Isolation of requests that may crash backends: when such a request may be sent, to which
 * backends, and under which lease (core/crash/crash_lease). */
#include "base/log.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"
#include "edge/crash_watch.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>

/** A hold up to this long may exceed the time for which a request may wait for a slot. */
#define MAX_EXTRA_WAIT_US 40000
/** Interval at which a held request is rechecked, as other requests may since explain the crashes
 * it was part of. */
#define HOLD_POLL_US 100000

static struct crash_table *crash_table_of(const struct exchange *exchange)
{
    return crash_sync_table(exchange->edge->cluster.crashes);
}

static bool is_isolated(struct exchange *exchange)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    return entry && crash_table_requires_isolation(crash_table_of(exchange), &entry->identity,
                                                   cluster_now());
}

/* \return the identity that the evidence is about: of the request, or of a part of its prompt */
static const struct request_identity *suspect_identity(struct exchange *exchange)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    return entry ? &entry->identity : exchange_identity(exchange);
}

static void record_hold(struct exchange *exchange, const char *reason)
{
    if (exchange->held)
        return;
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(suspect_identity(exchange), identity);
    exchange->held = true;
    metric_add(METRIC_REQUESTS_HELD, 1);
    log_event(LOG_LEVEL_INFO, "request", "held",
              "request=%s identity=%s reason=%s events=%" PRIu64 " left_ms=%" PRId64,
              exchange->head.id, identity, reason, exchange->events.events,
              ((int64_t)exchange->deadline_at - (int64_t)cluster_now()) / (int64_t)US_PER_MS);
}

/* The request was running at an earlier crash, and perhaps at one just now. Retried at once, it
 * would meet all the other requests that were running there. */
static bool awaits_crash_check(struct exchange *exchange, const struct crash_entry *entry)
{
    return exchange->suspected && entry && entry->crash_count &&
           crash_watch_is_checking(exchange->edge, exchange_last_tried(exchange));
}

uint64_t exchange_must_wait_until(struct exchange *exchange, uint64_t now)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    if (awaits_crash_check(exchange, entry)) {
        record_hold(exchange, "end-in-doubt");
        return now + CRASH_CHECK_POLL_US;
    }
    if (!entry)
        return 0;
    if (now < crash_entry_settled_at(entry) &&
        crash_table_verdict(crash_table_of(exchange), &entry->identity, now) ==
            CRASH_VERDICT_BLOCKED) {
        record_hold(exchange, "verdict-not-settled");
        return crash_entry_settled_at(entry);
    }
    uint64_t held_until = exchange_held_until(exchange, now);
    if (held_until)
        record_hold(exchange, "many-ends");
    return held_until;
}

uint64_t exchange_held_until(struct exchange *exchange, uint64_t now)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    return entry ? crash_table_held_until(crash_table_of(exchange), &entry->identity, now) : 0;
}

static uint64_t next_hold_poll(uint64_t held_until, uint64_t now)
{
    return held_until < now + HOLD_POLL_US ? held_until : now + HOLD_POLL_US;
}

void exchange_fill_isolation(struct exchange *exchange, uint64_t now,
                             struct backend_criteria *criteria)
{
    criteria->rank_key = exchange_isolation_key(exchange);
    const struct crash_entry *entry = criteria->rank_key ? exchange_crash_entry(exchange) : NULL;
    if (!entry)
        return;
    uint64_t *barred = exchange->edge->barred_incarnations;
    criteria->isolated = is_isolated(exchange);
    criteria->barred_incarnations = barred;
    criteria->barred_count =
        crash_table_leased_to_others(crash_table_of(exchange), &entry->identity, now, barred);
    if (!criteria->isolated)
        return;
    criteria->leased_incarnation =
        crash_lease_is_valid(&entry->lease, now) ? entry->lease.incarnation : 0;
    if (criteria->barred_count)
        record_hold(exchange, "others-run-apart");
}

static void log_lease(struct exchange *exchange, const struct backend *backend,
                      const struct crash_lease *lease, uint64_t now)
{
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(suspect_identity(exchange), identity);
    log_event(LOG_LEVEL_INFO, "crash", "lease",
              "request=%s identity=%s backend=%s born=%" PRIu64 " age_ms=%" PRIu64 " outcome=%s",
              exchange->head.id, identity, backend->listing.id, backend->listing.born,
              (now - lease->since) / US_PER_MS, crash_lease_is_settled(lease, now) ? "run" : "ask");
}

static uint64_t request_lease(struct exchange *exchange, const struct backend *backend,
                              uint64_t now)
{
    if (!is_isolated(exchange))
        return 0;
    uint64_t incarnation = crash_incarnation_key(backend->listing.id, backend->listing.born);
    struct crash_lease lease = crash_table_acquire_lease(
        crash_table_of(exchange), suspect_identity(exchange), incarnation, now);
    log_lease(exchange, backend, &lease, now);
    crash_sync_send_updates(exchange->edge->cluster.crashes);
    return crash_lease_is_settled(&lease, now) ? 0 : lease.since + CRASH_LEASE_PROPAGATION_US;
}

/* A begun stream may be held until its deadline; any other request is refused at once if it cannot
 * run isolated within the time that it may wait. A hold up to MAX_EXTRA_WAIT_US extends that time,
 * as the backend may have ended after it. */
void exchange_hold_until(struct exchange *exchange, uint64_t until)
{
    uint64_t now = cluster_now();
    if (until <= now + MAX_EXTRA_WAIT_US && exchange->wait_until < until)
        exchange->wait_until = until;
    if (exchange->streaming || until <= exchange->wait_until)
        exchange_wait_until(exchange, next_hold_poll(until, now));
    else
        exchange_fail_by_run_state(exchange, END_HELD);
}

bool exchange_waits_for_lease(struct exchange *exchange, const struct backend *backend,
                              uint64_t now)
{
    uint64_t until = request_lease(exchange, backend, now);
    if (until)
        exchange_hold_until(exchange, until);
    return until;
}

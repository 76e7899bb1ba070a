/* A request that may crash back ends runs apart from others of its kind: when it may go, where, and
 * by which lease (core/crash_lease). */
#include "base/log.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"
#include "edge/crash_watch.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>

/** Between two looks whether the back end has ended at which the request was. */
#define CHECK_LOOK_US 10000
/** A request that has not begun bears so much beyond the time for which it may wait for a place. */
#define SHORT_HOLD_US 40000
/** Between two looks whether what others did explains the ends at which the request was. */
#define HELD_LOOK_US 100000

static struct crash_table *table_of(const struct exchange *exchange)
{
    return crash_sync_table(exchange->edge->cluster.crashes);
}

static bool is_isolated(struct exchange *exchange)
{
    const struct crash_table *table = table_of(exchange);
    return crash_table_count(table) &&
           crash_table_requires_isolation(table, exchange_identity(exchange), cluster_now());
}

static void note_held(struct exchange *exchange, const char *reason)
{
    if (exchange->held)
        return;
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(exchange_identity(exchange), identity);
    exchange->held = true;
    metric_add(METRIC_REQUESTS_HELD, 1);
    log_event(LOG_LEVEL_INFO, "request", "held",
              "request=%s identity=%s reason=%s events=%" PRIu64 " left_ms=%" PRId64,
              exchange->head.id, identity, reason, exchange->events.events,
              ((int64_t)exchange->final_at - (int64_t)cluster_now()) / (int64_t)MS_US);
}

/* It was there at an end before, and perhaps at one more just now: sent on at once, it would meet
 * all the others that were there. */
static bool awaits_end(struct exchange *exchange, const struct crash_entry *entry)
{
    return exchange->suspected && entry && entry->crash_count &&
           crash_watch_is_checking(exchange->edge, exchange_last_tried(exchange));
}

uint64_t exchange_suspicion_pause(struct exchange *exchange, uint64_t now)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    if (awaits_end(exchange, entry)) {
        note_held(exchange, "end-in-doubt");
        return now + CHECK_LOOK_US;
    }
    if (!entry)
        return 0;
    if (now < crash_entry_settled_at(entry) &&
        crash_table_verdict(table_of(exchange), &entry->identity, now) == CRASH_VERDICT_BLOCKED) {
        note_held(exchange, "verdict-not-settled");
        return crash_entry_settled_at(entry);
    }
    uint64_t held_until = exchange_held_until(exchange, now);
    if (held_until)
        note_held(exchange, "many-ends");
    return held_until;
}

uint64_t exchange_held_until(struct exchange *exchange, uint64_t now)
{
    const struct crash_table *table = table_of(exchange);
    if (!crash_table_count(table))
        return 0;
    return crash_table_held_until(table, exchange_identity(exchange), now);
}

static uint64_t next_held_look(uint64_t held_until, uint64_t now)
{
    return held_until < now + HELD_LOOK_US ? held_until : now + HELD_LOOK_US;
}

void exchange_fill_isolation(struct exchange *exchange, uint64_t now, struct backend_wish *wish)
{
    wish->rank_key = exchange_rank_key(exchange);
    const struct crash_entry *entry = wish->rank_key ? exchange_crash_entry(exchange) : NULL;
    if (!entry)
        return;
    uint64_t *barred = exchange->edge->barred_starts;
    wish->isolated = is_isolated(exchange);
    wish->barred_starts = barred;
    wish->barred_count =
        crash_table_leased_to_others(table_of(exchange), &entry->identity, now, barred);
    if (!wish->isolated)
        return;
    wish->leased_start = crash_lease_is_valid(&entry->lease, now) ? entry->lease.incarnation : 0;
    if (wish->barred_count)
        note_held(exchange, "others-run-apart");
}

static void log_lease(struct exchange *exchange, const struct backend *backend,
                      const struct crash_lease *lease, uint64_t now)
{
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(exchange_identity(exchange), identity);
    log_event(LOG_LEVEL_INFO, "crash", "lease",
              "request=%s identity=%s backend=%s born=%" PRIu64 " age_ms=%" PRIu64 " outcome=%s",
              exchange->head.id, identity, backend->listing.id, backend->listing.born,
              (now - lease->since) / MS_US, crash_lease_is_settled(lease, now) ? "run" : "ask");
}

static uint64_t ask_lease(struct exchange *exchange, const struct backend *backend, uint64_t now)
{
    if (!is_isolated(exchange))
        return 0;
    uint64_t start = crash_incarnation_key(backend->listing.id, backend->listing.born);
    struct crash_lease lease =
        crash_table_acquire_lease(table_of(exchange), exchange_identity(exchange), start, now);
    log_lease(exchange, backend, &lease, now);
    crash_sync_tell(exchange->edge->cluster.crashes);
    return crash_lease_is_settled(&lease, now) ? 0 : lease.since + CRASH_LEASE_PROPAGATION_US;
}

/* A begun stream is held for as long as it has; any other is refused at once where its turn to run
 * apart does not come in the time that it may wait. A short hold does not count: its back end may
 * have ended after that time. */
void exchange_hold_until(struct exchange *exchange, uint64_t moment)
{
    uint64_t now = cluster_now();
    if (moment <= now + SHORT_HOLD_US && exchange->wait_until < moment)
        exchange->wait_until = moment;
    if (exchange->streaming || moment <= exchange->wait_until)
        exchange_wait_until(exchange, next_held_look(moment, now));
    else
        exchange_give_up_truly(exchange, END_HELD);
}

/* \return whether it is not to be sent now, but waits for a lease on the back end */
bool exchange_waits_for_lease(struct exchange *exchange, const struct backend *backend,
                              uint64_t now)
{
    uint64_t moment = ask_lease(exchange, backend, now);
    if (moment)
        exchange_hold_until(exchange, moment);
    return moment;
}

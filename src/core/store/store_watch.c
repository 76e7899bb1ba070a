#include "core/store/store_watch.h"

#include "core/store/store_position.h"

/** Timeout for a page of a snapshot, which the store sends at once. */
#define SNAPSHOT_PAGE_TIMEOUT_MS 1500
/** Longest wait of a watch. If an outage of the store swallows a watch, it must have timed out, and
 * the next call must be answered, within the 3 s in which nodes reconnect after an outage: then
 * nothing that is removed after these 3 s is taken for an item lost in the outage. */
#define WATCH_WAIT_MS 2000
/** Wait of a watch after a failure: short, as it checks whether the store is back. */
#define RECOVERY_WATCH_WAIT_MS 50
/** Time for the answer after the wait has ended: a store may answer a hundred times slower than its
 * usual 4 ms. */
#define WATCH_ANSWER_TIMEOUT_MS 700
#define BACKOFF_BASE_MS 150
#define BACKOFF_MAX_MS 1000
/** Shorter maximum for a node without any state: it cannot serve requests. */
#define BACKOFF_EMPTY_MAX_MS 250
#define BACKOFF_MAX_DOUBLINGS 3

void store_watch_init(struct store_watch *watch, uint64_t known, uint64_t now)
{
    *watch = (struct store_watch){
        .revision = known, .epoch = store_position_epoch(known), .answered_at = now};
}

void store_watch_advance(struct store_watch *watch, uint64_t known)
{
    if (!watch->revision || known <= watch->revision)
        return;
    watch->revision = known;
    watch->epoch = store_position_epoch(known);
}

enum epoch_order store_watch_check_epoch(struct store_watch *watch, uint64_t epoch)
{
    if (epoch == watch->epoch)
        return EPOCH_CURRENT;
    if (epoch < watch->epoch)
        return EPOCH_EARLIER;
    watch->epoch = epoch;
    watch->revision = 0;
    watch->restored = true;
    return EPOCH_NEXT;
}

struct store_call store_watch_next_call(const struct store_watch *watch)
{
    if (!watch->revision)
        return (struct store_call){.timeout_ms = SNAPSHOT_PAGE_TIMEOUT_MS};
    uint32_t wait_ms = watch->failures ? RECOVERY_WATCH_WAIT_MS : WATCH_WAIT_MS;
    return (struct store_call){
        .watches = true, .wait_ms = wait_ms, .timeout_ms = wait_ms + WATCH_ANSWER_TIMEOUT_MS};
}

uint32_t store_watch_failed(struct store_watch *watch, enum store_failure failure)
{
    bool first = !watch->failures;
    watch->outage |= failure != STORE_DISCONNECTED || !first;
    if (first && failure == STORE_TIMED_OUT) { /* its timeout was a delay: the store may be back */
        watch->failures = 1;
        return 0;
    }
    uint32_t doublings =
        watch->failures < BACKOFF_MAX_DOUBLINGS ? watch->failures : BACKOFF_MAX_DOUBLINGS;
    uint32_t wait_ms = BACKOFF_BASE_MS << doublings;
    uint32_t max_ms = watch->revision ? BACKOFF_MAX_MS : BACKOFF_EMPTY_MAX_MS;
    watch->failures++;
    return wait_ms < max_ms ? wait_ms : max_ms;
}

void store_watch_history_lost(struct store_watch *watch)
{
    watch->revision = 0;
    watch->history_lost = true;
}

void store_watch_answered(struct store_watch *watch, uint64_t revision, uint64_t now)
{
    if (revision > watch->revision)
        watch->revision = revision;
    watch->answered = true;
    watch->failures = 0;
    if (watch->revision) { /* else more pages of the snapshot follow */
        watch->answered_at = now;
        watch->outage = false;
        watch->history_lost = false;
        watch->restored = false;
    }
}

struct state_removal store_watch_removal(const struct store_watch *watch, bool own_pause,
                                         uint64_t now)
{
    if (watch->restored) /* the copy may lack what still runs */
        return (struct state_removal){.learned = now, .from_outage = true};
    if (own_pause)
        return (struct state_removal){.learned = watch->answered_at};
    if (watch->outage)
        return (struct state_removal){.learned = now, .from_outage = true};
    return (struct state_removal){.learned = watch->history_lost ? watch->answered_at : now};
}

bool store_watch_is_healthy(const struct store_watch *watch)
{
    return watch->answered && !watch->failures;
}

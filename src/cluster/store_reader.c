#include "cluster/store_reader.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/store/store_position.h"
#include "core/store/store_watch.h"
#include "net/http_caller.h"
#include "platform/platform.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Longest body of a response of the store. */
#define MAX_RESPONSE_BYTES (32U << 20)
/* HTTP statuses of the store. */
#define HTTP_OK 200
#define HTTP_GONE 410

struct store_reader {
    struct cluster *cluster;
    struct sockaddr_in address;
    struct http_caller *caller;
    uv_timer_t timer; /* delay before the next call */
    struct store_watch watch;
    uint64_t snapshot_revision;  /* of the snapshot that is being read */
    struct buffer last_page_key; /* last key of the previous page; empty: none */
    enum reader_duty duty;
};

static void call_store(struct store_reader *reader);

static void on_timer(uv_timer_t *timer)
{
    call_store(timer->data);
}

static void on_failure(struct store_reader *reader, enum store_failure failure, const char *reason)
{
    if (!reader->watch.failures)
        log_event(LOG_LEVEL_WARN, "store", "lost", "reason=\"%s\" revision=%" PRIu64, reason,
                  reader->watch.revision);
    metric_add(METRIC_STORE_FAILURES, 1);
    buffer_reset(&reader->last_page_key);
    uv_timer_start(&reader->timer, on_timer, store_watch_failed(&reader->watch, failure), 0);
}

static struct state_removal make_removal(const struct store_reader *reader)
{
    bool was_isolated = cluster_was_isolated(reader->cluster, reader->watch.answered_at);
    return store_watch_removal(&reader->watch, was_isolated, cluster_now());
}

static void apply_items(struct store_reader *reader, const struct store_response *answer,
                        bool is_snapshot)
{
    struct state_cache *state = reader->cluster->state;
    struct state_removal removal = make_removal(reader);
    uint64_t now = cluster_now();
    for (uint32_t i = 0; i < answer->count; i++) {
        const struct store_item *item = &answer->items[i];
        uint64_t revision = store_position(reader->watch.epoch, item->revision);
        if (item->gone)
            state_cache_remove(state, item->key, revision, &removal);
        else
            (is_snapshot ? state_cache_put_undated : state_cache_put)(state, item->key, item->value,
                                                                      item->size, revision, now);
    }
}

/* \return the revision of the snapshot after its last page; 0: more pages follow */
static uint64_t apply_page(struct store_reader *reader, const struct store_response *answer)
{
    struct state_cache *state = reader->cluster->state;
    if (!reader->last_page_key.size) {
        reader->snapshot_revision = store_position(reader->watch.epoch, answer->revision);
        state_cache_snapshot_begin(state, PLATFORM_ALL_KEYS);
    }
    apply_items(reader, answer, true);
    buffer_reset(&reader->last_page_key);
    if (answer->more && answer->last_key.size) {
        buffer_append(&reader->last_page_key, answer->last_key.data, answer->last_key.size);
        return 0;
    }
    struct state_removal removal = make_removal(reader);
    state_cache_snapshot_end(state, PLATFORM_ALL_KEYS, reader->snapshot_revision, &removal);
    log_event(LOG_LEVEL_INFO, "store", "read", "epoch=%" PRIu64 " revision=%" PRIu64,
              reader->watch.epoch, reader->snapshot_revision);
    return reader->snapshot_revision;
}

static uint64_t apply_changes(struct store_reader *reader, const struct store_response *answer)
{
    apply_items(reader, answer, false);
    return store_position(reader->watch.epoch, answer->revision);
}

static void delay_next_call(struct store_reader *reader)
{
    uint64_t bound_ms = reader->cluster->settings->drain_bound_ms;
    uv_timer_start(&reader->timer, on_timer, reader_role_batch_delay_ms(reader->duty, bound_ms), 0);
}

static void handle_response(struct store_reader *reader, const struct store_response *answer)
{
    bool is_snapshot = !reader->watch.revision;
    uint64_t revision = is_snapshot ? apply_page(reader, answer) : apply_changes(reader, answer);
    if (reader->watch.failures)
        log_event(LOG_LEVEL_INFO, "store", "regained", "failures=%u outage=%d gap_ms=%" PRIu64,
                  reader->watch.failures, reader->watch.outage,
                  (cluster_now() - reader->watch.answered_at) / 1000);
    store_watch_answered(&reader->watch, revision, cluster_now());
    state_cache_advance(reader->cluster->state, reader->watch.revision);
    cluster_propagate_changes(reader->cluster);
    if (reader->watch.revision && answer->count)
        delay_next_call(reader);
    else
        call_store(reader);
}

static enum store_failure failure_from_result(enum http_call_result result)
{
    switch (result) {
    case CALL_BROKEN:
        return STORE_DISCONNECTED;
    case CALL_TIMED_OUT:
        return STORE_TIMED_OUT;
    default:
        return STORE_UNAVAILABLE;
    }
}

/* An answer that names no epoch is of the one that is read. */
static enum epoch_order check_epoch(struct store_reader *reader, const struct http_message *message)
{
    uint64_t epoch = reader->watch.epoch, before = epoch, revision = reader->watch.revision;
    if (platform_read_store_epoch(message, &epoch) == EPOCH_MALFORMED)
        log_event(LOG_LEVEL_WARN, "store", "unreadable-epoch", "status=%u epoch=%" PRIu64,
                  http_message_status(message), before);
    enum epoch_order order = store_watch_check_epoch(&reader->watch, epoch);
    if (order != EPOCH_CURRENT)
        log_event(LOG_LEVEL_INFO, "store", order == EPOCH_NEXT ? "epoch-begins" : "epoch-is-over",
                  "epoch=%" PRIu64 " read=%" PRIu64 " revision=%" PRIu64 " status=%u", epoch,
                  before, revision, http_message_status(message));
    return order;
}

/* Makes another call unless the answer to the last one can be used: it is of the epoch that is
 * read, or the first page of a snapshot of the next one. \return whether it can be used */
static bool accept_epoch(struct store_reader *reader, const struct http_message *message)
{
    bool is_first_page = !reader->watch.revision && !reader->last_page_key.size;
    switch (check_epoch(reader, message)) {
    case EPOCH_CURRENT:
        return true;
    case EPOCH_EARLIER:
        on_failure(reader, STORE_UNAVAILABLE, "answer of an earlier epoch");
        return false;
    case EPOCH_NEXT:
        break;
    }
    buffer_reset(&reader->last_page_key);
    if (is_first_page || http_message_status(message) != HTTP_OK)
        return true;
    call_store(reader);
    return false;
}

static void on_response(void *context, enum http_call_result result,
                        const struct http_message *message)
{
    struct store_reader *reader = context;
    struct store_response answer;
    char reason[64];
    if (reader->duty == READER_INACTIVE)
        return;
    if (result != CALL_COMPLETE) {
        on_failure(reader, failure_from_result(result), http_call_result_name(result));
        return;
    }
    unsigned status = http_message_status(message);
    if (!accept_epoch(reader, message))
        return;
    if (status == HTTP_GONE) {
        log_event(LOG_LEVEL_INFO, "store", "history-lost", "epoch=%" PRIu64 " revision=%" PRIu64,
                  reader->watch.epoch, reader->watch.revision);
        store_watch_history_lost(&reader->watch);
        call_store(reader);
        return;
    }
    if (status != HTTP_OK) {
        snprintf(reason, sizeof reason, "status %u", status);
        on_failure(reader, STORE_UNAVAILABLE, reason);
        return;
    }
    if (platform_read_store_response(message->body.data, message->body.size, &answer) !=
        STATUS_OK) {
        on_failure(reader, STORE_UNAVAILABLE, status_message());
        return;
    }
    if (answer.skipped)
        log_event(LOG_LEVEL_ERROR, "store", "left-out", "items=%u of=%u revision=%" PRIu64,
                  answer.skipped, answer.skipped + answer.count, answer.revision);
    handle_response(reader, &answer);
    store_response_clear(&answer);
}

static void call_store(struct store_reader *reader)
{
    struct buffer target = {0};
    store_watch_advance(&reader->watch, state_cache_revision(reader->cluster->state));
    struct store_call call = store_watch_next_call(&reader->watch);
    struct http_caller_request request = {.method = "GET",
                                          .timeout_ms = call.timeout_ms,
                                          .body_limit = MAX_RESPONSE_BYTES,
                                          .done = on_response,
                                          .context = reader};
    if (call.watches)
        platform_write_watch_target(PLATFORM_ALL_KEYS,
                                    store_position_revision(reader->watch.revision), call.wait_ms,
                                    &target);
    else
        platform_write_range_target(PLATFORM_ALL_KEYS, &reader->last_page_key, &target);
    buffer_append(&target, "", 1);
    request.target = target.data;
    metric_add(METRIC_PLATFORM_CALLS, 1);
    http_caller_send(reader->caller, &request);
    buffer_clear(&target);
}

struct store_reader *store_reader_create(struct cluster *cluster)
{
    struct store_reader *reader = memory_calloc(1, sizeof *reader);
    reader->cluster = cluster;
    if (!tcp_address_parse(cluster->settings->store_address, &reader->address)) {
        log_event(LOG_LEVEL_ERROR, "store", "bad-address", "address=%s",
                  cluster->settings->store_address);
        free(reader);
        return NULL;
    }
    reader->caller = http_caller_create(cluster->loop, &reader->address);
    uv_timer_init(cluster->loop, &reader->timer);
    reader->timer.data = reader;
    return reader;
}

static void stop_reading(struct store_reader *reader)
{
    uv_timer_stop(&reader->timer);
    http_caller_abort(reader->caller);
    buffer_reset(&reader->last_page_key);
}

/* Continues from the revision that peers have sent in the meantime. */
static void resume_reading(struct store_reader *reader)
{
    store_watch_init(&reader->watch, state_cache_revision(reader->cluster->state), cluster_now());
    call_store(reader);
}

static const char *duty_event(enum reader_duty duty)
{
    switch (duty) {
    case READER_LEADER:
        return "leads";
    case READER_STANDBY:
        return "stands-by";
    default:
        return "rests";
    }
}

/* Ends the long batch delay of a standby that becomes the leader, as the leader failed. */
static void skip_batch_delay(struct store_reader *reader)
{
    if (uv_is_active((uv_handle_t *)&reader->timer) && !reader->watch.failures)
        uv_timer_start(&reader->timer, on_timer, 0, 0);
}

void store_reader_set_duty(struct store_reader *reader, enum reader_duty duty)
{
    enum reader_duty before = reader->duty;
    if (duty == before)
        return;
    log_event(LOG_LEVEL_INFO, "store", duty_event(duty), "revision=%" PRIu64,
              state_cache_revision(reader->cluster->state));
    reader->duty = duty;
    if (duty == READER_INACTIVE)
        stop_reading(reader);
    else if (before == READER_INACTIVE)
        resume_reading(reader);
    else if (duty == READER_LEADER)
        skip_batch_delay(reader);
}

void store_reader_reconnect(struct store_reader *reader)
{
    http_caller_abort(reader->caller);
}

bool store_reader_is_healthy(const struct store_reader *reader)
{
    return reader->duty != READER_INACTIVE && store_watch_is_healthy(&reader->watch);
}

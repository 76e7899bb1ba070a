#include "cluster/store_reader.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "net/http_caller.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

#define READ_TIMEOUT_MS 1500
/** A watch that the store never answers, as it was silent meanwhile, must be over within the 3 s in
 *  which nodes get back in touch; after a failure it is over sooner. */
#define WATCH_WAIT_MS 2300
#define WATCH_AGAIN_MS 800
/** Time for the answer at the end of the wait: a store may answer a hundred times slower than its
 *  usual 4 ms. */
#define WATCH_SLACK_MS 700
#define ANSWER_LIMIT (32U << 20)
#define BACKOFF_FIRST_MS 150
#define BACKOFF_MOST_MS 1000
#define BACKOFF_EMPTY_MS 250
/** Time between an answer with changes and the next watch. */
#define GATHER_MS 200
#define MAX_PREFIXES 4
#define KEY_SIZE 256

/* One prefix of keys: read whole in pages, then watched. */
struct prefix_reader {
    struct store_reader *owner;
    const char *prefix;
    struct http_caller *caller;
    uint64_t revision; /* watch goes on from here; 0: the whole must be read */
    uint64_t page_revision;
    char page_key[KEY_SIZE]; /* the last key of the page before */
    uint32_t failures;
    uv_timer_t retry;
};

struct store_reader {
    struct cluster *cluster;
    struct sockaddr_in address;
    struct prefix_reader prefixes[MAX_PREFIXES];
    uint32_t count;
    bool active;
    bool answered; /* the store gave an answer since this node began to read */
};

static void read_on(struct prefix_reader *reader);

static void on_retry(uv_timer_t *timer)
{
    read_on(timer->data);
}

static void failed(struct prefix_reader *reader, const char *reason)
{
    uint32_t wait = BACKOFF_FIRST_MS << (reader->failures < 3 ? reader->failures : 3);
    if (!reader->failures)
        log_event(LOG_LEVEL_WARN, "store", "lost", "prefix=%s reason=\"%s\" revision=%llu",
                  reader->prefix, reason, (unsigned long long)reader->revision);
    reader->failures++;
    metric_add(METRIC_STORE_FAILURES, 1);
    reader->page_key[0] = 0;
    /* A node that knows nothing yet serves nobody. */
    uint32_t most = reader->revision ? BACKOFF_MOST_MS : BACKOFF_EMPTY_MS;
    uv_timer_start(&reader->retry, on_retry, wait < most ? wait : most, 0);
}

static void recovered(struct prefix_reader *reader)
{
    reader->owner->answered = true;
    if (reader->failures)
        log_event(LOG_LEVEL_INFO, "store", "regained", "prefix=%s failures=%u", reader->prefix,
                  reader->failures);
    reader->failures = 0;
}

/* All changes up to the smaller of the prefixes' revisions are in. */
static void reach(struct store_reader *owner)
{
    uint64_t revision = UINT64_MAX;
    for (uint32_t i = 0; i < owner->count; i++)
        if (owner->prefixes[i].revision < revision)
            revision = owner->prefixes[i].revision;
    state_cache_reach(owner->cluster->state, revision);
}

static void take_items(struct store_reader *owner, const struct store_answer *answer)
{
    uint64_t now = cluster_now();
    for (uint32_t i = 0; i < answer->count; i++) {
        const struct store_item *item = &answer->items[i];
        if (item->gone)
            state_cache_remove(owner->cluster->state, item->key, item->revision, now);
        else
            state_cache_put(owner->cluster->state, item->key, item->value, item->size,
                            item->revision, now);
    }
}

static void take_page(struct prefix_reader *reader, const struct store_answer *answer)
{
    struct store_reader *owner = reader->owner;
    if (!reader->page_key[0]) {
        reader->page_revision = answer->revision;
        state_cache_snapshot_begin(owner->cluster->state, reader->prefix);
    }
    take_items(owner, answer);
    if (answer->more && answer->count) {
        snprintf(reader->page_key, sizeof reader->page_key, "%s",
                 answer->items[answer->count - 1].key);
        return;
    }
    reader->page_key[0] = 0;
    state_cache_snapshot_end(owner->cluster->state, reader->prefix, reader->page_revision,
                             cluster_now());
    reader->revision = reader->page_revision;
    log_event(LOG_LEVEL_INFO, "store", "read", "prefix=%s revision=%llu", reader->prefix,
              (unsigned long long)reader->revision);
}

static void on_answer(void *context, enum call_result result, const struct http_message *message)
{
    struct prefix_reader *reader = context;
    struct store_answer answer;
    char reason[64];
    if (!reader->owner->active)
        return;
    if (result != CALL_ANSWERED) {
        failed(reader, result == CALL_BROKEN ? "no answer" : "not reached");
        return;
    }
    unsigned status = http_message_status(message);
    if (status == 410) {
        log_event(LOG_LEVEL_INFO, "store", "history-lost", "prefix=%s revision=%llu",
                  reader->prefix, (unsigned long long)reader->revision);
        reader->revision = 0;
        read_on(reader);
        return;
    }
    if (status != 200 ||
        platform_read_store_answer(message->body.data, message->body.size, &answer) != STATUS_OK) {
        snprintf(reason, sizeof reason, "status %u", status);
        failed(reader, reason);
        return;
    }
    if (!reader->revision) {
        take_page(reader, &answer);
    } else {
        take_items(reader->owner, &answer);
        if (answer.revision > reader->revision)
            reader->revision = answer.revision;
    }
    bool news = answer.count > 0;
    store_answer_clear(&answer);
    recovered(reader);
    reach(reader->owner);
    cluster_pass_on(reader->owner->cluster);
    /* Changes come in bursts, and every call is priced: the next ones are taken together. */
    if (reader->revision && news)
        uv_timer_start(&reader->retry, on_retry, GATHER_MS, 0);
    else
        read_on(reader);
}

static void read_on(struct prefix_reader *reader)
{
    struct buffer target = {0};
    struct caller_request request = {.method = "GET",
                                     .timeout_ms = READ_TIMEOUT_MS,
                                     .body_limit = ANSWER_LIMIT,
                                     .done = on_answer,
                                     .context = reader};
    if (reader->revision) {
        uint32_t wait_ms = reader->failures ? WATCH_AGAIN_MS : WATCH_WAIT_MS;
        platform_write_watch_call(reader->prefix, reader->revision, wait_ms, &target);
        request.timeout_ms = wait_ms + WATCH_SLACK_MS;
    } else {
        platform_write_range_call(reader->prefix, reader->page_key[0] ? reader->page_key : NULL,
                                  &target);
    }
    buffer_append(&target, "", 1);
    request.target = target.data;
    metric_add(METRIC_PLATFORM_CALLS, 1);
    http_caller_send(reader->caller, &request);
    buffer_clear(&target);
}

struct store_reader *store_reader_create(struct cluster *cluster)
{
    struct store_reader *owner = memory_zero(1, sizeof *owner);
    owner->cluster = cluster;
    if (!tcp_address_parse(cluster->settings->store_address, &owner->address)) {
        log_event(LOG_LEVEL_ERROR, "store", "bad-address", "address=%s",
                  cluster->settings->store_address);
        free(owner);
        return NULL;
    }
    for (; platform_prefixes[owner->count] && owner->count < MAX_PREFIXES; owner->count++) {
        struct prefix_reader *reader = &owner->prefixes[owner->count];
        reader->owner = owner;
        reader->prefix = platform_prefixes[owner->count];
        reader->caller = http_caller_create(cluster->loop, &owner->address);
        uv_timer_init(cluster->loop, &reader->retry);
        reader->retry.data = reader;
    }
    return owner;
}

static void stop(struct prefix_reader *reader)
{
    uv_timer_stop(&reader->retry);
    http_caller_abort(reader->caller);
    reader->page_key[0] = 0;
    reader->failures = 0;
}

/* Peers told what happened meanwhile: the watch goes on from there. */
static void resume(struct prefix_reader *reader)
{
    uint64_t known = state_cache_revision(reader->owner->cluster->state);
    if (known)
        reader->revision = known;
    read_on(reader);
}

void store_reader_set_active(struct store_reader *owner, bool active)
{
    if (owner->active == active)
        return;
    log_event(LOG_LEVEL_INFO, "store", active ? "reads" : "rests", "revision=%llu",
              (unsigned long long)state_cache_revision(owner->cluster->state));
    owner->active = active;
    owner->answered = false;
    for (uint32_t i = 0; i < owner->count; i++) {
        if (active)
            resume(&owner->prefixes[i]);
        else
            stop(&owner->prefixes[i]);
    }
}

void store_reader_restart(struct store_reader *owner)
{
    for (uint32_t i = 0; i < owner->count; i++)
        http_caller_abort(owner->prefixes[i].caller);
}

static bool is_failing(const struct store_reader *owner)
{
    for (uint32_t i = 0; i < owner->count; i++)
        if (owner->prefixes[i].failures)
            return true;
    return false;
}

bool store_reader_is_sound(const struct store_reader *owner)
{
    return owner->active && owner->answered && !is_failing(owner);
}

/**
 * Stand-in for the configuration service and the machine list: values with revisions, which clients
 * can read and watch (by long polling) but not write.
 *
 * GET  /v1/values/KEY?after=R&wait_ms=W   200 {"revision", "value"}; 204: no revision above R; 429
 * POST /admin/publish/KEY                 the body is the value; answers {"revision"}
 * GET  /admin/stats                       calls, refused calls, waiting long polls, peak rate
 */
#include "standin/standin.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_KEYS 8
#define MAX_VERSIONS 4096
#define MAX_VALUE_BYTES (1u << 20)
#define WAIT_POLL_US 5000

struct version {
    char *text;
    size_t size;
    uint64_t visible_at_us; /* publication time plus the lag */
};

struct value {
    char key[64];
    struct version versions[MAX_VERSIONS]; /* revision N is at index N - 1 */
    uint32_t count;
};

struct values {
    pthread_mutex_t lock;
    struct value *keys[MAX_KEYS];
    uint32_t key_count;
    uint64_t calls_per_second;
    uint64_t lag_ms;
    uint64_t window_start;
    uint64_t window_calls;
    uint64_t calls;
    uint64_t refused;
    uint64_t waiting;
    uint64_t peak_calls_per_second;
    uint32_t frozen_revisions[MAX_KEYS]; /* by key: served with the fault `stale`; 0: none */
};

static int find_key(struct values *values, const char *key, bool create)
{
    for (uint32_t i = 0; i < values->key_count; i++)
        if (strcmp(values->keys[i]->key, key) == 0)
            return (int)i;
    if (!create || values->key_count == MAX_KEYS)
        return -1;
    struct value *value = memory_calloc(1, sizeof *value);
    snprintf(value->key, sizeof value->key, "%s", key);
    values->keys[values->key_count] = value;
    return (int)values->key_count++;
}

/* Counts a call against the rate limit. Lock held. \return false when it is refused */
static bool admit_call(struct values *values)
{
    uint64_t now = standin_now_us();
    if (now - values->window_start >= 1000000) {
        values->window_start = now;
        values->window_calls = 0;
    }
    values->calls++;
    if (++values->window_calls > values->peak_calls_per_second)
        values->peak_calls_per_second = values->window_calls;
    if (values->window_calls + values->waiting <= values->calls_per_second)
        return true;
    values->refused++;
    return false;
}

/* Newest revision that readers see; with the fault `stale`, the one before it. Lock held. */
static uint32_t visible_revision(struct values *values, int key)
{
    const struct value *value = values->keys[key];
    uint32_t newest = value->count;
    while (newest && value->versions[newest - 1].visible_at_us > standin_now_us())
        newest--;
    if (standin_fault() != FAULT_STALE)
        values->frozen_revisions[key] = 0;
    else if (!values->frozen_revisions[key])
        values->frozen_revisions[key] = newest > 1 ? newest - 1 : newest;
    return values->frozen_revisions[key] ? values->frozen_revisions[key] : newest;
}

static void reply_version(const struct value *value, uint32_t revision, struct standin_reply *reply)
{
    const struct version *version = &value->versions[revision - 1];
    standin_reply_json(
        reply, 200,
        json_pack("{s:i, s:s%}", "revision", revision, "value", version->text, version->size));
}

static void read_value(struct values *values, const struct standin_request *request,
                       const char *name, struct standin_reply *reply)
{
    uint64_t after = standin_query_number(request, "after", 0);
    uint64_t deadline = standin_now_us() + standin_query_number(request, "wait_ms", 0) * 1000;
    pthread_mutex_lock(&values->lock);
    if (!admit_call(values)) {
        pthread_mutex_unlock(&values->lock);
        standin_reply_json(reply, 429, json_pack("{s:s}", "error", "too many calls"));
        reply->headers[0][0] = "Retry-After";
        reply->headers[0][1] = "1";
        return;
    }
    values->waiting++;
    int key = find_key(values, name, false);
    while ((key < 0 || visible_revision(values, key) <= after) && standin_now_us() < deadline &&
           (standin_fault() == FAULT_NONE || standin_fault() == FAULT_STALE)) {
        pthread_mutex_unlock(&values->lock);
        standin_sleep_us(WAIT_POLL_US);
        pthread_mutex_lock(&values->lock);
        key = find_key(values, name, false);
    }
    values->waiting--;
    uint32_t revision = key < 0 ? 0 : visible_revision(values, key);
    /* A stale replica answers with its revision even when the reader has a newer one. */
    bool answers = revision > after || (standin_fault() == FAULT_STALE && revision);
    if (answers)
        reply_version(values->keys[key], revision, reply);
    else
        reply->status = 204;
    pthread_mutex_unlock(&values->lock);
}

static void publish(struct values *values, const struct standin_request *request, const char *name,
                    struct standin_reply *reply)
{
    pthread_mutex_lock(&values->lock);
    int key = find_key(values, name, true);
    if (key < 0 || values->keys[key]->count == MAX_VERSIONS || request->size > MAX_VALUE_BYTES) {
        pthread_mutex_unlock(&values->lock);
        standin_reply_json(reply, 413, json_pack("{s:s}", "error", "too large or too many"));
        return;
    }
    struct value *value = values->keys[key];
    struct version *version = &value->versions[value->count++];
    version->text = memory_duplicate(request->body, request->size);
    version->size = request->size;
    version->visible_at_us = standin_now_us() + values->lag_ms * 1000;
    standin_reply_json(reply, 200, json_pack("{s:i}", "revision", value->count));
    pthread_mutex_unlock(&values->lock);
}

static void handle(void *context, const struct standin_request *request,
                   struct standin_reply *reply)
{
    struct values *values = context;
    const char *key;
    if ((key = standin_path_suffix(request, "POST", "/admin/publish/"))) {
        publish(values, request, key, reply);
    } else if (standin_matches(request, "GET", "/admin/stats")) {
        standin_reply_json(reply, 200,
                           json_pack("{s:I, s:I, s:I, s:I}", "calls", values->calls, "refused",
                                     values->refused, "waiting", values->waiting,
                                     "most_in_a_second", values->peak_calls_per_second));
    } else if (standin_apply_fault(reply)) {
        return;
    } else if ((key = standin_path_suffix(request, "GET", "/v1/values/"))) {
        read_value(values, request, key, reply);
    } else {
        standin_reply_json(reply, 404, json_pack("{s:s}", "error", "no such page"));
    }
}

int values_main(int argc, char **argv)
{
    struct values values = {.lock = PTHREAD_MUTEX_INITIALIZER, .calls_per_second = 2000};
    const struct standin_option extra[] = {
        {"calls-per-second", &values.calls_per_second,
         "rate limit; a waiting long poll counts as one call"},
        {"lag-ms", &values.lag_ms, "delay until a published value is visible"},
        {NULL, NULL, NULL}};
    struct standin_options options;
    standin_parse_options(argc, argv,
                          "Stand-in for the configuration service and the machine list.", &options,
                          extra);
    return standin_serve(&options, handle, &values);
}

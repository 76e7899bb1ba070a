#include "agent/transfer.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct active {
    struct transfer *transfer;
    struct transfer_job job;
    uint64_t call;
    struct active *next;
};

struct transfer {
    struct loop *loop;
    struct loop *control;
    struct blob_store *store;
    struct link_pace *pace;
    loop_callback *take;
    void *context;
    char reader_header[128];
    struct active *active;
    pthread_t thread;
};

struct order {
    struct transfer *transfer;
    struct transfer_job job;
};

static void unlink_active(struct transfer *transfer, struct active *active)
{
    struct active **link = &transfer->active;
    while (*link != active)
        link = &(*link)->next;
    *link = active->next;
}

static void post_result(struct transfer *transfer, const struct transfer_result *result)
{
    struct transfer_result *copy = memory_duplicate(result, sizeof *result);
    copy->context = transfer->context;
    loop_post(transfer->control, transfer->take, copy);
}

static void store_body(struct transfer *transfer, struct http_response *response,
                       struct transfer_result *result)
{
    enum status status = blob_store_put(transfer->store, &result->job.digest,
                                        http_response_take_body(response), response->size);
    result->stored = status == STATUS_OK;
    result->failure = status == STATUS_CORRUPT ? SWARM_FAILURE_CORRUPT : SWARM_FAILURE_ERROR;
    if (status == STATUS_CORRUPT) {
        metric_add(METRIC_CHUNKS_REJECTED, 1);
        log_event(LOG_LEVEL_WARN, "transfer", "corrupt_chunk", "url=%s bytes=%zu", result->job.url,
                  response->size);
    } else if (status != STATUS_OK) {
        log_event(LOG_LEVEL_ERROR, "transfer", "not_stored", "reason=\"%s\"", status_message());
    }
}

static enum swarm_failure failure_of(struct http_response *response)
{
    if (response->result != HTTP_COMPLETE)
        return SWARM_FAILURE_ERROR;
    if (response->status == 503 || response->status == 429)
        return SWARM_FAILURE_BUSY;
    if (response->status == 404)
        return strcmp(response->note, "pending") == 0 ? SWARM_FAILURE_PENDING
                                                      : SWARM_FAILURE_ABSENT;
    return SWARM_FAILURE_ERROR;
}

static void count_result(const struct transfer_result *result, size_t size)
{
    if (!result->stored) {
        metric_add(METRIC_CHUNKS_FAILED, 1);
        return;
    }
    if (result->job.chunk == TRANSFER_MANIFEST)
        return;
    bool origin = result->job.source == SWARM_ORIGIN;
    metric_add(origin ? METRIC_CHUNKS_FROM_ORIGIN : METRIC_CHUNKS_FROM_PEER, 1);
    metric_add(METRIC_CHUNK_BYTES, size);
}

static void on_response(void *context, struct http_response *response)
{
    struct active *active = context;
    struct transfer *transfer = active->transfer;
    struct transfer_result result = {.job = active->job,
                                     .retry_after_ms = response->retry_after_ms};
    if (response->result == HTTP_COMPLETE && response->status == 200)
        store_body(transfer, response, &result);
    else
        result.failure = failure_of(response);
    count_result(&result, response->size);
    unlink_active(transfer, active);
    free(active);
    post_result(transfer, &result);
}

static void on_bytes(void *context, size_t size)
{
    struct active *active = context;
    link_pace_use(active->transfer->pace, size);
}

static void start_job(void *argument)
{
    struct order *order = argument;
    struct transfer *transfer = order->transfer;
    if (blob_store_has(transfer->store, &order->job.digest)) {
        struct transfer_result result = {.job = order->job, .stored = true};
        post_result(transfer, &result);
        free(order);
        return;
    }
    struct active *active = memory_calloc(1, sizeof *active);
    active->transfer = transfer;
    active->job = order->job;
    active->next = transfer->active;
    transfer->active = active;
    const char *headers[] = {transfer->reader_header, NULL};
    struct http_call call = {
        .method = "GET",
        .url = active->job.url,
        .headers = headers,
        .body_limit = active->job.length,
        .timeout_ms = active->job.timeout_ms,
        .stall_ms = active->job.stall_ms,
        .on_bytes = on_bytes,
        .on_done = on_response,
        .context = active,
    };
    active->call = loop_http(transfer->loop, &call);
    free(order);
}

static void cancel_job(void *argument)
{
    struct order *order = argument;
    struct transfer *transfer = order->transfer;
    for (struct active *active = transfer->active; active; active = active->next) {
        bool same = active->job.rollout == order->job.rollout &&
                    active->job.source == order->job.source &&
                    active->job.chunk == order->job.chunk;
        if (!same)
            continue;
        loop_http_cancel(transfer->loop, active->call);
        unlink_active(transfer, active);
        free(active);
        break;
    }
    free(order);
}

void transfer_fetch(struct transfer *transfer, const struct transfer_job *job)
{
    struct order *order = memory_calloc(1, sizeof *order);
    order->transfer = transfer;
    order->job = *job;
    loop_post(transfer->loop, start_job, order);
}

void transfer_cancel(struct transfer *transfer, uint64_t rollout, uint64_t source, uint32_t chunk)
{
    struct order *order = memory_calloc(1, sizeof *order);
    order->transfer = transfer;
    order->job = (struct transfer_job){.rollout = rollout, .source = source, .chunk = chunk};
    loop_post(transfer->loop, cancel_job, order);
}

static void *run(void *context)
{
    struct transfer *transfer = context;
    loop_run(transfer->loop);
    return NULL;
}

struct transfer *transfer_start(const char *reader, struct blob_store *store,
                                struct link_pace *pace, struct loop *control, loop_callback *take,
                                void *context)
{
    struct transfer *transfer = memory_calloc(1, sizeof *transfer);
    transfer->loop = loop_create();
    transfer->control = control;
    transfer->store = store;
    transfer->pace = pace;
    transfer->take = take;
    transfer->context = context;
    snprintf(transfer->reader_header, sizeof transfer->reader_header, "X-Reader: %s", reader);
    pthread_create(&transfer->thread, NULL, run, transfer);
    return transfer;
}

void transfer_stop(struct transfer *transfer)
{
    if (!transfer)
        return;
    loop_stop(transfer->loop);
    pthread_join(transfer->thread, NULL);
    loop_run_posted(transfer->loop);
    while (transfer->active) {
        struct active *next = transfer->active->next;
        free(transfer->active);
        transfer->active = next;
    }
    loop_destroy(transfer->loop);
    free(transfer);
}

#include "agent/transfer.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A download in progress. */
struct download {
    struct transfer *transfer;
    struct transfer_job job;
    uint64_t http_request;
    struct download *next;
};

struct transfer {
    struct loop *loop;
    struct loop *control_loop;
    struct blob_store *store;
    struct rate_limiter *limiter;
    loop_callback *on_result;
    void *context;
    char reader_header_line[128];
    struct download *downloads;
    pthread_t thread;
};

/* A job posted to the thread: to start, or to cancel by rollout, source and chunk. */
struct posted_job {
    struct transfer *transfer;
    struct transfer_job job;
};

static void remove_download(struct transfer *transfer, struct download *download)
{
    struct download **link = &transfer->downloads;
    while (*link != download)
        link = &(*link)->next;
    *link = download->next;
}

static void post_result(struct transfer *transfer, const struct transfer_result *result)
{
    struct transfer_result *copy = memory_duplicate(result, sizeof *result);
    copy->context = transfer->context;
    loop_post(transfer->control_loop, transfer->on_result, copy);
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

static enum swarm_failure classify_failure(struct http_response *response)
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
    struct download *download = context;
    struct transfer *transfer = download->transfer;
    struct transfer_result result = {.job = download->job,
                                     .retry_after_ms = response->retry_after_ms};
    if (response->result == HTTP_COMPLETE && response->status == 200)
        store_body(transfer, response, &result);
    else
        result.failure = classify_failure(response);
    count_result(&result, response->size);
    remove_download(transfer, download);
    free(download);
    post_result(transfer, &result);
}

static void on_bytes(void *context, size_t size)
{
    struct download *download = context;
    rate_limiter_acquire(download->transfer->limiter, size);
}

static void start_download(void *argument)
{
    struct posted_job *posted = argument;
    struct transfer *transfer = posted->transfer;
    if (blob_store_has(transfer->store, &posted->job.digest)) {
        struct transfer_result result = {.job = posted->job, .stored = true};
        post_result(transfer, &result);
        free(posted);
        return;
    }
    struct download *download = memory_calloc(1, sizeof *download);
    download->transfer = transfer;
    download->job = posted->job;
    download->next = transfer->downloads;
    transfer->downloads = download;
    const char *headers[] = {transfer->reader_header_line, NULL};
    struct http_call call = {
        .method = "GET",
        .url = download->job.url,
        .headers = headers,
        .body_limit = download->job.length,
        .timeout_ms = download->job.timeout_ms,
        .stall_ms = download->job.stall_ms,
        .on_bytes = on_bytes,
        .on_done = on_response,
        .context = download,
    };
    download->http_request = loop_http(transfer->loop, &call);
    free(posted);
}

static void cancel_download(void *argument)
{
    struct posted_job *posted = argument;
    struct transfer *transfer = posted->transfer;
    for (struct download *download = transfer->downloads; download; download = download->next) {
        bool same = download->job.rollout == posted->job.rollout &&
                    download->job.source == posted->job.source &&
                    download->job.chunk == posted->job.chunk;
        if (!same)
            continue;
        loop_http_cancel(transfer->loop, download->http_request);
        remove_download(transfer, download);
        free(download);
        break;
    }
    free(posted);
}

void transfer_fetch(struct transfer *transfer, const struct transfer_job *job)
{
    struct posted_job *posted = memory_calloc(1, sizeof *posted);
    posted->transfer = transfer;
    posted->job = *job;
    loop_post(transfer->loop, start_download, posted);
}

void transfer_cancel(struct transfer *transfer, uint64_t rollout, uint64_t source, uint32_t chunk)
{
    struct posted_job *posted = memory_calloc(1, sizeof *posted);
    posted->transfer = transfer;
    posted->job = (struct transfer_job){.rollout = rollout, .source = source, .chunk = chunk};
    loop_post(transfer->loop, cancel_download, posted);
}

static void *run_thread(void *context)
{
    struct transfer *transfer = context;
    loop_run(transfer->loop);
    return NULL;
}

struct transfer *transfer_start(const char *reader, struct blob_store *store,
                                struct rate_limiter *limiter, struct loop *control_loop,
                                loop_callback *on_result, void *context)
{
    struct transfer *transfer = memory_calloc(1, sizeof *transfer);
    transfer->loop = loop_create();
    transfer->control_loop = control_loop;
    transfer->store = store;
    transfer->limiter = limiter;
    transfer->on_result = on_result;
    transfer->context = context;
    snprintf(transfer->reader_header_line, sizeof transfer->reader_header_line, "X-Reader: %s",
             reader);
    pthread_create(&transfer->thread, NULL, run_thread, transfer);
    return transfer;
}

void transfer_stop(struct transfer *transfer)
{
    if (!transfer)
        return;
    loop_stop(transfer->loop);
    pthread_join(transfer->thread, NULL);
    loop_run_posted(transfer->loop);
    while (transfer->downloads) {
        struct download *next = transfer->downloads->next;
        free(transfer->downloads);
        transfer->downloads = next;
    }
    loop_destroy(transfer->loop);
    free(transfer);
}

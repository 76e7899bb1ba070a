/**
 * Stand-in for a model engine: continuous batching at a fixed token rate, fenced load orders,
 * request priorities, streams that can be cancelled and resumed, a bounded prefix cache, delayed
 * load reports, and cache events that are delayed and partly lost.
 *
 * POST /v1/load       {"model", "version", "digest", "source", "expires_ms", "fence": {...}}:
 *                     downloads manifest and chunks from the source and verifies each digest
 * GET  /v1/status     {"models": [{"model", "version", "digest"}]}
 * POST /v1/generate   {"prompt", "max_tokens"} with X-Model, X-Digest, X-Offset, X-Priority:
 *                     one line {"i", "t"} a token, then {"end": "done", "tokens"}
 * GET  /v1/load-report   queue and batch sizes, up to --report-lag-ms old
 * GET  /v1/events?after=N  cache events after number N, delayed and with gaps
 * GET  /admin/stats   {"generated", "cancelled", "streams"}: tokens, cancelled and open streams
 *
 * Token i of an answer is a function of (digest, prompt, i), so that callers can verify it.
 */
#include "standin/standin.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/manifest.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_MODELS 4
#define MAX_STREAMS 1024
#define MAX_CACHED 256
#define MAX_EVENTS 1024
#define DEFAULT_TOKENS 16
#define MAX_TOKENS 100000
#define PREFIX_BYTES 64

struct loaded_model {
    char model[MANIFEST_NAME_SIZE];
    char version[MANIFEST_NAME_SIZE];
    char digest[DIGEST_HEX_SIZE];
};

struct stream {
    struct engine *engine;
    uint64_t seed;      /* of the token sequence */
    uint64_t next;      /* index of the token to generate next */
    uint64_t available; /* tokens generated */
    uint64_t formatted; /* tokens formatted into `line` */
    uint64_t count;
    uint32_t prefill; /* batch steps left before the first token */
    unsigned priority;
    uint64_t arrival; /* sequence number, for first-come order */
    bool running;
    bool closed;
    char line[160];
    size_t line_size;
    size_t line_sent;
    bool end_formatted;
};

struct cache_event {
    uint64_t prefix;
    bool stored; /* false: evicted */
    uint64_t visible_at_us;
};

struct engine {
    pthread_mutex_t lock;
    pthread_cond_t progress;
    struct loaded_model models[MAX_MODELS];
    uint32_t model_count;
    unsigned long long fence[3];
    struct stream *streams[MAX_STREAMS];
    uint32_t stream_count;
    uint64_t cached_prefixes[MAX_CACHED]; /* prefix hashes, least recently used first */
    uint32_t cached_count;
    struct cache_event events[MAX_EVENTS]; /* ring buffer: event N is at N % MAX_EVENTS */
    uint64_t event_count;
    uint64_t report[2]; /* queue length, batch size */
    uint64_t next_report_us;
    uint64_t arrivals;
    uint64_t generated;
    uint64_t cancelled;
    uint64_t batch;
    uint64_t step_us;
    uint64_t queue_limit;
    uint64_t cache_entries;
    uint64_t prefill_steps;
    uint64_t report_lag_ms;
    uint64_t event_lag_ms;
    uint64_t event_gap; /* every Nth event is lost; 0: none */
    uint64_t checks_fences;
    uint64_t load_ms;
};

/* ---- loading ---- */

struct buffer {
    char *data;
    size_t size;
};

static size_t append_received(char *data, size_t unit, size_t count, void *context)
{
    struct buffer *buffer = context;
    buffer->data = memory_realloc(buffer->data, buffer->size + unit * count);
    memcpy(buffer->data + buffer->size, data, unit * count);
    buffer->size += unit * count;
    return unit * count;
}

static bool fetch_blob(CURL *easy, const char *source, const char *hex, struct buffer *buffer)
{
    char url[512];
    long status = 0;
    buffer->size = 0;
    snprintf(url, sizeof url, "%s/v1/blobs/%s", source, hex);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, buffer);
    bool good = curl_easy_perform(easy) == CURLE_OK;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return good && status == 200;
}

static bool fetch_chunks(CURL *easy, const char *source, const struct manifest *manifest,
                         struct buffer *buffer)
{
    for (uint32_t i = 0; i < manifest->chunk_count; i++) {
        char hex[DIGEST_HEX_SIZE];
        digest_to_hex(&manifest->chunks[i], hex);
        if (!fetch_blob(easy, source, hex, buffer))
            return false;
        struct digest digest = digest_of(buffer->data, buffer->size);
        if (!digest_equal(&digest, &manifest->chunks[i]))
            return false;
    }
    return true;
}

/* \return an error message, or NULL when the manifest and all its chunks were downloaded and
 * verified */
static const char *fetch_version(const char *source, const char *hex, struct manifest *manifest)
{
    struct digest expected;
    struct buffer buffer = {0};
    struct curl_slist *headers = curl_slist_append(NULL, "X-Local-Engine: true");
    CURL *easy = curl_easy_init();
    const char *problem = NULL;
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_received);
    if (digest_from_hex(hex, &expected) != STATUS_OK || !fetch_blob(easy, source, hex, &buffer) ||
        manifest_parse(buffer.data, buffer.size, &expected, manifest) != STATUS_OK)
        problem = "the manifest cannot be had";
    else if (!fetch_chunks(easy, source, manifest, &buffer))
        problem = "a chunk is missing or wrong";
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    free(buffer.data);
    return problem;
}

/* Refuses orders with an older (revision, incarnation, sequence). Lock held. */
static bool accept_fence(struct engine *engine, const json_t *fence)
{
    unsigned long long order[3] = {
        (unsigned long long)json_integer_value(json_object_get(fence, "revision")),
        (unsigned long long)json_integer_value(json_object_get(fence, "incarnation")),
        (unsigned long long)json_integer_value(json_object_get(fence, "sequence"))};
    for (int i = 0; i < 3; i++) {
        if (order[i] == engine->fence[i])
            continue;
        if (order[i] < engine->fence[i] && engine->checks_fences)
            return false;
        break;
    }
    memcpy(engine->fence, order, sizeof order);
    return true;
}

static void set_loaded_model(struct engine *engine, const struct loaded_model *loaded_model)
{
    uint32_t index = 0;
    while (index < engine->model_count &&
           strcmp(engine->models[index].model, loaded_model->model) != 0)
        index++;
    if (index == MAX_MODELS)
        index = 0;
    engine->models[index] = *loaded_model;
    if (index == engine->model_count)
        engine->model_count++;
}

static const char *load(struct engine *engine, const json_t *order)
{
    const char *model;
    const char *version;
    const char *digest;
    const char *source;
    json_t *fence;
    struct manifest manifest = {0};
    struct loaded_model loaded_model = {{0}, {0}, {0}};
    if (json_unpack((json_t *)order, "{s:s, s:s, s:s, s:s, s:o}", "model", &model, "version",
                    &version, "digest", &digest, "source", &source, "fence", &fence) != 0)
        return "a field is missing";
    pthread_mutex_lock(&engine->lock);
    bool current = accept_fence(engine, fence);
    pthread_mutex_unlock(&engine->lock);
    if (!current)
        return "the fence is old";
    const char *problem = fetch_version(source, digest, &manifest);
    if (problem)
        return problem;
    standin_sleep_us(engine->load_ms * 1000);
    snprintf(loaded_model.model, sizeof loaded_model.model, "%s", manifest.model);
    snprintf(loaded_model.version, sizeof loaded_model.version, "%s", manifest.version);
    snprintf(loaded_model.digest, sizeof loaded_model.digest, "%s", digest);
    manifest_clear(&manifest);
    pthread_mutex_lock(&engine->lock);
    set_loaded_model(engine, &loaded_model);
    pthread_mutex_unlock(&engine->lock);
    return NULL;
}

static void handle_load(struct engine *engine, const struct standin_request *request,
                        struct standin_reply *reply)
{
    json_t *order = json_loadb(request->body, request->size, 0, NULL);
    const char *problem = load(engine, order);
    if (problem)
        standin_reply_json(reply, 409, json_pack("{s:s}", "error", problem));
    else
        standin_reply_json(reply, 200,
                           json_pack("{s:O}", "digest", json_object_get(order, "digest")));
    json_decref(order);
}

static void handle_status(struct engine *engine, struct standin_reply *reply)
{
    json_t *models = json_array();
    pthread_mutex_lock(&engine->lock);
    for (uint32_t i = 0; i < engine->model_count; i++)
        json_array_append_new(models, json_pack("{s:s, s:s, s:s}", "model", engine->models[i].model,
                                                "version", engine->models[i].version, "digest",
                                                engine->models[i].digest));
    pthread_mutex_unlock(&engine->lock);
    standin_reply_json(reply, 200, json_pack("{s:o}", "models", models));
}

/* ---- prefix cache ---- */

/* Becomes visible after the configured lag. Lock held. */
static void record_cache_event(struct engine *engine, uint64_t prefix, bool stored)
{
    struct cache_event *event = &engine->events[engine->event_count++ % MAX_EVENTS];
    *event = (struct cache_event){prefix, stored, standin_now_us() + engine->event_lag_ms * 1000};
}

/* Makes a prefix the most recently used one. Lock held. \return whether it was cached */
static bool cache_prefix(struct engine *engine, uint64_t prefix)
{
    uint32_t index = 0;
    while (index < engine->cached_count && engine->cached_prefixes[index] != prefix)
        index++;
    bool hit = index < engine->cached_count;
    if (!hit && engine->cached_count == engine->cache_entries) {
        record_cache_event(engine, engine->cached_prefixes[0], false);
        index = 0;
    }
    if (hit || engine->cached_count == engine->cache_entries) {
        memmove(&engine->cached_prefixes[index], &engine->cached_prefixes[index + 1],
                (engine->cached_count - index - 1) * sizeof engine->cached_prefixes[0]);
        engine->cached_count--;
    }
    engine->cached_prefixes[engine->cached_count++] = prefix;
    if (!hit)
        record_cache_event(engine, prefix, true);
    return hit;
}

static void handle_events(struct engine *engine, const struct standin_request *request,
                          struct standin_reply *reply)
{
    uint64_t after = standin_query_number(request, "after", 0);
    json_t *events = json_array();
    pthread_mutex_lock(&engine->lock);
    uint64_t oldest = engine->event_count > MAX_EVENTS ? engine->event_count - MAX_EVENTS : 0;
    for (uint64_t i = after > oldest ? after : oldest; i < engine->event_count; i++) {
        const struct cache_event *event = &engine->events[i % MAX_EVENTS];
        if (event->visible_at_us > standin_now_us())
            break;
        if (engine->event_gap && i % engine->event_gap == engine->event_gap - 1)
            continue;
        json_array_append_new(events, json_pack("{s:I, s:I, s:s}", "number", (json_int_t)i + 1,
                                                "prefix", (json_int_t)(event->prefix >> 1), "kind",
                                                event->stored ? "stored" : "evicted"));
    }
    pthread_mutex_unlock(&engine->lock);
    standin_reply_json(reply, 200, json_pack("{s:o}", "events", events));
}

/* ---- batching ---- */

static uint32_t count_running(const struct engine *engine)
{
    uint32_t running = 0;
    for (uint32_t i = 0; i < engine->stream_count; i++)
        running += engine->streams[i]->running;
    return running;
}

/* Admits waiting streams to the batch by priority, then in order of arrival. Lock held. */
static void admit_streams(struct engine *engine)
{
    while (count_running(engine) < engine->batch) {
        struct stream *best = NULL;
        for (uint32_t i = 0; i < engine->stream_count; i++) {
            struct stream *stream = engine->streams[i];
            if (stream->running || stream->closed || stream->next == stream->count)
                continue;
            bool better = !best || stream->priority > best->priority ||
                          (stream->priority == best->priority && stream->arrival < best->arrival);
            if (better)
                best = stream;
        }
        if (!best)
            return;
        best->running = true;
    }
}

/* Runs one step: one token, or one prefill step, for each stream of the batch. Lock held. */
static void step_batch(struct engine *engine)
{
    for (uint32_t i = 0; i < engine->stream_count; i++) {
        struct stream *stream = engine->streams[i];
        if (!stream->running)
            continue;
        if (stream->prefill) {
            stream->prefill--;
            continue;
        }
        stream->next++;
        stream->available = stream->next;
        engine->generated++;
        if (stream->next == stream->count)
            stream->running = false;
    }
}

static void *run_batches(void *context)
{
    struct engine *engine = context;
    for (;;) {
        standin_sleep_us(engine->step_us);
        if (standin_fault() == FAULT_STALL)
            continue;
        if (standin_fault() == FAULT_SLOW)
            standin_sleep_us(9 * engine->step_us);
        pthread_mutex_lock(&engine->lock);
        admit_streams(engine);
        step_batch(engine);
        if (standin_now_us() >= engine->next_report_us) {
            engine->report[1] = count_running(engine);
            engine->report[0] = engine->stream_count - engine->report[1];
            engine->next_report_us = standin_now_us() + engine->report_lag_ms * 1000;
        }
        pthread_cond_broadcast(&engine->progress);
        pthread_mutex_unlock(&engine->lock);
    }
    return NULL;
}

/* ---- streams ---- */

static void format_next_line(struct stream *stream)
{
    stream->line_sent = 0;
    if (stream->formatted < stream->available) {
        uint64_t token = hash_pair(stream->seed, stream->formatted) & 0xffffff;
        stream->line_size = (size_t)snprintf(stream->line, sizeof stream->line,
                                             "{\"i\":%" PRIu64 ",\"t\":\"%06" PRIx64 "\"}\n",
                                             stream->formatted, token);
        stream->formatted++;
        return;
    }
    stream->line_size =
        (size_t)snprintf(stream->line, sizeof stream->line,
                         "{\"end\":\"done\",\"tokens\":%" PRIu64 "}\n", stream->count);
    stream->end_formatted = true;
}

static ssize_t read_tokens(void *context, char *buffer, size_t capacity)
{
    struct stream *stream = context;
    struct engine *engine = stream->engine;
    if (stream->line_sent == stream->line_size) {
        if (stream->end_formatted)
            return 0;
        pthread_mutex_lock(&engine->lock);
        while (stream->formatted == stream->available && stream->formatted < stream->count &&
               standin_fault() != FAULT_DOWN)
            pthread_cond_wait(&engine->progress, &engine->lock);
        bool down = standin_fault() == FAULT_DOWN;
        if (!down)
            format_next_line(stream);
        pthread_mutex_unlock(&engine->lock);
        if (down)
            return -1;
    }
    size_t left = stream->line_size - stream->line_sent;
    size_t size = left < capacity ? left : capacity;
    memcpy(buffer, stream->line + stream->line_sent, size);
    stream->line_sent += size;
    return (ssize_t)size;
}

static void end_stream(void *context)
{
    struct stream *stream = context;
    struct engine *engine = stream->engine;
    pthread_mutex_lock(&engine->lock);
    if (!stream->end_formatted)
        engine->cancelled++;
    for (uint32_t i = 0; i < engine->stream_count; i++)
        if (engine->streams[i] == stream)
            engine->streams[i] = engine->streams[--engine->stream_count];
    pthread_mutex_unlock(&engine->lock);
    free(stream);
}

static const struct loaded_model *find_loaded_model(const struct engine *engine, const char *model,
                                                    const char *digest)
{
    for (uint32_t i = 0; i < engine->model_count; i++)
        if (model && digest && strcmp(engine->models[i].model, model) == 0 &&
            strcmp(engine->models[i].digest, digest) == 0)
            return &engine->models[i];
    return NULL;
}

static void refuse(struct standin_reply *reply, unsigned status, const char *text)
{
    standin_reply_json(reply, status, json_pack("{s:s}", "error", text));
    reply->headers[0][0] = "X-Note";
    reply->headers[0][1] = "not-run";
}

/* Lock held. */
static struct stream *add_stream(struct engine *engine, const struct standin_request *request,
                                 const struct loaded_model *loaded_model, const char *prompt,
                                 uint64_t count)
{
    const char *offset = standin_header(request, "X-Offset");
    const char *priority = standin_header(request, "X-Priority");
    struct stream *stream = memory_calloc(1, sizeof *stream);
    size_t length = strlen(prompt);
    uint64_t prefix = hash_bytes(prompt, length < PREFIX_BYTES ? length : PREFIX_BYTES);
    stream->engine = engine;
    stream->seed = hash_pair(hash_name(loaded_model->digest), hash_name(prompt));
    stream->next = offset ? strtoull(offset, NULL, 10) : 0;
    stream->next = stream->next < count ? stream->next : count;
    stream->formatted = stream->next;
    stream->available = stream->next;
    stream->count = count;
    stream->priority = priority ? (unsigned)strtoul(priority, NULL, 10) : 0;
    stream->arrival = engine->arrivals++;
    stream->prefill = cache_prefix(engine, prefix) ? 0 : (uint32_t)engine->prefill_steps;
    engine->streams[engine->stream_count++] = stream;
    return stream;
}

static void handle_generate(struct engine *engine, const struct standin_request *request,
                            struct standin_reply *reply)
{
    json_t *body = json_loadb(request->body, request->size, 0, NULL);
    const char *prompt = json_string_value(json_object_get(body, "prompt"));
    json_int_t count = json_integer_value(json_object_get(body, "max_tokens"));
    count = count > 0 && count < MAX_TOKENS ? count : DEFAULT_TOKENS;
    pthread_mutex_lock(&engine->lock);
    const struct loaded_model *loaded_model = find_loaded_model(
        engine, standin_header(request, "X-Model"), standin_header(request, "X-Digest"));
    uint64_t waiting = engine->stream_count - count_running(engine);
    struct stream *stream = NULL;
    if (!loaded_model)
        refuse(reply, 409, "that version is not loaded");
    else if (waiting >= engine->queue_limit || engine->stream_count == MAX_STREAMS)
        refuse(reply, 503, "the queue is full");
    else
        stream = add_stream(engine, request, loaded_model, prompt ? prompt : "", (uint64_t)count);
    pthread_mutex_unlock(&engine->lock);
    json_decref(body);
    if (!stream)
        return;
    reply->status = 200;
    reply->read = read_tokens;
    reply->end = end_stream;
    reply->context = stream;
}

static void handle_report(struct engine *engine, struct standin_reply *reply)
{
    pthread_mutex_lock(&engine->lock);
    standin_reply_json(reply, 200,
                       json_pack("{s:I, s:I, s:I}", "queue", (json_int_t)engine->report[0], "batch",
                                 (json_int_t)engine->report[1], "batch_limit",
                                 (json_int_t)engine->batch));
    pthread_mutex_unlock(&engine->lock);
}

static void handle_stats(struct engine *engine, struct standin_reply *reply)
{
    pthread_mutex_lock(&engine->lock);
    standin_reply_json(reply, 200,
                       json_pack("{s:I, s:I, s:i}", "generated", (json_int_t)engine->generated,
                                 "cancelled", (json_int_t)engine->cancelled, "streams",
                                 engine->stream_count));
    pthread_mutex_unlock(&engine->lock);
}

static void handle(void *context, const struct standin_request *request,
                   struct standin_reply *reply)
{
    struct engine *engine = context;
    if (standin_matches(request, "GET", "/admin/stats"))
        handle_stats(engine, reply);
    else if (standin_fault() != FAULT_SLOW && standin_apply_fault(reply))
        return;
    else if (standin_matches(request, "POST", "/v1/load"))
        handle_load(engine, request, reply);
    else if (standin_matches(request, "GET", "/v1/status"))
        handle_status(engine, reply);
    else if (standin_matches(request, "POST", "/v1/generate"))
        handle_generate(engine, request, reply);
    else if (standin_matches(request, "GET", "/v1/load-report"))
        handle_report(engine, reply);
    else if (standin_matches(request, "GET", "/v1/events"))
        handle_events(engine, request, reply);
    else
        standin_reply_json(reply, 404, json_pack("{s:s}", "error", "no such page"));
}

int engine_main(int argc, char **argv)
{
    struct engine engine = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .progress = PTHREAD_COND_INITIALIZER,
        .batch = 8,
        .step_us = 5000,
        .queue_limit = 64,
        .cache_entries = 64,
        .prefill_steps = 4,
        .report_lag_ms = 500,
        .event_lag_ms = 300,
        .event_gap = 7,
        .checks_fences = 1,
    };
    const struct standin_option extra[] = {
        {"batch", &engine.batch, "streams that generate tokens concurrently"},
        {"step-us", &engine.step_us,
         "duration of one step: one token for each stream of the batch"},
        {"queue-limit", &engine.queue_limit, "streams that may be queued"},
        {"cache-entries", &engine.cache_entries, "capacity of the prefix cache, 1 to 256"},
        {"prefill-steps", &engine.prefill_steps, "steps before the first token on a cache miss"},
        {"report-lag-ms", &engine.report_lag_ms, "refresh interval of load reports"},
        {"event-lag-ms", &engine.event_lag_ms, "delay of cache events"},
        {"event-gap", &engine.event_gap, "every Nth cache event is lost, 0: none"},
        {"checks-fences", &engine.checks_fences, "1: refuse load orders with a stale fence"},
        {"load-ms", &engine.load_ms, "time to load a version after its chunks are downloaded"},
        {NULL, NULL, NULL}};
    struct standin_options options;
    pthread_t batches;
    standin_parse_options(argc, argv, "Stand-in for a model engine.", &options, extra);
    if (engine.cache_entries < 1 || engine.cache_entries > MAX_CACHED)
        engine.cache_entries = MAX_CACHED;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    pthread_create(&batches, NULL, run_batches, &engine);
    return standin_serve(&options, handle, &engine);
}

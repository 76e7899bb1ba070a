#include "agent/agent_traffic.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "net/links.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_US (50 * MICROSECONDS_PER_MILLISECOND)
#define PAUSE_THRESHOLD_US MICROSECONDS_PER_SECOND
/* A request not sent by then counts as delayed by a pause of the process, and is not sent. */
#define SEND_TIMEOUT_US MICROSECONDS_PER_SECOND
#define MAX_ROUTES 1024 /* connections of gateways */
#define MAX_LINE_BYTES (1u << 20)
#define MAX_SERVICE_RESPONSE_BYTES (4u << 20)

/* A run on the engine or service. */
struct engine_run {
    struct agent_traffic *traffic;
    uint64_t id;           /* in the executor */
    uint64_t http_request; /* in the loop */
    bool is_service_call;  /* a plain service: one response body instead of token lines */
    bool started;          /* response data was received */
    bool end_received;     /* the end line was received, with the right number of tokens */
    uint64_t tokens;       /* offset after the last token */
    uint8_t *line;         /* an incomplete line */
    size_t line_size;
    struct engine_run *next;
};

struct agent_traffic {
    const struct settings *settings;
    struct loop *loop;
    struct link_listener *listener;
    struct executor *executor;
    struct engine_run *runs;
    struct link_route routes[MAX_ROUTES];
    uint32_t route_count;
    uint64_t incarnation;
    struct agent_traffic_state state;
    pthread_t thread;
};

/* ---- routes: connections of gateways, identified by index ---- */

static uint64_t route_index(struct agent_traffic *traffic, const struct link_route *route)
{
    for (uint32_t i = 0; i < traffic->route_count; i++)
        if (traffic->routes[i].size == route->size && traffic->routes[i].slot == route->slot &&
            memcmp(traffic->routes[i].bytes, route->bytes, route->size) == 0)
            return i;
    /* A full table replaces an arbitrary entry; further answers to the gateway of that entry are
     * lost, which it detects as a stall. */
    uint32_t index = traffic->route_count < MAX_ROUTES
                         ? traffic->route_count++
                         : (uint32_t)(clock_monotonic_us() % MAX_ROUTES);
    traffic->routes[index] = *route;
    return index;
}

static void send_answer(void *context, uint64_t route, Shuntrun__Answer *answer)
{
    struct agent_traffic *traffic = context;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    envelope.from_incarnation = traffic->incarnation;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_ANSWER;
    envelope.answer = answer;
    link_listener_reply(traffic->listener, &traffic->routes[route], &envelope);
}

/* ---- runs ---- */

static void free_engine_run(struct agent_traffic *traffic, struct engine_run *run)
{
    struct engine_run **link = &traffic->runs;
    while (*link != run)
        link = &(*link)->next;
    *link = run->next;
    free(run->line);
    free(run);
}

/* Parses {"i": N, "t": "..."}, the token at offset N, or the end line {"end": "done", "tokens": N}.
 * Other lines are ignored. */
static void on_engine_line(struct engine_run *run, const char *line, size_t size)
{
    json_error_t error;
    json_t *root = json_loadb(line, size, 0, &error);
    const json_t *index = json_object_get(root, "i");
    const char *end = json_string_value(json_object_get(root, "end"));
    if (json_is_integer(index)) {
        uint64_t offset = (uint64_t)json_integer_value(index);
        run->tokens = offset + 1;
        executor_on_tokens(run->traffic->executor, clock_monotonic_us(), run->id, offset, 1,
                           (const uint8_t *)line, size);
    } else if (end && strcmp(end, "done") == 0) {
        run->end_received =
            json_integer_value(json_object_get(root, "tokens")) == (json_int_t)run->tokens;
    }
    json_decref(root);
}

static void on_engine_data(void *context, const uint8_t *data, size_t size)
{
    struct engine_run *run = context;
    run->started = true;
    if (run->line_size + size > MAX_LINE_BYTES)
        return; /* no valid line is that long; the run fails, since its end line is missing */
    run->line = memory_realloc(run->line, run->line_size + size);
    memcpy(run->line + run->line_size, data, size);
    run->line_size += size;
    size_t start = 0;
    for (size_t i = 0; i < run->line_size; i++) {
        if (run->line[i] != '\n')
            continue;
        on_engine_line(run, (const char *)run->line + start, i + 1 - start);
        start = i + 1;
    }
    run->line_size -= start;
    memmove(run->line, run->line + start, run->line_size);
}

/* Whether the run certainly did not start: nothing was sent, or the back end says so in X-Note. */
static bool known_not_started(struct http_response *response)
{
    return response->result == HTTP_NOT_SENT || strcmp(response->note, "not-run") == 0;
}

static void on_engine_done(void *context, struct http_response *response)
{
    struct engine_run *run = context;
    struct agent_traffic *traffic = run->traffic;
    uint64_t now = clock_monotonic_us();
    bool succeeded = response->result == HTTP_COMPLETE && response->status == 200;
    if (succeeded && run->is_service_call)
        executor_on_done(traffic->executor, now, run->id, 0, response->body, response->size);
    else if (succeeded && run->end_received)
        executor_on_done(traffic->executor, now, run->id, run->tokens, NULL, 0);
    else
        executor_on_failed(
            traffic->executor, now, run->id, run->started || !known_not_started(response),
            response->result == HTTP_COMPLETE ? "the back end refused or failed" : response->error);
    free_engine_run(traffic, run);
}

#define HEADER_SIZE 1200
#define MAX_HEADERS 10

struct header_list {
    char texts[MAX_HEADERS][HEADER_SIZE];
    const char *pointers[MAX_HEADERS + 1];
    uint32_t count;
};

static void add_header(struct header_list *list, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void add_header(struct header_list *list, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(list->texts[list->count], HEADER_SIZE, format, arguments);
    va_end(arguments);
    list->pointers[list->count] = list->texts[list->count];
    list->count++;
}

static void fill_headers(struct header_list *list, const Shuntrun__Forward *forward,
                         const struct ready_model *model, const struct fence *fence)
{
    add_header(list, "Content-Type: application/json");
    add_header(list, "X-Tenant: %s", forward->tenant);
    add_header(list, "X-Priority: %u", forward->priority);
    add_header(list, "X-Deadline-Ms: %" PRIu64, forward->remaining_us / 1000);
    add_header(list, "X-Fence: %" PRIu64 ".%" PRIu64 ".%" PRIu64, fence->revision,
               fence->incarnation, fence->sequence);
    if (forward->idempotency_key[0])
        add_header(list, "X-Request-Key: %s", forward->idempotency_key);
    if (!model)
        return;
    add_header(list, "X-Model: %s", model->model);
    add_header(list, "X-Digest: %s", model->digest);
    add_header(list, "X-Offset: %" PRIu64, forward->resume_offset);
}

static void start_run(void *context, uint64_t id, const Shuntrun__Forward *forward,
                      const struct ready_model *model, const struct fence *fence)
{
    struct agent_traffic *traffic = context;
    struct engine_run *run = memory_calloc(1, sizeof *run);
    struct header_list *headers = memory_calloc(1, sizeof *headers);
    char url[512];
    run->traffic = traffic;
    run->id = id;
    run->is_service_call = !model;
    run->tokens = forward->resume_offset;
    run->next = traffic->runs;
    traffic->runs = run;
    fill_headers(headers, forward, model, fence);
    snprintf(url, sizeof url, "%s%s",
             model ? traffic->settings->engine_url : traffic->settings->service_url,
             model ? "/v1/generate" : "/v1/call");
    struct http_call call = {
        .method = "POST",
        .url = url,
        .headers = headers->pointers,
        .body = forward->body.data,
        .body_size = forward->body.len,
        .body_limit = MAX_SERVICE_RESPONSE_BYTES,
        .timeout_ms = forward->remaining_us / 1000 + 1,
        .fresh_connection = forward->unrepeatable,
        .send_before_us =
            clock_monotonic_us() +
            (forward->remaining_us < SEND_TIMEOUT_US ? forward->remaining_us : SEND_TIMEOUT_US),
        .on_data = model ? on_engine_data : NULL,
        .on_done = on_engine_done,
        .context = run,
    };
    run->http_request = loop_http(traffic->loop, &call);
    free(headers);
}

static void cancel_run(void *context, uint64_t id)
{
    struct agent_traffic *traffic = context;
    for (struct engine_run *run = traffic->runs; run; run = run->next) {
        if (run->id != id)
            continue;
        loop_http_cancel(traffic->loop, run->http_request);
        free_engine_run(traffic, run);
        return;
    }
}

/* ---- events ---- */

static void on_socket_readable(void *context)
{
    struct agent_traffic *traffic = context;
    struct link_route route;
    Shuntrun__Envelope *message;
    while ((message = link_listener_receive(traffic->listener, &route))) {
        uint64_t now = clock_monotonic_us();
        if (message->body_case == SHUNTRUN__ENVELOPE__BODY_FORWARD)
            executor_on_forward(traffic->executor, now, route_index(traffic, &route),
                                message->forward);
        else if (message->body_case == SHUNTRUN__ENVELOPE__BODY_CANCEL)
            executor_on_cancel(traffic->executor, now, message->cancel);
        shuntrun__envelope__free_unpacked(message, NULL);
    }
}

static void publish_state(struct agent_traffic *traffic, uint64_t now)
{
    uint32_t active = executor_active(traffic->executor);
    ck_pr_store_32(&traffic->state.active, active);
    ck_pr_store_32(&traffic->state.unsent, link_listener_check_unsent(traffic->listener));
    ck_pr_store_64(&traffic->state.pause_epoch, executor_pause_epoch(traffic->executor));
    ck_pr_store_64(&traffic->state.ticket_epoch, executor_ticket_epoch(traffic->executor, now));
    metric_gauge_set(METRIC_ACTIVE_REQUESTS, active);
}

static void on_tick(void *context)
{
    struct agent_traffic *traffic = context;
    uint64_t now = clock_monotonic_us();
    executor_on_tick(traffic->executor, now);
    publish_state(traffic, now);
}

static void *run_thread(void *context)
{
    struct agent_traffic *traffic = context;
    loop_run(traffic->loop);
    return NULL;
}

struct agent_traffic *agent_traffic_start(const struct settings *settings,
                                          const struct node_shell *shell)
{
    struct agent_traffic *traffic = memory_calloc(1, sizeof *traffic);
    struct executor_driver driver = {traffic, send_answer, start_run, cancel_run};
    struct executor_settings executor_settings = {
        .capacity = (uint32_t)settings->request_capacity,
        .key_window_us = settings->key_window_ms * MICROSECONDS_PER_MILLISECOND,
        .key_limit = (uint32_t)settings->key_limit,
        .pause_us = PAUSE_THRESHOLD_US,
    };
    traffic->settings = settings;
    traffic->incarnation = shell->incarnation;
    traffic->loop = loop_create();
    traffic->executor = executor_create(&executor_settings, node_id(shell->node),
                                        shell->incarnation, clock_monotonic_us(), &driver);
    if (settings->service_name)
        executor_set_service(traffic->executor, settings->service_name);
    traffic->listener = link_listener_open(shell->zmq, LINK_TRAFFIC, settings->address,
                                           (uint16_t)settings->traffic_port, &shell->keys,
                                           traffic->loop, on_socket_readable, traffic);
    if (!traffic->listener) {
        executor_destroy(traffic->executor);
        loop_destroy(traffic->loop);
        free(traffic);
        return NULL;
    }
    loop_set_tick(traffic->loop, TICK_INTERVAL_US, on_tick, traffic);
    pthread_create(&traffic->thread, NULL, run_thread, traffic);
    return traffic;
}

void agent_traffic_stop(struct agent_traffic *traffic, uint32_t linger_ms)
{
    if (!traffic)
        return;
    loop_stop(traffic->loop);
    pthread_join(traffic->thread, NULL);
    loop_run_posted(traffic->loop);
    executor_destroy(traffic->executor);
    link_listener_close(traffic->listener, linger_ms);
    loop_destroy(traffic->loop);
    while (traffic->runs)
        free_engine_run(traffic, traffic->runs);
    free(traffic);
}

/* ---- changes posted by the control thread ---- */

/* One of `config`, `ready` and `draining` is set. */
struct posted_change {
    struct agent_traffic *traffic;
    struct fleet_config config; /* services and tenants only; owned */
    struct ready_model ready[NODE_MAX_READY_MODELS];
    uint32_t ready_count;
    bool draining;
};

static void apply_config(void *argument)
{
    struct posted_change *change = argument;
    executor_set_config(change->traffic->executor, clock_monotonic_us(), &change->config);
    fleet_config_clear(&change->config);
    free(change);
}

void agent_traffic_set_config(struct agent_traffic *traffic, const struct fleet_config *config)
{
    struct posted_change *change = memory_calloc(1, sizeof *change);
    struct fleet_config *copy = &change->config;
    change->traffic = traffic;
    copy->revision = config->revision;
    copy->service_count = config->service_count;
    copy->services =
        memory_duplicate(config->services, config->service_count * sizeof *config->services);
    for (uint32_t i = 0; i < copy->service_count; i++)
        copy->services[i].machines = memory_duplicate(
            config->services[i].machines, config->services[i].machine_count * sizeof(uint64_t));
    copy->tenant_count = config->tenant_count;
    copy->tenants =
        memory_duplicate(config->tenants, config->tenant_count * sizeof *config->tenants);
    loop_post(traffic->loop, apply_config, change);
}

static void apply_ready(void *argument)
{
    struct posted_change *change = argument;
    executor_set_ready(change->traffic->executor, change->ready, change->ready_count);
    free(change);
}

void agent_traffic_set_ready(struct agent_traffic *traffic, const struct ready_model *models,
                             uint32_t count)
{
    struct posted_change *change = memory_calloc(1, sizeof *change);
    change->traffic = traffic;
    memcpy(change->ready, models, count * sizeof *models);
    change->ready_count = count;
    loop_post(traffic->loop, apply_ready, change);
}

struct key_change {
    struct agent_traffic *traffic;
    struct key_ring keys;
};

static void apply_keys(void *argument)
{
    struct key_change *change = argument;
    link_listener_set_keys(change->traffic->listener, &change->keys);
    free(change);
}

void agent_traffic_set_keys(struct agent_traffic *traffic, const struct key_ring *keys)
{
    struct key_change *change = memory_calloc(1, sizeof *change);
    *change = (struct key_change){traffic, *keys};
    loop_post(traffic->loop, apply_keys, change);
}

static void apply_draining(void *argument)
{
    struct posted_change *change = argument;
    executor_set_draining(change->traffic->executor, change->draining);
    free(change);
}

void agent_traffic_set_draining(struct agent_traffic *traffic, bool draining)
{
    struct posted_change *change = memory_calloc(1, sizeof *change);
    change->traffic = traffic;
    change->draining = draining;
    loop_post(traffic->loop, apply_draining, change);
}

static void end_runs(void *argument)
{
    struct agent_traffic *traffic = argument;
    executor_end_runs(traffic->executor, clock_monotonic_us(), "this machine stops");
}

void agent_traffic_end_runs(struct agent_traffic *traffic)
{
    loop_post(traffic->loop, end_runs, traffic);
}

struct agent_traffic_state agent_traffic_state(const struct agent_traffic *traffic)
{
    return (struct agent_traffic_state){
        .active = ck_pr_load_32(&traffic->state.active),
        .unsent = ck_pr_load_32(&traffic->state.unsent),
        .pause_epoch = ck_pr_load_64(&traffic->state.pause_epoch),
        .ticket_epoch = ck_pr_load_64(&traffic->state.ticket_epoch),
    };
}

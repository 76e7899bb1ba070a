#include "gateway/gateway_traffic.h"

#include "base/clock.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "net/http_server.h"
#include "net/links.h"
#include "net/status_page.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_US (50 * MICROSECONDS_PER_MILLISECOND)
#define METRICS_INTERVAL_US (500 * MICROSECONDS_PER_MILLISECOND)
#define STALL_TIMEOUT_US (5 * MICROSECONDS_PER_SECOND)

/* A request of a caller; freed once its exchange is closed. */
struct call {
    uint64_t number; /* id in the router */
    struct http_exchange *exchange;
    bool started;       /* the first answer arrived */
    bool is_model_call; /* the response is a stream of JSON lines with an end line */
    bool ended;         /* the router has reported the final result */
    bool closed;        /* the client has disconnected or the stream was aborted */
    struct call *next;
};

struct gateway_traffic {
    const struct settings *settings;
    struct loop *loop;
    struct links *links;
    struct router *router;
    struct routing_view *view;
    struct call *calls; /* linked list */
    uint64_t next_call_number;
    struct router_counters published_counters; /* as last added to the metrics */
    struct status_page *page;
    uint64_t next_metrics_us;
    uint32_t active_calls; /* atomic; from gateway_traffic_submit() to the end of the call */
    pthread_t thread;
};

static struct call *find_call(struct gateway_traffic *traffic, uint64_t number)
{
    for (struct call *call = traffic->calls; call; call = call->next)
        if (call->number == number)
            return call;
    return NULL;
}

static void remove_call(struct gateway_traffic *traffic, struct call *call)
{
    struct call **link = &traffic->calls;
    while (*link != call)
        link = &(*link)->next;
    *link = call->next;
    http_exchange_release(call->exchange);
    free(call);
    ck_pr_dec_32(&traffic->active_calls);
}

/* ---- router driver, see core/routing/router.h ---- */

static enum router_send_result send_forward_message(void *context, const struct machine *agent,
                                                    Shuntrun__Forward *message)
{
    struct gateway_traffic *traffic = context;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_FORWARD;
    envelope.forward = message;
    return links_send(traffic->links, agent, &envelope) == STATUS_OK ? ROUTER_SENT
                                                                     : ROUTER_NOT_SENT;
}

static void send_cancel_message(void *context, const struct machine *agent,
                                Shuntrun__Cancel *message)
{
    struct gateway_traffic *traffic = context;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_CANCEL;
    envelope.cancel = message;
    links_send(traffic->links, agent, &envelope);
}

static void write_response(struct gateway_traffic *traffic, struct call *call, const void *text,
                           size_t size)
{
    size_t limit = traffic->settings->caller_buffer_kb * 1024;
    if (call->closed || http_stream_data(call->exchange, text, size, limit))
        return;
    /* The client has disconnected or reads too slowly: abort, so that the caller of this function
     * can cancel the run. */
    call->closed = true;
    http_stream_abort(call->exchange);
}

static void on_started(void *context, uint64_t number, const struct ready_model *model)
{
    struct gateway_traffic *traffic = context;
    struct call *call = find_call(traffic, number);
    char line[512];
    if (!call || call->closed)
        return;
    call->started = true;
    call->is_model_call = model->digest[0] != 0;
    const struct http_reply_header headers[] = {
        {call->is_model_call ? "X-Model-Version" : "X-Outcome",
         call->is_model_call ? model->version : "done"},
        {NULL, NULL}};
    if (!call->is_model_call)
        return; /* the headers of a plain response contain the outcome, which is known at its end */
    http_stream_begin(call->exchange, 200, "application/x-ndjson", headers);
    int size =
        snprintf(line, sizeof line, "{\"model\":\"%s\",\"version\":\"%s\",\"digest\":\"%s\"}\n",
                 model->model, model->version, model->digest);
    write_response(traffic, call, line, (size_t)size);
}

static void on_data(void *context, uint64_t number, uint64_t offset, uint32_t count,
                    const uint8_t *bytes, size_t size)
{
    struct gateway_traffic *traffic = context;
    struct call *call = find_call(traffic, number);
    if (!call || call->closed)
        return;
    write_response(traffic, call, bytes, size);
    if (call->closed)
        router_abandon(traffic->router, clock_monotonic_us(), number);
}

/* Writes the last line of a model response. */
static void write_end_line(struct gateway_traffic *traffic, struct call *call, uint64_t tokens,
                           const struct router_result *result)
{
    json_t *line =
        json_pack("{s:s, s:s, s:I, s:b}", "end", result->outcome == OUTCOME_DONE ? "done" : "error",
                  "outcome", outcome_name(result->outcome), "tokens", (json_int_t)tokens,
                  "replayed", result->replayed);
    if (result->outcome != OUTCOME_DONE)
        json_object_set_new(line, "reason", json_string(result->reason));
    char *text = json_dumps(line, JSON_COMPACT);
    size_t size = strlen(text);
    text[size] = '\n'; /* replaces the terminating zero */
    write_response(traffic, call, text, size + 1);
    free(text);
    json_decref(line);
}

/* Starts a response whose outcome is known. */
static void start_final_response(struct call *call, const struct router_result *result,
                                 const char *content_type)
{
    char retry_after[32];
    struct http_reply_header headers[4] = {{"X-Outcome", outcome_name(result->outcome)}};
    uint32_t count = 1;
    if (result->retry_after_ms) {
        snprintf(retry_after, sizeof retry_after, "%u", (result->retry_after_ms + 999) / 1000);
        headers[count++] = (struct http_reply_header){"Retry-After", retry_after};
    }
    if (result->replayed)
        headers[count++] = (struct http_reply_header){"X-Replayed", "true"};
    headers[count] = (struct http_reply_header){NULL, NULL};
    http_stream_begin(call->exchange, result->http_status, content_type, headers);
}

static void write_error(struct gateway_traffic *traffic, struct call *call,
                        const struct router_result *result)
{
    json_t *body = json_pack("{s:s, s:s, s:i}", "outcome", outcome_name(result->outcome), "error",
                             result->reason, "retry_after_ms", result->retry_after_ms);
    char *text = json_dumps(body, JSON_COMPACT);
    start_final_response(call, result, "application/json");
    write_response(traffic, call, text, strlen(text));
    free(text);
    json_decref(body);
}

static void on_end(void *context, uint64_t number, uint64_t tokens,
                   const struct router_result *result)
{
    struct gateway_traffic *traffic = context;
    struct call *call = find_call(traffic, number);
    if (!call)
        return;
    call->ended = true;
    if (call->closed)
        return;
    if (call->is_model_call)
        write_end_line(traffic, call, tokens, result);
    else if (result->outcome == OUTCOME_DONE)
        start_final_response(call, result, "application/json");
    else
        write_error(traffic, call, result);
    http_stream_end(call->exchange);
}

/* ---- events posted by other threads ---- */

/* A new request, or the end of an exchange, which has no `request`. */
struct exchange_event {
    struct gateway_traffic *traffic;
    struct http_exchange *exchange;
    struct router_request request; /* strings and body are owned */
};

static void submit_call(void *argument)
{
    struct exchange_event *event = argument;
    struct gateway_traffic *traffic = event->traffic;
    struct call *call = memory_calloc(1, sizeof *call);
    call->number = traffic->next_call_number++;
    call->exchange = event->exchange;
    call->next = traffic->calls;
    traffic->calls = call;
    http_exchange_set_tag(call->exchange, call->number);
    router_submit(traffic->router, clock_monotonic_us(), call->number, &event->request);
    free((char *)event->request.service);
    free((char *)event->request.tenant);
    free((char *)event->request.key);
    free((void *)event->request.body);
    free(event);
}

void gateway_traffic_submit(struct gateway_traffic *traffic, struct http_exchange *exchange,
                            const struct router_request *request)
{
    struct exchange_event *event = memory_calloc(1, sizeof *event);
    event->traffic = traffic;
    event->exchange = exchange;
    event->request = *request;
    event->request.service = memory_strdup(request->service);
    event->request.tenant = memory_strdup(request->tenant);
    event->request.key = memory_strdup(request->key);
    event->request.body = memory_duplicate(request->body, request->body_size);
    ck_pr_inc_32(&traffic->active_calls);
    loop_post(traffic->loop, submit_call, event);
}

static void close_call(void *argument)
{
    struct exchange_event *event = argument;
    struct gateway_traffic *traffic = event->traffic;
    struct call *call = find_call(traffic, http_exchange_tag(event->exchange));
    free(event);
    if (!call)
        return;
    call->closed = true;
    if (!call->ended)
        router_abandon(traffic->router, clock_monotonic_us(), call->number);
    remove_call(traffic, call);
}

void gateway_traffic_on_closed(struct gateway_traffic *traffic, struct http_exchange *exchange)
{
    struct exchange_event *event = memory_calloc(1, sizeof *event);
    event->traffic = traffic;
    event->exchange = exchange;
    loop_post(traffic->loop, close_call, event);
}

struct view_change {
    struct gateway_traffic *traffic;
    struct routing_view *view;
};

static void apply_view(void *argument)
{
    struct view_change *change = argument;
    struct gateway_traffic *traffic = change->traffic;
    struct routing_view *old = traffic->view;
    uint64_t *ids = memory_calloc(change->view->agent_count, sizeof *ids);
    traffic->view = change->view;
    for (uint32_t i = 0; i < change->view->agent_count; i++) {
        ids[i] = change->view->agents[i].id;
        links_connect(traffic->links, &change->view->agents[i].machine);
    }
    links_close_unlisted(traffic->links, ids, change->view->agent_count);
    router_set_view(traffic->router, clock_monotonic_us(), change->view);
    routing_view_destroy(old);
    free(ids);
    free(change);
}

void gateway_traffic_set_view(struct gateway_traffic *traffic, struct routing_view *view)
{
    struct view_change *change = memory_calloc(1, sizeof *change);
    *change = (struct view_change){traffic, view};
    loop_post(traffic->loop, apply_view, change);
}

struct key_change {
    struct gateway_traffic *traffic;
    struct key_ring keys;
};

static void apply_keys(void *argument)
{
    struct key_change *change = argument;
    links_set_keys(change->traffic->links, &change->keys);
    free(change);
}

void gateway_traffic_set_keys(struct gateway_traffic *traffic, const struct key_ring *keys)
{
    struct key_change *change = memory_calloc(1, sizeof *change);
    *change = (struct key_change){traffic, *keys};
    loop_post(traffic->loop, apply_keys, change);
}

static void end_calls(void *argument)
{
    struct gateway_traffic *traffic = argument;
    router_end_all(traffic->router, "this gateway stops");
}

void gateway_traffic_end_calls(struct gateway_traffic *traffic)
{
    loop_post(traffic->loop, end_calls, traffic);
}

uint32_t gateway_traffic_active_calls(const struct gateway_traffic *traffic)
{
    return ck_pr_load_32(&traffic->active_calls);
}

/* ---- thread ---- */

static void on_envelope(void *context, uint64_t peer, const Shuntrun__Envelope *message)
{
    struct gateway_traffic *traffic = context;
    if (message->body_case == SHUNTRUN__ENVELOPE__BODY_ANSWER)
        router_on_answer(traffic->router, clock_monotonic_us(), peer, message->answer);
}

static void publish_counters(struct gateway_traffic *traffic)
{
    const struct router_counters *current = router_counters(traffic->router);
    const struct router_counters *previous = &traffic->published_counters;
    metric_add(METRIC_REQUESTS_DONE, current->done - previous->done);
    metric_add(METRIC_REQUESTS_NOT_RUN, current->not_run - previous->not_run);
    metric_add(METRIC_REQUESTS_UNKNOWN, current->unknown - previous->unknown);
    metric_add(METRIC_REQUESTS_SHED, current->shed - previous->shed);
    metric_add(METRIC_RETRIES, current->retries - previous->retries);
    metric_add(METRIC_RESUMES, current->resumes - previous->resumes);
    metric_add(METRIC_TOKENS, current->tokens - previous->tokens);
    metric_add(METRIC_ANSWERS_DROPPED, current->dropped_answers - previous->dropped_answers);
    metric_add(METRIC_KEYS_REPLAYED, current->replayed - previous->replayed);
    traffic->published_counters = *current;
    metric_gauge_set(METRIC_ACTIVE_REQUESTS, router_active(traffic->router));
}

static void on_tick(void *context)
{
    struct gateway_traffic *traffic = context;
    uint64_t now = clock_monotonic_us();
    router_on_tick(traffic->router, now);
    publish_counters(traffic);
    if (now >= traffic->next_metrics_us) {
        traffic->next_metrics_us = now + METRICS_INTERVAL_US;
        status_page_set_extra_metrics(
            traffic->page, service_counts_format(router_service_counts(traffic->router)));
    }
}

static void *run_thread(void *context)
{
    struct gateway_traffic *traffic = context;
    loop_run(traffic->loop);
    return NULL;
}

struct gateway_traffic *gateway_traffic_start(const struct settings *settings,
                                              const struct node_shell *shell,
                                              struct status_page *page)
{
    struct gateway_traffic *traffic = memory_calloc(1, sizeof *traffic);
    struct router_driver driver = {
        traffic, send_forward_message, send_cancel_message, on_started, on_data, on_end};
    struct router_settings router_settings = {
        .request_limit = (uint32_t)settings->tenant_queue_limit,
        .retry_percent = (uint32_t)settings->retry_budget_percent,
        .stall_us = STALL_TIMEOUT_US,
    };
    traffic->settings = settings;
    traffic->page = page;
    traffic->next_call_number = 1;
    traffic->loop = loop_create();
    traffic->links =
        links_create(shell->zmq, LINK_TRAFFIC, &shell->keys, traffic->loop, on_envelope, traffic);
    traffic->router =
        router_create(&router_settings, shell->incarnation, shell->incarnation, &driver);
    loop_set_tick(traffic->loop, TICK_INTERVAL_US, on_tick, traffic);
    pthread_create(&traffic->thread, NULL, run_thread, traffic);
    return traffic;
}

void gateway_traffic_stop(struct gateway_traffic *traffic)
{
    if (!traffic)
        return;
    loop_stop(traffic->loop);
    pthread_join(traffic->thread, NULL);
    loop_run_posted(traffic->loop);
    router_destroy(traffic->router);
    while (traffic->calls) {
        http_stream_abort(traffic->calls->exchange);
        remove_call(traffic, traffic->calls);
    }
    links_destroy(traffic->links);
    loop_destroy(traffic->loop);
    routing_view_destroy(traffic->view);
    free(traffic);
}

/**
 * Stand-in for a plain service whose calls are not idempotent, such as seat reservations.
 *
 * POST /v1/call      executes the call: counts it by X-Request-Key and by the `id` of its body, and
 *                    answers after --work-ms
 * GET  /admin/runs   {"total", "fenced", "keys": {key: runs}, "bodies": {id: runs}}
 *
 * With --checks-fences 1 it refuses a call whose X-Fence has an older incarnation than one before.
 */
#include "standin/standin.h"

#include <stdio.h>
#include <string.h>

struct service {
    pthread_mutex_t lock;
    json_t *runs_by_key;
    json_t *runs_by_body;
    uint64_t total;
    uint64_t fenced;
    uint64_t work_ms;
    uint64_t checks_fences;
    unsigned long long newest_incarnation;
};

static void count_run(json_t *counts, const char *name)
{
    json_int_t runs = json_integer_value(json_object_get(counts, name));
    json_object_set_new(counts, name, json_integer(runs + 1));
}

/* Records the incarnation unless it is older. Lock held. */
static bool fence_is_stale(struct service *service, const struct standin_request *request)
{
    unsigned long long revision = 0;
    unsigned long long incarnation = 0;
    const char *fence = standin_header(request, "X-Fence");
    if (fence)
        sscanf(fence, "%llu.%llu", &revision, &incarnation);
    if (incarnation < service->newest_incarnation)
        return service->checks_fences != 0;
    service->newest_incarnation = incarnation;
    return false;
}

static bool run_call(struct service *service, const struct standin_request *request,
                     const json_t *body, uint64_t *number)
{
    const char *key = standin_header(request, "X-Request-Key");
    const char *id = json_string_value(json_object_get(body, "id"));
    pthread_mutex_lock(&service->lock);
    bool old = fence_is_stale(service, request);
    service->fenced += old;
    if (!old) {
        *number = ++service->total;
        if (key)
            count_run(service->runs_by_key, key);
        if (id)
            count_run(service->runs_by_body, id);
    }
    pthread_mutex_unlock(&service->lock);
    return !old;
}

static void handle_call(struct service *service, const struct standin_request *request,
                        struct standin_reply *reply)
{
    json_t *body = json_loadb(request->body, request->size, 0, NULL);
    const char *id = json_string_value(json_object_get(body, "id"));
    uint64_t number = 0;
    if (run_call(service, request, body, &number)) {
        standin_sleep_us(service->work_ms * 1000);
        standin_reply_json(
            reply, 200, json_pack("{s:I, s:s}", "number", (json_int_t)number, "id", id ? id : ""));
    } else {
        standin_reply_json(reply, 409, json_pack("{s:s}", "error", "the fence is old"));
        reply->headers[0][0] = "X-Note";
        reply->headers[0][1] = "not-run";
    }
    if (standin_fault() == FAULT_CRASH)
        reply->status = 0;
    json_decref(body);
}

static void reply_runs(struct service *service, struct standin_reply *reply)
{
    pthread_mutex_lock(&service->lock);
    json_t *runs = json_pack("{s:I, s:I, s:O, s:O}", "total", (json_int_t)service->total, "fenced",
                             (json_int_t)service->fenced, "keys", service->runs_by_key, "bodies",
                             service->runs_by_body);
    standin_reply_json(reply, 200, runs);
    pthread_mutex_unlock(&service->lock);
}

static void handle(void *context, const struct standin_request *request,
                   struct standin_reply *reply)
{
    struct service *service = context;
    if (standin_matches(request, "GET", "/admin/runs"))
        reply_runs(service, reply);
    else if (standin_apply_fault(reply))
        return;
    else if (standin_matches(request, "POST", "/v1/call"))
        handle_call(service, request, reply);
    else
        standin_reply_json(reply, 404, json_pack("{s:s}", "error", "no such page"));
}

int service_main(int argc, char **argv)
{
    struct service service = {.lock = PTHREAD_MUTEX_INITIALIZER, .work_ms = 5, .checks_fences = 1};
    const struct standin_option extra[] = {
        {"work-ms", &service.work_ms, "duration of a call"},
        {"checks-fences", &service.checks_fences, "1: refuse calls with a stale fence"},
        {NULL, NULL, NULL}};
    struct standin_options options;
    standin_parse_options(argc, argv, "Stand-in for a plain service.", &options, extra);
    service.runs_by_key = json_object();
    service.runs_by_body = json_object();
    return standin_serve(&options, handle, &service);
}

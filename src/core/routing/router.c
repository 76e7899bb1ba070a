#include "core/routing/router.h"

#include "base/memory.h"
#include "core/routing/router_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_REQUEST_ATTEMPTS 6
#define OVERLOAD_RETRY_AFTER_MS 500  /* if the tenant limit or the retry budget is exhausted */
#define NO_AGENT_RETRY_AFTER_MS 1000 /* if no agent or no configuration is available */
/* Priorities that a caller may set: 0 to 9. The precedence of the tenant ranks above them. */
#define CALLER_PRIORITY_LEVELS 10

struct router *router_create(const struct router_settings *settings, uint64_t incarnation,
                             uint64_t seed, const struct router_driver *driver)
{
    struct router *router = memory_calloc(1, sizeof *router);
    router->settings = *settings;
    router->driver = *driver;
    router->incarnation = incarnation;
    router->next_sequence = 1;
    router->balance.random.seed = seed;
    if (!router->settings.balance)
        router->settings.balance = balance_two_choices;
    retry_budget_init(&router->budget, settings->retry_percent);
    return router;
}

static void free_request(struct request *request)
{
    free(request->key);
    free(request->body);
    free(request);
}

void router_destroy(struct router *router)
{
    if (!router)
        return;
    for (uint32_t i = 0; i < router->request_count; i++)
        free_request(router->requests[i]);
    admission_clear(&router->admission);
    free(router->requests);
    free(router->records);
    free(router);
}

uint32_t router_active(const struct router *router)
{
    return router->request_count;
}

const struct router_counters *router_counters(const struct router *router)
{
    return &router->counters;
}

const struct service_counts *router_service_counts(const struct router *router)
{
    return &router->services;
}

/* ---- requests ---- */

static void add_request(struct router *router, struct request *request)
{
    if (router->request_count == router->request_capacity) {
        router->request_capacity = router->request_capacity ? 2 * router->request_capacity : 64;
        router->requests =
            memory_realloc(router->requests, router->request_capacity * sizeof *router->requests);
    }
    router->requests[router->request_count++] = request;
}

static void remove_request(struct router *router, struct request *request)
{
    for (uint32_t i = 0; i < router->request_count; i++) {
        if (router->requests[i] != request)
            continue;
        router->requests[i] = router->requests[--router->request_count];
        break;
    }
    if (request->tenant != ADMISSION_UNKNOWN_TENANT)
        admission_leave(&router->admission, request->tenant);
    free_request(request);
}

static struct request *find_request_by_sequence(struct router *router, uint64_t sequence)
{
    for (uint32_t i = 0; i < router->request_count; i++)
        if (router->requests[i]->sequence == sequence)
            return router->requests[i];
    return NULL;
}

static void count_result(struct router *router, const char *service, const char *tenant,
                         const struct router_result *result)
{
    service_counts_row(&router->services, service, tenant)->outcomes[result->outcome]++;
    if (result->outcome == OUTCOME_DONE)
        router->counters.done++;
    else if (result->outcome == OUTCOME_NOT_RUN)
        router->counters.not_run++;
    else
        router->counters.unknown++;
    router->counters.replayed += result->replayed;
}

/* Stop tracking the attempt; it may still be running on the agent. */
static void end_attempt(struct router *router, struct request *request)
{
    if (!request->sequence)
        return;
    struct agent_record *record = router_get_agent_record(router, request->agent);
    assert(record->in_flight);
    record->in_flight--;
    request->sequence = 0;
}

static void finish_request(struct router *router, struct request *request,
                           const struct router_result *result)
{
    end_attempt(router, request);
    count_result(router, request->service, request->tenant_name, result);
    router->driver.end(router->driver.context, request->caller, request->next_offset, result);
    remove_request(router, request);
}

static void cancel_attempt(struct router *router, const struct request *request)
{
    int64_t index = router->view ? routing_view_find_agent(router->view, request->agent) : -1;
    if (!request->sequence || index < 0)
        return;
    Shuntrun__Cancel cancel = SHUNTRUN__CANCEL__INIT;
    cancel.gateway_incarnation = router->incarnation;
    cancel.sequence = request->sequence;
    router->driver.cancel(router->driver.context, &router->view->agents[index].machine, &cancel);
}

/* ---- attempts ---- */

static enum router_send_result send_forward(struct router *router, uint64_t now,
                                            const struct request *request,
                                            const struct route_agent *agent)
{
    Shuntrun__Forward forward = SHUNTRUN__FORWARD__INIT;
    forward.gateway_incarnation = router->incarnation;
    forward.sequence = request->sequence;
    forward.agent_incarnation = agent->status.incarnation;
    forward.pause_epoch = agent->status.pause_epoch;
    forward.service = (char *)request->service;
    forward.version_digest = (char *)request->digest;
    forward.tenant = (char *)request->tenant_name;
    forward.priority = request->priority + CALLER_PRIORITY_LEVELS * request->precedence;
    forward.remaining_us = request->deadline - now;
    forward.idempotency_key = request->key;
    forward.unrepeatable = request->unrepeatable;
    forward.resume_offset = request->next_offset;
    forward.body = (ProtobufCBinaryData){request->body_size, request->body};
    return router->driver.forward(router->driver.context, &agent->machine, &forward);
}

static void exclude_agent(struct request *request, uint64_t agent)
{
    if (request->excluded_count < MAX_EXCLUDED_AGENTS)
        request->excluded[request->excluded_count++] = agent;
}

static void fail_request(struct router *router, struct request *request, const char *reason,
                         uint32_t retry_after_ms)
{
    struct router_result result = {
        .outcome = request->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
        .http_status = request->may_have_run ? 502 : 503,
        .retry_after_ms = retry_after_ms,
        .reason = reason,
    };
    finish_request(router, request, &result);
}

/* Start an attempt; fails the request if no agent is eligible. `reason` and `retry_after_ms` are
 * those of the failed attempt before, "" and 0 for a first attempt. */
static void start_attempt(struct router *router, uint64_t now, struct request *request,
                          const char *reason, uint32_t retry_after_ms)
{
    const struct route_service *service = routing_view_find_service(router->view, request->service);
    while (service && request->attempts < MAX_REQUEST_ATTEMPTS && request->deadline > now) {
        int64_t index = router_choose_agent(router, now, request, service);
        if (index < 0)
            break;
        const struct route_agent *agent = &router->view->agents[index];
        request->attempts++;
        request->sequence = router->next_sequence++;
        request->agent = agent->id;
        request->agent_incarnation = agent->status.incarnation;
        request->last_progress = now;
        router_get_agent_record(router, agent->id)->in_flight++;
        if (send_forward(router, now, request, agent) == ROUTER_SENT)
            return;
        end_attempt(router, request);
        exclude_agent(request, agent->id);
        router_record_failure(router, now, agent->id);
        reason = "no connection to the agent";
    }
    if (!retry_after_ms)
        retry_after_ms = NO_AGENT_RETRY_AFTER_MS;
    fail_request(router, request, reason[0] ? reason : "no replica can take the request now",
                 retry_after_ms);
}

static void retry_request(struct router *router, uint64_t now, struct request *request,
                          const char *reason, uint32_t retry_after_ms)
{
    if (!retry_budget_spend(&router->budget)) {
        fail_request(router, request, reason,
                     retry_after_ms ? retry_after_ms : OVERLOAD_RETRY_AFTER_MS);
        return;
    }
    router->counters.retries++;
    if (request->next_offset)
        router->counters.resumes++;
    start_attempt(router, now, request, reason, retry_after_ms);
}

/* End an attempt that may have run: retry only if the request is repeatable. */
static void fail_attempt(struct router *router, uint64_t now, struct request *request,
                         const char *reason, uint32_t retry_after_ms)
{
    uint64_t agent = request->agent;
    router_record_failure(router, now, agent);
    end_attempt(router, request);
    exclude_agent(request, agent);
    request->may_have_run = true;
    if (request->unrepeatable)
        fail_request(router, request, reason, retry_after_ms);
    else
        retry_request(router, now, request, reason, retry_after_ms);
}

/* ---- submission ---- */

static struct request *create_request(uint64_t now, uint64_t caller, uint32_t tenant,
                                      const struct router_request *from)
{
    struct request *request = memory_calloc(1, sizeof *request);
    request->caller = caller;
    request->tenant = tenant;
    request->arrived = now;
    request->deadline = now + from->timeout_us;
    request->unrepeatable = from->unrepeatable || from->key[0];
    request->priority = from->priority;
    request->key = memory_strdup(from->key);
    request->body = memory_duplicate(from->body, from->body_size);
    request->body_size = from->body_size;
    snprintf(request->tenant_name, sizeof request->tenant_name, "%s", from->tenant);
    snprintf(request->service, sizeof request->service, "%s", from->service);
    return request;
}

/* `request` is NULL if its service or tenant is unknown: then the rejection is not counted under
 * their names, as callers could create any number of rows. */
static void reject_request(struct router *router, uint64_t caller,
                           const struct router_request *request, unsigned http_status,
                           const char *reason, uint32_t retry_after_ms)
{
    struct router_result result = {OUTCOME_NOT_RUN, http_status, retry_after_ms, reason, false};
    if (request)
        count_result(router, request->service, request->tenant, &result);
    else
        router->counters.not_run++;
    router->driver.end(router->driver.context, caller, 0, &result);
}

static uint32_t tenant_precedence(const struct routing_view *view, const char *tenant)
{
    for (uint32_t i = 0; i < view->tenant_count; i++)
        if (strcmp(view->tenants[i].name, tenant) == 0)
            return view->tenants[i].precedence;
    return 0;
}

void router_submit(struct router *router, uint64_t now, uint64_t caller,
                   const struct router_request *request)
{
    router->counters.submitted++;
    if (!router->view) {
        reject_request(router, caller, NULL, 503, "no configuration is in force yet",
                       NO_AGENT_RETRY_AFTER_MS);
        return;
    }
    if (!routing_view_find_service(router->view, request->service)) {
        reject_request(router, caller, NULL, 404, "unknown service", 0);
        return;
    }
    uint32_t tenant = admission_find(&router->admission, request->tenant);
    if (tenant == ADMISSION_UNKNOWN_TENANT) {
        reject_request(router, caller, NULL, 403, "unknown tenant", 0);
        return;
    }
    if (!admission_enter(&router->admission, tenant)) {
        router->counters.shed++;
        reject_request(router, caller, request, 429, "the tenant has too many requests in progress",
                       OVERLOAD_RETRY_AFTER_MS);
        return;
    }
    retry_budget_earn(&router->budget);
    struct request *entry = create_request(now, caller, tenant, request);
    entry->precedence = tenant_precedence(router->view, request->tenant);
    add_request(router, entry);
    start_attempt(router, now, entry, "", 0);
}

void router_abandon(struct router *router, uint64_t now, uint64_t caller)
{
    for (uint32_t i = 0; i < router->request_count; i++) {
        struct request *request = router->requests[i];
        if (request->caller != caller)
            continue;
        cancel_attempt(router, request);
        end_attempt(router, request);
        router->counters.unknown++;
        remove_request(router, request);
        return;
    }
}

/* ---- answers ---- */

static void report_first_answer(struct router *router, uint64_t now, struct request *request,
                                const Shuntrun__Answer *answer)
{
    if (request->begin_reported)
        return;
    struct service_row *row =
        service_counts_row(&router->services, request->service, request->tenant_name);
    service_row_add_first_token(row, now - request->arrived);
    struct ready_model model;
    snprintf(model.model, sizeof model.model, "%s", answer->model);
    snprintf(model.version, sizeof model.version, "%s", answer->version);
    snprintf(model.digest, sizeof model.digest, "%s", answer->digest);
    strcpy(request->digest, model.digest);
    request->begin_reported = true;
    router->driver.begin(router->driver.context, request->caller, &model);
}

/* A stream must not mix tokens of different model versions. */
static bool version_differs(const struct request *request, const Shuntrun__Answer *answer)
{
    return request->next_offset && strcmp(request->digest, answer->digest) != 0;
}

static void on_tokens(struct router *router, uint64_t now, struct request *request,
                      const Shuntrun__Answer *answer)
{
    if (answer->offset + answer->token_count <= request->next_offset && answer->token_count) {
        router->counters.dropped_answers++; /* duplicate */
        return;
    }
    if (answer->offset != request->next_offset || version_differs(request, answer)) {
        cancel_attempt(router, request);
        fail_attempt(router, now, request, "the stream broke", 0);
        return;
    }
    report_first_answer(router, now, request, answer);
    request->next_offset += answer->token_count;
    router->counters.tokens += answer->token_count;
    router->driver.data(router->driver.context, request->caller, answer->offset,
                        answer->token_count, answer->data.data, answer->data.len);
}

static void on_done(struct router *router, uint64_t now, struct request *request,
                    const Shuntrun__Answer *answer)
{
    bool stream = answer->digest[0] != 0;
    if (stream && (answer->offset != request->next_offset || version_differs(request, answer))) {
        cancel_attempt(router, request);
        fail_attempt(router, now, request, "the stream ended early", 0);
        return;
    }
    router_record_success(router, request->agent);
    report_first_answer(router, now, request, answer);
    if (!stream)
        router->driver.data(router->driver.context, request->caller, 0, 0, answer->data.data,
                            answer->data.len);
    struct router_result result = {OUTCOME_DONE, 200, 0, "", answer->replayed};
    finish_request(router, request, &result);
}

static void on_refused(struct router *router, uint64_t now, struct request *request,
                       const Shuntrun__Answer *answer)
{
    uint64_t agent = request->agent;
    end_attempt(router, request);
    exclude_agent(request, agent);
    retry_request(router, now, request, answer->reason, answer->retry_after_ms);
}

void router_on_answer(struct router *router, uint64_t now, uint64_t agent,
                      const Shuntrun__Answer *answer)
{
    struct request *request =
        answer->sequence ? find_request_by_sequence(router, answer->sequence) : NULL;
    if (answer->gateway_incarnation != router->incarnation || !request || request->agent != agent) {
        router->counters.dropped_answers++;
        return;
    }
    if (answer->kind == SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS && request->next_offset)
        router_record_token_time(router, agent, now - request->last_progress, answer->token_count);
    request->last_progress = now;
    switch (answer->kind) {
    case SHUNTRUN__ANSWER_KIND__ANSWER_STARTED:
        request->may_have_run = true;
        break;
    case SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS:
        on_tokens(router, now, request, answer);
        break;
    case SHUNTRUN__ANSWER_KIND__ANSWER_DONE:
        on_done(router, now, request, answer);
        break;
    case SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED:
        on_refused(router, now, request, answer);
        break;
    default:
        fail_attempt(router, now, request, answer->reason, answer->retry_after_ms);
        break;
    }
}

/* ---- timeouts and routing views ---- */

static bool agent_restarted(const struct router *router, const struct request *request)
{
    int64_t index = routing_view_find_agent(router->view, request->agent);
    if (index < 0)
        return false;
    return router->view->agents[index].status.incarnation > request->agent_incarnation;
}

/* Ends a request while its attempt may be running. */
static void give_up_request(struct router *router, struct request *request, const char *reason)
{
    cancel_attempt(router, request);
    request->may_have_run = true;
    fail_request(router, request, reason, 0);
}

void router_end_all(struct router *router, const char *reason)
{
    while (router->request_count)
        give_up_request(router, router->requests[0], reason);
}

static void check_request_timeouts(struct router *router, uint64_t now, struct request *request)
{
    if (!request->sequence)
        return;
    if (now >= request->deadline) {
        give_up_request(router, request, "deadline");
    } else if (router->view && agent_restarted(router, request)) {
        fail_attempt(router, now, request, "the agent restarted", 0);
    } else if (now - request->last_progress >= router->settings.stall_us) {
        cancel_attempt(router, request);
        fail_attempt(router, now, request, "the agent stalled", 0);
    }
}

void router_on_tick(struct router *router, uint64_t now)
{
    /* Backwards, as removing a request moves the last one to its index. */
    for (uint32_t i = router->request_count; i-- > 0;)
        if (i < router->request_count)
            check_request_timeouts(router, now, router->requests[i]);
}

void router_set_view(struct router *router, uint64_t now, const struct routing_view *view)
{
    bool reconfigure = !router->view || router->view->revision != view->revision;
    router->view = view;
    if (reconfigure) {
        admission_configure(&router->admission, router->settings.request_limit, view->tenants,
                            view->tenant_count);
        for (uint32_t i = 0; i < router->request_count; i++) {
            struct request *request = router->requests[i];
            request->tenant = admission_find(&router->admission, request->tenant_name);
        }
    }
    router_on_tick(router, now);
}

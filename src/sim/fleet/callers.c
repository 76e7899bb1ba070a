/**
 * Simulated callers: they look up gateway addresses, cache them for max-age, send requests, check
 * every byte of the answers, and retry with the same key where a retry is safe.
 */
#include "base/memory.h"
#include "core/endpoints.h"
#include "sim/fleet/world.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define MAX_AGE_US (1 * SECOND)
#define TIMEOUT_US (4 * SECOND)
#define CALLER_TIMEOUT_US (6 * SECOND)
#define MAX_TRIES 4
#define MAX_CONNECTS 8
#define PLAIN_SHARE 0.4
#define KEY_SHARE 0.7 /* of plain requests; the others have no key and are never retried */

const char *version_digest(uint32_t version, char hex[DIGEST_HEX_SIZE])
{
    struct digest digest = digest_of(&version, sizeof version);
    digest_to_hex(&digest, hex);
    return hex;
}

/* ---- addresses ---- */

/* Applies what /v1/endpoints of one gateway answers for the plain service. */
static void apply_endpoints(struct world *world, struct caller_group *group,
                            struct process *gateway)
{
    uint32_t machines[ENDPOINTS_MAX];
    uint32_t count = endpoints_list(gateway->node, gateway->stop_began != 0, world->now, machines);
    const struct fleet *fleet = node_fleet(gateway->node);
    if (!count)
        return;
    group->gateway_count = 0;
    for (uint32_t i = 0; i < count && i < 16; i++)
        group->gateways[group->gateway_count++] =
            world_find(world, fleet->machines[machines[i]].id)->index;
    const struct route_service *service =
        gateway->view ? routing_view_find_service(gateway->view, "seats") : NULL;
    if (service)
        routing_view_format_ticket(gateway->view, service, group->ticket);
    group->valid_until = world->now + MAX_AGE_US;
}

static void refresh_endpoints(struct world *world, uint32_t number)
{
    struct caller_group *group = &world->groups[number];
    uint32_t machine = (uint32_t)random_below(&world->callers, world->options.gateways);
    struct process *gateway = world_current_process(world, machine);
    if (gateway && world->now >= gateway->paused_until && gateway->view)
        apply_endpoints(world, group, gateway);
    uint64_t wait = world->now < group->valid_until ? MAX_AGE_US * 9 / 10 : 100 * MILLISECOND;
    if (world->now < world->arrivals_end + CALLER_TIMEOUT_US)
        world_push(world, wait, WORLD_ENDPOINTS, 0, 0, number, NULL);
}

/* ---- attempts ---- */

static void submit_attempt(struct world *world, uint32_t number)
{
    struct call *call = &world->calls[number];
    struct caller_group *group = &world->groups[number % CALLER_GROUPS];
    call->attempt = checker_add_attempt(&world->checker, call->request);
    call->state = CALL_WAITING;
    call->tokens = 0;
    call->begun = false;
    call->version = 0;
    world->result.submitted++;
    for (uint32_t i = 0; i < MAX_CONNECTS && group->gateway_count; i++) {
        uint32_t machine = group->gateways[random_below(&world->callers, group->gateway_count)];
        struct process *gateway = world_current_process(world, machine);
        if (!gateway)
            continue; /* connection refused: nothing was sent */
        call->gateway = gateway->index;
        world_push(world, world->options.client_delay_us, WORLD_SUBMIT, gateway->index, 0, number,
                   NULL);
        world_push(world, CALLER_TIMEOUT_US, WORLD_CALLER_TIMEOUT, (uint32_t)call->attempt, 0,
                   number, NULL);
        return;
    }
    call->state = CALL_OVER;
    world->result.not_run++;
}

static void make_key(struct world *world, struct call *call, uint32_t number)
{
    const struct caller_group *group = &world->groups[number % CALLER_GROUPS];
    snprintf(call->key, sizeof call->key, "%s%ckey-%u", group->ticket, TICKET_SEPARATOR, number);
}

static uint32_t pick_tenant(struct world *world)
{
    double large = world->options.large_tenant_share;
    if (large > 0 && random_unit(&world->callers) < large)
        return 0;
    return (uint32_t)random_below(&world->callers, world->options.tenants);
}

static void on_arrival(struct world *world)
{
    if (world->call_count == world->call_capacity) {
        world->call_capacity = world->call_capacity ? 2 * world->call_capacity : 256;
        world->calls = memory_realloc(world->calls, world->call_capacity * sizeof *world->calls);
    }
    uint32_t number = world->call_count++;
    struct call *call = &world->calls[number];
    *call = (struct call){.gateway = NO_PROCESS};
    call->arrived = world->now;
    call->model = random_unit(&world->callers) >= PLAIN_SHARE;
    call->unrepeatable = !call->model;
    call->tenant = pick_tenant(world);
    world->result.requests++;
    world->result.large_requests += call->tenant == 0;
    call->request = checker_add_request(&world->checker, call->unrepeatable);
    if (!call->model && random_unit(&world->callers) < KEY_SHARE)
        make_key(world, call, number);
    submit_attempt(world, number);
    double gap = -log(1 - random_unit(&world->callers)) / world->options.rate;
    if (world->now < world->arrivals_end)
        world_push(world, (uint64_t)(gap * 1e6) + 1, WORLD_ARRIVAL, 0, 0, 0, NULL);
}

/* ---- outcomes ---- */

static void schedule_retry(struct world *world, uint32_t number, uint64_t wait)
{
    struct call *call = &world->calls[number];
    call->state = CALL_IDLE;
    if (++call->attempts_made < MAX_TRIES)
        world_push(world, wait, WORLD_RETRY, 0, 0, number, NULL);
    else
        call->state = CALL_OVER;
}

static void complete_call(struct world *world, struct call *call,
                          const struct response_event *response_event)
{
    call->state = CALL_OVER;
    world->result.done++;
    world->result.large_done += call->tenant == 0;
    world->result.done_in_time += call->model && world->now <= world->arrivals_end;
    if (call->model)
        histogram_add(&world->result.latency, world->now - call->arrived);
    world->result.replayed += response_event->completion.replayed;
    bool whole =
        !call->model || (call->tokens == WORLD_TOKENS && response_event->tokens == WORLD_TOKENS);
    if (!whole)
        checker_violation(&world->checker, world->now, INVARIANT_ANSWER,
                          "attempt %" PRIu64 " was said to be done with %" PRIu64 " of %d tokens",
                          call->attempt, call->tokens, WORLD_TOKENS);
    else
        checker_answered(&world->checker, world->now, call->attempt, call->source);
}

/* In scenarios with operator changes but no failures, no request may be interrupted. */
static bool has_only_planned_changes(const struct world *world)
{
    static const char *const names[] = {"stops", "races", "publish", "steady"};
    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
        if (strcmp(world->options.scenario->name, names[i]) == 0)
            return true;
    return false;
}

static void finish_attempt(struct world *world, uint32_t number,
                           const struct response_event *response_event)
{
    struct call *call = &world->calls[number];
    uint64_t wait = response_event->completion.retry_after_ms * MILLISECOND + 50 * MILLISECOND;
    switch (response_event->completion.outcome) {
    case OUTCOME_DONE:
        complete_call(world, call, response_event);
        break;
    case OUTCOME_NOT_RUN:
        world->result.not_run++;
        checker_reported_not_run(&world->checker, world->now, call->attempt);
        schedule_retry(world, number, wait);
        break;
    case OUTCOME_UNKNOWN:
        world->result.unknown++;
        if (has_only_planned_changes(world))
            checker_violation(&world->checker, world->now, INVARIANT_STOP,
                              "attempt %" PRIu64 " ended as unknown: %s", call->attempt,
                              response_event->completion.reason ? response_event->completion.reason
                                                                : "");
        /* A plain request must not run twice: without a key, a retry is not safe. */
        if (call->model || call->key[0])
            schedule_retry(world, number, wait);
        else
            call->state = CALL_OVER;
        break;
    }
}

static void finish_broken_attempt(struct world *world, uint32_t number)
{
    struct call *call = &world->calls[number];
    world->result.broken++;
    if (has_only_planned_changes(world))
        checker_violation(&world->checker, world->now, INVARIANT_STOP,
                          "attempt %" PRIu64 " was cut off by a planned stop", call->attempt);
    if (call->model || call->key[0])
        schedule_retry(world, number, 50 * MILLISECOND);
    else
        call->state = CALL_OVER;
}

/* ---- answers ---- */

static void on_response_data(struct world *world, struct call *call,
                             const struct response_event *response_event)
{
    const struct answer_piece *bytes = &response_event->bytes;
    call->source = bytes->attempt;
    if (!call->model)
        return;
    bool own = bytes->attempt < world->checker.attempt_count &&
               world->checker.attempts[bytes->attempt].request == call->request;
    bool in_order = bytes->index == call->tokens && response_event->offset == call->tokens;
    bool one_version = !call->version || call->version == bytes->version;
    if (!own || !in_order || !one_version)
        checker_violation(&world->checker, world->now, INVARIANT_ANSWER,
                          "attempt %" PRIu64 " got token %u of attempt %" PRIu64
                          " version %u where token %" PRIu64 " of version %u was due",
                          call->attempt, bytes->index, bytes->attempt, bytes->version, call->tokens,
                          call->version);
    call->version = bytes->version;
    call->tokens += response_event->count;
}

static void on_response_event(struct world *world, const struct event *event)
{
    const struct response_event *response_event = event->payload;
    struct call *call = &world->calls[event->number];
    if (call->state != CALL_WAITING || call->attempt != response_event->attempt)
        return; /* the caller has disconnected */
    switch (response_event->kind) {
    case RESPONSE_BEGIN:
        call->begun = true;
        break;
    case RESPONSE_DATA:
        on_response_data(world, call, response_event);
        break;
    case RESPONSE_END:
        world_trace(world, "end attempt %" PRIu64 " %s%s", response_event->attempt,
                    outcome_name(response_event->completion.outcome),
                    response_event->completion.replayed ? " replayed" : "");
        finish_attempt(world, event->number, response_event);
        break;
    case RESPONSE_CLOSED:
        world_trace(world, "end attempt %" PRIu64 " broken", response_event->attempt);
        finish_broken_attempt(world, event->number);
        break;
    }
}

static uint64_t caller_handle(uint64_t attempt, uint32_t number)
{
    return attempt << CALL_NUMBER_BITS | number;
}

void callers_send_response(struct process *gateway, uint64_t caller,
                           struct response_event *response_event)
{
    struct world *world = gateway->world;
    uint32_t number = caller & ((1U << CALL_NUMBER_BITS) - 1);
    response_event->process = gateway->index;
    world_push(world, world->options.client_delay_us, WORLD_RESPONSE, 0, 0, number, response_event);
}

void callers_close_connections(struct world *world, uint32_t process)
{
    for (uint32_t i = 0; i < world->call_count; i++) {
        const struct call *call = &world->calls[i];
        if (call->state != CALL_WAITING || call->gateway != process)
            continue;
        struct response_event *response_event = memory_calloc(1, sizeof *response_event);
        response_event->kind = RESPONSE_CLOSED;
        response_event->attempt = call->attempt;
        callers_send_response(&world->processes[process], caller_handle(call->attempt, i),
                              response_event);
    }
}

static void on_timeout(struct world *world, const struct event *event)
{
    struct call *call = &world->calls[event->number];
    if (call->state != CALL_WAITING || (uint32_t)call->attempt != event->to)
        return;
    world_push(world, world->options.client_delay_us, WORLD_DISCONNECT, call->gateway, event->to,
               event->number, NULL);
    finish_broken_attempt(world, event->number);
}

/* ---- submissions at the gateway ---- */

static void on_submission(struct world *world, const struct event *event)
{
    struct process *gateway = &world->processes[event->to];
    const struct call *call = &world->calls[event->number];
    char tenant[32];
    if (call->state != CALL_WAITING || call->gateway != event->to)
        return;
    snprintf(tenant, sizeof tenant, "tenant-%u", call->tenant);
    struct router_request request = {
        .service = call->model ? "script" : "seats",
        .tenant = tenant,
        .key = call->key,
        .unrepeatable = call->unrepeatable,
        .timeout_us = TIMEOUT_US,
        .body = &call->attempt,
        .body_size = sizeof call->attempt,
    };
    router_submit(gateway->router, world->now, caller_handle(call->attempt, event->number),
                  &request);
}

static void on_caller_disconnect(struct world *world, const struct event *event)
{
    struct process *gateway = &world->processes[event->to];
    router_abandon(gateway->router, world->now, caller_handle(event->from, event->number));
}

void callers_start(struct world *world)
{
    for (uint32_t i = 0; i < CALLER_GROUPS; i++)
        world_push(world, FIRST_ARRIVAL_US - SECOND, WORLD_ENDPOINTS, 0, 0, i, NULL);
    world_push(world, FIRST_ARRIVAL_US, WORLD_ARRIVAL, 0, 0, 0, NULL);
}

void callers_handle(struct world *world, const struct event *event)
{
    switch (event->type) {
    case WORLD_ARRIVAL:
        on_arrival(world);
        break;
    case WORLD_ENDPOINTS:
        refresh_endpoints(world, event->number);
        break;
    case WORLD_SUBMIT:
        on_submission(world, event);
        break;
    case WORLD_DISCONNECT:
        on_caller_disconnect(world, event);
        break;
    case WORLD_RESPONSE:
        on_response_event(world, event);
        break;
    case WORLD_CALLER_TIMEOUT:
        on_timeout(world, event);
        break;
    case WORLD_RETRY:
        if (world->calls[event->number].state == CALL_IDLE)
            submit_attempt(world, event->number);
        break;
    default:
        break;
    }
}

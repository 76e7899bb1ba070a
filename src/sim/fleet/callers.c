/**
 * Simulated callers: they ask which gateway to use, keep the answer for its max-age, send requests,
 * check every byte of the answers, and ask again under the same key when they may.
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
#define CALLER_PATIENCE_US (6 * SECOND)
#define MAX_TRIES 4
#define MAX_CONNECTS 8
#define PLAIN_SHARE 0.4
#define KEY_SHARE 0.7 /* of plain requests; the others are unrepeatable without a key */

const char *version_digest(uint32_t version, char hex[DIGEST_HEX_SIZE])
{
    struct digest digest = digest_of(&version, sizeof version);
    digest_to_hex(&digest, hex);
    return hex;
}

/* ---- addresses ---- */

/* The answer of one gateway's /v1/endpoints, for the plain service. */
static void take_endpoints(struct world *world, struct caller_group *group, struct process *gateway)
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

static void ask_endpoints(struct world *world, uint32_t number)
{
    struct caller_group *group = &world->groups[number];
    uint32_t machine = (uint32_t)random_below(&world->callers, world->options.gateways);
    struct process *gateway = world_current(world, machine);
    if (gateway && world->now >= gateway->paused_until && gateway->view)
        take_endpoints(world, group, gateway);
    uint64_t wait = world->now < group->valid_until ? MAX_AGE_US * 9 / 10 : 100 * MILLISECOND;
    if (world->now < world->arrivals_end + CALLER_PATIENCE_US)
        world_push(world, wait, WORLD_ENDPOINTS, 0, 0, number, NULL);
}

/* ---- attempts ---- */

static void submit(struct world *world, uint32_t number)
{
    struct call *call = &world->calls[number];
    struct caller_group *group = &world->groups[number % CALLER_GROUPS];
    call->attempt = checker_attempt(&world->checker, call->request);
    call->state = CALL_WAITING;
    call->tokens = 0;
    call->begun = false;
    call->version = 0;
    world->result.submitted++;
    for (uint32_t i = 0; i < MAX_CONNECTS && group->gateway_count; i++) {
        uint32_t machine = group->gateways[random_below(&world->callers, group->gateway_count)];
        struct process *gateway = world_current(world, machine);
        if (!gateway)
            continue; /* refused: nothing was sent */
        call->gateway = gateway->index;
        world_push(world, world->options.client_delay_us, WORLD_SUBMIT, gateway->index, 0, number,
                   NULL);
        world_push(world, CALLER_PATIENCE_US, WORLD_CALLER_TIMEOUT, (uint32_t)call->attempt, 0,
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
    double large = world->options.large_tenant;
    if (large > 0 && random_unit(&world->callers) < large)
        return 0;
    return (uint32_t)random_below(&world->callers, world->options.tenants);
}

static void arrive(struct world *world)
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
    call->request = checker_request(&world->checker, call->unrepeatable);
    if (!call->model && random_unit(&world->callers) < KEY_SHARE)
        make_key(world, call, number);
    submit(world, number);
    double gap = -log(1 - random_unit(&world->callers)) / world->options.rate;
    if (world->now < world->arrivals_end)
        world_push(world, (uint64_t)(gap * 1e6) + 1, WORLD_ARRIVAL, 0, 0, 0, NULL);
}

/* ---- ends ---- */

static void ask_again(struct world *world, uint32_t number, uint64_t wait)
{
    struct call *call = &world->calls[number];
    call->state = CALL_IDLE;
    if (++call->tries < MAX_TRIES)
        world_push(world, wait, WORLD_CALLER_AGAIN, 0, 0, number, NULL);
    else
        call->state = CALL_OVER;
}

static void end_done(struct world *world, struct call *call, const struct news *news)
{
    call->state = CALL_OVER;
    world->result.done++;
    world->result.large_done += call->tenant == 0;
    world->result.done_in_time += call->model && world->now <= world->arrivals_end;
    if (call->model)
        histogram_add(&world->result.latency, world->now - call->arrived);
    world->result.replayed += news->verdict.replayed;
    bool whole = !call->model || (call->tokens == WORLD_TOKENS && news->tokens == WORLD_TOKENS);
    if (!whole)
        checker_violation(&world->checker, world->now, PROMISE_ANSWER,
                          "attempt %" PRIu64 " was said to be done with %" PRIu64 " of %d tokens",
                          call->attempt, call->tokens, WORLD_TOKENS);
    else
        checker_answered(&world->checker, world->now, call->attempt, call->source);
}

/* In runs where operators are all that happens, nothing may be cut off. */
static bool is_planned_only(const struct world *world)
{
    static const char *const names[] = {"stops", "races", "publish", "steady"};
    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
        if (strcmp(world->options.scenario->name, names[i]) == 0)
            return true;
    return false;
}

static void end_call(struct world *world, uint32_t number, const struct news *news)
{
    struct call *call = &world->calls[number];
    uint64_t wait = news->verdict.retry_after_ms * MILLISECOND + 50 * MILLISECOND;
    switch (news->verdict.outcome) {
    case OUTCOME_DONE:
        end_done(world, call, news);
        break;
    case OUTCOME_NOT_RUN:
        world->result.not_run++;
        checker_told_not_run(&world->checker, world->now, call->attempt);
        ask_again(world, number, wait);
        break;
    case OUTCOME_UNKNOWN:
        world->result.unknown++;
        if (is_planned_only(world))
            checker_violation(&world->checker, world->now, PROMISE_STOP,
                              "attempt %" PRIu64 " ended as unknown: %s", call->attempt,
                              news->verdict.reason ? news->verdict.reason : "");
        /* Only a key makes it safe to ask again for what must not run twice. */
        if (call->model || call->key[0])
            ask_again(world, number, wait);
        else
            call->state = CALL_OVER;
        break;
    }
}

static void end_broken(struct world *world, uint32_t number)
{
    struct call *call = &world->calls[number];
    world->result.broken++;
    if (is_planned_only(world))
        checker_violation(&world->checker, world->now, PROMISE_STOP,
                          "attempt %" PRIu64 " was cut off by a planned stop", call->attempt);
    if (call->model || call->key[0])
        ask_again(world, number, 50 * MILLISECOND);
    else
        call->state = CALL_OVER;
}

/* ---- answers ---- */

static void take_data(struct world *world, struct call *call, const struct news *news)
{
    const struct answer_bytes *bytes = &news->bytes;
    call->source = bytes->attempt;
    if (!call->model)
        return;
    bool own = bytes->attempt < world->checker.attempt_count &&
               world->checker.attempts[bytes->attempt].request == call->request;
    bool in_order = bytes->index == call->tokens && news->offset == call->tokens;
    bool one_version = !call->version || call->version == bytes->version;
    if (!own || !in_order || !one_version)
        checker_violation(&world->checker, world->now, PROMISE_ANSWER,
                          "attempt %" PRIu64 " got token %u of attempt %" PRIu64
                          " version %u where token %" PRIu64 " of version %u was due",
                          call->attempt, bytes->index, bytes->attempt, bytes->version, call->tokens,
                          call->version);
    call->version = bytes->version;
    call->tokens += news->count;
}

static void on_news(struct world *world, const struct event *event)
{
    const struct news *news = event->payload;
    struct call *call = &world->calls[event->number];
    if (call->state != CALL_WAITING || call->attempt != news->attempt)
        return; /* the caller has hung up */
    switch (news->kind) {
    case NEWS_BEGIN:
        call->begun = true;
        break;
    case NEWS_DATA:
        take_data(world, call, news);
        break;
    case NEWS_END:
        world_trace(world, "end attempt %" PRIu64 " %s%s", news->attempt,
                    outcome_name(news->verdict.outcome), news->verdict.replayed ? " replayed" : "");
        end_call(world, event->number, news);
        break;
    case NEWS_CLOSED:
        world_trace(world, "end attempt %" PRIu64 " broken", news->attempt);
        end_broken(world, event->number);
        break;
    }
}

static uint64_t caller_name(uint64_t attempt, uint32_t number)
{
    return attempt << CALL_NUMBER_BITS | number;
}

void callers_tell(struct process *gateway, uint64_t caller, struct news *news)
{
    struct world *world = gateway->world;
    uint32_t number = caller & ((1U << CALL_NUMBER_BITS) - 1);
    news->process = gateway->index;
    world_push(world, world->options.client_delay_us, WORLD_CALLER, 0, 0, number, news);
}

void callers_lose_gateway(struct world *world, uint32_t process)
{
    for (uint32_t i = 0; i < world->call_count; i++) {
        const struct call *call = &world->calls[i];
        if (call->state != CALL_WAITING || call->gateway != process)
            continue;
        struct news *news = memory_calloc(1, sizeof *news);
        news->kind = NEWS_CLOSED;
        news->attempt = call->attempt;
        callers_tell(&world->processes[process], caller_name(call->attempt, i), news);
    }
}

static void on_timeout(struct world *world, const struct event *event)
{
    struct call *call = &world->calls[event->number];
    if (call->state != CALL_WAITING || (uint32_t)call->attempt != event->to)
        return;
    world_push(world, world->options.client_delay_us, WORLD_HANG_UP, call->gateway, event->to,
               event->number, NULL);
    end_broken(world, event->number);
}

/* ---- the gateway's side of a submission ---- */

static void take_submission(struct world *world, const struct event *event)
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
    router_submit(gateway->router, world->now, caller_name(call->attempt, event->number), &request);
}

static void hang_up(struct world *world, const struct event *event)
{
    struct process *gateway = &world->processes[event->to];
    router_abandon(gateway->router, world->now, caller_name(event->from, event->number));
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
        arrive(world);
        break;
    case WORLD_ENDPOINTS:
        ask_endpoints(world, event->number);
        break;
    case WORLD_SUBMIT:
        take_submission(world, event);
        break;
    case WORLD_HANG_UP:
        hang_up(world, event);
        break;
    case WORLD_CALLER:
        on_news(world, event);
        break;
    case WORLD_CALLER_TIMEOUT:
        on_timeout(world, event);
        break;
    case WORLD_CALLER_AGAIN:
        if (world->calls[event->number].state == CALL_IDLE)
            submit(world, event->number);
        break;
    default:
        break;
    }
}

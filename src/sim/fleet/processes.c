/**
 * Simulated processes: drivers of node, router and executor, in place of src/gateway and src/agent.
 */
#include "base/memory.h"
#include "core/hash.h"
#include "sim/fleet/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US (20 * MILLISECOND)
#define UPDATE_US (500 * MILLISECOND)
#define SUSPECT_US (1500 * MILLISECOND)
#define SEND_DELAY_SPREAD_US 200
#define SEND_DEADLINE_US (1 * SECOND)
#define KEY_WINDOW_US (8 * SECOND)
#define CAPACITY 16
#define AGENT_SUBSET 32
#define MAX_AGE_US (1 * SECOND)
#define DRAIN_MIN_US (500 * MILLISECOND)
#define LOAD_TIME_MIN_US (300 * MILLISECOND)
#define LOAD_TIME_SPREAD_US (1200 * MILLISECOND)

/* ---- node driver ---- */

static void send_control(void *context, const struct machine *to, Shuntrun__Envelope *message)
{
    struct process *process = context;
    struct world *world = process->world;
    uint32_t machine = world_find(world, to->id)->index;
    struct process *target = world_current_process(world, machine);
    if (!target)
        return;
    struct packet *packet = world_pack_message(message);
    world->control_bytes += packet->size;
    world_send(world, WORLD_CONTROL, process->machine, machine, target->index, process->machine,
               packet);
}

static void read_document(void *context, Shuntrun__DocumentKind kind, uint64_t known_revision)
{
    platform_read(context, kind, known_revision);
}

/* Reads the serial number of the configuration in force from a comment in its policy. The checker
 * uses it because it must not depend on revisions, which it checks. */
uint64_t process_config_serial(const struct process *process)
{
    const struct fleet_config *config = node_config(process->node);
    unsigned serial = 0;
    if (config)
        sscanf(config->policy, "-- serial %u", &serial);
    return serial;
}

static void load_wanted_version(struct process *process)
{
    struct world *world = process->world;
    struct backend *backend = &world->machines[process->machine].backend;
    const struct model_config *model = fleet_config_model(node_config(process->node), "script");
    unsigned version = 0;
    sscanf(model->version, "v%u", &version);
    int64_t self = fleet_find(node_fleet(process->node), node_id(process->node));
    const struct placement *placement = node_placement(process->node);
    bool placed = self >= 0 && placement && placement_has(&placement->models[0], (uint32_t)self);
    if (!backend->model || !placed || backend->loaded == version || process->loading == version)
        return;
    process->loading = version;
    uint64_t delay = LOAD_TIME_MIN_US + random_below(&world->nodes, LOAD_TIME_SPREAD_US);
    world_push(world, delay, WORLD_LOADED, process->machine, process->index, version, NULL);
}

static void update_routing_view(struct process *process)
{
    struct world *world = process->world;
    const struct machine *self = &world->machines[process->machine].listing;
    struct routing_view *view =
        routing_view_build(process->node, AGENT_SUBSET, self->zone, self->region, world->now);
    if (!view)
        return;
    for (uint32_t i = 0;
         world->options.mutation == FLEET_MUTATION_NO_DRAIN && i < view->agent_count; i++)
        view->agents[i].status.draining = false;
    struct routing_view *old = process->view;
    process->view = view;
    router_set_view(process->router, world->now, view);
    routing_view_destroy(old);
}

static void link_gateways(struct process *process)
{
    const struct fleet *fleet = node_fleet(process->node);
    uint32_t count;
    uint64_t *ids = routing_view_links(process->node, AGENT_SUBSET, &count);
    ids = memory_realloc(ids, (count + fleet->count) * sizeof *ids);
    for (uint32_t i = 0; i < fleet->count; i++)
        if (fleet->machines[i].role == MACHINE_GATEWAY &&
            fleet->machines[i].id != node_id(process->node))
            ids[count++] = fleet->machines[i].id;
    node_set_extra_links(process->node, ids, count);
    free(ids);
}

static bool listed_leaving(const struct process *process)
{
    const struct fleet *fleet = node_fleet(process->node);
    int64_t self = fleet_find(fleet, node_id(process->node));
    return self >= 0 && fleet->machines[self].leaving;
}

static bool is_draining(const struct process *process)
{
    if (process->world->options.mutation == FLEET_MUTATION_NO_DRAIN)
        return false;
    return process->stop_began || listed_leaving(process);
}

static void view_changed(void *context)
{
    struct process *process = context;
    struct world *world = process->world;
    const struct world_machine *machine = &world->machines[process->machine];
    uint64_t serial = process_config_serial(process);
    if (serial)
        checker_revision(&world->checker, world->now, process->machine, serial,
                         process->zombie || machine->exempt);
    if (process->gateway) {
        link_gateways(process);
        update_routing_view(process);
        return;
    }
    if (!node_config(process->node) || !node_placement(process->node))
        return;
    executor_set_config(process->executor, world->now, node_config(process->node));
    load_wanted_version(process);
}

static void config_rejected(void *context, uint64_t revision, const struct findings *findings)
{
}

/* ---- router driver ---- */

static enum router_send_result send_forward(void *context, const struct machine *agent,
                                            Shuntrun__Forward *message)
{
    struct process *process = context;
    struct world *world = process->world;
    uint32_t machine = world_find(world, agent->id)->index;
    struct process *target = world_current_process(world, machine);
    bool known_dead = !target && world->now - world->machines[machine].died_at > 50 * MILLISECOND;
    if (known_dead)
        return ROUTER_NOT_SENT;
    process->newest_sequence[machine % 64] = message->sequence;
    if (!target)
        return ROUTER_SENT; /* the loss of the connection has not been detected yet */
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_FORWARD;
    envelope.forward = message;
    world_send(world, WORLD_REQUEST, process->machine, machine, target->index, process->index,
               world_pack_message(&envelope));
    return ROUTER_SENT;
}

static void cancel_forward(void *context, const struct machine *agent, Shuntrun__Cancel *message)
{
    struct process *process = context;
    struct world *world = process->world;
    uint32_t machine = world_find(world, agent->id)->index;
    struct process *target = world_current_process(world, machine);
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    if (!target)
        return;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_CANCEL;
    envelope.cancel = message;
    world_send(world, WORLD_REQUEST, process->machine, machine, target->index, process->index,
               world_pack_message(&envelope));
}

static struct response_event *make_response_event(uint64_t caller, enum response_event_kind kind)
{
    struct response_event *response_event = memory_calloc(1, sizeof *response_event);
    response_event->kind = kind;
    response_event->attempt = caller >> CALL_NUMBER_BITS;
    return response_event;
}

static void send_begin(void *context, uint64_t caller, const struct ready_model *model)
{
    callers_send_response(context, caller, make_response_event(caller, RESPONSE_BEGIN));
}

/* The bytes may hold several tokens, as those of a stored answer do. */
static void send_data(void *context, uint64_t caller, uint64_t offset, uint32_t count,
                      const uint8_t *bytes, size_t size)
{
    size_t pieces = size / sizeof(struct answer_piece);
    for (size_t i = 0; i < pieces; i++) {
        struct response_event *response_event = make_response_event(caller, RESPONSE_DATA);
        memcpy(&response_event->bytes, bytes + i * sizeof response_event->bytes,
               sizeof response_event->bytes);
        response_event->offset = offset + i;
        response_event->count = count ? 1 : 0;
        callers_send_response(context, caller, response_event);
    }
}

static void send_end(void *context, uint64_t caller, uint64_t tokens,
                     const struct router_result *completion)
{
    struct process *process = context;
    struct response_event *response_event = make_response_event(caller, RESPONSE_END);
    response_event->completion = *completion;
    response_event->completion.reason = ""; /* the text is valid only during this call */
    response_event->tokens = tokens;
    bool early = process->world->options.mutation == FLEET_MUTATION_EARLY_NOT_RUN;
    if (early && completion->outcome == OUTCOME_UNKNOWN)
        response_event->completion.outcome = OUTCOME_NOT_RUN;
    callers_send_response(process, caller, response_event);
}

/* ---- executor driver ---- */

static void send_answer(void *context, uint64_t route, Shuntrun__Answer *message)
{
    struct process *process = context;
    struct world *world = process->world;
    struct process *gateway = &world->processes[route];
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_ANSWER;
    envelope.answer = message;
    world_send(world, WORLD_ANSWER, process->machine, gateway->machine, gateway->index,
               process->machine, world_pack_message(&envelope));
}

static void start_run(void *context, uint64_t run, const Shuntrun__Forward *message,
                      const struct ready_model *model, const struct fence *fence)
{
    struct process *process = context;
    struct world *world = process->world;
    struct run_request *run_request = memory_calloc(1, sizeof *run_request);
    uint64_t valid =
        message->remaining_us < SEND_DEADLINE_US ? message->remaining_us : SEND_DEADLINE_US;
    run_request->process = process->index;
    run_request->run = run;
    memcpy(&run_request->attempt, message->body.data, sizeof run_request->attempt);
    run_request->deadline = world->now + valid;
    run_request->fence = *fence;
    run_request->model = model != NULL;
    run_request->next_token = message->resume_offset;
    if (model)
        snprintf(run_request->digest, sizeof run_request->digest, "%s", model->digest);
    world_push(world, random_below(&world->nodes, SEND_DELAY_SPREAD_US), WORLD_SEND_RUN,
               process->index, 0, 0, run_request);
}

static void cancel_run(void *context, uint64_t run)
{
    backend_cancel(context, run);
}

/* ---- start and stop ---- */

static void create_gateway(struct process *process, uint64_t seed)
{
    struct router_settings settings = {
        .request_limit = 256,
        .retry_percent = 20,
        .stall_us = 2 * SECOND,
        .balance = process->world->options.balance,
    };
    struct router_driver driver = {process,    send_forward, cancel_forward,
                                   send_begin, send_data,    send_end};
    process->router = router_create(&settings, process->incarnation, seed, &driver);
}

static void create_agent(struct process *process)
{
    struct world *world = process->world;
    struct world_machine *machine = &world->machines[process->machine];
    struct executor_settings settings = {.capacity = CAPACITY,
                                         .key_window_us = KEY_WINDOW_US,
                                         .key_limit = 10000,
                                         .pause_us = 200 * MILLISECOND};
    struct executor_driver driver = {process, send_answer, start_run, cancel_run};
    process->executor =
        executor_create(&settings, machine->listing.id, process->incarnation, world->now, &driver);
    if (machine->listing.service_count)
        executor_set_service(process->executor, machine->listing.services[0]);
}

void process_start(struct world *world, uint32_t number)
{
    struct world_machine *machine = &world->machines[number];
    if (world->process_count == world->process_capacity)
        abort(); /* drivers hold pointers into the table, so it cannot be reallocated */
    struct process *process = &world->processes[world->process_count];
    bool reuse = world->options.mutation == FLEET_MUTATION_NO_TICKETS;
    *process = (struct process){.world = world, .index = world->process_count++};
    process->machine = number;
    process->gateway = machine->listing.role == MACHINE_GATEWAY;
    process->alive = true;
    process->started = world->now;
    process->incarnation = reuse ? number + 1 : 1000000 + world->now / MILLISECOND + process->index;
    machine->process = process->index;
    machine->leaving_since = machine->listed_leaving ? machine->leaving_since : 0;
    uint64_t seed = hash_pair(world->options.seed, process->index + 1);
    struct node_settings settings = {4, 2, UPDATE_US, SUSPECT_US};
    struct node_driver driver = {process,      send_control,    read_document,
                                 view_changed, config_rejected, NULL};
    process->node = node_create(&settings, machine->listing.name, machine->listing.zone,
                                machine->listing.role, seed, world->now, &driver);
    if (process->gateway)
        create_gateway(process, seed);
    else
        create_agent(process);
    world_trace(world, "start %s", machine->listing.name);
    world_push(world, random_below(&world->nodes, TICK_US), WORLD_TICK, process->index, 0, 0, NULL);
}

void process_kill(struct process *process)
{
    struct world *world = process->world;
    struct world_machine *machine = &world->machines[process->machine];
    if (!process->alive)
        return;
    process->alive = false;
    if (process->gateway)
        callers_close_connections(world, process->index);
    else
        backend_close_connections(world, process->machine, process->index, false);
    if (machine->process == process->index) {
        machine->process = NO_PROCESS;
        machine->died_at = world->now;
    }
    world_trace(world, "end %s", machine->listing.name);
    node_destroy(process->node);
    router_destroy(process->router);
    routing_view_destroy(process->view);
    executor_destroy(process->executor);
    process->node = NULL;
    process->router = NULL;
    process->view = NULL;
    process->executor = NULL;
}

void process_stop(struct process *process)
{
    struct world *world = process->world;
    struct world_machine *machine = &world->machines[process->machine];
    if (process->stop_began)
        return;
    world_trace(world, "stop %s", machine->listing.name);
    if (world->options.mutation == FLEET_MUTATION_HARD_STOP) {
        process_kill(process);
        return;
    }
    process->stop_began = world->now;
    if (!process->gateway && !machine->leaving_since)
        machine->leaving_since = world->now;
}

static uint32_t active_requests(const struct process *process)
{
    return process->gateway ? router_active(process->router) : executor_active(process->executor);
}

static void end_planned_stop(struct process *process)
{
    uint64_t waited = process->world->now - process->stop_began;
    uint64_t least = process->gateway ? MAX_AGE_US + DRAIN_MIN_US : DRAIN_MIN_US;
    if (process->stop_began && waited >= least && active_requests(process) == 0)
        process_kill(process);
}

/* ---- events ---- */

static void fill_ready_models(struct process *process, struct node_status *status)
{
    const struct backend *backend = &process->world->machines[process->machine].backend;
    if (!backend->model || !backend->loaded)
        return;
    struct ready_model *ready = &status->ready[status->ready_count++];
    snprintf(ready->model, sizeof ready->model, "script");
    snprintf(ready->version, sizeof ready->version, "v%u", backend->loaded);
    version_digest(backend->loaded, ready->digest);
}

static void update_status(struct process *process)
{
    struct node_status status = {
        .incarnation = process->incarnation,
        .draining = is_draining(process),
        .active_requests = active_requests(process),
        .capacity = CAPACITY,
    };
    if (!process->gateway) {
        status.pause_epoch = executor_pause_epoch(process->executor);
        status.ticket_epoch = executor_ticket_epoch(process->executor, process->world->now);
        fill_ready_models(process, &status);
        executor_set_ready(process->executor, status.ready, status.ready_count);
        executor_set_draining(process->executor, status.draining);
    }
    node_set_status(process->node, process->world->now, &status);
}

static void on_tick(struct process *process)
{
    uint64_t now = process->world->now;
    if (process->executor)
        executor_on_tick(process->executor, now);
    node_on_tick(process->node, now);
    update_status(process);
    if (process->gateway) {
        update_routing_view(process);
        router_on_tick(process->router, now);
    }
    world_push(process->world, TICK_US, WORLD_TICK, process->index, 0, 0, NULL);
    end_planned_stop(process);
}

static void on_control(struct process *process, const Shuntrun__Envelope *message)
{
    node_on_message(process->node, process->world->now, message);
}

static void on_request(struct process *process, const struct event *event,
                       Shuntrun__Envelope *message)
{
    struct world *world = process->world;
    const struct packet *packet = event->payload;
    if (message->body_case == SHUNTRUN__ENVELOPE__BODY_CANCEL) {
        executor_on_cancel(process->executor, world->now, message->cancel);
        return;
    }
    Shuntrun__Forward *request = message->forward;
    if (world->options.mutation == FLEET_MUTATION_NO_KEYS && request->idempotency_key[0])
        request->idempotency_key[0] = 0;
    if (world->options.mutation == FLEET_MUTATION_NO_GUARD && packet->duplicate)
        request->sequence += 1ULL << 40;
    if (world->options.mutation == FLEET_MUTATION_NO_VERSION && request->version_digest[0])
        request->version_digest[0] = 0;
    executor_on_forward(process->executor, world->now, event->from, request);
}

static void on_answer(struct process *process, const struct event *event,
                      Shuntrun__Envelope *message)
{
    struct world *world = process->world;
    Shuntrun__Answer *answer = message->answer;
    uint64_t agent = world->machines[event->from].listing.id;
    if (world->options.mutation == FLEET_MUTATION_NO_MATCH) {
        answer->gateway_incarnation = process->incarnation;
        answer->sequence = process->newest_sequence[event->from % 64];
    }
    if (world->options.mutation == FLEET_MUTATION_NO_VERSION && answer->digest[0])
        version_digest(1, answer->digest);
    router_on_answer(process->router, world->now, agent, answer);
}

static void on_packet(struct process *process, const struct event *event)
{
    const struct packet *packet = event->payload;
    Shuntrun__Envelope *message = shuntrun__envelope__unpack(NULL, packet->size, packet->bytes);
    if (event->type == WORLD_CONTROL)
        on_control(process, message);
    else if (event->type == WORLD_REQUEST)
        on_request(process, event, message);
    else
        on_answer(process, event, message);
    shuntrun__envelope__free_unpacked(message, NULL);
}

static void on_backend_answer(struct process *process, const struct progress *progress)
{
    uint64_t now = process->world->now;
    struct answer_piece bytes = {progress->attempt, progress->version, (uint32_t)progress->offset};
    const uint8_t *raw = (const uint8_t *)&bytes;
    switch (progress->kind) {
    case PROGRESS_TOKENS:
        executor_on_tokens(process->executor, now, progress->run, progress->offset, 1, raw,
                           sizeof bytes);
        break;
    case PROGRESS_DONE:
        executor_on_done(process->executor, now, progress->run, progress->offset, raw,
                         progress->offset ? 0 : sizeof bytes);
        break;
    case PROGRESS_BROKEN:
        executor_on_failed(process->executor, now, progress->run, true, "the connection broke");
        break;
    case PROGRESS_REFUSED:
        executor_on_failed(process->executor, now, progress->run, false, "refused");
        break;
    }
}

void process_handle(struct process *process, const struct event *event)
{
    switch (event->type) {
    case WORLD_TICK:
        on_tick(process);
        break;
    case WORLD_CONTROL:
    case WORLD_REQUEST:
    case WORLD_ANSWER:
        on_packet(process, event);
        break;
    case WORLD_READ_ANSWER:
        platform_handle(process->world, event);
        break;
    case WORLD_SEND_RUN:
        backend_send(process, event->payload);
        break;
    case WORLD_BACKEND_ANSWER:
        on_backend_answer(process, event->payload);
        break;
    case WORLD_SUBMIT:
    case WORLD_DISCONNECT:
        callers_handle(process->world, event);
        break;
    default:
        break;
    }
}

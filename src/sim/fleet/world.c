/**
 * Virtual time, the network, setup, and the event loop of a simulated fleet.
 */
#include "sim/fleet/world.h"

#include "base/memory.h"
#include "core/hash.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PROCESSES 8192
#define SLOW_ENGINE_STEPS 4
#define JITTER_US 500
#define SHUFFLE_JITTER_US (60 * MILLISECOND)
#define DUPLICATE_SHARE 0.2
#define SETTLE_TIME_US (12 * SECOND) /* time from the last arrival to the end of the run */

/* ---- functions for the other files ---- */

void world_push(struct world *world, uint64_t delay, enum world_event type, uint32_t to,
                uint32_t from, uint32_t number, void *payload)
{
    event_queue_push(&world->queue, (struct event){.time = world->now + delay,
                                                   .type = type,
                                                   .to = to,
                                                   .from = from,
                                                   .number = number,
                                                   .payload = payload});
}

void world_trace(struct world *world, const char *format, ...)
{
    if (!world->options.trace)
        return;
    va_list arguments;
    fprintf(world->options.trace, "%10.6f ", (double)world->now / SECOND);
    va_start(arguments, format);
    vfprintf(world->options.trace, format, arguments);
    va_end(arguments);
    fputc('\n', world->options.trace);
}

struct packet *world_pack_message(const Shuntrun__Envelope *message)
{
    size_t size = shuntrun__envelope__get_packed_size(message);
    struct packet *packet = memory_calloc(1, sizeof *packet + size);
    packet->size = size;
    shuntrun__envelope__pack(message, packet->bytes);
    return packet;
}

uint64_t world_delay(struct world *world, uint32_t from, uint32_t to)
{
    const struct world_machine *a = &world->machines[from];
    const struct world_machine *b = &world->machines[to];
    uint64_t base = a->zone == b->zone ? 100 : world->options.region_delay_us;
    return base + random_below(&world->network, JITTER_US);
}

bool world_reachable(const struct world *world, uint32_t from, uint32_t to)
{
    const struct world_machine *a = &world->machines[from];
    const struct world_machine *b = &world->machines[to];
    if (from == to)
        return true;
    if (a->cuts || b->cuts || a->outward_cuts)
        return false;
    bool a_out = world->zone_cut >> a->zone & 1;
    bool b_out = world->zone_cut >> b->zone & 1;
    return a->zone == b->zone || (!a_out && !b_out);
}

struct process *world_current_process(struct world *world, uint32_t machine)
{
    uint32_t process = world->machines[machine].process;
    return process == NO_PROCESS ? NULL : &world->processes[process];
}

struct world_machine *world_find(struct world *world, uint64_t id)
{
    uint32_t low = 0;
    uint32_t high = world->machine_count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (world->by_id[middle]->listing.id < id)
            low = middle + 1;
        else
            high = middle;
    }
    assert(low < world->machine_count && world->by_id[low]->listing.id == id);
    return world->by_id[low];
}

static int compare_ids(const void *left, const void *right)
{
    uint64_t a = (*(struct world_machine *const *)left)->listing.id;
    uint64_t b = (*(struct world_machine *const *)right)->listing.id;
    return a < b ? -1 : a > b;
}

void world_send(struct world *world, enum world_event type, uint32_t from_machine,
                uint32_t to_machine, uint32_t to, uint32_t from, struct packet *packet)
{
    uint64_t delay = world_delay(world, from_machine, to_machine);
    world->result.messages++;
    if (!world_reachable(world, from_machine, to_machine)) {
        free(packet);
        return;
    }
    if (world->now < world->shuffle_until) {
        delay += random_below(&world->network, SHUFFLE_JITTER_US);
        if (random_unit(&world->network) < DUPLICATE_SHARE) {
            struct packet *copy = memory_duplicate(packet, sizeof *packet + packet->size);
            copy->duplicate = true;
            uint64_t later = delay + random_below(&world->network, SHUFFLE_JITTER_US);
            world_push(world, later, type, to, from, 0, copy);
        }
    }
    world_push(world, delay, type, to, from, 0, packet);
}

/* ---- setup ---- */

struct fleet_sim_options fleet_sim_options_default(void)
{
    return (struct fleet_sim_options){
        .gateways = 7,
        .engines = 12,
        .services = 4,
        .zones = 3,
        .tenants = 10,
        .region_delay_us = 3000,
        .client_delay_us = 1000,
        .seconds = 14,
        .rate = 25,
        .fenced = true,
        .seed = 1,
        .enabled_faults = UINT64_MAX,
    };
}

static void init_machine(struct world *world, uint32_t i)
{
    const struct fleet_sim_options *options = &world->options;
    struct world_machine *machine = &world->machines[i];
    struct machine *listing = &machine->listing;
    bool gateway = i < options->gateways;
    bool engine = !gateway && i < options->gateways + options->engines;
    machine->index = i;
    machine->zone = i % options->zones;
    machine->process = NO_PROCESS;
    machine->backend.model = engine;
    machine->backend.steps_per_token =
        engine && i - options->gateways < options->slow_engine_share * options->engines
            ? SLOW_ENGINE_STEPS
            : 1;
    snprintf(listing->name, sizeof listing->name, "%s-%u",
             gateway ? "gateway" : (engine ? "engine" : "seats"),
             gateway ? i : i - options->gateways - (engine ? 0 : options->engines));
    snprintf(listing->zone, sizeof listing->zone, "zone-%u", machine->zone);
    snprintf(listing->region, sizeof listing->region, "region-%u", machine->zone);
    snprintf(listing->address, sizeof listing->address, "10.0.%u.%u", i / 250, i % 250 + 1);
    listing->id = hash_name(listing->name);
    listing->role = gateway ? MACHINE_GATEWAY : MACHINE_AGENT;
    listing->accelerators = engine ? 8 : 0;
    if (!gateway && !engine) {
        listing->service_count = 1;
        strcpy(listing->services[0], "seats");
    }
}

static void create_world(struct world *world, const struct fleet_sim_options *options)
{
    *world = (struct world){.options = *options};
    world->network.seed = hash_pair(options->seed, 1);
    world->callers.seed = hash_pair(options->seed, 2);
    world->nodes.seed = hash_pair(options->seed, 3);
    world->faults.seed = hash_pair(options->seed, 4);
    world->machine_count = options->gateways + options->engines + options->services;
    world->machines = memory_calloc(world->machine_count, sizeof *world->machines);
    world->process_capacity = MAX_PROCESSES;
    world->processes = memory_calloc(world->process_capacity, sizeof *world->processes);
    world->model_version = 1;
    world->arrivals_end = (uint64_t)(options->seconds * SECOND) + FIRST_ARRIVAL_US;
    checker_init(&world->checker, world->machine_count);
    for (uint32_t i = 0; i < world->machine_count; i++)
        init_machine(world, i);
    world->by_id = memory_calloc(world->machine_count, sizeof *world->by_id);
    for (uint32_t i = 0; i < world->machine_count; i++)
        world->by_id[i] = &world->machines[i];
    qsort(world->by_id, world->machine_count, sizeof *world->by_id, compare_ids);
    platform_publish_list(world);
    platform_publish_config(world, true);
    for (uint32_t i = 0; i < world->machine_count; i++)
        process_start(world, i);
    callers_start(world);
}

static void destroy_world(struct world *world)
{
    world->options.trace = NULL;
    for (uint32_t i = 0; i < world->process_count; i++)
        process_kill(&world->processes[i]);
    event_queue_clear(&world->queue, free);
    for (uint32_t i = 0; i < world->config.count; i++)
        free(world->config.publications[i].body);
    for (uint32_t i = 0; i < world->list.count; i++)
        free(world->list.publications[i].body);
    checker_clear(&world->checker);
    free(world->machines);
    free(world->by_id);
    free(world->processes);
    free(world->calls);
}

/* ---- events ---- */

static void check_config_in_force(struct world *world, uint32_t serial)
{
    uint64_t published = world->config.publications[serial - 1].at;
    if (world->disturbed_until > published)
        return;
    for (uint32_t i = 0; i < world->machine_count; i++) {
        struct process *process = world_current_process(world, i);
        bool counts = process && process->started + PROPAGATION_GRACE_US < published &&
                      world->now >= process->paused_until;
        if (counts && process_config_serial(process) < serial)
            checker_violation(&world->checker, world->now, INVARIANT_CONFIG,
                              "%s has configuration %" PRIu64 ", %u was published 5 s ago",
                              world->machines[i].listing.name, process_config_serial(process),
                              serial);
    }
}

static void on_loaded(struct world *world, const struct event *event)
{
    struct process *process = &world->processes[event->from];
    if (!process->alive || process->loading != event->number)
        return; /* the agent has ended or loads another version by now */
    world->machines[event->to].backend.loaded = event->number;
    process->loading = 0;
    world_trace(world, "loaded %s v%u", world->machines[event->to].listing.name, event->number);
}

static bool is_process_event(uint32_t type)
{
    switch (type) {
    case WORLD_TICK:
    case WORLD_CONTROL:
    case WORLD_REQUEST:
    case WORLD_ANSWER:
    case WORLD_READ_ANSWER:
    case WORLD_SEND_RUN:
    case WORLD_BACKEND_ANSWER:
    case WORLD_SUBMIT:
    case WORLD_DISCONNECT:
        return true;
    default:
        return false;
    }
}

static void handle_world_event(struct world *world, const struct event *event)
{
    switch (event->type) {
    case WORLD_READ:
        platform_handle(world, event);
        break;
    case WORLD_RUN:
        backend_run(world, event);
        break;
    case WORLD_STEP:
        backend_step(world, event);
        break;
    case WORLD_LOADED:
        on_loaded(world, event);
        break;
    case WORLD_START:
        if (world->machines[event->to].process == NO_PROCESS)
            process_start(world, event->to);
        break;
    case WORLD_FAULT:
        world_begin_fault(world, event->number);
        break;
    case WORLD_FAULT_END:
        world_end_fault(world, event->number);
        break;
    case WORLD_CHECK_CONFIG:
        check_config_in_force(world, event->number);
        break;
    default:
        callers_handle(world, event);
        break;
    }
}

/* \return false when the event was deferred because its process is paused */
static bool handle_process_event(struct world *world, const struct event *event)
{
    struct process *process = &world->processes[event->to];
    if (!process->alive)
        return true;
    if (world->now < process->paused_until) {
        world_push(world, process->paused_until - world->now, event->type, event->to, event->from,
                   event->number, event->payload);
        return false;
    }
    process_handle(process, event);
    return true;
}

static void run(struct world *world)
{
    struct event event;
    uint64_t end = world->arrivals_end + SETTLE_TIME_US;
    while (event_queue_pop(&world->queue, &event)) {
        world->now = event.time;
        if (world->now > end) {
            free(event.payload);
            return;
        }
        world->result.events++;
        bool over = true;
        if (is_process_event(event.type))
            over = handle_process_event(world, &event);
        else
            handle_world_event(world, &event);
        if (over)
            free(event.payload);
    }
}

struct fleet_sim_result fleet_simulate(const struct fleet_sim_options *options)
{
    struct world *world = memory_calloc(1, sizeof *world);
    create_world(world, options);
    world_schedule_faults(world);
    run(world);
    struct fleet_sim_result result = world->result;
    result.violation_count = world->checker.violation_count;
    memcpy(result.violations, world->checker.violations, sizeof result.violations);
    result.control_bytes_per_node_per_second =
        (double)world->control_bytes * SECOND / (double)world->now / world->machine_count;
    destroy_world(world);
    free(world);
    return result;
}

uint64_t fleet_shrink(const struct fleet_sim_options *options)
{
    struct fleet_sim_options smaller = *options;
    smaller.trace = NULL;
    uint32_t count = fleet_simulate(&smaller).fault_count;
    for (uint32_t i = 0; i < count; i++) {
        uint64_t kept = smaller.enabled_faults;
        smaller.enabled_faults &= ~(1ULL << i);
        if (!fleet_simulate(&smaller).violation_count)
            smaller.enabled_faults = kept;
    }
    return smaller.enabled_faults & ((1ULL << count) - 1);
}

/**
 * Faults of a simulated fleet: their schedule, their effects, and the machines that they exempt
 * from invariants.
 */
#include "sim/fleet/world.h"

#define FIRST_FAULT_US (FIRST_ARRIVAL_US + SECOND)
#define FAULT_DURATION_MIN_US (300 * MILLISECOND)
#define FAULT_DURATION_SPREAD_US (5 * SECOND)

/* ---- faults ---- */

static uint32_t pick_machine(struct world *world, enum fleet_fault_kind kind)
{
    uint32_t backends = world->options.engines + world->options.services;
    switch (kind) {
    case FLEET_CUT_ZONE:
    case FLEET_KILL_ZONE:
        return (uint32_t)random_below(&world->faults, world->options.zones);
    case FLEET_LEAVE:
    case FLEET_ZOMBIE:
    case FLEET_BACKEND_STALL:
    case FLEET_BACKEND_BREAK:
        return world->options.gateways + (uint32_t)random_below(&world->faults, backends);
    default:
        return (uint32_t)random_below(&world->faults, world->machine_count);
    }
}

void world_schedule_faults(struct world *world)
{
    const struct fleet_scenario *scenario = world->options.scenario;
    uint32_t kinds = 0;
    while (scenario->kinds[kinds] != FLEET_FAULT_KINDS)
        kinds++;
    uint32_t spread = scenario->max_faults - scenario->min_faults + 1;
    uint32_t count = scenario->min_faults + (uint32_t)random_below(&world->faults, spread);
    uint64_t span = world->arrivals_end - FIRST_FAULT_US;
    for (uint32_t i = 0; i < count && kinds; i++) {
        struct fleet_fault *fault = &world->result.faults[i];
        fault->kind = scenario->kinds[random_below(&world->faults, kinds)];
        fault->at = FIRST_FAULT_US + random_below(&world->faults, span);
        fault->duration =
            FAULT_DURATION_MIN_US + random_below(&world->faults, FAULT_DURATION_SPREAD_US);
        fault->machine = pick_machine(world, fault->kind);
        if (world->options.enabled_faults >> i & 1)
            world_push(world, fault->at, WORLD_FAULT, 0, 0, i, NULL);
    }
    world->result.fault_count = count;
}

static void pause_process(struct world *world, uint32_t machine, uint64_t duration)
{
    struct process *process = world_current_process(world, machine);
    if (process && process->paused_until < world->now + duration)
        process->paused_until = world->now + duration;
}

/* The paused process keeps its state; the machine starts a new one after 100 ms. */
static void make_zombie(struct world *world, uint32_t machine, uint64_t duration)
{
    struct process *process = world_current_process(world, machine);
    if (!process)
        return;
    pause_process(world, machine, duration);
    process->zombie = true;
    world->machines[machine].process = NO_PROCESS;
    world->machines[machine].died_at = world->now;
    world_push(world, 100 * MILLISECOND, WORLD_START, machine, 0, 0, NULL);
}

static void announce_leaving(struct world *world, uint32_t machine)
{
    struct world_machine *entry = &world->machines[machine];
    if (entry->listed_leaving)
        return;
    entry->listed_leaving = true;
    platform_publish_list(world);
    /* The drain limit counts from when the platform shows the new list. */
    entry->leaving_since = world->list.publications[world->list.count - 1].at;
}

static void extend_disturbance(struct world *world, uint64_t until)
{
    if (until + PROPAGATION_GRACE_US > world->disturbed_until)
        world->disturbed_until = until + PROPAGATION_GRACE_US;
}

static void exempt_machine(struct world *world, uint32_t machine)
{
    world->machines[machine].exempt = true;
}

static void exempt_zone(struct world *world, uint32_t zone)
{
    for (uint32_t i = 0; i < world->machine_count; i++)
        if (world->machines[i].zone == zone)
            exempt_machine(world, i);
}

static void exempt_all(struct world *world)
{
    for (uint32_t i = 0; i < world->machine_count; i++)
        exempt_machine(world, i);
}

static void kill_zone(struct world *world, uint32_t zone)
{
    for (uint32_t i = 0; i < world->machine_count; i++)
        if (world->machines[i].zone == zone && world_current_process(world, i))
            process_kill(world_current_process(world, i));
}

static void start_zone(struct world *world, uint32_t zone)
{
    for (uint32_t i = 0; i < world->machine_count; i++)
        if (world->machines[i].zone == zone && !world_current_process(world, i))
            process_start(world, i);
}

static void restart_all_but(struct world *world, uint32_t survivor)
{
    for (uint32_t i = 0; i < world->machine_count; i++) {
        if (i == survivor || !world_current_process(world, i))
            continue;
        process_kill(world_current_process(world, i));
        world_push(world, random_below(&world->nodes, 500 * MILLISECOND), WORLD_START, i, 0, 0,
                   NULL);
    }
}

static void begin_stale(struct world *world, uint64_t until)
{
    world->config.stale_until = until;
    world->config.stale_revision = world->config.count > 1 ? world->config.count - 1 : 1;
}

static bool is_zone_fault(enum fleet_fault_kind kind)
{
    return kind == FLEET_CUT_ZONE || kind == FLEET_KILL_ZONE;
}

void world_begin_fault(struct world *world, uint32_t number)
{
    const struct fleet_fault *fault = &world->result.faults[number];
    uint64_t until = world->now + fault->duration;
    uint32_t machine = fault->machine;
    struct process *process = world_current_process(world, machine);
    world_trace(world, "fault %s %s for %.1f s", fleet_fault_name(fault->kind),
                is_zone_fault(fault->kind) ? "" : world->machines[machine].listing.name,
                (double)fault->duration / SECOND);
    switch (fault->kind) {
    case FLEET_KILL:
        if (process)
            process_kill(process);
        break;
    case FLEET_PAUSE:
        exempt_machine(world, machine);
        pause_process(world, machine, fault->duration);
        extend_disturbance(world, until);
        break;
    case FLEET_ZOMBIE:
        make_zombie(world, machine, fault->duration);
        break;
    case FLEET_CUT:
        world->machines[machine].cuts++;
        exempt_machine(world, machine);
        extend_disturbance(world, until);
        break;
    case FLEET_CUT_ZONE:
        world->zone_cut |= 1U << machine;
        exempt_zone(world, machine);
        extend_disturbance(world, until);
        break;
    case FLEET_CUT_OUTWARD:
        world->machines[machine].outward_cuts++;
        exempt_machine(world, machine);
        extend_disturbance(world, until);
        break;
    case FLEET_SHUFFLE:
        world->shuffle_until = until;
        break;
    case FLEET_CONFIG_DOWN:
        world->config.down_until = until;
        extend_disturbance(world, until);
        break;
    case FLEET_CONFIG_STALE:
        begin_stale(world, until);
        extend_disturbance(world, until);
        break;
    case FLEET_LIST_DOWN:
        world->list.down_until = until;
        exempt_all(world);
        break;
    case FLEET_NEW_VERSION:
        world->model_version++;
        platform_publish_config(world, true);
        break;
    case FLEET_MOVE_HOMES:
        world->home_variant++;
        platform_publish_config(world, true);
        break;
    case FLEET_BAD_CONFIG:
        platform_publish_config(world, false);
        break;
    case FLEET_LEAVE:
        announce_leaving(world, machine);
        break;
    case FLEET_STOP:
        if (process)
            process_stop(process);
        break;
    case FLEET_BACKEND_STALL:
        world->machines[machine].backend.stalled_until = until;
        break;
    case FLEET_BACKEND_BREAK:
        backend_close_connections(world, machine, NO_PROCESS, true);
        break;
    case FLEET_KILL_ZONE:
        kill_zone(world, machine);
        break;
    case FLEET_RESTART_ALL:
        restart_all_but(world, machine);
        break;
    case FLEET_FAULT_KINDS:
        break;
    }
    world_push(world, fault->duration, WORLD_FAULT_END, 0, 0, number, NULL);
}

void world_end_fault(struct world *world, uint32_t number)
{
    const struct fleet_fault *fault = &world->result.faults[number];
    struct world_machine *machine = &world->machines[fault->machine];
    bool restarts = fault->kind == FLEET_KILL || fault->kind == FLEET_STOP;
    if (fault->kind == FLEET_CUT)
        machine->cuts--;
    else if (fault->kind == FLEET_CUT_OUTWARD)
        machine->outward_cuts--;
    else if (fault->kind == FLEET_CUT_ZONE)
        world->zone_cut &= ~(1U << fault->machine);
    else if (fault->kind == FLEET_KILL_ZONE)
        start_zone(world, fault->machine);
    else if (restarts && machine->process == NO_PROCESS)
        process_start(world, fault->machine);
    else if (restarts) /* the planned stop has not finished */
        world_push(world, 500 * MILLISECOND, WORLD_FAULT_END, 0, 0, number, NULL);
}

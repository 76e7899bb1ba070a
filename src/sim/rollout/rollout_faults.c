/**
 * Faults of a simulated rollout: their schedule and their effects.
 */
#include "sim/rollout/rollout_world.h"

#include "base/memory.h"
#include "core/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define LIST_LAG_SECONDS 10.0            /* until the first update of the machine list */
#define LIST_UPDATE_INTERVAL_SECONDS 5.0 /* between its updates */
#define PAUSE_MIN_SECONDS 2.0
#define PAUSE_SPREAD_SECONDS 30.0
#define MESSAGE_DELAY_MAX_SECONDS 2.0 /* greatest extra delay of a message */

/* ---- events of faults ---- */

static void stop_machine(struct simulated_machine *machine)
{
    rollout_sim_stop_serving(machine);
    machine->alive = false;
    machine->uploads = 0;
    swarm_destroy(machine->swarm);
    machine->swarm = NULL;
}

void rollout_sim_on_rejoin(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    machine->alive = true;
    machine->version = sim->newest;
    machine->incarnation++;
    rollout_sim_clear_content(machine);
    rollout_sim_start_machine(machine, 2 * sim->options.swarm.announce_us);
}

/* The new version shares the first chunks with the old one, by digest. */
void rollout_sim_on_new_version(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    if (sim->newest == 0) {
        sim->newest = 1;
        for (uint32_t i = 0; i < sim->options.machines; i++)
            rollout_sim_stop_serving(&sim->machines[i]);
        sim->serve_count = 0;
    }
    if (!machine->alive || machine->stalled || machine->version == 1)
        return;
    machine->version = 1;
    machine->incarnation++;
    swarm_destroy(machine->swarm);
    rollout_sim_start_machine(machine, 0);
}

void rollout_sim_on_list_update(struct rollout_sim *sim)
{
    bool changed = false;
    for (uint32_t i = 0; i < sim->options.machines; i++) {
        struct simulated_machine *machine = &sim->machines[i];
        bool present = machine->alive && !machine->stalled;
        changed = changed || machine->listed != present;
        machine->listed = present;
    }
    if (changed) {
        for (uint32_t version = 0; version < 2; version++) {
            swarm_plan_release(sim->plans[version]);
            sim->plans[version] = NULL;
        }
        for (uint32_t i = 0; i < sim->options.machines; i++) {
            struct simulated_machine *machine = &sim->machines[i];
            if (machine->alive && !machine->stalled)
                swarm_set_plan(machine->swarm, sim->now / 1000,
                               rollout_sim_plan(sim, machine->version));
        }
    }
    rollout_sim_push(sim, sim->now + rollout_sim_seconds(LIST_UPDATE_INTERVAL_SECONDS),
                     EVENT_LIST_UPDATE, 0, 0, 0, NULL);
}

void rollout_sim_kill_machine(struct rollout_sim *sim, const struct event *event, bool rejoins)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    if (!machine->alive || machine->stalled)
        return;
    stop_machine(machine);
    if (rejoins)
        rollout_sim_push(sim, sim->now + rollout_sim_seconds(RESTART_SECONDS), EVENT_REJOIN,
                         event->to, event->to, 0, NULL);
}

void rollout_sim_stall_machine(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    if (!machine->alive)
        return;
    machine->stalled = true;
    rollout_sim_stop_serving(machine);
}

/* Schedules a fault on random machines, a share of all, at random times of the window. */
static void schedule_on_machines(struct rollout_sim *sim, double share, enum event_type type)
{
    uint32_t count = (uint32_t)(share * sim->options.machines);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t machine = (uint32_t)random_below(&sim->random, sim->options.machines);
        double at = random_unit(&sim->random) * sim->options.window_seconds;
        rollout_sim_push(sim, rollout_sim_seconds(at), type, machine, machine, 0, NULL);
    }
}

static void schedule_span(struct rollout_sim *sim, double share, enum event_type begin,
                          enum event_type end)
{
    if (share <= 0)
        return;
    double window = sim->options.window_seconds;
    double at = random_unit(&sim->random) * window * (1 - share);
    rollout_sim_push(sim, rollout_sim_seconds(at), begin, 0, 0, 0, NULL);
    rollout_sim_push(sim, rollout_sim_seconds(at + share * window), end, 0, 0, 0, NULL);
}

void rollout_sim_schedule_faults(struct rollout_sim *sim)
{
    const struct rollout_faults *faults = &sim->options.faults;
    schedule_on_machines(sim, faults->die, EVENT_DIE);
    schedule_on_machines(sim, faults->restart, EVENT_RESTART);
    schedule_on_machines(sim, faults->stall, EVENT_STALL);
    schedule_on_machines(sim, faults->pause, EVENT_PAUSE);
    schedule_span(sim, faults->origin_down, EVENT_ORIGIN_DOWN, EVENT_ORIGIN_UP);
    schedule_span(sim, faults->partition, EVENT_PARTITION, EVENT_HEAL);
    if (faults->change > 0)
        for (uint32_t i = 0; i < sim->options.machines; i++) {
            double at = faults->change * sim->options.window_seconds +
                        random_unit(&sim->random) * CONFIG_SPREAD_SECONDS;
            rollout_sim_push(sim, rollout_sim_seconds(at), EVENT_NEW_VERSION, i, i, 0, NULL);
        }
    rollout_sim_push(sim, rollout_sim_seconds(LIST_LAG_SECONDS), EVENT_LIST_UPDATE, 0, 0, 0, NULL);
}

uint64_t rollout_sim_pause_length(struct rollout_sim *sim)
{
    return rollout_sim_seconds(PAUSE_MIN_SECONDS +
                               random_unit(&sim->random) * PAUSE_SPREAD_SECONDS);
}

static bool is_message(uint32_t type)
{
    return type == EVENT_REQUEST || type == EVENT_CHUNK_RECEIVED || type == EVENT_REFUSE ||
           type == EVENT_UPDATE;
}

/* \return whether the event was deferred because its machine is paused */
bool rollout_sim_defer(struct rollout_sim *sim, const struct event *event)
{
    if (event->to == ORIGIN || event->type > EVENT_NEW_VERSION || event->type == EVENT_DIE)
        return false;
    uint64_t until = sim->machines[event->to].paused_until;
    if (sim->now >= until)
        return false;
    rollout_sim_push(sim, until, (enum event_type)event->type, event->to, event->from,
                     event->number, event->payload);
    return true;
}

static void *copy_payload(const struct event *event)
{
    if (event->type == EVENT_REFUSE)
        return memory_duplicate(event->payload, sizeof(struct refusal));
    if (event->type != EVENT_UPDATE)
        return NULL;
    const struct update_copy *update = event->payload;
    size_t size = sizeof *update + update->update.have_words * sizeof(uint64_t) +
                  update->update.new_count * sizeof(uint32_t);
    struct update_copy *copy = memory_duplicate(update, size);
    if (copy->update.have_all)
        copy->update.have_all = copy->words;
    copy->update.have_new = (uint32_t *)(copy->words + copy->update.have_words);
    return copy;
}

/* Delays or duplicates a message. \return true when it is delayed and must not be handled now */
bool rollout_sim_delay_or_duplicate(struct rollout_sim *sim, const struct event *event)
{
    if (!is_message(event->type) || event->delayed)
        return false;
    if (random_unit(&sim->random) >= sim->options.faults.shuffle)
        return false;
    struct event later = *event;
    bool twice = random_below(&sim->random, 2) == 0;
    later.delayed = true;
    later.time =
        sim->now + random_below(&sim->random, rollout_sim_seconds(MESSAGE_DELAY_MAX_SECONDS));
    if (twice)
        later.payload = copy_payload(event);
    event_queue_push(&sim->queue, later);
    return !twice;
}

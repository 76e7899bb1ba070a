/**
 * Options, event loop and result of a simulated rollout.
 */
#include "sim/rollout/rollout_world.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/ids.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* ---- options ---- */

struct rollout_options rollout_options_default(void)
{
    struct rollout_options options = {
        .machines = 300,
        .zones = 6,
        .regions = 3,
        .model_bytes = 2200ULL << 26,
        .chunk_bytes = 1ULL << 26,
        .origin_copies_per_window = 4,
        .machine_copies_per_window = 2,
        .window_seconds = 300,
        .zone_delay_seconds = 0.0015,
        .region_delay_seconds = 0.003,
        .strategy = STRATEGY_SWARM,
        .seed = 1,
        .limit_windows = 20,
    };
    options.swarm = rollout_swarm_settings(&options);
    return options;
}

static double rollout_machine_rate(const struct rollout_options *options)
{
    return options->machine_copies_per_window * (double)options->model_bytes /
           options->window_seconds;
}

static double rollout_origin_rate(const struct rollout_options *options)
{
    return options->origin_copies_per_window * (double)options->model_bytes /
           options->window_seconds;
}

struct swarm_settings rollout_swarm_settings(const struct rollout_options *options)
{
    double chunk_us = (double)options->chunk_bytes / rollout_machine_rate(options) * 1e6;
    double copy_us = (double)options->model_bytes / rollout_origin_rate(options) * 1e6;
    struct swarm_settings settings = {
        .origin_budget = 1,
        .download_window = 6,
        .peer_window = 2,
        .upload_limit = 4,
        .neighbours = 10,
        .announce_us = (uint64_t)(chunk_us * 4 > 200000 ? chunk_us * 4 : 200000),
        .neighbour_timeout_us = 5000000,
        .chunk_timeout_us = (uint64_t)(chunk_us * 64 > 2000000 ? chunk_us * 64 : 2000000),
        .busy_backoff_us = (uint64_t)chunk_us,
        .origin_copy_us = (uint64_t)(copy_us * 1.2),
        .origin_rank_delay_us = (uint64_t)(chunk_us * 64 > 2000000 ? chunk_us * 64 : 2000000),
        .join_delay_us = 0,
    };
    return settings;
}

double rollout_lower_bound(const struct rollout_options *options)
{
    double copies = 2.0 * options->machines - options->swarm.origin_budget;
    double origin = options->window_seconds / options->origin_copies_per_window;
    double links =
        copies / options->machines * options->window_seconds / options->machine_copies_per_window;
    return origin > links ? origin : links;
}

/* ---- setup ---- */

static void create_machines(struct rollout_sim *sim)
{
    const struct rollout_options *options = &sim->options;
    uint64_t *ids = memory_calloc(options->machines, sizeof *ids);
    for (uint32_t i = 0; i < options->machines; i++)
        ids[i] = hash_pair(0x6d616368, i);
    ids_sort(ids, options->machines);
    sim->machines = memory_calloc(options->machines, sizeof *sim->machines);
    sim->serve_times = memory_calloc(options->machines + 1, sizeof *sim->serve_times);
    for (uint32_t i = 0; i < options->machines; i++) {
        struct simulated_machine *machine = &sim->machines[i];
        machine->sim = sim;
        machine->id = ids[i];
        machine->index = i;
        machine->zone = (uint16_t)(i % options->zones);
        machine->region = (uint16_t)(machine->zone % options->regions);
        machine->alive = true;
        machine->listed = true;
        machine->link.nanoseconds_per_byte = NANOSECONDS_PER_SECOND / rollout_machine_rate(options);
        machine->content = memory_calloc(sim->chunk_count, sizeof *machine->content);
        rollout_sim_clear_content(machine);
    }
    free(ids);
}

/* ---- event loop ---- */

static void handle(struct rollout_sim *sim, const struct event *event)
{
    switch ((enum event_type)event->type) {
    case EVENT_TICK:
        rollout_sim_on_tick(sim, event);
        break;
    case EVENT_REQUEST:
        rollout_sim_on_request(sim, event);
        break;
    case EVENT_LINK_ARRIVAL:
        rollout_sim_on_link_arrival(sim, event);
        break;
    case EVENT_CHUNK_RECEIVED:
        rollout_sim_on_chunk_received(sim, event);
        break;
    case EVENT_REFUSE:
        rollout_sim_on_refuse(sim, event);
        break;
    case EVENT_UPDATE:
        rollout_sim_on_update(sim, event);
        break;
    case EVENT_DIE:
        rollout_sim_kill_machine(sim, event, false);
        break;
    case EVENT_RESTART:
        rollout_sim_kill_machine(sim, event, true);
        break;
    case EVENT_REJOIN:
        rollout_sim_on_rejoin(sim, event);
        break;
    case EVENT_STALL:
        rollout_sim_stall_machine(sim, event);
        break;
    case EVENT_PAUSE:
        sim->machines[event->to].paused_until = sim->now + rollout_sim_pause_length(sim);
        break;
    case EVENT_NEW_VERSION:
        rollout_sim_on_new_version(sim, event);
        break;
    case EVENT_LIST_UPDATE:
        rollout_sim_on_list_update(sim);
        break;
    case EVENT_ORIGIN_DOWN:
        sim->origin_down = true;
        break;
    case EVENT_ORIGIN_UP:
        sim->origin_down = false;
        break;
    case EVENT_PARTITION:
        sim->partitioned = true;
        break;
    case EVENT_HEAL:
        sim->partitioned = false;
        break;
    case EVENT_ORIGIN_SEND:
        rollout_sim_send_from_origin(sim);
        break;
    }
}

static uint32_t count_survivors(const struct rollout_sim *sim)
{
    uint32_t survivors = 0;
    for (uint32_t i = 0; i < sim->options.machines; i++)
        survivors += sim->machines[i].alive && !sim->machines[i].stalled;
    return survivors;
}

static bool faults_are_over(const struct rollout_sim *sim)
{
    const struct rollout_faults *faults = &sim->options.faults;
    bool any = faults->die > 0 || faults->restart > 0 || faults->stall > 0 || faults->pause > 0 ||
               faults->change > 0 || faults->partition > 0 || faults->origin_down > 0;
    double end = sim->options.window_seconds + RESTART_SECONDS + CONFIG_SPREAD_SECONDS;
    return !any || sim->now > rollout_sim_seconds(end);
}

static void run(struct rollout_sim *sim)
{
    uint64_t limit = rollout_sim_seconds(sim->options.limit_windows * sim->options.window_seconds);
    struct event event;
    uint32_t survivors = sim->options.machines;
    while (event_queue_pop(&sim->queue, &event)) {
        sim->now = event.time;
        sim->result.events++;
        if (rollout_sim_defer(sim, &event) || rollout_sim_delay_or_duplicate(sim, &event))
            continue;
        handle(sim, &event);
        free(event.payload);
        if (event.type >= EVENT_DIE)
            survivors = count_survivors(sim);
        if (sim->serving >= survivors && faults_are_over(sim)) {
            sim->result.finished = true;
            return;
        }
        if (sim->now > limit) {
            sim->result.reason = "the time limit of the run was reached";
            return;
        }
    }
    sim->result.reason = "no events are left";
}

static void summarize(struct rollout_sim *sim)
{
    struct rollout_result *result = &sim->result;
    uint64_t control = 0;
    uint64_t greatest = 0;
    double elapsed = (double)sim->now / NANOSECONDS_PER_SECOND;
    result->survivors = count_survivors(sim);
    result->serving = sim->serving;
    result->lower_bound_seconds = rollout_lower_bound(&sim->options);
    if (sim->serve_count)
        result->time_to_half_seconds =
            (double)sim->serve_times[(sim->serve_count - 1) / 2] / NANOSECONDS_PER_SECOND;
    if (result->finished && sim->serve_count)
        result->time_to_n_seconds =
            (double)sim->serve_times[sim->serve_count - 1] / NANOSECONDS_PER_SECOND;
    for (uint32_t i = 0; i < sim->options.machines; i++) {
        const struct simulated_machine *machine = &sim->machines[i];
        control += machine->control_bytes;
        greatest = machine->control_bytes > greatest ? machine->control_bytes : greatest;
        if (machine->swarm) {
            result->timeouts += swarm_counters(machine->swarm)->timeouts;
            result->refusals += swarm_counters(machine->swarm)->refusals;
        }
    }
    if (elapsed > 0) {
        result->control_bytes_per_machine_per_second =
            (double)control / sim->options.machines / elapsed;
        result->max_control_bytes_per_second = (double)greatest / elapsed;
    }
}

struct rollout_result rollout_simulate(const struct rollout_options *options)
{
    struct rollout_sim sim = {.options = *options, .random = {.seed = options->seed}};
    sim.result.reason = "";
    sim.chunk_count = (uint32_t)((options->model_bytes - 1) / options->chunk_bytes + 1);
    sim.origin.nanoseconds_per_byte = NANOSECONDS_PER_SECOND / rollout_origin_rate(options);
    create_machines(&sim);
    if (options->strategy == STRATEGY_SWARM) {
        rollout_sim_schedule_faults(&sim);
        for (uint32_t i = 0; i < options->machines; i++)
            rollout_sim_start_machine(&sim.machines[i], 0);
    } else {
        rollout_sim_push(&sim, 0, EVENT_ORIGIN_SEND, 0, 0, 0, NULL);
    }
    run(&sim);
    summarize(&sim);
    for (uint32_t i = 0; i < options->machines; i++) {
        swarm_destroy(sim.machines[i].swarm);
        free(sim.machines[i].content);
    }
    for (uint32_t version = 0; version < 2; version++)
        swarm_plan_release(sim.plans[version]);
    event_queue_clear(&sim.queue, free);
    free(sim.machines);
    free(sim.serve_times);
    return sim.result;
}

/**
 * Machines of a simulated rollout: links, swarm drivers, the chunks they hold, and serving.
 */
#include "sim/rollout/rollout_world.h"

#include "base/memory.h"
#include "core/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define CHUNK_INDEX_BYTES 2 /* of one chunk number in an update */
#define NO_CONTENT UINT32_MAX

/* ---- links ---- */

uint64_t rollout_sim_seconds(double value)
{
    return (uint64_t)(value * NANOSECONDS_PER_SECOND);
}

uint64_t rollout_sim_reserve_link(struct link *link, uint64_t now, uint64_t bytes)
{
    uint64_t start = link->busy_until > now ? link->busy_until : now;
    link->busy_until = start + (uint64_t)((double)bytes * link->nanoseconds_per_byte);
    return link->busy_until;
}

uint64_t rollout_sim_chunk_length(const struct rollout_sim *sim, uint32_t chunk)
{
    uint64_t start = (uint64_t)chunk * sim->options.chunk_bytes;
    uint64_t left = sim->options.model_bytes - start;
    return left < sim->options.chunk_bytes ? left : sim->options.chunk_bytes;
}

uint64_t rollout_sim_delay(const struct rollout_sim *sim, uint32_t left, uint32_t right)
{
    if (left == ORIGIN || right == ORIGIN)
        return rollout_sim_seconds(sim->options.region_delay_seconds);
    const struct simulated_machine *a = &sim->machines[left];
    const struct simulated_machine *b = &sim->machines[right];
    if (a->region != b->region)
        return rollout_sim_seconds(sim->options.region_delay_seconds);
    return a->zone != b->zone ? rollout_sim_seconds(sim->options.zone_delay_seconds) : 0;
}

/* A partition separates region 0 from all other regions. The origin stays reachable from both
 * sides. */
bool rollout_sim_reachable(const struct rollout_sim *sim, uint32_t left, uint32_t right)
{
    if (!sim->partitioned || left == ORIGIN || right == ORIGIN)
        return true;
    return (sim->machines[left].region == 0) == (sim->machines[right].region == 0);
}

static struct simulated_machine *find_machine(struct rollout_sim *sim, uint64_t id)
{
    uint32_t low = 0;
    uint32_t high = sim->options.machines;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (sim->machines[middle].id < id)
            low = middle + 1;
        else
            high = middle;
    }
    assert(low < sim->options.machines && sim->machines[low].id == id);
    return &sim->machines[low];
}

void rollout_sim_push(struct rollout_sim *sim, uint64_t time, enum event_type type, uint32_t to,
                      uint32_t from, uint32_t number, void *payload)
{
    event_queue_push(&sim->queue, (struct event){.time = time,
                                                 .type = type,
                                                 .to = to,
                                                 .from = from,
                                                 .number = number,
                                                 .payload = payload});
}

void rollout_sim_charge_control(struct simulated_machine *machine, uint64_t bytes)
{
    rollout_sim_reserve_link(&machine->link, machine->sim->now, bytes);
    machine->control_bytes += bytes;
}

/* ---- driver of one machine's swarm ---- */

static uint32_t rollout_content_id(const struct rollout_sim *sim, uint32_t version, uint32_t chunk)
{
    uint32_t shared = (uint32_t)(sim->options.faults.shared * sim->chunk_count);
    return chunk < shared ? chunk : version << CONTENT_VERSION_SHIFT | chunk;
}

uint32_t rollout_sim_chunk_index(uint32_t content_id)
{
    return content_id & ((1U << CONTENT_VERSION_SHIFT) - 1);
}

/* Whether a content id belongs to the target version of a machine. */
bool rollout_sim_is_wanted(const struct simulated_machine *machine, uint32_t content_id)
{
    return rollout_content_id(machine->sim, machine->version,
                              rollout_sim_chunk_index(content_id)) == content_id;
}

static void on_fetch(void *context, uint64_t source, uint32_t chunk)
{
    struct simulated_machine *machine = context;
    struct rollout_sim *sim = machine->sim;
    uint32_t from = source == SWARM_ORIGIN ? ORIGIN : find_machine(sim, source)->index;
    rollout_sim_charge_control(machine, REQUEST_BYTES);
    rollout_sim_push(sim, sim->now + rollout_sim_delay(sim, machine->index, from), EVENT_REQUEST,
                     from, machine->index, rollout_content_id(sim, machine->version, chunk), NULL);
}

static void on_cancel(void *context, uint64_t source, uint32_t chunk)
{
    /* Bytes in flight still arrive: the links are already reserved for them. */
}

static void on_announce(void *context, uint64_t peer, const struct swarm_update *update)
{
    struct simulated_machine *machine = context;
    struct rollout_sim *sim = machine->sim;
    uint32_t to = find_machine(sim, peer)->index;
    size_t set_bytes = update->have_words * sizeof(uint64_t);
    size_t list_bytes = update->new_count * sizeof(uint32_t);
    struct update_copy *copy = memory_calloc(1, sizeof *copy + set_bytes + list_bytes);
    copy->update = *update;
    copy->incarnation = machine->incarnation;
    if (update->have_all) {
        memcpy(copy->words, update->have_all, set_bytes);
        copy->update.have_all = copy->words;
    }
    copy->update.have_new = (uint32_t *)(copy->words + update->have_words);
    if (list_bytes)
        memcpy(copy->words + update->have_words, update->have_new, list_bytes);
    rollout_sim_charge_control(machine,
                               UPDATE_BYTES + set_bytes + update->new_count * CHUNK_INDEX_BYTES);
    rollout_sim_push(sim, sim->now + rollout_sim_delay(sim, machine->index, to), EVENT_UPDATE, to,
                     machine->index, 0, copy);
}

static uint64_t rollout_key(uint32_t version)
{
    return hash_pair(1, version);
}

static void create_swarm(struct simulated_machine *machine, uint64_t join_delay_us)
{
    struct rollout_sim *sim = machine->sim;
    struct swarm_driver driver = {machine, on_fetch, on_cancel, on_announce};
    struct swarm_settings settings = sim->options.swarm;
    settings.join_delay_us = join_delay_us;
    uint64_t seed = hash_pair(sim->options.seed, hash_pair(machine->id, machine->incarnation));
    machine->swarm = swarm_create(&settings, machine->id, rollout_key(machine->version),
                                  sim->chunk_count, seed, &driver);
    for (uint32_t chunk = 0; chunk < sim->chunk_count; chunk++)
        if (machine->content[chunk] == rollout_content_id(sim, machine->version, chunk))
            swarm_mark_held(machine->swarm, chunk);
}

struct swarm_plan *rollout_sim_plan(struct rollout_sim *sim, uint32_t version)
{
    if (sim->plans[version])
        return sim->plans[version];
    struct member *members = memory_calloc(sim->options.machines, sizeof *members);
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim->options.machines; i++) {
        const struct simulated_machine *machine = &sim->machines[i];
        if (machine->listed)
            members[count++] = (struct member){machine->id, machine->zone, machine->region};
    }
    sim->plans[version] = swarm_plan_create(rollout_key(version), sim->chunk_count, members, count);
    free(members);
    return sim->plans[version];
}

void rollout_sim_clear_content(struct simulated_machine *machine)
{
    for (uint32_t chunk = 0; chunk < machine->sim->chunk_count; chunk++)
        machine->content[chunk] = NO_CONTENT;
}

void rollout_sim_start_machine(struct simulated_machine *machine, uint64_t join_delay_us)
{
    struct rollout_sim *sim = machine->sim;
    create_swarm(machine, join_delay_us);
    swarm_set_plan(machine->swarm, sim->now / 1000, rollout_sim_plan(sim, machine->version));
    uint64_t announce_ns = sim->options.swarm.announce_us * 1000;
    rollout_sim_push(sim, sim->now + random_below(&sim->random, announce_ns), EVENT_TICK,
                     machine->index, machine->index, machine->incarnation, NULL);
}

/* ---- serving ---- */

/* Checks against `content`, not the swarm, that every chunk is that of the newest version. */
void rollout_sim_check_load(struct simulated_machine *machine)
{
    struct rollout_sim *sim = machine->sim;
    bool whole = true;
    for (uint32_t chunk = 0; chunk < sim->chunk_count; chunk++)
        whole = whole && machine->content[chunk] == rollout_content_id(sim, sim->newest, chunk);
    if (!whole)
        sim->result.violations++;
}

static bool ready_to_load(const struct simulated_machine *machine)
{
    if (machine->sim->options.mutation == ROLLOUT_MUTATION_LOAD_EARLY)
        return swarm_held_count(machine->swarm) + 1 >= machine->sim->chunk_count;
    return swarm_complete(machine->swarm);
}

void rollout_sim_serve_when_complete(struct simulated_machine *machine)
{
    struct rollout_sim *sim = machine->sim;
    if (machine->serves || machine->version != sim->newest || !ready_to_load(machine))
        return;
    rollout_sim_check_load(machine);
    machine->serves = true;
    sim->serving++;
    sim->serve_times[sim->serve_count++] = sim->now;
}

void rollout_sim_stop_serving(struct simulated_machine *machine)
{
    if (machine->serves)
        machine->sim->serving--;
    machine->serves = false;
}

/**
 * Transfer of requests, chunks and updates, and the baselines without a swarm.
 */
#include "sim/rollout/rollout_world.h"

#include "base/memory.h"
#include "core/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define ORIGIN_QUEUE_CHUNKS 64 /* longest queue of the origin; above it, reads are refused */
#define TREE_CHILDREN 2
#define CORRUPT_CONTENT (UINT32_MAX - 1)

/* ---- events of transfers ---- */

static void refuse(struct rollout_sim *sim, uint32_t to, uint32_t from, uint32_t content_id,
                   enum swarm_failure failure, uint64_t retry_after_us)
{
    struct refusal *refusal = memory_calloc(1, sizeof *refusal);
    *refusal = (struct refusal){failure, retry_after_us};
    rollout_sim_push(sim, sim->now + rollout_sim_delay(sim, to, from), EVENT_REFUSE, to, from,
                     content_id, refusal);
}

static void rollout_send_chunk(struct rollout_sim *sim, uint32_t from, uint32_t to,
                               uint32_t content_id)
{
    uint64_t bytes = rollout_sim_chunk_length(sim, rollout_sim_chunk_index(content_id));
    struct link *link = from == ORIGIN ? &sim->origin : &sim->machines[from].link;
    uint64_t sent = rollout_sim_reserve_link(link, sim->now, bytes);
    if (from == ORIGIN)
        sim->result.origin_bytes += bytes;
    else
        sim->result.peer_bytes += bytes;
    if (from == ORIGIN && content_id >> CONTENT_VERSION_SHIFT)
        sim->result.origin_bytes_newest += bytes;
    rollout_sim_push(sim, sent + rollout_sim_delay(sim, from, to), EVENT_LINK_ARRIVAL, to, from,
                     content_id, NULL);
}

static void on_origin_request(struct rollout_sim *sim, const struct event *event)
{
    uint64_t waiting = sim->origin.busy_until > sim->now ? sim->origin.busy_until - sim->now : 0;
    double chunk_time = (double)sim->options.chunk_bytes * sim->origin.nanoseconds_per_byte;
    if (sim->origin_down)
        refuse(sim, event->from, ORIGIN, event->number, SWARM_FAILURE_ERROR, 0);
    else if ((double)waiting > chunk_time * ORIGIN_QUEUE_CHUNKS)
        refuse(sim, event->from, ORIGIN, event->number, SWARM_FAILURE_BUSY, waiting / 2000);
    else
        rollout_send_chunk(sim, ORIGIN, event->from, event->number);
}

void rollout_sim_on_request(struct rollout_sim *sim, const struct event *event)
{
    if (event->to == ORIGIN) {
        on_origin_request(sim, event);
        return;
    }
    struct simulated_machine *machine = &sim->machines[event->to];
    if (!machine->alive || machine->stalled || !rollout_sim_reachable(sim, event->to, event->from))
        return; /* no response: the request ends by its sender's timeout */
    rollout_sim_charge_control(machine, REQUEST_BYTES);
    if (!rollout_sim_is_wanted(machine, event->number)) {
        refuse(sim, event->from, event->to, event->number, SWARM_FAILURE_ABSENT, 0);
        return;
    }
    enum swarm_upload admission = swarm_admit_upload(
        machine->swarm, rollout_sim_chunk_index(event->number), machine->uploads);
    if (admission == SWARM_UPLOAD_SERVE) {
        machine->uploads++;
        swarm_set_upload_queue(machine->swarm, machine->uploads);
        rollout_send_chunk(sim, event->to, event->from, event->number);
    } else {
        static const enum swarm_failure failures[] = {SWARM_FAILURE_ERROR, SWARM_FAILURE_BUSY,
                                                      SWARM_FAILURE_PENDING, SWARM_FAILURE_ABSENT};
        refuse(sim, event->from, event->to, event->number, failures[admission], 0);
    }
}

static void end_upload(struct rollout_sim *sim, uint32_t from)
{
    if (from == ORIGIN || !sim->machines[from].uploads)
        return;
    struct simulated_machine *machine = &sim->machines[from];
    machine->uploads--;
    if (machine->swarm)
        swarm_set_upload_queue(machine->swarm, machine->uploads);
}

static bool sender_failed(const struct rollout_sim *sim, const struct event *event)
{
    if (event->from == ORIGIN)
        return sim->origin_down;
    const struct simulated_machine *sender = &sim->machines[event->from];
    return !sender->alive || sender->stalled;
}

void rollout_sim_on_link_arrival(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    bool failed = sender_failed(sim, event);
    end_upload(sim, event->from);
    if (!machine->alive || machine->stalled || failed ||
        !rollout_sim_reachable(sim, event->to, event->from))
        return;
    uint64_t through = rollout_sim_reserve_link(
        &machine->link, sim->now,
        rollout_sim_chunk_length(sim, rollout_sim_chunk_index(event->number)));
    rollout_sim_push(sim, through, EVENT_CHUNK_RECEIVED, event->to, event->from, event->number,
                     NULL);
}

static void forward_to_children(struct rollout_sim *sim, struct simulated_machine *machine,
                                uint32_t chunk);

/* A digest detects corrupt bytes and bytes of a version that is no longer wanted. */
static bool matches_digest(const struct simulated_machine *machine, uint32_t content_id)
{
    if (machine->sim->options.mutation == ROLLOUT_MUTATION_IGNORE_DIGEST)
        return true;
    return content_id != CORRUPT_CONTENT && rollout_sim_is_wanted(machine, content_id);
}

void rollout_sim_on_chunk_received(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    uint32_t chunk = rollout_sim_chunk_index(event->number);
    uint32_t content_id = event->number;
    if (!machine->alive || machine->stalled)
        return;
    if (sim->options.strategy != STRATEGY_SWARM) {
        machine->content[chunk] = content_id;
        machine->held_chunks++;
        forward_to_children(sim, machine, chunk);
        return;
    }
    uint64_t now_us = sim->now / 1000;
    uint64_t source = event->from == ORIGIN ? SWARM_ORIGIN : sim->machines[event->from].id;
    if (random_unit(&sim->random) < sim->options.faults.corrupt)
        content_id = CORRUPT_CONTENT;
    if (!matches_digest(machine, content_id)) {
        sim->result.chunks_rejected += content_id == CORRUPT_CONTENT;
        if (rollout_sim_is_wanted(machine, event->number))
            swarm_on_failure(machine->swarm, now_us, source, chunk, SWARM_FAILURE_CORRUPT, 0);
        return;
    }
    if (swarm_on_chunk(machine->swarm, now_us, source, chunk))
        machine->content[chunk] = content_id;
    rollout_sim_serve_when_complete(machine);
}

void rollout_sim_on_refuse(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    const struct refusal *refusal = event->payload;
    if (!machine->alive || machine->stalled || !rollout_sim_is_wanted(machine, event->number))
        return;
    uint64_t source = event->from == ORIGIN ? SWARM_ORIGIN : sim->machines[event->from].id;
    swarm_on_failure(machine->swarm, sim->now / 1000, source,
                     rollout_sim_chunk_index(event->number), refusal->failure,
                     refusal->retry_after_us);
}

void rollout_sim_on_update(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    const struct simulated_machine *sender = &sim->machines[event->from];
    const struct update_copy *copy = event->payload;
    bool lost = !machine->alive || machine->stalled || sender->stalled ||
                copy->incarnation != sender->incarnation ||
                !rollout_sim_reachable(sim, event->to, event->from);
    if (lost)
        return;
    rollout_sim_reserve_link(&machine->link, sim->now, UPDATE_BYTES);
    swarm_on_update(machine->swarm, sim->now / 1000, sender->id, &copy->update);
    rollout_sim_serve_when_complete(machine);
}

void rollout_sim_on_tick(struct rollout_sim *sim, const struct event *event)
{
    struct simulated_machine *machine = &sim->machines[event->to];
    if (!machine->alive || machine->stalled || event->number != machine->incarnation)
        return;
    swarm_on_tick(machine->swarm, sim->now / 1000);
    rollout_sim_push(sim, sim->now + sim->options.swarm.announce_us * 1000, EVENT_TICK, event->to,
                     event->to, event->number, NULL);
}

/* ---- baselines ---- */

static void forward_to_children(struct rollout_sim *sim, struct simulated_machine *machine,
                                uint32_t chunk)
{
    bool whole = machine->held_chunks == sim->chunk_count;
    if (whole && !machine->serves) {
        rollout_sim_check_load(machine);
        machine->serves = true;
        sim->serving++;
        sim->serve_times[sim->serve_count++] = sim->now;
    }
    if (sim->options.strategy == STRATEGY_ORIGIN_ONLY)
        return;
    for (uint32_t child = 1; child <= TREE_CHILDREN; child++) {
        uint32_t to = machine->index * TREE_CHILDREN + child;
        if (to >= sim->options.machines)
            continue;
        if (sim->options.strategy == STRATEGY_CHUNKED_TREE)
            rollout_send_chunk(sim, machine->index, to, chunk);
        else if (whole)
            for (uint32_t i = 0; i < sim->chunk_count; i++)
                rollout_send_chunk(sim, machine->index, to, i);
    }
}

/* Sends the next chunk from the origin: to the root of a tree, or to each machine in turn. */
void rollout_sim_send_from_origin(struct rollout_sim *sim)
{
    uint32_t receivers = sim->options.strategy == STRATEGY_ORIGIN_ONLY ? sim->options.machines : 1;
    rollout_send_chunk(sim, ORIGIN, sim->next_receiver, sim->next_origin_chunk);
    if (++sim->next_receiver == receivers) {
        sim->next_receiver = 0;
        sim->next_origin_chunk++;
    }
    if (sim->next_origin_chunk < sim->chunk_count)
        rollout_sim_push(sim, sim->origin.busy_until, EVENT_ORIGIN_SEND, 0, 0, 0, NULL);
}

/**
 * Simulated back ends: engines that make tokens, and a plain service whose calls may not repeat.
 * They outlive the agent beside them.
 */
#include "base/memory.h"
#include "sim/fleet/world.h"

#include <inttypes.h>
#include <string.h>

#define LOCAL_DELAY_US 100
#define STEP_US (20 * MILLISECOND)
#define LEAST_WORK_US (5 * MILLISECOND)
#define WORK_SPREAD_US (60 * MILLISECOND)

static void answer(struct world *world, const struct order *order, enum progress_kind kind,
                   uint64_t offset)
{
    struct progress *progress = memory_calloc(1, sizeof *progress);
    *progress = (struct progress){order->run, kind, offset, order->attempt, order->version};
    world_push(world, LOCAL_DELAY_US, WORLD_BACKEND_ANSWER, order->process, 0, 0, progress);
}

/* The process hands the order to its network: the last moment to find that it is too late. */
void backend_post(struct process *process, struct order *order)
{
    struct world *world = process->world;
    if (world->now > order->deadline) {
        answer(world, order, PROGRESS_REFUSED, 0);
        return;
    }
    world_push(world, LOCAL_DELAY_US, WORLD_RUN, process->machine, 0, 0,
               memory_duplicate(order, sizeof *order));
}

static bool fence_is_old(struct world *world, struct backend *backend, const struct order *order)
{
    if (order->fence.incarnation < backend->newest_incarnation)
        return world->options.fenced;
    backend->newest_incarnation = order->fence.incarnation;
    return false;
}

static void check_leaving(struct world *world, const struct world_machine *machine)
{
    uint64_t since = machine->leaving_since;
    if (since && !machine->excused && world->now > since + CHECKER_DRAIN_LIMIT_US)
        checker_violation(&world->checker, world->now, PROMISE_LEAVING,
                          "%s got work %" PRIu64 " ms after it began to leave",
                          machine->listing.name, (uint64_t)((world->now - since) / MILLISECOND));
}

void backend_run(struct world *world, const struct event *event)
{
    struct world_machine *machine = &world->machines[event->to];
    struct backend *backend = &machine->backend;
    const struct order *order = event->payload;
    char hex[DIGEST_HEX_SIZE];
    bool refused = backend->run_count == WORLD_MAX_RUNS;
    if (order->model)
        refused = refused || !backend->loaded ||
                  strcmp(version_digest(backend->loaded, hex), order->digest) != 0;
    else
        refused = refused || fence_is_old(world, backend, order);
    if (refused) {
        answer(world, order, PROGRESS_REFUSED, 0);
        return;
    }
    check_leaving(world, machine);
    checker_ran(&world->checker, world->now, order->attempt);
    world_trace(world, "run %s attempt %" PRIu64, machine->listing.name, order->attempt);
    struct order *run = &backend->runs[backend->run_count++];
    *run = *order;
    run->version = backend->loaded;
    run->finish_at = world->now + LEAST_WORK_US + random_below(&world->network, WORK_SPREAD_US);
    if (backend->run_count == 1)
        world_push(world, STEP_US, WORLD_STEP, event->to, 0, 0, NULL);
}

/* \return whether the run goes on */
static bool step_run(struct world *world, struct order *run, uint32_t slowness)
{
    if (!run->model) {
        if (world->now < run->finish_at)
            return true;
        answer(world, run, PROGRESS_DONE, 0);
        return false;
    }
    if (run->next_token == WORLD_TOKENS) {
        answer(world, run, PROGRESS_DONE, run->next_token);
        return false;
    }
    if (++run->steps % slowness == 0)
        answer(world, run, PROGRESS_TOKENS, run->next_token++);
    return true;
}

void backend_step(struct world *world, const struct event *event)
{
    struct backend *backend = &world->machines[event->to].backend;
    bool stalled = world->now < backend->stalled_until;
    for (uint32_t i = 0; !stalled && i < backend->run_count;) {
        if (step_run(world, &backend->runs[i], backend->slowness))
            i++;
        else
            backend->runs[i] = backend->runs[--backend->run_count];
    }
    if (backend->run_count)
        world_push(world, STEP_US, WORLD_STEP, event->to, 0, 0, NULL);
}

void backend_cancel(struct process *process, uint64_t run)
{
    struct backend *backend = &process->world->machines[process->machine].backend;
    for (uint32_t i = 0; i < backend->run_count; i++)
        if (backend->runs[i].process == process->index && backend->runs[i].run == run)
            backend->runs[i--] = backend->runs[--backend->run_count];
}

/* Connections of one process, or of all, break; a plain call that began still takes effect. */
void backend_drop(struct world *world, uint32_t machine, uint32_t process, bool tell)
{
    struct backend *backend = &world->machines[machine].backend;
    for (uint32_t i = 0; i < backend->run_count; i++) {
        if (process != NO_PROCESS && backend->runs[i].process != process)
            continue;
        if (tell)
            answer(world, &backend->runs[i], PROGRESS_BROKEN, 0);
        backend->runs[i--] = backend->runs[--backend->run_count];
    }
}

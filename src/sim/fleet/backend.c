/**
 * Simulated back ends: engines that generate tokens, and a plain service whose calls must not be
 * repeated. A back end keeps running when the agent on its machine ends.
 */
#include "base/memory.h"
#include "sim/fleet/world.h"

#include <inttypes.h>
#include <string.h>

#define LOCAL_DELAY_US 100
#define STEP_US (20 * MILLISECOND)
#define SERVICE_TIME_MIN_US (5 * MILLISECOND)
#define SERVICE_TIME_SPREAD_US (60 * MILLISECOND)

static void send_progress(struct world *world, const struct run_request *run_request,
                          enum progress_kind kind, uint64_t offset)
{
    struct progress *progress = memory_calloc(1, sizeof *progress);
    *progress = (struct progress){run_request->run, kind, offset, run_request->attempt,
                                  run_request->version};
    world_push(world, LOCAL_DELAY_US, WORLD_BACKEND_ANSWER, run_request->process, 0, 0, progress);
}

/* Refuses a run whose deadline has passed; this is the last check before it is sent. */
void backend_send(struct process *process, struct run_request *run_request)
{
    struct world *world = process->world;
    if (world->now > run_request->deadline) {
        send_progress(world, run_request, PROGRESS_REFUSED, 0);
        return;
    }
    world_push(world, LOCAL_DELAY_US, WORLD_RUN, process->machine, 0, 0,
               memory_duplicate(run_request, sizeof *run_request));
}

static bool is_stale_fence(struct world *world, struct backend *backend,
                           const struct run_request *run_request)
{
    if (run_request->fence.incarnation < backend->newest_incarnation)
        return world->options.fenced;
    backend->newest_incarnation = run_request->fence.incarnation;
    return false;
}

static void check_drain_limit(struct world *world, const struct world_machine *machine)
{
    uint64_t since = machine->leaving_since;
    if (since && !machine->exempt && world->now > since + CHECKER_DRAIN_LIMIT_US)
        checker_violation(&world->checker, world->now, INVARIANT_LEAVING,
                          "%s got work %" PRIu64 " ms after it began to leave",
                          machine->listing.name, (uint64_t)((world->now - since) / MILLISECOND));
}

void backend_run(struct world *world, const struct event *event)
{
    struct world_machine *machine = &world->machines[event->to];
    struct backend *backend = &machine->backend;
    const struct run_request *run_request = event->payload;
    char hex[DIGEST_HEX_SIZE];
    bool refused = backend->run_count == WORLD_MAX_RUNS;
    if (run_request->model)
        refused = refused || !backend->loaded ||
                  strcmp(version_digest(backend->loaded, hex), run_request->digest) != 0;
    else
        refused = refused || is_stale_fence(world, backend, run_request);
    if (refused) {
        send_progress(world, run_request, PROGRESS_REFUSED, 0);
        return;
    }
    check_drain_limit(world, machine);
    checker_run_started(&world->checker, world->now, run_request->attempt);
    world_trace(world, "run %s attempt %" PRIu64, machine->listing.name, run_request->attempt);
    struct run_request *run = &backend->runs[backend->run_count++];
    *run = *run_request;
    run->version = backend->loaded;
    run->finish_at =
        world->now + SERVICE_TIME_MIN_US + random_below(&world->network, SERVICE_TIME_SPREAD_US);
    if (backend->run_count == 1)
        world_push(world, STEP_US, WORLD_STEP, event->to, 0, 0, NULL);
}

/* \return whether the run continues */
static bool step_run(struct world *world, struct run_request *run, uint32_t steps_per_token)
{
    if (!run->model) {
        if (world->now < run->finish_at)
            return true;
        send_progress(world, run, PROGRESS_DONE, 0);
        return false;
    }
    if (run->next_token == WORLD_TOKENS) {
        send_progress(world, run, PROGRESS_DONE, run->next_token);
        return false;
    }
    if (++run->steps % steps_per_token == 0)
        send_progress(world, run, PROGRESS_TOKENS, run->next_token++);
    return true;
}

void backend_step(struct world *world, const struct event *event)
{
    struct backend *backend = &world->machines[event->to].backend;
    bool stalled = world->now < backend->stalled_until;
    for (uint32_t i = 0; !stalled && i < backend->run_count;) {
        if (step_run(world, &backend->runs[i], backend->steps_per_token))
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

/*
 * Closes the connections of one process, or of all with NO_PROCESS. A plain call that has begun
 * still takes effect.
 */
void backend_close_connections(struct world *world, uint32_t machine, uint32_t process, bool notify)
{
    struct backend *backend = &world->machines[machine].backend;
    for (uint32_t i = 0; i < backend->run_count; i++) {
        if (process != NO_PROCESS && backend->runs[i].process != process)
            continue;
        if (notify)
            send_progress(world, &backend->runs[i], PROGRESS_BROKEN, 0);
        backend->runs[i--] = backend->runs[--backend->run_count];
    }
}

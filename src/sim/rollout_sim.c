#include "sim/rollout_sim.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/random.h"
#include "sim/event_queue.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NANOSECOND 1e9
#define ORIGIN UINT32_MAX
#define REQUEST_BYTES 180     /* an HTTP request for a chunk and the head of its answer */
#define UPDATE_BYTES 90       /* an update without have-sets */
#define CHUNK_INDEX_BYTES 2   /* of one chunk number in an update */
#define LIST_LAG_SECONDS 10.0 /* deaths show in the machine list after so long */
#define LIST_STEP_SECONDS 5.0 /* and in steps of so long */
#define RESTART_SECONDS 5.0
#define PAUSE_LEAST_SECONDS 2.0
#define PAUSE_SPREAD_SECONDS 30.0
#define SHUFFLE_SECONDS 2.0       /* a message comes later by up to so much */
#define CONFIG_SPREAD_SECONDS 2.0 /* a new configuration reaches machines within this time */
#define ORIGIN_QUEUE_CHUNKS 64    /* reads that the origin lets wait */
#define TREE_CHILDREN 2

enum event_type {
    EVENT_TICK,    /* of machine `to` */
    EVENT_REQUEST, /* `from` asks `to` for chunk `number` */
    EVENT_DELIVER, /* the last byte reaches the link of `to` */
    EVENT_ARRIVE,  /* the chunk is through the link of `to` */
    EVENT_REFUSE,  /* `from` refused `to`; payload tells why */
    EVENT_UPDATE,  /* payload is a copy of an update */
    EVENT_DIE,
    EVENT_RESTART, /* `to` dies and comes back empty */
    EVENT_RETURN,
    EVENT_STALL,
    EVENT_PAUSE,
    EVENT_CHANGE, /* `to` learns of the new version */
    EVENT_LIST,   /* the machine list shows who is dead */
    EVENT_ORIGIN_DOWN,
    EVENT_ORIGIN_UP,
    EVENT_PART,
    EVENT_HEAL,
    EVENT_FEED, /* the origin sends the next chunk (baselines) */
};

/*
 * A chunk's bytes are named as a digest would: the version and the place. What two versions share
 * has one name.
 */
#define NAME_VERSION_SHIFT 20
#define NO_CONTENT UINT32_MAX
#define CORRUPT_CONTENT (UINT32_MAX - 1)

struct refusal {
    enum swarm_failure failure;
    uint64_t retry_after_us;
};

struct update_copy {
    struct swarm_update update;
    uint32_t incarnation; /* of the sender */
    uint64_t words[];     /* the bitmap, then the chunk numbers */
};

struct link {
    uint64_t busy_until; /* nanoseconds */
    double nanoseconds_per_byte;
};

struct machine_sim {
    struct rollout_sim *sim;
    struct link link;
    struct swarm *swarm;
    uint64_t id;
    uint32_t index;
    uint16_t zone;
    uint16_t region;
    uint32_t version;     /* that it was told to get; 0 or 1 */
    uint32_t incarnation; /* grows with restarts */
    uint32_t uploads;     /* queued or running */
    uint64_t paused_until;
    bool alive;
    bool stalled;
    bool listed;
    bool serves;       /* the newest version */
    uint32_t held;     /* chunks, of the baselines only */
    uint32_t *content; /* name of the bytes at each place: the checker's own account */
    uint64_t control_bytes;
};

struct rollout_sim {
    struct rollout_options options;
    struct event_queue queue;
    struct random_stream random;
    uint64_t now; /* nanoseconds */
    uint32_t chunk_count;
    struct machine_sim *machines;
    struct link origin;
    bool origin_down;
    bool parted;
    struct swarm_plan *plans[2]; /* by version */
    uint32_t newest;
    uint32_t serving;
    uint64_t *serve_times; /* sorted by nature of time */
    uint32_t serve_count;
    uint32_t feed_machine;
    uint32_t feed_chunk;
    struct rollout_result result;
};

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

static double machine_bytes_per_second(const struct rollout_options *options)
{
    return options->machine_copies_per_window * (double)options->model_bytes /
           options->window_seconds;
}

static double origin_bytes_per_second(const struct rollout_options *options)
{
    return options->origin_copies_per_window * (double)options->model_bytes /
           options->window_seconds;
}

struct swarm_settings rollout_swarm_settings(const struct rollout_options *options)
{
    double chunk_us = (double)options->chunk_bytes / machine_bytes_per_second(options) * 1e6;
    double copy_us = (double)options->model_bytes / origin_bytes_per_second(options) * 1e6;
    struct swarm_settings settings = {
        .origin_budget = 1,
        .download_window = 6,
        .peer_window = 2,
        .upload_limit = 4,
        .neighbours = 10,
        .announce_us = (uint64_t)(chunk_us * 4 > 200000 ? chunk_us * 4 : 200000),
        .silence_us = 5000000,
        .chunk_timeout_us = (uint64_t)(chunk_us * 64 > 2000000 ? chunk_us * 64 : 2000000),
        .busy_backoff_us = (uint64_t)chunk_us,
        .origin_copy_us = (uint64_t)(copy_us * 1.2),
        .origin_step_us = (uint64_t)(chunk_us * 64 > 2000000 ? chunk_us * 64 : 2000000),
        .join_hold_us = 0,
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

/* ---- links ---- */

static uint64_t seconds(double value)
{
    return (uint64_t)(value * NANOSECOND);
}

static uint64_t use_link(struct link *link, uint64_t now, uint64_t bytes)
{
    uint64_t start = link->busy_until > now ? link->busy_until : now;
    link->busy_until = start + (uint64_t)((double)bytes * link->nanoseconds_per_byte);
    return link->busy_until;
}

static uint64_t chunk_length(const struct rollout_sim *sim, uint32_t chunk)
{
    uint64_t start = (uint64_t)chunk * sim->options.chunk_bytes;
    uint64_t left = sim->options.model_bytes - start;
    return left < sim->options.chunk_bytes ? left : sim->options.chunk_bytes;
}

static uint64_t delay_between(const struct rollout_sim *sim, uint32_t left, uint32_t right)
{
    if (left == ORIGIN || right == ORIGIN)
        return seconds(sim->options.region_delay_seconds);
    const struct machine_sim *a = &sim->machines[left];
    const struct machine_sim *b = &sim->machines[right];
    if (a->region != b->region)
        return seconds(sim->options.region_delay_seconds);
    return a->zone != b->zone ? seconds(sim->options.zone_delay_seconds) : 0;
}

/* While regions are parted, the origin is with region 0 and each region stands alone... except
 * that the side of the origin is one: regions 1 and up have lost it. */
static bool reachable(const struct rollout_sim *sim, uint32_t left, uint32_t right)
{
    if (!sim->parted || left == ORIGIN || right == ORIGIN)
        return true;
    return (sim->machines[left].region == 0) == (sim->machines[right].region == 0);
}

static struct machine_sim *find_machine(struct rollout_sim *sim, uint64_t id)
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

static void push(struct rollout_sim *sim, uint64_t time, enum event_type type, uint32_t to,
                 uint32_t from, uint32_t number, void *payload)
{
    event_queue_push(&sim->queue, (struct event){.time = time,
                                                 .type = type,
                                                 .to = to,
                                                 .from = from,
                                                 .number = number,
                                                 .payload = payload});
}

static void pay_control(struct machine_sim *machine, uint64_t bytes)
{
    use_link(&machine->link, machine->sim->now, bytes);
    machine->control_bytes += bytes;
}

/* ---- driver of one machine's swarm ---- */

static uint32_t content_name(const struct rollout_sim *sim, uint32_t version, uint32_t chunk)
{
    uint32_t shared = (uint32_t)(sim->options.faults.shared * sim->chunk_count);
    return chunk < shared ? chunk : version << NAME_VERSION_SHIFT | chunk;
}

static uint32_t chunk_of(uint32_t name)
{
    return name & ((1U << NAME_VERSION_SHIFT) - 1);
}

/* Whether bytes of this name belong to the version that a machine holds or gets. */
static bool is_wanted(const struct machine_sim *machine, uint32_t name)
{
    return content_name(machine->sim, machine->version, chunk_of(name)) == name;
}

static void on_fetch(void *context, uint64_t source, uint32_t chunk)
{
    struct machine_sim *machine = context;
    struct rollout_sim *sim = machine->sim;
    uint32_t from = source == SWARM_ORIGIN ? ORIGIN : find_machine(sim, source)->index;
    pay_control(machine, REQUEST_BYTES);
    push(sim, sim->now + delay_between(sim, machine->index, from), EVENT_REQUEST, from,
         machine->index, content_name(sim, machine->version, chunk), NULL);
}

static void on_cancel(void *context, uint64_t source, uint32_t chunk)
{
    /* Bytes that are under way arrive all the same: the link has taken them. */
}

static void on_announce(void *context, uint64_t peer, const struct swarm_update *update)
{
    struct machine_sim *machine = context;
    struct rollout_sim *sim = machine->sim;
    uint32_t to = find_machine(sim, peer)->index;
    size_t set_bytes = update->have_words * sizeof(uint64_t);
    size_t list_bytes = update->new_count * sizeof(uint32_t);
    struct update_copy *copy = memory_zero(1, sizeof *copy + set_bytes + list_bytes);
    copy->update = *update;
    copy->incarnation = machine->incarnation;
    if (update->have_all) {
        memcpy(copy->words, update->have_all, set_bytes);
        copy->update.have_all = copy->words;
    }
    copy->update.have_new = (uint32_t *)(copy->words + update->have_words);
    if (list_bytes)
        memcpy(copy->words + update->have_words, update->have_new, list_bytes);
    pay_control(machine, UPDATE_BYTES + set_bytes + update->new_count * CHUNK_INDEX_BYTES);
    push(sim, sim->now + delay_between(sim, machine->index, to), EVENT_UPDATE, to, machine->index,
         0, copy);
}

static uint64_t rollout_key(uint32_t version)
{
    return hash_pair(1, version);
}

static void create_swarm(struct machine_sim *machine, uint64_t join_hold_us)
{
    struct rollout_sim *sim = machine->sim;
    struct swarm_driver driver = {machine, on_fetch, on_cancel, on_announce};
    struct swarm_settings settings = sim->options.swarm;
    settings.join_hold_us = join_hold_us;
    uint64_t seed = hash_pair(sim->options.seed, hash_pair(machine->id, machine->incarnation));
    machine->swarm = swarm_create(&settings, machine->id, rollout_key(machine->version),
                                  sim->chunk_count, seed, &driver);
    for (uint32_t chunk = 0; chunk < sim->chunk_count; chunk++)
        if (machine->content[chunk] == content_name(sim, machine->version, chunk))
            swarm_hold(machine->swarm, chunk);
}

static struct swarm_plan *plan_of(struct rollout_sim *sim, uint32_t version)
{
    if (sim->plans[version])
        return sim->plans[version];
    struct member *members = memory_zero(sim->options.machines, sizeof *members);
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim->options.machines; i++) {
        const struct machine_sim *machine = &sim->machines[i];
        if (machine->listed)
            members[count++] = (struct member){machine->id, machine->zone, machine->region};
    }
    sim->plans[version] = swarm_plan_create(rollout_key(version), sim->chunk_count, members, count);
    free(members);
    return sim->plans[version];
}

/* ---- serving ---- */

/* The checker's own account: every place holds the right bytes of one version, the newest. */
static void check_load(struct machine_sim *machine)
{
    struct rollout_sim *sim = machine->sim;
    bool whole = true;
    for (uint32_t chunk = 0; chunk < sim->chunk_count; chunk++)
        whole = whole && machine->content[chunk] == content_name(sim, sim->newest, chunk);
    if (!whole)
        sim->result.violations++;
}

static bool ready_to_load(const struct machine_sim *machine)
{
    if (machine->sim->options.mutation == ROLLOUT_MUTATION_LOAD_EARLY)
        return swarm_held_count(machine->swarm) + 1 >= machine->sim->chunk_count;
    return swarm_complete(machine->swarm);
}

static void serve_when_complete(struct machine_sim *machine)
{
    struct rollout_sim *sim = machine->sim;
    if (machine->serves || machine->version != sim->newest || !ready_to_load(machine))
        return;
    check_load(machine);
    machine->serves = true;
    sim->serving++;
    sim->serve_times[sim->serve_count++] = sim->now;
}

static void stop_serving(struct machine_sim *machine)
{
    if (machine->serves)
        machine->sim->serving--;
    machine->serves = false;
}

/* ---- events of transfers ---- */

static void refuse(struct rollout_sim *sim, uint32_t to, uint32_t from, uint32_t name,
                   enum swarm_failure failure, uint64_t retry_after_us)
{
    struct refusal *refusal = memory_zero(1, sizeof *refusal);
    *refusal = (struct refusal){failure, retry_after_us};
    push(sim, sim->now + delay_between(sim, to, from), EVENT_REFUSE, to, from, name, refusal);
}

static void send_chunk(struct rollout_sim *sim, uint32_t from, uint32_t to, uint32_t name)
{
    uint64_t bytes = chunk_length(sim, chunk_of(name));
    struct link *link = from == ORIGIN ? &sim->origin : &sim->machines[from].link;
    uint64_t sent = use_link(link, sim->now, bytes);
    if (from == ORIGIN)
        sim->result.origin_bytes += bytes;
    else
        sim->result.peer_bytes += bytes;
    if (from == ORIGIN && name >> NAME_VERSION_SHIFT)
        sim->result.origin_bytes_newest += bytes;
    push(sim, sent + delay_between(sim, from, to), EVENT_DELIVER, to, from, name, NULL);
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
        send_chunk(sim, ORIGIN, event->from, event->number);
}

static void on_request(struct rollout_sim *sim, const struct event *event)
{
    if (event->to == ORIGIN) {
        on_origin_request(sim, event);
        return;
    }
    struct machine_sim *machine = &sim->machines[event->to];
    if (!machine->alive || machine->stalled || !reachable(sim, event->to, event->from))
        return; /* no answer: the asker's timeout ends it */
    pay_control(machine, REQUEST_BYTES);
    if (!is_wanted(machine, event->number)) {
        refuse(sim, event->from, event->to, event->number, SWARM_FAILURE_ABSENT, 0);
        return;
    }
    enum swarm_upload verdict =
        swarm_admit_upload(machine->swarm, chunk_of(event->number), machine->uploads);
    if (verdict == SWARM_UPLOAD_SERVE) {
        machine->uploads++;
        swarm_set_upload_queue(machine->swarm, machine->uploads);
        send_chunk(sim, event->to, event->from, event->number);
    } else {
        static const enum swarm_failure failures[] = {SWARM_FAILURE_ERROR, SWARM_FAILURE_BUSY,
                                                      SWARM_FAILURE_PENDING, SWARM_FAILURE_ABSENT};
        refuse(sim, event->from, event->to, event->number, failures[verdict], 0);
    }
}

static void end_upload(struct rollout_sim *sim, uint32_t from)
{
    if (from == ORIGIN || !sim->machines[from].uploads)
        return;
    struct machine_sim *machine = &sim->machines[from];
    machine->uploads--;
    if (machine->swarm)
        swarm_set_upload_queue(machine->swarm, machine->uploads);
}

static bool sender_failed(const struct rollout_sim *sim, const struct event *event)
{
    if (event->from == ORIGIN)
        return sim->origin_down;
    const struct machine_sim *sender = &sim->machines[event->from];
    return !sender->alive || sender->stalled;
}

static void on_deliver(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    bool failed = sender_failed(sim, event);
    end_upload(sim, event->from);
    if (!machine->alive || machine->stalled || failed || !reachable(sim, event->to, event->from))
        return;
    uint64_t through =
        use_link(&machine->link, sim->now, chunk_length(sim, chunk_of(event->number)));
    push(sim, through, EVENT_ARRIVE, event->to, event->from, event->number, NULL);
}

static void pass_down_tree(struct rollout_sim *sim, struct machine_sim *machine, uint32_t chunk);

/* Bytes of a rollout that is over, or that arrived wrong: told by their digest. */
static bool passes_digest(const struct machine_sim *machine, uint32_t name)
{
    if (machine->sim->options.mutation == ROLLOUT_MUTATION_IGNORE_DIGEST)
        return true;
    return name != CORRUPT_CONTENT && is_wanted(machine, name);
}

static void on_arrive(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    uint32_t chunk = chunk_of(event->number);
    uint32_t name = event->number;
    if (!machine->alive || machine->stalled)
        return;
    if (sim->options.strategy != STRATEGY_SWARM) {
        machine->content[chunk] = name;
        machine->held++;
        pass_down_tree(sim, machine, chunk);
        return;
    }
    uint64_t now_us = sim->now / 1000;
    uint64_t source = event->from == ORIGIN ? SWARM_ORIGIN : sim->machines[event->from].id;
    if (random_unit(&sim->random) < sim->options.faults.corrupt)
        name = CORRUPT_CONTENT;
    if (!passes_digest(machine, name)) {
        sim->result.chunks_rejected += name == CORRUPT_CONTENT;
        if (is_wanted(machine, event->number))
            swarm_on_failure(machine->swarm, now_us, source, chunk, SWARM_FAILURE_CORRUPT, 0);
        return;
    }
    if (swarm_on_chunk(machine->swarm, now_us, source, chunk))
        machine->content[chunk] = name;
    serve_when_complete(machine);
}

static void on_refuse(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    const struct refusal *refusal = event->payload;
    if (!machine->alive || machine->stalled || !is_wanted(machine, event->number))
        return;
    uint64_t source = event->from == ORIGIN ? SWARM_ORIGIN : sim->machines[event->from].id;
    swarm_on_failure(machine->swarm, sim->now / 1000, source, chunk_of(event->number),
                     refusal->failure, refusal->retry_after_us);
}

static void on_update(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    const struct machine_sim *sender = &sim->machines[event->from];
    const struct update_copy *copy = event->payload;
    bool lost = !machine->alive || machine->stalled || sender->stalled ||
                copy->incarnation != sender->incarnation || !reachable(sim, event->to, event->from);
    if (lost)
        return;
    use_link(&machine->link, sim->now, UPDATE_BYTES);
    swarm_on_update(machine->swarm, sim->now / 1000, sender->id, &copy->update);
    serve_when_complete(machine);
}

static void on_tick(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    if (!machine->alive || machine->stalled || event->number != machine->incarnation)
        return;
    swarm_on_tick(machine->swarm, sim->now / 1000);
    push(sim, sim->now + sim->options.swarm.announce_us * 1000, EVENT_TICK, event->to, event->to,
         event->number, NULL);
}

/* ---- events of faults ---- */

static void start_machine(struct machine_sim *machine, uint64_t join_hold_us)
{
    struct rollout_sim *sim = machine->sim;
    create_swarm(machine, join_hold_us);
    swarm_set_plan(machine->swarm, sim->now / 1000, plan_of(sim, machine->version));
    uint64_t announce_ns = sim->options.swarm.announce_us * 1000;
    push(sim, sim->now + random_below(&sim->random, announce_ns), EVENT_TICK, machine->index,
         machine->index, machine->incarnation, NULL);
}

static void stop_machine(struct machine_sim *machine)
{
    stop_serving(machine);
    machine->alive = false;
    machine->uploads = 0;
    swarm_destroy(machine->swarm);
    machine->swarm = NULL;
}

static void empty_content(struct machine_sim *machine)
{
    for (uint32_t chunk = 0; chunk < machine->sim->chunk_count; chunk++)
        machine->content[chunk] = NO_CONTENT;
}

static void on_return(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    machine->alive = true;
    machine->version = sim->newest;
    machine->incarnation++;
    empty_content(machine);
    start_machine(machine, 2 * sim->options.swarm.announce_us);
}

/* The new version shares the first chunks with the old one, by digest. */
static void on_change(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    if (sim->newest == 0) {
        sim->newest = 1;
        for (uint32_t i = 0; i < sim->options.machines; i++)
            stop_serving(&sim->machines[i]);
        sim->serve_count = 0;
    }
    if (!machine->alive || machine->stalled || machine->version == 1)
        return;
    machine->version = 1;
    machine->incarnation++;
    swarm_destroy(machine->swarm);
    start_machine(machine, 0);
}

static void on_list(struct rollout_sim *sim)
{
    bool changed = false;
    for (uint32_t i = 0; i < sim->options.machines; i++) {
        struct machine_sim *machine = &sim->machines[i];
        bool here = machine->alive && !machine->stalled;
        changed = changed || machine->listed != here;
        machine->listed = here;
    }
    if (changed) {
        for (uint32_t version = 0; version < 2; version++) {
            swarm_plan_release(sim->plans[version]);
            sim->plans[version] = NULL;
        }
        for (uint32_t i = 0; i < sim->options.machines; i++) {
            struct machine_sim *machine = &sim->machines[i];
            if (machine->alive && !machine->stalled)
                swarm_set_plan(machine->swarm, sim->now / 1000, plan_of(sim, machine->version));
        }
    }
    push(sim, sim->now + seconds(LIST_STEP_SECONDS), EVENT_LIST, 0, 0, 0, NULL);
}

static void kill_machine(struct rollout_sim *sim, const struct event *event, bool returns)
{
    struct machine_sim *machine = &sim->machines[event->to];
    if (!machine->alive || machine->stalled)
        return;
    stop_machine(machine);
    if (returns)
        push(sim, sim->now + seconds(RESTART_SECONDS), EVENT_RETURN, event->to, event->to, 0, NULL);
}

static void stall_machine(struct rollout_sim *sim, const struct event *event)
{
    struct machine_sim *machine = &sim->machines[event->to];
    if (!machine->alive)
        return;
    machine->stalled = true;
    stop_serving(machine);
}

/* ---- baselines ---- */

static void pass_down_tree(struct rollout_sim *sim, struct machine_sim *machine, uint32_t chunk)
{
    bool whole = machine->held == sim->chunk_count;
    if (whole && !machine->serves) {
        check_load(machine);
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
            send_chunk(sim, machine->index, to, chunk);
        else if (whole)
            for (uint32_t i = 0; i < sim->chunk_count; i++)
                send_chunk(sim, machine->index, to, i);
    }
}

/* The origin sends chunk after chunk: to the root of a tree, or to every machine in turn. */
static void on_feed(struct rollout_sim *sim)
{
    uint32_t receivers = sim->options.strategy == STRATEGY_ORIGIN_ONLY ? sim->options.machines : 1;
    send_chunk(sim, ORIGIN, sim->feed_machine, sim->feed_chunk);
    if (++sim->feed_machine == receivers) {
        sim->feed_machine = 0;
        sim->feed_chunk++;
    }
    if (sim->feed_chunk < sim->chunk_count)
        push(sim, sim->origin.busy_until, EVENT_FEED, 0, 0, 0, NULL);
}

/* ---- setting up ---- */

static int compare_ids(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;
    return a < b ? -1 : a > b;
}

static void create_machines(struct rollout_sim *sim)
{
    const struct rollout_options *options = &sim->options;
    uint64_t *ids = memory_zero(options->machines, sizeof *ids);
    for (uint32_t i = 0; i < options->machines; i++)
        ids[i] = hash_pair(0x6d616368, i);
    qsort(ids, options->machines, sizeof *ids, compare_ids);
    sim->machines = memory_zero(options->machines, sizeof *sim->machines);
    sim->serve_times = memory_zero(options->machines + 1, sizeof *sim->serve_times);
    for (uint32_t i = 0; i < options->machines; i++) {
        struct machine_sim *machine = &sim->machines[i];
        machine->sim = sim;
        machine->id = ids[i];
        machine->index = i;
        machine->zone = (uint16_t)(i % options->zones);
        machine->region = (uint16_t)(machine->zone % options->regions);
        machine->alive = true;
        machine->listed = true;
        machine->link.nanoseconds_per_byte = NANOSECOND / machine_bytes_per_second(options);
        machine->content = memory_zero(sim->chunk_count, sizeof *machine->content);
        empty_content(machine);
    }
    free(ids);
}

/* A share of the machines, each once and at a random moment of the window. */
static void schedule_on_machines(struct rollout_sim *sim, double share, enum event_type type)
{
    uint32_t count = (uint32_t)(share * sim->options.machines);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t machine = (uint32_t)random_below(&sim->random, sim->options.machines);
        double at = random_unit(&sim->random) * sim->options.window_seconds;
        push(sim, seconds(at), type, machine, machine, 0, NULL);
    }
}

static void schedule_span(struct rollout_sim *sim, double share, enum event_type begin,
                          enum event_type end)
{
    if (share <= 0)
        return;
    double window = sim->options.window_seconds;
    double at = random_unit(&sim->random) * window * (1 - share);
    push(sim, seconds(at), begin, 0, 0, 0, NULL);
    push(sim, seconds(at + share * window), end, 0, 0, 0, NULL);
}

static void schedule_faults(struct rollout_sim *sim)
{
    const struct rollout_faults *faults = &sim->options.faults;
    schedule_on_machines(sim, faults->die, EVENT_DIE);
    schedule_on_machines(sim, faults->restart, EVENT_RESTART);
    schedule_on_machines(sim, faults->stall, EVENT_STALL);
    schedule_on_machines(sim, faults->pause, EVENT_PAUSE);
    schedule_span(sim, faults->origin_down, EVENT_ORIGIN_DOWN, EVENT_ORIGIN_UP);
    schedule_span(sim, faults->part, EVENT_PART, EVENT_HEAL);
    if (faults->change > 0)
        for (uint32_t i = 0; i < sim->options.machines; i++) {
            double at = faults->change * sim->options.window_seconds +
                        random_unit(&sim->random) * CONFIG_SPREAD_SECONDS;
            push(sim, seconds(at), EVENT_CHANGE, i, i, 0, NULL);
        }
    push(sim, seconds(LIST_LAG_SECONDS), EVENT_LIST, 0, 0, 0, NULL);
}

/* ---- running ---- */

static uint64_t pause_length(struct rollout_sim *sim)
{
    return seconds(PAUSE_LEAST_SECONDS + random_unit(&sim->random) * PAUSE_SPREAD_SECONDS);
}

static bool is_message(uint32_t type)
{
    return type == EVENT_REQUEST || type == EVENT_ARRIVE || type == EVENT_REFUSE ||
           type == EVENT_UPDATE;
}

/* \return whether the event was put off, since its machine stands still */
static bool put_off(struct rollout_sim *sim, const struct event *event)
{
    if (event->to == ORIGIN || event->type > EVENT_CHANGE || event->type == EVENT_DIE)
        return false;
    uint64_t until = sim->machines[event->to].paused_until;
    if (sim->now >= until)
        return false;
    push(sim, until, (enum event_type)event->type, event->to, event->from, event->number,
         event->payload);
    return true;
}

static void *copy_payload(const struct event *event)
{
    if (event->type == EVENT_REFUSE)
        return memory_copy(event->payload, sizeof(struct refusal));
    if (event->type != EVENT_UPDATE)
        return NULL;
    const struct update_copy *update = event->payload;
    size_t size = sizeof *update + update->update.have_words * sizeof(uint64_t) +
                  update->update.new_count * sizeof(uint32_t);
    struct update_copy *copy = memory_copy(update, size);
    if (copy->update.have_all)
        copy->update.have_all = copy->words;
    copy->update.have_new = (uint32_t *)(copy->words + copy->update.have_words);
    return copy;
}

/* A message is told to come later, or to come a second time. \return whether it is gone for now */
static bool shuffled(struct rollout_sim *sim, const struct event *event)
{
    if (!is_message(event->type) || event->shuffled)
        return false;
    if (random_unit(&sim->random) >= sim->options.faults.shuffle)
        return false;
    struct event later = *event;
    bool twice = random_below(&sim->random, 2) == 0;
    later.shuffled = true;
    later.time = sim->now + random_below(&sim->random, seconds(SHUFFLE_SECONDS));
    if (twice)
        later.payload = copy_payload(event);
    event_queue_push(&sim->queue, later);
    return !twice;
}

static void handle(struct rollout_sim *sim, const struct event *event)
{
    switch ((enum event_type)event->type) {
    case EVENT_TICK:
        on_tick(sim, event);
        break;
    case EVENT_REQUEST:
        on_request(sim, event);
        break;
    case EVENT_DELIVER:
        on_deliver(sim, event);
        break;
    case EVENT_ARRIVE:
        on_arrive(sim, event);
        break;
    case EVENT_REFUSE:
        on_refuse(sim, event);
        break;
    case EVENT_UPDATE:
        on_update(sim, event);
        break;
    case EVENT_DIE:
        kill_machine(sim, event, false);
        break;
    case EVENT_RESTART:
        kill_machine(sim, event, true);
        break;
    case EVENT_RETURN:
        on_return(sim, event);
        break;
    case EVENT_STALL:
        stall_machine(sim, event);
        break;
    case EVENT_PAUSE:
        sim->machines[event->to].paused_until = sim->now + pause_length(sim);
        break;
    case EVENT_CHANGE:
        on_change(sim, event);
        break;
    case EVENT_LIST:
        on_list(sim);
        break;
    case EVENT_ORIGIN_DOWN:
        sim->origin_down = true;
        break;
    case EVENT_ORIGIN_UP:
        sim->origin_down = false;
        break;
    case EVENT_PART:
        sim->parted = true;
        break;
    case EVENT_HEAL:
        sim->parted = false;
        break;
    case EVENT_FEED:
        on_feed(sim);
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
               faults->change > 0 || faults->part > 0 || faults->origin_down > 0;
    double end = sim->options.window_seconds + RESTART_SECONDS + CONFIG_SPREAD_SECONDS;
    return !any || sim->now > seconds(end);
}

static void run(struct rollout_sim *sim)
{
    uint64_t limit = seconds(sim->options.limit_windows * sim->options.window_seconds);
    struct event event;
    uint32_t survivors = sim->options.machines;
    while (event_queue_pop(&sim->queue, &event)) {
        sim->now = event.time;
        sim->result.events++;
        if (put_off(sim, &event) || shuffled(sim, &event))
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
    sim->result.reason = "nothing more happens";
}

static void sum_up(struct rollout_sim *sim)
{
    struct rollout_result *result = &sim->result;
    uint64_t control = 0;
    uint64_t greatest = 0;
    double elapsed = (double)sim->now / NANOSECOND;
    result->survivors = count_survivors(sim);
    result->serving = sim->serving;
    result->lower_bound_seconds = rollout_lower_bound(&sim->options);
    if (sim->serve_count)
        result->time_to_half_seconds =
            (double)sim->serve_times[(sim->serve_count - 1) / 2] / NANOSECOND;
    if (result->finished && sim->serve_count)
        result->time_to_n_seconds = (double)sim->serve_times[sim->serve_count - 1] / NANOSECOND;
    for (uint32_t i = 0; i < sim->options.machines; i++) {
        const struct machine_sim *machine = &sim->machines[i];
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
        result->greatest_control_bytes_per_second = (double)greatest / elapsed;
    }
}

struct rollout_result rollout_simulate(const struct rollout_options *options)
{
    struct rollout_sim sim = {.options = *options, .random = {.seed = options->seed}};
    sim.result.reason = "";
    sim.chunk_count = (uint32_t)((options->model_bytes - 1) / options->chunk_bytes + 1);
    sim.origin.nanoseconds_per_byte = NANOSECOND / origin_bytes_per_second(options);
    create_machines(&sim);
    if (options->strategy == STRATEGY_SWARM) {
        schedule_faults(&sim);
        for (uint32_t i = 0; i < options->machines; i++)
            start_machine(&sim.machines[i], 0);
    } else {
        push(&sim, 0, EVENT_FEED, 0, 0, 0, NULL);
    }
    run(&sim);
    sum_up(&sim);
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

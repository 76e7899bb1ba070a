/*
 * Compares rules of verdicts in virtual time, by hand: engines, streams that all clients share, and
 * requests that crash each engine which runs them, with the product's own table, leases and holds.
 * All gateways are taken for one that learns of each crash after 20 ms. Prints figures, checks
 * nothing.
 *
 * usage: crash_world [WORLDS [ENGINES [CRASHERS [ENGINE_CRASHES_PER_S]]]]
 */
#include "core/crash/crash_table.h"
#include "core/hash.h"
#include "core/random.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS ((uint64_t)1000)
#define SECOND_US ((uint64_t)1000000)
#define STEP_US (10 * MS)
#define BEGIN_US (1000 * SECOND_US)
#define LENGTH_US (22 * SECOND_US)
#define MAX_ENGINES 12
#define MAX_CRASHERS 8
#define MAX_RUNS 4000
/** Names: crashers from 0 on, shared streams, and streams that occur once. */
#define FIRST_SHARED 100
#define SHARED_STREAMS 4
#define FIRST_SINGLE 1000
#define SHARED_PER_S 1.2 /* of each name */
#define SINGLE_PER_S 8.0
#define CRASHER_REPEAT_US (200 * MS)
#define CRASHER_FOR_US (9 * SECOND_US)
#define MAX_CRASH_TIME_S 2.0
#define RESTART_US SECOND_US
#define DETECTION_US (20 * MS)
/** Runs of a crasher later than this after its third crash are late. */
#define LATE_US (3 * SECOND_US)

struct engine {
    uint64_t key;
    uint64_t incarnation;
    uint64_t up_at; /* while it is down: time of its restart */
    bool up;
    bool crashes_now;
};

struct crasher {
    uint64_t begins_at;
    uint64_t next_at;
    uint64_t crash_after_us;
    uint64_t third_crash_at; /* 0: not yet */
    uint32_t crashes;
};

/* One attempt of a caller. */
struct run {
    bool active;
    bool running; /* else it waits for an engine */
    bool resumed;
    uint32_t name;
    uint32_t attempt;
    uint32_t engine;
    uint64_t began_at;
    uint64_t ends_at;
    uint64_t left_us;
    uint64_t crashes_at; /* 0: never */
    uint64_t deadline_at;
};

struct figures {
    uint64_t crashes; /* of engines, under crashers */
    uint64_t late;
    uint64_t late_worlds;
    uint64_t refused; /* shared streams, as if they crashed engines */
    uint64_t refused_worlds;
    uint64_t held; /* the same, for a time */
    uint64_t served;
};

struct world {
    struct random_stream random;
    struct crash_table *table;
    struct engine engines[MAX_ENGINES];
    struct crasher crashers[MAX_CRASHERS];
    struct run runs[MAX_RUNS];
    uint32_t engine_count;
    uint32_t crasher_count;
    double engine_crashes_per_s;
    uint32_t attempts;
    uint64_t incarnations;
    uint64_t now;
    struct figures figures;
};

static struct request_identity identity_of(uint32_t name)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &name, sizeof name);
    return identity;
}

static bool happens(struct world *world, double per_s)
{
    return random_unit(&world->random) < per_s * (double)STEP_US / 1e6;
}

static bool is_shared(uint32_t name)
{
    return name >= FIRST_SHARED && name < FIRST_SINGLE;
}

/* --- engines --- */

static void start_engine(struct world *world, struct engine *engine)
{
    engine->up = true;
    engine->incarnation = hash_pair(engine->key, ++world->incarnations);
}

static void choose_crashes(struct world *world)
{
    for (uint32_t i = 0; i < world->engine_count; i++) {
        struct engine *engine = &world->engines[i];
        if (!engine->up && world->now >= engine->up_at)
            start_engine(world, engine);
        engine->crashes_now = engine->up && happens(world, world->engine_crashes_per_s);
    }
    for (uint32_t i = 0; i < MAX_RUNS; i++) {
        const struct run *run = &world->runs[i];
        if (run->active && run->running && run->crashes_at && world->now >= run->crashes_at)
            world->engines[run->engine].crashes_now = true;
    }
}

static void record_crasher(struct world *world, uint32_t name, bool *counted)
{
    struct crasher *crasher = &world->crashers[name];
    if (counted[name])
        return;
    counted[name] = true;
    world->figures.crashes++;
    if (++crasher->crashes == 3)
        crasher->third_crash_at = world->now;
}

static void interrupt(struct world *world, struct run *run, bool *counted)
{
    struct request_identity identity = identity_of(run->name);
    struct crash_event crash = {.incarnation = world->engines[run->engine].incarnation,
                                .ended_at = world->now,
                                .attempt = run->attempt,
                                .began_at = run->began_at,
                                .detected_at = world->now + DETECTION_US};
    crash_table_add(world->table, &identity, &crash);
    if (run->name < world->crasher_count)
        record_crasher(world, run->name, counted);
    run->left_us = run->ends_at > world->now ? run->ends_at - world->now : 0;
    run->running = false;
    run->resumed = true;
}

static void crash_engines(struct world *world)
{
    for (uint32_t i = 0; i < world->engine_count; i++) {
        struct engine *engine = &world->engines[i];
        bool counted[MAX_CRASHERS] = {false};
        if (!engine->crashes_now || !engine->up)
            continue;
        engine->up = false;
        engine->up_at = world->now + RESTART_US;
        for (uint32_t k = 0; k < MAX_RUNS; k++)
            if (world->runs[k].active && world->runs[k].running && world->runs[k].engine == i)
                interrupt(world, &world->runs[k], counted);
    }
}

/* --- requests --- */

static void arrive(struct world *world, uint32_t name, uint64_t length_us, uint64_t time_us)
{
    for (uint32_t i = 0; i < MAX_RUNS; i++) {
        if (world->runs[i].active)
            continue;
        world->runs[i] = (struct run){.active = true,
                                      .name = name,
                                      .attempt = ++world->attempts,
                                      .left_us = length_us,
                                      .deadline_at = world->now + time_us};
        return;
    }
}

static void add_arrivals(struct world *world)
{
    for (uint32_t i = 0; i < world->crasher_count; i++) {
        struct crasher *crasher = &world->crashers[i];
        if (world->now < crasher->next_at || world->now >= crasher->begins_at + CRASHER_FOR_US)
            continue;
        crasher->next_at += CRASHER_REPEAT_US;
        arrive(world, i, 3 * SECOND_US, 2 * SECOND_US);
    }
    for (uint32_t i = 0; i < SHARED_STREAMS; i++)
        if (happens(world, SHARED_PER_S))
            arrive(world, FIRST_SHARED + i, 1800 * MS, 4 * SECOND_US);
    if (happens(world, SINGLE_PER_S))
        arrive(world, FIRST_SINGLE + world->attempts, 200 * MS, 2 * SECOND_US);
}

static void complete_runs(struct world *world)
{
    for (uint32_t i = 0; i < MAX_RUNS; i++) {
        struct run *run = &world->runs[i];
        if (!run->active || !run->running || world->now < run->ends_at ||
            world->engines[run->engine].crashes_now)
            continue;
        struct request_identity identity = identity_of(run->name);
        crash_table_record_success(world->table, &identity, world->now,
                                   run->resumed ? world->now - run->began_at : CRASH_FULL_RUN);
        run->active = false;
        world->figures.served += is_shared(run->name);
    }
}

static void refuse(struct run *run, uint64_t *figure)
{
    run->active = false;
    *figure += is_shared(run->name);
}

/* As backend_choice.c chooses for a suspect; any engine for others. */
static struct engine *choose_engine(struct world *world, const struct run *run, bool suspect,
                                    bool isolated)
{
    struct request_identity identity = identity_of(run->name);
    const struct crash_entry *entry = crash_table_find(world->table, &identity);
    uint64_t leased[CRASH_MAX_LEASED_INCARNATIONS];
    uint32_t count = crash_table_leased_to_others(world->table, &identity, world->now, leased);
    struct engine *best = NULL;
    uint64_t best_weight = 0;
    for (uint32_t i = 0; i < world->engine_count; i++) {
        struct engine *engine = &world->engines[i];
        bool barred = false;
        for (uint32_t k = 0; k < count; k++)
            barred |= leased[k] == engine->incarnation;
        uint64_t key =
            suspect ? hash_pair(run->name, engine->key) : random_below(&world->random, UINT32_MAX);
        uint64_t weight = (key >> 1 | 1) | (uint64_t)!barred << 63;
        if (isolated && crash_lease_is_valid(&entry->lease, world->now) &&
            entry->lease.incarnation == engine->incarnation)
            weight = UINT64_MAX;
        if (!engine->up || (barred && isolated) || weight <= best_weight)
            continue;
        best_weight = weight;
        best = engine;
    }
    return best;
}

static void start_run(struct world *world, struct run *run, const struct engine *engine)
{
    run->running = true;
    run->engine = (uint32_t)(engine - world->engines);
    run->began_at = world->now;
    run->ends_at = world->now + run->left_us;
    if (run->name >= world->crasher_count)
        return;
    const struct crasher *crasher = &world->crashers[run->name];
    run->crashes_at = world->now + crasher->crash_after_us;
    world->figures.late +=
        crasher->third_crash_at && world->now > crasher->third_crash_at + LATE_US;
}

static void dispatch(struct world *world, struct run *run)
{
    struct request_identity identity = identity_of(run->name);
    const struct crash_entry *entry = crash_table_find(world->table, &identity);
    enum crash_verdict verdict = crash_table_verdict(world->table, &identity, world->now);
    bool isolated = crash_table_requires_isolation(world->table, &identity, world->now);
    if (world->now >= run->deadline_at) {
        run->active = false;
        return;
    }
    if (entry && entry->crash_count &&
        world->now < entry->crashes[entry->crash_count - 1].ended_at + DETECTION_US)
        return;
    if (verdict == CRASH_VERDICT_BLOCKED) {
        if (world->now >= crash_entry_settled_at(entry))
            refuse(run, &world->figures.refused);
        return;
    }
    if (crash_table_held_until(world->table, &identity, world->now)) {
        if (!run->resumed)
            refuse(run, &world->figures.held);
        return;
    }
    struct engine *engine = choose_engine(world, run, verdict != CRASH_VERDICT_NONE, isolated);
    if (!engine && isolated && !run->resumed)
        refuse(run, &world->figures.held);
    if (!engine)
        return;
    if (isolated) {
        struct crash_lease lease =
            crash_table_acquire_lease(world->table, &identity, engine->incarnation, world->now);
        if (!crash_lease_is_settled(&lease, world->now))
            return;
    }
    start_run(world, run, engine);
}

/* --- worlds --- */

static void create_world(struct world *world, uint64_t seed)
{
    world->random.seed = seed;
    world->table = crash_table_create();
    for (uint32_t i = 0; i < world->engine_count; i++) {
        world->engines[i].key = hash_pair(seed, i);
        start_engine(world, &world->engines[i]);
    }
    for (uint32_t i = 0; i < world->crasher_count; i++) {
        struct crasher *crasher = &world->crashers[i];
        double gap_s = 2 + 3 * random_unit(&world->random);
        crasher->begins_at = BEGIN_US + 2 * SECOND_US + (uint64_t)(i * gap_s * 1e6);
        crasher->next_at = crasher->begins_at;
        crasher->crash_after_us =
            20 * MS + (uint64_t)(MAX_CRASH_TIME_S * 1e6 * random_unit(&world->random));
    }
}

static void play(struct world *world)
{
    for (world->now = BEGIN_US; world->now < BEGIN_US + LENGTH_US; world->now += STEP_US) {
        choose_crashes(world);
        complete_runs(world);
        crash_engines(world);
        add_arrivals(world);
        for (uint32_t i = 0; i < MAX_RUNS; i++)
            if (world->runs[i].active && !world->runs[i].running)
                dispatch(world, &world->runs[i]);
        if (world->now % SECOND_US == 0)
            crash_table_trim(world->table, world->now);
    }
    crash_table_destroy(world->table);
}

static void add_figures(struct figures *sum, const struct figures *figures)
{
    sum->crashes += figures->crashes;
    sum->late += figures->late;
    sum->late_worlds += figures->late > 0;
    sum->refused += figures->refused;
    sum->refused_worlds += figures->refused > 0;
    sum->held += figures->held;
    sum->served += figures->served;
}

static double argument(int count, char **values, int index, double otherwise)
{
    return count > index ? atof(values[index]) : otherwise;
}

int main(int count, char **values)
{
    uint64_t worlds = (uint64_t)argument(count, values, 1, 100);
    uint32_t engines = (uint32_t)argument(count, values, 2, 3);
    uint32_t crashers = (uint32_t)argument(count, values, 3, 3);
    double crashes_per_s = argument(count, values, 4, 0.03);
    if (!worlds || !engines || engines > MAX_ENGINES || !crashers || crashers > MAX_CRASHERS) {
        fprintf(stderr, "crash_world: 1 to %d engines, 1 to %d crashers\n", MAX_ENGINES,
                MAX_CRASHERS);
        return 2;
    }
    struct figures sum = {0};
    struct world *world = malloc(sizeof *world);
    for (uint64_t seed = 1; seed <= worlds; seed++) {
        *world = (struct world){.engine_count = engines,
                                .crasher_count = crashers,
                                .engine_crashes_per_s = crashes_per_s};
        create_world(world, seed);
        play(world);
        add_figures(&sum, &world->figures);
    }
    free(world);
    printf("%llu worlds, %u engines, %u crashers, %.3f other crashes a second and engine: %.2f "
           "crashes a "
           "crasher, %llu late runs in %llu worlds, %llu shared streams refused in %llu worlds, "
           "%llu held, "
           "%llu served\n",
           (unsigned long long)worlds, engines, crashers, crashes_per_s,
           (double)sum.crashes / (double)worlds / crashers, (unsigned long long)sum.late,
           (unsigned long long)sum.late_worlds, (unsigned long long)sum.refused,
           (unsigned long long)sum.refused_worlds, (unsigned long long)sum.held,
           (unsigned long long)sum.served);
    return 0;
}

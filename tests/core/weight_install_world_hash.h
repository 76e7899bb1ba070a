/**
 * Equality of the worlds of weight_install_world.h: those in which the same can happen have one
 * hash.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_WORLD_HASH_H
#define SHUNTRUN_WEIGHT_INSTALL_WORLD_HASH_H

#include "weight_install_world.h"

#include <xxhash.h>

/** Ages above this are the same to all rules. */
#define WORLD_AGE_MOST 12

static uint64_t world_age(const struct world *world, uint64_t time)
{
    if (!time)
        return UINT64_MAX;
    uint64_t age = world->now - time;
    return age > WORLD_AGE_MOST ? WORLD_AGE_MOST : age;
}

static uint64_t world_rest(const struct world *world, uint64_t until)
{
    return until > world->now ? until - world->now : 0;
}

static void world_call_words(const struct world *world, const struct world_call *call,
                             uint64_t **word)
{
    *(*word)++ = (uint64_t)call->kind << 8 | call->piece;
    *(*word)++ = call->version;
    *(*word)++ = call->sequence;
    *(*word)++ = world_rest(world, call->until);
}

static void world_engine_words(const struct install_engine *engine, uint64_t **word)
{
    *(*word)++ = engine->version;
    *(*word)++ = engine->born;
    *(*word)++ = engine->sequence << 3 | (uint64_t)engine->leaving << 2 |
                 (uint64_t)(engine->requests > 0) << 1 | engine->loading;
}

/** \return the same for worlds in which the same can happen: times count from now */
static uint64_t world_hash(const struct world *world)
{
    uint64_t words[96] = {0};
    uint64_t *word = words;
    const struct weight_install *install = &world->install;
    *word++ = install->version;
    *word++ = install->held_count;
    *word++ = (uint64_t)install->reachable | (uint64_t)install->reported << 1 |
              (uint64_t)install->yielding << 2 | (uint64_t)install->predecessor << 4 |
              (uint64_t)(install->order_at > 0) << 5 | (uint64_t)install->predecessor_put << 6 |
              (uint64_t)install->order << 8 | (uint64_t)install->call << 16;
    *word++ = install->call_piece;
    *word++ = world_age(world, install->call_began);
    *word++ = install->order_sequence;
    *word++ = world_rest(world, install->order_pause);
    *word++ = world_rest(world, install->effect_until);
    *word++ = install->order_doubt_sequence;
    *word++ = world_rest(world, install->order_doubt_until);
    *word++ = world_rest(world, install->put_doubt_until);
    *word++ = install->predecessor_sequence;
    *word++ = world_rest(world, install->predecessor_until);
    *word++ = world_rest(world, install->earlier_until);
    *word++ = install->earlier_until ? install->earlier_born : 0;
    *word++ = (uint64_t)world->known_before << 1 | (install->earlier_until > 0);
    *word++ = world->known_before ? world_age(world, world->heard_at) : 0;
    *word++ = world->known_before ? world->told_born : 0;
    world_engine_words(&install->engine, &word);
    for (uint32_t i = 0; i < WORLD_PIECES; i++) {
        const struct install_piece *piece = &world->pieces[i];
        *word++ =
            (uint64_t)piece->held | (uint64_t)piece->staged << 1 | (uint64_t)piece->foreign << 2;
        *word++ = world_age(world, piece->read_at);
        *word++ = world->stage[i];
        *word++ = world_age(world, world->bad_since[i]);
    }
    *word++ = world->named;
    world_call_words(world, &world->stage_call, &word);
    world_call_words(world, &world->order_call, &word);
    for (uint32_t i = 0; i < WORLD_LATE_MOST; i++)
        world_call_words(world, &world->late[i], &word);
    *word++ = world->report_out;
    world_engine_words(&world->report, &word);
    world_engine_words(&world->engine, &word);
    *word++ = world->engine.loading ? world->loading_version : 0;
    memcpy(word++, &world->left, sizeof world->left);
    return XXH3_64bits(words, sizeof words);
}

#endif

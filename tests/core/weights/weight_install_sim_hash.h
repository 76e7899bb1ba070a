/**
 * Hash of the states of weight_install_sim.h. States with the same possible futures have the same
 * hash.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_SIM_HASH_H
#define SHUNTRUN_WEIGHT_INSTALL_SIM_HASH_H

#include "weight_install_sim.h"

#include <xxhash.h>

/** Ages above this, in units of half a second, make no difference to any rule. */
#define SIM_MAX_AGE 12

static uint64_t sim_age(const struct sim *sim, uint64_t time)
{
    if (!time)
        return UINT64_MAX;
    uint64_t age = sim->now - time;
    return age > SIM_MAX_AGE ? SIM_MAX_AGE : age;
}

static uint64_t sim_remaining(const struct sim *sim, uint64_t until)
{
    return until > sim->now ? until - sim->now : 0;
}

static void sim_append_call(const struct sim *sim, const struct sim_call *call, uint64_t **word)
{
    *(*word)++ = (uint64_t)call->kind << 8 | call->piece;
    *(*word)++ = call->version;
    *(*word)++ = call->sequence;
    *(*word)++ = sim_remaining(sim, call->until);
}

static void sim_append_engine(const struct install_engine *engine, uint64_t **word)
{
    *(*word)++ = engine->version;
    *(*word)++ = engine->born;
    *(*word)++ = engine->sequence << 3 | (uint64_t)engine->leaving << 2 |
                 (uint64_t)(engine->requests > 0) << 1 | engine->loading;
}

/** \return hash of the state, in which all times are relative to now */
static uint64_t sim_hash(const struct sim *sim)
{
    uint64_t words[96] = {0};
    uint64_t *word = words;
    const struct weight_install *install = &sim->install;
    *word++ = install->version;
    *word++ = install->held_count;
    *word++ =
        (uint64_t)install->reachable | (uint64_t)install->reported << 1 |
        (uint64_t)install->change_pending << 2 | (uint64_t)install->predecessor_may_order << 4 |
        (uint64_t)(install->ordered_at > 0) << 5 | (uint64_t)install->predecessor_may_put << 6 |
        (uint64_t)install->order << 8 | (uint64_t)install->stage_call << 16;
    *word++ = install->stage_call_piece;
    *word++ = sim_age(sim, install->stage_call_started_at);
    *word++ = install->order_sequence;
    *word++ = sim_remaining(sim, install->order_backoff_until);
    *word++ = sim_remaining(sim, install->order_effect_deadline);
    *word++ = install->in_doubt_order_sequence;
    *word++ = sim_remaining(sim, install->in_doubt_order_until);
    *word++ = sim_remaining(sim, install->in_doubt_put_until);
    *word++ = install->predecessor_sequence;
    *word++ = sim_remaining(sim, install->predecessor_until);
    *word++ = sim_remaining(sim, install->known_predecessor_until);
    *word++ = install->known_predecessor_until ? install->known_predecessor_born : 0;
    *word++ = (uint64_t)sim->predecessor_known << 1 | (install->known_predecessor_until > 0);
    *word++ = sim->predecessor_known ? sim_age(sim, sim->heard_at) : 0;
    *word++ = sim->predecessor_known ? sim->reported_born : 0;
    sim_append_engine(&install->engine, &word);
    for (uint32_t i = 0; i < SIM_PIECES; i++) {
        const struct install_piece *piece = &sim->pieces[i];
        *word++ =
            (uint64_t)piece->held | (uint64_t)piece->staged << 1 | (uint64_t)piece->mismatched << 2;
        *word++ = sim_age(sim, piece->verified_at);
        *word++ = sim->stage[i];
        *word++ = sim_age(sim, sim->corrupted_since[i]);
    }
    *word++ = sim->announced_version;
    sim_append_call(sim, &sim->stage_call, &word);
    sim_append_call(sim, &sim->order_call, &word);
    for (uint32_t i = 0; i < SIM_DELAYED_CALLS_MAX; i++)
        sim_append_call(sim, &sim->delayed[i], &word);
    *word++ = sim->report_in_flight;
    sim_append_engine(&sim->report, &word);
    sim_append_engine(&sim->engine, &word);
    *word++ = sim->engine.loading ? sim->loading_version : 0;
    memcpy(word++, &sim->budget_left, sizeof sim->budget_left);
    return XXH3_64bits(words, sizeof words);
}

#endif

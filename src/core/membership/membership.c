/* The member table: the known state of each member, and which updates supersede it. */
#include "core/membership/membership_internal.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A message gives the process start as an age, so the start seems later by the message's delay. A
 * restarted process starts later than this after the last message of the earlier one. */
#define PROCESS_START_MARGIN_US 5000
/** Time between syncs while they change the table: enough for some pages of an answer. */
#define SYNC_MIN_INTERVAL_US 50000
/** One in this many syncs is with another region: bandwidth between regions is expensive, and what
 * one node of a region learns from there soon spreads in it. */
#define SYNC_REMOTE_ONE_IN 6
/** Random members that are tried to find one of the wanted region. */
#define SYNC_TARGET_TRIES 8
/** A node that knows a smaller fraction of the members than this has not converged. */
#define CONVERGED_FRACTION 0.9
/** A tick this many probe periods after the last one means that the process was paused. */
#define PAUSE_MIN_PERIODS 3

const struct membership_settings membership_default_settings = {.probe_period_us = 400000,
                                                                .ack_timeout_us = 150000,
                                                                .suspect_us = 1500000,
                                                                .dead_retention_us = 30000000,
                                                                .sync_interval_us = 2000000,
                                                                .seed_retry_us = 50000};

struct membership *membership_create(const struct membership_settings *settings,
                                     const struct member_state *self, uint64_t seed,
                                     const struct membership_driver *driver)
{
    struct membership *membership = memory_calloc(1, sizeof *membership);
    membership->settings = *settings;
    membership->driver = *driver;
    membership->self = *self;
    membership->self.health = MEMBER_ALIVE;
    membership->random.seed = seed;
    membership->generation = 1;
    return membership;
}

void membership_destroy(struct membership *membership)
{
    address_index_destroy(&membership->index);
    free(membership->members);
    free(membership);
}

void membership_add_seed(struct membership *membership, uint32_t address)
{
    if (address == membership->self.address)
        membership->is_seed = true;
    else if (membership->seed_count < MEMBERSHIP_MAX_SEEDS)
        membership->seeds[membership->seed_count++] = address;
}

void membership_clear_seeds(struct membership *membership)
{
    membership->seed_count = 0;
    membership->is_seed = false;
    membership->next_seed_request = 0;
}

uint32_t membership_count_seeds(const struct membership *membership, uint32_t *known)
{
    *known = membership->is_seed;
    for (uint32_t i = 0; i < membership->seed_count; i++)
        *known += membership_find(membership, membership->seeds[i]) != NULL;
    return membership->seed_count + membership->is_seed;
}

struct member_state *membership_self(struct membership *membership)
{
    return &membership->self;
}

void membership_self_changed(struct membership *membership)
{
    membership->self.incarnation++;
}

/* --- updates -------------------------------------------------------------------------------------
 */

struct member_state *membership_lookup(const struct membership *membership, uint32_t address)
{
    uint32_t index = address_index_find(&membership->index, address);
    return index == ADDRESS_INDEX_NONE ? NULL : &membership->members[index];
}

void membership_set_at(struct membership *membership, uint32_t index,
                       const struct member_state *member)
{
    membership->members[index] = *member;
    address_index_put(&membership->index, member->address, index);
}

void membership_set_health(struct membership *membership, struct member_state *member,
                           enum member_health health, uint64_t now)
{
    if (member->health == health)
        return;
    membership->generation++;
    member->health = health;
    member->joined = member->joined && health == MEMBER_ALIVE;
    member->health_changed_at = now;
    member->transmits = 0;
}

/* Within one incarnation the worse health wins; the member refutes it by a higher one. */
static bool supersedes(const Shuntrun__MemberNews *update, const struct member_state *member)
{
    if (update->incarnation != member->incarnation)
        return update->incarnation > member->incarnation;
    return update->health > member->health;
}

static bool repeats_known_state(const Shuntrun__MemberNews *update,
                                const struct member_state *member)
{
    return update->incarnation == member->incarnation && update->health == member->health;
}

static void refute(struct membership *membership, const Shuntrun__MemberNews *update)
{
    struct member_state *self = &membership->self;
    if (update->incarnation > self->incarnation) /* an earlier start whose clock was ahead */
        self->incarnation = update->incarnation + 1;
    else if (update->incarnation == self->incarnation && update->health != MEMBER_ALIVE)
        self->incarnation++;
}

static struct member_state *add_member(struct membership *membership, uint32_t address)
{
    membership->members =
        memory_realloc(membership->members, (membership->count + 1) * sizeof *membership->members);
    /* At a random index, so that nodes do not probe the members in order of joining. */
    uint32_t index = (uint32_t)random_below(&membership->random, ++membership->count);
    uint32_t last = membership->count - 1;
    if (index != last)
        membership_set_at(membership, last, &membership->members[index]);
    membership_set_at(membership, index, &(struct member_state){.address = address});
    membership->generation++;
    return &membership->members[index];
}

static bool is_valid_update(const Shuntrun__MemberNews *update)
{
    return update->address && (update->role == MEMBER_GATEWAY || update->role == MEMBER_LOADER) &&
           update->health >= MEMBER_ALIVE && update->health <= MEMBER_DEAD;
}

/* Copies zone and region from the message's list, or else from the update itself. */
static void copy_place(const Shuntrun__MemberMessage *message, const Shuntrun__MemberNews *update,
                       struct member_state *member)
{
    bool named = update->place > 0 && update->place <= message->n_places;
    const Shuntrun__MemberPlace *place = named ? message->places[update->place - 1] : NULL;
    snprintf(member->zone, sizeof member->zone, "%s", place ? place->zone : update->zone);
    snprintf(member->region, sizeof member->region, "%s", place ? place->region : update->region);
}

void membership_apply(struct membership *membership, const Shuntrun__MemberMessage *message,
                      const Shuntrun__MemberNews *update, uint32_t transmits, uint64_t now)
{
    if (!is_valid_update(update))
        return;
    if (update->address == membership->self.address) {
        refute(membership, update);
        return;
    }
    struct member_state *member = membership_lookup(membership, update->address);
    if (member && !supersedes(update, member)) {
        member->transmits +=
            repeats_known_state(update, member); /* other nodes already spread it */
        return;
    }
    bool is_new = !member;
    if (is_new)
        member = add_member(membership, update->address);
    member->joined = is_new;
    membership->generation++;
    member->incarnation = update->incarnation;
    member->role = (enum member_role)update->role;
    copy_place(message, update, member);
    member->draining = update->draining;
    member->traffic_port = (uint16_t)update->traffic_port;
    member->link_mbit = update->link_mbit;
    membership_set_health(membership, member, (enum member_health)update->health, now);
    member->transmits = transmits;
}

static void apply_sender(struct membership *membership, const Shuntrun__MemberMessage *message,
                         uint64_t now)
{
    const Shuntrun__MemberNews *sender = message->sender;
    membership_apply(membership, message, sender, 0, now);
    struct member_state *member = membership_lookup(membership, sender->address);
    if (!member)
        return;
    member->state_revision = sender->state_revision;
    member->operator_revision = sender->operator_revision;
    member->store_sound = sender->store_sound;
    if (member->incarnation > sender->incarnation)
        membership_send_update(membership, sender->address);
}

void membership_record_contact(struct membership *membership, uint32_t from, uint64_t now)
{
    struct member_state *member = membership_lookup(membership, from);
    membership->heard_at = now;
    if (!member)
        return;
    member->heard_at = now;
    if (member->health != MEMBER_ALIVE) /* it must learn of that to refute it */
        membership_send_update(membership, from);
}

bool membership_record_process_start(struct membership *membership, uint32_t from,
                                     uint64_t started_at)
{
    struct member_state *member = membership_lookup(membership, from);
    if (!member || !member->heard_at || member->heard_at + PROCESS_START_MARGIN_US >= started_at ||
        member->earlier_heard_at == member->heard_at)
        return false;
    member->earlier_heard_at = member->heard_at;
    member->earlier_born = member->engine_born;
    member->engine_born = 0;
    return true;
}

void membership_record_engine_start(struct membership *membership, uint32_t from, uint64_t born)
{
    struct member_state *member = membership_lookup(membership, from);
    if (member)
        member->engine_born = born;
}

/* The sender may have more changes: sync again soon. */
static void schedule_early_sync(struct membership *membership, uint64_t now)
{
    membership->sync_found_changes = true;
    if (membership->next_sync > now + SYNC_MIN_INTERVAL_US)
        membership->next_sync = now + SYNC_MIN_INTERVAL_US;
}

void membership_receive(struct membership *membership, uint32_t from,
                        const Shuntrun__MemberMessage *message, uint64_t now)
{
    uint64_t incarnation = membership->self.incarnation;
    if (message->sender && message->sender->address == from)
        apply_sender(membership, message, now);
    membership_record_contact(membership, from, now);
    if (message->known > membership->max_known)
        membership->max_known = message->known;
    uint32_t transmits = message->from_table ? membership_transmit_limit(membership) : 0;
    uint64_t generation = membership->generation;
    for (size_t i = 0; i < message->n_members; i++)
        membership_apply(membership, message, message->members[i], transmits, now);
    if (message->from_table && membership->generation != generation)
        schedule_early_sync(membership, now);
    if (incarnation != membership->self.incarnation)
        membership_send_update(membership, from);
    membership_receive_probe(membership, from, message);
    if (message->n_digests)
        membership_answer_sync(membership, from, message->digests, message->n_digests, now);
}

/* --- time ----------------------------------------------------------------------------------------
 */

/* Messages that this node missed while it was paused are no evidence against other members. */
static void discount_own_pause(struct membership *membership, uint64_t now)
{
    uint64_t pause = now - membership->last_tick;
    if (!membership->last_tick || pause < PAUSE_MIN_PERIODS * membership->settings.probe_period_us)
        return;
    membership->probe.target = 0;
    membership->heard_at = now;
    for (uint32_t i = 0; i < membership->count; i++)
        if (membership->members[i].health == MEMBER_SUSPECT)
            membership->members[i].health_changed_at = now;
}

static void expire_members(struct membership *membership, uint64_t now)
{
    const struct membership_settings *settings = &membership->settings;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < membership->count; i++) {
        struct member_state *member = &membership->members[i];
        if (member->health == MEMBER_SUSPECT &&
            now >= member->health_changed_at + settings->suspect_us)
            membership_set_health(membership, member, MEMBER_DEAD, now);
        if (member->health == MEMBER_DEAD &&
            now >= member->health_changed_at + settings->dead_retention_us)
            continue;
        if (kept != i)
            membership->members[kept] = *member;
        kept++;
    }
    if (kept == membership->count)
        return;
    membership->count = kept;
    membership->generation++;
    address_index_clear(&membership->index);
    for (uint32_t i = 0; i < kept; i++)
        address_index_put(&membership->index, membership->members[i].address, i);
}

/* \return address of a random live member, mostly of the own region; 0: none */
static uint32_t choose_sync_target(struct membership *membership)
{
    bool same_region = random_below(&membership->random, SYNC_REMOTE_ONE_IN) != 0;
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < SYNC_TARGET_TRIES && membership->count; i++) {
        uint64_t index = random_below(&membership->random, membership->count);
        const struct member_state *member = &membership->members[index];
        if (!member_is_alive(member))
            continue;
        chosen = member->address;
        if ((strcmp(member->region, membership->self.region) == 0) == same_region)
            break;
    }
    return chosen;
}

/*
 * Anti-entropy: syncs are frequent while they change the table, as after a start, and back off once
 * tables agree. When 353 members start within 0.3 s, the last one knows all members after 1.04 s
 * instead of 1.88 s with a fixed interval of 0.25 s, and 15 kB instead of 91 kB per node pass
 * between regions (simulated network of tests/core/fleet_start_test.c; listing each zone once per
 * message contributes to that).
 */
static void sync_tables(struct membership *membership, uint64_t now)
{
    if (now < membership->next_sync)
        return;
    uint64_t wait = 2 * membership->sync_wait;
    if (membership->sync_found_changes || wait < SYNC_MIN_INTERVAL_US)
        wait = SYNC_MIN_INTERVAL_US;
    if (wait > membership->settings.sync_interval_us)
        wait = membership->settings.sync_interval_us;
    if (wait == membership->settings.sync_interval_us)
        membership->max_known = 0; /* members counted in it may have died since */
    membership->sync_found_changes = false;
    membership->sync_wait = wait;
    membership->next_sync = now + wait;
    uint32_t target = choose_sync_target(membership);
    if (target)
        membership_request_sync(membership, target);
}

void membership_tick(struct membership *membership, uint64_t now)
{
    discount_own_pause(membership, now);
    membership->last_tick = now;
    expire_members(membership, now);
    membership_probe_tick(membership, now);
    sync_tables(membership, now);
}

/* --- queries -------------------------------------------------------------------------------------
 */

uint32_t membership_count(const struct membership *membership)
{
    return membership->count;
}

const struct member_state *membership_at(const struct membership *membership, uint32_t index)
{
    return &membership->members[index];
}

const struct member_state *membership_find(const struct membership *membership, uint32_t address)
{
    return membership_lookup(membership, address);
}

uint32_t membership_known_count(struct membership *membership)
{
    if (membership->alive_generation == membership->generation)
        return membership->alive;
    membership->alive_generation = membership->generation;
    membership->alive = membership_alive_count(membership, MEMBER_GATEWAY) +
                        membership_alive_count(membership, MEMBER_LOADER);
    return membership->alive;
}

double membership_known_fraction(struct membership *membership)
{
    uint32_t known = membership_known_count(membership);
    return known >= membership->max_known ? 1 : (double)known / membership->max_known;
}

bool membership_is_converged(struct membership *membership)
{
    return membership_known_fraction(membership) >= CONVERGED_FRACTION;
}

uint64_t membership_generation(const struct membership *membership)
{
    return membership->generation;
}

uint32_t membership_alive_count(const struct membership *membership, enum member_role role)
{
    uint32_t alive = membership->self.role == role;
    for (uint32_t i = 0; i < membership->count; i++)
        alive += membership->members[i].role == role && member_is_alive(&membership->members[i]);
    return alive;
}

/* The table of members: what is known of each, and which news is newer. */
#include "core/membership_internal.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Time between comparisons while they bring news: an answer, or some pages of it, comes in it. */
/** A start is known by its age in a message, which took some time on its way. A process starts
 * again later than this after its last message. */
#define START_MARGIN_US 5000
#define COMPARE_FIRST_US 50000
/** One in so many comparisons is with another region: bytes on the way there are dear, but what one
 *  node of a region learns from there soon goes round in it. */
#define COMPARE_FAR_ONE_IN 6
/** Members that are drawn in search of one of the wanted region. */
#define COMPARE_TRIES 8
/** A node that knows a smaller share of the members than another one is not settled. */
#define SETTLED_SHARE 0.9
/** Ticks that are so late mean that the process stood still. */
#define PAUSE_PERIODS 3

const struct membership_settings membership_usual_settings = {.period_us = 400000,
                                                              .direct_us = 150000,
                                                              .suspect_us = 1500000,
                                                              .forget_us = 30000000,
                                                              .compare_us = 2000000,
                                                              .question_us = 50000};

struct membership *membership_create(const struct membership_settings *settings,
                                     const struct member_state *self, uint64_t seed,
                                     const struct membership_driver *driver)
{
    struct membership *membership = memory_zero(1, sizeof *membership);
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
    if (address != membership->self.address && membership->seed_count < MEMBERSHIP_SEEDS_MOST)
        membership->seeds[membership->seed_count++] = address;
}

struct member_state *membership_self(struct membership *membership)
{
    return &membership->self;
}

void membership_self_changed(struct membership *membership)
{
    membership->self.incarnation++;
}

/* --- news ----------------------------------------------------------------------------------------
 */

struct member_state *membership_lookup(const struct membership *membership, uint32_t address)
{
    uint32_t place = address_index_find(&membership->index, address);
    return place == ADDRESS_INDEX_NONE ? NULL : &membership->members[place];
}

void membership_place(struct membership *membership, uint32_t place,
                      const struct member_state *member)
{
    membership->members[place] = *member;
    address_index_put(&membership->index, member->address, place);
}

void membership_set_health(struct membership *membership, struct member_state *member,
                           enum member_health health, uint64_t now)
{
    if (member->health == health)
        return;
    membership->generation++;
    member->health = health;
    member->joined = member->joined && health == MEMBER_ALIVE;
    member->changed_at = now;
    member->told = 0;
}

/* Of one incarnation worse news win: only the member itself can refute them. */
static bool is_newer(const Shuntrun__MemberNews *news, const struct member_state *member)
{
    if (news->incarnation != member->incarnation)
        return news->incarnation > member->incarnation;
    return news->health > member->health;
}

static bool is_same(const Shuntrun__MemberNews *news, const struct member_state *member)
{
    return news->incarnation == member->incarnation && news->health == member->health;
}

static void refute(struct membership *membership, const Shuntrun__MemberNews *news)
{
    struct member_state *self = &membership->self;
    if (news->incarnation > self->incarnation) /* an earlier start with a clock that was ahead */
        self->incarnation = news->incarnation + 1;
    else if (news->incarnation == self->incarnation && news->health != MEMBER_ALIVE)
        self->incarnation++;
}

static struct member_state *add_member(struct membership *membership, uint32_t address)
{
    membership->members =
        memory_resize(membership->members, (membership->count + 1) * sizeof *membership->members);
    /* At a random place, so that not all nodes probe the members in the order of their joining. */
    uint32_t place = (uint32_t)random_below(&membership->random, ++membership->count);
    uint32_t last = membership->count - 1;
    if (place != last)
        membership_place(membership, last, &membership->members[place]);
    membership_place(membership, place, &(struct member_state){.address = address});
    membership->generation++;
    return &membership->members[place];
}

static bool is_valid(const Shuntrun__MemberNews *news)
{
    return news->address && (news->role == MEMBER_GATEWAY || news->role == MEMBER_LOADER) &&
           news->health >= MEMBER_ALIVE && news->health <= MEMBER_DEAD;
}

/* Where a member is: what its news say, or the place of the message that they name. */
static void write_place(const Shuntrun__MemberMessage *message, const Shuntrun__MemberNews *news,
                        struct member_state *member)
{
    bool named = news->place > 0 && news->place <= message->n_places;
    const Shuntrun__MemberPlace *place = named ? message->places[news->place - 1] : NULL;
    snprintf(member->zone, sizeof member->zone, "%s", place ? place->zone : news->zone);
    snprintf(member->region, sizeof member->region, "%s", place ? place->region : news->region);
}

void membership_take(struct membership *membership, const Shuntrun__MemberMessage *message,
                     const Shuntrun__MemberNews *news, uint32_t told, uint64_t now)
{
    if (!is_valid(news))
        return;
    if (news->address == membership->self.address) {
        refute(membership, news);
        return;
    }
    struct member_state *member = membership_lookup(membership, news->address);
    if (member && !is_newer(news, member)) {
        member->told += is_same(news, member); /* it goes round without this node */
        return;
    }
    bool is_new = !member;
    if (is_new)
        member = add_member(membership, news->address);
    member->joined = is_new;
    membership->generation++;
    member->incarnation = news->incarnation;
    member->role = (enum member_role)news->role;
    write_place(message, news, member);
    member->draining = news->draining;
    member->traffic_port = (uint16_t)news->traffic_port;
    member->link_mbit = news->link_mbit;
    membership_set_health(membership, member, (enum member_health)news->health, now);
    member->told = told;
}

static void take_sender(struct membership *membership, const Shuntrun__MemberMessage *message,
                        uint64_t now)
{
    const Shuntrun__MemberNews *sender = message->sender;
    membership_take(membership, message, sender, 0, now);
    struct member_state *member = membership_lookup(membership, sender->address);
    if (!member)
        return;
    member->state_revision = sender->state_revision;
    member->operator_revision = sender->operator_revision;
    member->store_sound = sender->store_sound;
    if (member->incarnation > sender->incarnation)
        membership_tell(membership, sender->address);
}

void membership_heard(struct membership *membership, uint32_t from, uint64_t now)
{
    struct member_state *member = membership_lookup(membership, from);
    membership->heard_at = now;
    if (!member)
        return;
    member->heard_at = now;
    if (member->health != MEMBER_ALIVE) /* it has to hear of that, or it cannot refute */
        membership_tell(membership, from);
}

bool membership_note_start(struct membership *membership, uint32_t from, uint64_t started_at)
{
    struct member_state *member = membership_lookup(membership, from);
    if (!member || !member->heard_at || member->heard_at + START_MARGIN_US >= started_at ||
        member->earlier_heard_at == member->heard_at)
        return false;
    member->earlier_heard_at = member->heard_at;
    member->earlier_born = member->engine_born;
    member->engine_born = 0;
    return true;
}

void membership_note_engine(struct membership *membership, uint32_t from, uint64_t born)
{
    struct member_state *member = membership_lookup(membership, from);
    if (member)
        member->engine_born = born;
}

/* There may be more where that came from: compare again soon. */
static void note_table_news(struct membership *membership, uint64_t now)
{
    membership->table_news = true;
    if (membership->next_compare > now + COMPARE_FIRST_US)
        membership->next_compare = now + COMPARE_FIRST_US;
}

void membership_read(struct membership *membership, uint32_t from,
                     const Shuntrun__MemberMessage *message, uint64_t now)
{
    uint64_t incarnation = membership->self.incarnation;
    if (message->sender && message->sender->address == from)
        take_sender(membership, message, now);
    membership_heard(membership, from, now);
    if (message->known > membership->most_known)
        membership->most_known = message->known;
    uint32_t told = message->from_table ? membership_tell_limit(membership) : 0;
    uint64_t generation = membership->generation;
    for (size_t i = 0; i < message->n_members; i++)
        membership_take(membership, message, message->members[i], told, now);
    if (message->from_table && membership->generation != generation)
        note_table_news(membership, now);
    if (incarnation != membership->self.incarnation)
        membership_tell(membership, from);
    membership_on_probe(membership, from, message);
    if (message->n_digests)
        membership_answer_table(membership, from, message->digests, message->n_digests, now);
}

/* --- time ----------------------------------------------------------------------------------------
 */

/* What this node missed while it stood still says nothing of others. */
static void pass_over_pause(struct membership *membership, uint64_t now)
{
    uint64_t pause = now - membership->last_tick;
    if (!membership->last_tick || pause < PAUSE_PERIODS * membership->settings.period_us)
        return;
    membership->probe.target = 0;
    membership->heard_at = now;
    for (uint32_t i = 0; i < membership->count; i++)
        if (membership->members[i].health == MEMBER_SUSPECT)
            membership->members[i].changed_at = now;
}

static void bury_and_forget(struct membership *membership, uint64_t now)
{
    const struct membership_settings *settings = &membership->settings;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < membership->count; i++) {
        struct member_state *member = &membership->members[i];
        if (member->health == MEMBER_SUSPECT && now >= member->changed_at + settings->suspect_us)
            membership_set_health(membership, member, MEMBER_DEAD, now);
        if (member->health == MEMBER_DEAD && now >= member->changed_at + settings->forget_us)
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

/* \return a living member taken by chance, mostly of the own region; 0: none */
static uint32_t compare_target(struct membership *membership)
{
    bool near = random_below(&membership->random, COMPARE_FAR_ONE_IN) != 0;
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < COMPARE_TRIES && membership->count; i++) {
        uint64_t place = random_below(&membership->random, membership->count);
        const struct member_state *member = &membership->members[place];
        if (!member_is_alive(member))
            continue;
        chosen = member->address;
        if ((strcmp(member->region, membership->self.region) == 0) == near)
            break;
    }
    return chosen;
}

/*
 * Tables are compared often as long as that brings news, as after a start, and seldom once they are
 * the same. Of 353 members that start within 0.3 s the last knows all after 1.04 s instead of 1.88
 * s with a comparison each 0.25 s, and 15 kB instead of 91 kB a node pass between regions (virtual
 * network of tests/core/fleet_start_test.c; names of zones told once a message have a part in
 * that).
 */
static void compare_tables(struct membership *membership, uint64_t now)
{
    if (now < membership->next_compare)
        return;
    uint64_t wait = 2 * membership->compare_wait;
    if (membership->table_news || wait < COMPARE_FIRST_US)
        wait = COMPARE_FIRST_US;
    if (wait > membership->settings.compare_us)
        wait = membership->settings.compare_us;
    if (wait == membership->settings.compare_us)
        membership->most_known = 0; /* those that were counted then may be dead by now */
    membership->table_news = false;
    membership->compare_wait = wait;
    membership->next_compare = now + wait;
    uint32_t target = compare_target(membership);
    if (target)
        membership_ask_table(membership, target);
}

void membership_tick(struct membership *membership, uint64_t now)
{
    pass_over_pause(membership, now);
    membership->last_tick = now;
    bury_and_forget(membership, now);
    membership_probe_tick(membership, now);
    compare_tables(membership, now);
}

/* --- questions -----------------------------------------------------------------------------------
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

uint32_t membership_known(struct membership *membership)
{
    if (membership->alive_generation == membership->generation)
        return membership->alive;
    membership->alive_generation = membership->generation;
    membership->alive = membership_alive_count(membership, MEMBER_GATEWAY) +
                        membership_alive_count(membership, MEMBER_LOADER);
    return membership->alive;
}

double membership_known_share(struct membership *membership)
{
    uint32_t known = membership_known(membership);
    return known >= membership->most_known ? 1 : (double)known / membership->most_known;
}

bool membership_is_settled(struct membership *membership)
{
    return membership_known_share(membership) >= SETTLED_SHARE;
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

/* The table of members: what is known of each, and which news is newer. */
#include "core/membership_internal.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** While it is young a node compares its table so often, as nearly everything is new to it. */
#define YOUNG_US 3000000
#define YOUNG_COMPARE_US 250000
/** Ticks that are so late mean that the process stood still. */
#define PAUSE_PERIODS 3

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
    return membership;
}

void membership_destroy(struct membership *membership)
{
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
    for (uint32_t i = 0; i < membership->count; i++)
        if (membership->members[i].address == address)
            return &membership->members[i];
    return NULL;
}

void membership_set_health(struct member_state *member, enum member_health health, uint64_t now)
{
    if (member->health == health)
        return;
    member->health = health;
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
    uint64_t place = random_below(&membership->random, ++membership->count);
    struct member_state *member = &membership->members[place];
    membership->members[membership->count - 1] = *member;
    *member = (struct member_state){.address = address};
    return member;
}

static bool is_valid(const Shuntrun__MemberNews *news)
{
    return news->address && (news->role == MEMBER_GATEWAY || news->role == MEMBER_LOADER) &&
           news->health >= MEMBER_ALIVE && news->health <= MEMBER_DEAD;
}

void membership_take(struct membership *membership, const Shuntrun__MemberNews *news, uint32_t told,
                     uint64_t now)
{
    if (!is_valid(news))
        return;
    if (news->address == membership->self.address) {
        refute(membership, news);
        return;
    }
    struct member_state *member = membership_lookup(membership, news->address);
    if (member && !is_newer(news, member))
        return;
    if (!member)
        member = add_member(membership, news->address);
    member->incarnation = news->incarnation;
    member->role = (enum member_role)news->role;
    snprintf(member->zone, sizeof member->zone, "%s", news->zone);
    snprintf(member->region, sizeof member->region, "%s", news->region);
    member->draining = news->draining;
    member->traffic_port = (uint16_t)news->traffic_port;
    member->link_mbit = news->link_mbit;
    membership_set_health(member, (enum member_health)news->health, now);
    member->told = told;
}

static void take_sender(struct membership *membership, const Shuntrun__MemberNews *sender,
                        uint64_t now)
{
    membership_take(membership, sender, 0, now);
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

void membership_read(struct membership *membership, uint32_t from,
                     const Shuntrun__MemberMessage *message, uint64_t now)
{
    uint64_t incarnation = membership->self.incarnation;
    if (message->sender && message->sender->address == from)
        take_sender(membership, message->sender, now);
    membership_heard(membership, from, now);
    uint32_t told = message->from_table ? membership_tell_limit(membership) : 0;
    for (size_t i = 0; i < message->n_members; i++)
        membership_take(membership, message->members[i], told, now);
    if (incarnation != membership->self.incarnation)
        membership_tell(membership, from);
    membership_on_probe(membership, from, message);
    if (message->n_digests)
        membership_answer_table(membership, from, message->digests, message->n_digests);
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
            membership_set_health(member, MEMBER_DEAD, now);
        if (member->health == MEMBER_DEAD && now >= member->changed_at + settings->forget_us)
            continue;
        membership->members[kept++] = *member;
    }
    membership->count = kept;
}

/* Of two places taken by chance the one in the own region: bytes between regions are dear. */
static uint32_t compare_target(struct membership *membership)
{
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < 2 && membership->count; i++) {
        uint64_t place = random_below(&membership->random, membership->count);
        const struct member_state *member = &membership->members[place];
        if (!member_is_alive(member))
            continue;
        if (!chosen || strcmp(member->region, membership->self.region) == 0)
            chosen = member->address;
    }
    return chosen;
}

static void compare_tables(struct membership *membership, uint64_t now)
{
    bool young = now < membership->started + YOUNG_US;
    if (now < membership->next_compare)
        return;
    membership->next_compare = now + (young ? YOUNG_COMPARE_US : membership->settings.compare_us);
    uint32_t target = compare_target(membership);
    if (target)
        membership_ask_table(membership, target);
}

void membership_tick(struct membership *membership, uint64_t now)
{
    if (!membership->last_tick)
        membership->started = now;
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

uint32_t membership_alive_count(const struct membership *membership, enum member_role role)
{
    uint32_t alive = membership->self.role == role;
    for (uint32_t i = 0; i < membership->count; i++)
        alive += membership->members[i].role == role && member_is_alive(&membership->members[i]);
    return alive;
}

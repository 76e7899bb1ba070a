#include "core/membership.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SEEDS 16
/** A seed is asked besides the members in one of so many rounds. */
#define SEED_ROUNDS 8
#define YOUNG_HEARTBEATS 20

struct membership {
    struct membership_settings settings;
    struct member_state self;
    struct member_state *members;
    uint32_t count;
    uint32_t seeds[MAX_SEEDS];
    uint32_t seed_count;
    uint64_t rounds;
    uint32_t next_target; /* place in the shuffled members */
    struct random_stream random;
    /* What membership_write() points to. */
    Shuntrun__MemberNews news[MEMBERSHIP_NEWS_MOST + 1];
    Shuntrun__MemberNews *news_pointers[MEMBERSHIP_NEWS_MOST];
};

struct membership *membership_create(const struct membership_settings *settings,
                                     const struct member_state *self, uint64_t seed)
{
    struct membership *membership = memory_zero(1, sizeof *membership);
    membership->settings = *settings;
    membership->self = *self;
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
    if (address != membership->self.address && membership->seed_count < MAX_SEEDS)
        membership->seeds[membership->seed_count++] = address;
}

struct member_state *membership_self(struct membership *membership)
{
    return &membership->self;
}

void membership_tick(struct membership *membership, uint64_t now)
{
    membership->self.heartbeat++;
    membership->rounds++;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < membership->count; i++)
        if (now < membership->members[i].last_news + membership->settings.forget_us)
            membership->members[kept++] = membership->members[i];
    membership->count = kept;
}

static bool add_target(uint32_t *addresses, uint32_t *count, uint32_t most, uint32_t address)
{
    for (uint32_t i = 0; i < *count; i++)
        if (addresses[i] == address)
            return false;
    if (*count == most)
        return false;
    addresses[(*count)++] = address;
    return true;
}

static void swap(struct member_state *left, struct member_state *right)
{
    struct member_state kept = *left;
    *left = *right;
    *right = kept;
}

static void shuffle(struct membership *membership)
{
    for (uint32_t i = membership->count; i > 1; i--) {
        uint64_t place = random_below(&membership->random, i);
        swap(&membership->members[i - 1], &membership->members[place]);
    }
}

/* Members are told in turn, in an order that is shuffled after each pass: nobody waits for long. */
static const struct member_state *next_member(struct membership *membership)
{
    if (membership->next_target >= membership->count) {
        shuffle(membership);
        membership->next_target = 0;
    }
    return &membership->members[membership->next_target++];
}

uint32_t membership_targets(struct membership *membership, uint64_t now, uint32_t *addresses,
                            uint32_t most)
{
    uint32_t count = 0;
    uint32_t wanted = membership->settings.fanout;
    if (wanted > membership->count)
        wanted = membership->count;
    for (uint32_t i = 0; i < wanted; i++)
        add_target(addresses, &count, most, next_member(membership)->address);
    bool ask_seeds = membership->count < membership->settings.fanout;
    for (uint32_t i = 0; i < membership->seed_count; i++)
        if (ask_seeds || membership->rounds % SEED_ROUNDS == i)
            add_target(addresses, &count, most, membership->seeds[i]);
    return count;
}

/* The place of a member is told by itself, and by others only while it is young: it saves bytes. */
static void write_news(const struct member_state *state, bool with_place,
                       Shuntrun__MemberNews *news)
{
    shuntrun__member_news__init(news);
    news->address = state->address;
    news->incarnation = state->incarnation;
    news->heartbeat = state->heartbeat;
    news->role = state->role;
    if (with_place) {
        news->zone = (char *)state->zone;
        news->region = (char *)state->region;
    }
    news->draining = state->draining;
    news->traffic_port = state->traffic_port;
    news->state_revision = state->state_revision;
    news->operator_revision = state->operator_revision;
}

void membership_write(struct membership *membership, Shuntrun__MemberMessage *message)
{
    uint32_t count =
        membership->count < MEMBERSHIP_NEWS_MOST ? membership->count : MEMBERSHIP_NEWS_MOST;
    uint64_t first = random_below(&membership->random, membership->count);
    shuntrun__member_message__init(message);
    write_news(&membership->self, true, &membership->news[0]);
    message->sender = &membership->news[0];
    for (uint32_t i = 0; i < count; i++) {
        const struct member_state *member = &membership->members[(first + i) % membership->count];
        write_news(member, member->heartbeat < YOUNG_HEARTBEATS, &membership->news[i + 1]);
        membership->news_pointers[i] = &membership->news[i + 1];
    }
    message->n_members = count;
    message->members = membership->news_pointers;
}

static struct member_state *find(const struct membership *membership, uint32_t address)
{
    for (uint32_t i = 0; i < membership->count; i++)
        if (membership->members[i].address == address)
            return &membership->members[i];
    return NULL;
}

static void refute(struct membership *membership, const Shuntrun__MemberNews *news)
{
    /* Somebody remembers a start of this node that looks newer: its clock was ahead. */
    if (news->incarnation > membership->self.incarnation)
        membership->self.incarnation = news->incarnation + 1;
    if (news->incarnation == membership->self.incarnation &&
        news->heartbeat > membership->self.heartbeat)
        membership->self.incarnation++;
}

static bool take_news(struct membership *membership, const Shuntrun__MemberNews *news, uint64_t now)
{
    if (news->address == membership->self.address) {
        refute(membership, news);
        return false;
    }
    if (!news->address || (news->role != MEMBER_GATEWAY && news->role != MEMBER_LOADER))
        return false;
    struct member_state *member = find(membership, news->address);
    bool is_new = !member;
    if (is_new) {
        membership->members = memory_resize(membership->members,
                                            (membership->count + 1) * sizeof *membership->members);
        member = &membership->members[membership->count++];
        *member = (struct member_state){.address = news->address};
    } else if (news->incarnation < member->incarnation ||
               (news->incarnation == member->incarnation && news->heartbeat <= member->heartbeat)) {
        return false;
    }
    member->incarnation = news->incarnation;
    member->heartbeat = news->heartbeat;
    member->role = (enum member_role)news->role;
    if (news->zone[0]) {
        snprintf(member->zone, sizeof member->zone, "%s", news->zone);
        snprintf(member->region, sizeof member->region, "%s", news->region);
    }
    member->draining = news->draining;
    member->traffic_port = (uint16_t)news->traffic_port;
    member->state_revision = news->state_revision;
    member->operator_revision = news->operator_revision;
    member->last_news = now;
    return is_new;
}

bool membership_read(struct membership *membership, const Shuntrun__MemberMessage *message,
                     uint64_t now)
{
    bool is_new = false;
    if (message->sender)
        is_new = take_news(membership, message->sender, now);
    for (size_t i = 0; i < message->n_members; i++)
        is_new |= take_news(membership, message->members[i], now);
    return is_new;
}

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
    return find(membership, address);
}

bool membership_alive(const struct membership *membership, const struct member_state *member,
                      uint64_t now)
{
    return now < member->last_news + membership->settings.suspect_us;
}

uint32_t membership_alive_count(const struct membership *membership, enum member_role role,
                                uint64_t now)
{
    uint32_t alive = membership->self.role == role;
    for (uint32_t i = 0; i < membership->count; i++)
        alive += membership->members[i].role == role &&
                 membership_alive(membership, &membership->members[i], now);
    return alive;
}

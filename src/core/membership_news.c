/* Dissemination: changes travel on other messages; tables are compared by digests. */
#include "core/membership_internal.h"

#include "core/hash.h"

#include <string.h>

/** A change is told in so many messages for each doubling of the members. */
#define TELL_FACTOR 2
/** Messages of one answer to a comparison at most; the rest waits for the next one. */
#define PAGES_MOST 8

static void write_news(const struct member_state *state, Shuntrun__MemberNews *news)
{
    shuntrun__member_news__init(news);
    news->address = state->address;
    news->incarnation = state->incarnation;
    news->health = state->health;
    news->role = state->role;
    news->zone = (char *)state->zone;
    news->region = (char *)state->region;
    news->draining = state->draining;
    news->traffic_port = state->traffic_port;
    news->link_mbit = state->link_mbit;
}

void membership_message_begin(const struct membership *membership,
                              struct membership_message *message)
{
    shuntrun__member_message__init(&message->message);
    write_news(&membership->self, &message->sender);
    message->sender.state_revision = membership->self.state_revision;
    message->sender.operator_revision = membership->self.operator_revision;
    message->sender.store_sound = membership->self.store_sound;
    message->message.sender = &message->sender;
    message->message.members = message->pointers;
}

static void add_news(struct membership_message *message, const struct member_state *member)
{
    size_t place = message->message.n_members++;
    write_news(member, &message->news[place]);
    message->pointers[place] = &message->news[place];
}

uint32_t membership_tell_limit(const struct membership *membership)
{
    uint32_t doublings = 1;
    for (uint32_t members = membership->count; members > 1; members /= 2)
        doublings++;
    return TELL_FACTOR * doublings;
}

/* What was told least often goes first. */
static void add_changes(struct membership *membership, struct membership_message *message)
{
    uint32_t limit = membership_tell_limit(membership);
    uint64_t number = ++membership->messages;
    for (uint32_t told = 0; told < limit; told++) {
        for (uint32_t i = 0; i < membership->count; i++) {
            struct member_state *member = &membership->members[i];
            if (message->message.n_members == MEMBERSHIP_NEWS_MOST)
                return;
            if (member->told != told || member->told_in == number)
                continue;
            member->told++;
            member->told_in = number;
            add_news(message, member);
        }
    }
}

void membership_message_send(struct membership *membership, struct membership_message *message,
                             uint32_t recipient)
{
    const struct member_state *known = membership_lookup(membership, recipient);
    if (known && known->health != MEMBER_ALIVE)
        add_news(message, known);
    add_changes(membership, message);
    membership->driver.send(membership->driver.context, recipient, &message->message);
}

void membership_tell_changes(struct membership *membership, uint32_t address,
                             Shuntrun__StateChanges *changes)
{
    struct membership_message message;
    membership_message_begin(membership, &message);
    message.message.changes = changes;
    const struct member_state *known = membership_lookup(membership, address);
    if (known && known->health == MEMBER_ALIVE)
        add_news(&message, known);
    membership_message_send(membership, &message, address);
}

void membership_tell(struct membership *membership, uint32_t address)
{
    membership_tell_changes(membership, address, NULL);
}

/* --- comparison of tables ------------------------------------------------------------------------
 */

static uint32_t bucket_of(const struct member_state *member)
{
    return (uint32_t)(hash_pair(member->address, 1) % MEMBERSHIP_BUCKETS);
}

static uint32_t digest_of_member(const struct member_state *member)
{
    return (uint32_t)hash_pair(hash_pair(member->address, member->incarnation), member->health);
}

/* Who is dead need not be known: those that never heard of a dead member differ in nothing. */
static void write_digests(const struct membership *membership, uint32_t digests[MEMBERSHIP_BUCKETS])
{
    memset(digests, 0, MEMBERSHIP_BUCKETS * sizeof *digests);
    digests[bucket_of(&membership->self)] ^= digest_of_member(&membership->self);
    for (uint32_t i = 0; i < membership->count; i++) {
        const struct member_state *member = &membership->members[i];
        if (member_is_alive(member))
            digests[bucket_of(member)] ^= digest_of_member(member);
    }
}

void membership_ask_table(struct membership *membership, uint32_t address)
{
    struct membership_message message;
    membership_message_begin(membership, &message);
    write_digests(membership, message.digests);
    message.message.n_digests = MEMBERSHIP_BUCKETS;
    message.message.digests = message.digests;
    membership_message_send(membership, &message, address);
}

static void send_page(struct membership *membership, struct membership_message *page,
                      uint32_t address)
{
    page->message.from_table = true;
    membership->driver.send(membership->driver.context, address, &page->message);
    membership_message_begin(membership, page);
}

void membership_answer_table(struct membership *membership, uint32_t address,
                             const uint32_t *digests, size_t count)
{
    uint32_t own[MEMBERSHIP_BUCKETS];
    struct membership_message page;
    uint32_t pages = 0;
    if (count != MEMBERSHIP_BUCKETS)
        return;
    write_digests(membership, own);
    membership_message_begin(membership, &page);
    uint64_t first = random_below(&membership->random, membership->count);
    for (uint32_t i = 0; i < membership->count && pages < PAGES_MOST; i++) {
        const struct member_state *member = &membership->members[(first + i) % membership->count];
        uint32_t bucket = bucket_of(member);
        if (own[bucket] == digests[bucket])
            continue;
        add_news(&page, member);
        if (page.message.n_members < MEMBERSHIP_NEWS_MOST)
            continue;
        send_page(membership, &page, address);
        pages++;
    }
    if (page.message.n_members ||
        own[bucket_of(&membership->self)] != digests[bucket_of(&membership->self)])
        send_page(membership, &page, address);
}

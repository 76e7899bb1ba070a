/* Dissemination: member updates are piggybacked on messages; tables are synced by digests. */
#include "core/membership/membership_internal.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

/** An update is sent in this many messages for each doubling of the number of members. */
#define TRANSMITS_PER_DOUBLING 2
/** Each node sends the joining of a member in this many messages: syncs bring it to the rest.
 * Without this limit a large fleet that starts at once would send such updates for minutes. */
#define JOIN_TRANSMITS_MAX 4
/** Member updates piggybacked on one message; further ones go with the next messages. */
#define MAX_PIGGYBACKED_UPDATES 12
/** Messages in one answer to a sync at most; the rest follows with the next sync. */
#define MAX_PAGES_PER_ANSWER 4
/** Rate and burst of pages that a node sends in answers: half of a link of 9.4 Mbit/s. Hundreds of
 * nodes that start at once request a sync from the same few seeds; once they know other members
 * they request it from these, too. */
#define PAGES_PER_SECOND 450
#define PAGE_BURST 60

static void fill_update(const struct member_state *state, Shuntrun__MemberNews *update)
{
    shuntrun__member_news__init(update);
    update->address = state->address;
    update->incarnation = state->incarnation;
    update->health = state->health;
    update->role = state->role;
    update->draining = state->draining;
    update->traffic_port = state->traffic_port;
    update->link_mbit = state->link_mbit;
}

void membership_message_begin(struct membership *membership, struct membership_message *message)
{
    shuntrun__member_message__init(&message->message);
    fill_update(&membership->self, &message->sender);
    message->sender.zone = (char *)membership->self.zone;
    message->sender.region = (char *)membership->self.region;
    message->sender.state_revision = membership->self.state_revision;
    message->sender.operator_revision = membership->self.operator_revision;
    message->sender.store_sound = membership->self.store_sound;
    message->message.sender = &message->sender;
    message->message.known = membership_known_count(membership);
    message->message.members = message->pointers;
    message->message.places = message->place_pointers;
}

/* \return number of the member's place (zone and region) in the message's list, counted from 1; 0:
 * the list is full */
static uint32_t place_number(struct membership_message *message, const struct member_state *member)
{
    size_t count = message->message.n_places;
    for (size_t i = 0; i < count; i++)
        if (strcmp(message->places[i].zone, member->zone) == 0 &&
            strcmp(message->places[i].region, member->region) == 0)
            return (uint32_t)i + 1;
    if (count == MEMBERSHIP_MAX_PLACES)
        return 0;
    shuntrun__member_place__init(&message->places[count]);
    message->places[count].zone = (char *)member->zone;
    message->places[count].region = (char *)member->region;
    message->place_pointers[count] = &message->places[count];
    return (uint32_t)++message->message.n_places;
}

static void add_update(struct membership_message *message, const struct member_state *member)
{
    size_t index = message->message.n_members++;
    Shuntrun__MemberNews *update = &message->update[index];
    fill_update(member, update);
    update->place = place_number(message, member);
    if (!update->place) {
        update->zone = (char *)member->zone;
        update->region = (char *)member->region;
    }
    message->pointers[index] = update;
}

uint32_t membership_transmit_limit(const struct membership *membership)
{
    uint32_t doublings = 1;
    for (uint32_t members = membership->count; members > 1; members /= 2)
        doublings++;
    return TRANSMITS_PER_DOUBLING * doublings;
}

/* Updates with the fewest transmits go first. */
static void piggyback_updates(struct membership *membership, struct membership_message *message)
{
    uint32_t limit = membership_transmit_limit(membership);
    uint64_t number = ++membership->messages;
    for (uint32_t transmits = 0; transmits < limit; transmits++) {
        for (uint32_t i = 0; i < membership->count; i++) {
            struct member_state *member = &membership->members[i];
            if (message->message.n_members >= MAX_PIGGYBACKED_UPDATES)
                return;
            if (member->transmits != transmits || member->last_transmit_number == number ||
                (member->joined && transmits >= JOIN_TRANSMITS_MAX))
                continue;
            member->transmits++;
            member->last_transmit_number = number;
            add_update(message, member);
        }
    }
}

void membership_message_send(struct membership *membership, struct membership_message *message,
                             uint32_t recipient)
{
    const struct member_state *member = membership_lookup(membership, recipient);
    if (member && member->health != MEMBER_ALIVE)
        add_update(message, member);
    piggyback_updates(membership, message);
    membership->driver.send(membership->driver.context, recipient, &message->message);
}

void membership_send_changes(struct membership *membership, uint32_t address,
                             Shuntrun__StateChanges *changes)
{
    struct membership_message message;
    membership_message_begin(membership, &message);
    message.message.changes = changes;
    const struct member_state *member = membership_lookup(membership, address);
    if (member && member->health == MEMBER_ALIVE)
        add_update(&message, member);
    membership_message_send(membership, &message, address);
}

void membership_send_update(struct membership *membership, uint32_t address)
{
    membership_send_changes(membership, address, NULL);
}

/* --- sync ------------------------------------------------------------------------------------- */

/* Members of the requester's region have separate buckets, as it must know these first. */
static uint32_t bucket_of(const struct member_state *member, const char *region)
{
    uint32_t bucket = (uint32_t)(hash_pair(member->address, 1) % MEMBERSHIP_REGION_BUCKETS);
    return strcmp(member->region, region) == 0 ? bucket : bucket + MEMBERSHIP_REGION_BUCKETS;
}

static uint32_t digest_of_member(const struct member_state *member)
{
    return (uint32_t)hash_pair(hash_pair(member->address, member->incarnation), member->health);
}

/* Leaves out dead members: a node that never knew a dead member need not learn of it. */
static void write_digests(const struct membership *membership, const char *region,
                          uint32_t digests[MEMBERSHIP_BUCKETS])
{
    memset(digests, 0, MEMBERSHIP_BUCKETS * sizeof *digests);
    digests[bucket_of(&membership->self, region)] ^= digest_of_member(&membership->self);
    for (uint32_t i = 0; i < membership->count; i++) {
        const struct member_state *member = &membership->members[i];
        if (member_is_alive(member))
            digests[bucket_of(member, region)] ^= digest_of_member(member);
    }
}

void membership_request_sync(struct membership *membership, uint32_t address)
{
    struct membership_message message;
    membership_message_begin(membership, &message);
    write_digests(membership, membership->self.region, message.digests);
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

/* An answer to a sync that is being written, in pages of one message each. */
struct sync_answer {
    struct membership_message page;
    uint32_t address; /* of the requester */
    uint32_t pages;   /* number that may still be sent */
};

/* Refills the token bucket. \return number of pages that the next answer may have */
static uint32_t allowed_pages(struct membership *membership, uint64_t now)
{
    double elapsed_s = (double)(now - membership->page_tokens_at) / 1e6;
    membership->page_tokens_at = now;
    membership->page_tokens += elapsed_s * PAGES_PER_SECOND;
    if (membership->page_tokens > PAGE_BURST)
        membership->page_tokens = PAGE_BURST;
    if (membership->page_tokens >= PAGE_BURST / 2)
        return MAX_PAGES_PER_ANSWER;
    return membership->page_tokens >= 1 ? 1 : 0;
}

static void append_to_answer(struct membership *membership, struct sync_answer *answer,
                             const struct member_state *member)
{
    add_update(&answer->page, member);
    if (answer->page.message.n_members < MEMBERSHIP_MAX_UPDATES)
        return;
    send_page(membership, &answer->page, answer->address);
    membership->page_tokens--;
    answer->pages--;
}

/* Members ordered by their buckets. */
struct bucket_order {
    uint32_t *indexes;                      /* in the member table */
    uint32_t first[MEMBERSHIP_BUCKETS + 1]; /* first of each bucket in `indexes` */
};

static void order_by_bucket(const struct membership *membership, const char *region,
                            struct bucket_order *order)
{
    uint32_t next[MEMBERSHIP_BUCKETS];
    memset(order->first, 0, sizeof order->first);
    order->indexes = memory_calloc(membership->count + 1, sizeof *order->indexes);
    for (uint32_t i = 0; i < membership->count; i++)
        order->first[bucket_of(&membership->members[i], region) + 1]++;
    for (uint32_t bucket = 0; bucket < MEMBERSHIP_BUCKETS; bucket++) {
        order->first[bucket + 1] += order->first[bucket];
        next[bucket] = order->first[bucket];
    }
    for (uint32_t i = 0; i < membership->count; i++)
        order->indexes[next[bucket_of(&membership->members[i], region)]++] = i;
}

static void add_bucket(struct membership *membership, struct sync_answer *answer,
                       const struct bucket_order *order, uint32_t bucket)
{
    for (uint32_t i = order->first[bucket]; i < order->first[bucket + 1] && answer->pages; i++)
        append_to_answer(membership, answer, &membership->members[order->indexes[i]]);
}

/*
 * The requester's region comes first. Buckets are sent completely, starting from a random one:
 * these then agree, so the next node that is sent a request need not repeat them.
 */
static void add_differences(struct membership *membership, struct sync_answer *answer,
                            const char *region, const uint32_t *own, const uint32_t *remote)
{
    struct bucket_order order;
    uint32_t start = (uint32_t)random_below(&membership->random, MEMBERSHIP_REGION_BUCKETS);
    order_by_bucket(membership, region, &order);
    for (uint32_t half = 0; half < MEMBERSHIP_BUCKETS; half += MEMBERSHIP_REGION_BUCKETS) {
        for (uint32_t i = 0; i < MEMBERSHIP_REGION_BUCKETS; i++) {
            uint32_t bucket = half + (start + i) % MEMBERSHIP_REGION_BUCKETS;
            if (own[bucket] != remote[bucket])
                add_bucket(membership, answer, &order, bucket);
        }
    }
    free(order.indexes);
}

void membership_answer_sync(struct membership *membership, uint32_t address,
                            const uint32_t *digests, size_t count, uint64_t now)
{
    uint32_t own[MEMBERSHIP_BUCKETS];
    struct sync_answer answer = {.address = address, .pages = allowed_pages(membership, now)};
    const struct member_state *requester = membership_lookup(membership, address);
    if (count != MEMBERSHIP_BUCKETS || !requester)
        return;
    write_digests(membership, requester->region, own);
    membership_message_begin(membership, &answer.page);
    add_differences(membership, &answer, requester->region, own, digests);
    uint32_t bucket = bucket_of(&membership->self, requester->region);
    if (answer.page.message.n_members || own[bucket] != digests[bucket])
        send_page(membership, &answer.page, address);
}

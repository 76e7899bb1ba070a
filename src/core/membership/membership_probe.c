/* Failure detection: one probe in each period, and indirect probes if it is not answered. */
#include "core/membership/membership_internal.h"

#include <string.h>

/** Members that are asked to send an indirect probe. */
#define INDIRECT_PROBES 3
/** One dead member and one seed not known alive are contacted once in this many periods. */
#define LOST_PROBE_PERIODS 4
/** Time for which a node that receives nothing suspects itself, not other members. */
#define ISOLATION_GRACE_US 3000000

static void send_ping(struct membership *membership, uint32_t address, uint32_t number,
                      uint32_t ping_for)
{
    struct membership_message message;
    membership_message_begin(membership, &message);
    message.message.ping = number;
    message.message.ping_for = ping_for;
    membership_message_send(membership, &message, address);
}

static void send_acknowledgement(struct membership *membership, uint32_t address, uint32_t number)
{
    struct membership_message message;
    membership_message_begin(membership, &message);
    message.message.acknowledged = number;
    membership_message_send(membership, &message, address);
}

static uint32_t next_probe_number(struct membership *membership)
{
    if (++membership->last_number == 0)
        membership->last_number = 1;
    return membership->last_number;
}

/* --- messages ------------------------------------------------------------------------------------
 */

static void relay_probe(struct membership *membership, uint32_t requester,
                        const Shuntrun__MemberMessage *message)
{
    struct relay *relay = &membership->relays[membership->next_relay++ % MEMBERSHIP_MAX_RELAYS];
    *relay = (struct relay){next_probe_number(membership), requester, message->ping};
    send_ping(membership, message->ping_for, relay->number, 0);
}

static void receive_acknowledgement(struct membership *membership, uint32_t number)
{
    if (number == membership->probe.number)
        membership->probe.acknowledged = true;
    for (uint32_t i = 0; i < MEMBERSHIP_MAX_RELAYS; i++) {
        struct relay *relay = &membership->relays[i];
        if (relay->number != number)
            continue;
        relay->number = 0;
        send_acknowledgement(membership, relay->requester, relay->requester_number);
    }
}

void membership_receive_probe(struct membership *membership, uint32_t from,
                              const Shuntrun__MemberMessage *message)
{
    if (message->acknowledged)
        receive_acknowledgement(membership, message->acknowledged);
    if (message->ping && message->ping_for && message->ping_for != membership->self.address)
        relay_probe(membership, from, message);
    else if (message->ping)
        send_acknowledgement(membership, from, message->ping);
}

/* --- periods -------------------------------------------------------------------------------------
 */

static void swap(struct membership *membership, uint32_t left, uint32_t right)
{
    struct member_state saved = membership->members[left];
    if (left == right)
        return;
    membership_set_at(membership, left, &membership->members[right]);
    membership_set_at(membership, right, &saved);
}

/* A new order for each pass: some node probes a given member in nearly every period, and each node
 * probes it within two passes. */
static void shuffle(struct membership *membership)
{
    for (uint32_t i = membership->count; i > 1; i--) {
        uint32_t index = (uint32_t)random_below(&membership->random, i);
        swap(membership, i - 1, index);
    }
}

/* \return the next member to probe: suspected, or silent for a probe period; NULL: none */
static struct member_state *next_target(struct membership *membership, uint64_t now)
{
    for (uint32_t tried = 0; tried < membership->count; tried++) {
        if (membership->next_target >= membership->count) {
            shuffle(membership);
            membership->next_target = 0;
        }
        struct member_state *member = &membership->members[membership->next_target++];
        bool heard =
            member->heard_at && now < member->heard_at + membership->settings.probe_period_us;
        if (member_is_alive(member) && (!heard || member->health == MEMBER_SUSPECT))
            return member;
    }
    return NULL;
}

static void begin_probe(struct membership *membership, uint64_t now)
{
    const struct member_state *target = next_target(membership, now);
    membership->probe = (struct probe){.began = now};
    if (!target)
        return;
    membership->probe.target = target->address;
    membership->probe.number = next_probe_number(membership);
    send_ping(membership, target->address, membership->probe.number, 0);
}

static bool probe_is_answered(const struct membership *membership)
{
    const struct probe *probe = &membership->probe;
    const struct member_state *member = membership_lookup(membership, probe->target);
    return probe->acknowledged || !member || member->heard_at >= probe->began;
}

static void send_indirect_probes(struct membership *membership)
{
    struct probe *probe = &membership->probe;
    probe->indirect = true;
    for (uint32_t asked = 0, tried = 0; asked < INDIRECT_PROBES && tried < 4 * INDIRECT_PROBES;
         tried++) {
        uint64_t index = random_below(&membership->random, membership->count);
        const struct member_state *relay_member = &membership->members[index];
        if (!member_is_healthy(relay_member) || relay_member->address == probe->target)
            continue;
        send_ping(membership, relay_member->address, probe->number, probe->target);
        asked++;
    }
}

/* Whether nothing was received since the probe began: the fault may be this node's own. */
static bool is_isolated(const struct membership *membership, uint64_t now)
{
    return membership->heard_at < membership->probe.began &&
           now < membership->heard_at + ISOLATION_GRACE_US;
}

static void end_probe(struct membership *membership, uint64_t now)
{
    struct probe *probe = &membership->probe;
    if (!probe->target || probe_is_answered(membership) || is_isolated(membership, now))
        return;
    struct member_state *member = membership_lookup(membership, probe->target);
    if (member->health == MEMBER_ALIVE)
        membership_set_health(membership, member, MEMBER_SUSPECT, now);
}

static bool is_known_alive(const struct membership *membership, uint32_t address)
{
    const struct member_state *member = membership_lookup(membership, address);
    return member && member_is_alive(member);
}

static void request_sync_from_seeds(struct membership *membership, bool all)
{
    uint64_t turn = membership->periods / LOST_PROBE_PERIODS;
    for (uint32_t i = 0; i < membership->seed_count; i++)
        if (all || (turn % membership->seed_count == i &&
                    !is_known_alive(membership, membership->seeds[i])))
            membership_request_sync(membership, membership->seeds[i]);
}

static void probe_dead_member(struct membership *membership)
{
    uint64_t first = random_below(&membership->random, membership->count);
    for (uint32_t i = 0; i < membership->count; i++) {
        const struct member_state *member = &membership->members[(first + i) % membership->count];
        if (member_is_alive(member))
            continue;
        membership_send_update(membership, member->address);
        return;
    }
}

bool membership_is_alone(const struct membership *membership)
{
    for (uint32_t i = 0; i < membership->count; i++)
        if (member_is_alive(&membership->members[i]))
            return false;
    return true;
}

/* Contacts a seed and a dead member periodically, so that partitions merge again. */
static void probe_lost_members(struct membership *membership)
{
    if (membership->periods % LOST_PROBE_PERIODS != 0)
        return;
    request_sync_from_seeds(membership, false);
    if (membership->count)
        probe_dead_member(membership);
}

/* Seeds may start later than this node: requests repeat until a live member is known. \return
 * whether one is known */
static bool contact_seeds_if_alone(struct membership *membership, uint64_t now)
{
    if (!membership_is_alone(membership))
        return true;
    if (now >= membership->next_seed_request) {
        membership->next_seed_request = now + membership->settings.seed_retry_us;
        request_sync_from_seeds(membership, true);
    }
    return false;
}

void membership_probe_tick(struct membership *membership, uint64_t now)
{
    struct probe *probe = &membership->probe;
    if (!contact_seeds_if_alone(membership, now) && !membership->count)
        return;
    if (probe->target && !probe->indirect &&
        now >= probe->began + membership->settings.ack_timeout_us && !probe_is_answered(membership))
        send_indirect_probes(membership);
    if (now < membership->next_period)
        return;
    end_probe(membership, now);
    membership->next_period = now + membership->settings.probe_period_us;
    membership->periods++;
    begin_probe(membership, now);
    probe_lost_members(membership);
}

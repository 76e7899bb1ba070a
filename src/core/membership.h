/**
 * Which other nodes of the system live, by gossip.
 *
 * Every node counts a heartbeat up and tells a few random members, at each round, what it knows of
 * itself and of some others. A member whose heartbeat has not moved for `suspect_us` is not given
 * work; after `forget_us` it is dropped. Incarnations order the starts of one member. Addresses of
 * seeds may be stale: they are only asked, never taken for members.
 *
 * No clock, socket or thread. Times are microseconds of a clock that does not step back.
 */
#ifndef SHUNTRUN_MEMBERSHIP_H
#define SHUNTRUN_MEMBERSHIP_H

#include "core/random.h"
#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_NAME_SIZE 64
/** Members told of in one message. */
#define MEMBERSHIP_NEWS_MOST 20

enum member_role { MEMBER_GATEWAY = 1, MEMBER_LOADER = 2 };

struct member_state {
    uint32_t address; /**< IPv4, host byte order; the identity of a member */
    uint64_t incarnation;
    uint64_t heartbeat;
    enum member_role role;
    char zone[MEMBER_NAME_SIZE]; /**< "" until it is known */
    char region[MEMBER_NAME_SIZE];
    bool draining;
    uint16_t traffic_port;
    uint64_t state_revision;    /**< up to which it knows what the platform publishes */
    uint64_t operator_revision; /**< of the newest change by the operator that it knows */
    uint64_t last_news;         /**< time at which the heartbeat last moved */
};

struct membership_settings {
    uint32_t fanout; /**< members told at each round */
    uint64_t suspect_us;
    uint64_t forget_us;
};

struct membership;

struct membership *membership_create(const struct membership_settings *settings,
                                     const struct member_state *self, uint64_t seed);
void membership_destroy(struct membership *membership);

/** \brief Add an address to ask when few members are known. */
void membership_add_seed(struct membership *membership, uint32_t address);
struct member_state *membership_self(struct membership *membership);
/** \brief Count the own heartbeat up and forget members that are long silent. */
void membership_tick(struct membership *membership, uint64_t now);
/**
 * \brief Addresses to tell at this round: random members, and now and then a seed.
 * \return count, at most `most`
 */
uint32_t membership_targets(struct membership *membership, uint64_t now, uint32_t *addresses,
                            uint32_t most);
/** \brief Fill a message with news of this node and some others; valid until the next call. */
void membership_write(struct membership *membership, Shuntrun__MemberMessage *message);
/** \brief Take a message in. \return whether the sender or a member in it was new */
bool membership_read(struct membership *membership, const Shuntrun__MemberMessage *message,
                     uint64_t now);

/** \brief Other members, alive or not. */
uint32_t membership_count(const struct membership *membership);
const struct member_state *membership_at(const struct membership *membership, uint32_t index);
const struct member_state *membership_find(const struct membership *membership, uint32_t address);
bool membership_alive(const struct membership *membership, const struct member_state *member,
                      uint64_t now);
/** \return members of a role that live, this node included */
uint32_t membership_alive_count(const struct membership *membership, enum member_role role,
                                uint64_t now);

#endif

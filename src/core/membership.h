/**
 * Which other nodes of the system live: the SWIM protocol (Das, Gupta, Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
 *
 * - Failure detection: in each period a node probes one member, in a shuffled order. Without an
 *   acknowledgement it asks a few others to probe for it; without one from them either it suspects
 *   the member, and after `suspect_us` holds it for dead. The cost for a node does not grow with
 *   the number of members.
 * - Dissemination: changes travel on the probes and acknowledgements, each a few times.
 * - Refutation: a member that hears that it is suspected or dead raises its incarnation and says
 * so.
 * - Repair: now and then two nodes compare digests of their tables and send what differs. Dead
 *   members and seeds are probed now and then, so that parted fleets find each other again.
 *
 * A node that stood still, or that hears from nobody for some seconds, suspects no one: the fault
 * may be its own.
 * Addresses of seeds may be stale: they are only asked, never taken for members.
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

enum member_role { MEMBER_GATEWAY = 1, MEMBER_LOADER = 2 };

enum member_health {
    MEMBER_ALIVE = 1,
    MEMBER_SUSPECT = 2, /**< did not acknowledge; may still refute */
    MEMBER_DEAD = 3,    /**< did not refute in time */
};

struct member_state {
    uint32_t address; /**< IPv4, host byte order; the identity of a member */
    uint64_t incarnation;
    enum member_health health;
    enum member_role role;
    char zone[MEMBER_NAME_SIZE];
    char region[MEMBER_NAME_SIZE];
    bool draining;
    uint16_t traffic_port;
    uint32_t link_mbit;      /**< rate of its machine's link, 0: not known */
    uint64_t state_revision; /**< it knows up to here what the platform publishes, as last heard */
    uint64_t operator_revision; /**< of the newest change by the operator that it knows, likewise */
    bool store_sound;           /**< it reads the platform's store and gets answers, likewise */
    uint64_t heard_at;          /**< time of its last own message, 0: none */
    uint64_t engine_born;       /**< of the engine that its process reported last, 0: none */
    uint64_t earlier_heard_at;  /**< last message of its earlier process, 0: none is known */
    uint64_t earlier_born;      /**< of the engine that this one reported last, 0: none */
    uint64_t health_changed_at; /**< time at which health last changed here */
    uint32_t transmits;         /**< messages, sent or received, that carried the last change */
    uint64_t last_transmit_number; /**< number of the last one of them */
    bool joined;                   /**< the last change is that it became known here */
};

struct membership_settings {
    uint64_t probe_period_us;   /**< one probe in each */
    uint64_t ack_timeout_us;    /**< wait for an acknowledgement before others are asked */
    uint64_t suspect_us;        /**< time for a suspected member to refute */
    uint64_t dead_retention_us; /**< time for which the dead are remembered */
    uint64_t sync_interval_us;  /**< time between comparisons of tables */
    uint64_t seed_retry_us;     /**< time between questions of a node that knows nobody */
};

/** What nodes run with. */
extern const struct membership_settings membership_default_settings;

/** How messages leave; the message is valid during the call only. */
struct membership_driver {
    void *context;
    void (*send)(void *context, uint32_t address, const Shuntrun__MemberMessage *message);
};

struct membership;

struct membership *membership_create(const struct membership_settings *settings,
                                     const struct member_state *self, uint64_t seed,
                                     const struct membership_driver *driver);
void membership_destroy(struct membership *membership);

/** \brief Add an address to ask while few members are known. */
void membership_add_seed(struct membership *membership, uint32_t address);
struct member_state *membership_self(struct membership *membership);
/** \brief The own state changed, for example it drains now: tell it with a new incarnation. */
void membership_self_changed(struct membership *membership);
/** \brief Probes, verdicts, comparisons; call several times in each period. */
void membership_tick(struct membership *membership, uint64_t now);
/** \brief Take a message in. \param from address that it came from */
void membership_receive(struct membership *membership, uint32_t from,
                        const Shuntrun__MemberMessage *message, uint64_t now);
/** \brief A member sent something else: it lives. */
void membership_record_contact(struct membership *membership, uint32_t from, uint64_t now);
/**
 * \brief A member says when its process started: what was heard before came from an earlier one.
 * Call it before the message counts as heard. \return whether that is new
 */
bool membership_record_process_start(struct membership *membership, uint32_t from,
                                     uint64_t started_at);
/** \brief A member reported a start of its engine. */
void membership_record_engine_start(struct membership *membership, uint32_t from, uint64_t born);
/** \brief Send the own state and news to one node, outside of the periods. */
void membership_send_update(struct membership *membership, uint32_t address);
/** \brief The same, with changes of what the platform publishes. */
void membership_send_changes(struct membership *membership, uint32_t address,
                             Shuntrun__StateChanges *changes);

/** \brief Other members, whatever their health. */
uint32_t membership_count(const struct membership *membership);
const struct member_state *membership_at(const struct membership *membership, uint32_t index);
const struct member_state *membership_find(const struct membership *membership, uint32_t address);
/** \return a number that grows with each change of the table: who is in it, and how each fares */
uint64_t membership_generation(const struct membership *membership);
/**
 * \return share of the members that this node knows, of the most that another one said to know.
 * Just after a start it is small, and what a node works out from its members differs from what
 * others work out. Members of the own region become known first.
 */
double membership_known_fraction(struct membership *membership);
/** \return whether this node knows most members, of all regions */
bool membership_is_converged(struct membership *membership);
/** \return members of a role that are not held for dead, this node included */
uint32_t membership_alive_count(const struct membership *membership, enum member_role role);

/** \return whether the member is not held for dead */
static inline bool member_is_alive(const struct member_state *member)
{
    return member->health != MEMBER_DEAD;
}

/** \return whether there is no doubt about the member */
static inline bool member_is_healthy(const struct member_state *member)
{
    return member->health == MEMBER_ALIVE;
}

#endif

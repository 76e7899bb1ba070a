/**
 * Fleet membership and failure detection by the SWIM protocol (Das, Gupta, Motivala, "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
 *
 * - Failure detection: in each probe period a node probes one member, in shuffled order. Without an
 *   acknowledgement it sends indirect probes through a few other members. If these fail, too, the
 *   member is suspected, and after `suspect_us` declared dead. The cost per node does not grow with
 *   the number of members.
 * - Dissemination: member updates are piggybacked on probes and acknowledgements, each on a limited
 *   number of messages.
 * - Refutation: a member that learns that it is suspected or declared dead raises its incarnation
 *   and announces it.
 * - Anti-entropy: two nodes periodically compare digests of their member tables and exchange the
 *   differences. Dead members and seeds are probed periodically, so that partitions of the fleet
 *   merge again.
 *
 * A node that was paused, or that has received nothing for some seconds, suspects no other member,
 * as the fault may be its own. Addresses of seeds may be stale: they are contacted, but never
 * entered into the member table for being seeds.
 *
 * Uses no clock, socket or thread. Times are microseconds of a clock that does not step back.
 */
#ifndef SHUNTRUN_MEMBERSHIP_H
#define SHUNTRUN_MEMBERSHIP_H

#include "core/random.h"
#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

/** Size of a zone or region name, bytes, with the terminating zero. */
#define MEMBER_NAME_SIZE 64

/** Values are those of MemberNews.role. */
enum member_role { MEMBER_GATEWAY = 1, MEMBER_LOADER = 2 };

/** Values are those of MemberNews.health; within one incarnation the greater one wins. */
enum member_health {
    MEMBER_ALIVE = 1,
    MEMBER_SUSPECT = 2, /**< did not acknowledge; may still refute */
    MEMBER_DEAD = 3,    /**< did not refute in time */
};

/** What a node knows of a member, or of itself. */
struct member_state {
    uint32_t address;     /**< IPv4, host byte order; the identity of a member */
    uint64_t incarnation; /**< grows with each start and refutation; greater ones win */
    enum member_health health;
    enum member_role role;
    char zone[MEMBER_NAME_SIZE];
    char region[MEMBER_NAME_SIZE];
    bool draining;
    uint16_t traffic_port;      /**< where callers reach it, 0: nowhere */
    uint32_t link_mbit;         /**< rate of its machine's link, Mbit/s; 0: not known */
    uint64_t state_revision;    /**< platform state that it knows, as of its last message */
    uint64_t operator_revision; /**< newest change by the operator that it knows, likewise */
    bool store_sound;           /**< it reads the platform's store and gets answers, likewise */
    uint64_t heard_at;          /**< time of the last message from it, 0: none */
    uint64_t engine_born;       /**< start of the engine that its process reported last, 0: none */
    uint64_t earlier_heard_at;  /**< last message of its earlier process, 0: none known */
    uint64_t earlier_born; /**< start of the engine which that process reported last, 0: none */
    uint64_t health_changed_at;    /**< time at which this node last changed `health` */
    uint32_t transmits;            /**< messages, sent or received, that carried the last change */
    uint64_t last_transmit_number; /**< number of the last sent message with it */
    bool joined;                   /**< the last change is that it became known here */
};

/** Times of the protocol, microseconds. */
struct membership_settings {
    uint64_t probe_period_us;   /**< a node starts one probe in each period */
    uint64_t ack_timeout_us;    /**< wait for an acknowledgement before indirect probes */
    uint64_t suspect_us;        /**< time for a suspected member to refute */
    uint64_t dead_retention_us; /**< time for which dead members stay in the table */
    uint64_t sync_interval_us;  /**< longest time between two syncs of the member table */
    uint64_t seed_retry_us;     /**< time between requests to seeds while no live member is known */
};

/** Settings of the daemons. */
extern const struct membership_settings membership_default_settings;

/** Transport of outgoing messages; a message is valid only during the call. */
struct membership_driver {
    void *context;
    void (*send)(void *context, uint32_t address, const Shuntrun__MemberMessage *message);
};

struct membership;

/**
 * \param self the own state; its health is set to alive
 * \param seed of the random choices
 * \return a member table without other members; membership_destroy() frees it
 */
struct membership *membership_create(const struct membership_settings *settings,
                                     const struct member_state *self, uint64_t seed,
                                     const struct membership_driver *driver);
void membership_destroy(struct membership *membership);

/** \brief Add an address to contact while no live member is known, and periodically afterwards. */
void membership_add_seed(struct membership *membership, uint32_t address);
/** \return whether no live member is known but this node */
bool membership_is_alone(const struct membership *membership);
/** \brief Forget the seeds; those that are added next are asked at once if no live member is known.
 */
void membership_clear_seeds(struct membership *membership);
/**
 * \brief Count the seeds, with this node if it is one.
 * \param known gets how many of them are in the member table or are this node
 */
uint32_t membership_count_seeds(const struct membership *membership, uint32_t *known);
/** \return the own state; call membership_self_changed() after a change */
struct member_state *membership_self(struct membership *membership);
/** \brief Raise the incarnation after a change of the own state, for example to draining, so that
 * it supersedes what others know. */
void membership_self_changed(struct membership *membership);
/** \brief Run probes, timeouts and syncs that are due; call several times in each probe period. */
void membership_tick(struct membership *membership, uint64_t now);
/** \brief Process a received message. \param from address of its sender */
void membership_receive(struct membership *membership, uint32_t from,
                        const Shuntrun__MemberMessage *message, uint64_t now);
/** \brief Record that a member is reachable, as a message of another protocol came from it. */
void membership_record_contact(struct membership *membership, uint32_t from, uint64_t now);
/**
 * \brief Record the start time of a member's process: older messages came from an earlier process.
 * Call it before membership_record_contact() for the same message.
 * \return whether this process was not known before
 */
bool membership_record_process_start(struct membership *membership, uint32_t from,
                                     uint64_t started_at);
/** \brief Record the start of the engine that a member reported. */
void membership_record_engine_start(struct membership *membership, uint32_t from, uint64_t born);
/** \brief Send the own state and piggybacked updates to one node at once. */
void membership_send_update(struct membership *membership, uint32_t address);
/**
 * \brief Like membership_send_update(), with changes of the platform state.
 * \param changes or NULL
 */
void membership_send_changes(struct membership *membership, uint32_t address,
                             Shuntrun__StateChanges *changes);

/** \return the number of other members, of any health */
uint32_t membership_count(const struct membership *membership);
/** \return a member; valid, like `index`, until the next message or tick */
const struct member_state *membership_at(const struct membership *membership, uint32_t index);
/** \return the member, NULL if it is not known; valid until the next message or tick */
const struct member_state *membership_find(const struct membership *membership, uint32_t address);
/** \return a number that grows with each change of the table: of its members or of their states */
uint64_t membership_generation(const struct membership *membership);
/**
 * \return fraction of the members known to this node, out of the greatest number that another node
 * reported. It is small just after a start; until it grows, decisions made from the member table
 * differ between nodes. Members of the own region become known first.
 */
double membership_known_fraction(struct membership *membership);
/** \return whether this node knows most members of all regions */
bool membership_is_converged(struct membership *membership);
/** \return number of members of a role that are not declared dead, this node included */
uint32_t membership_alive_count(const struct membership *membership, enum member_role role);

/** \return whether the member is not declared dead; it may be suspected */
static inline bool member_is_alive(const struct member_state *member)
{
    return member->health != MEMBER_DEAD;
}

/** \return whether the member is neither suspected nor declared dead */
static inline bool member_is_healthy(const struct member_state *member)
{
    return member->health == MEMBER_ALIVE;
}

#endif

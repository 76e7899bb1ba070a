/**
 * State shared by the membership modules: the member table (membership.c), failure detection
 * (membership_probe.c), dissemination and sync (membership_updates.c).
 */
#ifndef SHUNTRUN_MEMBERSHIP_INTERNAL_H
#define SHUNTRUN_MEMBERSHIP_INTERNAL_H

#include "core/address_index.h"
#include "core/membership/membership.h"

/** Seeds that a node contacts; further ones are ignored. */
#define MEMBERSHIP_MAX_SEEDS 16
/** Indirect probes in progress; a new one replaces the oldest. */
#define MEMBERSHIP_MAX_RELAYS 16
/** Digests of a member table: for the members of one region, and as many for all others. */
#define MEMBERSHIP_REGION_BUCKETS 32
#define MEMBERSHIP_BUCKETS (2 * MEMBERSHIP_REGION_BUCKETS)
/** Member updates in one message: about 1.3 kB. */
#define MEMBERSHIP_MAX_UPDATES 48
/** Pairs of zone and region that one message lists once and refers to by number; updates of members
 * elsewhere carry zone and region themselves. */
#define MEMBERSHIP_MAX_PLACES 16

/** The probe of the current period. */
struct probe {
    uint32_t target; /**< address, 0: none */
    uint32_t number;
    uint64_t began;
    bool indirect; /**< indirect probes were sent as well */
    bool acknowledged;
};

/** An indirect probe on behalf of another member. */
struct relay {
    uint32_t number; /**< of the probe that this node sent, 0: entry is free */
    uint32_t requester;
    uint32_t requester_number;
};

/** The member table and the state of the protocol. */
struct membership {
    struct membership_settings settings;
    struct membership_driver driver;
    struct member_state self;
    struct member_state *members;
    uint32_t count;
    struct address_index index; /* from address to index in `members` */
    uint64_t generation;        /* grows with each change of the table */
    uint32_t max_known; /* greatest recent number of live members that another one reported */
    uint32_t alive;     /* live members, this node included, at `alive_generation` */
    uint64_t alive_generation;
    uint32_t seeds[MEMBERSHIP_MAX_SEEDS];
    uint32_t seed_count;  /* without this node */
    bool is_seed;         /* this node is one */
    uint32_t next_target; /* index in the shuffled members */
    struct random_stream random;
    struct probe probe;
    struct relay relays[MEMBERSHIP_MAX_RELAYS];
    uint32_t next_relay;
    uint32_t last_number; /* of a probe sent */
    uint64_t last_tick;
    uint64_t next_period;
    uint64_t next_sync;
    uint64_t sync_wait;      /* current time between syncs */
    bool sync_found_changes; /* an answer since the last sync changed the table */
    uint64_t next_seed_request;
    uint64_t periods;
    uint64_t messages;       /* number of the last message sent with piggybacked updates */
    double page_tokens;      /* token bucket: pages that may be sent in answers to syncs */
    uint64_t page_tokens_at; /* time of the last refill */
    uint64_t heard_at;       /* time of the last message from any node */
};

/* --- membership.c ---- */

/** \return the member, NULL if it is not known */
struct member_state *membership_lookup(const struct membership *membership, uint32_t address);
/** \return number of live members known to this node, itself included */
uint32_t membership_known_count(struct membership *membership);
/** \brief Write a member at an index of the table. */
void membership_set_at(struct membership *membership, uint32_t index,
                       const struct member_state *member);
/** \brief Set a member's health; does nothing if it has that health already. */
void membership_set_health(struct membership *membership, struct member_state *member,
                           enum member_health health, uint64_t now);
/**
 * \brief Apply an update about another member or about this node itself.
 * \param message that contains the update
 * \param transmits initial value for the member's `transmits`; at the transmit limit the update is
 * not passed on
 */
void membership_apply(struct membership *membership, const Shuntrun__MemberMessage *message,
                      const Shuntrun__MemberNews *update, uint32_t transmits, uint64_t now);

/* --- membership_updates.c ---- */

/** \return number of messages after which an update is no longer piggybacked */
uint32_t membership_transmit_limit(const struct membership *membership);

/** A message with storage for the updates that it points to. */
struct membership_message {
    Shuntrun__MemberMessage message;
    Shuntrun__MemberNews sender;
    Shuntrun__MemberNews update[MEMBERSHIP_MAX_UPDATES];
    Shuntrun__MemberNews *pointers[MEMBERSHIP_MAX_UPDATES];
    Shuntrun__MemberPlace places[MEMBERSHIP_MAX_PLACES];
    Shuntrun__MemberPlace *place_pointers[MEMBERSHIP_MAX_PLACES];
    uint32_t digests[MEMBERSHIP_BUCKETS];
};

/** \brief Initialize a message from this node. */
void membership_message_begin(struct membership *membership, struct membership_message *message);
/** \brief Add recent updates, and what `recipient` must refute about itself; then send. */
void membership_message_send(struct membership *membership, struct membership_message *message,
                             uint32_t recipient);
/** \brief Send digests of the member table to a node, which answers with the differences. */
void membership_request_sync(struct membership *membership, uint32_t address);
/** \brief Answer a sync request with the members of all buckets whose digests differ. */
void membership_answer_sync(struct membership *membership, uint32_t address,
                            const uint32_t *digests, size_t count, uint64_t now);

/* --- membership_probe.c ---- */

/** \brief Process the probe or acknowledgement in a message, if it has one. */
void membership_receive_probe(struct membership *membership, uint32_t from,
                              const Shuntrun__MemberMessage *message);
/** \brief Start the probes, suspicions and requests to seeds that are due. */
void membership_probe_tick(struct membership *membership, uint64_t now);

#endif

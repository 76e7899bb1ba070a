/**
 * State that the modules of membership share: the table (membership.c), failure detection
 * (membership_probe.c) and dissemination (membership_news.c).
 */
#ifndef SHUNTRUN_MEMBERSHIP_INTERNAL_H
#define SHUNTRUN_MEMBERSHIP_INTERNAL_H

#include "core/address_index.h"
#include "core/membership.h"

#define MEMBERSHIP_MAX_SEEDS 16
#define MEMBERSHIP_MAX_RELAYS 16
/** Digests of a table: of the members of one region, and as many of all others. */
#define MEMBERSHIP_REGION_BUCKETS 32
#define MEMBERSHIP_BUCKETS (2 * MEMBERSHIP_REGION_BUCKETS)
/** Members in one message: some 1.3 kB. */
#define MEMBERSHIP_MAX_UPDATES 48
/** Zones that one message names by number; members of further ones carry their zone with them. */
#define MEMBERSHIP_MAX_PLACES 16

/** The probe of the present period. */
struct probe {
    uint32_t target; /**< 0: none */
    uint32_t number;
    uint64_t began;
    bool indirect; /**< others were asked to probe as well */
    bool acknowledged;
};

/** A probe on behalf of another member. */
struct relay {
    uint32_t number; /**< of the own probe, 0: free */
    uint32_t requester;
    uint32_t requester_number;
};

struct membership {
    struct membership_settings settings;
    struct membership_driver driver;
    struct member_state self;
    struct member_state *members;
    uint32_t count;
    struct address_index index; /* places of the members */
    uint64_t generation;        /* grows with each change of the table */
    uint32_t max_known;         /* living members that another one said to know, the most of late */
    uint32_t alive;             /* living members, this node included, at `alive_generation` */
    uint64_t alive_generation;
    uint32_t seeds[MEMBERSHIP_MAX_SEEDS];
    uint32_t seed_count;
    uint32_t next_target; /* place in the shuffled members */
    struct random_stream random;
    struct probe probe;
    struct relay relays[MEMBERSHIP_MAX_RELAYS];
    uint32_t next_relay;
    uint32_t last_number; /* of a probe */
    uint64_t last_tick;
    uint64_t next_period;
    uint64_t next_sync;
    uint64_t sync_wait;      /* time between comparisons at present */
    bool sync_found_changes; /* the last comparisons brought news */
    uint64_t next_seed_request;
    uint64_t periods;
    uint64_t messages;       /* sent with changes */
    double page_tokens;      /* that may be sent now in answers to comparisons */
    uint64_t page_tokens_at; /* time up to which these were counted */
    uint64_t heard_at;       /* time of the last message from anybody */
};

/* --- membership.c ---- */

struct member_state *membership_lookup(const struct membership *membership, uint32_t address);
/** \return living members that this node knows, itself included */
uint32_t membership_known_count(struct membership *membership);
/** \brief Write a member at a place of the table. */
void membership_set_at(struct membership *membership, uint32_t index,
                       const struct member_state *member);
/** \brief Change what is known of a member's health; does nothing when it is known already. */
void membership_set_health(struct membership *membership, struct member_state *member,
                           enum member_health health, uint64_t now);
/**
 * \brief Take news of a member, or of this node itself, in.
 * \param message that carries them
 * \param told messages that carried them already, as far as that matters
 */
void membership_apply(struct membership *membership, const Shuntrun__MemberMessage *message,
                      const Shuntrun__MemberNews *update, uint32_t transmits, uint64_t now);

/* --- membership_news.c ---- */

/** \return messages after which a change is no longer told */
uint32_t membership_transmit_limit(const struct membership *membership);

/** A message with the news that it points to. */
struct membership_message {
    Shuntrun__MemberMessage message;
    Shuntrun__MemberNews sender;
    Shuntrun__MemberNews update[MEMBERSHIP_MAX_UPDATES];
    Shuntrun__MemberNews *pointers[MEMBERSHIP_MAX_UPDATES];
    Shuntrun__MemberPlace places[MEMBERSHIP_MAX_PLACES];
    Shuntrun__MemberPlace *place_pointers[MEMBERSHIP_MAX_PLACES];
    uint32_t digests[MEMBERSHIP_BUCKETS];
};

/** \brief Begin a message of this node. */
void membership_message_begin(struct membership *membership, struct membership_message *message);
/** \brief Add what changed lately, and what `recipient` has to know of itself; then send. */
void membership_message_send(struct membership *membership, struct membership_message *message,
                             uint32_t recipient);
/** \brief Ask a node for what its table has and the own one lacks. */
void membership_request_sync(struct membership *membership, uint32_t address);
/** \brief Answer such a question. */
void membership_answer_sync(struct membership *membership, uint32_t address,
                            const uint32_t *digests, size_t count, uint64_t now);

/* --- membership_probe.c ---- */

/** \brief A message with a probe, or the answer to one. */
void membership_receive_probe(struct membership *membership, uint32_t from,
                              const Shuntrun__MemberMessage *message);
void membership_probe_tick(struct membership *membership, uint64_t now);

#endif

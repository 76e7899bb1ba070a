/**
 * Control state that every node has, gateway or agent: documents of the platform, the placement
 * that follows from them, and what neighbours say of themselves.
 *
 * - Documents (configuration, machine list): a few nodes of each zone read the platform; all others
 *   get deltas from neighbours. Only revisions decide: a node never goes back to an older one, and
 *   a new node hears its neighbours before it accepts what the platform serves.
 * - Membership: every node polls a bounded set of peers, its links. A peer that is silent for
 *   `suspect_us` is suspect. Incarnations order restarts of one machine; news of an older
 *   incarnation are dropped.
 *
 * No clock, socket or thread: driven by events through the functions below, answers through
 * `struct node_driver`. Times are microseconds of a clock that does not step back. One owner.
 */
#ifndef SHUNTRUN_NODE_H
#define SHUNTRUN_NODE_H

#include "core/document.h"
#include "core/fleet.h"
#include "core/fleet_config.h"
#include "core/placement.h"
#include "core/swarm.h"
#include "generated/messages.pb-c.h"

#define NODE_MAX_READY_MODELS 4
#define NODE_NEVER UINT64_MAX

struct node_settings {
    uint32_t neighbours;     /**< chosen by this node in the overlay */
    uint32_t config_readers; /**< nodes of one zone that read the platform */
    uint64_t update_us;      /**< time between updates to a link */
    uint64_t suspect_us;     /**< silence after which a peer is suspect */
};

struct ready_model {
    char model[CONFIG_NAME_SIZE];
    char version[CONFIG_NAME_SIZE];
    char digest[DIGEST_HEX_SIZE];
};

/** What a node says of itself. */
struct node_status {
    uint64_t incarnation;
    uint64_t pause_epoch;
    uint64_t ticket_epoch; /**< see ticket.h */
    bool draining;
    uint32_t active_requests;
    uint32_t capacity;
    struct ready_model ready[NODE_MAX_READY_MODELS];
    uint32_t ready_count;
};

/** A peer as this node knows it. */
struct peer {
    uint64_t id;
    struct node_status status;
    uint64_t config_revision; /**< in force, or held by a node that has not joined */
    uint64_t fleet_revision;
    bool joined;         /**< it has a configuration in force */
    bool linked;         /**< this node polls it */
    bool neighbour;      /**< a link of the overlay, not a wanted one */
    uint64_t last_heard; /**< 0: never */
    uint64_t last_sent;
    uint64_t last_polled_by; /**< it polled this node */
};

enum node_read_result {
    NODE_READ_NEWER,     /**< a body came */
    NODE_READ_UNCHANGED, /**< the platform has nothing newer */
    NODE_READ_FAILED,
};

struct node_driver {
    void *context;
    /** Send one control message; it may be lost. `message` is valid during the call only. */
    void (*send)(void *context, const struct machine *to, Shuntrun__Envelope *message);
    /** Start one read of the platform; answered by node_on_read(). */
    void (*read_document)(void *context, Shuntrun__DocumentKind kind, uint64_t known_revision);
    /** Configuration, machine list or placement changed. */
    void (*view_changed)(void *context);
    /** A configuration was refused; findings are valid during the call only. */
    void (*config_rejected)(void *context, uint64_t revision, const struct findings *findings);
    /** A peer's news were taken in; may be NULL. */
    void (*update_received)(void *context, const struct peer *peer,
                            const Shuntrun__NodeUpdate *update);
};

struct node;

struct node *node_create(const struct node_settings *settings, const char *name, const char *zone,
                         enum machine_role role, uint64_t seed, uint64_t now,
                         const struct node_driver *driver);
void node_destroy(struct node *node);

/** \brief What this node says of itself; sent at once when drain, epoch or ready models changed. */
void node_set_status(struct node *node, uint64_t now, const struct node_status *status);

/** \brief Peers to poll besides the overlay's neighbours. */
void node_set_extra_links(struct node *node, const uint64_t *ids, uint32_t count);

void node_on_message(struct node *node, uint64_t now, const Shuntrun__Envelope *message);
void node_on_read(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                  enum node_read_result result, uint64_t revision, const char *body, size_t size);
void node_on_tick(struct node *node, uint64_t now);

/** \brief Send an update to one peer, with have-sets when `swarm` is not NULL. */
void node_send_update(struct node *node, uint64_t now, uint64_t peer,
                      const struct swarm_update *swarm, const char *rollout);

uint64_t node_id(const struct node *node);
const struct fleet_config *node_config(const struct node *node); /**< NULL before the first */
const struct fleet *node_fleet(const struct node *node);         /**< never NULL, may be empty */
const struct placement *node_placement(const struct node *node); /**< NULL before both documents */
const struct peer *node_peer(const struct node *node, uint64_t id); /**< NULL when not known */
/** \brief The peers that this node knows. \param index below node_peer_count() */
const struct peer *node_peer_at(const struct node *node, uint32_t index);
uint32_t node_peer_count(const struct node *node);
bool node_peer_alive(const struct node *node, const struct peer *peer, uint64_t now);
uint32_t node_alive_link_count(const struct node *node, uint64_t now);

#endif

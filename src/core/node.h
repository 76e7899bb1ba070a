/**
 * Control state of a node, gateway or agent: the documents of the platform, the placement computed
 * from them, and the status that peers report.
 *
 * - Documents (configuration, machine list): a few nodes of each zone read the platform; all others
 *   get deltas from peers. Revisions alone decide which document is newer: a node never goes back
 *   to an older one, and a new node waits for reports of its neighbours before it accepts a
 *   configuration.
 * - Membership: every node polls a bounded set of peers, its links. A peer that has not been heard
 *   for `suspect_us` is suspect. Incarnations order the restarts of one machine; updates of an
 *   older incarnation are dropped.
 *
 * Uses no clock, socket or thread: it is driven by events through the functions below and calls
 * back through `struct node_driver`. Times are microseconds of a monotonic clock. Not thread-safe:
 * one owner.
 */
#ifndef SHUNTRUN_NODE_H
#define SHUNTRUN_NODE_H

#include "core/document.h"
#include "core/fleet.h"
#include "core/fleet_config.h"
#include "core/placement.h"
#include "core/swarm/swarm.h"
#include "generated/messages.pb-c.h"

#define NODE_MAX_READY_MODELS 4
#define NODE_NEVER UINT64_MAX

/** Settings of a node; copied. */
struct node_settings {
    uint32_t neighbours;     /**< overlay links that this node selects */
    uint32_t config_readers; /**< nodes of each zone that read the platform */
    uint64_t update_us;      /**< interval between polls of a link */
    uint64_t suspect_us;     /**< time without an update after which a peer is suspect */
};

/** A model version that an agent has loaded and can serve. */
struct ready_model {
    char model[CONFIG_NAME_SIZE];
    char version[CONFIG_NAME_SIZE];
    char digest[DIGEST_HEX_SIZE];
};

/** Status that a node reports of itself. */
struct node_status {
    uint64_t incarnation;
    uint64_t pause_epoch;  /**< number of pauses of the process, see executor.h */
    uint64_t ticket_epoch; /**< see ticket.h */
    bool draining;
    uint32_t active_requests;
    uint32_t capacity;
    struct ready_model ready[NODE_MAX_READY_MODELS];
    uint32_t ready_count;
};

/** Last known state of a peer. */
struct peer {
    uint64_t id;
    struct node_status status;
    uint64_t config_revision; /**< accepted, or pending at a node that has not joined */
    uint64_t fleet_revision;
    bool joined;             /**< it accepts configurations; see the head of this file */
    bool linked;             /**< this node polls it */
    bool neighbour;          /**< a link selected by the overlay, not an extra link */
    uint64_t last_heard;     /**< time of the last update from it; 0: never */
    uint64_t last_sent;      /**< time of the last update to it; 0: never */
    uint64_t last_polled_by; /**< time at which it last polled this node; 0: never */
};

/** Result of a read of the platform. */
enum node_read_result {
    NODE_READ_NEWER,     /**< a body was received */
    NODE_READ_UNCHANGED, /**< the platform has nothing newer */
    NODE_READ_FAILED,
};

/** Calls of a node to its owner. */
struct node_driver {
    void *context;
    /** Send a control message, which may be lost. `message` is valid during the call only. */
    void (*send)(void *context, const struct machine *to, Shuntrun__Envelope *message);
    /** Start to read a document from the platform; completes with node_on_read(). */
    void (*read_document)(void *context, Shuntrun__DocumentKind kind, uint64_t known_revision);
    /** The configuration, the machine list or the placement changed. */
    void (*view_changed)(void *context);
    /** A configuration or machine list was rejected, or the policy of an accepted configuration has
     * findings. `findings` are valid during the call only. */
    void (*config_rejected)(void *context, uint64_t revision, const struct findings *findings);
    /** An update of a peer was applied; may be NULL. */
    void (*update_received)(void *context, const struct peer *peer,
                            const Shuntrun__NodeUpdate *update);
};

struct node;

/** \brief Create a node. \param seed of the jitter of its reads \param driver copied */
struct node *node_create(const struct node_settings *settings, const char *name, const char *zone,
                         enum machine_role role, uint64_t seed, uint64_t now,
                         const struct node_driver *driver);
void node_destroy(struct node *node);

/** \brief Set the status that this node reports. A change of drain state, pause epoch or ready
 * models is pushed to peers immediately; other changes follow with the next poll. */
void node_set_status(struct node *node, uint64_t now, const struct node_status *status);

/** \brief Set the peers to poll besides the neighbours of the overlay. \param ids copied */
void node_set_extra_links(struct node *node, const uint64_t *ids, uint32_t count);

/** \brief Process a control message from a peer. */
void node_on_message(struct node *node, uint64_t now, const Shuntrun__Envelope *message);
/** \brief Complete a read of the platform. \param body valid during the call, if NODE_READ_NEWER */
void node_on_read(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                  enum node_read_result result, uint64_t revision, const char *body, size_t size);
/** \brief Start the reads and polls that are due, and join when a new node may. */
void node_on_tick(struct node *node, uint64_t now);

/** \brief Send an update to one peer; `swarm`, if not NULL, adds the chunks held of `rollout`. */
void node_send_update(struct node *node, uint64_t now, uint64_t peer,
                      const struct swarm_update *swarm, const char *rollout);

uint64_t node_id(const struct node *node);
const struct fleet_config *node_config(const struct node *node); /**< NULL before the first one */
const struct fleet *node_fleet(const struct node *node);         /**< not NULL, may be empty */
/** \return NULL until a configuration and a machine list are accepted */
const struct placement *node_placement(const struct node *node);
const struct peer *node_peer(const struct node *node, uint64_t id); /**< NULL if unknown */
/** \brief A known peer. \param index below node_peer_count() */
const struct peer *node_peer_at(const struct node *node, uint32_t index);
uint32_t node_peer_count(const struct node *node);
/** \brief Whether a peer was heard within `suspect_us`. \param peer may be NULL */
bool node_peer_alive(const struct node *node, const struct peer *peer, uint64_t now);
/** \brief Number of links whose peer is alive. */
uint32_t node_alive_link_count(const struct node *node, uint64_t now);

#endif

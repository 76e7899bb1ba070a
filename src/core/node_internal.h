/**
 * State of a node, shared by node.c (documents) and node_peers.c (membership).
 */
#ifndef SHUNTRUN_NODE_INTERNAL_H
#define SHUNTRUN_NODE_INTERNAL_H

#include "core/node.h"
#include "core/random.h"

#define DOCUMENT_KINDS 2

/* Reading of one document. */
struct reader {
    struct document document;
    bool read_in_flight;            /* a read of the platform is out */
    uint64_t confirmed_at;          /* newest time at which anybody known confirmed it; 0: never */
    uint64_t next_read_at;          /* not before */
    uint32_t failures;              /* in a row */
    uint64_t peer_request_sent_at;  /* last request to a peer */
    uint32_t rank;                  /* of this node among its zone, for reading the platform */
    uint64_t newest_known_revision; /* greatest revision heard of */
};

struct node {
    struct node_settings settings;
    struct node_driver driver;
    struct random_stream random;
    char name[FLEET_NAME_SIZE];
    char zone[FLEET_NAME_SIZE];
    enum machine_role role;
    uint64_t id;
    uint64_t first_read_at; /* of the machine list; spread, as whole fleets may restart at once */
    uint64_t fleet_received_at; /* since when there is a machine list */
    struct node_status status;
    struct reader readers[DOCUMENT_KINDS];
    bool joined; /* neighbours were heard; configurations may be accepted */
    struct document_version
        pending_config; /* newest configuration that came before joining; owned */
    struct fleet_config *config;
    struct fleet fleet;
    struct policy *policy;
    struct placement placement;
    bool has_placement;
    struct peer *peers;
    uint32_t peer_count;
    uint64_t *extra_links;
    uint32_t extra_link_count;
};

/* node_peers.c */
void node_peers_on_update(struct node *node, uint64_t now, const Shuntrun__Envelope *message);
void node_peers_rebuild_links(struct node *node);
void node_peers_poll(struct node *node, uint64_t now);
void node_peers_push(struct node *node, uint64_t now);
bool node_peers_have_reported(const struct node *node);

/* node.c */
uint64_t node_stored_config_revision(const struct node *node);
void node_process_revisions(struct node *node, uint64_t now, uint64_t from,
                            const Shuntrun__NodeUpdate *update);
void node_send_to(struct node *node, uint64_t id, Shuntrun__Envelope *message);

#endif

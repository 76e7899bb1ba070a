/**
 * State of a node, shared by node.c (accepted documents), node_read.c (reads of the platform),
 * node_sync.c (documents from and to peers) and node_peers.c (membership).
 */
#ifndef SHUNTRUN_NODE_INTERNAL_H
#define SHUNTRUN_NODE_INTERNAL_H

#include "core/node.h"
#include "core/random.h"

#define DOCUMENT_KINDS 2

/* One document, and the state of reading it from the platform and from peers. */
struct reader {
    struct document document;
    bool read_in_flight;   /* a read of the platform is in progress */
    uint64_t confirmed_at; /* newest time at which this node or a peer confirmed it; 0: never */
    uint64_t next_read_at; /* earliest time of the next read of the platform */
    uint32_t failures;     /* consecutive failed reads */
    uint64_t peer_request_sent_at;  /* time of the request to a peer in progress; 0: none */
    uint32_t rank;                  /* of this node among the readers of its zone */
    uint64_t newest_known_revision; /* greatest revision that a peer reported */
};

struct node {
    struct node_settings settings;
    struct node_driver driver;
    struct random_stream random;
    char name[FLEET_NAME_SIZE];
    char zone[FLEET_NAME_SIZE];
    enum machine_role role;
    uint64_t id;
    uint64_t first_read_at;     /* earliest read of the machine list, see START_JITTER_US */
    uint64_t fleet_received_at; /* time of the first machine list */
    struct node_status status;
    struct reader readers[DOCUMENT_KINDS];
    bool joined; /* configurations may be accepted, see node_join_if_ready() */
    struct document_version pending_config; /* newest one received before joining; owned */
    struct fleet_config *config;
    struct fleet fleet;
    struct policy *policy;
    struct placement placement;
    bool has_placement; /* `placement` is valid */
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

/* node_read.c */
void node_read_start_due(struct node *node, uint64_t now);

/* node_sync.c */
void node_sync_on_request(struct node *node, uint64_t from,
                          const Shuntrun__DocumentRequest *request);
void node_sync_on_reply(struct node *node, uint64_t now, const Shuntrun__DocumentReply *reply);
uint64_t node_sync_stored_config_revision(const struct node *node);
void node_sync_on_revisions(struct node *node, uint64_t now, uint64_t from,
                            const Shuntrun__NodeUpdate *update);

/* node.c */
/* Accepts a document that is newer than the accepted one, or keeps it until the node has joined. */
void node_accept_document(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                          uint64_t revision, const char *body, size_t size);
void node_join_if_ready(struct node *node, uint64_t now);
void node_send_to(struct node *node, uint64_t id, Shuntrun__Envelope *message);

#endif

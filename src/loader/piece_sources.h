/**
 * Connections of one rollout: one to each peer that is asked, and one to the origin.
 */
#ifndef SHUNTRUN_PIECE_SOURCES_H
#define SHUNTRUN_PIECE_SOURCES_H

#include "cluster/cluster.h"
#include "net/http_caller.h"

/** Peers that one rollout asks at most. */
#define PIECE_SOURCES_MOST 512

/** A connection for calls to one peer, or to the origin. */
struct piece_source {
    uint64_t id; /**< address of the peer, or SWARM_ORIGIN */
    struct http_caller *caller;
    bool cancelled; /**< its present call is to be broken off */
};

struct piece_sources {
    const struct cluster *cluster;
    struct sockaddr_in origin;
    struct piece_source list[PIECE_SOURCES_MOST];
    uint32_t count;
};

/** \brief The connection to a source, made if need be. \return NULL when there are too many */
struct http_caller *piece_sources_get(struct piece_sources *sources, uint64_t id);
/** \brief Break the present call to a source off at the next tick. */
void piece_sources_cancel(struct piece_sources *sources, uint64_t id);
/** \brief Break off what was cancelled, and close a connection to the origin that is not used. */
void piece_sources_tick(struct piece_sources *sources);
void piece_sources_close(struct piece_sources *sources);

#endif

/**
 * Where the pieces of one version come from: the nodes and the origin that the relay plan names for
 * each piece, a few connections to each, and a rest for those that fail.
 */
#ifndef SHUNTRUN_PIECE_SOURCES_H
#define SHUNTRUN_PIECE_SOURCES_H

#include "cluster/cluster.h"
#include "core/relay_plan.h"
#include "net/http_caller.h"
#include "weights/piece_set.h"

/** Connections to one source at most. */
#define PIECE_MAX_CONNECTIONS 4

/** Which of the plan's ways to its sources a node goes. */
enum piece_role { PIECE_ROLE_LOADER, PIECE_ROLE_RELAY };

struct piece_source;

/** A connection to a source; one call at a time. */
struct piece_connection {
    void *owner; /**< of the lane's calls */
    struct piece_source *source;
    uint32_t index; /**< among the lanes of the source */
    struct http_caller *caller;
    bool busy;
    uint64_t requested_at; /**< time of the last call */
};

struct piece_source {
    uint32_t address; /**< RELAY_ORIGIN: the origin */
    uint64_t backoff_until;
    uint32_t failures; /**< in a row */
    struct piece_connection *connections[PIECE_MAX_CONNECTIONS];
};

struct piece_sources;

/** \param owner of the lanes' calls \param set must outlive the sources */
struct piece_sources *piece_sources_create(struct cluster *cluster, const struct piece_set *set,
                                           enum piece_role role, void *owner);
void piece_sources_destroy(struct piece_sources *sources);
/** \brief Say where the origin is; until then it is not chosen. */
void piece_sources_set_origin(struct piece_sources *sources, const struct sockaddr_in *origin);
/**
 * \brief Share a loader's pieces among so many relays of its region.
 * With one relay for each loader, the relay that rank gives most loaders bounds their rate: 15
 * pieces a second on links that carry 24, after a loss of power.
 */
void piece_sources_set_parallel_relays(struct piece_sources *sources, uint32_t relays);
/** \brief List the sources anew. \param since_progress_us time since the last piece */
void piece_sources_update(struct piece_sources *sources, uint64_t since_progress_us);
/** \brief Follow changes of the members, and break off calls to nodes that say nothing. */
void piece_sources_tick(struct piece_sources *sources, uint64_t since_progress_us, uint64_t now);
/** \return the best source for a piece that does not rest, NULL: none */
struct piece_source *piece_sources_choose(struct piece_sources *sources, uint32_t piece,
                                          uint64_t now);
/** \return the best source for the manifest that does not rest, NULL: none */
struct piece_source *piece_sources_choose_manifest(struct piece_sources *sources, uint64_t now);
/** \return a connection to a source, made if need be */
struct piece_connection *piece_sources_connect(struct piece_sources *sources,
                                               struct piece_source *source, uint32_t index);
/** \brief A source failed: it is not chosen for a while, longer each time. */
void piece_source_back_off(struct piece_source *source, uint64_t now);
/**
 * \brief A source lives and does not have it yet: others are tried meanwhile, and soon it again.
 * While the origin is away all sources are so; if each rested longer every time, nodes would come
 * to a few of them by chance, and those would feed all when the pieces are there.
 */
void piece_source_not_ready(struct piece_source *source, uint64_t now);
/** \return by which of its pieces this node begins, greatest first */
uint64_t piece_sources_weight(const struct piece_sources *sources, uint32_t piece);
/** \return connections on which part of an answer has come */
uint32_t piece_sources_receiving(const struct piece_sources *sources);
/** \return relays that the plan names */
uint32_t piece_sources_relays(const struct piece_sources *sources);

#endif

/**
 * The sources of one version's pieces: the nodes and the origin that the relay plan names for each
 * piece, the connections to them, and the backoff of those that fail.
 */
#ifndef SHUNTRUN_PIECE_SOURCES_H
#define SHUNTRUN_PIECE_SOURCES_H

#include "cluster/cluster.h"
#include "core/weights/relay_plan.h"
#include "net/http_caller.h"
#include "weights/piece_set.h"
#include "weights/piece_wire.h"

/** Maximum number of connections to one source. */
#define PIECE_MAX_CONNECTIONS 4
/** Connections on which the origin is asked for the manifest at the same time, so that it is read
 * twice in the time of once. */
#define PIECE_MANIFEST_CONNECTIONS 2

/** Selects which sources the relay plan gives to a node. */
enum piece_role { PIECE_ROLE_LOADER, PIECE_ROLE_RELAY };

struct piece_source;

/** A connection to a source, with at most one request in flight. */
struct piece_connection {
    void *owner; /**< set by piece_sources_create() */
    struct piece_source *source;
    uint32_t index; /**< among the connections of the source */
    struct http_caller *caller;
    bool busy;
    bool asks_manifest;                  /**< the last request was for the manifest */
    uint64_t requested_at;               /**< time of the last request (us) */
    uint64_t wanted[PIECE_BITMAP_WORDS]; /**< pieces that the last request asked for */
};

struct piece_source {
    uint32_t address; /**< RELAY_ORIGIN for the origin */
    uint64_t backoff_until;
    uint32_t failures; /**< consecutive */
    struct piece_connection *connections[PIECE_MAX_CONNECTIONS];
};

struct piece_sources;

/** \param set must outlive the sources \param owner passed on as `owner` of each connection */
struct piece_sources *piece_sources_create(struct cluster *cluster, const struct piece_set *set,
                                           enum piece_role role, void *owner);
void piece_sources_destroy(struct piece_sources *sources);
/** \brief Set the address of the origin, which is not chosen before. */
void piece_sources_set_origin(struct piece_sources *sources, const struct sockaddr_in *origin);
/**
 * \brief Spread a loader's pieces over this many relays of its region.
 * With a single relay per loader, the relay that rendezvous hashing gives the most loaders limits
 * their rate: 15 pieces a second on links that carry 24, after a power failure.
 */
void piece_sources_set_parallel_relays(struct piece_sources *sources, uint32_t relays);
/** \brief Recompute the candidate sources. \param since_progress_us time since the last piece */
void piece_sources_update(struct piece_sources *sources, uint64_t since_progress_us);
/** \brief Follow membership changes, and abort requests that got no first byte in time. */
void piece_sources_tick(struct piece_sources *sources, uint64_t since_progress_us, uint64_t now);
/** \return the preferred source for a piece that is not backed off, NULL: none */
struct piece_source *piece_sources_choose(struct piece_sources *sources, uint32_t piece,
                                          uint64_t now);
/** \return the preferred source for the manifest that is neither backed off nor asked already,
 * NULL: none */
struct piece_source *piece_sources_choose_manifest(struct piece_sources *sources, uint64_t now);
/** \return the origin, if it may be asked for the manifest now; NULL otherwise */
struct piece_source *piece_sources_manifest_origin(struct piece_sources *sources, uint64_t now);
/** \return a connection to a source, created on first use */
struct piece_connection *piece_sources_connect(struct piece_sources *sources,
                                               struct piece_source *source, uint32_t index);
/** \brief Record a failure of a source: exponential backoff, except for the origin. */
void piece_source_back_off(struct piece_source *source, uint64_t now);
/**
 * \brief Record that a source is up but does not have the data yet: a short constant backoff,
 * during which other sources are tried. All sources are in this state while the origin is down.
 * With an exponential backoff, nodes would then gather by chance at a few of them, which would have
 * to serve all nodes once the pieces are available.
 */
void piece_source_not_ready(struct piece_source *source, uint64_t now);
/** \return rendezvous weight of a piece for this node, which fetches the greatest first */
uint64_t piece_sources_weight(const struct piece_sources *sources, uint32_t piece);
/** \return number of connections that are receiving a response */
uint32_t piece_sources_receiving(const struct piece_sources *sources);
/** \return number of relays in the plan */
uint32_t piece_sources_relays(const struct piece_sources *sources);

#endif

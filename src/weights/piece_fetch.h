/**
 * Fetches the manifest and the pieces of one version from relays, loaders or the origin.
 *
 * A manifest is asked for until one is trusted; pieces are fetched meanwhile. One that is trusted
 * is asked for again when a node sends a piece that it does not have, and when no piece comes for
 * long.
 *
 * Each source has a few connections with at most one request in flight each. Pieces are divided
 * among the connections. A request to a node names all missing pieces of its connection, and the
 * node responds with whichever it has first; the origin is asked for one piece per request. A
 * source that fails is backed off, and the next one in the order of the relay plan is used.
 */
#ifndef SHUNTRUN_PIECE_FETCH_H
#define SHUNTRUN_PIECE_FETCH_H

#include "cluster/cluster.h"
#include "core/weights/link_rate.h"
#include "weights/piece_set.h"
#include "weights/piece_sources.h"

struct piece_fetch;

struct piece_fetch_callbacks {
    void *context;
    /** Another manifest is used, none is any more, or the one in use is trusted now. */
    void (*manifest_changed)(void *context);
    /** A piece was received and its digest matches the manifest. */
    void (*piece_received)(void *context, uint32_t piece);
};

/** \param set must outlive the fetch */
struct piece_fetch *piece_fetch_create(struct cluster *cluster, struct piece_set *set,
                                       enum piece_role role,
                                       const struct piece_fetch_callbacks *callbacks);
void piece_fetch_destroy(struct piece_fetch *fetch);
/** \brief Set the address of the origin, which is not used before, and send what waits for it. */
void piece_fetch_set_origin(struct piece_fetch *fetch, const struct sockaddr_in *origin);
/** \brief Set the number of connections per source, clamped to 1 ... PIECE_MAX_CONNECTIONS. */
void piece_fetch_set_connections(struct piece_fetch *fetch, uint32_t connections);
/** \brief Set the number of pieces that the configuration gives the version; 0: it gives none. */
void piece_fetch_expect(struct piece_fetch *fetch, uint32_t pieces);
/** \brief Pause or resume requests for pieces. The manifest is fetched even while paused. */
void piece_fetch_set_paused(struct piece_fetch *fetch, bool paused);
/** \brief Handle timeouts, backoffs and changes of the plan; call about ten times a second. */
void piece_fetch_tick(struct piece_fetch *fetch, uint64_t now);
/** \return time at which the last piece was received (us), 0: none yet */
uint64_t piece_fetch_last_progress(const struct piece_fetch *fetch);
/** \brief Link rate of this machine as estimated from its transfers. */
struct link_rate *piece_fetch_link(struct piece_fetch *fetch);

#endif

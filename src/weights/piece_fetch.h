/**
 * Fetches the manifest and the pieces of one version from relays, loaders or the origin.
 *
 * Each source has a few connections, each with one call under way. A call to a node names all
 * missing pieces of its connection's part and gets whichever the node has first; the origin is
 * asked for one piece after the other. A source that fails rests for a while, and the next one in
 * the plan's order is asked instead.
 */
#ifndef SHUNTRUN_PIECE_FETCH_H
#define SHUNTRUN_PIECE_FETCH_H

#include "cluster/cluster.h"
#include "core/link_rate.h"
#include "weights/piece_set.h"
#include "weights/piece_sources.h"

struct piece_fetch;

struct piece_fetch_callbacks {
    void *context;
    /** The manifest came. */
    void (*manifest_received)(void *context);
    /** A piece came and its digest is right. */
    void (*piece_received)(void *context, uint32_t piece);
};

/** \param set must outlive the fetch */
struct piece_fetch *piece_fetch_create(struct cluster *cluster, struct piece_set *set,
                                       enum piece_role role,
                                       const struct piece_fetch_callbacks *callbacks);
void piece_fetch_destroy(struct piece_fetch *fetch);
/** \brief Say where the origin is; until then it is not asked. */
void piece_fetch_set_origin(struct piece_fetch *fetch, const struct sockaddr_in *origin);
/** \brief Connections to each source from now on, at most PIECE_MAX_CONNECTIONS. */
void piece_fetch_set_connections(struct piece_fetch *fetch, uint32_t connections);
/** \brief Ask for no more pieces for now, or go on. The manifest is fetched all the same. */
void piece_fetch_set_paused(struct piece_fetch *fetch, bool paused);
/** \brief Time-outs, rests and changes of the plan; call some ten times a second. */
void piece_fetch_tick(struct piece_fetch *fetch, uint64_t now);
/** \return time of the last piece, 0: none came yet */
uint64_t piece_fetch_last_progress(const struct piece_fetch *fetch);
/** \brief The machine's link as the transfers show it. */
struct link_rate *piece_fetch_link(struct piece_fetch *fetch);

#endif

/**
 * The pieces of one version of a model in a loader: fetched from relays, kept in memory, and served
 * to relays that have no other source.
 */
#ifndef SHUNTRUN_PIECE_STORE_H
#define SHUNTRUN_PIECE_STORE_H

#include "cluster/cluster.h"
#include "platform/platform.h"
#include "weights/piece_wire.h"

struct piece_store;

struct piece_store_callbacks {
    void *context;
    /** A piece was fetched and its digest verified. */
    void (*piece_held)(void *context, const struct piece_store *store);
};

/** \brief Start without pieces. \param origin address of the origin */
struct piece_store *piece_store_create(struct cluster *cluster, const char *model,
                                       const struct sockaddr_in *origin, uint64_t version,
                                       const struct piece_store_callbacks *callbacks);
void piece_store_destroy(struct piece_store *store);

/** What else uses the machine's link while pieces are fetched. */
enum link_sharing {
    LINK_EXCLUSIVE,          /**< nothing */
    LINK_SHARED_WITH_ENGINE, /**< responses of this machine's engine */
    LINK_LOW_PRIORITY,       /**< those, and a version that is fetched first */
};

/** \brief Set what else uses the link: it bounds the connections to each source. */
void piece_store_set_link_sharing(struct piece_store *store, enum link_sharing sharing);
/** \brief Advance fetching and serving; call some ten times a second. */
void piece_store_tick(struct piece_store *store, uint64_t now);
uint64_t piece_store_version(const struct piece_store *store);
/** \brief Set the number of pieces that the configuration gives the version; 0: it gives none. */
void piece_store_expect(struct piece_store *store, uint32_t pieces);
/** \return the manifest in use, NULL: none is known */
const struct piece_manifest *piece_store_manifest(const struct piece_store *store);
/** \return number that changes with the manifest in use */
uint32_t piece_store_manifest_changes(const struct piece_store *store);
/** \return NULL when not held */
const uint8_t *piece_store_data(const struct piece_store *store, uint32_t piece, size_t *size);
/** \brief Add a piece that was read from the engine's staging area. \return whether its digest is
 * the expected one and it was missing */
bool piece_store_add(struct piece_store *store, uint32_t piece, const void *bytes, size_t size);
/** \return number of pieces held */
uint32_t piece_store_held(const struct piece_store *store);
/** \return whether all pieces are held */
bool piece_store_complete(const struct piece_store *store);
/** \brief Pause or resume fetching pieces; paused while they are read from the engine's staging
 * area. */
void piece_store_pause_fetch(struct piece_store *store, bool held_back);
/** \return time at which the last piece was fetched, 0: none yet */
uint64_t piece_store_last_piece_at(const struct piece_store *store);
/** \return whether transfers show much less bandwidth than the link's nominal rate */
bool piece_store_link_is_slow(const struct piece_store *store);
/** \return whether at least half of the pieces are held */
bool piece_store_half_held(const struct piece_store *store);
/** \brief Answer a call for a piece or the manifest. \return false, without an answer, if it is for
 * another version or model */
bool piece_store_serve(struct piece_store *store, struct service_call *call,
                       const struct piece_call *wanted);

#endif

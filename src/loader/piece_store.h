/**
 * The pieces of one version of a model at a loader: fetched from relays, held in memory, and served
 * to relays that find them nowhere else.
 */
#ifndef SHUNTRUN_PIECE_STORE_H
#define SHUNTRUN_PIECE_STORE_H

#include "cluster/cluster.h"
#include "platform/platform.h"
#include "weights/piece_wire.h"

struct piece_store;

struct piece_store_callbacks {
    void *context;
    /** A piece was fetched and its digest checked. */
    void (*piece_held)(void *context, const struct piece_store *store, uint32_t piece);
};

struct piece_store *piece_store_create(struct cluster *cluster, const char *model,
                                       const struct sockaddr_in *origin, uint64_t version,
                                       const struct piece_store_callbacks *callbacks);
void piece_store_destroy(struct piece_store *store);
/** Who else needs the link while pieces are fetched. */
enum link_sharing {
    LINK_EXCLUSIVE,          /**< nobody */
    LINK_SHARED_WITH_ENGINE, /**< the answers of the engine beside */
    LINK_LOW_PRIORITY,       /**< those, and another version that goes first */
};

void piece_store_set_link_sharing(struct piece_store *store, enum link_sharing sharing);
void piece_store_tick(struct piece_store *store, uint64_t now);
uint64_t piece_store_version(const struct piece_store *store);
/** \return NULL before the manifest is known */
const struct piece_manifest *piece_store_manifest(const struct piece_store *store);
/** \return NULL when not held */
const uint8_t *piece_store_data(const struct piece_store *store, uint32_t piece, size_t *size);
/** \brief A piece came from the engine's own stage. \return whether its digest is right */
bool piece_store_add(struct piece_store *store, uint32_t piece, const void *bytes, size_t size);
bool piece_store_complete(const struct piece_store *store);
/** \brief Fetch nothing for now: the engine's own stage is read first. */
void piece_store_pause_fetch(struct piece_store *store, bool held_back);
/** \return time of the last fetched piece, 0: none yet */
uint64_t piece_store_last_piece_at(const struct piece_store *store);
/** \return whether transfers show a link much narrower than it should be */
bool piece_store_link_is_slow(const struct piece_store *store);
/** \return whether at least half of the pieces are held */
bool piece_store_half_held(const struct piece_store *store);
/** \return whether the call was one for a piece or manifest of this version, and is answered */
bool piece_store_serve(struct piece_store *store, struct service_call *call,
                       const struct piece_call *wanted);

#endif

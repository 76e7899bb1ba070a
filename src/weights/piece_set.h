/**
 * The pieces of one version of a model that this process holds in memory, checked by their digests.
 */
#ifndef SHUNTRUN_PIECE_SET_H
#define SHUNTRUN_PIECE_SET_H

#include "base/status.h"
#include "core/backend/backend_pool.h"
#include "platform/platform.h"

struct piece_set;

enum piece_add_result {
    PIECE_ADDED,     /**< now held */
    PIECE_DUPLICATE, /**< was held already */
    PIECE_UNKNOWN,   /**< the manifest does not have its digest */
};

struct piece_set *piece_set_create(const char *model, uint64_t version);
void piece_set_destroy(struct piece_set *set);
const char *piece_set_model(const struct piece_set *set);
uint64_t piece_set_version(const struct piece_set *set);
/** \return hash of the model and version, the key for rendezvous hashing */
uint64_t piece_set_version_key(const struct piece_set *set);

/**
 * \brief Parse the manifest and keep it with its original bytes. No effect if one is held already.
 * \return STATUS_INVALID when it is malformed or of another version
 */
enum status piece_set_add_manifest(struct piece_set *set, const char *body, size_t size);
/** \return NULL before the manifest was added */
const struct piece_manifest *piece_set_manifest(const struct piece_set *set);
/** \brief The manifest's original bytes. \return NULL before the manifest was added */
const char *piece_set_manifest_body(const struct piece_set *set, size_t *size);

/** \brief Add a copy of a piece, identified by its digest. \param piece gets its index, unless the
 * result is PIECE_UNKNOWN */
enum piece_add_result piece_set_add(struct piece_set *set, const void *bytes, size_t size,
                                    uint32_t *piece);
/** \return NULL when not held */
const uint8_t *piece_set_data(const struct piece_set *set, uint32_t piece, size_t *size);
/** \return number of pieces held */
uint32_t piece_set_held(const struct piece_set *set);
bool piece_set_complete(const struct piece_set *set);

#endif

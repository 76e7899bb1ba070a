/**
 * The pieces of one version of a model that this process holds in memory, checked by the digests of
 * the version's manifest.
 *
 * Several manifests may have been received (core/weights/manifest_candidates.h). One of them is in
 * use: it gives the pieces their numbers. Another one takes its place when it has more support, or
 * when all of its pieces are held. Pieces that both have stay held.
 */
#ifndef SHUNTRUN_PIECE_SET_H
#define SHUNTRUN_PIECE_SET_H

#include "base/status.h"
#include "core/backend/backend_pool.h"
#include "core/weights/manifest_candidates.h"
#include "platform/platform.h"

struct piece_set;

enum piece_add_result {
    PIECE_ADDED,     /**< now held */
    PIECE_KEPT,      /**< kept for a manifest that is not in use */
    PIECE_DUPLICATE, /**< was held already */
    PIECE_UNKNOWN,   /**< no manifest has its digest for a piece that was asked for */
    PIECE_REFUTES,   /**< the same, and as the origin sent it before, no manifest is trusted now */
};

/** A piece that was received. */
struct received_piece {
    enum manifest_sender sender;
    const uint64_t *wanted; /**< bitmap of the pieces asked for, one of which it is; the origin is
                               asked for one */
    uint32_t wanted_bits;   /**< size of the bitmap */
    const void *bytes;
    size_t size;
};

struct piece_set *piece_set_create(const char *model, uint64_t version);
void piece_set_destroy(struct piece_set *set);
const char *piece_set_model(const struct piece_set *set);
uint64_t piece_set_version(const struct piece_set *set);
/** \return hash of the model and version, the key for rendezvous hashing */
uint64_t piece_set_version_key(const struct piece_set *set);

/** \brief Set the number of pieces that the configuration gives the version. \param pieces 0: it
 * gives none */
void piece_set_expect(struct piece_set *set, uint32_t pieces);

/**
 * \brief Parse a manifest and take note of it.
 * \return STATUS_INVALID when it is malformed, of another model or version, or has not the expected
 *         number of pieces
 */
enum status piece_set_add_manifest(struct piece_set *set, enum manifest_sender sender,
                                   const char *body, size_t size);
/** \return the manifest in use, NULL: none was received */
const struct piece_manifest *piece_set_manifest(const struct piece_set *set);
/** \return key of the digests of the manifest in use, which differs between manifests; 0: none is
 */
uint64_t piece_set_manifest_key(const struct piece_set *set);
/** \return number that changes with the manifest in use */
uint32_t piece_set_manifest_changes(const struct piece_set *set);
/** \return whether the manifest in use may be handed on */
bool piece_set_manifest_is_trusted(const struct piece_set *set);
/** \return whether only readings of the origin make a manifest trusted, as one was refuted */
bool piece_set_needs_readings(const struct piece_set *set);
/** \brief The original bytes of the manifest in use. \return NULL when there is none */
const char *piece_set_manifest_body(const struct piece_set *set, size_t *size);

/** \return whether one of the wanted pieces has the same digest as another one. A node must not be
 * asked for both at once: its response doesn't tell which of them it is. */
bool piece_set_wants_equal_digest(const struct piece_set *set, const uint64_t *wanted,
                                  uint32_t piece);
/** \brief Add a copy of a piece. \param piece gets its index if the result is PIECE_ADDED or
 * PIECE_DUPLICATE */
enum piece_add_result piece_set_add(struct piece_set *set, const struct received_piece *received,
                                    uint32_t *piece);
/** \return NULL when not held */
const uint8_t *piece_set_data(const struct piece_set *set, uint32_t piece, size_t *size);
/** \return number of pieces held */
uint32_t piece_set_held(const struct piece_set *set);
/** \return whether all pieces are held, and no others are missing in the manifest */
bool piece_set_complete(const struct piece_set *set);

#endif

/**
 * The manifests that were received for one version of a model, and which of them is used.
 *
 * The origin may send a manifest that is spoilt but well-formed, so one reading proves nothing. A
 * manifest is trusted once the origin sent the same one twice, or once another node, which hands on
 * trusted ones only, sent it. It stays open to evidence: when the origin sends the same piece twice
 * and the manifest has another digest for it, the manifest is refuted and has to be read anew.
 * Until then the one with the most support is used to fetch pieces, none of which is lost when
 * another manifest takes its place.
 */
#ifndef SHUNTRUN_MANIFEST_CANDIDATES_H
#define SHUNTRUN_MANIFEST_CANDIDATES_H

#include "core/digest.h"

#include <stdbool.h>
#include <stdint.h>

/** Readings of one manifest from the origin that make it trusted. */
#define MANIFEST_READINGS_TRUSTED 2
/** Candidates kept at a time; the one with the least support is dropped for a new one. */
#define MANIFEST_CANDIDATES_MAX 8
#define MANIFEST_NONE UINT32_MAX

enum manifest_sender {
    MANIFEST_SENDER_ORIGIN,
    MANIFEST_SENDER_NODE, /**< another relay or loader, which trusts what it sends */
};

struct manifest_candidate {
    uint64_t id;            /**< unique among all candidates of this version */
    struct digest *digests; /**< of the pieces, in their order; owned */
    uint32_t count;
    void *body; /**< as it was received first; owned */
    size_t body_size;
    uint32_t readings; /**< from the origin, since it was refuted last */
    uint64_t read_at;  /**< order of the last reading; 0: none */
    uint64_t told_at;  /**< order of the last time that a node sent it; 0: none */
};

/** A piece from the origin that the manifest in use does not have. */
struct unknown_piece {
    uint32_t piece;
    struct digest digest;
};

struct manifest_candidates {
    struct manifest_candidate list[MANIFEST_CANDIDATES_MAX];
    uint32_t count;
    uint32_t expected_pieces; /**< as the configuration says; 0: it does not */
    uint64_t events;          /**< orders readings */
    bool needs_readings;      /**< one was refuted: nodes may have copied it, so that only readings
                                 of the origin make another one trusted */
    struct unknown_piece *unknown; /**< the last one of each piece; owned */
    uint32_t unknown_count;
};

/** \brief Free all candidates. */
void manifest_candidates_clear(struct manifest_candidates *candidates);

/** \brief Set the number of pieces; candidates that have another number are dropped.
 * \param pieces 0: not known */
void manifest_candidates_expect(struct manifest_candidates *candidates, uint32_t pieces);

/** A manifest that was received. */
struct manifest_reading {
    enum manifest_sender sender;
    const struct digest *digests;
    uint32_t count;
    const void *body;
    size_t body_size;
};

/**
 * \brief Take note of a manifest that was received; it is copied.
 * \return index of the candidate, MANIFEST_NONE if it has not the expected number of pieces; other
 *         indexes may change
 */
uint32_t manifest_candidates_add(struct manifest_candidates *candidates,
                                 const struct manifest_reading *reading);

/** \return index of the candidate with the most support, MANIFEST_NONE if there is none */
uint32_t manifest_candidates_best(const struct manifest_candidates *candidates);

/** \return whether the candidate may be handed on, and its number of pieces believed */
bool manifest_candidate_is_trusted(const struct manifest_candidates *candidates,
                                   const struct manifest_candidate *candidate);

/**
 * \brief The origin sent a whole piece whose digest no candidate has at this place.
 * \return whether this refutes the candidates: it sent the same piece before
 */
bool manifest_candidates_refute(struct manifest_candidates *candidates, uint32_t piece,
                                const struct digest *digest);

#endif

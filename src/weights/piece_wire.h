/**
 * Calls for weights between nodes: the manifest of a version, and any one of a set of pieces.
 *
 *     GET /manifest?model=NAME&version=N               200 with the manifest as the origin gave it
 *     GET /piece?model=NAME&version=N&wanted=BITMAP    200 with the bytes of one of these pieces
 *
 * Both wait for a while for what is not there yet. 404: not to be had here; 409: not in time. The
 * bitmap is in hex, 16 digits a word, the first word first. Which piece came is told by its digest.
 */
#ifndef SHUNTRUN_PIECE_WIRE_H
#define SHUNTRUN_PIECE_WIRE_H

#include "base/buffer.h"
#include "net/http_service.h"

/** Pieces of one version at most. */
#define PIECE_MAX_COUNT 4096
#define PIECE_BITMAP_WORDS (PIECE_MAX_COUNT / 64)

enum piece_call_kind { PIECE_CALL_OTHER, PIECE_CALL_MANIFEST, PIECE_CALL_PIECE };

/** A call for a manifest or a piece. */
struct piece_call {
    enum piece_call_kind kind;
    char model[64];
    uint64_t version;
    uint64_t wanted[PIECE_BITMAP_WORDS];
};

/** \brief Read a call. `kind` is PIECE_CALL_OTHER when it is none of these, or malformed. */
void piece_wire_read(const struct service_request *request, struct piece_call *call);
/** \brief Append the target of a call for the manifest, closed by zero. */
void piece_wire_write_manifest(const char *model, uint64_t version, struct buffer *target);
/** \brief Append the target of a call for one of some pieces. \param pieces of the version */
void piece_wire_write_piece(const char *model, uint64_t version, const uint64_t *wanted,
                            uint32_t pieces, struct buffer *target);

#endif

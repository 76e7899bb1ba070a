/**
 * Requests for weights between nodes: the manifest of a version, or any one of a set of pieces.
 *
 *     GET /manifest?model=NAME&version=N               200 with the origin's manifest, unchanged
 *     GET /piece?model=NAME&version=N&manifest=KEY&wanted=BITMAP
 *                                                      200 with the bytes of one of these pieces
 *
 * Both may wait for data that the server does not hold yet. 404: not served here; 409: not
 * available in time; 412: the server uses another manifest than the one with this key, so that the
 * numbers of the pieces may stand for others. Without a key none is compared. The bitmap is a
 * sequence of 64-bit words of 16 hex digits each; piece i is bit i % 64 of word i / 64. The
 * receiver identifies the piece by its digest.
 */
#ifndef SHUNTRUN_PIECE_WIRE_H
#define SHUNTRUN_PIECE_WIRE_H

#include "base/buffer.h"
#include "net/http_service.h"

/** Maximum number of pieces in one version. */
#define PIECE_MAX_COUNT 4096
#define PIECE_BITMAP_WORDS (PIECE_MAX_COUNT / 64)

enum piece_call_kind { PIECE_CALL_OTHER, PIECE_CALL_MANIFEST, PIECE_CALL_PIECE };

/** A parsed request for a manifest or a piece. */
struct piece_call {
    enum piece_call_kind kind;
    char model[64];
    uint64_t version;
    uint64_t manifest_key; /**< of the manifest that numbers the pieces; 0: not given */
    uint64_t wanted[PIECE_BITMAP_WORDS];
};

/** \brief Parse a request. `kind` is PIECE_CALL_OTHER for other paths and malformed requests. */
void piece_wire_read(const struct service_request *request, struct piece_call *call);
/** \brief Append the zero-terminated target of a request for the manifest. */
void piece_wire_write_manifest(const char *model, uint64_t version, struct buffer *target);
/**
 * \brief Append the zero-terminated target of a request for any one of the `wanted` pieces.
 * \param pieces number of pieces in the version
 */
void piece_wire_write_piece(const char *model, uint64_t version, uint64_t manifest_key,
                            const uint64_t *wanted, uint32_t pieces, struct buffer *target);

#endif

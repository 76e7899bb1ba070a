/**
 * Local copy of a document that the platform publishes (configuration, machine list): the newest
 * accepted revision and a short history for deltas. Revisions only increase.
 */
#ifndef SHUNTRUN_DOCUMENT_H
#define SHUNTRUN_DOCUMENT_H

#include "base/status.h"
#include "core/digest.h"
#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DOCUMENT_HISTORY 4 /**< revisions kept, the newest included */
#define DOCUMENT_MAX_BYTES (2 * 1024 * 1024)

struct document_version {
    uint64_t revision;
    char *body; /**< owned */
    size_t size;
};

struct document {
    struct document_version versions[DOCUMENT_HISTORY]; /**< newest first */
    uint64_t rejected_revision;                         /**< newest revision rejected as invalid */
};

/** \return newest accepted revision, 0: none */
uint64_t document_revision(const struct document *document);

/** \return whether a revision is greater than the newest accepted and the newest rejected one */
bool document_is_new_revision(const struct document *document, uint64_t revision);

/**
 * \brief Store a body that the caller has validated.
 * \param body copied
 * \return STATUS_STALE if the revision is not greater than the newest accepted one
 */
enum status document_accept(struct document *document, uint64_t revision, const char *body,
                            size_t size);
/** \brief Record that a revision is invalid. */
void document_reject(struct document *document, uint64_t revision);

/**
 * \brief Fill the reply to a peer: a delta if the peer's revision is in the history, otherwise the
 *        whole body. The body is compressed in both cases.
 * \param reply filled; `reply->body.data` and `reply->digest.data` are released by the caller with
 *        free()
 * \return STATUS_NOT_FOUND if no newer revision is held, STATUS_IO if compression fails
 */
enum status document_encode(const struct document *document, uint64_t known_revision,
                            Shuntrun__DocumentReply *reply);

/**
 * \brief Decompress a body from a peer's reply and verify its digest.
 * \param body owned by the caller with STATUS_OK
 * \return STATUS_NOT_FOUND if the base revision is not in the history, STATUS_EXHAUSTED if the body
 *         exceeds DOCUMENT_MAX_BYTES, STATUS_CORRUPT if it does not decompress or match its digest
 */
enum status document_decode(const struct document *document, const Shuntrun__DocumentReply *reply,
                            char **body, size_t *size);

void document_clear(struct document *document);

#endif

/**
 * A document that the platform publishes (configuration, machine list) as one node holds it:
 * the newest accepted revision, a short history for deltas, and the rule that it never goes back.
 */
#ifndef SHUNTRUN_DOCUMENT_H
#define SHUNTRUN_DOCUMENT_H

#include "base/status.h"
#include "core/digest.h"
#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DOCUMENT_HISTORY 4
#define DOCUMENT_MAX_BYTES (2 * 1024 * 1024)

struct document_version {
    uint64_t revision;
    char *body; /**< owned */
    size_t size;
};

struct document {
    struct document_version versions[DOCUMENT_HISTORY]; /**< newest first */
    uint64_t rejected_revision; /**< newest revision that was refused as invalid */
};

/** \return newest accepted revision, 0 when nothing is held */
uint64_t document_revision(const struct document *document);

/** \brief Whether a revision is news: greater than the accepted and the refused one. */
bool document_is_new_revision(const struct document *document, uint64_t revision);

/**
 * \brief Keep a body that was checked by the caller.
 * \return STATUS_STALE when the revision is not greater than the one held
 */
enum status document_accept(struct document *document, uint64_t revision, const char *body,
                            size_t size);
void document_reject(struct document *document, uint64_t revision);

/**
 * \brief Answer a peer: a delta when its revision is in the history, else a whole.
 * \param reply filled; `reply->body.data` and `reply->digest.data` are released by the caller with
 *        free()
 * \return STATUS_NOT_FOUND when the peer has all that is held here
 */
enum status document_encode(const struct document *document, uint64_t known_revision,
                            Shuntrun__DocumentReply *reply);

/**
 * \brief Rebuild a body from a peer's answer, checked against its digest.
 * \param body owned by the caller with STATUS_OK
 */
enum status document_decode(const struct document *document, const Shuntrun__DocumentReply *reply,
                            char **body, size_t *size);

void document_clear(struct document *document);

#endif

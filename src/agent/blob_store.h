/**
 * Verified bytes by digest: chunks and manifests, in memory only, bounded and accounted.
 *
 * This is the one gate for weights: bytes enter only when their SHA-256 is their name, and two
 * versions cannot mix since storage is keyed by digest. Thread-safe; readers hold references, so
 * a blob that is served stays until its last byte is out.
 */
#ifndef SHUNTRUN_BLOB_STORE_H
#define SHUNTRUN_BLOB_STORE_H

#include "base/status.h"
#include "core/digest.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct blob_store;

struct blob {
    struct digest digest;
    uint8_t *data;
    size_t size;
    unsigned references;
    struct blob_store *store;
    struct blob *next;
};

/** \param limit bytes of blobs held at most */
struct blob_store *blob_store_create(uint64_t limit);
void blob_store_destroy(struct blob_store *store);

/**
 * \brief Check and keep bytes.
 * \param data allocated; taken over in any case, so that weights are not copied
 * \return STATUS_CORRUPT when they do not match, STATUS_EXHAUSTED when the bound is reached
 */
enum status blob_store_put(struct blob_store *store, const struct digest *expected, uint8_t *data,
                           size_t size);

/** \return a referenced blob, released with blob_release(), or NULL */
struct blob *blob_store_get(struct blob_store *store, const struct digest *digest);
void blob_release(void *blob);
bool blob_store_has(struct blob_store *store, const struct digest *digest);

/** \brief Drop blobs for which `wanted` is false. */
void blob_store_prune(struct blob_store *store,
                      bool (*is_needed)(void *context, const struct digest *digest), void *context);
uint64_t blob_store_bytes(struct blob_store *store);

/** \brief Digests that this machine is about to get itself; told to peers that ask too early. */
void blob_store_set_pending(struct blob_store *store, const struct digest *digests, uint32_t count);
bool blob_store_is_pending(struct blob_store *store, const struct digest *digest);

#endif

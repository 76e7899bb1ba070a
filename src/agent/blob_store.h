/**
 * In-memory store of chunks and manifests, keyed by SHA-256 digest, with a memory limit.
 *
 * All weights pass through this store. It accepts bytes only if they match their digest, and two
 * versions cannot mix, since the key is the digest. Thread-safe. Blobs are reference-counted: a
 * blob that is being sent stays allocated, and counts against the limit, until the send ends.
 */
#ifndef SHUNTRUN_BLOB_STORE_H
#define SHUNTRUN_BLOB_STORE_H

#include "base/status.h"
#include "core/digest.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct blob_store;

/** Stored bytes; `digest`, `data` and `size` are constant, the rest belongs to the store. */
struct blob {
    struct digest digest;
    uint8_t *data;
    size_t size;
    unsigned references;
    struct blob_store *store;
    struct blob *next;
};

/** \param limit maximum bytes of all blobs */
struct blob_store *blob_store_create(uint64_t limit);
/** \brief Free the store; no blob of it may be referenced. NULL is ignored. */
void blob_store_destroy(struct blob_store *store);

/**
 * \brief Verify and store bytes. Storing a digest again has no effect.
 * \param data heap-allocated; ownership passes to the store also on failure, to avoid a copy
 * \return STATUS_CORRUPT when they do not match `expected`, STATUS_EXHAUSTED above the limit
 */
enum status blob_store_put(struct blob_store *store, const struct digest *expected, uint8_t *data,
                           size_t size);

/** \return a new reference, to be released with blob_release(), or NULL */
struct blob *blob_store_get(struct blob_store *store, const struct digest *digest);
/** \brief Release a reference. \param blob a struct blob */
void blob_release(void *blob);
bool blob_store_has(struct blob_store *store, const struct digest *digest);

/** \brief Remove blobs for which `is_needed` returns false; it is called with the lock held. */
void blob_store_prune(struct blob_store *store,
                      bool (*is_needed)(void *context, const struct digest *digest), void *context);
/** \return bytes of all blobs, including removed ones that are still referenced */
uint64_t blob_store_bytes(struct blob_store *store);

/** \brief Replace the digests that this machine is about to fetch itself, which peers that request
 * them too early are told; copied. */
void blob_store_set_pending(struct blob_store *store, const struct digest *digests, uint32_t count);
bool blob_store_is_pending(struct blob_store *store, const struct digest *digest);

#endif

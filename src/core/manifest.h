/**
 * Manifest of one version of a model: the digests of its chunks, in order.
 *
 * Wire form (JSON): {"model": "m", "version": "v1", "total_bytes": N, "chunk_bytes": C,
 * "chunks": ["<sha-256 hex>", ...]}. The digest of these very bytes names the version.
 */
#ifndef SHUNTRUN_MANIFEST_H
#define SHUNTRUN_MANIFEST_H

#include "core/digest.h"

#include <stdint.h>

#define MANIFEST_NAME_SIZE 64
#define MANIFEST_MAX_CHUNKS 65536

struct manifest {
    char model[MANIFEST_NAME_SIZE];
    char version[MANIFEST_NAME_SIZE];
    struct digest digest; /**< of the wire form */
    uint64_t total_bytes;
    uint64_t chunk_bytes;
    uint32_t chunk_count;
    struct digest *chunks; /**< owned */
};

/**
 * \brief Parse and check a manifest against the digest that the configuration names.
 * \return STATUS_CORRUPT when the bytes do not match `expected`, STATUS_INVALID when they match but
 *         are no manifest; `manifest` is filled only with STATUS_OK.
 */
enum status manifest_parse(const void *bytes, size_t size, const struct digest *expected,
                           struct manifest *manifest);

/** \brief Bytes of one chunk; the last may be shorter. */
uint64_t manifest_chunk_length(const struct manifest *manifest, uint32_t chunk);

/** \brief Index of a chunk by digest. \return -1 when the manifest does not list it. */
int64_t manifest_find_chunk(const struct manifest *manifest, const struct digest *digest);

void manifest_clear(struct manifest *manifest);

#endif

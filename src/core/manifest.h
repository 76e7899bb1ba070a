/**
 * Manifest of one version of a model: the digests of its chunks, in order.
 *
 * Format (JSON): {"model": "m", "version": "v1", "total_bytes": N, "chunk_bytes": C,
 * "chunks": ["<sha-256 hex>", ...]}. The digest of exactly these bytes identifies the version.
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
    struct digest digest; /**< of the manifest as received */
    uint64_t total_bytes;
    uint64_t chunk_bytes;
    uint32_t chunk_count;
    struct digest *chunks; /**< owned */
};

/**
 * \brief Parse a manifest and verify it against the digest in the configuration.
 * \param manifest filled with STATUS_OK only, to be released with manifest_clear()
 * \return STATUS_CORRUPT if the bytes do not match `expected`, STATUS_INVALID if they match but are
 *         not a valid manifest
 */
enum status manifest_parse(const void *bytes, size_t size, const struct digest *expected,
                           struct manifest *manifest);

/** \return size of a chunk in bytes; the last chunk may be shorter */
uint64_t manifest_chunk_length(const struct manifest *manifest, uint32_t chunk);

/** \return index of the chunk with a digest, -1: none */
int64_t manifest_find_chunk(const struct manifest *manifest, const struct digest *digest);

void manifest_clear(struct manifest *manifest);

#endif

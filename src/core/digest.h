/**
 * SHA-256 digests, which identify chunks and manifests.
 */
#ifndef SHUNTRUN_DIGEST_H
#define SHUNTRUN_DIGEST_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DIGEST_SIZE 32
#define DIGEST_HEX_SIZE (2 * DIGEST_SIZE + 1)

struct digest {
    uint8_t bytes[DIGEST_SIZE];
};

struct digest digest_of(const void *bytes, size_t size);
bool digest_equal(const struct digest *left, const struct digest *right);

/** \brief Write lower-case hex digits and a terminating zero. */
void digest_to_hex(const struct digest *digest, char hex[DIGEST_HEX_SIZE]);

/** \return STATUS_INVALID unless `hex` has exactly 64 lower-case hex digits; it may be NULL */
enum status digest_from_hex(const char *hex, struct digest *digest);

#endif

/**
 * SHA-256 digests: the name of every chunk and manifest.
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

/** \brief Lower-case hex with a closing zero. */
void digest_to_hex(const struct digest *digest, char hex[DIGEST_HEX_SIZE]);

/** \return STATUS_INVALID unless `hex` is exactly 64 hex digits. */
enum status digest_from_hex(const char *hex, struct digest *digest);

#endif

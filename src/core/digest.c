#include "core/digest.h"

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

struct digest digest_of(const void *bytes, size_t size)
{
    struct digest digest;
    if (!EVP_Digest(bytes, size, digest.bytes, NULL, EVP_sha256(), NULL))
        abort(); /* fails only if libcrypto cannot allocate memory */
    return digest;
}

bool digest_equal(const struct digest *left, const struct digest *right)
{
    return memcmp(left->bytes, right->bytes, DIGEST_SIZE) == 0;
}

void digest_to_hex(const struct digest *digest, char hex[DIGEST_HEX_SIZE])
{
    static const char digits[] = "0123456789abcdef";
    for (size_t i = 0; i < DIGEST_SIZE; i++) {
        hex[2 * i] = digits[digest->bytes[i] >> 4];
        hex[2 * i + 1] = digits[digest->bytes[i] & 15];
    }
    hex[2 * DIGEST_SIZE] = 0;
}

static int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return -1;
}

enum status digest_from_hex(const char *hex, struct digest *digest)
{
    if (!hex || strlen(hex) != 2 * DIGEST_SIZE)
        return status_fail(STATUS_INVALID, "a digest must have 64 hex digits");
    for (size_t i = 0; i < DIGEST_SIZE; i++) {
        int high = hex_value(hex[2 * i]);
        int low = hex_value(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return status_fail(STATUS_INVALID, "a digest must have lower-case hex digits only");
        digest->bytes[i] = (uint8_t)(high << 4 | low);
    }
    return STATUS_OK;
}

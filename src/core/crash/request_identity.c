#include "core/crash/request_identity.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hashes each part behind its length, so that another split of the same bytes gives another
 * identity. */
static void add_part(EVP_MD_CTX *context, const void *bytes, size_t size)
{
    uint64_t length = size;
    if (!EVP_DigestUpdate(context, &length, sizeof length) ||
        !EVP_DigestUpdate(context, bytes, size))
        abort(); /* fails only if libcrypto is unusable */
}

struct request_identity request_identity_of(const struct request_content *content)
{
    struct request_identity identity;
    uint8_t digest[EVP_MAX_MD_SIZE];
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    if (!context || !EVP_DigestInit_ex(context, EVP_sha256(), NULL))
        abort(); /* fails only if libcrypto cannot allocate memory */
    add_part(context, content->caller, strlen(content->caller));
    add_part(context, content->method, strlen(content->method));
    add_part(context, content->target, content->target_length);
    add_part(context, content->body, content->body_size);
    if (!EVP_DigestFinal_ex(context, digest, NULL))
        abort();
    EVP_MD_CTX_free(context);
    memcpy(identity.bytes, digest, sizeof identity.bytes);
    return identity;
}

bool request_identity_equal(const struct request_identity *left,
                            const struct request_identity *right)
{
    return memcmp(left->bytes, right->bytes, REQUEST_IDENTITY_SIZE) == 0;
}

void request_identity_to_hex(const struct request_identity *identity,
                             char hex[REQUEST_IDENTITY_HEX_SIZE])
{
    for (size_t i = 0; i < REQUEST_IDENTITY_SIZE; i++)
        snprintf(hex + 2 * i, 3, "%02x", identity->bytes[i]);
}

/* \return the value of a lower-case hex digit, or -1 */
static int hex_digit_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

bool request_identity_from_hex(const char *hex, struct request_identity *identity)
{
    if (strlen(hex) != REQUEST_IDENTITY_HEX_SIZE - 1)
        return false;
    for (size_t i = 0; i < REQUEST_IDENTITY_SIZE; i++) {
        int high = hex_digit_value(hex[2 * i]);
        int low = hex_digit_value(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return false;
        identity->bytes[i] = (uint8_t)(16 * high + low);
    }
    return true;
}

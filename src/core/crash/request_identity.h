/**
 * Identity of a request across its attempts, whatever ids these carry: a hash of caller, method,
 * target and body.
 *
 * The hash covers the exact name of the caller, so that no caller can forge the identity of another
 * caller's request. Header fields are left out: those of one attempt (id, deadline, last event id)
 * differ between retries.
 */
#ifndef SHUNTRUN_REQUEST_IDENTITY_H
#define SHUNTRUN_REQUEST_IDENTITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes, half of a SHA-256: two requests of one caller collide by chance after about 2^64. */
#define REQUEST_IDENTITY_SIZE 16
/** Characters of an identity in hex, with the terminating NUL. */
#define REQUEST_IDENTITY_HEX_SIZE (2 * REQUEST_IDENTITY_SIZE + 1)

struct request_identity {
    uint8_t bytes[REQUEST_IDENTITY_SIZE];
};

struct request_content {
    const char *caller; /**< name of the tenant; "": none */
    const char *method;
    const char *target; /**< path and query as received */
    size_t target_length;
    const void *body;
    size_t body_size;
};

struct request_identity request_identity_of(const struct request_content *content);
bool request_identity_equal(const struct request_identity *left,
                            const struct request_identity *right);
/** \brief Format as lower-case hex, NUL-terminated. */
void request_identity_to_hex(const struct request_identity *identity,
                             char hex[REQUEST_IDENTITY_HEX_SIZE]);
/** \brief Parse lower-case hex. \return false unless `hex` consists of exactly the hex digits of an
 * identity */
bool request_identity_from_hex(const char *hex, struct request_identity *identity);

#endif

/**
 * What makes two requests the same one, whatever ids their attempts carry: caller, method, target
 * and body.
 *
 * The caller stands in it with its exact name, so that nobody can make another caller's request
 * look like one of its own. Header fields are left out: those of one attempt (id, deadline, last
 * event seen) differ from repeat to repeat.
 */
#ifndef SHUNTRUN_REQUEST_IDENTITY_H
#define SHUNTRUN_REQUEST_IDENTITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Half of a SHA-256: 2^64 requests until two of one caller collide by chance. */
#define REQUEST_IDENTITY_SIZE 16
#define REQUEST_IDENTITY_HEX_SIZE (2 * REQUEST_IDENTITY_SIZE + 1)

struct request_identity {
    uint8_t bytes[REQUEST_IDENTITY_SIZE];
};

struct request_content {
    const char *caller; /**< name of the tenant, "" when there is none */
    const char *method;
    const char *target; /**< path and query as they came */
    size_t target_length;
    const void *body;
    size_t body_size;
};

struct request_identity request_identity_of(const struct request_content *content);
bool request_identity_equal(const struct request_identity *left,
                            const struct request_identity *right);
/** \brief Lower-case hex with a closing zero. */
void request_identity_to_hex(const struct request_identity *identity,
                             char hex[REQUEST_IDENTITY_HEX_SIZE]);
/** \return false when the text is not the hex digits of an identity, and nothing else */
bool request_identity_from_hex(const char *hex, struct request_identity *identity);

#endif

/**
 * The command line of `shuntrun load`.
 */
#ifndef SHUNTRUN_LOAD_OPTIONS_H
#define SHUNTRUN_LOAD_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_MAX_GATEWAYS 64
#define LOAD_MAX_TENANTS 64
#define LOAD_ADDRESS_SIZE 64

struct gateway_list {
    char addresses[LOAD_MAX_GATEWAYS][LOAD_ADDRESS_SIZE];
    uint32_t count;
};

struct load_options {
    struct gateway_list gateways;
    struct gateway_list against; /**< of the second system of a comparison; empty: none */
    const char *service;
    char tenants[LOAD_MAX_TENANTS][64];
    double tenant_shares[LOAD_MAX_TENANTS];
    uint32_t tenant_count;
    double rate;
    double seconds;
    uint64_t seed;
    uint64_t tokens;
    uint64_t timeout_ms;
    bool plain;         /**< the service is not a model: one JSON response, no token stream */
    bool keys;          /**< send idempotency keys */
    bool verify;        /**< compare tokens with those of the engine stand-in */
    const char *record; /**< path of the output file, or NULL */
};

/** \brief Set the defaults, then what the arguments say. A usage error ends the process with 2. */
void load_options_parse(struct load_options *options, int argc, char **argv);

#endif

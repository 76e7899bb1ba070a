/**
 * The fleet configuration: models, services, tenants, objectives and the policy program.
 *
 * Format (JSON):
 * {"models":   [{"name", "version", "manifest": "<hex>", "bytes", "replicas", "accelerators"}],
 *  "services": [{"name", "kind": "model", "model"} |
 *               {"name", "kind": "plain", "machines": [..], "checks_fences": bool}],
 *  "tenants":  [{"name", "weight"}],
 *  "objectives": [{"service", "tenant", "first_token_ms", "availability"}],
 *  "policy":   "<Lua program>" | ["<line>", ...]}
 */
#ifndef SHUNTRUN_FLEET_CONFIG_H
#define SHUNTRUN_FLEET_CONFIG_H

#include "base/findings.h"
#include "base/status.h"
#include "core/digest.h"
#include "core/fleet.h"

#include <stdbool.h>
#include <stdint.h>

#define CONFIG_NAME_SIZE 64
#define CONFIG_MAX_BYTES (1024 * 1024)

enum service_kind { SERVICE_MODEL, SERVICE_PLAIN };

struct model_config {
    char name[CONFIG_NAME_SIZE];
    char version[CONFIG_NAME_SIZE];
    struct digest manifest;
    uint64_t bytes;
    uint32_t replicas;     /**< number of replicas; 0: on all eligible machines */
    uint32_t accelerators; /**< of each replica */
};

struct service_config {
    char name[CONFIG_NAME_SIZE];
    enum service_kind kind;
    char model[CONFIG_NAME_SIZE]; /**< SERVICE_MODEL */
    uint64_t *machines; /**< ids of its home machines, sorted; owned; of a SERVICE_MODEL set by
placement_assign_homes() */
    uint32_t machine_count;
    bool checks_fences;
};

struct tenant_config {
    char name[CONFIG_NAME_SIZE];
    uint32_t weight;
    uint32_t precedence; /**< number of tenants that the policy ranks lower */
};

/** Service level objective; read by `shuntrun report`. */
struct objective_config {
    char service[CONFIG_NAME_SIZE];
    char tenant[CONFIG_NAME_SIZE]; /**< "" for all */
    double availability;           /**< share of successful requests, for example 0.999 */
    uint32_t first_token_ms;
};

/** Immutable once built. */
struct fleet_config {
    uint64_t revision;
    struct model_config *models;
    uint32_t model_count;
    struct service_config *services;
    uint32_t service_count;
    struct tenant_config *tenants;
    uint32_t tenant_count;
    struct objective_config *objectives;
    uint32_t objective_count;
    char *policy; /**< Lua program, owned; "" when none */
    char *body;   /**< the configuration as received, owned */
    size_t body_size;
    struct digest body_digest;
};

/**
 * \brief Parse and check a configuration.
 * \param name prefix of the location of findings, for example the file name
 * \param config filled with STATUS_OK only, to be released with fleet_config_clear()
 * \param findings all errors are added to these, with their location
 * \return STATUS_INVALID if there are errors
 */
enum status fleet_config_parse(const char *name, const char *text, size_t size, uint64_t revision,
                               struct fleet_config *config, struct findings *findings);

/**
 * \brief Read only the policy program, also from a configuration with errors.
 * \return owned by the caller; NULL if the text is not JSON, "" if it has no policy
 */
char *fleet_config_policy_text(const char *text, size_t size);

/* Each returns NULL if there is none of this name. */
const struct model_config *fleet_config_model(const struct fleet_config *config, const char *name);
const struct service_config *fleet_config_service(const struct fleet_config *config,
                                                  const char *name);
const struct tenant_config *fleet_config_tenant(const struct fleet_config *config,
                                                const char *name);

/**
 * \return id of the only machine that runs requests with an idempotency key: the one with the
 * highest rendezvous weight among the home machines; 0 if there are none
 */
uint64_t service_home(const struct service_config *service, const char *key);

void fleet_config_clear(struct fleet_config *config);

#endif

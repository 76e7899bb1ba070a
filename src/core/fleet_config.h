/**
 * The fleet configuration: models, services, tenants, objectives and the policy program.
 *
 * Wire form (JSON):
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
    uint32_t replicas; /**< wanted; 0: all eligible machines */
    uint32_t accelerators;
};

struct service_config {
    char name[CONFIG_NAME_SIZE];
    enum service_kind kind;
    char model[CONFIG_NAME_SIZE]; /**< SERVICE_MODEL */
    uint64_t *machines;           /**< SERVICE_PLAIN: ids of its homes, sorted; owned */
    uint32_t machine_count;
    bool checks_fences;
};

struct tenant_config {
    char name[CONFIG_NAME_SIZE];
    uint32_t weight;
    uint32_t precedence; /**< tenants that the policy puts behind this one */
};

/** What a service promises its callers; read by `shuntrun report`. */
struct objective_config {
    char service[CONFIG_NAME_SIZE];
    char tenant[CONFIG_NAME_SIZE]; /**< "" for all */
    double availability;           /**< share of requests, for example 0.999 */
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
    char *body;   /**< the wire form, owned */
    size_t body_size;
    struct digest body_digest;
};

/**
 * \brief Parse and check a configuration; every problem goes to `findings` as `name:place`.
 * \param name place prefix, for example the file name
 */
enum status fleet_config_parse(const char *name, const char *text, size_t size, uint64_t revision,
                               struct fleet_config *config, struct findings *findings);

/** \brief The policy program alone, also of a configuration with errors. \return owned, or NULL */
char *fleet_config_policy_text(const char *text, size_t size);

const struct model_config *fleet_config_model(const struct fleet_config *config, const char *name);
const struct service_config *fleet_config_service(const struct fleet_config *config,
                                                  const char *name);
const struct tenant_config *fleet_config_tenant(const struct fleet_config *config,
                                                const char *name);

/** \brief The machine that alone runs requests under a key: rendezvous over configured homes. */
uint64_t service_home(const struct service_config *service, const char *key);

void fleet_config_clear(struct fleet_config *config);

#endif

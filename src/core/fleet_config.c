#include "core/fleet_config.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/ids.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LIST_LENGTH 4096
#define MAX_TENANT_WEIGHT 1000000

/* Location of an error, printed as "file: list[index].key". */
struct location {
    const char *file;
    const char *list;
    size_t index;
    struct findings *findings;
};

static void report(const struct location *location, const char *key, const char *text)
{
    char where[256];
    snprintf(where, sizeof where, "%s: %s[%zu].%s", location->file, location->list, location->index,
             key);
    findings_add(location->findings, FINDING_ERROR, where, "%s", text);
}

static void read_name(const json_t *object, const char *key, char target[CONFIG_NAME_SIZE],
                      bool required, const struct location *location)
{
    const json_t *value = json_object_get(object, key);
    const char *text = json_string_value(value);
    if (!value && !required)
        return;
    if (!text || !*text || strlen(text) >= CONFIG_NAME_SIZE)
        report(location, key, "must be a string of 1 to 63 characters");
    else
        strcpy(target, text);
}

static uint64_t read_number(const json_t *object, const char *key, uint64_t min, uint64_t max,
                            uint64_t default_value, const struct location *location)
{
    const json_t *value = json_object_get(object, key);
    if (!value)
        return default_value;
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || (uint64_t)number < min || (uint64_t)number > max) {
        char text[96];
        snprintf(text, sizeof text, "must be an integer from %llu to %llu", (unsigned long long)min,
                 (unsigned long long)max);
        report(location, key, text);
        return default_value;
    }
    return (uint64_t)number;
}

static void read_model(const json_t *object, struct model_config *model,
                       const struct location *location)
{
    read_name(object, "name", model->name, true, location);
    read_name(object, "version", model->version, true, location);
    if (digest_from_hex(json_string_value(json_object_get(object, "manifest")), &model->manifest) !=
        STATUS_OK)
        report(location, "manifest", status_message());
    model->bytes = read_number(object, "bytes", 0, INT64_MAX, 0, location);
    model->replicas = (uint32_t)read_number(object, "replicas", 0, 1000000, 0, location);
    model->accelerators = (uint32_t)read_number(object, "accelerators", 1, 1024, 1, location);
}

static void read_homes(const json_t *object, struct service_config *service,
                       const struct location *location)
{
    const json_t *list = json_object_get(object, "machines");
    size_t count = json_array_size(list);
    if (count == 0 || count > MAX_LIST_LENGTH) {
        report(location, "machines", "must list 1 to 4096 machines");
        return;
    }
    service->machines = memory_calloc(count, sizeof *service->machines);
    for (size_t i = 0; i < count; i++) {
        const char *name = json_string_value(json_array_get(list, i));
        if (name)
            service->machines[service->machine_count++] = hash_name(name);
        else
            report(location, "machines", "must be strings");
    }
    ids_sort(service->machines, service->machine_count);
}

static void read_service(const json_t *object, struct service_config *service,
                         const struct location *location)
{
    const char *kind = json_string_value(json_object_get(object, "kind"));
    read_name(object, "name", service->name, true, location);
    if (kind && strcmp(kind, "model") == 0) {
        service->kind = SERVICE_MODEL;
        read_name(object, "model", service->model, true, location);
    } else if (kind && strcmp(kind, "plain") == 0) {
        service->kind = SERVICE_PLAIN;
        read_homes(object, service, location);
        service->checks_fences = json_is_true(json_object_get(object, "checks_fences"));
    } else {
        report(location, "kind", "must be `model` or `plain`");
    }
}

static void read_tenant(const json_t *object, struct tenant_config *tenant,
                        const struct location *location)
{
    read_name(object, "name", tenant->name, true, location);
    tenant->weight = (uint32_t)read_number(object, "weight", 1, MAX_TENANT_WEIGHT, 1, location);
}

static void read_objective(const json_t *object, struct objective_config *objective,
                           const struct location *location)
{
    const json_t *availability = json_object_get(object, "availability");
    read_name(object, "service", objective->service, true, location);
    read_name(object, "tenant", objective->tenant, false, location);
    objective->availability = availability ? json_number_value(availability) : 0.999;
    objective->first_token_ms =
        (uint32_t)read_number(object, "first_token_ms", 1, 600000, 840, location);
    if (objective->availability <= 0 || objective->availability >= 1)
        report(location, "availability", "must be greater than 0 and less than 1");
}

/* Allocates one element for each object of the list named `location->list`. */
static void *allocate_list(const json_t *root, struct location *location, size_t size,
                           uint32_t *count)
{
    const json_t *list = json_object_get(root, location->list);
    size_t length = json_array_size(list);
    location->index = 0;
    if (list && !json_is_array(list))
        report(location, "", "must be a list");
    if (length > MAX_LIST_LENGTH) {
        report(location, "", "has more than 4096 elements");
        length = 0;
    }
    *count = (uint32_t)length;
    return memory_calloc(length, size);
}

#define READ_LIST(root, location, list_name, items, count, read)                                   \
    do {                                                                                           \
        (location)->list = (list_name);                                                            \
        (items) = allocate_list((root), (location), sizeof *(items), &(count));                    \
        for (uint32_t i = 0; i < (count); i++) {                                                   \
            (location)->index = i;                                                                 \
            read(json_array_get(json_object_get((root), (list_name)), i), &(items)[i],             \
                 (location));                                                                      \
        }                                                                                          \
    } while (0)

static char *join_lines(const json_t *list)
{
    char *text = memory_strdup("");
    size_t used = 0;
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *line = json_string_value(json_array_get(list, i));
        size_t length = line ? strlen(line) : 0;
        text = memory_realloc(text, used + length + 2);
        memcpy(text + used, line ? line : "", length);
        used += length;
        text[used++] = '\n';
        text[used] = 0;
    }
    return text;
}

static char *read_policy(const json_t *root)
{
    const json_t *policy = json_object_get(root, "policy");
    return json_is_array(policy) ? join_lines(policy) : memory_strdup(json_string_value(policy));
}

char *fleet_config_policy_text(const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    char *policy = root ? read_policy(root) : NULL;
    json_decref(root);
    return policy;
}

static void check_references(const struct fleet_config *config, struct location *location)
{
    location->list = "services";
    for (uint32_t i = 0; i < config->service_count; i++) {
        const struct service_config *service = &config->services[i];
        location->index = i;
        if (service->kind == SERVICE_MODEL && !fleet_config_model(config, service->model))
            report(location, "model", "is not a model of this configuration");
    }
    location->list = "objectives";
    for (uint32_t i = 0; i < config->objective_count; i++) {
        location->index = i;
        if (!fleet_config_service(config, config->objectives[i].service))
            report(location, "service", "is not a service of this configuration");
    }
}

#define CHECK_UNIQUE(config, location, items, count, list_name)                                    \
    do {                                                                                           \
        (location)->list = (list_name);                                                            \
        for (uint32_t i = 0; i < (count); i++)                                                     \
            for (uint32_t j = 0; j < i; j++)                                                       \
                if (strcmp((items)[i].name, (items)[j].name) == 0) {                               \
                    (location)->index = i;                                                         \
                    report((location), "name", "is a duplicate");                                  \
                }                                                                                  \
    } while (0)

static void read_root(const json_t *root, struct fleet_config *config, struct location *location)
{
    READ_LIST(root, location, "models", config->models, config->model_count, read_model);
    READ_LIST(root, location, "services", config->services, config->service_count, read_service);
    READ_LIST(root, location, "tenants", config->tenants, config->tenant_count, read_tenant);
    READ_LIST(root, location, "objectives", config->objectives, config->objective_count,
              read_objective);
    CHECK_UNIQUE(config, location, config->models, config->model_count, "models");
    CHECK_UNIQUE(config, location, config->services, config->service_count, "services");
    CHECK_UNIQUE(config, location, config->tenants, config->tenant_count, "tenants");
    config->policy = read_policy(root);
    check_references(config, location);
}

enum status fleet_config_parse(const char *name, const char *text, size_t size, uint64_t revision,
                               struct fleet_config *config, struct findings *findings)
{
    struct location location = {.file = name, .list = "", .findings = findings};
    struct fleet_config parsed = {.revision = revision};
    size_t before = findings->error_count;
    json_error_t error;
    json_t *root = NULL;
    if (size > CONFIG_MAX_BYTES)
        findings_add(findings, FINDING_ERROR, name, "is larger than %d bytes", CONFIG_MAX_BYTES);
    else if (!(root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &error))) {
        char where[256];
        snprintf(where, sizeof where, "%s:%d", name, error.line);
        findings_add(findings, FINDING_ERROR, where, "%s", error.text);
    } else if (!json_is_object(root)) {
        findings_add(findings, FINDING_ERROR, name, "is not a JSON object");
    } else {
        read_root(root, &parsed, &location);
    }
    json_decref(root);
    if (findings->error_count > before) {
        fleet_config_clear(&parsed);
        return status_fail(STATUS_INVALID, "%s: %zu errors", name, findings->error_count - before);
    }
    parsed.body = memory_duplicate(text, size);
    parsed.body_size = size;
    parsed.body_digest = digest_of(text, size);
    *config = parsed;
    return STATUS_OK;
}

const struct model_config *fleet_config_model(const struct fleet_config *config, const char *name)
{
    for (uint32_t i = 0; i < config->model_count; i++)
        if (strcmp(config->models[i].name, name) == 0)
            return &config->models[i];
    return NULL;
}

const struct service_config *fleet_config_service(const struct fleet_config *config,
                                                  const char *name)
{
    for (uint32_t i = 0; i < config->service_count; i++)
        if (strcmp(config->services[i].name, name) == 0)
            return &config->services[i];
    return NULL;
}

const struct tenant_config *fleet_config_tenant(const struct fleet_config *config, const char *name)
{
    for (uint32_t i = 0; i < config->tenant_count; i++)
        if (strcmp(config->tenants[i].name, name) == 0)
            return &config->tenants[i];
    return NULL;
}

uint64_t service_home(const struct service_config *service, const char *key)
{
    uint64_t key_hash = hash_name(key);
    uint64_t best = 0;
    uint64_t best_weight = 0;
    for (uint32_t i = 0; i < service->machine_count; i++) {
        uint64_t weight = hash_pair(key_hash, service->machines[i]);
        if (i == 0 || weight > best_weight) {
            best = service->machines[i];
            best_weight = weight;
        }
    }
    return best;
}

void fleet_config_clear(struct fleet_config *config)
{
    for (uint32_t i = 0; i < config->service_count; i++)
        free(config->services[i].machines);
    free(config->models);
    free(config->services);
    free(config->tenants);
    free(config->objectives);
    free(config->policy);
    free(config->body);
    *config = (struct fleet_config){0};
}

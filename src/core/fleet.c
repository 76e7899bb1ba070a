#include "core/fleet.h"

#include "base/memory.h"
#include "core/hash.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static void read_text(const json_t *object, const char *key, char *target, size_t size,
                      bool required, const char *location, struct findings *findings)
{
    const char *text = json_string_value(json_object_get(object, key));
    if (!text) {
        if (required)
            findings_add(findings, FINDING_ERROR, location, "`%s` is missing", key);
        return;
    }
    if (strlen(text) >= size || (required && !*text)) {
        findings_add(findings, FINDING_ERROR, location, "`%s` must be 1 to %zu characters", key,
                     size - 1);
        return;
    }
    strcpy(target, text);
}

static uint16_t read_port(const json_t *object, const char *key, const char *location,
                          struct findings *findings)
{
    const json_t *value = json_object_get(object, key);
    json_int_t port = json_integer_value(value);
    if (value && (port < 1 || port > UINT16_MAX))
        findings_add(findings, FINDING_ERROR, location, "`%s` is not a valid port", key);
    return (uint16_t)port;
}

static void read_services(const json_t *object, struct machine *machine, const char *location,
                          struct findings *findings)
{
    const json_t *list = json_object_get(object, "services");
    if (json_array_size(list) > FLEET_MAX_SERVICES) {
        findings_add(findings, FINDING_ERROR, location, "more than %d services",
                     FLEET_MAX_SERVICES);
        return;
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *name = json_string_value(json_array_get(list, i));
        if (!name || strlen(name) >= FLEET_NAME_SIZE) {
            findings_add(findings, FINDING_ERROR, location, "service %zu is not a valid name", i);
            continue;
        }
        strcpy(machine->services[machine->service_count++], name);
    }
}

static void read_machine(const json_t *object, struct machine *machine, const char *location,
                         struct findings *findings)
{
    const char *role = json_string_value(json_object_get(object, "role"));
    const char *state = json_string_value(json_object_get(object, "state"));
    read_text(object, "name", machine->name, sizeof machine->name, true, location, findings);
    read_text(object, "zone", machine->zone, sizeof machine->zone, true, location, findings);
    read_text(object, "region", machine->region, sizeof machine->region, true, location, findings);
    read_text(object, "rack", machine->rack, sizeof machine->rack, false, location, findings);
    read_text(object, "pool", machine->pool, sizeof machine->pool, false, location, findings);
    read_text(object, "address", machine->address, sizeof machine->address, true, location,
              findings);
    if (!role || (strcmp(role, "agent") != 0 && strcmp(role, "gateway") != 0))
        findings_add(findings, FINDING_ERROR, location, "`role` must be agent or gateway");
    machine->role = role && strcmp(role, "gateway") == 0 ? MACHINE_GATEWAY : MACHINE_AGENT;
    machine->leaving = state && strcmp(state, "leaving") == 0;
    machine->control_port = read_port(object, "control_port", location, findings);
    machine->traffic_port = read_port(object, "traffic_port", location, findings);
    machine->http_port = read_port(object, "http_port", location, findings);
    machine->accelerators = (uint32_t)json_integer_value(json_object_get(object, "accelerators"));
    read_services(object, machine, location, findings);
    machine->id = hash_name(machine->name);
}

static int compare_machines(const void *left, const void *right)
{
    const struct machine *a = left;
    const struct machine *b = right;
    return a->id < b->id ? -1 : a->id > b->id;
}

void fleet_sort(struct fleet *fleet)
{
    qsort(fleet->machines, fleet->count, sizeof *fleet->machines, compare_machines);
}

static void check_unique(const struct fleet *fleet, struct findings *findings)
{
    for (uint32_t i = 1; i < fleet->count; i++)
        if (fleet->machines[i].id == fleet->machines[i - 1].id)
            findings_add(findings, FINDING_ERROR, "machines", "`%s` is listed more than once",
                         fleet->machines[i].name);
}

enum status fleet_parse(const char *text, size_t size, struct fleet *fleet,
                        struct findings *findings)
{
    json_error_t error;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &error);
    const json_t *list = json_object_get(root, "machines");
    size_t before = findings->error_count;
    if (!root)
        findings_add(findings, FINDING_ERROR, "machines", "line %d: %s", error.line, error.text);
    else if (!json_is_array(list))
        findings_add(findings, FINDING_ERROR, "machines", "`machines` is not a list");

    struct fleet parsed = {0};
    parsed.count = (uint32_t)json_array_size(list);
    parsed.machines = memory_calloc(parsed.count, sizeof *parsed.machines);
    for (uint32_t i = 0; i < parsed.count; i++) {
        char location[32];
        snprintf(location, sizeof location, "machines[%u]", i);
        read_machine(json_array_get(list, i), &parsed.machines[i], location, findings);
    }
    json_decref(root);
    fleet_sort(&parsed);
    check_unique(&parsed, findings);
    if (findings->error_count > before) {
        fleet_clear(&parsed);
        return status_fail(STATUS_INVALID, "the machine list has errors");
    }
    *fleet = parsed;
    return STATUS_OK;
}

int64_t fleet_find(const struct fleet *fleet, uint64_t id)
{
    uint32_t low = 0;
    uint32_t high = fleet->count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (fleet->machines[middle].id < id)
            low = middle + 1;
        else
            high = middle;
    }
    return low < fleet->count && fleet->machines[low].id == id ? (int64_t)low : -1;
}

void fleet_clear(struct fleet *fleet)
{
    free(fleet->machines);
    *fleet = (struct fleet){0};
}

/**
 * The machine list: name, location and role of each machine. It is read from the platform and may
 * be out of date; what a node reports about itself has precedence.
 *
 * Format (JSON): {"machines": [{"name", "role": "agent"|"gateway", "zone", "region", "rack",
 * "address", "control_port", "traffic_port", "http_port", "accelerators", "pool", "services": [],
 * "state": "live"|"leaving"}, ...]}
 */
#ifndef SHUNTRUN_FLEET_H
#define SHUNTRUN_FLEET_H

#include "base/findings.h"
#include "base/status.h"

#include <stdbool.h>
#include <stdint.h>

#define FLEET_NAME_SIZE 48
#define FLEET_ADDRESS_SIZE 46
#define FLEET_MAX_SERVICES 4

enum machine_role { MACHINE_AGENT, MACHINE_GATEWAY };

struct machine {
    uint64_t id; /**< hash_name(name) */
    char name[FLEET_NAME_SIZE];
    char zone[FLEET_NAME_SIZE];
    char region[FLEET_NAME_SIZE];
    char rack[FLEET_NAME_SIZE];
    char pool[FLEET_NAME_SIZE];
    char address[FLEET_ADDRESS_SIZE];
    char services[FLEET_MAX_SERVICES][FLEET_NAME_SIZE];
    uint32_t service_count;
    uint16_t control_port;
    uint16_t traffic_port;
    uint16_t http_port;
    uint32_t accelerators;
    enum machine_role role;
    bool leaving;
};

/** Immutable once built; machines are sorted by id. */
struct fleet {
    struct machine *machines;
    uint32_t count;
};

/**
 * \brief Parse a machine list.
 * \param fleet filled with STATUS_OK only, to be released with fleet_clear()
 * \param findings all errors are added to these, with their location in the JSON
 * \return STATUS_INVALID if there are errors
 */
enum status fleet_parse(const char *text, size_t size, struct fleet *fleet,
                        struct findings *findings);

/** \return index of a machine, -1: not in the list */
int64_t fleet_find(const struct fleet *fleet, uint64_t id);

void fleet_clear(struct fleet *fleet);

/** \brief Sort by id; required after `machines` was filled other than by fleet_parse(). */
void fleet_sort(struct fleet *fleet);

#endif

/**
 * The machine list: which machines exist, where, and with what role. Read from the platform, which
 * may lag; what a node says of itself goes before it.
 *
 * Wire form (JSON): {"machines": [{"name", "role": "agent"|"gateway", "zone", "region", "rack",
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

/** \brief Parse a machine list; all problems go to `findings` with their JSON place. */
enum status fleet_parse(const char *text, size_t size, struct fleet *fleet,
                        struct findings *findings);

/** \return index in the list, or -1. */
int64_t fleet_find(const struct fleet *fleet, uint64_t id);

void fleet_clear(struct fleet *fleet);

/** \brief Sort by id; needed after filling `machines` by hand. */
void fleet_sort(struct fleet *fleet);

#endif

/**
 * Scenarios of a simulated fleet, and the names of faults and mutations.
 */
#include "sim/fleet/fleet_sim.h"

#include <string.h>

#define END FLEET_FAULT_KINDS

static const enum fleet_fault_kind none[] = {END};
static const enum fleet_fault_kind kill[] = {FLEET_KILL, END};
static const enum fleet_fault_kind wake[] = {FLEET_PAUSE, FLEET_ZOMBIE, END};
static const enum fleet_fault_kind cut[] = {FLEET_CUT, FLEET_CUT_ZONE, FLEET_CUT_OUTWARD, END};
static const enum fleet_fault_kind shuffle[] = {FLEET_SHUFFLE, FLEET_KILL, END};
static const enum fleet_fault_kind platform[] = {
    FLEET_CONFIG_DOWN, FLEET_CONFIG_STALE, FLEET_LIST_DOWN, FLEET_NEW_VERSION, FLEET_KILL, END};
static const enum fleet_fault_kind races[] = {FLEET_NEW_VERSION, FLEET_MOVE_HOMES, FLEET_BAD_CONFIG,
                                              FLEET_LEAVE,       FLEET_STOP,       END};
static const enum fleet_fault_kind stops[] = {FLEET_STOP, END};
static const enum fleet_fault_kind backends[] = {FLEET_BACKEND_STALL, FLEET_BACKEND_BREAK, END};
static const enum fleet_fault_kind publish[] = {FLEET_NEW_VERSION, FLEET_BAD_CONFIG, END};
static const enum fleet_fault_kind mass[] = {FLEET_KILL_ZONE,    FLEET_RESTART_ALL,
                                             FLEET_CONFIG_STALE, FLEET_CONFIG_DOWN,
                                             FLEET_NEW_VERSION,  END};
static const enum fleet_fault_kind mixed[] = {
    FLEET_KILL,          FLEET_PAUSE,         FLEET_ZOMBIE,
    FLEET_CUT,           FLEET_CUT_ZONE,      FLEET_CUT_OUTWARD,
    FLEET_SHUFFLE,       FLEET_CONFIG_DOWN,   FLEET_CONFIG_STALE,
    FLEET_LIST_DOWN,     FLEET_NEW_VERSION,   FLEET_MOVE_HOMES,
    FLEET_BAD_CONFIG,    FLEET_LEAVE,         FLEET_STOP,
    FLEET_BACKEND_STALL, FLEET_BACKEND_BREAK, END};

static const struct fleet_scenario scenarios[] = {
    {"steady", "no faults", none, 0, 0},
    {"kill", "processes crash while they handle requests", kill, 2, 6},
    {"wake", "processes are paused and resume, some after they were replaced", wake, 2, 6},
    {"cut", "machines and zones are partitioned, some in one direction only", cut, 1, 4},
    {"shuffle", "messages are reordered and duplicated, and processes crash", shuffle, 2, 4},
    {"platform", "the platform is down or stale while versions and processes change", platform, 3,
     6},
    {"races", "operators change versions, homes, machines and stop processes at once", races, 4, 8},
    {"stops", "planned stops only: no request may be interrupted", stops, 2, 5},
    {"publish", "good and bad configurations, nothing else: in force within 5 s", publish, 2, 5},
    {"backends", "engines and services stall or close connections", backends, 2, 6},
    {"mass", "zones crash, all processes but one restart, and the platform is down or stale", mass,
     3, 6},
    {"mixed", "nearly all kinds of faults, overlapping and repeated", mixed, 4, 12},
    {NULL, NULL, NULL, 0, 0},
};

const struct fleet_scenario *fleet_scenarios(void)
{
    return scenarios;
}

const struct fleet_scenario *fleet_scenario_find(const char *name)
{
    for (const struct fleet_scenario *scenario = scenarios; scenario->name; scenario++)
        if (strcmp(scenario->name, name) == 0)
            return scenario;
    return NULL;
}

const char *fleet_fault_name(enum fleet_fault_kind kind)
{
    static const char *const names[] = {
        "kill",          "pause",         "zombie",      "cut",          "cut-zone",
        "cut-outward",   "shuffle",       "config-down", "config-stale", "list-down",
        "new-version",   "move-homes",    "bad-config",  "leave",        "stop",
        "backend-stall", "backend-break", "kill-zone",   "restart-all"};
    return names[kind];
}

const char *fleet_mutation_name(enum fleet_mutation mutation)
{
    static const char *const names[] = {"none",     "no-keys",     "no-guard",   "no-tickets",
                                        "no-drain", "no-revision", "no-version", "early-not-run",
                                        "no-match", "hard-stop"};
    return names[mutation];
}

bool fleet_mutation_find(const char *name, enum fleet_mutation *mutation)
{
    for (int i = 0; i < FLEET_MUTATION_COUNT; i++) {
        if (strcmp(name, fleet_mutation_name((enum fleet_mutation)i)) != 0)
            continue;
        *mutation = (enum fleet_mutation)i;
        return true;
    }
    return false;
}

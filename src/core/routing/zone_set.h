/**
 * A set of zones by name. Names need not be known otherwise: the operator may name a zone before
 * the settings of a node list it.
 */
#ifndef SHUNTRUN_ZONE_SET_H
#define SHUNTRUN_ZONE_SET_H

#include <stdbool.h>
#include <stdint.h>

/** All 0: empty. */
struct zone_set {
    char **names; /**< sorted */
    uint32_t count;
};

/** \return whether the zone was not in the set before */
bool zone_set_add(struct zone_set *set, const char *zone);
/** \return whether the zone was in the set */
bool zone_set_remove(struct zone_set *set, const char *zone);
bool zone_set_contains(const struct zone_set *set, const char *zone);
void zone_set_clear(struct zone_set *set);

#endif

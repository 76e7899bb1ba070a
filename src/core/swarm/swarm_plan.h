/**
 * Representation of a swarm plan, for the swarm and its tests.
 */
#ifndef SHUNTRUN_SWARM_PLAN_H
#define SHUNTRUN_SWARM_PLAN_H

#include "core/swarm/swarm.h"

#define SWARM_MAX_REGIONS 16
#define SWARM_NO_MEMBER UINT32_MAX

struct swarm_plan {
    uint64_t rollout;
    uint32_t chunk_count;
    uint32_t member_count;
    uint32_t region_count;
    unsigned references;
    struct member *members; /**< sorted by id */
    uint32_t *global_ranks; /**< [chunk][SWARM_GLOBAL_RANKS] member indexes */
    uint32_t *region_ranks; /**< [chunk][region][SWARM_REGION_RANKS] */
};

/** \return index of a member, or SWARM_NO_MEMBER */
uint32_t swarm_plan_find(const struct swarm_plan *plan, uint64_t id);

/**
 * \brief Preference list of one chunk for a node of `region`, without duplicates.
 * \param preferences filled with member indexes
 * \return its length
 */
uint32_t swarm_plan_preference_list(const struct swarm_plan *plan, uint32_t chunk, uint16_t region,
                                    uint32_t preferences[SWARM_PREFERENCE_LIST_SIZE]);

#endif

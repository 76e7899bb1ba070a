/**
 * Who hands on the pieces of a version: relays, and where each node takes a piece from.
 *
 * Relays are gateways, whose links carry far more than those of the machines beside model engines.
 * Every node computes the same ones from its members, without talking. In each region those with
 * the fastest links go first, and there are as many as it takes to feed the region's loaders at the
 * rate of their links. Views that differ for a moment cost a detour and nothing else: whoever is
 * asked for a piece gets it.
 *
 * Each piece is read from the origin by one relay, of which each region has one, crosses to another
 * region once, and goes from there to the other relays and the loaders of that region. Work falls
 * to relays in proportion to their links.
 */
#ifndef SHUNTRUN_RELAY_PLAN_H
#define SHUNTRUN_RELAY_PLAN_H

#include "core/membership.h"

/** Relays of one region at most, the fastest ones: they feed 1,300 loaders of 9.4 Mbit/s at the
 * rate of their links, if theirs are of 200 Mbit/s. */
#define RELAY_MAX_PER_REGION 64
/** Relays of all regions together at most: of eight regions of any size, of more where they are
 * smaller. */
#define RELAY_PLAN_MAX_RELAYS 512
/** Names the origin among sources; no member has this address. */
#define RELAY_ORIGIN 0U
/** Sources of one piece at most. */
#define RELAY_MAX_SOURCES 16

struct relay {
    uint32_t address;
    uint32_t link_mbit; /**< at least 1 */
    char region[MEMBER_NAME_SIZE];
    bool reads_origin; /**< it reads from the origin; one of each region does */
};

struct relay_plan {
    uint64_t rollout; /**< key of the version */
    uint32_t self;
    char region[MEMBER_NAME_SIZE]; /**< of this node */
    struct relay relays[RELAY_PLAN_MAX_RELAYS];
    uint32_t count;
    uint32_t loaders[2]; /**< of this region, for relays that find a piece nowhere else; 0: none */
};

/** Sources of a piece, the best one first. */
struct relay_sources {
    uint32_t addresses[RELAY_MAX_SOURCES];
    uint32_t count;
    uint32_t same_region_count; /**< the first ones, relays of the own region that may share the
                                   work; for loaders */
};

/** \brief Compute the relays from the present members. \param rollout key of the version */
void relay_plan_refresh(struct relay_plan *plan, struct membership *membership, uint64_t rollout);
/** \return by which of its pieces this node begins, greatest first: other nodes begin by others */
uint64_t relay_plan_piece_priority(const struct relay_plan *plan, uint32_t piece);
/** \return whether this node is a relay */
bool relay_plan_includes_self(const struct relay_plan *plan);
/**
 * \brief Where a loader takes pieces from: relays of its region, then those of others.
 * \param origin whether to name the origin as the last resort
 */
void relay_plan_loader_sources(const struct relay_plan *plan, bool origin,
                               struct relay_sources *sources);
/** \brief Where a relay takes one piece from: at last the origin, then loaders of its region. */
void relay_plan_relay_sources(const struct relay_plan *plan, uint32_t piece,
                              struct relay_sources *sources);
/** \brief Where a relay takes the manifest from: one of each region asks the origin first. */
void relay_plan_manifest_sources(const struct relay_plan *plan, struct relay_sources *sources);

#endif

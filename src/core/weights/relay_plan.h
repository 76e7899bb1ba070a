/**
 * Relay selection for the distribution of model weights, and the order in which a node tries the
 * sources of a piece.
 *
 * Relays are gateways, whose links are much faster than those of the machines beside model engines.
 * Every node computes the relays from its own membership view, without coordination. In each region
 * the gateways with the fastest links are taken first, until their combined rate suffices to feed
 * the region's loaders at the rate of the loaders' links. Views that differ for a moment only add a
 * hop: any node that holds a piece serves it when asked.
 *
 * Each piece is read from the origin by one of the origin readers, of which each region has one. It
 * is sent to each other region once, and from there to the other relays and the loaders of that
 * region. Pieces are assigned to relays by weighted rendezvous hashing, in proportion to the rates
 * of their links.
 */
#ifndef SHUNTRUN_RELAY_PLAN_H
#define SHUNTRUN_RELAY_PLAN_H

#include "core/membership/membership.h"

/** Maximum number of relays in one region; the fastest gateways are taken. With links of 200 Mbit/s
 * they feed 1,300 loaders of 9.4 Mbit/s at the full rate of the loaders' links. */
#define RELAY_MAX_PER_REGION 64
/** Maximum number of relays in all regions together: enough for eight regions of any size, and for
 * more regions if these are smaller. */
#define RELAY_PLAN_MAX_RELAYS 512
/** Stands for the origin in a list of sources; no member has this address. */
#define RELAY_ORIGIN 0U
/** Maximum number of sources of one piece. */
#define RELAY_MAX_SOURCES 16

struct relay {
    uint32_t address;
    uint32_t link_mbit; /**< at least 1 */
    char region[MEMBER_NAME_SIZE];
    bool reads_origin; /**< reads pieces from the origin; true for one relay of each region */
};

struct relay_plan {
    uint64_t rollout; /**< hash key of the model version */
    uint32_t self;
    char region[MEMBER_NAME_SIZE]; /**< of this node */
    struct relay relays[RELAY_PLAN_MAX_RELAYS];
    uint32_t count;
    uint32_t loaders[2]; /**< loaders of this region, last sources of a relay; 0: none */
};

/** Sources of a piece, in the order in which they are tried. */
struct relay_sources {
    uint32_t addresses[RELAY_MAX_SOURCES];
    uint32_t count;
    uint32_t same_region_count; /**< leading entries that are relays of the own region and share the
                                   load; 0 for relays */
    uint32_t independent_count; /**< leading entries that do not get the data from this node; 0: not
                                   known; set for the manifest */
};

/**
 * \brief Compute the relays from the current members.
 * \param rollout hash key of the model version
 */
void relay_plan_refresh(struct relay_plan *plan, struct membership *membership, uint64_t rollout);
/**
 * \return priority of a piece at this node, fetched in descending order; it differs between nodes,
 *         so that they do not all fetch the same piece first
 */
uint64_t relay_plan_piece_priority(const struct relay_plan *plan, uint32_t piece);
/** \return whether this node is a relay */
bool relay_plan_includes_self(const struct relay_plan *plan);
/**
 * \brief Sources of pieces for a loader: relays of its region, then relays of other regions.
 * \param origin whether to add the origin as the last source
 */
void relay_plan_loader_sources(const struct relay_plan *plan, bool origin,
                               struct relay_sources *sources);
/**
 * \brief Sources of one piece for a relay: its assigned source, other relays of its region, the
 *        origin, and at last loaders of its region.
 */
void relay_plan_relay_sources(const struct relay_plan *plan, uint32_t piece,
                              struct relay_sources *sources);
/**
 * \brief Sources of the manifest for a relay: for one relay of each region the origin and its
 *        counterparts in other regions, for the others that relay first.
 */
void relay_plan_manifest_sources(const struct relay_plan *plan, struct relay_sources *sources);

#endif

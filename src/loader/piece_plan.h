/**
 * The loaders that live, as a swarm's plan: who reads which piece from the origin.
 */
#ifndef SHUNTRUN_PIECE_PLAN_H
#define SHUNTRUN_PIECE_PLAN_H

#include "cluster/cluster.h"
#include "core/swarm.h"

/** Loaders in one plan at most. */
#define PIECE_PLAN_MEMBERS 4096
/** Loaders that read from the origin first: enough to use its link, and few enough for the
 *  connections that it accepts. */
#define PIECE_PLAN_READERS 12

/**
 * \brief Make a plan when the living loaders changed.
 * \param rollout key of the version
 * \param members_hash of the members of the last plan; changed with a new one
 * \return NULL when nothing changed; else a plan to release
 */
struct swarm_plan *piece_plan_refresh(const struct cluster *cluster, uint64_t rollout,
                                      uint32_t pieces, uint64_t *members_hash);

/** \return whether this node is one of those that read from the origin first */
bool piece_plan_reads_origin(const struct cluster *cluster, uint64_t rollout);
/** \return address of a living loader by chance, one that reads from the origin if asked for; 0:
 * none */
uint32_t piece_plan_random_loader(struct cluster *cluster, uint64_t rollout, bool reader);

#endif

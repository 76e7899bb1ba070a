/**
 * Ranks the gateways that a loader reports to, for the time in which its engine is cold
 * (core/rate/rate_limit). Gateways of the engine's region come first; within a region, the order is
 * by hash, so that the quotas of a gateway differ from engine to engine.
 *
 * A ranking is kept until reports with the one before it are no longer in use, so that never more
 * than RATE_RANKINGS of them are.
 */
#ifndef SHUNTRUN_RATE_RANKING_H
#define SHUNTRUN_RATE_RANKING_H

#include "core/rate/rate_limit.h"
#include "core/membership/load_targets.h"

/** Time for which a gateway uses a report, and the longest delay of one. */
#define RATE_REPORT_USE_US ((uint64_t)1500000)

/** All 0 at first: no gateway is ranked. */
struct rate_ranking {
    uint32_t *addresses; /**< by rank */
    uint32_t count;
    uint64_t ranked_at;
    uint64_t generation; /**< of the load targets that were ranked */
};

/** \brief Rank the targets, if they changed and the present ranking has been in use for longer than
 * reports and the window of the rate limit last. */
void rate_ranking_refresh(struct rate_ranking *ranking, const struct load_targets *targets,
                          uint32_t loader, uint64_t window_us, uint64_t now);
/** \return the rank of a gateway; none if it is not ranked */
struct rate_rank rate_ranking_find(const struct rate_ranking *ranking, uint32_t address);
void rate_ranking_clear(struct rate_ranking *ranking);

#endif

/**
 * Error-budget burn rates of service-level objectives, computed from samples of gateway counters.
 *
 * A recording is a text file of one JSON object a line: {"time_ms", "nodes": {"ip:port": {"rows":
 * [{"service", "tenant", "done", "not_run", "unknown", "first_token": [cumulative counts]}]}}}.
 * A counter that decreased belongs to a node that restarted: it is then counted from zero.
 */
#ifndef SHUNTRUN_BURN_H
#define SHUNTRUN_BURN_H

#include "core/fleet_config.h"
#include "core/service_counts.h"

#include <jansson.h>

#define BURN_MAX_WINDOWS 4
/** Share of first tokens that must arrive within the objective's first_token_ms. */
#define BURN_LATENCY_TARGET 0.95

/** Counter increases for one objective between two consecutive samples. */
struct burn_interval {
    double seconds; /**< end of the interval, since the first sample */
    uint64_t requests;
    uint64_t bad; /**< not run or unknown */
    uint64_t first_tokens;
    uint64_t slow; /**< first tokens later than the objective's first_token_ms */
};

/** Burn rates over the last part of a recording. */
struct burn_window {
    double seconds; /**< length; a shorter recording is used as a whole */
    uint64_t requests;
    double availability_burn; /**< 1: the error rate is exactly the one that the objective allows */
    double latency_burn;      /**< the same for slow first tokens */
};

/** One objective over a whole recording. */
struct burn_objective {
    struct objective_config objective;
    struct burn_interval *intervals; /**< owned */
    uint32_t interval_count;
    uint64_t requests;
    uint64_t bad;
    uint64_t first_tokens;
    uint64_t slow;
    double budget_left; /**< share of the error budget for availability; negative when overspent */
    struct burn_window windows[BURN_MAX_WINDOWS];
    uint32_t window_count;
};

/** \brief Parse the /metrics text of one gateway into {"rows": [...]} of a recording.
 *  \return new reference */
json_t *burn_parse_metrics(const char *text);

/**
 * \brief Compute the burn rates of one objective over a recording.
 * \param samples JSON array of the recording's lines
 * \param windows lengths in seconds; at most BURN_MAX_WINDOWS are used
 */
struct burn_objective burn_compute(const struct objective_config *objective, const json_t *samples,
                                   const double *windows, uint32_t window_count);
void burn_clear(struct burn_objective *burn);

#endif

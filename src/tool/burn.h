/**
 * Service-level burn from samples of gateways' counters.
 *
 * A recording is a text file of one JSON object a line: {"time_ms", "nodes": {"ip:port": {"rows":
 * [{"service", "tenant", "done", "not_run", "unknown", "first_token": [cumulative counts]}]}}}.
 * Counters that went down belong to a node that restarted; they count from zero then.
 */
#ifndef SHUNTRUN_BURN_H
#define SHUNTRUN_BURN_H

#include "core/fleet_config.h"
#include "core/service_counts.h"

#include <jansson.h>

#define BURN_MAX_WINDOWS 4
#define BURN_LATENCY_TARGET 0.95 /**< of first tokens that must come within the objective */

/** What happened to one objective between two samples. */
struct burn_interval {
    double seconds; /**< end, from the first sample on */
    uint64_t requests;
    uint64_t bad; /**< not run or unknown */
    uint64_t first_tokens;
    uint64_t slow; /**< later than the objective's bound */
};

struct burn_window {
    double seconds; /**< length; the whole recording when it is shorter */
    uint64_t requests;
    double availability_burn; /**< 1: the budget is used up exactly at the objective's pace */
    double latency_burn;
};

struct burn_objective {
    struct objective_config objective;
    struct burn_interval *intervals; /**< owned */
    uint32_t interval_count;
    uint64_t requests;
    uint64_t bad;
    uint64_t first_tokens;
    uint64_t slow;
    double budget_left; /**< share of the availability budget over the recording; may be below 0 */
    struct burn_window windows[BURN_MAX_WINDOWS];
    uint32_t window_count;
};

/** \brief Parse one gateway's /metrics into rows of a recording. \return new reference */
json_t *burn_parse_metrics(const char *text);

/**
 * \brief Work out one objective over a recording.
 * \param samples JSON array of the recording's lines
 * \param windows seconds
 */
struct burn_objective burn_compute(const struct objective_config *objective, const json_t *samples,
                                   const double *windows, uint32_t window_count);
void burn_clear(struct burn_objective *burn);

#endif

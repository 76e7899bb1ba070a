/**
 * The rate limit that the engine beside a loader states: to the loader itself, in the heads of its
 * reports, or to gateways, which tell the loader. It holds for one incarnation of the engine.
 */
#ifndef SHUNTRUN_ENGINE_RATE_H
#define SHUNTRUN_ENGINE_RATE_H

#include "core/rate/stated_rate.h"

/** All 0 at first. */
struct engine_rate {
    struct stated_rate stated;
    uint64_t born;         /**< start time of the incarnation; 0: unknown */
    bool stated_in_report; /**< the present limit: a report without it then shows its end */
};

/** \brief Forget the limit if this is another incarnation. */
void engine_rate_set_born(struct engine_rate *rate, uint64_t born);
/** \brief Apply the head of a report. A limit that no report stated may be stated to gateways only.
 * \return whether the limit began, changed or ended */
bool engine_rate_hear(struct engine_rate *rate, const struct heard_rate *heard, uint64_t now);
/** \brief Apply what a gateway heard. \param born start time of the engine that it heard it from
 * \return whether the limit began, changed or ended */
bool engine_rate_merge(struct engine_rate *rate, uint64_t born, const struct stated_rate *told);
/** \return whether gateways must be told, who were told `sent` last */
bool engine_rate_differs(const struct engine_rate *rate, const struct stated_rate *sent);

#endif

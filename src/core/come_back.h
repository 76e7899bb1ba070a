/**
 * When a refused client is told to come back, as fullness of the back ends lasts.
 *
 * A client comes back once or twice only. If it comes back while the back ends are still full, its
 * request is lost. So the wait grows with the share of requests that were refused lately: a
 * moment's fullness is over soon, a lasting one is not.
 */
#ifndef SHUNTRUN_COME_BACK_H
#define SHUNTRUN_COME_BACK_H

#include <stdbool.h>
#include <stdint.h>

struct come_back_settings {
    double weight;           /**< of one request in the moving share */
    double saturation_share; /**< from this share of refusals on, the wait is the longest */
    uint32_t min_ms;         /**< wait while hardly anything is refused */
    uint32_t max_ms;         /**< wait while fullness lasts */
    uint32_t jitter_percent; /**< so many hundredths of the wait are added by chance at most */
};

struct come_back {
    double refused_share; /**< moving share of requests that found all back ends full */
};

/** \brief A request was sent, or refused as all back ends were full. */
static inline void come_back_count(struct come_back *come_back,
                                   const struct come_back_settings *settings, bool refused)
{
    come_back->refused_share +=
        settings->weight * ((refused ? 1.0 : 0.0) - come_back->refused_share);
}

/**
 * \param chance from 0 to below 1
 * \return time after which the client should come back, ms
 */
static inline uint32_t come_back_ms(const struct come_back *come_back,
                                    const struct come_back_settings *settings, double chance)
{
    double lasting = come_back->refused_share / settings->saturation_share;
    double wait = settings->min_ms;
    wait += (settings->max_ms - settings->min_ms) * (lasting < 1 ? lasting : 1);
    wait += wait * settings->jitter_percent / 100 * chance;
    return (uint32_t)wait;
}

#endif

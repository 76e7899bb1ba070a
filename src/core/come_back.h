/**
 * The Retry-After delay for a client that is refused because all backends are full.
 *
 * A client retries only once or twice. If it retries while the backends are still full, its request
 * is lost. So the delay grows with the share of requests refused recently: a brief saturation is
 * over soon, a sustained one is not.
 */
#ifndef SHUNTRUN_COME_BACK_H
#define SHUNTRUN_COME_BACK_H

#include <stdbool.h>
#include <stdint.h>

struct come_back_settings {
    double weight;           /**< of one request in the moving average of refusals */
    double saturation_share; /**< share of refused requests from which on the delay is `max_ms` */
    uint32_t min_ms;         /**< delay while hardly any request is refused, without jitter */
    uint32_t max_ms;         /**< delay under sustained saturation, without jitter */
    uint32_t jitter_percent; /**< most that is added at random, percent of the delay */
};

struct come_back {
    double refused_share; /**< moving average, 0 to 1, of requests that found all backends full */
};

/** \brief Record that a request was sent, or refused because all backends were full. */
static inline void come_back_count(struct come_back *come_back,
                                   const struct come_back_settings *settings, bool refused)
{
    come_back->refused_share +=
        settings->weight * ((refused ? 1.0 : 0.0) - come_back->refused_share);
}

/**
 * \param chance random number in [0, 1) that sets the jitter
 * \return delay after which the client should retry, ms
 */
static inline uint32_t come_back_ms(const struct come_back *come_back,
                                    const struct come_back_settings *settings, double chance)
{
    double saturation = come_back->refused_share / settings->saturation_share;
    double delay = settings->min_ms;
    delay += (settings->max_ms - settings->min_ms) * (saturation < 1 ? saturation : 1);
    delay += delay * settings->jitter_percent / 100 * chance;
    return (uint32_t)delay;
}

#endif

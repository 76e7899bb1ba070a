/**
 * The Retry-After delay for a client that is refused because all backends are full.
 *
 * A client retries only once or twice. If it retries while the backends are still full, its request
 * is lost. So the delay grows with the share of requests refused recently: a brief saturation is
 * over soon, a sustained one is not.
 */
#ifndef SHUNTRUN_LOAD_RETRY_AFTER_H
#define SHUNTRUN_LOAD_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

struct retry_after_settings {
    double weight;           /**< of one request in the moving average of refusals */
    double saturation_share; /**< share of refused requests from which on the delay is `max_ms` */
    uint32_t min_ms;         /**< delay while hardly any request is refused, without jitter */
    uint32_t max_ms;         /**< delay under sustained saturation, without jitter */
    uint32_t jitter_percent; /**< most that is added at random, percent of the delay */
};

struct retry_after {
    double refused_share; /**< moving average, 0 to 1, of requests that found all backends full */
};

/** \brief Record that a request was sent, or refused because all backends were full. */
static inline void retry_after_record(struct retry_after *retry_after,
                                      const struct retry_after_settings *settings, bool refused)
{
    retry_after->refused_share +=
        settings->weight * ((refused ? 1.0 : 0.0) - retry_after->refused_share);
}

/**
 * \param chance random number in [0, 1) that sets the jitter
 * \return delay after which the client should retry, ms
 */
static inline uint32_t retry_after_delay_ms(const struct retry_after *retry_after,
                                            const struct retry_after_settings *settings,
                                            double chance)
{
    double saturation = retry_after->refused_share / settings->saturation_share;
    double delay = settings->min_ms;
    delay += (settings->max_ms - settings->min_ms) * (saturation < 1 ? saturation : 1);
    delay += delay * settings->jitter_percent / 100 * chance;
    return (uint32_t)delay;
}

#endif

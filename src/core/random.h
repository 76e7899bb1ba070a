/**
 * Seeded random numbers (Threefry of Random123): one stream for each seed, without global state.
 */
#ifndef SHUNTRUN_RANDOM_H
#define SHUNTRUN_RANDOM_H

#include <stdint.h>

struct random_stream {
    uint64_t seed;
    uint64_t counter;
};

/** \brief Next 64 uniform bits. */
uint64_t random_next(struct random_stream *stream);

/** \brief Uniform in [0, bound); 0 for bound 0. */
uint64_t random_below(struct random_stream *stream, uint64_t bound);

/** \brief Uniform in [0, 1). */
double random_unit(struct random_stream *stream);

#endif

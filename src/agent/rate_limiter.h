/**
 * Pace of a machine's link for chunks: one rate, shared for in and out, first come first served.
 *
 * Callers block until their bytes are through, so only threads that move bulk bytes call it.
 */
#ifndef SHUNTRUN_RATE_LIMITER_H
#define SHUNTRUN_RATE_LIMITER_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

struct rate_limiter {
    pthread_mutex_t lock;
    uint64_t bytes_per_second; /**< 0: not bounded */
    uint64_t busy_until_us;    /**< microseconds */
};

void rate_limiter_init(struct rate_limiter *limiter, uint64_t bytes_per_second);
void rate_limiter_acquire(struct rate_limiter *limiter, size_t bytes);

#endif

/**
 * Rate limiter for the chunks that a machine sends and receives: one rate for both directions, in
 * order of the calls. Thread-safe.
 */
#ifndef SHUNTRUN_RATE_LIMITER_H
#define SHUNTRUN_RATE_LIMITER_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

struct rate_limiter {
    pthread_mutex_t lock;
    uint64_t bytes_per_second; /**< 0: unlimited */
    uint64_t busy_until_us;    /**< monotonic time when the bytes so far are transferred */
};

/** \param bytes_per_second 0: unlimited */
void rate_limiter_init(struct rate_limiter *limiter, uint64_t bytes_per_second);
/** \brief Block until the transfer of `bytes` would end at the limited rate. Since it blocks, only
 * threads for bulk transfers may call it. */
void rate_limiter_acquire(struct rate_limiter *limiter, size_t bytes);

#endif

#include "agent/rate_limiter.h"

#include "base/clock.h"

#include <unistd.h>

void rate_limiter_init(struct rate_limiter *limiter, uint64_t bytes_per_second)
{
    *limiter = (struct rate_limiter){.bytes_per_second = bytes_per_second};
    pthread_mutex_init(&limiter->lock, NULL);
}

void rate_limiter_acquire(struct rate_limiter *limiter, size_t bytes)
{
    if (!limiter->bytes_per_second)
        return;
    pthread_mutex_lock(&limiter->lock);
    uint64_t now = clock_monotonic_us();
    uint64_t start = limiter->busy_until_us > now ? limiter->busy_until_us : now;
    limiter->busy_until_us = start + bytes * MICROSECONDS_PER_SECOND / limiter->bytes_per_second;
    uint64_t until = limiter->busy_until_us;
    pthread_mutex_unlock(&limiter->lock);
    if (until > now)
        usleep((useconds_t)(until - now));
}

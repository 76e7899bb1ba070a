#include "base/clock.h"

#include <time.h>

static uint64_t read_us(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (uint64_t)now.tv_sec * MICROSECONDS_PER_SECOND + (uint64_t)now.tv_nsec / 1000;
}

uint64_t clock_monotonic_us(void)
{
    return read_us(CLOCK_BOOTTIME);
}

uint64_t clock_timer_us(void)
{
    return read_us(CLOCK_MONOTONIC);
}

uint64_t clock_incarnation(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

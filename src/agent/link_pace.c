#include "agent/link_pace.h"

#include "base/clock.h"

#include <unistd.h>

void link_pace_init(struct link_pace *pace, uint64_t bytes_per_second)
{
    *pace = (struct link_pace){.bytes_per_second = bytes_per_second};
    pthread_mutex_init(&pace->lock, NULL);
}

void link_pace_use(struct link_pace *pace, size_t bytes)
{
    if (!pace->bytes_per_second)
        return;
    pthread_mutex_lock(&pace->lock);
    uint64_t now = clock_monotonic_us();
    uint64_t start = pace->busy_until > now ? pace->busy_until : now;
    pace->busy_until = start + bytes * MICROSECONDS_PER_SECOND / pace->bytes_per_second;
    uint64_t until = pace->busy_until;
    pthread_mutex_unlock(&pace->lock);
    if (until > now)
        usleep((useconds_t)(until - now));
}

/**
 * Pace of a machine's link for chunks: one rate, shared for in and out, first come first served.
 *
 * Callers block until their bytes are through, so only threads that move bulk bytes call it.
 */
#ifndef SHUNTRUN_LINK_PACE_H
#define SHUNTRUN_LINK_PACE_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

struct link_pace {
    pthread_mutex_t lock;
    uint64_t bytes_per_second; /**< 0: not bounded */
    uint64_t busy_until;       /**< microseconds */
};

void link_pace_init(struct link_pace *pace, uint64_t bytes_per_second);
void link_pace_use(struct link_pace *pace, size_t bytes);

#endif

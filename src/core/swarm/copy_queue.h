/**
 * Bounds how far ahead of its link a node sends copies of the state.
 *
 * After a start of all nodes hundreds ask the first that has the state. If it answered all, the
 * last copy would leave when its link has carried all the others, though by then many nodes have
 * the state. So a node takes only what its link carries soon and refuses the rest, who ask another
 * node: the number of senders then doubles with each round.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_COPY_QUEUE_H
#define SHUNTRUN_COPY_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time for which copies may wait for the link: some round trips of a node that asks again. */
#define COPY_QUEUE_MAX_US ((uint64_t)50000)

/** Begins as all zeros. */
struct copy_queue {
    uint64_t free_at; /**< time at which the link has carried what was taken */
};

/** \return whether one more copy is taken now */
static inline bool copy_queue_accepts(const struct copy_queue *queue, uint64_t now)
{
    return queue->free_at <= now + COPY_QUEUE_MAX_US;
}

/** \brief Add a copy. \param link_mbit rate of the link, Mbit/s; 0: not known, nothing waits */
static inline void copy_queue_add(struct copy_queue *queue, size_t bytes, double link_mbit,
                                  uint64_t now)
{
    if (link_mbit <= 0)
        return;
    if (queue->free_at < now)
        queue->free_at = now;
    queue->free_at += (uint64_t)((double)bytes * 8 / link_mbit);
}

#endif

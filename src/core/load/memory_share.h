/**
 * Divides the memory for buffers of one process among its connections.
 *
 * Load pattern: clients that read slowly or not at all, and backends that take requests slowly,
 * leave bytes in buffers. One such connection costs little; thousands would take all memory, and
 * with the process all of its requests. Each connection may hold a fixed part of the memory that is
 * still free (dynamic thresholds: Choudhury, Hahne, "Dynamic queue length thresholds for
 * shared-memory packet switches", 1998): a few connections get large buffers, and many get small
 * ones, whose sum stays below the limit.
 *
 * No I/O, no clock. Sizes are bytes.
 */
#ifndef SHUNTRUN_LOAD_MEMORY_SHARE_H
#define SHUNTRUN_LOAD_MEMORY_SHARE_H

#include <stdbool.h>
#include <stddef.h>

/** One connection may hold up to this part of the memory that is still free. */
#define MEMORY_SHARE_DIVISOR 4
/** More per connection makes no transfer faster. */
#define MEMORY_SHARE_MAX ((size_t)262144)
/** Bytes that one read adds to a buffer, at most. */
#define MEMORY_READ_MAX ((size_t)65536)
/** A request that has just arrived takes up to this in buffers: one read, and its parsed copy,
 * whose sizes are rounded up to powers of two. */
#define MEMORY_ARRIVAL_MAX (4 * MEMORY_READ_MAX)
/** New requests are refused from this part of the limit on, so that those in progress can finish.
 */
#define MEMORY_REFUSE_PERCENT 80

/** Buffers of one process. */
struct memory_use {
    size_t limit; /**< 0: none */
    size_t held;
};

/** \return bytes that one connection may hold in buffers */
static inline size_t memory_share_of_connection(const struct memory_use *use)
{
    if (!use->limit)
        return MEMORY_SHARE_MAX;
    size_t free = use->limit > use->held ? use->limit - use->held : 0;
    size_t share = free / MEMORY_SHARE_DIVISOR;
    return share < MEMORY_SHARE_MAX ? share : MEMORY_SHARE_MAX;
}

/** \return whether reading must pause for a connection that holds `size` bytes: one more read might
 * exceed its share */
static inline bool memory_share_must_pause(const struct memory_use *use, size_t size)
{
    return size + MEMORY_READ_MAX > memory_share_of_connection(use);
}

/** \return whether reading may go on for a paused connection that still holds `size` bytes */
static inline bool memory_share_may_resume(const struct memory_use *use, size_t size)
{
    return !memory_share_must_pause(use, 2 * size);
}

/** \return whether a new request may be taken. \param size bytes of its body that are still to come
 */
static inline bool memory_share_accepts(const struct memory_use *use, size_t size)
{
    return !use->limit || use->held + size <= use->limit / 100 * MEMORY_REFUSE_PERCENT;
}

/** \return whether an answer of `size` bytes, whose end may never come, must be given up before a
 * new request is read, as the request would find the memory nearly full */
static inline bool memory_share_gives_up_for_arrival(const struct memory_use *use, size_t size)
{
    return !memory_share_accepts(use, MEMORY_ARRIVAL_MAX) && size > memory_share_of_connection(use);
}

/** \return whether an answer of which `size` bytes are held, and whose end may never come, must be
 * given up: it holds more than its share of memory that is nearly full */
static inline bool memory_share_gives_up(const struct memory_use *use, size_t size)
{
    return !memory_share_accepts(use, 0) && size > memory_share_of_connection(use);
}

#endif

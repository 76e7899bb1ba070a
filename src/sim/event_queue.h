/**
 * Priority queue of simulation events: by virtual time, then by order of insertion, so that a run
 * is the same every time.
 */
#ifndef SHUNTRUN_EVENT_QUEUE_H
#define SHUNTRUN_EVENT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event {
    uint64_t time;  /**< nanoseconds of virtual time */
    uint64_t order; /**< set by event_queue_push() */
    uint32_t type;
    uint32_t to;
    uint32_t from;
    uint32_t number;
    bool delayed; /**< came late already */
    void *payload;
};

struct event_queue {
    struct event *heap;
    size_t count;
    size_t capacity;
    uint64_t pushed;
};

void event_queue_push(struct event_queue *queue, struct event event);
/** \return false when the queue is empty */
bool event_queue_pop(struct event_queue *queue, struct event *event);
/** \param release called for every payload left that is not NULL */
void event_queue_clear(struct event_queue *queue, void (*release)(void *payload));

#endif

/**
 * Priority queue of simulation events, ordered by virtual time and then by insertion, so that runs
 * are deterministic.
 */
#ifndef SHUNTRUN_EVENT_QUEUE_H
#define SHUNTRUN_EVENT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event {
    uint64_t time;  /**< virtual time, in the unit of the simulation that uses the queue */
    uint64_t order; /**< number of events pushed before; set by event_queue_push() */
    uint32_t type;
    uint32_t to;
    uint32_t from;
    uint32_t number;
    bool delayed; /**< a fault has delayed it already */
    void *payload;
};

struct event_queue {
    struct event *heap;
    size_t count;
    size_t capacity;
    uint64_t pushed;
};

/** \brief Insert an event. */
void event_queue_push(struct event_queue *queue, struct event event);
/** \brief Remove the next event. \return false when the queue is empty */
bool event_queue_pop(struct event_queue *queue, struct event *event);
/**
 * \brief Remove all events and free the memory of the queue.
 * \param release called for every remaining payload that is not NULL
 */
void event_queue_clear(struct event_queue *queue, void (*release)(void *payload));

#endif

#include "sim/event_queue.h"

#include "base/memory.h"

#include <stdlib.h>

#define CHILDREN 4 /* of one heap node; 4 cause fewer cache misses than 2 */

static bool before(const struct event *left, const struct event *right)
{
    if (left->time != right->time)
        return left->time < right->time;
    return left->order < right->order;
}

void event_queue_push(struct event_queue *queue, struct event event)
{
    if (queue->count == queue->capacity) {
        queue->capacity = queue->capacity ? 2 * queue->capacity : 1024;
        queue->heap = memory_realloc(queue->heap, queue->capacity * sizeof *queue->heap);
    }
    event.order = queue->pushed++;
    size_t at = queue->count++;
    while (at > 0) {
        size_t parent = (at - 1) / CHILDREN;
        if (!before(&event, &queue->heap[parent]))
            break;
        queue->heap[at] = queue->heap[parent];
        at = parent;
    }
    queue->heap[at] = event;
}

static size_t smallest_child(const struct event_queue *queue, size_t parent)
{
    size_t first = CHILDREN * parent + 1;
    size_t last = first + CHILDREN < queue->count ? first + CHILDREN : queue->count;
    size_t least = first;
    for (size_t child = first + 1; child < last; child++)
        if (before(&queue->heap[child], &queue->heap[least]))
            least = child;
    return least;
}

bool event_queue_pop(struct event_queue *queue, struct event *event)
{
    if (queue->count == 0)
        return false;
    *event = queue->heap[0];
    struct event moved = queue->heap[--queue->count];
    size_t at = 0;
    while (CHILDREN * at + 1 < queue->count) {
        size_t child = smallest_child(queue, at);
        if (!before(&queue->heap[child], &moved))
            break;
        queue->heap[at] = queue->heap[child];
        at = child;
    }
    if (queue->count)
        queue->heap[at] = moved;
    return true;
}

void event_queue_clear(struct event_queue *queue, void (*release)(void *payload))
{
    for (size_t i = 0; i < queue->count; i++)
        if (queue->heap[i].payload)
            release(queue->heap[i].payload);
    free(queue->heap);
    *queue = (struct event_queue){0};
}

/**
 * Answers with pieces, sent one after the other at a pace, so that other traffic of the link gets
 * through between them.
 */
#ifndef SHUNTRUN_UPLOAD_QUEUE_H
#define SHUNTRUN_UPLOAD_QUEUE_H

#include "net/http_service.h"

#include <uv.h>

#define UPLOAD_QUEUE_SIZE 4

/** A call that waits for the link; the bytes must outlive the queue. */
struct upload {
    struct service_call *call;
    const void *bytes;
    size_t size;
};

struct upload_queue {
    struct upload uploads[UPLOAD_QUEUE_SIZE]; /**< in order of asking */
    uint32_t count;
    uint64_t pace_us; /**< time that the link takes for one upload */
    uv_timer_t timer; /**< runs while the link is busy with an upload */
};

void upload_queue_open(struct upload_queue *queue, uv_loop_t *loop);
/** \brief Refuse what waits. \param closed called when the queue's memory may be freed */
void upload_queue_close(struct upload_queue *queue, uv_close_cb closed);
/** \return uploads that wait or are under way */
uint32_t upload_queue_length(const struct upload_queue *queue);
/** \return false when the queue is full; the call is then still to be answered */
bool upload_queue_add(struct upload_queue *queue, struct service_call *call, const void *bytes,
                      size_t size);

#endif

#include "loader/upload_queue.h"

#include "base/metrics.h"

#include <string.h>

static void on_link_free(uv_timer_t *timer);

void upload_queue_open(struct upload_queue *queue, uv_loop_t *loop)
{
    memset(queue, 0, sizeof *queue);
    uv_timer_init(loop, &queue->timer);
    queue->timer.data = queue;
}

void upload_queue_close(struct upload_queue *queue, uv_close_cb closed)
{
    for (uint32_t i = 0; i < queue->count; i++)
        service_reply(queue->uploads[i].call, 404, NULL, NULL, 0);
    queue->count = 0;
    uv_close((uv_handle_t *)&queue->timer, closed);
}

static bool is_busy(const struct upload_queue *queue)
{
    return uv_is_active((const uv_handle_t *)&queue->timer);
}

uint32_t upload_queue_length(const struct upload_queue *queue)
{
    return queue->count + is_busy(queue);
}

/* Send the first one that waits; the next one waits until it is through the link. */
static void send_next(struct upload_queue *queue)
{
    if (!queue->count || is_busy(queue))
        return;
    struct upload upload = queue->uploads[0];
    queue->count--;
    memmove(queue->uploads, queue->uploads + 1, queue->count * sizeof *queue->uploads);
    metric_add(METRIC_CHUNKS_SERVED, 1);
    service_reply(upload.call, 200, "application/octet-stream", upload.bytes, upload.size);
    uv_timer_start(&queue->timer, on_link_free, queue->pace_us / 1000, 0);
}

static void on_link_free(uv_timer_t *timer)
{
    send_next(timer->data);
}

bool upload_queue_add(struct upload_queue *queue, struct service_call *call, const void *bytes,
                      size_t size)
{
    if (queue->count == UPLOAD_QUEUE_SIZE)
        return false;
    queue->uploads[queue->count++] = (struct upload){call, bytes, size};
    send_next(queue);
    return true;
}

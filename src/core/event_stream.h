/**
 * Splits a stream of server-sent events into whole events.
 *
 * Bytes of an event are handed on only when its closing blank line has come, so a torn event never
 * reaches a client.
 */
#ifndef SHUNTRUN_EVENT_STREAM_H
#define SHUNTRUN_EVENT_STREAM_H

#include "base/buffer.h"

#include <stdbool.h>
#include <stdint.h>

#define EVENT_ID_SIZE 32

struct event_stream {
    struct buffer partial; /**< bytes of an event that is not complete */
    size_t scanned;        /**< bytes of `partial` known to hold no end */
    char last_id[EVENT_ID_SIZE];
    uint64_t events;
};

/**
 * \brief Take bytes in. \param whole gets the bytes of all events that are complete now
 * \return number of these events
 */
uint32_t event_stream_feed(struct event_stream *stream, const char *bytes, size_t size,
                           struct buffer *whole);
/** \brief Forget a torn event; the last id stays. */
void event_stream_drop_partial(struct event_stream *stream);
void event_stream_clear(struct event_stream *stream);

#endif

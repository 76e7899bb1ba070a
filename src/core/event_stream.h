/**
 * Splits a byte stream of server-sent events into complete events.
 *
 * The bytes of an event are passed on only once its closing blank line has arrived, so a client
 * never receives a partial event.
 */
#ifndef SHUNTRUN_EVENT_STREAM_H
#define SHUNTRUN_EVENT_STREAM_H

#include "base/buffer.h"

#include <stdbool.h>
#include <stdint.h>

/** Bytes of the longest event id that is kept, with the terminating NUL. */
#define EVENT_ID_SIZE 32

struct event_stream {
    struct buffer partial;       /**< bytes of the event that is still incomplete */
    size_t scanned;              /**< bytes of `partial` already searched for its end */
    char last_id[EVENT_ID_SIZE]; /**< id of the last event that had one */
    uint64_t events;             /**< number of complete events so far */
};

/**
 * \brief Add received bytes.
 * \param complete the bytes of all events completed by them are appended to it
 * \return number of these events
 */
uint32_t event_stream_feed(struct event_stream *stream, const char *bytes, size_t size,
                           struct buffer *complete);
/** \brief Discard a partial event; the last id is kept. */
void event_stream_drop_partial(struct event_stream *stream);
/** \brief Free the buffer. */
void event_stream_clear(struct event_stream *stream);

#endif

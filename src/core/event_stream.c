#include "core/event_stream.h"

#include <stdlib.h>
#include <string.h>

/* \return length of the line terminator at `position`; 0: there is none */
static size_t line_end(const char *bytes, size_t size, size_t position)
{
    if (position < size && bytes[position] == '\n')
        return 1;
    if (position + 1 < size && bytes[position] == '\r' && bytes[position + 1] == '\n')
        return 2;
    return 0;
}

/* \return length of the first event including its closing blank line; 0: it is incomplete */
static size_t event_length(struct event_stream *stream)
{
    const char *bytes = stream->partial.data;
    size_t size = stream->partial.size;
    size_t position = stream->scanned;
    while (position < size) {
        const char *end = memchr(bytes + position, '\n', size - position);
        if (!end) {
            stream->scanned = position;
            return 0;
        }
        size_t next = (size_t)(end - bytes) + 1;
        size_t blank = line_end(bytes, size, next);
        if (blank)
            return next + blank;
        if (next >= size || (bytes[next] == '\r' && next + 1 >= size)) {
            stream->scanned = position; /* the next line may turn out to be blank */
            return 0;
        }
        position = next;
    }
    stream->scanned = position;
    return 0;
}

/* Stores the value of the event's last `id` field; one that is too long is ignored. */
static void record_last_id(struct event_stream *stream, const char *event, size_t size)
{
    for (size_t line = 0; line < size;) {
        const char *end = memchr(event + line, '\n', size - line);
        size_t length = end ? (size_t)(end - event) - line : size - line;
        if (length > 3 && memcmp(event + line, "id:", 3) == 0) {
            const char *value = event + line + 3;
            size_t value_length = length - 3;
            while (value_length && *value == ' ') {
                value++;
                value_length--;
            }
            while (value_length && value[value_length - 1] == '\r')
                value_length--;
            if (value_length < EVENT_ID_SIZE) {
                memcpy(stream->last_id, value, value_length);
                stream->last_id[value_length] = 0;
            }
        }
        line += length + 1;
    }
}

uint32_t event_stream_feed(struct event_stream *stream, const char *bytes, size_t size,
                           struct buffer *complete)
{
    uint32_t events = 0;
    buffer_append(&stream->partial, bytes, size);
    for (size_t length = event_length(stream); length; length = event_length(stream)) {
        record_last_id(stream, stream->partial.data, length);
        buffer_append(complete, stream->partial.data, length);
        buffer_consume(&stream->partial, length);
        stream->scanned = 0;
        events++;
    }
    stream->events += events;
    return events;
}

void event_stream_drop_partial(struct event_stream *stream)
{
    buffer_reset(&stream->partial);
    stream->scanned = 0;
}

void event_stream_clear(struct event_stream *stream)
{
    buffer_clear(&stream->partial);
}

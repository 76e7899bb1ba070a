/**
 * Growable byte buffer.
 */
#ifndef SHUNTRUN_BUFFER_H
#define SHUNTRUN_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/** Owned bytes; a zero-initialized buffer is empty. */
struct buffer {
    char *data;
    size_t size;
    size_t capacity;
};

/** \brief Append bytes. */
void buffer_append(struct buffer *buffer, const void *bytes, size_t size);
/** \brief Append a string without its terminating NUL. */
void buffer_append_text(struct buffer *buffer, const char *text);
/** \brief Append a formatted string without its terminating NUL. */
void buffer_append_format(struct buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** \brief Remove the first `size` bytes. */
void buffer_consume(struct buffer *buffer, size_t size);
/** \brief Make the buffer empty but keep its memory, unless it is large. */
void buffer_reset(struct buffer *buffer);
/** \brief Free the memory and make the buffer empty. */
void buffer_clear(struct buffer *buffer);

#endif

/**
 * A growing run of bytes, and a place for small texts cut out of it.
 */
#ifndef SHUNTRUN_BUFFER_H
#define SHUNTRUN_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/** Owned bytes; zero-initialised is empty. */
struct buffer {
    char *data;
    size_t size;
    size_t capacity;
};

/** \brief Append bytes. */
void buffer_append(struct buffer *buffer, const void *bytes, size_t size);
/** \brief Append a text without its closing zero. */
void buffer_append_text(struct buffer *buffer, const char *text);
/** \brief Append formatted text without its closing zero. */
void buffer_append_format(struct buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** \brief Remove the first `size` bytes. */
void buffer_consume(struct buffer *buffer, size_t size);
/** \brief Empty it and keep its memory. */
void buffer_reset(struct buffer *buffer);
/** \brief Free its memory. */
void buffer_clear(struct buffer *buffer);

#endif

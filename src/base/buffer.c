#include "base/buffer.h"

#include "base/memory.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_MIN_CAPACITY 256
/** A reset buffer keeps no more: connections that were idle would hold their largest message. */
#define BUFFER_MAX_KEPT 16384

static void reserve(struct buffer *buffer, size_t more)
{
    size_t needed = buffer->size + more;
    if (needed <= buffer->capacity)
        return;
    size_t capacity = buffer->capacity ? buffer->capacity : BUFFER_MIN_CAPACITY;
    while (capacity < needed)
        capacity *= 2;
    buffer->data = memory_realloc(buffer->data, capacity);
    memory_hold_buffer(capacity - buffer->capacity);
    buffer->capacity = capacity;
}

void buffer_append(struct buffer *buffer, const void *bytes, size_t size)
{
    if (!size)
        return;
    reserve(buffer, size);
    memcpy(buffer->data + buffer->size, bytes, size);
    buffer->size += size;
}

void buffer_append_text(struct buffer *buffer, const char *text)
{
    buffer_append(buffer, text, strlen(text));
}

void buffer_append_format(struct buffer *buffer, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    va_list arguments_copy;
    va_copy(arguments_copy, arguments);
    int length = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    if (length > 0) {
        reserve(buffer, (size_t)length + 1);
        vsnprintf(buffer->data + buffer->size, (size_t)length + 1, format, arguments_copy);
        buffer->size += (size_t)length;
    }
    va_end(arguments_copy);
}

void buffer_consume(struct buffer *buffer, size_t size)
{
    if (size >= buffer->size) {
        buffer->size = 0;
        return;
    }
    memmove(buffer->data, buffer->data + size, buffer->size - size);
    buffer->size -= size;
}

void buffer_reset(struct buffer *buffer)
{
    if (buffer->capacity > BUFFER_MAX_KEPT)
        buffer_clear(buffer);
    buffer->size = 0;
}

void buffer_clear(struct buffer *buffer)
{
    memory_release_buffer(buffer->capacity);
    free(buffer->data);
    *buffer = (struct buffer){0};
}

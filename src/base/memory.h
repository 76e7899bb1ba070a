/**
 * Allocation functions that abort the process when memory is exhausted, so that callers need no
 * error path. Chunk data is not allocated here: the chunk store bounds and accounts for it.
 */
#ifndef SHUNTRUN_MEMORY_H
#define SHUNTRUN_MEMORY_H

#include <stddef.h>

/** \brief Allocate zeroed memory; the caller releases it with free(). */
void *memory_calloc(size_t count, size_t size);
/** \brief Resize a block from this module or NULL, like realloc(). */
void *memory_realloc(void *block, size_t size);
/** \brief Copy a string; NULL is copied as "". */
char *memory_strdup(const char *text);
/** \brief Copy `size` bytes into a new block. */
void *memory_duplicate(const void *bytes, size_t size);
/** \brief Account for bytes of buffers that were allocated; callable from any thread. */
void memory_hold_buffer(size_t size);
/** \brief Account for bytes of buffers that were freed; callable from any thread. */
void memory_release_buffer(size_t size);
/** \return bytes of all buffers of this process that are accounted for */
size_t memory_held_by_buffers(void);

#endif

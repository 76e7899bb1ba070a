/**
 * Allocation that ends the process when memory is gone, so that callers need no error path.
 * Chunk data is not allocated here: it is bounded and accounted by the chunk store.
 */
#ifndef SHUNTRUN_MEMORY_H
#define SHUNTRUN_MEMORY_H

#include <stddef.h>

/** \brief Zeroed memory; owned by the caller, released with free(). */
void *memory_calloc(size_t count, size_t size);
void *memory_realloc(void *block, size_t size);
char *memory_strdup(const char *text);
void *memory_duplicate(const void *bytes, size_t size);

#endif

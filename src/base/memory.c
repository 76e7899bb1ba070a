#include "base/memory.h"

#include <ck_pr.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t buffer_bytes;

static void *checked(void *block)
{
    if (!block) {
        fputs("shuntrun: out of memory\n", stderr);
        abort();
    }
    return block;
}

void *memory_calloc(size_t count, size_t size)
{
    return checked(calloc(count ? count : 1, size ? size : 1));
}

void *memory_realloc(void *block, size_t size)
{
    return checked(realloc(block, size ? size : 1));
}

char *memory_strdup(const char *text)
{
    return checked(strdup(text ? text : ""));
}

void *memory_duplicate(const void *bytes, size_t size)
{
    void *copy = checked(malloc(size ? size : 1));
    if (size)
        memcpy(copy, bytes, size);
    return copy;
}

void memory_hold_buffer(size_t size)
{
    ck_pr_add_64(&buffer_bytes, size);
}

void memory_release_buffer(size_t size)
{
    ck_pr_sub_64(&buffer_bytes, size);
}

size_t memory_held_by_buffers(void)
{
    return ck_pr_load_64(&buffer_bytes);
}

/**
 * Replacement for libFuzzer: runs a target on a fixed number of seeded mutations of its corpus.
 */
#include "fuzz/fuzz.h"

#include "base/memory.h"
#include "core/random.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SIZE 4096
#define MAX_CHANGES 8

static size_t mutate(struct random_stream *random, uint8_t *data, size_t size)
{
    uint64_t changes = 1 + random_below(random, MAX_CHANGES);
    for (uint64_t i = 0; i < changes; i++) {
        size_t at = (size_t)random_below(random, size + 1);
        switch (random_below(random, 5)) {
        case 0: /* flip bits */
            if (at < size)
                data[at] ^= (uint8_t)(1U << random_below(random, 8));
            break;
        case 1: /* replace a byte */
            if (at < size)
                data[at] = (uint8_t)random_below(random, 256);
            break;
        case 2: /* truncate */
            size = at;
            break;
        case 3: /* insert */
            if (size < MAX_SIZE) {
                memmove(data + at + 1, data + at, size - at);
                data[at] = (uint8_t)random_below(random, 256);
                size++;
            }
            break;
        default: /* duplicate the tail */
            if (at < size && size + (size - at) <= MAX_SIZE) {
                memcpy(data + size, data + at, size - at);
                size += size - at;
            }
            break;
        }
    }
    return size;
}

int main(int argc, char **argv)
{
    unsigned long runs = argc > 1 ? strtoul(argv[1], NULL, 10) : 20000;
    struct random_stream random = {.seed = 1};
    size_t corpus = 0;
    while (fuzz_corpus[corpus])
        corpus++;
    for (unsigned long i = 0; i < runs; i++) {
        const char *start = fuzz_corpus[i % corpus];
        size_t size = strlen(start) < MAX_SIZE ? strlen(start) : MAX_SIZE;
        uint8_t *data = memory_calloc(MAX_SIZE + 1, 1);
        memcpy(data, start, size);
        size = mutate(&random, data, size);
        uint8_t *exact =
            memory_duplicate(data, size); /* exact size: a sanitizer reports reads past the end */
        LLVMFuzzerTestOneInput(exact, size);
        free(exact);
        free(data);
    }
    printf("%lu inputs\n", runs);
    return 0;
}

/**
 * Hashes for node ids and rendezvous weights, with XXH3 of libxxhash.
 */
#ifndef SHUNTRUN_HASH_H
#define SHUNTRUN_HASH_H

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

/** \brief Id of a node or machine: the hash of its unique name. */
static inline uint64_t hash_name(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static inline uint64_t hash_bytes(const void *bytes, size_t size)
{
    return XXH3_64bits(bytes, size);
}

/** \brief Rendezvous weight of `node` for `key`: uniform, the same on every machine. */
static inline uint64_t hash_pair(uint64_t key, uint64_t node)
{
    uint64_t words[2] = {key, node};
    return XXH3_64bits(words, sizeof words);
}

#endif

/**
 * Bitmaps of fixed size in 64-bit words. Unused bits of the last word are always zero.
 */
#ifndef SHUNTRUN_BITMAP_H
#define SHUNTRUN_BITMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BITMAP_WORD_BITS 64

/** \return number of words of a bitmap */
static inline size_t bitmap_words(size_t bits)
{
    return (bits + BITMAP_WORD_BITS - 1) / BITMAP_WORD_BITS;
}

static inline bool bitmap_get(const uint64_t *words, size_t bit)
{
    return (words[bit / BITMAP_WORD_BITS] >> (bit % BITMAP_WORD_BITS)) & 1;
}

static inline void bitmap_set(uint64_t *words, size_t bit)
{
    words[bit / BITMAP_WORD_BITS] |= 1ULL << (bit % BITMAP_WORD_BITS);
}

static inline void bitmap_clear(uint64_t *words, size_t bit)
{
    words[bit / BITMAP_WORD_BITS] &= ~(1ULL << (bit % BITMAP_WORD_BITS));
}

/** \return number of bits that are set */
static inline size_t bitmap_count(const uint64_t *words, size_t bits)
{
    size_t count = 0;
    for (size_t i = 0; i < bitmap_words(bits); i++)
        count += (size_t)__builtin_popcountll(words[i]);
    return count;
}

#endif

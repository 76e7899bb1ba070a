/**
 * Maps IPv4 addresses, or other 32-bit keys, to positions in a table: a hash table with linear
 * probing, so that a look-up costs the same in a fleet of 30 and in one of 4,000 machines.
 *
 * Single entries cannot be removed; the index is cleared and filled again.
 */
#ifndef SHUNTRUN_ADDRESS_INDEX_H
#define SHUNTRUN_ADDRESS_INDEX_H

#include <stdint.h>

/** Result of a look-up without an entry. */
#define ADDRESS_INDEX_NONE UINT32_MAX

struct address_slot {
    uint32_t address; /**< host byte order; 0: free */
    uint32_t position;
};

struct address_index {
    struct address_slot *slots;
    uint32_t capacity; /**< number of slots: a power of two, or 0 */
    uint32_t count;
};

/** \brief Insert or replace the position of an address, which must not be 0. */
void address_index_put(struct address_index *index, uint32_t address, uint32_t position);
/** \return the position, or ADDRESS_INDEX_NONE */
uint32_t address_index_find(const struct address_index *index, uint32_t address);
/** \brief Remove all entries; the memory is kept. */
void address_index_clear(struct address_index *index);
void address_index_destroy(struct address_index *index);

#endif

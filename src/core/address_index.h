/**
 * Where in a table the entry of an IPv4 address stands: a hash table with linear probing, so that a
 * look-up costs the same in a fleet of 30 and in one of 4,000.
 *
 * Entries are never taken out one by one; the table is cleared and filled again.
 */
#ifndef SHUNTRUN_ADDRESS_INDEX_H
#define SHUNTRUN_ADDRESS_INDEX_H

#include <stdint.h>

/** There is no entry. */
#define ADDRESS_INDEX_NONE UINT32_MAX

struct address_slot {
    uint32_t address; /**< host byte order; 0: free */
    uint32_t position;
};

struct address_index {
    struct address_slot *slots;
    uint32_t capacity; /**< a power of two, or 0 */
    uint32_t count;
};

/** \brief Enter a place for an address that is not 0, or change it. */
void address_index_put(struct address_index *index, uint32_t address, uint32_t position);
/** \return the place, or ADDRESS_INDEX_NONE */
uint32_t address_index_find(const struct address_index *index, uint32_t address);
/** \brief Take all entries out; the memory is kept. */
void address_index_clear(struct address_index *index);
void address_index_destroy(struct address_index *index);

#endif

#include "core/address_index.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64
/** 2^32 divided by the golden ratio: distributes adjacent addresses over the table. */
#define FIBONACCI_MULTIPLIER 2654435769U

static uint32_t first_slot(const struct address_index *index, uint32_t address)
{
    uint32_t hash = address * FIBONACCI_MULTIPLIER;
    return (hash ^ (hash >> 16)) & (index->capacity - 1);
}

/* \return the slot of an address, or the free slot where it would be inserted */
static struct address_slot *slot_of(const struct address_index *index, uint32_t address)
{
    uint32_t slot = first_slot(index, address);
    while (index->slots[slot].address && index->slots[slot].address != address)
        slot = (slot + 1) & (index->capacity - 1);
    return &index->slots[slot];
}

static void grow(struct address_index *index)
{
    struct address_index larger = {.capacity =
                                       index->capacity ? 2 * index->capacity : INITIAL_CAPACITY};
    larger.slots = memory_calloc(larger.capacity, sizeof *larger.slots);
    for (uint32_t i = 0; i < index->capacity; i++)
        if (index->slots[i].address)
            *slot_of(&larger, index->slots[i].address) = index->slots[i];
    larger.count = index->count;
    free(index->slots);
    *index = larger;
}

void address_index_put(struct address_index *index, uint32_t address, uint32_t position)
{
    if (2 * (index->count + 1) > index->capacity)
        grow(index);
    struct address_slot *slot = slot_of(index, address);
    index->count += slot->address == 0;
    *slot = (struct address_slot){address, position};
}

uint32_t address_index_find(const struct address_index *index, uint32_t address)
{
    if (!index->capacity || !address)
        return ADDRESS_INDEX_NONE;
    const struct address_slot *slot = slot_of(index, address);
    return slot->address ? slot->position : ADDRESS_INDEX_NONE;
}

void address_index_clear(struct address_index *index)
{
    if (index->count)
        memset(index->slots, 0, index->capacity * sizeof *index->slots);
    index->count = 0;
}

void address_index_destroy(struct address_index *index)
{
    free(index->slots);
    *index = (struct address_index){0};
}

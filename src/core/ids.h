/**
 * Sorted lists of node ids.
 */
#ifndef SHUNTRUN_IDS_H
#define SHUNTRUN_IDS_H

#include <stdbool.h>
#include <stdint.h>

void ids_sort(uint64_t *ids, uint32_t count);

/** \param ids sorted */
bool ids_contain(const uint64_t *ids, uint32_t count, uint64_t id);

#endif

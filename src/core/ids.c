#include "core/ids.h"

#include <stdlib.h>

static int compare_ids(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;
    return a < b ? -1 : a > b;
}

void ids_sort(uint64_t *ids, uint32_t count)
{
    if (count)
        qsort(ids, count, sizeof *ids, compare_ids);
}

bool ids_contain(const uint64_t *ids, uint32_t count, uint64_t id)
{
    return count && bsearch(&id, ids, count, sizeof *ids, compare_ids) != NULL;
}

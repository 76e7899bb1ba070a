#include "core/routing/zone_set.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

/* Index of a name, or the index at which to insert it. */
static uint32_t find_index(const struct zone_set *set, const char *zone, bool *found)
{
    uint32_t low = 0, high = set->count;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        if (strcmp(set->names[middle], zone) < 0)
            low = middle + 1;
        else
            high = middle;
    }
    *found = low < set->count && strcmp(set->names[low], zone) == 0;
    return low;
}

bool zone_set_add(struct zone_set *set, const char *zone)
{
    bool found;
    uint32_t index = find_index(set, zone, &found);
    if (found)
        return false;
    set->names = memory_realloc(set->names, (set->count + 1) * sizeof *set->names);
    memmove(set->names + index + 1, set->names + index, (set->count - index) * sizeof *set->names);
    set->names[index] = memory_strdup(zone);
    set->count++;
    return true;
}

bool zone_set_remove(struct zone_set *set, const char *zone)
{
    bool found;
    uint32_t index = find_index(set, zone, &found);
    if (!found)
        return false;
    free(set->names[index]);
    set->count--;
    memmove(set->names + index, set->names + index + 1, (set->count - index) * sizeof *set->names);
    return true;
}

bool zone_set_contains(const struct zone_set *set, const char *zone)
{
    bool found;
    find_index(set, zone, &found);
    return found;
}

void zone_set_clear(struct zone_set *set)
{
    for (uint32_t i = 0; i < set->count; i++)
        free(set->names[i]);
    free(set->names);
    *set = (struct zone_set){0};
}

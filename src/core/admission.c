#include "core/admission.h"

#include "base/memory.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define RESERVED_PERCENT 25 /* part of the unused shares that other tenants cannot borrow */

void admission_configure(struct admission *admission, uint32_t limit,
                         const struct tenant_config *tenants, uint32_t count)
{
    struct admission_tenant *next = memory_calloc(count, sizeof *next);
    uint64_t weight_sum = 0;
    uint32_t active = 0;
    for (uint32_t i = 0; i < count; i++) {
        strcpy(next[i].name, tenants[i].name);
        next[i].weight = tenants[i].weight;
        uint32_t old = admission_find(admission, tenants[i].name);
        if (old != ADMISSION_UNKNOWN_TENANT)
            next[i].active = admission->tenants[old].active;
        active += next[i].active;
        weight_sum += tenants[i].weight;
    }
    free(admission->tenants);
    *admission = (struct admission){limit, active, weight_sum, next, count};
}

uint32_t admission_find(const struct admission *admission, const char *tenant)
{
    for (uint32_t i = 0; i < admission->tenant_count; i++)
        if (strcmp(admission->tenants[i].name, tenant) == 0)
            return i;
    return ADMISSION_UNKNOWN_TENANT;
}

uint32_t admission_share(const struct admission *admission, uint32_t tenant)
{
    uint64_t share = (uint64_t)admission->limit * admission->tenants[tenant].weight;
    share /= admission->weight_sum;
    return share ? (uint32_t)share : 1;
}

/* Slots reserved for other tenants that are below their shares. */
static uint32_t reserved_for_others(const struct admission *admission, uint32_t tenant)
{
    uint64_t unused = 0;
    for (uint32_t i = 0; i < admission->tenant_count; i++) {
        uint32_t share = admission_share(admission, i);
        if (i != tenant && admission->tenants[i].active < share)
            unused += share - admission->tenants[i].active;
    }
    /* Rounded up, so that a tenant reaches its full share under any load of the others. */
    return (uint32_t)((unused * RESERVED_PERCENT + 99) / 100);
}

bool admission_enter(struct admission *admission, uint32_t tenant)
{
    assert(tenant < admission->tenant_count);
    struct admission_tenant *entry = &admission->tenants[tenant];
    bool within_share = entry->active < admission_share(admission, tenant);
    uint32_t bound = admission->limit;
    if (!within_share)
        bound -= reserved_for_others(admission, tenant);
    if (admission->active >= bound)
        return false;
    entry->active++;
    admission->active++;
    return true;
}

void admission_leave(struct admission *admission, uint32_t tenant)
{
    assert(tenant < admission->tenant_count && admission->tenants[tenant].active);
    admission->tenants[tenant].active--;
    admission->active--;
}

void admission_clear(struct admission *admission)
{
    free(admission->tenants);
    *admission = (struct admission){0};
}

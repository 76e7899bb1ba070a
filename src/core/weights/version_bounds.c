#include "core/weights/version_bounds.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void version_bounds_clear(struct version_bounds *bounds)
{
    for (uint32_t i = 0; i < bounds->count; i++)
        free(bounds->models[i].bounds);
    free(bounds->models);
    *bounds = (struct version_bounds){0};
}

static struct model_versions *find(const struct version_bounds *bounds, const char *model)
{
    for (uint32_t i = 0; i < bounds->count; i++)
        if (strcmp(bounds->models[i].model, model) == 0)
            return &bounds->models[i];
    return NULL;
}

static struct model_versions *add_model(struct version_bounds *bounds, const char *model)
{
    bounds->models = memory_realloc(bounds->models, (bounds->count + 1) * sizeof *bounds->models);
    struct model_versions *versions = &bounds->models[bounds->count++];
    *versions = (struct model_versions){0};
    snprintf(versions->model, sizeof versions->model, "%s", model);
    return versions;
}

/* Those older than the newest one that is the minimum already bind nothing any more. */
static void drop_superseded(struct model_versions *versions, uint64_t now)
{
    for (uint32_t i = 0; i < versions->count; i++)
        if (now >= versions->bounds[i].enforced_at)
            versions->count = i + 1;
}

void version_bounds_add(struct version_bounds *bounds, const char *model, uint64_t version,
                        uint64_t enforced_at, uint64_t now)
{
    struct model_versions *versions = find(bounds, model);
    if (!versions)
        versions = add_model(bounds, model);
    if (versions->count && version <= versions->bounds[0].version)
        return;
    drop_superseded(versions, now);
    versions->bounds =
        memory_realloc(versions->bounds, (versions->count + 1) * sizeof *versions->bounds);
    memmove(&versions->bounds[1], &versions->bounds[0],
            versions->count * sizeof versions->bounds[0]);
    versions->bounds[0] = (struct version_bound){version, enforced_at};
    versions->count++;
}

uint64_t version_bounds_newest(const struct version_bounds *bounds, const char *model)
{
    const struct model_versions *versions = find(bounds, model);
    return versions && versions->count ? versions->bounds[0].version : 0;
}

uint64_t version_bounds_minimum(const struct version_bounds *bounds, const char *model,
                                uint64_t now)
{
    const struct model_versions *versions = find(bounds, model);
    for (uint32_t i = 0; versions && i < versions->count; i++)
        if (now >= versions->bounds[i].enforced_at)
            return versions->bounds[i].version;
    return 0;
}

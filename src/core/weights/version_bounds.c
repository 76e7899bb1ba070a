#include "core/weights/version_bounds.h"

#include <stdio.h>
#include <string.h>

static struct model_versions *find(const struct version_bounds *bounds, const char *model)
{
    for (uint32_t i = 0; i < bounds->count; i++)
        if (strcmp(bounds->models[i].model, model) == 0)
            return (struct model_versions *)&bounds->models[i];
    return NULL;
}

void version_bounds_add(struct version_bounds *bounds, const char *model, uint64_t version,
                        uint64_t enforced_at)
{
    struct model_versions *versions = find(bounds, model);
    if (!versions) {
        if (bounds->count == VERSION_BOUNDS_MAX_MODELS)
            return;
        versions = &bounds->models[bounds->count++];
        memset(versions, 0, sizeof *versions);
        snprintf(versions->model, sizeof versions->model, "%s", model);
    }
    if (versions->count && version <= versions->bounds[0].version)
        return;
    uint32_t kept = versions->count < VERSION_BOUNDS_MAX_VERSIONS ? versions->count
                                                                  : VERSION_BOUNDS_MAX_VERSIONS - 1;
    memmove(&versions->bounds[1], &versions->bounds[0], kept * sizeof versions->bounds[0]);
    versions->bounds[0] = (struct version_bound){version, enforced_at};
    versions->count = kept + 1;
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

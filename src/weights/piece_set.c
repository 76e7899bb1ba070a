#include "weights/piece_set.h"

#include "base/memory.h"
#include "base/metrics.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

struct piece {
    uint8_t *data; /* NULL: not held */
    size_t size;
};

struct piece_set {
    char model[BACKEND_NAME_SIZE];
    uint64_t version;
    uint64_t version_key;
    struct piece_manifest manifest;
    char *manifest_body; /* NULL: not added yet */
    size_t manifest_size;
    struct piece *pieces;
    uint32_t held;
};

struct piece_set *piece_set_create(const char *model, uint64_t version)
{
    struct piece_set *set = memory_calloc(1, sizeof *set);
    snprintf(set->model, sizeof set->model, "%s", model);
    set->version = version;
    set->version_key = hash_pair(hash_name(model), version);
    return set;
}

void piece_set_destroy(struct piece_set *set)
{
    for (uint32_t i = 0; set->pieces && i < set->manifest.count; i++)
        free(set->pieces[i].data);
    free(set->pieces);
    free(set->manifest_body);
    piece_manifest_clear(&set->manifest);
    free(set);
}

const char *piece_set_model(const struct piece_set *set)
{
    return set->model;
}

uint64_t piece_set_version(const struct piece_set *set)
{
    return set->version;
}

uint64_t piece_set_version_key(const struct piece_set *set)
{
    return set->version_key;
}

enum status piece_set_add_manifest(struct piece_set *set, const char *body, size_t size)
{
    struct piece_manifest manifest;
    if (set->manifest_body)
        return STATUS_OK;
    enum status status = platform_read_manifest(body, size, &manifest);
    if (status == STATUS_OK && manifest.version != set->version)
        status =
            status_fail(STATUS_INVALID, "manifest has version %llu, expected %llu",
                        (unsigned long long)manifest.version, (unsigned long long)set->version);
    if (status != STATUS_OK) {
        piece_manifest_clear(&manifest);
        return status;
    }
    set->manifest = manifest;
    set->manifest_body = memory_duplicate(body, size);
    set->manifest_size = size;
    set->pieces = memory_calloc(manifest.count, sizeof *set->pieces);
    return STATUS_OK;
}

const struct piece_manifest *piece_set_manifest(const struct piece_set *set)
{
    return set->manifest_body ? &set->manifest : NULL;
}

const char *piece_set_manifest_body(const struct piece_set *set, size_t *size)
{
    *size = set->manifest_size;
    return set->manifest_body;
}

/* \return index of a piece with this digest, preferably one that is not held; the number of pieces
 * if there is none */
static uint32_t find_by_digest(const struct piece_set *set, const struct digest *digest)
{
    uint32_t found = set->manifest.count;
    for (uint32_t i = 0; i < set->manifest.count; i++) {
        if (!digest_equal(digest, &set->manifest.digests[i]))
            continue;
        found = i;
        if (!set->pieces[i].data)
            break;
    }
    return found;
}

enum piece_add_result piece_set_add(struct piece_set *set, const void *bytes, size_t size,
                                    uint32_t *piece)
{
    struct digest digest = digest_of(bytes, size);
    *piece = find_by_digest(set, &digest);
    if (*piece == set->manifest.count)
        return PIECE_UNKNOWN;
    struct piece *place = &set->pieces[*piece];
    if (place->data)
        return PIECE_DUPLICATE;
    place->data = memory_duplicate(bytes, size);
    place->size = size;
    set->held++;
    metric_add(METRIC_CHUNK_BYTES, size);
    return PIECE_ADDED;
}

const uint8_t *piece_set_data(const struct piece_set *set, uint32_t piece, size_t *size)
{
    *size = set->pieces[piece].size;
    return set->pieces[piece].data;
}

uint32_t piece_set_held(const struct piece_set *set)
{
    return set->held;
}

bool piece_set_complete(const struct piece_set *set)
{
    return set->manifest_body && set->held == set->manifest.count;
}

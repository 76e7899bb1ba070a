#include "core/manifest.h"

#include "base/memory.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static enum status copy_name(const json_t *root, const char *key, char target[MANIFEST_NAME_SIZE])
{
    const char *text = json_string_value(json_object_get(root, key));
    if (!text || !*text || strlen(text) >= MANIFEST_NAME_SIZE)
        return status_fail(STATUS_INVALID, "manifest: `%s` must be 1 to %d characters", key,
                           MANIFEST_NAME_SIZE - 1);
    strcpy(target, text);
    return STATUS_OK;
}

static enum status read_sizes(const json_t *root, struct manifest *manifest)
{
    json_int_t total = json_integer_value(json_object_get(root, "total_bytes"));
    json_int_t chunk = json_integer_value(json_object_get(root, "chunk_bytes"));
    size_t count = json_array_size(json_object_get(root, "chunks"));
    if (total <= 0 || chunk <= 0)
        return status_fail(STATUS_INVALID, "manifest: sizes must be positive");
    if (count == 0 || count > MANIFEST_MAX_CHUNKS)
        return status_fail(STATUS_INVALID, "manifest: must list 1 to %d chunks",
                           MANIFEST_MAX_CHUNKS);
    if ((uint64_t)(total - 1) / (uint64_t)chunk + 1 != count)
        return status_fail(STATUS_INVALID, "manifest: sizes do not match the number of chunks");
    manifest->total_bytes = (uint64_t)total;
    manifest->chunk_bytes = (uint64_t)chunk;
    manifest->chunk_count = (uint32_t)count;
    return STATUS_OK;
}

static enum status read_chunks(const json_t *root, struct manifest *manifest)
{
    const json_t *list = json_object_get(root, "chunks");
    manifest->chunks = memory_calloc(manifest->chunk_count, sizeof *manifest->chunks);
    for (uint32_t i = 0; i < manifest->chunk_count; i++) {
        const char *hex = json_string_value(json_array_get(list, i));
        if (digest_from_hex(hex, &manifest->chunks[i]) != STATUS_OK)
            return status_fail(STATUS_INVALID, "manifest: chunk %u is not a valid digest", i);
    }
    return STATUS_OK;
}

static enum status read_fields(const json_t *root, struct manifest *manifest)
{
    enum status status = copy_name(root, "model", manifest->model);
    if (status == STATUS_OK)
        status = copy_name(root, "version", manifest->version);
    if (status == STATUS_OK)
        status = read_sizes(root, manifest);
    if (status == STATUS_OK)
        status = read_chunks(root, manifest);
    return status;
}

enum status manifest_parse(const void *bytes, size_t size, const struct digest *expected,
                           struct manifest *manifest)
{
    struct manifest parsed = {.digest = digest_of(bytes, size)};
    if (!digest_equal(&parsed.digest, expected))
        return status_fail(STATUS_CORRUPT, "manifest does not match its digest");
    json_error_t error;
    json_t *root = json_loadb(bytes, size, JSON_REJECT_DUPLICATES, &error);
    if (!root)
        return status_fail(STATUS_INVALID, "manifest:%d: %s", error.line, error.text);
    enum status status = read_fields(root, &parsed);
    json_decref(root);
    if (status != STATUS_OK) {
        manifest_clear(&parsed);
        return status;
    }
    *manifest = parsed;
    return STATUS_OK;
}

uint64_t manifest_chunk_length(const struct manifest *manifest, uint32_t chunk)
{
    uint64_t start = (uint64_t)chunk * manifest->chunk_bytes;
    uint64_t left = manifest->total_bytes - start;
    return left < manifest->chunk_bytes ? left : manifest->chunk_bytes;
}

int64_t manifest_find_chunk(const struct manifest *manifest, const struct digest *digest)
{
    for (uint32_t i = 0; i < manifest->chunk_count; i++)
        if (digest_equal(&manifest->chunks[i], digest))
            return i;
    return -1;
}

void manifest_clear(struct manifest *manifest)
{
    free(manifest->chunks);
    *manifest = (struct manifest){0};
}

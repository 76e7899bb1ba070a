#include "core/document.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#define COMPRESSION_LEVEL 3
#define WINDOW_LOG 22 /* 4 MiB: covers a base and a body of DOCUMENT_MAX_BYTES each */

uint64_t document_revision(const struct document *document)
{
    return document->versions[0].revision;
}

bool document_is_new_revision(const struct document *document, uint64_t revision)
{
    return revision > document_revision(document) && revision > document->rejected_revision;
}

enum status document_accept(struct document *document, uint64_t revision, const char *body,
                            size_t size)
{
    if (revision <= document_revision(document))
        return status_fail(STATUS_STALE, "revision %llu is not newer than %llu",
                           (unsigned long long)revision,
                           (unsigned long long)document_revision(document));
    free(document->versions[DOCUMENT_HISTORY - 1].body);
    memmove(&document->versions[1], &document->versions[0],
            (DOCUMENT_HISTORY - 1) * sizeof document->versions[0]);
    document->versions[0] = (struct document_version){revision, memory_duplicate(body, size), size};
    return STATUS_OK;
}

void document_reject(struct document *document, uint64_t revision)
{
    if (revision > document->rejected_revision)
        document->rejected_revision = revision;
}

static const struct document_version *find_version(const struct document *document,
                                                   uint64_t revision)
{
    for (int i = 0; i < DOCUMENT_HISTORY; i++)
        if (revision && document->versions[i].revision == revision)
            return &document->versions[i];
    return NULL;
}

enum status document_encode(const struct document *document, uint64_t known_revision,
                            Shuntrun__DocumentReply *reply)
{
    const struct document_version *newest = &document->versions[0];
    if (newest->revision <= known_revision)
        return status_fail(STATUS_NOT_FOUND, "no newer revision");
    const struct document_version *base = find_version(document, known_revision);
    size_t bound = ZSTD_compressBound(newest->size);
    uint8_t *packed = memory_calloc(bound, 1);
    ZSTD_CCtx *compressor = ZSTD_createCCtx();
    ZSTD_CCtx_setParameter(compressor, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
    ZSTD_CCtx_setParameter(compressor, ZSTD_c_windowLog, WINDOW_LOG);
    if (base)
        ZSTD_CCtx_refPrefix(compressor, base->body, base->size);
    size_t packed_size = ZSTD_compress2(compressor, packed, bound, newest->body, newest->size);
    ZSTD_freeCCtx(compressor);
    if (ZSTD_isError(packed_size)) {
        free(packed);
        return status_fail(STATUS_IO, "document compression failed: %s",
                           ZSTD_getErrorName(packed_size));
    }
    struct digest digest = digest_of(newest->body, newest->size);
    reply->revision = newest->revision;
    reply->base_revision = base ? base->revision : 0;
    reply->length = newest->size;
    reply->body = (ProtobufCBinaryData){packed_size, packed};
    reply->digest = (ProtobufCBinaryData){DIGEST_SIZE, memory_duplicate(digest.bytes, DIGEST_SIZE)};
    return STATUS_OK;
}

static enum status decompress(const struct document_version *base,
                              const Shuntrun__DocumentReply *reply, char *body)
{
    ZSTD_DCtx *decompressor = ZSTD_createDCtx();
    ZSTD_DCtx_setParameter(decompressor, ZSTD_d_windowLogMax, WINDOW_LOG);
    if (base)
        ZSTD_DCtx_refPrefix(decompressor, base->body, base->size);
    size_t size =
        ZSTD_decompressDCtx(decompressor, body, reply->length, reply->body.data, reply->body.len);
    ZSTD_freeDCtx(decompressor);
    if (ZSTD_isError(size) || size != reply->length)
        return status_fail(STATUS_CORRUPT, "document from peer cannot be decompressed");
    struct digest digest = digest_of(body, size);
    if (reply->digest.len != DIGEST_SIZE || memcmp(reply->digest.data, digest.bytes, DIGEST_SIZE))
        return status_fail(STATUS_CORRUPT, "document from peer does not match its digest");
    return STATUS_OK;
}

enum status document_decode(const struct document *document, const Shuntrun__DocumentReply *reply,
                            char **body, size_t *size)
{
    const struct document_version *base = find_version(document, reply->base_revision);
    if (reply->base_revision && !base)
        return status_fail(STATUS_NOT_FOUND, "base revision is no longer in the history");
    if (reply->length > DOCUMENT_MAX_BYTES)
        return status_fail(STATUS_EXHAUSTED, "document from peer is too large");
    char *buffer = memory_calloc(reply->length + 1, 1);
    enum status status = decompress(base, reply, buffer);
    if (status != STATUS_OK) {
        free(buffer);
        return status;
    }
    *body = buffer;
    *size = reply->length;
    return STATUS_OK;
}

void document_clear(struct document *document)
{
    for (int i = 0; i < DOCUMENT_HISTORY; i++)
        free(document->versions[i].body);
    *document = (struct document){0};
}

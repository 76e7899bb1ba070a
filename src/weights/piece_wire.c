#include "weights/piece_wire.h"

#include "core/swarm/bitmap.h"
#include "net/http_message.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MANIFEST_PATH "/manifest"
#define PIECE_PATH "/piece"
#define WORD_DIGITS 16

static bool read_bitmap(const char *text, uint64_t wanted[PIECE_BITMAP_WORDS])
{
    size_t digits = strlen(text);
    if (!digits || digits % WORD_DIGITS || digits > (size_t)WORD_DIGITS * PIECE_BITMAP_WORDS)
        return false;
    for (size_t i = 0; i < digits / WORD_DIGITS; i++) {
        char word[WORD_DIGITS + 1] = {0};
        char *end;
        memcpy(word, text + i * WORD_DIGITS, WORD_DIGITS);
        wanted[i] = strtoull(word, &end, 16);
        if (*end)
            return false;
    }
    return true;
}

void piece_wire_read(const struct service_request *request, struct piece_call *call)
{
    char version[32], key[WORD_DIGITS + 1], wanted[WORD_DIGITS * PIECE_BITMAP_WORDS + 1];
    memset(call, 0, sizeof *call);
    if (!http_query_value(request->target, request->target_length, "model", call->model,
                          sizeof call->model) ||
        !http_query_value(request->target, request->target_length, "version", version,
                          sizeof version))
        return;
    call->version = strtoull(version, NULL, 10);
    if (http_query_value(request->target, request->target_length, "manifest", key, sizeof key))
        call->manifest_key = strtoull(key, NULL, 16);
    if (service_path_is(request, MANIFEST_PATH))
        call->kind = PIECE_CALL_MANIFEST;
    else if (service_path_is(request, PIECE_PATH) &&
             http_query_value(request->target, request->target_length, "wanted", wanted,
                              sizeof wanted) &&
             read_bitmap(wanted, call->wanted))
        call->kind = PIECE_CALL_PIECE;
}

void piece_wire_write_manifest(const char *model, uint64_t version, struct buffer *target)
{
    buffer_append_format(target, MANIFEST_PATH "?model=%s&version=%" PRIu64, model, version);
    buffer_append(target, "", 1);
}

void piece_wire_write_piece(const char *model, uint64_t version, uint64_t manifest_key,
                            const uint64_t *wanted, uint32_t pieces, struct buffer *target)
{
    buffer_append_format(
        target, PIECE_PATH "?model=%s&version=%" PRIu64 "&manifest=%016" PRIx64 "&wanted=", model,
        version, manifest_key);
    for (size_t i = 0; i < bitmap_words(pieces); i++)
        buffer_append_format(target, "%016" PRIx64, wanted[i]);
    buffer_append(target, "", 1);
}

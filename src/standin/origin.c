/**
 * Stand-in for the origin, the rate-limited weight store.
 *
 * GET  /v1/blobs/DIGEST   a manifest or chunk at the rate of the link; 429 with Retry-After when
 *                         --max-readers are being served
 *
 * POST /admin/model       {"model", "version", "bytes", "chunk_bytes", "seed", "shared"}
 *                         generates a model whose first `shared` chunks are those of seed 0
 *
 * GET  /admin/stats       bytes sent by kind and by reader, refused reads
 */
#include "standin/standin.h"

#include "base/memory.h"
#include "core/digest.h"
#include "core/random.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BLOBS 65536
#define BLOCK_BYTES 16384

struct stored_blob {
    struct digest digest;
    uint8_t *data;
    size_t size;
};

struct origin {
    pthread_mutex_t lock;
    struct stored_blob *blobs;
    uint32_t blob_count;
    json_t *readers; /* reader name -> bytes sent */
    uint64_t chunk_bytes_sent;
    uint64_t manifest_bytes_sent;
    uint64_t bytes_per_second;
    uint64_t max_readers;
    uint64_t active_readers;
    uint64_t refused;
    uint64_t link_free_at_us; /* end of the last transfer scheduled on the link */
    uint64_t corrupt_every;   /* with the fault `corrupt`: every Nth read */
    uint64_t reads;
};

struct blob_read {
    struct origin *origin;
    const struct stored_blob *blob;
    size_t position;
    bool corrupt;
    bool manifest;
    char reader[64];
};

/* ---- reading ---- */

/* Schedules a block on the shared link; returns when its last byte has been transferred. */
static void wait_for_link(struct origin *origin, size_t size)
{
    pthread_mutex_lock(&origin->lock);
    uint64_t now = standin_now_us();
    uint64_t start = origin->link_free_at_us > now ? origin->link_free_at_us : now;
    origin->link_free_at_us = start + size * 1000000 / origin->bytes_per_second;
    uint64_t until = origin->link_free_at_us;
    pthread_mutex_unlock(&origin->lock);
    if (until > now)
        standin_sleep_us(until - now);
}

static void count_sent_bytes(struct blob_read *blob_read, size_t size)
{
    struct origin *origin = blob_read->origin;
    pthread_mutex_lock(&origin->lock);
    json_int_t sum = json_integer_value(json_object_get(origin->readers, blob_read->reader));
    json_object_set_new(origin->readers, blob_read->reader, json_integer(sum + (json_int_t)size));
    if (blob_read->manifest)
        origin->manifest_bytes_sent += size;
    else
        origin->chunk_bytes_sent += size;
    pthread_mutex_unlock(&origin->lock);
}

static ssize_t read_blob(void *context, char *buffer, size_t capacity)
{
    struct blob_read *blob_read = context;
    size_t left = blob_read->blob->size - blob_read->position;
    size_t size = left < capacity ? left : capacity;
    if (size > BLOCK_BYTES)
        size = BLOCK_BYTES;
    if (!size)
        return 0;
    while (standin_fault() == FAULT_STALL)
        standin_sleep_us(20000);
    if (standin_fault() == FAULT_DOWN)
        return -1;
    wait_for_link(blob_read->origin, size);
    memcpy(buffer, blob_read->blob->data + blob_read->position, size);
    if (blob_read->corrupt)
        buffer[0] ^= 1;
    blob_read->position += size;
    count_sent_bytes(blob_read, size);
    return (ssize_t)size;
}

static void end_blob_read(void *context)
{
    struct blob_read *blob_read = context;
    pthread_mutex_lock(&blob_read->origin->lock);
    blob_read->origin->active_readers--;
    pthread_mutex_unlock(&blob_read->origin->lock);
    free(blob_read);
}

static const struct stored_blob *find_blob(const struct origin *origin, const struct digest *digest)
{
    for (uint32_t i = 0; i < origin->blob_count; i++)
        if (digest_equal(&origin->blobs[i].digest, digest))
            return &origin->blobs[i];
    return NULL;
}

static bool admit_reader(struct origin *origin)
{
    bool admitted = origin->active_readers < origin->max_readers;
    origin->active_readers += admitted;
    origin->refused += !admitted;
    return admitted;
}

static void serve_blob(struct origin *origin, const struct standin_request *request,
                       const char *hex, struct standin_reply *reply)
{
    struct digest digest;
    const char *reader = standin_header(request, "X-Reader");
    pthread_mutex_lock(&origin->lock);
    const struct stored_blob *blob =
        digest_from_hex(hex, &digest) == STATUS_OK ? find_blob(origin, &digest) : NULL;
    bool admitted = blob && admit_reader(origin);
    uint64_t number = admitted ? ++origin->reads : 0;
    pthread_mutex_unlock(&origin->lock);
    if (!admitted) {
        standin_reply_json(reply, blob ? 429 : 404, json_pack("{s:s}", "error", "not served"));
        reply->headers[0][0] = blob ? "Retry-After" : NULL;
        reply->headers[0][1] = "0.1";
        return;
    }
    struct blob_read *blob_read = memory_calloc(1, sizeof *blob_read);
    blob_read->origin = origin;
    blob_read->blob = blob;
    blob_read->manifest = blob->data[0] == '{';
    blob_read->corrupt = standin_fault() == FAULT_CORRUPT && number % origin->corrupt_every == 0;
    snprintf(blob_read->reader, sizeof blob_read->reader, "%s", reader ? reader : "unknown");
    reply->status = 200;
    reply->read = read_blob;
    reply->end = end_blob_read;
    reply->context = blob_read;
}

/* ---- model generation ---- */

static struct digest add_blob(struct origin *origin, const void *data, size_t size)
{
    struct digest digest = digest_of(data, size);
    if (find_blob(origin, &digest) || origin->blob_count == MAX_BLOBS)
        return digest;
    origin->blobs[origin->blob_count++] =
        (struct stored_blob){digest, memory_duplicate(data, size), size};
    return digest;
}

static struct digest generate_chunk(struct origin *origin, uint64_t seed, uint64_t index,
                                    size_t size)
{
    struct random_stream random = {.seed = seed * 1000003 + index};
    uint8_t *data = memory_calloc(size + 8, 1);
    for (size_t i = 0; i < size; i += 8) {
        uint64_t word = random_next(&random);
        memcpy(data + i, &word, sizeof word);
    }
    data[0] = 0; /* never a brace: serve_blob() recognizes manifests by it */
    struct digest digest = add_blob(origin, data, size);
    free(data);
    return digest;
}

static void generate_model(struct origin *origin, const struct standin_request *request,
                           struct standin_reply *reply)
{
    const char *model;
    const char *version;
    json_int_t bytes;
    json_int_t chunk_bytes;
    json_int_t seed;
    json_int_t shared = 0;
    json_t *body = json_loadb(request->body, request->size, 0, NULL);
    if (json_unpack(body, "{s:s, s:s, s:I, s:I, s:I, s?I}", "model", &model, "version", &version,
                    "bytes", &bytes, "chunk_bytes", &chunk_bytes, "seed", &seed, "shared",
                    &shared) != 0 ||
        bytes <= 0 || chunk_bytes <= 0) {
        json_decref(body);
        standin_reply_json(reply, 400, json_pack("{s:s}", "error", "a field is missing"));
        return;
    }
    json_t *chunks = json_array();
    pthread_mutex_lock(&origin->lock);
    for (json_int_t start = 0, index = 0; start < bytes; start += chunk_bytes, index++) {
        char hex[DIGEST_HEX_SIZE];
        size_t size = (size_t)(bytes - start < chunk_bytes ? bytes - start : chunk_bytes);
        struct digest digest =
            generate_chunk(origin, index < shared ? 0 : (uint64_t)seed, (uint64_t)index, size);
        digest_to_hex(&digest, hex);
        json_array_append_new(chunks, json_string(hex));
    }
    json_t *manifest =
        json_pack("{s:s, s:s, s:I, s:I, s:o}", "model", model, "version", version, "total_bytes",
                  bytes, "chunk_bytes", chunk_bytes, "chunks", chunks);
    char *text = json_dumps(manifest, JSON_COMPACT);
    struct digest digest = add_blob(origin, text, strlen(text));
    pthread_mutex_unlock(&origin->lock);
    char hex[DIGEST_HEX_SIZE];
    digest_to_hex(&digest, hex);
    standin_reply_json(reply, 200, json_pack("{s:s, s:I}", "manifest", hex, "bytes", bytes));
    free(text);
    json_decref(manifest);
    json_decref(body);
}

static void reply_stats(struct origin *origin, struct standin_reply *reply)
{
    pthread_mutex_lock(&origin->lock);
    json_t *stats = json_pack("{s:I, s:I, s:I, s:O}", "chunk_bytes", origin->chunk_bytes_sent,
                              "manifest_bytes", origin->manifest_bytes_sent, "refused",
                              origin->refused, "readers", origin->readers);
    standin_reply_json(reply, 200, stats);
    pthread_mutex_unlock(&origin->lock);
}

static void handle(void *context, const struct standin_request *request,
                   struct standin_reply *reply)
{
    struct origin *origin = context;
    const char *hex;
    if (standin_matches(request, "POST", "/admin/model"))
        generate_model(origin, request, reply);
    else if (standin_matches(request, "GET", "/admin/stats"))
        reply_stats(origin, reply);
    else if (standin_apply_fault(reply))
        return;
    else if ((hex = standin_path_suffix(request, "GET", "/v1/blobs/")))
        serve_blob(origin, request, hex, reply);
    else
        standin_reply_json(reply, 404, json_pack("{s:s}", "error", "no such page"));
}

int origin_main(int argc, char **argv)
{
    struct origin origin = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .bytes_per_second = 64u << 20,
        .max_readers = 64,
        .corrupt_every = 5,
    };
    const struct standin_option extra[] = {
        {"bytes-per-second", &origin.bytes_per_second, "bandwidth of the origin's link"},
        {"max-readers", &origin.max_readers, "blobs served concurrently"},
        {"corrupt-every", &origin.corrupt_every,
         "with the fault `corrupt`, every Nth read is corrupt"},
        {NULL, NULL, NULL}};
    struct standin_options options;
    standin_parse_options(argc, argv, "Stand-in for the origin of weights.", &options, extra);
    origin.blobs = memory_calloc(MAX_BLOBS, sizeof *origin.blobs);
    origin.readers = json_object();
    return standin_serve(&options, handle, &origin);
}

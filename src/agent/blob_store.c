#include "agent/blob_store.h"

#include "base/memory.h"
#include "base/metrics.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define BUCKET_COUNT 4096

struct blob_store {
    pthread_mutex_t lock;
    struct blob *buckets[BUCKET_COUNT];
    uint64_t bytes; /* of all blobs that are not freed */
    uint64_t limit;
    struct digest *pending; /* see blob_store_set_pending() */
    uint32_t pending_count;
};

struct blob_store *blob_store_create(uint64_t limit)
{
    struct blob_store *store = memory_calloc(1, sizeof *store);
    pthread_mutex_init(&store->lock, NULL);
    store->limit = limit;
    return store;
}

static bool is_no_blob_needed(void *context, const struct digest *digest)
{
    return false;
}

void blob_store_destroy(struct blob_store *store)
{
    if (!store)
        return;
    blob_store_prune(store, is_no_blob_needed, NULL);
    pthread_mutex_destroy(&store->lock);
    free(store->pending);
    free(store);
}

/* \return the link to the blob, or the end of its bucket */
static struct blob **find_link(struct blob_store *store, const struct digest *digest)
{
    uint16_t key;
    memcpy(&key, digest->bytes, sizeof key);
    struct blob **link = &store->buckets[key % BUCKET_COUNT];
    while (*link && !digest_equal(&(*link)->digest, digest))
        link = &(*link)->next;
    return link;
}

/* Releases the reference of the store or of a reader; call with the lock held. */
static void release_locked(struct blob_store *store, struct blob *blob)
{
    if (--blob->references)
        return;
    store->bytes -= blob->size;
    metric_gauge_set(METRIC_CHUNK_MEMORY, store->bytes);
    free(blob->data);
    free(blob);
}

/* Stores verified bytes; call with the lock held. */
static enum status insert_locked(struct blob_store *store, const struct digest *digest,
                                 uint8_t *data, size_t size)
{
    struct blob **link = find_link(store, digest);
    if (*link) {
        free(data);
        return STATUS_OK;
    }
    if (store->bytes + size > store->limit) {
        free(data);
        return status_fail(STATUS_EXHAUSTED, "the limit on memory for weights is reached");
    }
    struct blob *blob = memory_calloc(1, sizeof *blob);
    blob->digest = *digest;
    blob->data = data;
    blob->size = size;
    blob->references = 1;
    blob->store = store;
    *link = blob;
    store->bytes += size;
    metric_gauge_set(METRIC_CHUNK_MEMORY, store->bytes);
    return STATUS_OK;
}

enum status blob_store_put(struct blob_store *store, const struct digest *expected, uint8_t *data,
                           size_t size)
{
    struct digest actual = digest_of(data, size);
    if (!digest_equal(&actual, expected)) {
        free(data);
        return status_fail(STATUS_CORRUPT, "bytes do not match their digest");
    }
    pthread_mutex_lock(&store->lock);
    enum status status = insert_locked(store, expected, data, size);
    pthread_mutex_unlock(&store->lock);
    return status;
}

struct blob *blob_store_get(struct blob_store *store, const struct digest *digest)
{
    pthread_mutex_lock(&store->lock);
    struct blob *blob = *find_link(store, digest);
    if (blob)
        blob->references++;
    pthread_mutex_unlock(&store->lock);
    return blob;
}

void blob_release(void *context)
{
    struct blob *blob = context;
    struct blob_store *store = blob->store;
    pthread_mutex_lock(&store->lock);
    release_locked(store, blob);
    pthread_mutex_unlock(&store->lock);
}

bool blob_store_has(struct blob_store *store, const struct digest *digest)
{
    pthread_mutex_lock(&store->lock);
    bool has = *find_link(store, digest) != NULL;
    pthread_mutex_unlock(&store->lock);
    return has;
}

void blob_store_prune(struct blob_store *store,
                      bool (*is_needed)(void *context, const struct digest *digest), void *context)
{
    pthread_mutex_lock(&store->lock);
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        struct blob **link = &store->buckets[i];
        while (*link) {
            struct blob *blob = *link;
            if (is_needed(context, &blob->digest)) {
                link = &blob->next;
                continue;
            }
            *link = blob->next;
            release_locked(store, blob);
        }
    }
    pthread_mutex_unlock(&store->lock);
}

uint64_t blob_store_bytes(struct blob_store *store)
{
    pthread_mutex_lock(&store->lock);
    uint64_t bytes = store->bytes;
    pthread_mutex_unlock(&store->lock);
    return bytes;
}

void blob_store_set_pending(struct blob_store *store, const struct digest *digests, uint32_t count)
{
    pthread_mutex_lock(&store->lock);
    free(store->pending);
    store->pending = memory_duplicate(digests, count * sizeof *digests);
    store->pending_count = count;
    pthread_mutex_unlock(&store->lock);
}

bool blob_store_is_pending(struct blob_store *store, const struct digest *digest)
{
    bool pending = false;
    pthread_mutex_lock(&store->lock);
    for (uint32_t i = 0; i < store->pending_count && !pending; i++)
        pending = digest_equal(&store->pending[i], digest);
    pthread_mutex_unlock(&store->lock);
    return pending;
}

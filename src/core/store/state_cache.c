#include "core/store/state_cache.h"

#include "base/memory.h"
#include "core/store/store_position.h"

#include <stdlib.h>
#include <string.h>

struct state_cache {
    struct state_cache_listener listener;
    struct state_item **items; /* sorted by key */
    uint32_t count;
    uint64_t revision;
    uint64_t trimmed_revision; /* greatest revision of a trimmed item */
    /* Removals between these two revisions are not known individually: a snapshot bridged them. */
    uint64_t gap_begin;
    uint64_t gap_end;
};

struct state_cache *state_cache_create(const struct state_cache_listener *listener)
{
    struct state_cache *cache = memory_calloc(1, sizeof *cache);
    cache->listener = *listener;
    return cache;
}

static void item_free(struct state_item *item)
{
    free(item->key);
    free(item->value);
    free(item);
}

void state_cache_destroy(struct state_cache *cache)
{
    for (uint32_t i = 0; i < cache->count; i++)
        item_free(cache->items[i]);
    free(cache->items);
    free(cache);
}

/* Index of a key, or the index at which to insert it. */
static uint32_t find_index(const struct state_cache *cache, const char *key, bool *found)
{
    uint32_t low = 0, high = cache->count;
    *found = false;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        int order = strcmp(cache->items[middle]->key, key);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

static struct state_item *find_or_add_item(struct state_cache *cache, const char *key)
{
    bool found;
    uint32_t index = find_index(cache, key, &found);
    if (found)
        return cache->items[index];
    struct state_item *item = memory_calloc(1, sizeof *item);
    item->key = memory_strdup(key);
    cache->items = memory_realloc(cache->items, (cache->count + 1) * sizeof *cache->items);
    memmove(cache->items + index + 1, cache->items + index,
            (cache->count - index) * sizeof *cache->items);
    cache->items[index] = item;
    cache->count++;
    return item;
}

static bool is_in_same_epoch(uint64_t left, uint64_t right)
{
    return store_position_epoch(left) == store_position_epoch(right);
}

/* The next epoch begins with a copy that has the item as it is held. */
static bool is_same_in_copy(const struct state_item *item, const char *value, size_t size,
                            uint64_t revision)
{
    return item->value && !is_in_same_epoch(item->revision, revision) && item->size == size &&
           (!size || memcmp(item->value, value, size) == 0);
}

/* The first value of an item in an epoch, if this copy knows an earlier epoch. */
static bool may_be_of_copy(const struct state_cache *cache, const struct state_item *item,
                           uint64_t revision)
{
    uint64_t before = item->revision ? item->revision : cache->revision;
    return before && !is_in_same_epoch(before, revision);
}

static bool put(struct state_cache *cache, const char *key, const char *value, size_t size,
                uint64_t revision, uint64_t learned, bool undated)
{
    struct state_item *item = find_or_add_item(cache, key);
    item->seen = true;
    if (revision <= item->revision)
        return false;
    item->kept = is_same_in_copy(item, value, size, revision);
    if (item->kept) {
        learned = item->learned;
        undated = item->undated;
    }
    item->unconfirmed = !item->kept && may_be_of_copy(cache, item, revision);
    item->revived = item->unconfirmed && item->gone;
    free(item->value);
    item->value = memory_realloc(NULL, size + 1);
    if (size)
        memcpy(item->value, value, size);
    item->value[size] = 0;
    item->size = size;
    item->revision = revision;
    item->gone = false;
    item->learned = learned;
    item->undated = undated;
    item->from_outage = false;
    item->lost_in_copy = false;
    cache->listener.changed(cache->listener.context, item);
    return true;
}

bool state_cache_put(struct state_cache *cache, const char *key, const char *value, size_t size,
                     uint64_t revision, uint64_t learned)
{
    return put(cache, key, value, size, revision, learned, false);
}

bool state_cache_put_undated(struct state_cache *cache, const char *key, const char *value,
                             size_t size, uint64_t revision, uint64_t learned)
{
    return put(cache, key, value, size, revision, learned, true);
}

static void mark_gone(struct state_cache *cache, struct state_item *item, uint64_t revision,
                      const struct state_removal *loss)
{
    free(item->value);
    item->value = NULL;
    item->size = 0;
    item->revision = revision;
    item->gone = true;
    item->learned = loss->learned;
    item->from_outage = loss->from_outage;
    item->lost_in_copy = loss->lost_in_copy;
    item->undated = loss->undated;
    item->kept = false;
    item->unconfirmed = false;
    item->revived = false;
    cache->listener.changed(cache->listener.context, item);
}

bool state_cache_remove(struct state_cache *cache, const char *key, uint64_t revision,
                        const struct state_removal *loss)
{
    struct state_item *item = find_or_add_item(cache, key);
    if (revision <= item->revision)
        return false;
    mark_gone(cache, item, revision, loss);
    return true;
}

void state_cache_advance(struct state_cache *cache, uint64_t revision)
{
    if (revision > cache->revision)
        cache->revision = revision;
}

static bool has_prefix(const struct state_item *item, const char *prefix)
{
    return strncmp(item->key, prefix, strlen(prefix)) == 0;
}

void state_cache_snapshot_begin(struct state_cache *cache, const char *prefix)
{
    for (uint32_t i = 0; i < cache->count; i++)
        if (has_prefix(cache->items[i], prefix))
            cache->items[i]->seen = false;
}

/* Only the newest gap is kept: the changes up to the end of an older one count as trimmed. */
static void record_gap(struct state_cache *cache, uint64_t revision)
{
    if (revision <= cache->revision)
        return;
    if (cache->gap_end > cache->trimmed_revision)
        cache->trimmed_revision = cache->gap_end;
    cache->gap_begin = cache->revision;
    cache->gap_end = revision;
}

void state_cache_snapshot_end(struct state_cache *cache, const char *prefix, uint64_t revision,
                              const struct state_removal *loss)
{
    for (uint32_t i = 0; i < cache->count; i++) {
        struct state_item *item = cache->items[i];
        struct state_removal removal = *loss;
        removal.lost_in_copy = !is_in_same_epoch(item->revision, revision);
        removal.undated = true;
        if (has_prefix(item, prefix) && !item->seen && !item->gone && item->revision <= revision)
            mark_gone(cache, item, revision, &removal);
    }
    record_gap(cache, revision);
}

uint64_t state_cache_revision(const struct state_cache *cache)
{
    return cache->revision;
}

const struct state_item *state_cache_find(const struct state_cache *cache, const char *key)
{
    bool found;
    uint32_t index = find_index(cache, key, &found);
    return found && !cache->items[index]->gone ? cache->items[index] : NULL;
}

uint32_t state_cache_count(const struct state_cache *cache)
{
    return cache->count;
}

const struct state_item *state_cache_at(const struct state_cache *cache, uint32_t index)
{
    return cache->items[index];
}

bool state_cache_retains_since(const struct state_cache *cache, uint64_t revision)
{
    return is_in_same_epoch(revision, cache->revision) && revision >= cache->trimmed_revision;
}

bool state_cache_has_delta_for(const struct state_cache *cache, uint64_t revision)
{
    bool in_gap = revision > cache->gap_begin && revision < cache->gap_end;
    return state_cache_retains_since(cache, revision) && !in_gap;
}

bool state_cache_has_delta_since(const struct state_cache *cache, uint64_t revision)
{
    return state_cache_retains_since(cache, revision) && revision >= cache->gap_end;
}

void state_cache_trim(struct state_cache *cache, uint64_t before)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < cache->count; i++) {
        struct state_item *item = cache->items[i];
        if (item->gone && item->learned < before) {
            if (item->revision > cache->trimmed_revision)
                cache->trimmed_revision = item->revision;
            item_free(item);
            continue;
        }
        cache->items[kept++] = item;
    }
    cache->count = kept;
}

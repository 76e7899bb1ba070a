/**
 * A local copy of the state that the platform publishes, as items that each have the revision of
 * their last change.
 *
 * Revisions are positions in the store's history (core/store/store_position), which order all
 * changes, so copies of several nodes merge by taking the greater revision of each item, in any
 * order: no item reverts to an older revision. Another node can get the delta since a revision of
 * the same epoch; a copy that is too old for a delta, or of an earlier epoch, gets a full snapshot.
 * An epoch begins with an older copy of the store, so a newer item may hold an older value. Removed
 * items stay as tombstones (`gone`) until they are trimmed.
 */
#ifndef SHUNTRUN_STATE_CACHE_H
#define SHUNTRUN_STATE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An item of the platform state, or the tombstone of a removed one. */
struct state_item {
    char *key;
    char *value;       /**< owned, zero-terminated; NULL when gone */
    size_t size;       /**< of the value, bytes, without the terminating zero */
    uint64_t revision; /**< of its last change */
    bool gone;         /**< removed: this is a tombstone */
    uint64_t learned;  /**< time at which the first node knew of the last change */
    bool undated; /**< a snapshot showed the last change: it may be older than `learned`, a removal
                     also younger */
    bool
        from_outage; /**< the store may have lost the item in an outage, see struct state_removal */
    bool
        lost_in_copy; /**< gone: the older copy of the store with which its epoch began lacked it */
    /** The first value of its epoch, and not the one held before: it may be as old as the copy of
     * the store with which the epoch began. */
    bool unconfirmed;
    bool kept;    /**< the first value of its epoch, and the one held before */
    bool revived; /**< unconfirmed, and had been removed in the earlier epoch */
    bool seen;    /**< contained in the snapshot that is being applied */
};

/** What is known of the time and cause of an item's removal. */
struct state_removal {
    uint64_t learned; /**< time at which the first node knew of it: the item was removed no later */
    bool from_outage; /**< the store may have lost the item in an outage: what it stands for may
                         still run, and list itself again */
    bool lost_in_copy; /**< see struct state_item; state_cache_snapshot_end() finds out itself */
    bool undated;      /**< see struct state_item; likewise */
};

struct state_cache;

/** Receives each change of the cache. */
struct state_cache_listener {
    void *context;
    /** Called when an item was added, changed or removed, or got a position in the next epoch
     * (`kept`). */
    void (*changed)(void *context, const struct state_item *item);
};

/** \return an empty cache; state_cache_destroy() frees it with its items */
struct state_cache *state_cache_create(const struct state_cache_listener *listener);
void state_cache_destroy(struct state_cache *cache);

/** \brief Apply one item. \return whether it was newer than the held one */
bool state_cache_put(struct state_cache *cache, const char *key, const char *value, size_t size,
                     uint64_t revision, uint64_t learned);
/** \brief Apply one item of unknown age, from a snapshot. \return whether it was newer than the
 * held one */
bool state_cache_put_undated(struct state_cache *cache, const char *key, const char *value,
                             size_t size, uint64_t revision, uint64_t learned);
/** \brief Remove one item. \return whether `revision` was newer than the held item */
bool state_cache_remove(struct state_cache *cache, const char *key, uint64_t revision,
                        const struct state_removal *loss);
/** \brief Record that all changes up to this revision were applied. */
void state_cache_advance(struct state_cache *cache, uint64_t revision);

/** \brief Begin a snapshot of all items under a prefix, which follow as state_cache_put() calls. */
void state_cache_snapshot_begin(struct state_cache *cache, const char *prefix);
/** \brief End a snapshot: removes items that it lacked, unless newer than `revision`. */
void state_cache_snapshot_end(struct state_cache *cache, const char *prefix, uint64_t revision,
                              const struct state_removal *loss);

/** \return the revision up to which all changes were applied, 0 before the first snapshot */
uint64_t state_cache_revision(const struct state_cache *cache);
/** \return the item, NULL if there is none or it was removed */
const struct state_item *state_cache_find(const struct state_cache *cache, const char *key);
/** \return the number of items, tombstones included */
uint32_t state_cache_count(const struct state_cache *cache);
/** \return an item or tombstone, in the order of keys */
const struct state_item *state_cache_at(const struct state_cache *cache, uint32_t index);
/** \return whether the delta since `revision` is complete for items that are never removed */
bool state_cache_retains_since(const struct state_cache *cache, uint64_t revision);
/**
 * \return whether the delta since `revision` is complete for a copy of exactly this revision;
 * otherwise only a full snapshot can be sent. A copy that began with a snapshot has no removals
 * from before it.
 */
bool state_cache_has_delta_for(const struct state_cache *cache, uint64_t revision);
/** \return whether the delta is complete for copies of `revision` and of any newer one */
bool state_cache_has_delta_since(const struct state_cache *cache, uint64_t revision);
/** \brief Delete tombstones of items whose removal was learned before the time `before`. */
void state_cache_trim(struct state_cache *cache, uint64_t before);

#endif

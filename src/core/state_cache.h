/**
 * A copy of what the platform publishes, as items that each carry the revision of their last
 * change.
 *
 * A single counter of revisions orders all changes, so copies of several nodes merge by taking the
 * greater revision of each item, in any order: no item ever goes back. Changes since a revision can
 * be handed to another node; a copy too old for that gets the whole.
 */
#ifndef SHUNTRUN_STATE_CACHE_H
#define SHUNTRUN_STATE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct state_item {
    char *key;
    char *value; /**< owned, ended by a zero that does not count; NULL when gone */
    size_t size;
    uint64_t revision;
    bool gone;
    uint64_t learned; /**< time at which a node first knew of it */
    bool
        from_outage; /**< the store may have lost the item in an outage, see struct state_removal */
    bool seen;       /**< by the snapshot that is being taken in */
};

/** What is known of when an item went. */
struct state_removal {
    uint64_t learned; /**< time at which a node first knew of it; at the latest then it went */
    bool from_outage; /**< it may have been in an outage of the store: then whatever the item stood
                         for may live, and come back */
};

struct state_cache;

struct state_cache_listener {
    void *context;
    /** An item is new, changed or gone. */
    void (*changed)(void *context, const struct state_item *item);
};

struct state_cache *state_cache_create(const struct state_cache_listener *listener);
void state_cache_destroy(struct state_cache *cache);

/** \brief Take one item in. \return true when it was newer than what is held */
bool state_cache_put(struct state_cache *cache, const char *key, const char *value, size_t size,
                     uint64_t revision, uint64_t learned);
bool state_cache_remove(struct state_cache *cache, const char *key, uint64_t revision,
                        const struct state_removal *loss);
/** \brief All changes up to this revision are in. */
void state_cache_advance(struct state_cache *cache, uint64_t revision);

/** \brief A whole set of the items under a prefix follows as state_cache_put() calls. */
void state_cache_snapshot_begin(struct state_cache *cache, const char *prefix);
/** \brief Items under the prefix that did not come are gone, unless newer than `revision`. */
void state_cache_snapshot_end(struct state_cache *cache, const char *prefix, uint64_t revision,
                              const struct state_removal *loss);

/** \return the revision up to which all changes are in, 0 before the first snapshot */
uint64_t state_cache_revision(const struct state_cache *cache);
const struct state_item *state_cache_find(const struct state_cache *cache, const char *key);
uint32_t state_cache_count(const struct state_cache *cache);
const struct state_item *state_cache_at(const struct state_cache *cache, uint32_t index);
/** \return whether changes since `revision` of items that never go are all here */
bool state_cache_retains_since(const struct state_cache *cache, uint64_t revision);
/**
 * \return whether changes since `revision` are all here, for a copy that is exactly that old; else
 * only the whole can be given. A copy that began with the whole has no removals from before it.
 */
bool state_cache_has_delta_for(const struct state_cache *cache, uint64_t revision);
/** \return whether changes since `revision` are all here, for copies that are that old or newer */
bool state_cache_has_delta_since(const struct state_cache *cache, uint64_t revision);
/** \brief Forget items that are gone since before `before`. */
void state_cache_trim(struct state_cache *cache, uint64_t before);

#endif

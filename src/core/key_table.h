/**
 * Idempotency keys of one agent: the request of a key runs at most once, a repeat gets the stored
 * answer. Bounded in number; entries expire when their ticket epoch can no longer be accepted. Not
 * thread-safe: one owner.
 */
#ifndef SHUNTRUN_KEY_TABLE_H
#define SHUNTRUN_KEY_TABLE_H

#include "base/status.h"
#include "core/node.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Characters of the longest key. */
#define KEY_MAX_LENGTH 1024
/** Bytes; a longer answer is not stored, and a repeat is told so. */
#define KEY_MAX_ANSWER_SIZE (64 * 1024)

enum key_state {
    KEY_RUNNING,
    KEY_DONE,
    KEY_UNKNOWN, /**< the request may have run, so a repeat must not run */
};

struct key_entry {
    char *key; /**< owned */
    enum key_state state;
    uint64_t expires;         /**< time until which the entry is kept at least, microseconds */
    uint8_t *answer;          /**< stored answer if `answer_kept`; owned */
    uint64_t tokens;          /**< tokens in the answer of a model */
    struct ready_model model; /**< model that produced the answer; empty for a plain service */
    size_t answer_size;       /**< bytes */
    bool answer_kept;         /**< the answer is stored: KEY_DONE, and it was not too long */
};

struct key_table;

struct key_table *key_table_create(uint32_t limit);
void key_table_destroy(struct key_table *table);

/** \return the entry of a key, or NULL; valid until the next insert, removal or expiry */
struct key_entry *key_table_find(struct key_table *table, const char *key);

/**
 * \brief Add a new key, in state KEY_RUNNING.
 * \param expires see struct key_entry
 * \return STATUS_EXHAUSTED when the table is full: the request must be refused
 */
enum status key_table_insert(struct key_table *table, const char *key, uint64_t expires,
                             struct key_entry **entry);
/** \brief Remove a key whose request is certain not to have run. */
void key_table_remove(struct key_table *table, const char *key);
/** \brief Set the final state of a key and store its answer, if it is KEY_DONE and not too long. */
void key_table_finish(struct key_entry *entry, enum key_state state, const uint8_t *answer,
                      size_t size);
/** \brief Remove the keys that have expired, except those that are still running. */
void key_table_expire(struct key_table *table, uint64_t now);
uint32_t key_table_count(const struct key_table *table);

#endif

/**
 * Idempotency keys of one agent: each key runs at most once, a repeat gets the kept answer.
 * Bounded in number; entries leave when their ticket epoch can no longer be accepted. One owner.
 */
#ifndef SHUNTRUN_KEY_TABLE_H
#define SHUNTRUN_KEY_TABLE_H

#include "base/status.h"
#include "core/node.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KEY_MAX_LENGTH 1024
#define KEY_MAX_ANSWER_SIZE (64 * 1024) /**< a longer answer is not kept; its repeat is told so */

enum key_state {
    KEY_RUNNING,
    KEY_DONE,
    KEY_UNKNOWN, /**< it may have run; a repeat must not run */
};

struct key_entry {
    char *key;
    enum key_state state;
    uint64_t expires;         /**< microseconds; kept at least until then */
    uint8_t *answer;          /**< KEY_DONE; owned */
    uint64_t tokens;          /**< in the answer of a model */
    struct ready_model model; /**< that made the answer; empty for a plain service */
    size_t answer_size;
    bool answer_kept;
};

struct key_table;

struct key_table *key_table_create(uint32_t limit);
void key_table_destroy(struct key_table *table);

/** \return entry of a key, or NULL; valid until the next insert or expiry */
struct key_entry *key_table_find(struct key_table *table, const char *key);

/** \return STATUS_EXHAUSTED when the table is full: the request must be refused */
enum status key_table_insert(struct key_table *table, const char *key, uint64_t expires,
                             struct key_entry **entry);
/** \brief Forget a key whose request certainly did not run. */
void key_table_remove(struct key_table *table, const char *key);
void key_table_finish(struct key_entry *entry, enum key_state state, const uint8_t *answer,
                      size_t size);
void key_table_expire(struct key_table *table, uint64_t now);
uint32_t key_table_count(const struct key_table *table);

#endif

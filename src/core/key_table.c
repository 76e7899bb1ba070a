#include "core/key_table.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdlib.h>
#include <string.h>

#define BUCKETS 4096

struct key_node {
    struct key_entry entry;
    struct key_node *next;
};

struct key_table {
    struct key_node *buckets[BUCKETS];
    uint32_t count;
    uint32_t limit;
};

struct key_table *key_table_create(uint32_t limit)
{
    struct key_table *table = memory_calloc(1, sizeof *table);
    table->limit = limit;
    return table;
}

static void free_node(struct key_node *node)
{
    free(node->entry.key);
    free(node->entry.answer);
    free(node);
}

void key_table_destroy(struct key_table *table)
{
    if (!table)
        return;
    key_table_expire(table, UINT64_MAX);
    for (size_t i = 0; i < BUCKETS; i++)
        while (table->buckets[i]) {
            struct key_node *node = table->buckets[i];
            table->buckets[i] = node->next;
            free_node(node);
        }
    free(table);
}

static struct key_node **find_link(struct key_table *table, const char *key)
{
    struct key_node **link = &table->buckets[hash_name(key) % BUCKETS];
    while (*link && strcmp((*link)->entry.key, key) != 0)
        link = &(*link)->next;
    return link;
}

struct key_entry *key_table_find(struct key_table *table, const char *key)
{
    struct key_node *node = *find_link(table, key);
    return node ? &node->entry : NULL;
}

enum status key_table_insert(struct key_table *table, const char *key, uint64_t expires,
                             struct key_entry **entry)
{
    if (table->count >= table->limit)
        return status_fail(STATUS_EXHAUSTED, "%u idempotency keys are held", table->count);
    struct key_node **link = find_link(table, key);
    struct key_node *node = memory_calloc(1, sizeof *node);
    node->entry.key = memory_strdup(key);
    node->entry.state = KEY_RUNNING;
    node->entry.expires = expires;
    node->next = *link;
    *link = node;
    table->count++;
    *entry = &node->entry;
    return STATUS_OK;
}

void key_table_remove(struct key_table *table, const char *key)
{
    struct key_node **link = find_link(table, key);
    struct key_node *node = *link;
    if (!node)
        return;
    *link = node->next;
    free_node(node);
    table->count--;
}

void key_table_finish(struct key_entry *entry, enum key_state state, const uint8_t *answer,
                      size_t size)
{
    entry->state = state;
    entry->answer_kept = state == KEY_DONE && size <= KEY_MAX_ANSWER_SIZE;
    if (entry->answer_kept) {
        entry->answer = memory_duplicate(answer, size);
        entry->answer_size = size;
    }
}

void key_table_expire(struct key_table *table, uint64_t now)
{
    for (size_t i = 0; i < BUCKETS; i++) {
        struct key_node **link = &table->buckets[i];
        while (*link) {
            struct key_node *node = *link;
            bool kept = node->entry.state == KEY_RUNNING || node->entry.expires > now;
            if (kept) {
                link = &node->next;
                continue;
            }
            *link = node->next;
            free_node(node);
            table->count--;
        }
    }
}

uint32_t key_table_count(const struct key_table *table)
{
    return table->count;
}

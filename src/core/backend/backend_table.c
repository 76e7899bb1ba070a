#include "core/backend/backend_table.h"

#include "base/memory.h"
#include "core/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** The indexes are rebuilt above this number of entries per backend, as entries of removed backends
 *  stay in them. */
#define INDEX_ENTRIES_PER_BACKEND 4
#define INDEX_MIN_ENTRIES 64

/* Index key of a text; never 0, which marks a free slot. */
static uint32_t key_of(const char *text)
{
    uint32_t key = (uint32_t)hash_name(text);
    return key ? key : 1;
}

/* \return whether a backend has the id or address that is looked up */
typedef bool matcher(const struct backend *backend, const char *text);

static bool has_id(const struct backend *backend, const char *text)
{
    return strcmp(backend->listing.id, text) == 0;
}

static bool has_address(const struct backend *backend, const char *text)
{
    return strcmp(backend->listing.address, text) == 0;
}

static struct backend *find(const struct backend_table *table, const struct address_index *index,
                            const char *text, matcher *matches)
{
    uint32_t table_index = address_index_find(index, key_of(text));
    if (table_index == ADDRESS_INDEX_NONE)
        return NULL;
    if (table_index < table->count && matches(table->items[table_index], text))
        return table->items[table_index];
    /* The entry belongs to a removed backend, or two texts have the same key. */
    for (uint32_t i = 0; i < table->count; i++)
        if (matches(table->items[i], text))
            return table->items[i];
    return NULL;
}

struct backend *backend_table_find_id(const struct backend_table *table, const char *id)
{
    return find(table, &table->ids, id, has_id);
}

struct backend *backend_table_find_address(const struct backend_table *table, const char *address)
{
    return find(table, &table->addresses, address, has_address);
}

static void index_backend(struct backend_table *table, const struct backend *backend)
{
    address_index_put(&table->ids, key_of(backend->listing.id), backend->table_index);
    address_index_put(&table->addresses, key_of(backend->listing.address), backend->table_index);
}

static void rebuild_stale_indexes(struct backend_table *table)
{
    if (table->ids.count < INDEX_MIN_ENTRIES + INDEX_ENTRIES_PER_BACKEND * table->count)
        return;
    address_index_clear(&table->ids);
    address_index_clear(&table->addresses);
    for (uint32_t i = 0; i < table->count; i++)
        index_backend(table, table->items[i]);
}

/* --- groups ----------------------------------------------------------------------------------- */

struct backend_group *backend_table_group(const struct backend_table *table, const char *service)
{
    for (uint32_t i = 0; i < table->group_count; i++)
        if (strcmp(table->groups[i].service, service) == 0)
            return &table->groups[i];
    return NULL;
}

static struct backend_group *group_for(struct backend_table *table, const char *service)
{
    struct backend_group *group = backend_table_group(table, service);
    if (group)
        return group;
    table->groups = memory_realloc(table->groups, (table->group_count + 1) * sizeof *table->groups);
    group = &table->groups[table->group_count++];
    *group = (struct backend_group){.count = 0};
    snprintf(group->service, sizeof group->service, "%s", service);
    return group;
}

static void set_in_group(struct backend_group *group, uint32_t group_index, struct backend *backend)
{
    group->items[group_index] = backend;
    backend->group_index = group_index;
}

static void swap_in_group(struct backend_group *group, uint32_t left, uint32_t right)
{
    struct backend *moved = group->items[left];
    set_in_group(group, left, group->items[right]);
    set_in_group(group, right, moved);
}

void backend_table_set_reported(struct backend_table *table, struct backend *backend, bool reported)
{
    struct backend_group *group = backend_table_group(table, backend->listing.service);
    if ((backend->group_index < group->reported) == reported)
        return;
    if (reported)
        swap_in_group(group, backend->group_index, group->reported++);
    else
        swap_in_group(group, backend->group_index, --group->reported);
}

/* --- the table -------------------------------------------------------------------------------- */

void backend_table_clear(struct backend_table *table)
{
    for (uint32_t i = 0; i < table->group_count; i++)
        free(table->groups[i].items);
    free(table->groups);
    free(table->items);
    address_index_destroy(&table->ids);
    address_index_destroy(&table->addresses);
    *table = (struct backend_table){.count = 0};
}

void backend_table_add(struct backend_table *table, struct backend *backend)
{
    struct backend_group *group = group_for(table, backend->listing.service);
    table->items = memory_realloc(table->items, (table->count + 1) * sizeof *table->items);
    group->items = memory_realloc(group->items, (group->count + 1) * sizeof *group->items);
    backend->table_index = table->count;
    table->items[table->count++] = backend;
    set_in_group(group, group->count, backend);
    group->count++;
    group->dated += backend->listing.born != 0;
    group->ever_dated |= backend->listing.born != 0;
    table->dated += backend->listing.born != 0;
    index_backend(table, backend);
    rebuild_stale_indexes(table);
}

void backend_table_remove(struct backend_table *table, struct backend *backend)
{
    struct backend_group *group = backend_table_group(table, backend->listing.service);
    backend_table_set_reported(table, backend, false);
    swap_in_group(group, backend->group_index, group->count - 1);
    group->count--;
    group->dated -= backend->listing.born != 0;
    table->dated -= backend->listing.born != 0;
    struct backend *last = table->items[--table->count];
    if (last == backend)
        return;
    last->table_index = backend->table_index;
    table->items[last->table_index] = last;
    index_backend(table, last);
}

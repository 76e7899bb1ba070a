#include "core/routing/route_table.h"

#include "base/memory.h"
#include "core/hash.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define HOST_SIZE 256

/* Hash table with linear probing; `value` is an index plus one, 0 marks a free slot. */
struct index_slot {
    uint64_t hash;
    uint32_t value;
};

struct index {
    struct index_slot *slots;
    uint32_t mask;
};

struct key_entry {
    char *key;
    uint32_t tenant;
};

struct route_table {
    uint32_t references;
    uint64_t version;
    struct client_limits limits;
    struct route *routes;
    uint32_t route_count;
    struct service_entry *services;
    uint32_t service_count;
    struct tenant_entry *tenants;
    uint32_t tenant_count;
    struct key_entry *keys;
    uint32_t key_count;
    bool incomplete[ROUTE_TABLE_PARTS];
    struct index by_prefix; /* routes by host and prefix */
    struct index by_key;    /* client keys */
};

struct route_table *route_table_create(uint64_t version)
{
    struct route_table *table = memory_calloc(1, sizeof *table);
    table->references = 1;
    table->version = version;
    return table;
}

struct route_table *route_table_retain(struct route_table *table)
{
    if (table)
        table->references++;
    return table;
}

void route_table_release(struct route_table *table)
{
    if (!table || --table->references)
        return;
    for (uint32_t i = 0; i < table->route_count; i++) {
        free(table->routes[i].name);
        free(table->routes[i].host);
        free(table->routes[i].prefix);
        free(table->routes[i].targets);
        home_regions_clear(&table->routes[i].homes);
    }
    for (uint32_t i = 0; i < table->service_count; i++) {
        free(table->services[i].name);
        free(table->services[i].engine.model);
        free(table->services[i].origin);
        free(table->services[i].health_path);
        free(table->services[i].zone);
    }
    for (uint32_t i = 0; i < table->tenant_count; i++) {
        free(table->tenants[i].name);
        home_regions_clear(&table->tenants[i].homes);
    }
    for (uint32_t i = 0; i < table->key_count; i++)
        free(table->keys[i].key);
    free(table->routes);
    free(table->services);
    free(table->tenants);
    free(table->keys);
    free(table->by_prefix.slots);
    free(table->by_key.slots);
    free(table);
}

uint32_t route_table_add_service(struct route_table *table, const char *name)
{
    uint32_t existing = route_table_find_service(table, name);
    if (existing != ROUTE_NO_SERVICE)
        return existing;
    uint32_t index = table->service_count++;
    table->services =
        memory_realloc(table->services, table->service_count * sizeof *table->services);
    table->services[index] = (struct service_entry){.name = memory_strdup(name)};
    return index;
}

struct service_entry *route_table_mutable_service(struct route_table *table, uint32_t index)
{
    return &table->services[index];
}

uint32_t route_table_add_tenant(struct route_table *table, const char *name, uint32_t priority)
{
    uint32_t index = table->tenant_count++;
    table->tenants = memory_realloc(table->tenants, table->tenant_count * sizeof *table->tenants);
    table->tenants[index] =
        (struct tenant_entry){.name = memory_strdup(name), .priority = priority};
    return index;
}

void route_table_set_tenant_homes(struct route_table *table, uint32_t tenant,
                                  const struct home_regions *homes)
{
    home_regions_clear(&table->tenants[tenant].homes);
    table->tenants[tenant].homes = *homes;
}

void route_table_set_tenant_unreadable(struct route_table *table, uint32_t tenant)
{
    table->tenants[tenant].unreadable = true;
}

void route_table_mark_incomplete(struct route_table *table, enum route_table_part part)
{
    table->incomplete[part] = true;
}

bool route_table_is_complete(const struct route_table *table, enum route_table_part part)
{
    return !table->incomplete[part];
}

void route_add_target(struct route *route, uint32_t service, uint32_t weight)
{
    route->targets =
        memory_realloc(route->targets, (route->target_count + 1) * sizeof *route->targets);
    route->targets[route->target_count++] = (struct route_target){service, weight};
}

void home_regions_add(struct home_regions *homes, const char *name)
{
    homes->names = memory_realloc(homes->names, (homes->count + 1) * sizeof *homes->names);
    homes->names[homes->count++] = memory_strdup(name);
}

void home_regions_clear(struct home_regions *homes)
{
    for (uint32_t i = 0; i < homes->count; i++)
        free(homes->names[i]);
    free(homes->names);
    *homes = (struct home_regions){0};
}

void route_table_add_key(struct route_table *table, uint32_t tenant, const char *key)
{
    uint32_t index = table->key_count++;
    table->keys = memory_realloc(table->keys, table->key_count * sizeof *table->keys);
    table->keys[index] = (struct key_entry){memory_strdup(key), tenant};
}

void route_table_add_route(struct route_table *table, const struct route *route)
{
    uint32_t index = table->route_count++;
    table->routes = memory_realloc(table->routes, table->route_count * sizeof *table->routes);
    table->routes[index] = *route;
}

void route_table_set_limits(struct route_table *table, const struct client_limits *limits)
{
    table->limits = *limits;
}

static void index_build(struct index *index, uint32_t entries)
{
    uint32_t size = 16;
    while (size < 2 * entries)
        size *= 2;
    index->slots = memory_calloc(size, sizeof *index->slots);
    index->mask = size - 1;
}

static void index_insert(struct index *index, uint64_t hash, uint32_t value)
{
    uint32_t slot = (uint32_t)hash & index->mask;
    while (index->slots[slot].value)
        slot = (slot + 1) & index->mask;
    index->slots[slot] = (struct index_slot){hash, value + 1};
}

static uint64_t prefix_hash(const char *host, const char *prefix, size_t length)
{
    return hash_pair(hash_name(host), hash_bytes(prefix, length));
}

void route_table_finish(struct route_table *table)
{
    index_build(&table->by_prefix, table->route_count);
    for (uint32_t i = 0; i < table->route_count; i++) {
        const struct route *route = &table->routes[i];
        index_insert(&table->by_prefix,
                     prefix_hash(route->host, route->prefix, strlen(route->prefix)), i);
    }
    index_build(&table->by_key, table->key_count);
    for (uint32_t i = 0; i < table->key_count; i++)
        index_insert(&table->by_key, hash_name(table->keys[i].key), i);
}

bool route_table_is_older(const struct route_table *table, const struct route_table *held)
{
    return held && route_table_version(table) < route_table_version(held);
}

uint64_t route_table_version(const struct route_table *table)
{
    return table->version;
}

const struct client_limits *route_table_limits(const struct route_table *table)
{
    return &table->limits;
}

bool route_table_has_tenants(const struct route_table *table)
{
    return table->tenant_count > 0 || table->incomplete[ROUTE_TABLE_TENANTS];
}

uint32_t route_table_route_count(const struct route_table *table)
{
    return table->route_count;
}

const struct route *route_table_route_at(const struct route_table *table, uint32_t index)
{
    return &table->routes[index];
}

uint32_t route_table_service_count(const struct route_table *table)
{
    return table->service_count;
}

const struct service_entry *route_table_service(const struct route_table *table, uint32_t index)
{
    return &table->services[index];
}

uint32_t route_table_find_service(const struct route_table *table, const char *name)
{
    for (uint32_t i = 0; i < table->service_count; i++)
        if (strcmp(table->services[i].name, name) == 0)
            return i;
    return ROUTE_NO_SERVICE;
}

static const struct route *find_prefix(const struct route_table *table, const char *host,
                                       const char *prefix, size_t length)
{
    uint64_t hash = prefix_hash(host, prefix, length);
    const struct index *index = &table->by_prefix;
    for (uint32_t slot = (uint32_t)hash & index->mask; index->slots[slot].value;
         slot = (slot + 1) & index->mask) {
        if (index->slots[slot].hash != hash)
            continue;
        const struct route *route = &table->routes[index->slots[slot].value - 1];
        if (strcmp(route->host, host) == 0 && strlen(route->prefix) == length &&
            memcmp(route->prefix, prefix, length) == 0)
            return route;
    }
    return NULL;
}

/* Lower case, without the port. \return false if the host is empty or too long */
static bool normalize_host(const char *host, char *normal)
{
    size_t length = strcspn(host, ":");
    if (!length || length >= HOST_SIZE)
        return false;
    for (size_t i = 0; i < length; i++)
        normal[i] = (char)tolower((unsigned char)host[i]);
    normal[length] = 0;
    return true;
}

const struct route *route_table_match(const struct route_table *table, const char *host,
                                      const char *path, size_t path_length)
{
    char normal[HOST_SIZE];
    if (!normalize_host(host, normal))
        return NULL;
    for (size_t length = path_length; length > 0; length--) {
        if (path[length - 1] != '/')
            continue;
        const struct route *route = find_prefix(table, normal, path, length);
        if (route)
            return route;
    }
    return NULL;
}

uint32_t route_table_key_owner(const struct route_table *table, const char *key)
{
    uint64_t hash = hash_name(key);
    const struct index *index = &table->by_key;
    for (uint32_t slot = (uint32_t)hash & index->mask; index->slots[slot].value;
         slot = (slot + 1) & index->mask) {
        const struct key_entry *entry = &table->keys[index->slots[slot].value - 1];
        if (index->slots[slot].hash == hash && strcmp(entry->key, key) == 0)
            return entry->tenant;
    }
    return ROUTE_NO_TENANT;
}

const struct tenant_entry *route_table_tenant(const struct route_table *table, uint32_t index)
{
    return &table->tenants[index];
}

static bool may_choose(const struct route_target *target, route_service_filter *filter,
                       const void *context)
{
    return !filter || filter(context, target->service);
}

/* \return sum of the weights of the targets that may be chosen */
static uint64_t sum_weights(const struct route *route, route_service_filter *filter,
                            const void *context)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < route->target_count; i++)
        if (may_choose(&route->targets[i], filter, context))
            sum += route->targets[i].weight;
    return sum;
}

uint32_t route_choose_service(const struct route *route, route_service_filter *filter,
                              const void *context, uint64_t draw)
{
    uint64_t sum = sum_weights(route, filter, context);
    if (!sum) {
        filter = NULL;
        sum = sum_weights(route, filter, context);
    }
    if (!sum)
        return route->target_count ? route->targets[0].service : ROUTE_NO_SERVICE;
    uint64_t remaining = draw % sum;
    for (uint32_t i = 0; i < route->target_count; i++) {
        if (!may_choose(&route->targets[i], filter, context))
            continue;
        if (remaining < route->targets[i].weight)
            return route->targets[i].service;
        remaining -= route->targets[i].weight;
    }
    return route->targets[0].service;
}

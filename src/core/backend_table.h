/**
 * The table of back ends behind a pool: found by id and by address without a walk, and in groups by
 * service, in which those whose load was ever reported come first. A choice looks at these only,
 * which are a bounded number (core/load_targets), whatever the size of the fleet.
 */
#ifndef SHUNTRUN_BACKEND_TABLE_H
#define SHUNTRUN_BACKEND_TABLE_H

#include "core/address_index.h"
#include "core/backend_pool.h"

/** The back ends of one service. */
struct backend_group {
    char service[BACKEND_NAME_SIZE];
    struct backend **items;
    uint32_t count;
    uint32_t reported; /**< the first ones, whose load was reported */
    uint32_t dated;    /**< of all, those whose entry tells starts apart */
    bool ever_dated;   /**< some entry of the service told them apart, also one that is gone */
};

struct backend_table {
    struct backend **items;
    uint32_t count;
    uint32_t dated; /**< of all, those whose entry tells starts apart */
    struct backend_group *groups;
    uint32_t group_count;
    struct address_index ids;       /**< places by the hash of the id */
    struct address_index addresses; /**< likewise of the address */
};

void backend_table_clear(struct backend_table *table);
/** \brief Take a back end in; its listing must be complete, and does not change its service. */
void backend_table_add(struct backend_table *table, struct backend *backend);
void backend_table_remove(struct backend_table *table, struct backend *backend);
/** \brief Move it to those that were reported, or away from them. */
void backend_table_set_reported(struct backend_table *table, struct backend *backend,
                                bool reported);
struct backend *backend_table_find_id(const struct backend_table *table, const char *id);
struct backend *backend_table_find_address(const struct backend_table *table, const char *address);
/** \return the back ends of a service, NULL: it never had one */
struct backend_group *backend_table_group(const struct backend_table *table, const char *service);

#endif

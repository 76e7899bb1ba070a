/**
 * The backends of a pool, indexed by id and by address, and grouped by service. In each group the
 * backends with load reports come first: a choice among engines looks at these alone, and their
 * number is bounded (core/membership/load_targets) whatever the size of the fleet.
 */
#ifndef SHUNTRUN_BACKEND_TABLE_H
#define SHUNTRUN_BACKEND_TABLE_H

#include "core/address_index.h"
#include "core/backend/backend_pool.h"

/** The backends of one service. */
struct backend_group {
    char service[BACKEND_NAME_SIZE];
    struct backend **items;
    uint32_t count;
    uint32_t reported; /**< number of backends with load reports, which come first */
    uint32_t dated;    /**< number of backends whose entry gives a start time */
    bool ever_dated;   /**< some entry of the service gave one, perhaps of a removed backend */
};

struct backend_table {
    struct backend **items;
    uint32_t count;
    uint32_t dated; /**< number of backends whose entry gives a start time */
    struct backend_group *groups;
    uint32_t group_count;
    struct address_index ids;       /**< table indexes by the hash of the id */
    struct address_index addresses; /**< the same by the hash of the address */
};

/** \brief Free the table, but not the backends. */
void backend_table_clear(struct backend_table *table);
/** \brief Add a backend. Its listing must be complete, and its service must not change later. */
void backend_table_add(struct backend_table *table, struct backend *backend);
void backend_table_remove(struct backend_table *table, struct backend *backend);
/** \brief Move a backend to those with load reports, or away from them. */
void backend_table_set_reported(struct backend_table *table, struct backend *backend,
                                bool reported);
struct backend *backend_table_find_id(const struct backend_table *table, const char *id);
struct backend *backend_table_find_address(const struct backend_table *table, const char *address);
/** \return the backends of a service, or NULL if it never had one */
struct backend_group *backend_table_group(const struct backend_table *table, const char *service);

#endif

/**
 * Routes, services and tenants of one configuration version, ready for look-ups by the request
 * path.
 *
 * A table is filled by whoever parses the configuration's wire form, finished with
 * route_table_finish() and immutable from then on. Shared by reference count, one thread.
 */
#ifndef SHUNTRUN_ROUTE_TABLE_H
#define SHUNTRUN_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROUTE_MAX_TARGETS 8
#define ROUTE_NO_TENANT UINT32_MAX
#define ROUTE_NO_SERVICE UINT32_MAX

enum route_kind {
    ROUTE_IDEMPOTENT,     /**< may run more than once */
    ROUTE_NON_IDEMPOTENT, /**< runs at most once for each request id */
    ROUTE_STREAM,         /**< answered by a series of events */
};

/** Share of a route's requests that goes to one service. */
struct route_target {
    uint32_t service; /**< index in the table */
    uint32_t weight;
};

struct route {
    char *name;
    char *host; /**< lower case */
    char *prefix;
    enum route_kind kind;
    uint32_t timeout_ms; /**< longest time for one request */
    uint32_t target_ms;  /**< objective: whole answer, or first event of a stream */
    uint32_t gap_ms;     /**< objective: pause between events of a stream */
    uint32_t priority;   /**< 0 goes first */
    uint32_t attempts;   /**< back ends that one request may be sent to */
    bool anonymous;      /**< needs no key */
    bool resumable;      /**< a stream may go on at another back end */
    struct route_target targets[ROUTE_MAX_TARGETS];
    uint32_t target_count;
};

/** What the configuration says of the engines of a model service; zero for a plain service. */
struct engine_profile {
    char *model; /**< NULL for a plain service */
    uint32_t slots;
    uint64_t kv_cache_tokens; /**< tokens of context that fit */
    uint32_t layers;
    uint32_t pieces; /**< of the weights of one version */
    uint32_t piece_bytes;
    uint32_t warmup_ms;
    double step_ms;
    double step_ms_per_request;
    double prefill_tokens_per_ms;
    uint32_t mean_prompt_tokens; /**< mean tokens of a prompt */
};

struct service_entry {
    char *name;
    uint32_t connection_limit;
    struct engine_profile engine;
    char *origin; /**< "IP:PORT" of an origin of weights, NULL for all others */
    char *zone;   /**< of an origin */
};

struct tenant_entry {
    char *name;
    uint32_t priority; /**< 0 goes first */
};

/** Bounds on what a client may send. */
struct client_limits {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
};

struct route_table;

struct route_table *route_table_create(uint64_t version);
struct route_table *route_table_retain(struct route_table *table);
void route_table_release(struct route_table *table);

/* Filling; strings are copied, indexes are stable. */
uint32_t route_table_add_service(struct route_table *table, const char *name);
struct service_entry *route_table_mutable_service(struct route_table *table, uint32_t index);
uint32_t route_table_add_tenant(struct route_table *table, const char *name, uint32_t priority);
void route_table_add_key(struct route_table *table, uint32_t tenant, const char *key);
/** \brief Add a route; takes its strings over. */
void route_table_add_route(struct route_table *table, const struct route *route);
void route_table_set_limits(struct route_table *table, const struct client_limits *limits);
/** \brief Build the indexes. */
void route_table_finish(struct route_table *table);

uint64_t route_table_version(const struct route_table *table);
const struct client_limits *route_table_limits(const struct route_table *table);
bool route_table_has_tenants(const struct route_table *table);
uint32_t route_table_route_count(const struct route_table *table);
const struct route *route_table_route_at(const struct route_table *table, uint32_t index);
uint32_t route_table_service_count(const struct route_table *table);
const struct service_entry *route_table_service(const struct route_table *table, uint32_t index);
/** \return index, or ROUTE_NO_SERVICE */
uint32_t route_table_find_service(const struct route_table *table, const char *name);
/** \brief The route of the host with the longest prefix that begins the path. \return or NULL */
const struct route *route_table_match(const struct route_table *table, const char *host,
                                      const char *path, size_t path_length);
/** \return index of the tenant that holds a key, or ROUTE_NO_TENANT */
uint32_t route_table_key_owner(const struct route_table *table, const char *key);
const struct tenant_entry *route_table_tenant(const struct route_table *table, uint32_t index);
/** \brief Service for one request of a route. \param draw uniform random number */
uint32_t route_choose_service(const struct route *route, uint64_t draw);

#endif

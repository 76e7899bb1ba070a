/**
 * Routes, services and tenants of one configuration version, indexed for look-ups on the request
 * path.
 *
 * The parser of the configuration fills a table and calls route_table_finish(); from then on it is
 * immutable. Tables are reference-counted and confined to one thread.
 */
#ifndef SHUNTRUN_ROUTE_TABLE_H
#define SHUNTRUN_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROUTE_NO_TENANT UINT32_MAX
#define ROUTE_NO_SERVICE UINT32_MAX

enum route_kind {
    ROUTE_IDEMPOTENT,     /**< may run more than once for each request id */
    ROUTE_NON_IDEMPOTENT, /**< runs at most once for each request id */
    ROUTE_STREAM,         /**< answered by an event stream */
};

/** Share of a route's requests that goes to one service. */
struct route_target {
    uint32_t service; /**< index in the table */
    uint32_t weight;  /**< in relation to the other targets */
};

/** Regions in which requests may be processed; empty: any. */
struct home_regions {
    char **names; /**< owned, as is each name */
    uint32_t count;
};

struct route {
    char *name;
    char *host;   /**< lower case */
    char *prefix; /**< of the path, up to and including a slash */
    enum route_kind kind;
    uint32_t timeout_ms; /**< maximum time for one request */
    uint32_t target_ms;  /**< latency objective: complete answer, or first event of a stream */
    uint32_t gap_ms;     /**< latency objective: pause between events of a stream */
    uint32_t priority;   /**< 0 is the highest */
    uint32_t attempts;   /**< maximum number of backends that one request is sent to */
    bool anonymous;      /**< requires no client key */
    bool resumable;      /**< an interrupted stream may continue at another backend */
    struct route_target *targets; /**< owned */
    uint32_t target_count;
    struct home_regions homes;
    bool unreadable; /**< its entry has errors, so that it is not known what it allows */
};

/** Engines of a model service as configured; zero for a service without a model. */
struct engine_profile {
    char *model;              /**< NULL: the service has no model */
    uint32_t slots;           /**< requests that an engine runs concurrently */
    uint64_t kv_cache_tokens; /**< context tokens that fit into an engine's KV cache */
    uint32_t layers;
    uint32_t pieces; /**< number of pieces in the weights of one version */
    uint32_t piece_bytes;
    uint32_t warmup_ms;
    double step_ms; /**< fixed part of the time of one decoding step */
    double step_ms_per_request;
    double prefill_tokens_per_ms;
    uint32_t mean_prompt_tokens; /**< average prompt length */
};

struct service_entry {
    char *name;
    char *health_path; /**< a GET on it returns the id of the backend that answers; NULL: none given
                        */
    uint32_t connection_limit;
    uint32_t cold_start_ms; /**< time for which a backend is cold after its start; 0: it is not */
    double cold_per_s; /**< requests a second that a cold backend bears; 0: as many as a warm one */
    struct engine_profile engine;
    char *origin; /**< "IP:PORT" if the service is an origin of weights, otherwise NULL */
    char *zone;   /**< of an origin */
};

struct tenant_entry {
    char *name;
    uint32_t priority; /**< 0 is the highest */
    struct home_regions homes;
    bool unreadable; /**< its entry has errors, so that it is not known what it allows */
};

/** Parts of a configuration in which an entry may be missing because it could not be read. */
enum route_table_part { ROUTE_TABLE_ROUTES, ROUTE_TABLE_TENANTS, ROUTE_TABLE_PARTS };

/** Limits on client connections and requests. */
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
/** \return whether a configuration precedes the one in force, which it must not replace.
 * \param held NULL: none is in force */
bool route_table_is_older(const struct route_table *table, const struct route_table *held);

/* Filling a table: strings are copied, indexes are stable. */
/** \return index of the service, which is added if the table does not have it */
uint32_t route_table_add_service(struct route_table *table, const char *name);
/** \return a service whose fields are still to be filled in */
struct service_entry *route_table_mutable_service(struct route_table *table, uint32_t index);
uint32_t route_table_add_tenant(struct route_table *table, const char *name, uint32_t priority);
/** \brief Set the home regions of a tenant; takes ownership. */
void route_table_set_tenant_homes(struct route_table *table, uint32_t tenant,
                                  const struct home_regions *homes);
void home_regions_add(struct home_regions *homes, const char *name);
void home_regions_clear(struct home_regions *homes);
void route_table_add_key(struct route_table *table, uint32_t tenant, const char *key);
/** \brief Requests of this tenant's keys cannot be served: it is not known what it allows. */
void route_table_set_tenant_unreadable(struct route_table *table, uint32_t tenant);
/** \brief An entry of this part could not be read, and is missing. */
void route_table_mark_incomplete(struct route_table *table, enum route_table_part part);
/** \brief Add a target to a route that is being filled. */
void route_add_target(struct route *route, uint32_t service, uint32_t weight);
/** \brief Add a route; takes ownership of its strings. */
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
/** \return the route of the host with the longest matching path prefix, or NULL */
const struct route *route_table_match(const struct route_table *table, const char *host,
                                      const char *path, size_t path_length);
/** \return index of the tenant that owns a client key, or ROUTE_NO_TENANT */
uint32_t route_table_key_owner(const struct route_table *table, const char *key);
const struct tenant_entry *route_table_tenant(const struct route_table *table, uint32_t index);
/** \return whether no entry of this part is missing, so that what is not found does not exist */
bool route_table_is_complete(const struct route_table *table, enum route_table_part part);
/** \return whether a service may be chosen for a request */
typedef bool route_service_filter(const void *context, uint32_t service);
/**
 * \brief Choose a service by the weights of a route's targets.
 * \param filter NULL: all may be chosen; if it allows none, all may, too
 * \param draw uniform random number
 * \return index of the service, or ROUTE_NO_SERVICE if the route has no targets
 */
uint32_t route_choose_service(const struct route *route, route_service_filter *filter,
                              const void *context, uint64_t draw);

#endif

/**
 * State of the edge that its modules share. One loop, one thread.
 */
#ifndef SHUNTRUN_EDGE_INTERNAL_H
#define SHUNTRUN_EDGE_INTERNAL_H

#include "cluster/cluster.h"
#include "cluster/process.h"
#include "core/backend_pool.h"
#include "core/caller_return.h"
#include "core/come_back.h"
#include "core/crash_lease.h"
#include "core/event_stream.h"
#include "core/overload.h"
#include "core/repeat_budget.h"
#include "core/route_table.h"
#include "core/stream_length.h"
#include "core/version_bounds.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"
#include "platform/platform.h"

#define EDGE_SERVICES_MOST 64
/** Routes whose callers' times are known; those of further ones count as new callers. */
#define EDGE_ROUTES_MOST 256

struct crash_check;
struct edge_client;
struct exchange;
struct upstream;
struct weight_relay;

/** What this edge keeps of one service. */
struct service_state {
    char service[BACKEND_NAME_SIZE];
    struct repeat_budget budget;
    struct come_back come_back;
    struct overload overload;
    struct stream_length stream_length;
};

/** What callers of one route say of their time. */
struct route_times {
    uint64_t route; /**< hash of its name */
    struct caller_times times;
};

struct edge {
    struct process process;
    struct cluster cluster;
    uv_loop_t *loop;
    const struct settings *settings;
    struct route_table *table; /**< NULL before the first configuration */
    struct backend_pool *pool;
    struct weight_relay *relay; /**< hands weights on to loaders */
    struct version_bounds versions;
    struct service_state services[EDGE_SERVICES_MOST];
    uint32_t service_count;
    struct route_times routes[EDGE_ROUTES_MOST];
    uint32_t route_count;
    bool unnamed_services; /**< some entry's service was not configured */
    struct random_stream random;
    uv_tcp_t listener;
    struct http_service *directory;
    struct http_service *readiness;
    uv_timer_t timer;
    uint64_t last_tick;
    struct edge_client *clients;
    struct upstream *upstreams;       /**< all connections to back ends, the newest first */
    struct crash_check *crash_checks; /**< broken connections whose back end may have ended */
    uint64_t barred_starts[CRASH_MAX_LEASED_INCARNATIONS]; /**< to the request that is placed now */
    struct exchange *waiting; /**< requests that wait for a place, most urgent first */
    uint32_t active;          /**< requests that have no final answer yet */
    uint32_t gateways;        /**< alive now, at least 1 */
    uint32_t gateways_most;   /**< the most seen lately; shares the repeat budget */
    uint64_t started;
    bool answered;           /**< a client got a whole answer since the start */
    uint64_t stopping_since; /**< 0: not stopping */
    bool closed;             /**< takes no more requests */
};

/* --- clients: edge_client.c ----------------------------------------------------------------------
 */

void edge_client_accept(uv_stream_t *listener, int status);
/** \brief Close clients that are idle, or slow with a head, for too long. */
void edge_client_sweep(struct edge *edge, uint64_t now);
/** \brief Close all connections on which no request is in progress. */
void edge_client_close_idle(struct edge *edge);
/** \brief A whole answer; the exchange is over afterwards. */
void edge_client_answer(struct edge_client *client, const struct buffer *head, const void *body,
                        size_t size);
/** \brief The head of an answer that comes in parts; `head` ends with its own fields. */
void edge_client_stream_begin(struct edge_client *client, const struct buffer *head);
void edge_client_stream_data(struct edge_client *client, const void *bytes, size_t size);
void edge_client_stream_end(struct edge_client *client);
/** \brief Break the connection, so that what was sent cannot look complete. */
void edge_client_break(struct edge_client *client);
/** \brief End the requests that are known to crash back ends now, wherever they are. */
void edge_client_end_blocked(struct edge *edge);
/** \brief Have each request look at the time that it has, after a pause of the process. */
void edge_client_look_at_time(struct edge *edge);
size_t edge_client_pending(const struct edge_client *client);
struct edge *edge_client_edge(const struct edge_client *client);
const struct http_message *edge_client_request(const struct edge_client *client);

/* --- requests: exchange.c ------------------------------------------------------------------------
 */

/** \brief Take the request that the client has sent whole. \return NULL when answered at once */
struct exchange *exchange_begin(struct edge *edge, struct edge_client *client);
/** \brief Send it to a back end, or let it wait for one. */
void exchange_start(struct exchange *exchange);
/** \brief End it if its time is over; else set its timer anew. */
void exchange_look_at_time(struct exchange *exchange);
/** \brief The client is gone: stop the work. */
void exchange_abandon(struct exchange *exchange);
/** \brief End it if it is among those that crash back ends. */
void exchange_end_if_blocked(struct exchange *exchange);
/** \return requests that wait for a place */
uint32_t exchange_waiting_count(const struct edge *edge);
/** \brief Places may be free again: offer them to those that wait. */
void exchange_dispatch_waiting(struct edge *edge);

enum upstream_event {
    UPSTREAM_NOT_SENT, /**< no connection came up */
    UPSTREAM_WITHHELD, /**< one came up, but the request must not go there any more */
    UPSTREAM_PROGRESS, /**< more of the head or body is there */
    UPSTREAM_DONE,     /**< the answer is complete */
    UPSTREAM_BROKEN,   /**< the connection broke or the bytes are no answer */
};

/** An answer as far as it has come, and its head once that is complete. */
struct upstream_answer {
    struct http_message message;
    struct answer_head head;
};

/** \brief Told by the connection; but for PROGRESS, it no longer belongs to the exchange then. */
void exchange_on_upstream(struct exchange *exchange, enum upstream_event event,
                          struct upstream_answer *answer);
/**
 * \brief Write the request for the present back end, with the time that is left now.
 * \return false when it must not go there any more
 */
bool exchange_write(struct exchange *exchange, struct buffer *bytes);
/** \return whether this answer belongs to another request and is to be passed over */
bool exchange_is_foreign(const struct exchange *exchange, const struct answer_head *head);

/* --- connections to back ends: upstream.c
 * ---------------------------------------------------------- */

/**
 * \brief Send the request that exchange_write() gives, now or when a connection is up.
 * \param most_idle_us use no connection that was idle for longer
 */
struct upstream *upstream_send(struct edge *edge, struct backend *backend,
                               struct exchange *exchange, uint64_t most_idle_us);
/** \brief Stop: the back end sees its connection close. */
void upstream_cancel(struct upstream *upstream);
/** \brief Whether the request was handed to a connection that is up. */
bool upstream_is_sent(const struct upstream *upstream);
/** \return whether a connection to the back end is up */
bool upstream_is_open(const struct backend *backend);
/** \brief Read no more for now, or go on. */
void upstream_pause(struct upstream *upstream, bool pause);
/** \brief Close idle connections whose time is over, and give up those that do not come up; at once
 * where the list has dropped the back end. */
void upstream_sweep(struct edge *edge, uint64_t now);
/** \brief Close all idle connections, after the process stood still. */
void upstream_close_idle(struct edge *edge);

/* --- what the platform publishes: edge_state.c ---------------------------------------------------
 */

/** \brief State of a service, begun at its first use. */
struct service_state *edge_service(struct edge *edge, const char *service);
/** \return times of the route's callers, begun at its first use, or NULL when there are too many */
struct caller_times *edge_route_times(struct edge *edge, const char *route);
/** \brief An item of what the platform publishes is new, changed or gone. */
void edge_take_item(struct edge *edge, const struct state_item *item);

/* --- where callers go: edge_addresses.c ----------------------------------------------------------
 */

/** \brief Answer the question of a caller which addresses to use. */
void edge_answer_addresses(struct edge *edge, struct service_call *call,
                           const struct service_request *request);

#endif

/**
 * State and functions that the modules of the edge share. All of it runs on one event loop in one
 * thread.
 */
#ifndef SHUNTRUN_EDGE_INTERNAL_H
#define SHUNTRUN_EDGE_INTERNAL_H

#include "base/memory.h"
#include "cluster/cluster.h"
#include "cluster/process.h"
#include "core/address_index.h"
#include "core/backend/backend_pool.h"
#include "core/load/client_retry.h"
#include "core/load/retry_after.h"
#include "core/crash/crash_lease.h"
#include "core/event_stream.h"
#include "core/load/demand.h"
#include "core/load/memory_share.h"
#include "core/load/start_hold.h"
#include "core/load/overload.h"
#include "core/load/run_time.h"
#include "core/load/stop_plan.h"
#include "core/retry/repeat_budget.h"
#include "core/routing/route_table.h"
#include "core/stream_length.h"
#include "core/weights/version_bounds.h"
#include "net/http_message.h"
#include "net/tcp_stream.h"
#include "platform/platform.h"

struct crash_check;
struct edge_client;
struct exchange;
struct liveness_check;
struct upstream;
struct weight_relay;

/** Adaptive state of one service: retry budget, refusal shares and stream lengths. */
struct service_state {
    char service[BACKEND_NAME_SIZE];
    struct repeat_budget budget;
    struct retry_after retry_after;
    struct overload overload;
    struct demand demand; /**< of new clients */
    uint32_t slots;       /**< of the engines that could serve new clients at the last look */
    uint64_t slots_until; /**< time until which `slots` is used */
    bool overload_lasts;  /**< at the last look */
    struct stream_length stream_length;
};

/** Adaptive state of one route: deadlines that its clients have sent, and lengths of its runs. */
struct route_state {
    uint32_t key; /**< hash of the route's name */
    struct client_retry_times times;
    struct run_time run_time;
};

struct edge {
    struct process process;
    struct cluster cluster;
    uv_loop_t *loop;
    const struct settings *settings;
    struct route_table *table; /**< NULL before the first configuration */
    struct backend_pool *pool;
    struct weight_relay *relay; /**< forwards model weights to loaders */
    struct version_bounds versions;
    size_t buffer_limit;          /**< bytes that buffers may hold; 0: no limit */
    struct rate_limit cold_bound; /**< `over` and `slack` of the settings */
    struct service_state **services;
    uint32_t service_count;
    struct route_state *routes;
    uint32_t route_count;
    struct address_index route_index; /**< positions in `routes` by their keys */
    bool has_unconfigured_services;   /**< a listed backend's service was not configured */
    bool has_kept_evacuations;        /**< evacuations that the store lost are still in force */
    struct random_stream random;
    uv_tcp_t listener;
    struct http_service *directory;
    struct http_service *readiness;
    uv_timer_t timer;
    uint64_t last_tick;
    struct edge_client *clients;
    struct upstream *upstreams;       /**< all connections to backends, newest first */
    struct crash_check *crash_checks; /**< checks of backends that may have crashed */
    /** Checks of backends that ended answers with their connections. */
    struct liveness_check *liveness_checks;
    /** Barred to the request being dispatched. */
    uint64_t barred_incarnations[CRASH_MAX_LEASED_INCARNATIONS];
    struct exchange *queue;           /**< requests that wait for a slot, most urgent first */
    uint32_t active;                  /**< requests without a final response */
    uint32_t gateways;                /**< alive now, at least 1 */
    struct budget_fleet budget_fleet; /**< what `budget_share` follows from */
    struct budget_share budget_share; /**< of the retry budget */
    uint64_t started_at;
    bool has_responded;     /**< a complete response was sent since the start */
    struct stop_plan stop;  /**< planned stop */
    bool closed_to_clients; /**< by the planned stop: no connections are accepted any more */
};

/** \return memory of the buffers of this process */
static inline struct memory_use edge_memory_use(const struct edge *edge)
{
    return (struct memory_use){edge->buffer_limit, memory_held_by_buffers()};
}

/** \return whether a new request may be taken. \param size bytes of its body that are to come */
static inline bool edge_accepts_bytes(const struct edge *edge, size_t size)
{
    struct memory_use use = edge_memory_use(edge);
    return memory_share_accepts(&use, size);
}

/** \return whether requests are held until the configuration is known */
static inline bool edge_awaits_configuration(const struct edge *edge)
{
    return start_hold_awaits_configuration(edge->started_at, edge->table != NULL, cluster_now());
}

/* --- Client connections: edge_client.c, edge_client_debt.c, edge_client_expiry.c --- */

/** \brief Connection callback of the listener, whose data is the edge. */
void edge_client_accept(uv_stream_t *listener, int status);
/** \brief Closes connections that exceeded the idle timeout or the timeout for request headers. */
void edge_client_close_expired(struct edge *edge, uint64_t now);
/** \brief Starts the requests that were held until the configuration is known. */
void edge_client_release_held(struct edge *edge);
/** \brief Resets connections whose clients take nothing, while buffers are nearly full. */
void edge_client_drop_slow(struct edge *edge, uint64_t now);
/** \brief Reads nothing more: a request that is not read is not owed an answer. */
void edge_client_stop_reading(struct edge *edge);
/** \brief Times how long the client takes the answer that is sent next, for the bound of its
 * route's runs. */
void edge_client_begin_delivery(struct edge_client *client, const char *route);
/** \brief Sends a complete response; the exchange ends with it. `head` is the status line and
 * headers without Content-Length. */
void edge_client_send_response(struct edge_client *client, const struct buffer *head,
                               const void *body, size_t size);
/** \brief Begins a chunked response. `head` is the status line and headers without
 * Transfer-Encoding. */
void edge_client_stream_begin(struct edge_client *client, const struct buffer *head);
/** \brief Sends one chunk; nothing where `size` is 0. */
void edge_client_stream_data(struct edge_client *client, const void *bytes, size_t size);
/** \brief Ends the chunked response, and with it the exchange. */
void edge_client_stream_end(struct edge_client *client);
/** \brief Resets the connection, so that a truncated response cannot look complete. */
void edge_client_abort(struct edge_client *client);
/** \brief Fails all requests in progress that are now known to crash backends. */
void edge_client_fail_blocked(struct edge *edge);
/** \brief Rechecks the deadline of each request after a pause of the process. */
void edge_client_recheck_deadlines(struct edge *edge);
/** \return whether its connection closes, so that the request is refused */
bool edge_client_closes(const struct edge_client *client);
/** \return response bytes that the client has not taken yet */
size_t edge_client_unsent_bytes(const struct edge_client *client);
/** \return time at which the current request was complete */
uint64_t edge_client_arrived_at(const struct edge_client *client);
struct edge *edge_client_edge(const struct edge_client *client);
const struct http_message *edge_client_request(const struct edge_client *client);

/** What the clients of this gateway have not got yet. */
struct client_debt {
    uint32_t requests; /**< without a final response */
    uint32_t unread;   /**< connections with bytes of a further request */
    uint32_t promised; /**< connections that were promised to take one more request */
    uint32_t unsent;   /**< connections with bytes of responses that their clients did not take */
    size_t unsent_bytes;
};

/** \return whether all clients have got what they are owed */
static inline bool client_debt_is_none(const struct client_debt *debt)
{
    return !debt->requests && !debt->unread && !debt->promised && !debt->unsent;
}

/** \return the debt of all connections, also of those that are being closed */
struct client_debt edge_client_debt(const struct edge *edge);
/** \brief Records how long each request in progress has been running. */
void edge_client_record_run_times(const struct edge *edge, uint64_t now);
/** \brief Gives all requests in progress a final response, as the process ends; what was read only
 * in part is refused. */
void edge_client_answer_owed(struct edge *edge);

/* --- Planned stop: edge_stop.c --- */

/** \brief Begins the planned stop: other nodes are told, requests in progress go on. */
void edge_stop_begin(struct edge *edge);
/** \brief Ends the loop once the stop is over; called on each tick while stopping. */
void edge_stop_tick(struct edge *edge, uint64_t now);
/** \return whether a planned stop has begun */
static inline bool edge_is_stopping(const struct edge *edge)
{
    return edge->stop.begun_at != 0;
}
/** \return whole ms since the stop began; 0: not stopping */
uint64_t edge_stop_elapsed_ms(const struct edge *edge, uint64_t now);
/** \return Retry-After of requests that a stopping gateway refuses, ms */
uint32_t edge_stop_retry_ms(struct edge *edge);

/* --- Requests: exchange.c --- */

/** \brief Begins the exchange for a complete request. \return NULL if it was rejected, and
 * responded to */
struct exchange *exchange_begin(struct edge *edge, struct edge_client *client);
/** \return Retry-After while no backend serves at all, ms */
uint32_t exchange_no_backend_retry_ms(struct edge *edge);
/** \brief Sends the request to a backend, or queues it. */
void exchange_start(struct exchange *exchange);
/** \brief Fails the request if its deadline has passed; otherwise restarts its timer. */
void exchange_recheck_deadlines(struct exchange *exchange);
/** \brief Records how long the request has been running, for the bound of its route's runs. */
void exchange_record_run_time(const struct exchange *exchange, uint64_t now);
/** \brief Ends the request, as the process ends: with a response, or by aborting its stream. */
void exchange_end_at_stop(struct exchange *exchange);
/** \brief Cancels the request, as its client has disconnected. */
void exchange_cancel(struct exchange *exchange);
/** \brief Fails the request if it is known to crash backends. */
void exchange_fail_if_blocked(struct exchange *exchange);
/** \return number of queued requests */
uint32_t exchange_queue_length(const struct edge *edge);
/** \brief Offers slots that may be free again to the queued requests. */
void exchange_dispatch_queued(struct edge *edge);

enum upstream_event {
    UPSTREAM_NOT_SENT, /**< the connection could not be established */
    UPSTREAM_WITHHELD, /**< nothing was sent, as the request must not go there any more */
    UPSTREAM_PROGRESS, /**< more of the headers or body arrived */
    UPSTREAM_DONE,     /**< the response is complete */
    UPSTREAM_BROKEN,   /**< the connection broke, or the bytes are no valid response */
};

/** A response as far as it was received, with its decoded headers once they are complete. */
struct upstream_response {
    struct http_message message;
    struct response_head head;
};

/** \brief Handles an event of the upstream connection, which is detached from the exchange by then,
 * except for UPSTREAM_PROGRESS. */
void exchange_on_upstream_event(struct exchange *exchange, enum upstream_event event,
                                struct upstream_response *response);
/**
 * \brief Writes the request for the current backend, with the time that is left until its deadline.
 * \return false if it must not be sent there any more
 */
bool exchange_write_request(struct exchange *exchange, struct buffer *bytes);
/** \return bytes that are held of an incomplete answer to the request of the exchange */
size_t exchange_held_bytes(const struct exchange *exchange,
                           const struct upstream_response *response);
/**
 * \brief Gives up the largest incomplete answers, until there is room for a request that arrives,
 * or none holds more than its share. Requests of any client may end, and their connections close.
 */
void exchange_reclaim_memory(struct edge *edge);
/** \return whether this response belongs to another request and must be skipped */
bool exchange_is_mismatched_response(const struct exchange *exchange,
                                     const struct response_head *head);

/* --- Connections to backends: upstream.c --- */

/**
 * \brief Sends the request by exchange_write_request(): at once on an idle connection, or later on
 * a new one. \param max_idle_us longest time for which a reused connection may have been idle
 * \return NULL if nothing will be sent: no connection could be opened, or the request must not go
 * to the backend any more
 */
struct upstream *upstream_send(struct edge *edge, struct backend *backend,
                               struct exchange *exchange, uint64_t max_idle_us);
/** \brief Cancels the request by closing its connection. */
void upstream_cancel(struct upstream *upstream);
/** \return whether the request was written to an established connection */
bool upstream_is_sent(const struct upstream *upstream);
/** \return whether a connection to the backend is established */
bool upstream_has_open_connection(const struct backend *backend);
/** \brief Pauses or resumes reading. */
void upstream_pause(struct upstream *upstream, bool pause);
/** \return the exchange whose incomplete answer holds most bytes, with their count in `size`; NULL:
 * no answer has begun */
struct exchange *upstream_largest_answer(const struct edge *edge, size_t *size);
/** \brief Closes idle connections past their keep-alive time and connects that timed out; those to
 * unlisted backends at once. */
void upstream_close_expired(struct edge *edge, uint64_t now);
/** \brief Closes all idle connections, after a pause of the process. */
void upstream_close_idle(struct edge *edge);

/* --- Published state: edge_state.c --- */

/** \brief Applies a published item that was added, changed or removed. */
void edge_apply_item(struct edge *edge, const struct state_item *item);
/** \brief Ends evacuations that the store lost and the operator did not write again; called on each
 * tick. */
void edge_end_kept_evacuations(struct edge *edge, uint64_t now);

/* --- What was learned from own requests: edge_learned.c --- */

/** \return state of the service, created at first use; it stays where it is */
struct service_state *edge_service(struct edge *edge, const char *service);
/** \brief Applies changed settings to the repeat budgets of all services. */
void edge_update_budgets(struct edge *edge);
/** \return state of the route, created at first use; valid until the next call */
struct route_state *edge_route(struct edge *edge, const char *route);
/** \brief Records that a request of the route has lasted this long.
 * \param key of its state; nothing is recorded for a route that is forgotten */
void edge_raise_run_time(struct edge *edge, uint32_t key, uint64_t run_us, uint64_t now);
/** \brief Forgets routes that the current configuration does not have. */
void edge_forget_routes(struct edge *edge);

/* --- Backends with a rate limit: edge_rates.c --- */

/** \brief Ranks this gateway for the cold or rate-limited backends that have no loader; called on
 * each tick. */
void edge_rank_backends(struct edge *edge, uint64_t now);
/** \brief Claims the probes of stated rate limits that are due, and tells the other gateways;
 * called on each tick. */
void edge_claim_rate_probes(struct edge *edge, uint64_t now);
/** \brief Applies another gateway's claim of a probe. \param from its address */
void edge_hear_probe_claim(struct edge *edge, uint32_t from, const Shuntrun__RateStatement *rate);
/** \brief Tells other nodes of a backend's rate limit, which an answer to this gateway changed. */
void edge_announce_rate(struct edge *edge, struct backend *backend, uint64_t now);
/** \brief Repeats recent announcements, which may have been lost; called on each tick. */
void edge_announce_rates(struct edge *edge, uint64_t now);

/* --- Gateway addresses: edge_addresses.c --- */

/** \return whether another gateway is known to accept clients */
bool edge_knows_other_gateway(const struct edge *edge);
/** \brief Responds to a client that asks which gateway addresses to use. */
void edge_respond_with_addresses(struct edge *edge, struct service_call *call,
                                 const struct service_request *request);

#endif

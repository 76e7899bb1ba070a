/**
 * Routing of requests on one gateway: admission, choice of an agent, retries, token streams and the
 * final result.
 *
 * Every attempt has its own sequence number. Answers are matched by gateway incarnation and
 * sequence, so late, duplicate and reordered answers never reach a caller. A request is retried
 * only if the last attempt certainly did not run, or if the request is repeatable. An interrupted
 * token stream resumes at the next token on a replica with the same model version.
 *
 * Driven by events; calls back through `struct router_driver`. Times are microseconds of a
 * monotonic clock. Not thread-safe: one owner.
 */
#ifndef SHUNTRUN_ROUTER_H
#define SHUNTRUN_ROUTER_H

#include "core/routing/balance.h"
#include "core/outcome.h"
#include "core/service_counts.h"
#include "core/routing/routing_view.h"
#include "generated/messages.pb-c.h"

/** Limits and policy of a router; copied. */
struct router_settings {
    uint32_t request_limit;  /**< requests in progress on this gateway */
    uint32_t retry_percent;  /**< retry budget: retries per hundred requests */
    uint64_t stall_us;       /**< an attempt without an answer for this long has failed */
    balance_choose *balance; /**< NULL: balance_two_choices */
};

/** A request of a caller; strings and body are copied. */
struct router_request {
    const char *service;
    const char *tenant;
    const char *key;     /**< idempotency key, "" without one */
    bool unrepeatable;   /**< must not run twice; so is every request with a key */
    uint32_t priority;   /**< from the caller, 0 to 9 */
    uint64_t timeout_us; /**< from submission to the deadline */
    const void *body;
    size_t body_size;
};

/** Result of handing an attempt to the transport. */
enum router_send_result {
    ROUTER_SENT,
    ROUTER_NOT_SENT /**< nothing was handed to the transport */
};

/** Final result of a request. */
struct router_result {
    enum outcome outcome;
    unsigned http_status;
    uint32_t retry_after_ms; /**< 0: none */
    const char *reason;      /**< "" if the request is done */
    bool replayed;           /**< the stored answer of an idempotency key */
};

/** Calls of the router to its owner; `caller` is the id given to router_submit(). */
struct router_driver {
    void *context;
    /** Send an attempt to an agent. `forward` is valid during the call only. */
    enum router_send_result (*forward)(void *context, const struct machine *agent,
                                       Shuntrun__Forward *forward);
    /** Cancel an attempt that may still run. `cancel` is valid during the call only. */
    void (*cancel)(void *context, const struct machine *agent, Shuntrun__Cancel *cancel);
    /** The first answer names the model version; at most once for each request. */
    void (*begin)(void *context, uint64_t caller, const struct ready_model *model);
    /** Part of the answer: `count` tokens from `offset`, or a plain service's whole answer. */
    void (*data)(void *context, uint64_t caller, uint64_t offset, uint32_t count,
                 const uint8_t *data, size_t size);
    /** Last call for a request. `tokens`: number of tokens delivered in total. */
    void (*end)(void *context, uint64_t caller, uint64_t tokens,
                const struct router_result *result);
};

/** Totals since router_create(). */
struct router_counters {
    uint64_t submitted;
    uint64_t done;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t shed; /**< rejected by admission control */
    uint64_t retries;
    uint64_t resumes;         /**< retries that continue a token stream */
    uint64_t dropped_answers; /**< late, duplicate or foreign */
    uint64_t tokens;
    uint64_t replayed; /**< results with `replayed` set */
};

struct router;

/** \brief Create a router. \param incarnation of this gateway \param driver copied */
struct router *router_create(const struct router_settings *settings, uint64_t incarnation,
                             uint64_t seed, const struct router_driver *driver);
void router_destroy(struct router *router);

/** \brief Replace the routing view. \param view must stay valid until the next call */
void router_set_view(struct router *router, uint64_t now, const struct routing_view *view);

/** \brief Submit a request; `end` may be called before this returns. \param caller id passed to the
 * driver */
void router_submit(struct router *router, uint64_t now, uint64_t caller,
                   const struct router_request *request);
/** \brief The caller has disconnected: cancel its request, without further calls of the driver's
 * `begin`, `data` and `end`. */
void router_abandon(struct router *router, uint64_t now, uint64_t caller);
/** \brief End all requests as at their deadline, with the outcome unknown: the gateway stops. */
void router_end_all(struct router *router, const char *reason);
/** \brief Process an answer of an agent. \param agent id of the sender */
void router_on_answer(struct router *router, uint64_t now, uint64_t agent,
                      const Shuntrun__Answer *answer);
/** \brief Check the deadlines and stalls of all requests. */
void router_on_tick(struct router *router, uint64_t now);

/** \return number of requests in progress */
uint32_t router_active(const struct router *router);
const struct router_counters *router_counters(const struct router *router);
/** \return counts by service and tenant */
const struct service_counts *router_service_counts(const struct router *router);

#endif

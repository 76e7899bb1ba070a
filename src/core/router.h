/**
 * Requests on one gateway: admission, choice of an agent, retries, streams and the final outcome.
 *
 * Every attempt to have a request run has a sequence number of its own; an answer is matched by
 * (gateway incarnation, sequence), so late, doubled and reordered answers reach nobody. A request
 * is tried again only when the last attempt certainly did not run, or when it may be repeated.
 * A broken model stream resumes on a replica of the same version at the next token.
 *
 * Driven by events; answers through `struct router_driver`. One owner.
 */
#ifndef SHUNTRUN_ROUTER_H
#define SHUNTRUN_ROUTER_H

#include "core/balance.h"
#include "core/outcome.h"
#include "core/service_counts.h"
#include "core/routing_view.h"
#include "generated/messages.pb-c.h"

struct router_settings {
    uint32_t request_limit; /**< requests in progress of this gateway */
    uint32_t retry_percent;
    uint64_t stall_us;       /**< an attempt without any answer for so long is given up */
    balance_choose *balance; /**< NULL: two choices */
};

/** A request as it came from a caller; texts and body are copied. */
struct router_request {
    const char *service;
    const char *tenant;
    const char *key; /**< "" without one */
    bool unrepeatable;
    uint32_t priority;
    uint64_t timeout_us;
    const void *body;
    size_t body_size;
};

enum router_send_result { ROUTER_SENT, ROUTER_NOT_SENT /**< nothing was handed to a transport */ };

/** How a request that cannot be served is told to the caller. */
struct router_result {
    enum outcome outcome;
    unsigned http_status;
    uint32_t retry_after_ms; /**< 0: none */
    const char *reason;
    bool replayed;
};

struct router_driver {
    void *context;
    enum router_send_result (*forward)(void *context, const struct machine *agent,
                                       Shuntrun__Forward *forward);
    void (*cancel)(void *context, const struct machine *agent, Shuntrun__Cancel *cancel);
    /** First news of the version that answers; once for each request that starts. */
    void (*begin)(void *context, uint64_t caller, const struct ready_model *model);
    void (*data)(void *context, uint64_t caller, uint64_t offset, uint32_t count,
                 const uint8_t *data, size_t size);
    /** Last call for a request. `tokens` were given in all. */
    void (*end)(void *context, uint64_t caller, uint64_t tokens,
                const struct router_result *result);
};

struct router_counters {
    uint64_t submitted;
    uint64_t done;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t shed;
    uint64_t retries;
    uint64_t resumes;
    uint64_t dropped_answers;
    uint64_t tokens;
    uint64_t replayed;
};

struct router;

struct router *router_create(const struct router_settings *settings, uint64_t incarnation,
                             uint64_t seed, const struct router_driver *driver);
void router_destroy(struct router *router);

/** \brief Use a new snapshot. \param view owned by the caller until the next call */
void router_set_view(struct router *router, uint64_t now, const struct routing_view *view);

/** \brief Take a request; its end may come within the call. \param caller names it in the driver */
void router_submit(struct router *router, uint64_t now, uint64_t caller,
                   const struct router_request *request);
/** \brief The caller is gone: nothing more is told about it. */
void router_abandon(struct router *router, uint64_t now, uint64_t caller);
void router_on_answer(struct router *router, uint64_t now, uint64_t agent,
                      const Shuntrun__Answer *answer);
void router_on_tick(struct router *router, uint64_t now);

uint32_t router_active(const struct router *router);
const struct router_counters *router_counters(const struct router *router);
/** \brief Counts by service and tenant. */
const struct service_counts *router_service_counts(const struct router *router);

#endif

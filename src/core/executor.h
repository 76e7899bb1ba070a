/**
 * Requests on one agent: which to refuse, which to run, what to answer.
 *
 * The executor alone decides whether a forwarded request starts. It refuses, as "did not run",
 * what is meant for another incarnation, what was forwarded before the process woke from a pause,
 * and everything while draining. Keys run at most once (see ticket.h and key_table.h).
 *
 * Driven by events; answers through `struct executor_driver`. One owner.
 */
#ifndef SHUNTRUN_EXECUTOR_H
#define SHUNTRUN_EXECUTOR_H

#include "core/fleet_config.h"
#include "core/node.h"
#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

struct executor_settings {
    uint32_t capacity;      /**< requests run at once */
    uint64_t key_window_us; /**< half of the time for which answers to keys are kept */
    uint32_t key_limit;
    uint64_t pause_us; /**< a step of the clock beyond this between events is a pause */
};

/** Fence of an order to the local engine or service; compared in this order. */
struct fence {
    uint64_t revision;
    uint64_t incarnation;
    uint64_t sequence;
};

struct executor_driver {
    void *context;
    /** Answer a gateway; `route` is what came with the request. */
    void (*answer)(void *context, uint64_t route, Shuntrun__Answer *answer);
    /** Start a run; answered by executor_on_*(). `digest` is NULL for a plain service. */
    void (*start)(void *context, uint64_t run, const Shuntrun__Forward *forward,
                  const struct ready_model *model, const struct fence *fence);
    /** Stop a run; no event comes for it afterwards. */
    void (*cancel)(void *context, uint64_t run);
};

struct executor;

struct executor *executor_create(const struct executor_settings *settings, uint64_t self,
                                 uint64_t incarnation, uint64_t now,
                                 const struct executor_driver *driver);
void executor_destroy(struct executor *executor);

/** \brief Take over a configuration; copied as far as needed. */
void executor_set_config(struct executor *executor, uint64_t now,
                         const struct fleet_config *config);
/** \brief Models that the local engine confirmed. */
void executor_set_ready(struct executor *executor, const struct ready_model *models,
                        uint32_t count);
/** \brief The local plain service, "" when there is none. */
void executor_set_service(struct executor *executor, const char *name);
void executor_set_draining(struct executor *executor, bool draining);

void executor_on_forward(struct executor *executor, uint64_t now, uint64_t route,
                         const Shuntrun__Forward *forward);
void executor_on_cancel(struct executor *executor, uint64_t now, const Shuntrun__Cancel *cancel);
void executor_on_tokens(struct executor *executor, uint64_t now, uint64_t run, uint64_t offset,
                        uint32_t count, const uint8_t *data, size_t size);
void executor_on_done(struct executor *executor, uint64_t now, uint64_t run, uint64_t tokens,
                      const uint8_t *data, size_t size);
/** \param started false when the engine or service certainly did not begin */
void executor_on_failed(struct executor *executor, uint64_t now, uint64_t run, bool started,
                        const char *reason);
void executor_on_tick(struct executor *executor, uint64_t now);

uint32_t executor_active(const struct executor *executor);
uint64_t executor_pause_epoch(const struct executor *executor);
uint64_t executor_ticket_epoch(const struct executor *executor, uint64_t now);

#endif

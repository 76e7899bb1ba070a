/**
 * Execution of requests on one agent: admission, idempotency keys, runs and answers.
 *
 * The executor alone decides whether a forwarded request starts. It refuses a request, which then
 * certainly did not run, if it was sent to another incarnation, if it was sent before the process
 * resumed from a pause, and while the agent is draining. The request of a key runs at most once
 * (see ticket.h and key_table.h).
 *
 * Driven by events; calls back through `struct executor_driver`. Times are microseconds of a
 * monotonic clock. Not thread-safe: one owner.
 */
#ifndef SHUNTRUN_EXECUTOR_H
#define SHUNTRUN_EXECUTOR_H

#include "core/fleet_config.h"
#include "core/node.h"
#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

/** Limits of an executor; copied. */
struct executor_settings {
    uint32_t capacity;      /**< concurrent runs */
    uint64_t key_window_us; /**< length of a ticket epoch; a ticket is valid for two epochs */
    uint32_t key_limit;     /**< idempotency keys stored */
    uint64_t pause_us;      /**< a longer time between two events is a pause of the process */
};

/** Fencing token of a run for the local engine or service; fields are compared in this order. */
struct fence {
    uint64_t revision;    /**< of the configuration */
    uint64_t incarnation; /**< of the agent */
    uint64_t sequence;    /**< id of the run */
};

/** Calls of an executor to its owner. */
struct executor_driver {
    void *context;
    /** Answer a gateway; `route` is that of executor_on_forward(). */
    void (*answer)(void *context, uint64_t route, Shuntrun__Answer *answer);
    /** Start a run, which ends with executor_on_done() or executor_on_failed(). `model` is NULL for
     * a plain service. */
    void (*start)(void *context, uint64_t run, const Shuntrun__Forward *forward,
                  const struct ready_model *model, const struct fence *fence);
    /** Cancel a run; the driver reports no event of it afterwards. */
    void (*cancel)(void *context, uint64_t run);
};

struct executor;

/**
 * \brief Create an executor.
 * \param self id of the agent
 * \param incarnation of the agent
 * \param driver copied
 */
struct executor *executor_create(const struct executor_settings *settings, uint64_t self,
                                 uint64_t incarnation, uint64_t now,
                                 const struct executor_driver *driver);
void executor_destroy(struct executor *executor);

/** \brief Apply a configuration; what is needed of it is copied. */
void executor_set_config(struct executor *executor, uint64_t now,
                         const struct fleet_config *config);
/** \brief Set the models that the local engine has confirmed as ready; at most
 *         NODE_MAX_READY_MODELS. */
void executor_set_ready(struct executor *executor, const struct ready_model *models,
                        uint32_t count);
/** \brief Set the name of the local plain service, "" if there is none. */
void executor_set_service(struct executor *executor, const char *name);
/** \brief While draining, new requests are refused. */
void executor_set_draining(struct executor *executor, bool draining);

/** \brief Process a request of a gateway. \param route opaque reply address, passed to `answer` */
void executor_on_forward(struct executor *executor, uint64_t now, uint64_t route,
                         const Shuntrun__Forward *forward);
/** \brief Cancel a run, unless it has an idempotency key. */
void executor_on_cancel(struct executor *executor, uint64_t now, const Shuntrun__Cancel *cancel);
/** \brief Process `count` tokens of a run, the first one at `offset`. */
void executor_on_tokens(struct executor *executor, uint64_t now, uint64_t run, uint64_t offset,
                        uint32_t count, const uint8_t *data, size_t size);
/** \brief Complete a run. \param tokens in all \param data answer of a plain service */
void executor_on_done(struct executor *executor, uint64_t now, uint64_t run, uint64_t tokens,
                      const uint8_t *data, size_t size);
/** \brief Fail a run. \param started false if the engine or service certainly did not start it */
void executor_on_failed(struct executor *executor, uint64_t now, uint64_t run, bool started,
                        const char *reason);
/** \brief Cancel all runs and answer each that its outcome is unknown: the agent stops. */
void executor_end_runs(struct executor *executor, uint64_t now, const char *reason);
/** \brief Detect a pause, and expire idempotency keys. */
void executor_on_tick(struct executor *executor, uint64_t now);

/** \return number of runs */
uint32_t executor_active(const struct executor *executor);
/** \return number of pauses detected */
uint64_t executor_pause_epoch(const struct executor *executor);
/** \return current ticket epoch: full key windows since executor_create() */
uint64_t executor_ticket_epoch(const struct executor *executor, uint64_t now);

#endif

/**
 * Traffic thread of an agent: receives forwarded requests from gateways and runs them on the local
 * engine or service, as core/executor decides. The control thread posts changes of configuration
 * and state. All functions but start and stop may be called from any thread.
 */
#ifndef SHUNTRUN_AGENT_TRAFFIC_H
#define SHUNTRUN_AGENT_TRAFFIC_H

#include "base/settings.h"
#include "core/executor.h"
#include "net/node_shell.h"

struct agent_traffic;

/** State of the traffic thread as of its last tick, for the control thread. */
struct agent_traffic_state {
    uint32_t active;       /**< requests in progress */
    uint32_t unsent;       /**< connections of gateways that have not acknowledged all answers */
    uint64_t pause_epoch;  /**< number of pauses of the process, see core/executor.h */
    uint64_t ticket_epoch; /**< see core/ticket.h */
};

/**
 * \brief Bind `traffic-port` and start the thread.
 * \param settings must stay valid until agent_traffic_stop()
 * \return NULL with a status message when the port cannot be bound
 */
struct agent_traffic *agent_traffic_start(const struct settings *settings,
                                          const struct node_shell *shell);
/** \brief Stop the thread and free all runs. NULL is ignored. \param linger_ms longest time for
 * which zmq_ctx_term() then waits for answers that are not written */
void agent_traffic_stop(struct agent_traffic *traffic, uint32_t linger_ms);

/** \brief Use new keys for the links of gateways; copied. */
void agent_traffic_set_keys(struct agent_traffic *traffic, const struct key_ring *keys);

/** \brief Use a new configuration; its services and tenants are copied. */
void agent_traffic_set_config(struct agent_traffic *traffic, const struct fleet_config *config);
/** \brief Replace the models that the engine serves. \param count up to NODE_MAX_READY_MODELS */
void agent_traffic_set_ready(struct agent_traffic *traffic, const struct ready_model *models,
                             uint32_t count);
/** \brief Set whether new requests are refused. */
void agent_traffic_set_draining(struct agent_traffic *traffic, bool draining);
/** \brief Cancel all runs; their gateways get the outcome unknown and may resume them elsewhere. */
void agent_traffic_end_runs(struct agent_traffic *traffic);
struct agent_traffic_state agent_traffic_state(const struct agent_traffic *traffic);

#endif

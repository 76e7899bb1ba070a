/**
 * The traffic thread of an agent: forwarded requests from gateways, runs on the local engine or
 * service. Its decisions are made by core/executor; the control thread posts what changes.
 */
#ifndef SHUNTRUN_AGENT_TRAFFIC_H
#define SHUNTRUN_AGENT_TRAFFIC_H

#include "base/settings.h"
#include "core/executor.h"
#include "net/node_shell.h"

struct agent_traffic;

/** What the control thread sees of the traffic thread; read at any time. */
struct agent_traffic_state {
    uint32_t active;
    uint64_t pause_epoch;
    uint64_t ticket_epoch;
};

/** \return NULL with a status message when the port cannot be bound */
struct agent_traffic *agent_traffic_start(const struct settings *settings,
                                          const struct node_shell *shell);
void agent_traffic_stop(struct agent_traffic *traffic);

void agent_traffic_set_keys(struct agent_traffic *traffic, const struct key_ring *keys);

/** \brief Post a configuration; `body` is parsed again on the traffic thread. */
void agent_traffic_set_config(struct agent_traffic *traffic, const struct fleet_config *config);
void agent_traffic_set_ready(struct agent_traffic *traffic, const struct ready_model *models,
                             uint32_t count);
void agent_traffic_set_draining(struct agent_traffic *traffic, bool draining);
struct agent_traffic_state agent_traffic_state(const struct agent_traffic *traffic);

#endif

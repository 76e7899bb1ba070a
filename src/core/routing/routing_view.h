/**
 * Routing view: an immutable snapshot of the fleet for the request path, built from the control
 * state of the node. It is bounded: for each model a gateway routes to a subset of its agents.
 */
#ifndef SHUNTRUN_ROUTING_VIEW_H
#define SHUNTRUN_ROUTING_VIEW_H

#include "core/node.h"
#include "core/ticket.h"

#include <stdbool.h>
#include <stdint.h>

/** An agent that this gateway may route to. */
struct route_agent {
    uint64_t id;
    struct machine machine;
    bool alive;        /**< heard within `suspect_us`, see node.h */
    uint16_t distance; /**< 0 same zone, 1 same region, 2 other region */
    struct node_status status;
};

/** A service and the agents that can serve it. */
struct route_service {
    char name[CONFIG_NAME_SIZE];
    enum service_kind kind;
    char model[CONFIG_NAME_SIZE]; /**< SERVICE_MODEL */
    uint32_t *agents;             /**< indexes in the view of agents that serve it; owned */
    uint32_t agent_count;
    struct service_config homes; /**< its `machines` are the homes of the keys; owned */
};

/** An immutable snapshot; see the head of this file. */
struct routing_view {
    uint64_t revision;          /**< of the configuration */
    struct route_agent *agents; /**< sorted by id; owned */
    uint32_t agent_count;
    struct route_service *services; /**< owned */
    uint32_t service_count;
    struct tenant_config *tenants; /**< owned */
    uint32_t tenant_count;
};

/**
 * \brief List the agents that a gateway polls: the homes of all services; for each model at most
 *        `subset` of its target machines, by rendezvous hashing with this gateway; and the peers
 *        that are ready for a configured model.
 * \return list of ids, owned by the caller; NULL before the first placement
 */
uint64_t *routing_view_links(const struct node *node, uint32_t subset, uint32_t *count);

/**
 * \brief Build a snapshot of the control state.
 * \param subset see routing_view_links()
 * \param zone of this gateway, with `region` for the distances of agents
 * \return owned by the caller; NULL before the first placement
 */
struct routing_view *routing_view_build(const struct node *node, uint32_t subset, const char *zone,
                                        const char *region, uint64_t now);
void routing_view_destroy(struct routing_view *view);

/** \return NULL if there is no such service */
const struct route_service *routing_view_find_service(const struct routing_view *view,
                                                      const char *name);
/** \return index of an agent in the view, -1 if it is not in it */
int64_t routing_view_find_agent(const struct routing_view *view, uint64_t id);

/** \brief Find the version of a model that an agent is ready for. \return NULL if there is none */
const struct ready_model *route_agent_find_ready_model(const struct route_agent *agent,
                                                       const char *model);

/** \brief Format a ticket for a service; "" if it has more than TICKET_MAX_HOMES homes. */
void routing_view_format_ticket(const struct routing_view *view,
                                const struct route_service *service, char text[TICKET_SIZE]);

#endif

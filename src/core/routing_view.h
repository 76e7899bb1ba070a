/**
 * What the request path knows of the fleet: an immutable snapshot that the control side builds and
 * publishes. Bounded: a gateway knows a subset of the agents of each service.
 */
#ifndef SHUNTRUN_ROUTING_VIEW_H
#define SHUNTRUN_ROUTING_VIEW_H

#include "core/node.h"
#include "core/ticket.h"

#include <stdbool.h>
#include <stdint.h>

struct route_agent {
    uint64_t id;
    struct machine machine;
    bool alive;        /**< heard within the suspicion time */
    uint16_t distance; /**< 0 same zone, 1 same region, 2 other region */
    struct node_status status;
};

struct route_service {
    char name[CONFIG_NAME_SIZE];
    enum service_kind kind;
    char model[CONFIG_NAME_SIZE];
    uint32_t *agents; /**< indexes of agents that may serve it; owned */
    uint32_t agent_count;
    struct service_config homes; /**< SERVICE_PLAIN; `machines` owned */
};

struct routing_view {
    uint64_t revision;
    struct route_agent *agents; /**< sorted by id; owned */
    uint32_t agent_count;
    struct route_service *services;
    uint32_t service_count;
    struct tenant_config *tenants;
    uint32_t tenant_count;
};

/**
 * \brief Agents that a gateway polls: every home of a plain service, and for each model at most
 *        `subset` of its machines by rendezvous with this gateway, near ones first.
 * \return owned list of ids
 */
uint64_t *routing_view_links(const struct node *node, uint32_t subset, uint32_t *count);

/** \brief Build a snapshot from the control state; NULL before the first configuration. */
struct routing_view *routing_view_build(const struct node *node, uint32_t subset, const char *zone,
                                        const char *region, uint64_t now);
void routing_view_destroy(struct routing_view *view);

const struct route_service *routing_view_find_service(const struct routing_view *view,
                                                      const char *name);
int64_t routing_view_find_agent(const struct routing_view *view, uint64_t id);

/** \brief The digest with which an agent is ready for a model. \return NULL when it is not */
const struct ready_model *route_agent_find_ready_model(const struct route_agent *agent,
                                                       const char *model);

/** \brief Ticket for one plain service, "" when it cannot have one. */
void routing_view_format_ticket(const struct routing_view *view,
                                const struct route_service *service, char text[TICKET_SIZE]);

#endif

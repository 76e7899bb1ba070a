#include "core/routing/routing_view.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/ids.h"

#include <stdlib.h>
#include <string.h>

struct ranked_agent {
    uint64_t id;
    uint64_t weight;
};

static int compare_ranked_agents(const void *left, const void *right)
{
    const struct ranked_agent *a = left;
    const struct ranked_agent *b = right;
    return a->weight > b->weight ? -1 : a->weight < b->weight;
}

static void append_unique(uint64_t **ids, uint32_t *count, uint64_t id)
{
    for (uint32_t i = 0; i < *count; i++)
        if ((*ids)[i] == id)
            return;
    *ids = memory_realloc(*ids, (*count + 1) * sizeof **ids);
    (*ids)[(*count)++] = id;
}

/* Agents that are no longer targets of a model stay candidates while they are ready, so that
 * requests still find replicas during a rollout. */
static bool is_ready_for_any_model(const struct peer *peer, const struct fleet_config *config)
{
    for (uint32_t i = 0; i < peer->status.ready_count; i++)
        if (fleet_config_model(config, peer->status.ready[i].model))
            return true;
    return false;
}

static void append_model_links(const struct node *node, uint32_t model, uint32_t subset,
                               uint64_t **ids, uint32_t *count)
{
    const struct model_placement *placement = &node_placement(node)->models[model];
    const struct fleet *fleet = node_fleet(node);
    struct ranked_agent *ranked = memory_calloc(placement->target_count, sizeof *ranked);
    for (uint32_t i = 0; i < placement->target_count; i++) {
        uint64_t id = fleet->machines[placement->targets[i]].id;
        ranked[i] = (struct ranked_agent){id, hash_pair(node_id(node), id)};
    }
    qsort(ranked, placement->target_count, sizeof *ranked, compare_ranked_agents);
    for (uint32_t i = 0; i < placement->target_count && i < subset; i++)
        append_unique(ids, count, ranked[i].id);
    free(ranked);
}

uint64_t *routing_view_links(const struct node *node, uint32_t subset, uint32_t *count)
{
    const struct fleet_config *config = node_config(node);
    uint64_t *ids = NULL;
    *count = 0;
    if (!config || !node_placement(node))
        return NULL;
    for (uint32_t i = 0; i < config->model_count; i++)
        append_model_links(node, i, subset, &ids, count);
    for (uint32_t i = 0; i < config->service_count; i++)
        for (uint32_t j = 0; j < config->services[i].machine_count; j++)
            append_unique(&ids, count, config->services[i].machines[j]);
    for (uint32_t i = 0; i < node_peer_count(node); i++)
        if (is_ready_for_any_model(node_peer_at(node, i), config))
            append_unique(&ids, count, node_peer_at(node, i)->id);
    return ids;
}

static uint16_t zone_distance(const struct machine *machine, const char *zone, const char *region)
{
    if (strcmp(machine->zone, zone) == 0)
        return 0;
    return strcmp(machine->region, region) == 0 ? 1 : 2;
}

static void add_agent(struct routing_view *view, const struct node *node, uint64_t id,
                      const char *zone, const char *region, uint64_t now)
{
    const struct fleet *fleet = node_fleet(node);
    const struct peer *peer = node_peer(node, id);
    int64_t index = fleet_find(fleet, id);
    if (index < 0)
        return;
    struct route_agent *agent = &view->agents[view->agent_count++];
    agent->id = id;
    agent->machine = fleet->machines[index];
    agent->distance = zone_distance(&agent->machine, zone, region);
    agent->alive = node_peer_alive(node, peer, now);
    if (peer)
        agent->status = peer->status;
    agent->status.draining |= agent->machine.leaving;
}

static void add_service(struct routing_view *view, const struct service_config *config)
{
    struct route_service *service = &view->services[view->service_count++];
    strcpy(service->name, config->name);
    strcpy(service->model, config->model);
    service->kind = config->kind;
    service->homes = *config;
    service->homes.machines =
        memory_duplicate(config->machines, config->machine_count * sizeof *config->machines);
    service->agents = memory_calloc(view->agent_count, sizeof *service->agents);
    for (uint32_t i = 0; i < view->agent_count; i++) {
        const struct route_agent *agent = &view->agents[i];
        bool serves = config->kind == SERVICE_MODEL
                          ? route_agent_find_ready_model(agent, config->model) != NULL
                          : ids_contain(config->machines, config->machine_count, agent->id);
        if (serves)
            service->agents[service->agent_count++] = i;
    }
}

struct routing_view *routing_view_build(const struct node *node, uint32_t subset, const char *zone,
                                        const char *region, uint64_t now)
{
    const struct fleet_config *config = node_config(node);
    if (!config || !node_placement(node))
        return NULL;
    uint32_t count;
    uint64_t *ids = routing_view_links(node, subset, &count);
    ids_sort(ids, count);
    struct routing_view *view = memory_calloc(1, sizeof *view);
    view->revision = config->revision;
    view->agents = memory_calloc(count, sizeof *view->agents);
    for (uint32_t i = 0; i < count; i++)
        add_agent(view, node, ids[i], zone, region, now);
    free(ids);
    view->services = memory_calloc(config->service_count, sizeof *view->services);
    for (uint32_t i = 0; i < config->service_count; i++)
        add_service(view, &config->services[i]);
    view->tenant_count = config->tenant_count;
    view->tenants =
        memory_duplicate(config->tenants, config->tenant_count * sizeof *config->tenants);
    return view;
}

void routing_view_destroy(struct routing_view *view)
{
    if (!view)
        return;
    for (uint32_t i = 0; i < view->service_count; i++) {
        free(view->services[i].agents);
        free(view->services[i].homes.machines);
    }
    free(view->services);
    free(view->agents);
    free(view->tenants);
    free(view);
}

const struct route_service *routing_view_find_service(const struct routing_view *view,
                                                      const char *name)
{
    for (uint32_t i = 0; i < view->service_count; i++)
        if (strcmp(view->services[i].name, name) == 0)
            return &view->services[i];
    return NULL;
}

int64_t routing_view_find_agent(const struct routing_view *view, uint64_t id)
{
    for (uint32_t i = 0; i < view->agent_count; i++)
        if (view->agents[i].id == id)
            return i;
    return -1;
}

const struct ready_model *route_agent_find_ready_model(const struct route_agent *agent,
                                                       const char *model)
{
    for (uint32_t i = 0; i < agent->status.ready_count; i++)
        if (strcmp(agent->status.ready[i].model, model) == 0)
            return &agent->status.ready[i];
    return NULL;
}

void routing_view_format_ticket(const struct routing_view *view,
                                const struct route_service *service, char text[TICKET_SIZE])
{
    struct ticket ticket = {.homes_hash = ticket_homes_hash(&service->homes)};
    text[0] = 0;
    if (service->homes.machine_count > TICKET_MAX_HOMES)
        return;
    ticket.home_count = service->homes.machine_count;
    for (uint32_t i = 0; i < ticket.home_count; i++) {
        int64_t agent = routing_view_find_agent(view, service->homes.machines[i]);
        if (agent < 0)
            continue;
        ticket.homes[i].incarnation = view->agents[agent].status.incarnation;
        ticket.homes[i].epoch = view->agents[agent].status.ticket_epoch;
    }
    ticket_format(&ticket, text);
}

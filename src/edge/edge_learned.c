/* What this gateway learns about each service and each route from its own requests. */
#include "base/memory.h"
#include "core/hash.h"
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>

/* --- services --- */

static struct repeat_budget_settings budget_settings(const struct edge *edge)
{
    return (struct repeat_budget_settings){
        .ratio = strtod(edge->settings->repeat_budget_ratio, NULL),
        .allowance = (uint32_t)edge->settings->repeat_budget_allowance,
        .window_us = edge->settings->repeat_budget_window_s * 1000000,
    };
}

/* A window of another length begins anew: nothing is known of its repeats. */
void edge_update_budgets(struct edge *edge)
{
    struct repeat_budget_settings settings = budget_settings(edge);
    for (uint32_t i = 0; i < edge->service_count; i++) {
        struct repeat_budget *budget = &edge->services[i]->budget;
        if (budget->settings.window_us != settings.window_us)
            repeat_budget_init(budget, &settings, cluster_now());
        budget->settings = settings;
    }
}

struct service_state *edge_service(struct edge *edge, const char *service)
{
    for (uint32_t i = 0; i < edge->service_count; i++)
        if (strcmp(edge->services[i]->service, service) == 0)
            return edge->services[i];
    struct repeat_budget_settings settings = budget_settings(edge);
    struct service_state *state = memory_calloc(1, sizeof *state);
    snprintf(state->service, sizeof state->service, "%s", service);
    repeat_budget_init(&state->budget, &settings, edge->started_at);
    edge->services =
        memory_realloc(edge->services, (edge->service_count + 1) * sizeof *edge->services);
    edge->services[edge->service_count++] = state;
    return state;
}

/* --- routes --- */

/* Key of the index: never 0, which marks a free slot there. */
static uint32_t route_key(const char *route)
{
    return (uint32_t)hash_name(route) | 1;
}

struct route_state *edge_route(struct edge *edge, const char *route)
{
    uint32_t key = route_key(route);
    uint32_t index = address_index_find(&edge->route_index, key);
    if (index != ADDRESS_INDEX_NONE)
        return &edge->routes[index];
    edge->routes = memory_realloc(edge->routes, (edge->route_count + 1) * sizeof *edge->routes);
    edge->routes[edge->route_count] = (struct route_state){.key = key};
    address_index_put(&edge->route_index, key, edge->route_count);
    return &edge->routes[edge->route_count++];
}

void edge_forget_routes(struct edge *edge)
{
    struct address_index configured = {0};
    uint32_t kept = 0;
    for (uint32_t i = 0; i < route_table_route_count(edge->table); i++)
        address_index_put(&configured, route_key(route_table_route_at(edge->table, i)->name), i);
    address_index_clear(&edge->route_index);
    for (uint32_t i = 0; i < edge->route_count; i++) {
        if (address_index_find(&configured, edge->routes[i].key) == ADDRESS_INDEX_NONE)
            continue;
        edge->routes[kept] = edge->routes[i];
        address_index_put(&edge->route_index, edge->routes[kept].key, kept);
        kept++;
    }
    edge->route_count = kept;
    address_index_destroy(&configured);
}

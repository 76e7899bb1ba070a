/* Regions in which a request may be processed: the home regions of its route and of its tenant. */
#include "edge/exchange_internal.h"

#include <string.h>

static void restrict_by_route(struct exchange *exchange, const struct route *route)
{
    residency_restrict(&exchange->residency, exchange->edge->cluster.zones, &route->homes);
}

static void restrict_by_tenant(struct exchange *exchange, const struct tenant_entry *tenant)
{
    residency_restrict(&exchange->residency, exchange->edge->cluster.zones, &tenant->homes);
}

/* A request that waits or is retried outlives configurations. A route or key that the current one
 * lacks restricts nothing further. */
void exchange_update_residency(struct exchange *exchange)
{
    const struct route_table *table = exchange->edge->table;
    if (exchange->residency_config == route_table_version(table))
        return;
    exchange->residency_config = route_table_version(table);
    const struct http_message *request = edge_client_request(exchange->client);
    const struct route *route = route_table_match(table, exchange->head.host, request->text.data,
                                                  http_message_path_length(request));
    uint32_t tenant = route_table_key_owner(table, exchange->head.key);
    if (route)
        restrict_by_route(exchange, route);
    if (tenant != ROUTE_NO_TENANT)
        restrict_by_tenant(exchange, route_table_tenant(table, tenant));
}

static bool has_home(const void *context, uint32_t service)
{
    const struct exchange *exchange = context;
    const char *name = route_table_service(exchange->table, service)->name;
    return backend_pool_has_home(exchange->edge->pool, name, &exchange->residency);
}

uint32_t exchange_choose_service(const struct exchange *exchange)
{
    uint64_t draw = random_next(&exchange->edge->random);
    return route_choose_service(exchange->route, exchange->residency.restricted ? has_home : NULL,
                                exchange, draw);
}

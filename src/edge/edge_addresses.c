/* Tells clients which gateway addresses to use. */
#include "edge/edge_internal.h"

#include <arpa/inet.h>
#include <string.h>
#include <strings.h>

/** Clients use no more addresses than this. */
#define MAX_CALLER_ADDRESSES 64
/** Time for which clients may cache the response; some keep it three times as long. */
#define ADDRESS_MAX_AGE_S 1.0

struct address_list {
    char texts[MAX_CALLER_ADDRESSES][BACKEND_ADDRESS_SIZE];
    const char *pointers[MAX_CALLER_ADDRESSES];
    uint32_t count;
};

static void add_address(struct address_list *list, const struct member_state *member)
{
    struct in_addr ip = {htonl(member->address)};
    char text[INET_ADDRSTRLEN];
    if (list->count == MAX_CALLER_ADDRESSES || !member->traffic_port)
        return;
    inet_ntop(AF_INET, &ip, text, sizeof text);
    snprintf(list->texts[list->count], BACKEND_ADDRESS_SIZE, "%s:%u", text, member->traffic_port);
    list->pointers[list->count] = list->texts[list->count];
    list->count++;
}

/* Where a gateway is, as seen by the client. Nearer places have smaller values. */
enum client_distance {
    IN_CLIENT_ZONE,
    IN_CLIENT_REGION,
    IN_HOME_REGION,
    ELSEWHERE,
    CLIENT_DISTANCE_COUNT
};

static enum client_distance distance_of(const struct edge *edge, const struct member_state *gateway,
                                        const struct address_query *query,
                                        const struct residency *residency)
{
    if (strcmp(gateway->zone, query->zone) == 0)
        return IN_CLIENT_ZONE;
    if (strcmp(gateway->region, query->region) == 0)
        return IN_CLIENT_REGION;
    uint64_t region = zone_map_zone_bit(edge->cluster.zones, gateway->zone);
    return residency_allows(residency, region) ? IN_HOME_REGION : ELSEWHERE;
}

/* Home regions of the routes of a host. The client's tenant is not known yet. */
static struct residency residency_of_host(const struct edge *edge, const char *host)
{
    struct residency residency = {0};
    for (uint32_t i = 0; edge->table && i < route_table_route_count(edge->table); i++) {
        const struct route *route = route_table_route_at(edge->table, i);
        if (strcasecmp(route->host, host) == 0)
            residency_restrict(&residency, edge->cluster.zones, &route->homes);
    }
    return residency;
}

/* Whether this node learns which gateways end. Without messages from others it would suspect them
 * one by one, which takes the longer the larger the fleet is. */
static bool is_informed(const struct edge *edge)
{
    return cluster_silence_us(&edge->cluster) < edge->settings->contact_ms * 1000;
}

static bool accepts_clients(const struct member_state *member)
{
    return member->role == MEMBER_GATEWAY && !member->draining && member_is_healthy(member);
}

bool edge_knows_other_gateway(const struct edge *edge)
{
    const struct membership *members = edge->cluster.membership;
    for (uint32_t i = 0; is_informed(edge) && i < membership_count(members); i++)
        if (accepts_clients(membership_at(members, i)))
            return true;
    return false;
}

/* Adds the gateways at one distance that accept new clients. */
static void collect_addresses(struct edge *edge, const struct address_query *query,
                              const struct residency *residency, enum client_distance distance,
                              struct address_list *list)
{
    struct membership *members = edge->cluster.membership;
    const struct member_state *self = membership_self(members);
    if (!edge_is_stopping(edge) && distance_of(edge, self, query, residency) == distance)
        add_address(list, self);
    for (uint32_t i = 0; is_informed(edge) && i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (accepts_clients(member) && distance_of(edge, member, query, residency) == distance)
            add_address(list, member);
    }
}

static void choose_addresses(struct edge *edge, const struct address_query *query,
                             struct address_list *list)
{
    struct residency residency = {0};
    for (int distance = IN_CLIENT_ZONE; distance < CLIENT_DISTANCE_COUNT && !list->count;
         distance++) {
        if (distance == IN_HOME_REGION)
            residency = residency_of_host(edge, query->host);
        collect_addresses(edge, query, &residency, (enum client_distance)distance, list);
    }
    if (!list->count && stop_plan_names_itself(&edge->stop, cluster_now()))
        add_address(list, membership_self(edge->cluster.membership));
}

void edge_respond_with_addresses(struct edge *edge, struct service_call *call,
                                 const struct service_request *request)
{
    struct address_list list = {.count = 0};
    struct address_query query;
    struct buffer body = {0};
    if (platform_match_endpoint(request->method, request->target, request->target_length) !=
        PLATFORM_ENDPOINT_ADDRESSES) {
        service_reply(call, 404, NULL, NULL, 0);
        return;
    }
    platform_read_address_query(request->target, request->target_length, &query);
    choose_addresses(edge, &query, &list);
    if (!list.count) { /* it stops, and knows no other gateway: clients ask elsewhere, or later */
        service_reply(call, 503, NULL, NULL, 0);
        return;
    }
    platform_write_addresses(list.pointers, list.count, ADDRESS_MAX_AGE_S, &body);
    service_reply(call, 200, "application/json", body.data, body.size);
    buffer_clear(&body);
}

/* Tells clients which gateway addresses to use. */
#include "edge/edge_internal.h"

#include <arpa/inet.h>
#include <string.h>

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

/* Adds gateways that accept new clients; with `same_zone` only those in the zone that `question`
 * names. */
static void collect_addresses(struct edge *edge, const struct address_query *question,
                              bool same_zone, struct address_list *list)
{
    struct membership *members = edge->cluster.membership;
    const struct member_state *self = membership_self(members);
    if (!edge->stopping_since && (!same_zone || strcmp(self->zone, question->zone) == 0))
        add_address(list, self);
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role == MEMBER_GATEWAY && !member->draining && member_is_healthy(member) &&
            (!same_zone || strcmp(member->zone, question->zone) == 0))
            add_address(list, member);
    }
}

static void choose_addresses(struct edge *edge, const struct address_query *question,
                             struct address_list *list)
{
    collect_addresses(edge, question, true, list);
    if (!list->count)
        collect_addresses(edge, question, false, list);
    if (!list->count)
        add_address(list, membership_self(edge->cluster.membership));
}

void edge_respond_with_addresses(struct edge *edge, struct service_call *call,
                                 const struct service_request *request)
{
    struct address_list list = {.count = 0};
    struct address_query question;
    struct buffer body = {0};
    if (platform_match_endpoint(request->method, request->target, request->target_length) !=
        PLATFORM_ENDPOINT_ADDRESSES) {
        service_reply(call, 404, NULL, NULL, 0);
        return;
    }
    platform_read_address_query(request->target, request->target_length, &question);
    choose_addresses(edge, &question, &list);
    platform_write_addresses(list.pointers, list.count, ADDRESS_MAX_AGE_S, &body);
    service_reply(call, 200, "application/json", body.data, body.size);
    buffer_clear(&body);
}

/* Backends whose rate is limited: ranks of this gateway among those that send to one, and
 * announcements of the limits that backends state. Loaders rank for engines, as their view of the
 * gateways is one (core/rate/rate_ranking); for backends without a loader, each gateway ranks
 * itself by what it knows of the members. */
#include "cluster/rate_message.h"
#include "core/hash.h"
#include "edge/edge_internal.h"

#include <arpa/inet.h>

/** Announcements are repeated this often for this long, as datagrams get lost. */
#define ANNOUNCE_INTERVAL_US 1000000
#define ANNOUNCE_PERIOD_US 3000000

/* Gateways that are not alive count, too: others may not know yet that they ended. */
static struct rate_rank rank_by_members(const struct edge *edge, const struct backend *backend)
{
    struct membership *members = edge->cluster.membership;
    uint64_t key = hash_name(backend->listing.id);
    uint64_t own = hash_pair(key, membership_self(members)->address);
    struct rate_rank rank = {1, 1};
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role != MEMBER_GATEWAY)
            continue;
        rank.gateways++;
        rank.rank += hash_pair(key, member->address) > own;
    }
    return rank;
}

static bool has_loader(const struct edge *edge, const struct backend *backend)
{
    uint32_t service = route_table_find_service(edge->table, backend->listing.service);
    return service == ROUTE_NO_SERVICE || route_table_service(edge->table, service)->engine.model;
}

void edge_rank_backends(struct edge *edge, uint64_t now)
{
    if (!edge->table || !edge->cluster.started)
        return;
    for (uint32_t i = 0; i < backend_pool_count(edge->pool); i++) {
        struct backend *backend = backend_pool_at(edge->pool, i);
        bool is_limited = now < backend->cold_until || backend->rate.limited;
        if (!is_limited || has_loader(edge, backend))
            continue;
        struct rate_rank rank = rank_by_members(edge, backend);
        backend_record_rate_rank(backend, &rank, now);
    }
}

/* \return the loader on the backend's machine; NULL: it has none */
static const struct member_state *find_loader(const struct edge *edge,
                                              const struct backend *backend)
{
    struct sockaddr_in address;
    if (!tcp_address_parse(backend->listing.address, &address))
        return NULL;
    const struct member_state *member =
        membership_find(edge->cluster.membership, ntohl(address.sin_addr.s_addr));
    return member && member->role == MEMBER_LOADER ? member : NULL;
}

/* A loader passes it on with its load reports. Without one, all gateways need to know: most of them
 * may not send to the backend, and would never hear that its limit has ended. */
static void send_rate(struct edge *edge, struct backend *backend, uint64_t now)
{
    struct membership *members = edge->cluster.membership;
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__RateStatement rate;
    rate_message_write(&backend->rate, backend_born(backend), now, &rate);
    rate.address = backend->listing.address;
    message.rate = &rate;
    backend->rate_announced_at = now;
    const struct member_state *loader = find_loader(edge, backend);
    if (loader) {
        cluster_send(&edge->cluster, loader->address, &message);
        return;
    }
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role == MEMBER_GATEWAY && member_is_alive(member))
            cluster_send(&edge->cluster, member->address, &message);
    }
}

void edge_announce_rate(struct edge *edge, struct backend *backend, uint64_t now)
{
    backend->rate_changed_at = now;
    send_rate(edge, backend, now);
}

void edge_announce_rates(struct edge *edge, uint64_t now)
{
    for (uint32_t i = 0; i < backend_pool_count(edge->pool); i++) {
        struct backend *backend = backend_pool_at(edge->pool, i);
        bool is_recent =
            backend->rate_changed_at && now < backend->rate_changed_at + ANNOUNCE_PERIOD_US;
        if (is_recent && now >= backend->rate_announced_at + ANNOUNCE_INTERVAL_US)
            send_rate(edge, backend, now);
    }
}

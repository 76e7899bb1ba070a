/* Ranks this gateway among those that send to a cold backend without a loader, by what it knows of
 * the members. Loaders rank for engines, as their view of the gateways is one (core/rate_ranking).
 */
#include "core/hash.h"
#include "edge/edge_internal.h"

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
        if (now >= backend->cold_until || has_loader(edge, backend))
            continue;
        struct rate_rank rank = rank_by_members(edge, backend);
        backend_record_rate_rank(backend, &rank, now);
    }
}

/* Backends whose rate is limited: ranks of this gateway among those that send to one, announcements
 * of the limits that backends state, and claims of probes (core/rate/rate_probe). Loaders rank for
 * engines, as their view of the gateways is one (core/rate/rate_ranking); for backends without a
 * loader, each gateway ranks itself by what it knows of the members. */
#include "base/log.h"
#include "cluster/rate_message.h"
#include "core/hash.h"
#include "edge/edge_internal.h"

#include <arpa/inet.h>
#include <inttypes.h>

/** Announcements are repeated this often for this long, as datagrams get lost. */
#define ANNOUNCE_INTERVAL_US 300000
#define ANNOUNCE_PERIOD_US 1500000

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

static void send_to_gateways(struct edge *edge, const Shuntrun__MemberMessage *message)
{
    struct membership *members = edge->cluster.membership;
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role == MEMBER_GATEWAY && member_is_alive(member))
            cluster_send(&edge->cluster, member->address, message);
    }
}

/* A loader passes it on with its load reports. Without one, all gateways need to know: most of them
 * may not send to the backend, and would never hear that its limit has ended. */
static void send_rate(struct edge *edge, struct backend *backend, uint64_t now)
{
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__RateStatement rate;
    rate_message_write(&backend->rate, backend_born(backend), now, &rate);
    rate.address = backend->listing.address;
    message.rate = &rate;
    backend->rate_announced_at = now;
    const struct member_state *loader = find_loader(edge, backend);
    if (loader)
        cluster_send(&edge->cluster, loader->address, &message);
    else
        send_to_gateways(edge, &message);
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

/* --- claims of probes --- */

/* Of two equal parts, the one with the smallest address counts as the greater one.
 * \return whether this gateway does not reach most of the gateways that it knows of */
static bool is_isolated(struct edge *edge)
{
    struct membership *members = edge->cluster.membership;
    uint32_t smallest = membership_self(members)->address;
    uint32_t gateways = 1, alive = 1;
    bool reaches_smallest = true;
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role != MEMBER_GATEWAY)
            continue;
        gateways++;
        alive += member_is_alive(member);
        if (member->address < smallest) {
            smallest = member->address;
            reaches_smallest = member_is_alive(member);
        }
    }
    return 2 * alive < gateways || (2 * alive == gateways && !reaches_smallest);
}

static void log_claim(const struct backend *backend, const char *outcome, uint64_t age_us)
{
    log_event(LOG_LEVEL_INFO, "backend", "rate-probe",
              "id=%s born=%" PRIu64 " outcome=%s claim_ms=%" PRIu64 " per_s=%.3f isolated=%d",
              backend->listing.id, backend->listing.born, outcome, age_us / 1000,
              backend->rate.per_s, backend->rate_probe.isolated);
}

/* \param to address of one gateway; 0: all */
static void send_claim(struct edge *edge, struct backend *backend, uint32_t to, uint64_t now)
{
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__RateStatement rate;
    rate_message_write(&backend->rate, backend_born(backend), now, &rate);
    rate.address = backend->listing.address;
    rate.claims_probe = true;
    rate.claim_age_ms = (now - backend->rate_probe.claimed_at) / 1000;
    message.rate = &rate;
    if (to)
        cluster_send(&edge->cluster, to, &message);
    else
        send_to_gateways(edge, &message);
}

void edge_claim_rate_probes(struct edge *edge, uint64_t now)
{
    bool isolated = is_isolated(edge);
    for (uint32_t i = 0; i < backend_pool_count(edge->pool); i++) {
        struct backend *backend = backend_pool_at(edge->pool, i);
        if (!backend->rate.limited)
            continue;
        backend->rate_probe.isolated = isolated;
        if (!rate_probe_claim(&backend->rate_probe, &backend->rate, now))
            continue;
        if (backend->rate_probe.claimed_at == now)
            log_claim(backend, "claimed", 0);
        send_claim(edge, backend, 0, now);
    }
}

void edge_hear_probe_claim(struct edge *edge, uint32_t from, const Shuntrun__RateStatement *rate)
{
    struct backend *backend = backend_pool_find_address(edge->pool, rate->address);
    if (!backend || rate->born != backend_born(backend))
        return;
    uint64_t now = cluster_now(), age_us = rate->claim_age_ms * 1000;
    uint64_t key = hash_name(backend->listing.id);
    uint32_t own_address = membership_self(edge->cluster.membership)->address;
    bool has_precedence = hash_pair(key, from) > hash_pair(key, own_address);
    uint64_t claimed_at = now > age_us ? now - age_us : 1;
    switch (rate_probe_hear_claim(&backend->rate_probe, has_precedence, claimed_at)) {
    case RATE_PROBE_WITHDRAWN:
        log_claim(backend, "withdrawn", age_us);
        break;
    case RATE_PROBE_DEFENDED:
        send_claim(edge, backend, from, now);
        break;
    case RATE_PROBE_NO_OWN_CLAIM:
        break;
    }
}

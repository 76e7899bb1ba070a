/* Applies published platform state: configuration, backends, versions of weights, evacuations. */
#include "base/log.h"
#include "base/metrics.h"
#include "core/hash.h"
#include "edge/edge_internal.h"
#include "weights/weight_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Outdated versions get no new requests from this long before their bound. */
#define VERSION_MARGIN_US 1100000
/** What the store lost when it came back from an older copy is written again within this time. */
#define REWRITE_PERIOD_US 15000000

/* Tells the relay from where it reads weights, and how many pieces they have. */
static void update_relay(struct edge *edge)
{
    struct sockaddr_in address;
    for (uint32_t i = 0; i < route_table_service_count(edge->table); i++) {
        const struct service_entry *service = route_table_service(edge->table, i);
        if (service->origin && tcp_address_parse(service->origin, &address))
            weight_relay_set_origin(edge->relay, &address);
        if (service->engine.model)
            weight_relay_expect(edge->relay, service->engine.model, service->engine.pieces);
    }
}

static void unlist_backend(struct edge *edge, const char *id, const struct state_item *item)
{
    uint64_t now = cluster_now();
    struct backend_unlisting drop = {item->learned, item->from_outage, item->undated};
    const struct backend *backend = backend_pool_unlist(edge->pool, id, &drop, now);
    uint64_t until = backend ? backend->unlisted_until : 0;
    log_event(LOG_LEVEL_INFO, "backend", "gone",
              "id=%s revision=%" PRIu64 " age_ms=%" PRIu64 " usable_ms=%" PRIu64
              " from_outage=%d unanswered=%d",
              id, item->revision, (now - item->learned) / 1000,
              until > now ? (until - now) / 1000 : 0, item->from_outage,
              backend ? (int)backend->awaiting_first_byte : -1);
}

/* An invalid entry is treated like a removed one: it may have been valid before, and the backend it
 * described may have left. */
static void reject_backend(struct edge *edge, const char *id, const struct state_item *item,
                           const char *problem)
{
    metric_add(METRIC_ENTRIES_REFUSED, 1);
    log_event(LOG_LEVEL_ERROR, "backend", "refused",
              "id=%s revision=%" PRIu64 " bytes=%zu problem=\"%s\"", id, item->revision, item->size,
              problem);
    unlist_backend(edge, id, item);
}

static bool is_service_configured(const struct edge *edge, const char *service)
{
    return !edge->table || route_table_find_service(edge->table, service) != ROUTE_NO_SERVICE;
}

/* The older copy of the store names a backend that has left since, or an earlier start than the
 * one that is known by its id or at its address. Live backends write their entries again soon. */
static bool is_outdated(const struct edge *edge, const struct state_item *item,
                        const struct backend_listing *listing)
{
    const struct backend *by_id = backend_pool_find(edge->pool, listing->id);
    const struct backend *at_address = backend_pool_find_address(edge->pool, listing->address);
    if (!item->unconfirmed || item->revived)
        return item->revived;
    return (by_id && listing->born < by_id->listing.born) ||
           (at_address && listing->born < at_address->listing.born);
}

static void apply_backend(struct edge *edge, const char *id, const struct state_item *item)
{
    struct backend_listing listing;
    if (item->gone) {
        unlist_backend(edge, id, item);
        return;
    }
    if (platform_parse_backend(id, item->value ? item->value : "", item->size, &listing) !=
        STATUS_OK) {
        reject_backend(edge, id, item, status_message());
        return;
    }
    /* It may use the address of another backend; a later configuration may add its service. */
    if (!is_service_configured(edge, listing.service)) {
        edge->has_unconfigured_services = true;
        reject_backend(edge, id, item, "its service is not configured");
        return;
    }
    if (is_outdated(edge, item, &listing)) {
        log_event(LOG_LEVEL_WARN, "backend", "outdated",
                  "id=%s born=%" PRIu64 " revision=%" PRIu64 " sequence=%" PRIu64 " revived=%d", id,
                  listing.born, item->revision, listing.sequence, item->revived);
        return;
    }
    struct backend *backend =
        backend_pool_list(edge->pool, &listing, cluster_distance(&edge->cluster, listing.zone));
    if (listing.cold_ms)
        backend_record_cold(backend, item->learned + (uint64_t)listing.cold_ms * 1000);
    if (backend->listing.draining)
        backend_record_leaving(backend, item->learned);
    log_event(LOG_LEVEL_INFO, "backend", "listed",
              "id=%s born=%" PRIu64 " service=%s address=%s zone=%s draining=%d weights=%" PRIu64
              " revision=%" PRIu64 " sequence=%" PRIu64 " cold_ms=%u age_ms=%" PRIu64
              " leaves=%d in_flight=%u unanswered=%u",
              id, listing.born, listing.service, listing.address, listing.zone, listing.draining,
              listing.version, item->revision, listing.sequence, listing.cold_ms,
              (cluster_now() - item->learned) / 1000, backend->listing.draining || backend->leaving,
              backend->in_flight, backend->awaiting_first_byte);
}

/* Applies all entries again, as the service of some was not configured before. */
static void reapply_backends(struct edge *edge)
{
    const struct state_cache *state = edge->cluster.state;
    edge->has_unconfigured_services = false;
    for (uint32_t i = 0; i < state_cache_count(state); i++) {
        char id[PLATFORM_TEXT_SIZE];
        const struct state_item *item = state_cache_at(state, i);
        if (!item->gone && platform_item_kind(item->key, id, sizeof id) == ITEM_BACKEND)
            apply_backend(edge, id, item);
    }
}

static void apply_configuration(struct edge *edge, const struct state_item *item)
{
    struct findings findings = {0};
    struct route_table *table = platform_parse_configuration(item->value, item->size, &findings);
    size_t problems = findings.error_count;
    process_log_findings(&findings, table != NULL, item->revision);
    findings_clear(&findings);
    if (!table) {
        metric_add(METRIC_CONFIG_REJECTED, 1);
        return;
    }
    if (route_table_is_older(table, edge->table)) {
        log_event(LOG_LEVEL_WARN, "config", "older",
                  "version=%" PRIu64 " held=%" PRIu64 " revision=%" PRIu64,
                  route_table_version(table), route_table_version(edge->table), item->revision);
        route_table_release(table);
        return;
    }
    log_event(LOG_LEVEL_INFO, "config", "accepted",
              "version=%" PRIu64 " before=%" PRIu64 " revision=%" PRIu64 " routes=%u problems=%zu"
              " age_ms=%" PRIu64,
              route_table_version(table), edge->table ? route_table_version(edge->table) : 0,
              item->revision, route_table_route_count(table), problems,
              (cluster_now() - item->learned) / 1000);
    metric_add(METRIC_CONFIG_ACCEPTED, 1);
    metric_gauge_set(METRIC_CONFIG_REVISION, route_table_version(table));
    metric_gauge_set(METRIC_CONFIG_PROBLEMS, problems);
    route_table_release(edge->table);
    edge->table = table;
    edge_forget_routes(edge);
    update_relay(edge);
    if (edge->has_unconfigured_services)
        reapply_backends(edge);
}

static void apply_version(struct edge *edge, const char *model, const struct state_item *item)
{
    uint64_t now = cluster_now();
    uint64_t version;
    if (platform_parse_version(item->value ? item->value : "", item->size, &version) != STATUS_OK) {
        log_event(LOG_LEVEL_ERROR, "weights", "refused",
                  "model=%s revision=%" PRIu64 " problem=\"%s\"", model, item->revision,
                  status_message());
        return;
    }
    const struct settings *settings = edge->settings;
    uint64_t usable_us = settings->version_bound_ms * 1000;
    if (item->undated)
        usable_us = version_bounds_undated_us(usable_us, settings->contact_ms * 1000);
    uint64_t enforced_at = item->learned + usable_us;
    enforced_at = enforced_at > VERSION_MARGIN_US ? enforced_at - VERSION_MARGIN_US : 0;
    log_event(LOG_LEVEL_INFO, "weights", "version-named",
              "model=%s version=%" PRIu64 " age_ms=%" PRIu64 " undated=%d older_usable_ms=%" PRIu64,
              model, version, (now - item->learned) / 1000, item->undated,
              enforced_at > now ? (enforced_at - now) / 1000 : 0);
    version_bounds_add(&edge->versions, model, version, enforced_at, now);
}

static void set_evacuated(struct edge *edge, const char *zone, const struct state_item *item)
{
    uint32_t changed = backend_pool_set_evacuated(edge->pool, zone, !item->gone);
    metric_gauge_set(METRIC_EVACUATED_ZONES, backend_pool_evacuated_zones(edge->pool));
    log_event(LOG_LEVEL_INFO, "zone", item->gone ? "restored" : "evacuated",
              "zone=%s revision=%" PRIu64 " age_ms=%" PRIu64 " backends=%u", zone, item->revision,
              (cluster_now() - item->learned) / 1000, changed);
}

/* The store may have lost the evacuation, and the operator may write it again soon. */
static bool may_be_written_again(const struct state_item *item, uint64_t now)
{
    return item->gone && item->lost_in_copy && now < item->learned + REWRITE_PERIOD_US;
}

static void apply_evacuation(struct edge *edge, const char *zone, const struct state_item *item)
{
    if (!may_be_written_again(item, cluster_now())) {
        set_evacuated(edge, zone, item);
        return;
    }
    edge->has_kept_evacuations = true;
    log_event(LOG_LEVEL_INFO, "zone", "kept-evacuated", "zone=%s revision=%" PRIu64, zone,
              item->revision);
}

void edge_end_kept_evacuations(struct edge *edge, uint64_t now)
{
    const struct state_cache *state = edge->cluster.state;
    if (!edge->has_kept_evacuations)
        return;
    edge->has_kept_evacuations = false;
    for (uint32_t i = 0; i < state_cache_count(state); i++) {
        char zone[PLATFORM_TEXT_SIZE];
        const struct state_item *item = state_cache_at(state, i);
        if (!item->gone || platform_item_kind(item->key, zone, sizeof zone) != ITEM_EVACUATION)
            continue;
        if (may_be_written_again(item, now))
            edge->has_kept_evacuations = true;
        else
            set_evacuated(edge, zone, item);
    }
}

void edge_apply_item(struct edge *edge, const struct state_item *item)
{
    char name[PLATFORM_TEXT_SIZE];
    switch (platform_item_kind(item->key, name, sizeof name)) {
    case ITEM_CONFIGURATION:
        if (!item->gone)
            apply_configuration(edge, item);
        break;
    case ITEM_BACKEND:
        apply_backend(edge, name, item);
        break;
    case ITEM_VERSION:
        if (!item->gone)
            apply_version(edge, name, item);
        break;
    case ITEM_EVACUATION:
        apply_evacuation(edge, name, item);
        break;
    case ITEM_OTHER:
        break;
    }
    exchange_dispatch_queued(edge);
}

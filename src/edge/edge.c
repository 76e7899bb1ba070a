#include "edge/edge.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/hash.h"
#include "edge/edge_internal.h"
#include "weights/weight_relay.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
#define SERVICE_BODY_LIMIT 4096
#define ADDRESSES_MOST 64
#define ADDRESS_AGE_S 1.0
#define LOAD_FRESH_US 1200000
/** Time before the bound on old versions at which they get no new work. */
#define VERSION_MARGIN_US 1100000
/** The list may drop back ends that live, which then list themselves again; one that leaves without
 * a word serves on for longer than this. */
#define UNLISTED_MOST_US 1400000
/** So long before the bound on leaving a back end gets nothing more: news take 0.2 s from one call
 * to the store to the next, 0.2 s more when it is slow, and requests some time on their way. */
#define DRAIN_MARGIN_US 600000
/** A planned stop: new requests are taken for so long, as clients keep an address for up to three
 * times its age; what is in progress then still has time to finish. */
#define STOP_ACCEPT_US 3200000
#define STOP_MARGIN_US 500000
/** The first news of this life say nothing of when they became true. */
#define FIRST_NEWS_US 1500000

/* --- what the platform publishes
 * ------------------------------------------------------------------- */

struct service_state *edge_service(struct edge *edge, const char *service)
{
    for (uint32_t i = 0; i < edge->service_count; i++)
        if (strcmp(edge->services[i].service, service) == 0)
            return &edge->services[i];
    if (edge->service_count == EDGE_SERVICES_MOST)
        return &edge->services[0];
    struct service_state *state = &edge->services[edge->service_count++];
    struct repeat_budget_settings settings = {
        .ratio = strtod(edge->settings->repeat_budget_ratio, NULL),
        .allowance = (uint32_t)edge->settings->repeat_budget_allowance,
        .window_us = edge->settings->repeat_budget_window_s * 1000000,
    };
    snprintf(state->service, sizeof state->service, "%s", service);
    repeat_budget_init(&state->budget, &settings, cluster_now());
    return state;
}

/* The relay reads weights from where the configuration says. */
static void tell_origin(struct edge *edge)
{
    struct sockaddr_in address;
    for (uint32_t i = 0; i < route_table_service_count(edge->table); i++) {
        const struct service_entry *service = route_table_service(edge->table, i);
        if (service->origin && tcp_address_parse(service->origin, &address))
            weight_relay_set_origin(edge->relay, &address);
    }
}

static void take_configuration(struct edge *edge, const struct state_item *item)
{
    struct findings findings = {0};
    struct route_table *table = platform_parse_configuration(item->value, item->size, &findings);
    process_log_findings(&findings, item->revision);
    findings_clear(&findings);
    if (!table) {
        metric_add(METRIC_CONFIG_REJECTED, 1);
        return;
    }
    log_event(
        LOG_LEVEL_INFO, "config", "accepted",
        "version=%" PRIu64 " before=%" PRIu64 " revision=%" PRIu64 " routes=%u age_ms=%" PRIu64,
        route_table_version(table), edge->table ? route_table_version(edge->table) : 0,
        item->revision, route_table_route_count(table), (cluster_now() - item->learned) / 1000);
    metric_add(METRIC_CONFIG_ACCEPTED, 1);
    metric_gauge_set(METRIC_CONFIG_REVISION, route_table_version(table));
    route_table_release(edge->table);
    edge->table = table;
    tell_origin(edge);
}

static void drop_listing(struct edge *edge, const char *id, const struct state_item *item)
{
    uint64_t now = cluster_now();
    struct backend_drop drop = {item->learned, item->from_outage};
    const struct backend *backend = backend_pool_unlist(edge->pool, id, &drop, now);
    uint64_t until = backend ? backend->unlisted_until : 0;
    log_event(LOG_LEVEL_INFO, "backend", "gone",
              "id=%s revision=%" PRIu64 " age_ms=%" PRIu64 " usable_ms=%" PRIu64 " from_outage=%d",
              id, item->revision, (now - item->learned) / 1000,
              until > now ? (until - now) / 1000 : 0, item->from_outage);
}

static void take_backend(struct edge *edge, const char *id, const struct state_item *item)
{
    struct backend_listing listing;
    if (item->gone) {
        drop_listing(edge, id, item);
        return;
    }
    if (platform_parse_backend(id, item->value, item->size, &listing) != STATUS_OK) {
        log_event(LOG_LEVEL_ERROR, "backend", "refused", "id=%s problem=\"%s\"", id,
                  status_message());
        return;
    }
    log_event(LOG_LEVEL_INFO, "backend", "listed",
              "id=%s service=%s address=%s zone=%s draining=%d weights=%" PRIu64
              " revision=%" PRIu64 " age_ms=%" PRIu64,
              id, listing.service, listing.address, listing.zone, listing.draining, listing.version,
              item->revision, (cluster_now() - item->learned) / 1000);
    backend_pool_list(edge->pool, &listing, cluster_distance(&edge->cluster, listing.zone));
}

static void take_version(struct edge *edge, const char *model, const struct state_item *item)
{
    uint64_t now = cluster_now();
    uint64_t version = platform_parse_version(item->value, item->size);
    uint64_t bound = edge->settings->version_bound_ms * 1000;
    uint64_t named = item->learned;
    if (now < edge->started + FIRST_NEWS_US && now - named < 100000)
        named = now > bound ? now - bound / 2 : 0; /* it may be old news */
    log_event(LOG_LEVEL_INFO, "weights", "version-named",
              "model=%s version=%" PRIu64 " age_ms=%" PRIu64, model, version, (now - named) / 1000);
    version_bounds_name(&edge->versions, model, version, named + bound - VERSION_MARGIN_US);
}

static void on_item(void *context, const struct state_item *item)
{
    struct edge *edge = context;
    char name[PLATFORM_TEXT_SIZE];
    switch (platform_item_kind(item->key, name, sizeof name)) {
    case ITEM_CONFIGURATION:
        if (!item->gone)
            take_configuration(edge, item);
        break;
    case ITEM_BACKEND:
        take_backend(edge, name, item);
        break;
    case ITEM_VERSION:
        if (!item->gone)
            take_version(edge, name, item);
        break;
    case ITEM_OTHER:
        break;
    }
    exchange_dispatch_waiting(edge);
}

static void on_load(void *context, const Shuntrun__EngineLoad *news)
{
    struct edge *edge = context;
    struct backend_load load = {
        .running = news->running,
        .waiting = news->waiting,
        .memory_used = news->memory_used,
        .memory_total = news->memory_total,
        .version = news->version,
        .loading = news->loading,
        .staged = news->staged,
        .link_slow = news->link_slow,
        .pace_permille = news->pace_permille,
    };
    if (backend_pool_report(edge->pool, news->address, &load, cluster_now()) && edge->waiting)
        exchange_dispatch_waiting(edge);
}

/* Other nodes ask for weights. */
static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct edge *edge = context;
    if (!weight_relay_serve(edge->relay, call, request))
        service_reply(call, 404, NULL, NULL, 0);
}

static void on_woke(void *context, uint64_t pause_us)
{
    struct edge *edge = context;
    upstream_close_idle(edge);
}

/* --- addresses and readiness
 * ----------------------------------------------------------------------- */

struct address_list {
    char texts[ADDRESSES_MOST][BACKEND_ADDRESS_SIZE];
    const char *pointers[ADDRESSES_MOST];
    uint32_t count;
};

static void add_address(struct address_list *list, const struct member_state *member)
{
    struct in_addr ip = {htonl(member->address)};
    char text[INET_ADDRSTRLEN];
    if (list->count == ADDRESSES_MOST || !member->traffic_port)
        return;
    inet_ntop(AF_INET, &ip, text, sizeof text);
    snprintf(list->texts[list->count], BACKEND_ADDRESS_SIZE, "%s:%u", text, member->traffic_port);
    list->pointers[list->count] = list->texts[list->count];
    list->count++;
}

/* Gateways that take new clients, as far as `place` wants them. */
static void collect_addresses(struct edge *edge, const struct address_question *place,
                              bool same_zone, struct address_list *list)
{
    struct membership *members = edge->cluster.membership;
    const struct member_state *self = membership_self(members);
    if (!edge->stopping_since && (!same_zone || strcmp(self->zone, place->zone) == 0))
        add_address(list, self);
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role == MEMBER_GATEWAY && !member->draining && member_is_trusted(member) &&
            (!same_zone || strcmp(member->zone, place->zone) == 0))
            add_address(list, member);
    }
}

static void choose_addresses(struct edge *edge, const struct address_question *place,
                             struct address_list *list)
{
    collect_addresses(edge, place, true, list);
    if (!list->count)
        collect_addresses(edge, place, false, list);
    if (!list->count)
        add_address(list, membership_self(edge->cluster.membership));
}

static void on_directory_call(void *context, struct service_call *call,
                              const struct service_request *request)
{
    struct edge *edge = context;
    struct address_list list = {.count = 0};
    struct address_question question;
    struct buffer body = {0};
    if (platform_call_of(request->method, request->target, request->target_length) !=
        PLATFORM_CALL_ADDRESSES) {
        service_reply(call, 404, NULL, NULL, 0);
        return;
    }
    platform_read_address_question(request->target, request->target_length, &question);
    choose_addresses(edge, &question, &list);
    platform_write_addresses(list.pointers, list.count, ADDRESS_AGE_S, &body);
    service_reply(call, 200, "application/json", body.data, body.size);
    buffer_clear(&body);
}

static bool is_ready(const struct edge *edge)
{
    return edge->table && !edge->stopping_since;
}

static void on_ready_call(void *context, struct service_call *call,
                          const struct service_request *request)
{
    struct edge *edge = context;
    bool known = platform_call_of(request->method, request->target, request->target_length) ==
                 PLATFORM_CALL_READY;
    service_reply(call, !known ? 404 : is_ready(edge) ? 200 : 503, NULL, NULL, 0);
}

/* --- time and stop
 * ----------------------------------------------------------------------------------- */

static void count_gateways(struct edge *edge)
{
    edge->gateways = cluster_gateways(&edge->cluster);
    uint32_t known = 1;
    for (uint32_t i = 0; i < membership_count(edge->cluster.membership); i++)
        known += membership_at(edge->cluster.membership, i)->role == MEMBER_GATEWAY;
    if (known > edge->gateways_most)
        edge->gateways_most = known;
}

/* Take no more: a request that comes now might not be finished in time. */
static void stop_accepting(struct edge *edge)
{
    if (edge->closed)
        return;
    edge->closed = true;
    log_event(LOG_LEVEL_INFO, "process", "closed-to-clients", "active=%u", edge->active);
    uv_close((uv_handle_t *)&edge->listener, NULL);
    edge_client_close_idle(edge);
}

static void consider_end(struct edge *edge, uint64_t now)
{
    uint64_t grace = edge->settings->stop_grace_s * 1000000;
    uint64_t since = now - edge->stopping_since;
    if (since < STOP_ACCEPT_US)
        return;
    stop_accepting(edge);
    if (edge->active == 0 || since + STOP_MARGIN_US > grace) {
        log_event(LOG_LEVEL_INFO, "process", "drained", "active=%u took_ms=%" PRIu64, edge->active,
                  since / 1000);
        uv_stop(edge->loop);
    }
}

static void on_tick(uv_timer_t *timer)
{
    struct edge *edge = timer->data;
    uint64_t now = cluster_now();
    count_gateways(edge);
    weight_relay_tick(edge->relay, now);
    backend_pool_settle(edge->pool, cluster_store_is_sound(&edge->cluster), now);
    upstream_sweep(edge, now);
    edge_client_sweep(edge, now);
    exchange_dispatch_waiting(edge);
    metric_gauge_set(METRIC_ACTIVE_REQUESTS, edge->active);
    metric_gauge_set(METRIC_BACKENDS, backend_pool_count(edge->pool));
    metric_gauge_set(METRIC_STATE_REVISION, state_cache_revision(edge->cluster.state));
    metric_gauge_set(METRIC_WAITING_REQUESTS, exchange_waiting_count(edge));
    if (edge->stopping_since)
        consider_end(edge, now);
}

static void on_stop(struct process *process)
{
    struct edge *edge = process->context;
    if (edge->stopping_since)
        return;
    edge->stopping_since = cluster_now();
    cluster_tell_draining(&edge->cluster);
}

/* --- start
 * ------------------------------------------------------------------------------------------- */

static struct http_service *open_service(struct edge *edge, const char *text,
                                         service_handler *handler)
{
    struct sockaddr_in address;
    if (!tcp_address_parse(text, &address)) {
        log_event(LOG_LEVEL_ERROR, "edge", "bad-address", "address=%s", text);
        return NULL;
    }
    return http_service_start(edge->loop, &address, SERVICE_BODY_LIMIT, handler, edge);
}

static int open_listeners(struct edge *edge)
{
    struct sockaddr_in address;
    if (!tcp_address_parse(edge->settings->client_address, &address)) {
        log_event(LOG_LEVEL_ERROR, "edge", "bad-address", "address=%s",
                  edge->settings->client_address);
        return 2;
    }
    edge->directory = open_service(edge, edge->settings->directory_address, on_directory_call);
    edge->readiness = open_service(edge, edge->settings->ready_address, on_ready_call);
    int error = tcp_listen(edge->loop, &edge->listener, &address, edge_client_accept, edge);
    if (error || !edge->directory || !edge->readiness) {
        log_event(LOG_LEVEL_ERROR, "edge", "listen-failed", "address=%s error=\"%s\"",
                  edge->settings->client_address, error ? uv_strerror(error) : status_message());
        return 1;
    }
    return 0;
}

static uint64_t unlisted_us(const struct settings *settings)
{
    uint64_t bound = settings->drain_bound_ms * 1000 - DRAIN_MARGIN_US;
    return bound < UNLISTED_MOST_US ? bound : UNLISTED_MOST_US;
}

static int edge_run(struct edge *edge, const struct settings *settings)
{
    struct cluster_callbacks callbacks = {.context = edge,
                                          .item_changed = on_item,
                                          .load_received = on_load,
                                          .call_received = on_call,
                                          .woke = on_woke};
    struct backend_pool_settings pool = {.queue_per_engine = (uint32_t)settings->engine_queue,
                                         .tokens_per_engine =
                                             (uint32_t)settings->engine_unread_tokens,
                                         .load_fresh_us = LOAD_FRESH_US,
                                         .unlisted_us = unlisted_us(settings),
                                         .created = cluster_now()};
    edge->settings = settings;
    edge->loop = uv_default_loop();
    edge->started = cluster_now();
    edge->random.seed = hash_name(settings->name) ^ edge->started;
    edge->pool = backend_pool_create(&pool, edge->random.seed + 1);
    edge->relay = weight_relay_create(&edge->cluster);
    edge->gateways = 1;
    edge->gateways_most = (uint32_t)settings->least_gateways;
    int result = open_listeners(edge);
    if (result)
        return result;
    if (cluster_open(&edge->cluster, edge->loop, settings, MEMBER_GATEWAY, &callbacks))
        return 1;
    uv_timer_init(edge->loop, &edge->timer);
    edge->timer.data = edge;
    uv_timer_start(&edge->timer, on_tick, TICK_MS, TICK_MS);
    return process_run(&edge->process, edge->loop, on_stop, edge);
}

int edge_main(int argc, char **argv)
{
    struct edge *edge = memory_zero(1, sizeof *edge);
    struct settings settings;
    int result = process_open(&edge->process, SETTING_ROLE_EDGE, argc, argv, &settings);
    if (result == 0)
        result = edge_run(edge, &settings);
    settings_clear(&settings);
    return result;
}

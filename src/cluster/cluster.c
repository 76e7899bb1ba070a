#include "cluster/cluster.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/cluster_internal.h"
#include "cluster/crash_sync.h"
#include "cluster/update_push.h"
#include "cluster/state_sync.h"
#include "cluster/store_reader.h"
#include "core/hash.h"
#include "platform/platform.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_MS 100
/** Tick interval until this node knows the state and most of the members. */
#define STARTUP_TICK_INTERVAL_MS 25
/** Interval for logging member changes and dropping expired entries. */
#define MAINTENANCE_INTERVAL_US 500000
#define MAX_CALL_BODY_BYTES 65536
#define TOMBSTONE_RETENTION_US 60000000

uint64_t cluster_now(void)
{
    return clock_monotonic_us();
}

struct sockaddr_in cluster_address(const struct cluster *cluster, uint32_t address)
{
    struct sockaddr_in result = {
        .sin_family = AF_INET, .sin_port = htons(cluster->port), .sin_addr.s_addr = htonl(address)};
    return result;
}

bool cluster_reads_store(const struct cluster *cluster)
{
    return cluster->role.duty != READER_INACTIVE;
}

bool cluster_store_is_healthy(const struct cluster *cluster)
{
    /* A node that the store refuses receives the state from other nodes: the health that these
     * report counts, not the failures of the own calls. */
    return reader_role_any_reader_is_healthy(cluster->membership);
}

void cluster_update_self(struct cluster *cluster)
{
    struct member_state *self = membership_self(cluster->membership);
    /* Peers must not take a partial copy for the full state. */
    self->state_revision = cluster->holds_full_state ? state_cache_revision(cluster->state) : 0;
    self->operator_revision = cluster->operator_revision;
    self->store_sound = cluster->reader && store_reader_is_healthy(cluster->reader);
}

static void on_membership_send(void *context, uint32_t address,
                               const Shuntrun__MemberMessage *message)
{
    struct cluster *cluster = context;
    Shuntrun__MemberMessage with_digest = *message;
    with_digest.suspects_digest = crash_sync_digest(cluster->crashes);
    cluster_send(cluster, address, &with_digest);
}

void cluster_propagate_changes(struct cluster *cluster)
{
    cluster_update_self(cluster);
    update_push(cluster);
}

static void announce_to_gateways(struct cluster *cluster)
{
    for (uint32_t i = 0; i < membership_count(cluster->membership); i++) {
        const struct member_state *member = membership_at(cluster->membership, i);
        if (member_is_alive(member) && member->role == MEMBER_GATEWAY)
            membership_send_update(cluster->membership, member->address);
    }
}

void cluster_announce_draining(struct cluster *cluster)
{
    membership_self(cluster->membership)->draining = true;
    membership_self_changed(cluster->membership);
    announce_to_gateways(cluster);
}

static void update_reader_role(struct cluster *cluster, uint64_t now)
{
    if (!cluster->reader)
        return;
    reader_role_update(&cluster->role, cluster->membership, now);
    store_reader_set_duty(cluster->reader, cluster->role.duty);
    cluster_update_self(cluster);
    /* The own health is also updated before each message, so only the reader role knows which
     * value the others were sent. */
    if (reader_role_must_announce(&cluster->role,
                                  membership_self(cluster->membership)->store_sound))
        announce_to_gateways(cluster);
}

static void log_member_changes(struct cluster *cluster)
{
    uint32_t alive = membership_alive_count(cluster->membership, MEMBER_GATEWAY) +
                     membership_alive_count(cluster->membership, MEMBER_LOADER);
    metric_gauge_set(METRIC_LIVE_PEERS, alive);
    if (alive != cluster->last_alive_count)
        log_event(LOG_LEVEL_INFO, "cluster", "members", "alive=%u before=%u known=%u", alive,
                  cluster->last_alive_count, membership_count(cluster->membership));
    cluster->last_alive_count = alive;
}

/* Record the times at which the state and the members became known, to explain a slow start. */
static void check_startup(struct cluster *cluster, uint64_t now)
{
    bool has_state = cluster->operator_revision != 0;
    bool is_converged = membership_is_converged(cluster->membership);
    if (cluster->started)
        return;
    uint64_t took_ms = (now - cluster->opened_at) / 1000;
    if (has_state && !cluster->has_operator_state) {
        cluster->has_operator_state = true;
        metric_gauge_set(METRIC_STATE_MS, took_ms);
    }
    if (!has_state || !is_converged)
        return;
    cluster->started = true;
    metric_gauge_set(METRIC_SETTLED_MS, took_ms);
    log_event(LOG_LEVEL_INFO, "cluster", "settled", "members=%u took_ms=%llu",
              membership_count(cluster->membership) + 1, (unsigned long long)took_ms);
}

/* Runs in each loop iteration before it waits for events, so that a pause is detected in the
 * iteration in which the process runs again. */
static void on_clock_check(uv_prepare_t *prepare)
{
    struct cluster *cluster = prepare->data;
    struct wake wake =
        wake_watch_check(&cluster->wake_watch, clock_monotonic_us(), clock_timer_us());
    if (wake.kind == WAKE_NONE)
        return;
    metric_add(METRIC_WAKES, 1);
    log_event(LOG_LEVEL_WARN, "cluster", "woke", "kind=%s pause_ms=%llu", wake_kind_name(wake.kind),
              (unsigned long long)(wake.pause_us / 1000));
    cluster->callbacks.resumed_after_pause(cluster->callbacks.context, &wake);
    if (cluster->reader && wake.pause_us > WAKE_LONG_PAUSE_US)
        store_reader_reconnect(cluster->reader);
}

static void on_tick(uv_timer_t *timer)
{
    struct cluster *cluster = timer->data;
    uint64_t now = cluster_now();
    update_reader_role(cluster, now);
    cluster_update_self(cluster);
    membership_tick(cluster->membership, now);
    if (now >= cluster->next_maintenance_at) {
        cluster->next_maintenance_at = now + MAINTENANCE_INTERVAL_US;
        log_member_changes(cluster);
        state_cache_trim(cluster->state,
                         now > TOMBSTONE_RETENTION_US ? now - TOMBSTONE_RETENTION_US : 0);
        crash_sync_trim(cluster->crashes, now);
    }
    state_sync_tick(cluster->sync, now);
    check_startup(cluster, now);
    uv_timer_start(timer, on_tick, cluster->started ? TICK_INTERVAL_MS : STARTUP_TICK_INTERVAL_MS,
                   0);
}

static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct cluster *cluster = context;
    if (state_sync_serve(cluster->sync, call, request))
        return;
    if (cluster->callbacks.call_received)
        cluster->callbacks.call_received(cluster->callbacks.context, call, request);
    else
        service_reply(call, 404, NULL, NULL, 0);
}

static void on_item(void *context, const struct state_item *item)
{
    struct cluster *cluster = context;
    char name[PLATFORM_TEXT_SIZE];
    enum item_kind kind = platform_item_kind(item->key, name, sizeof name);
    if (kind != ITEM_BACKEND && kind != ITEM_OTHER && item->revision > cluster->operator_revision)
        cluster->operator_revision = item->revision;
    if (item->kept) /* only its position has changed */
        return;
    if (cluster->started)
        metric_observe(METRIC_STATE_AGE, cluster_now() - item->learned);
    cluster->callbacks.item_changed(cluster->callbacks.context, item);
}

static void add_seeds(struct cluster *cluster)
{
    char *seeds = memory_strdup(cluster->settings->seeds);
    char *rest = seeds;
    for (char *seed = strsep(&rest, ","); seed; seed = strsep(&rest, ",")) {
        struct sockaddr_in address;
        if (tcp_address_parse(seed, &address))
            membership_add_seed(cluster->membership, ntohl(address.sin_addr.s_addr));
        else if (seed[0])
            log_event(LOG_LEVEL_ERROR, "cluster", "bad-seed", "seed=\"%s\"", seed);
    }
    free(seeds);
}

void cluster_reload_seeds(struct cluster *cluster)
{
    uint32_t known;
    membership_clear_seeds(cluster->membership);
    add_seeds(cluster);
    uint32_t count = membership_count_seeds(cluster->membership, &known);
    log_event(LOG_LEVEL_INFO, "cluster", "seeds", "count=%u known=%u", count, known);
}

static void init_self(struct member_state *self, const struct settings *settings,
                      enum member_role role)
{
    struct in_addr ip = {0};
    inet_pton(AF_INET, settings->address, &ip);
    self->address = ntohl(ip.s_addr);
    self->incarnation = clock_incarnation();
    self->role = role;
    snprintf(self->zone, sizeof self->zone, "%s", settings->zone);
    snprintf(self->region, sizeof self->region, "%s", settings->region);
    self->link_mbit = (uint32_t)(strtod(settings->link_mbit, NULL) + 0.5);
    struct sockaddr_in traffic;
    if (role == MEMBER_GATEWAY && tcp_address_parse(settings->client_address, &traffic))
        self->traffic_port = ntohs(traffic.sin_port);
}

static int open_sockets(struct cluster *cluster, uint32_t own)
{
    static const struct http_service_limits limits = {
        MAX_CALL_BODY_BYTES, HTTP_SERVICE_IDLE_TIMEOUT_MS, HTTP_SERVICE_REQUEST_TIMEOUT_MS};
    struct sockaddr_in address = cluster_address(cluster, own);
    cluster->service = http_service_start(cluster->loop, &address, &limits, on_call, cluster);
    if (!cluster->service) {
        log_event(LOG_LEVEL_ERROR, "cluster", "listen-failed", "port=%u error=\"%s\"",
                  cluster->port, status_message());
        return 1;
    }
    int error = cluster_receive_start(cluster, &address);
    if (error)
        log_event(LOG_LEVEL_ERROR, "cluster", "listen-failed", "port=%u error=\"%s\"",
                  cluster->port, uv_strerror(error));
    return error != 0;
}

int cluster_open(struct cluster *cluster, uv_loop_t *loop, const struct settings *settings,
                 enum member_role role, const struct cluster_callbacks *callbacks)
{
    struct member_state self = {0};
    memset(cluster, 0, sizeof *cluster);
    cluster->loop = loop;
    cluster->settings = settings;
    cluster->callbacks = *callbacks;
    cluster->port = (uint16_t)settings->peer_port;
    cluster->zones = zone_map_create(settings->zones);
    init_self(&self, settings, role);
    struct membership_driver driver = {cluster, on_membership_send};
    cluster->random.seed = hash_name(settings->name) ^ self.incarnation;
    cluster->membership =
        membership_create(&membership_default_settings, &self, cluster->random.seed + 1, &driver);
    add_seeds(cluster);
    struct state_cache_listener listener = {cluster, on_item};
    cluster->state = state_cache_create(&listener);
    cluster->sync = state_sync_create(cluster);
    cluster->crashes = crash_sync_create(cluster);
    if (open_sockets(cluster, self.address))
        return 1;
    cluster->holds_full_state = role == MEMBER_GATEWAY;
    if (cluster->holds_full_state)
        cluster->reader = store_reader_create(cluster);
    cluster->opened_at = cluster_now();
    uv_prepare_init(loop, &cluster->clock_check);
    cluster->clock_check.data = cluster;
    uv_prepare_start(&cluster->clock_check, on_clock_check);
    uv_timer_init(loop, &cluster->timer);
    cluster->timer.data = cluster;
    uv_timer_start(&cluster->timer, on_tick, STARTUP_TICK_INTERVAL_MS, 0);
    return 0;
}

uint32_t cluster_gateway_count(const struct cluster *cluster)
{
    uint32_t alive = membership_alive_count(cluster->membership, MEMBER_GATEWAY);
    return alive ? alive : 1;
}

uint16_t cluster_distance(const struct cluster *cluster, const char *zone)
{
    if (strcmp(zone, cluster->settings->zone) == 0)
        return 0;
    return strcmp(zone_map_region(cluster->zones, zone), cluster->settings->region) == 0 ? 1 : 2;
}

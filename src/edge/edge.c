#include "edge/edge.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/crash_page.h"
#include "core/retry/attempt_rule.h"
#include "core/hash.h"
#include "core/store/store_position.h"
#include "edge/backend_feedback.h"
#include "edge/crash_watch.h"
#include "edge/edge_internal.h"
#include "edge/liveness_check.h"
#include "weights/weight_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Interval of the tick, which does what is due by time alone. */
#define TICK_MS 100
/** The same until this node knows most of the members: its weight relay waits for that. */
#define STARTUP_TICK_MS 25
/** Requests for addresses and readiness need no body. */
#define SERVICE_BODY_LIMIT 4096
/** Three load reports to other regions, which a loader sends every 0.4 s, plus some delay. */
#define LOAD_MAX_AGE_US 1500000
/** Two load reports to the loader's own region, which it sends at least three times a second, plus
 * some delay: after that its machine or the network to it has stalled. */
#define NEAR_LOAD_MAX_AGE_US 750000
/** The list may drop live backends, which then register again. A backend that leaves unannounced
 * keeps serving for longer than this. */
#define UNLISTED_MAX_US 1400000
/** A draining backend gets no more requests from this long before its drain bound: an update takes
 * 0.2 s from one poll of the store to the next, 0.2 s more when the store is slow, and requests
 * some time in transit. */
#define DRAIN_MARGIN_US 600000
/** Part of the machine's memory that buffers may hold; sockets of the kernel, connections, weights
 * and the state need the rest. */
#define BUFFER_MEMORY_PERCENT 40
/** Orders gateways independently of their places. */
#define GATEWAY_RANK_KEY 0x6761746577617973ULL

static void on_item(void *context, const struct state_item *item)
{
    edge_apply_item(context, item);
}

static void on_load(void *context, const Shuntrun__EngineLoad *report)
{
    struct edge *edge = context;
    struct backend_load load = {
        .running = report->running,
        .born = report->born,
        .waiting = report->waiting,
        .memory_used = report->memory_permille,
        .memory_total = 1000,
        .version = report->version,
        .loading = report->loading,
        .staged = report->staged,
        .link_slow = report->link_slow,
        .pace_permille = report->pace_permille,
        .near_gateways = report->near_gateways,
        .far_gateways = report->far_gateways,
        .turn_ms = report->turn_ms,
        .leaving = report->leaving,
        .rate_rank = {report->rate_rank, report->ranked_gateways},
    };
    if (backend_feedback_from_load(edge, report->address, &load, report->rate) && edge->queue)
        exchange_dispatch_queued(edge);
}

static void on_rate(void *context, uint32_t from, const Shuntrun__RateStatement *rate)
{
    struct edge *edge = context;
    backend_feedback_from_rate(edge, rate);
    if (rate->claims_probe)
        edge_hear_probe_claim(edge, from, rate);
    exchange_dispatch_queued(edge);
}

/* Serves model weights to other nodes. */
static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct edge *edge = context;
    if (!weight_relay_serve(edge->relay, call, request))
        service_reply(call, 404, NULL, NULL, 0);
}

/* Timers of the event loop do not count time while the machine is suspended, so each request
 * rechecks its deadline. */
static void on_resumed_after_pause(void *context, const struct wake *wake)
{
    struct edge *edge = context;
    if (wake->pause_us > WAKE_LONG_PAUSE_US)
        upstream_close_idle(edge);
    edge_client_recheck_deadlines(edge);
}

static void on_suspects_changed(void *context)
{
    edge_client_fail_blocked(context);
    exchange_dispatch_queued(context);
}

/* --- Addresses and readiness --- */

static void on_directory_request(void *context, struct service_call *call,
                                 const struct service_request *request)
{
    edge_respond_with_addresses(context, call, request);
}

static bool is_ready(const struct edge *edge)
{
    return edge->table && !edge_is_stopping(edge);
}

static void on_readiness_request(void *context, struct service_call *call,
                                 const struct service_request *request)
{
    struct edge *edge = context;
    bool known = platform_match_endpoint(request->method, request->target,
                                         request->target_length) == PLATFORM_ENDPOINT_READY;
    service_reply(call, !known ? 404 : is_ready(edge) ? 200 : 503, NULL, NULL, 0);
}

/* --- Tick --- */

/* Gateways that are not alive count, too: others may not know yet that they ended. */
static void count_gateways(struct edge *edge)
{
    struct membership *members = edge->cluster.membership;
    uint64_t own = hash_pair(GATEWAY_RANK_KEY, membership_self(members)->address);
    uint32_t known = 1, rank = 0;
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role != MEMBER_GATEWAY)
            continue;
        known++;
        rank += hash_pair(GATEWAY_RANK_KEY, member->address) < own;
    }
    uint32_t known_seeds;
    struct budget_fleet *fleet = &edge->budget_fleet;
    edge->gateways = cluster_gateway_count(&edge->cluster);
    fleet->gateways = known > fleet->gateways ? known : fleet->gateways;
    fleet->seeds = membership_count_seeds(members, &known_seeds);
    fleet->known_seeds = known_seeds > fleet->known_seeds ? known_seeds : fleet->known_seeds;
    edge->budget_share.gateways = edge->cluster.started ? budget_fleet_gateways(fleet) : 0;
    edge->budget_share.rank = rank;
}

/* Closes connections that were idle or without a response for too long. After a pause of this
 * process, data that arrived meanwhile is not read yet, so connections that seem silent are kept
 * until the next tick. */
static void close_expired_connections(struct edge *edge, uint64_t now)
{
    bool paused = edge->last_tick && now > edge->last_tick + TICK_MS * 1000 + PROCESS_STALL_US;
    edge->last_tick = now;
    if (paused)
        return;
    upstream_close_expired(edge, now);
    edge_client_close_expired(edge, now);
    edge_client_drop_slow(edge, now);
}

static void on_tick(uv_timer_t *timer)
{
    struct edge *edge = timer->data;
    uint64_t now = cluster_now();
    count_gateways(edge);
    weight_relay_tick(edge->relay, now);
    crash_watch_tick(edge, now);
    liveness_check_tick(edge, now);
    edge_client_fail_blocked(edge);
    backend_pool_expire(edge->pool, cluster_store_is_healthy(&edge->cluster), now);
    if (!edge_awaits_configuration(edge))
        edge_client_release_held(edge);
    edge_end_kept_evacuations(edge, now);
    edge_rank_backends(edge, now);
    edge_announce_rates(edge, now);
    edge_claim_rate_probes(edge, now);
    close_expired_connections(edge, now);
    exchange_dispatch_queued(edge);
    metric_gauge_set(METRIC_ACTIVE_REQUESTS, edge->active);
    metric_gauge_set(METRIC_BACKENDS, backend_pool_count(edge->pool));
    metric_gauge_set(METRIC_STATE_REVISION,
                     store_position_revision(state_cache_revision(edge->cluster.state)));
    metric_gauge_set(METRIC_WAITING_REQUESTS, exchange_queue_length(edge));
    if (edge_is_stopping(edge))
        edge_stop_tick(edge, now);
    uv_timer_set_repeat(timer, edge->cluster.started ? TICK_MS : STARTUP_TICK_MS);
}

static void on_stop(struct process *process)
{
    edge_stop_begin(process->context);
}

/* --- Startup --- */

static struct http_service *open_service(struct edge *edge, const char *text,
                                         service_handler *handler)
{
    static const struct http_service_limits limits = {
        SERVICE_BODY_LIMIT, HTTP_SERVICE_IDLE_TIMEOUT_MS, HTTP_SERVICE_REQUEST_TIMEOUT_MS};
    struct sockaddr_in address;
    if (!tcp_address_parse(text, &address)) {
        log_event(LOG_LEVEL_ERROR, "edge", "bad-address", "address=%s", text);
        return NULL;
    }
    return http_service_start(edge->loop, &address, &limits, handler, edge);
}

static int open_listeners(struct edge *edge)
{
    struct sockaddr_in address;
    if (!tcp_address_parse(edge->settings->client_address, &address)) {
        log_event(LOG_LEVEL_ERROR, "edge", "bad-address", "address=%s",
                  edge->settings->client_address);
        return 2;
    }
    edge->directory = open_service(edge, edge->settings->directory_address, on_directory_request);
    edge->readiness = open_service(edge, edge->settings->ready_address, on_readiness_request);
    int error = tcp_listen(edge->loop, &edge->listener, &address, edge_client_accept, edge);
    if (error || !edge->directory || !edge->readiness) {
        log_event(LOG_LEVEL_ERROR, "edge", "listen-failed", "address=%s error=\"%s\"",
                  edge->settings->client_address, error ? uv_strerror(error) : status_message());
        return 1;
    }
    return 0;
}

/* A leaving backend serves for the drain bound from the time the list shows it, which is some time
 * before this gateway does. */
static uint64_t drain_usable_us(const struct settings *settings)
{
    return settings->drain_bound_ms * 1000 - DRAIN_MARGIN_US;
}

static uint64_t unlisted_usable_us(const struct settings *settings)
{
    uint64_t bound = drain_usable_us(settings);
    return bound < UNLISTED_MAX_US ? bound : UNLISTED_MAX_US;
}

static struct backend_pool_settings pool_settings(const struct edge *edge)
{
    const struct settings *settings = edge->settings;
    return (struct backend_pool_settings){
        .queue_per_engine = (uint32_t)settings->engine_queue,
        .tokens_per_engine = (uint32_t)settings->engine_unread_tokens,
        .max_load_age_us = LOAD_MAX_AGE_US,
        .max_near_load_age_us = NEAR_LOAD_MAX_AGE_US,
        .unlisted_grace_us = unlisted_usable_us(settings),
        .min_drain_us = drain_usable_us(settings),
        .created = edge->started_at,
        .zones = edge->cluster.zones,
    };
}

static void derive_limits(struct edge *edge)
{
    const struct settings *settings = edge->settings;
    edge->cold_bound = (struct rate_limit){.over = strtod(settings->cold_over, NULL),
                                           .slack = strtod(settings->cold_slack, NULL),
                                           .window_us = COLD_WINDOW_US};
    edge->buffer_limit = (size_t)(settings->memory_mb * 1000000 / 100 * BUFFER_MEMORY_PERCENT);
}

static void on_reloaded(struct process *process)
{
    struct edge *edge = process->context;
    struct backend_pool_settings pool = pool_settings(edge);
    cluster_reload_seeds(&edge->cluster);
    derive_limits(edge);
    backend_pool_configure(edge->pool, &pool);
    edge_update_budgets(edge);
}

static bool is_alone(const struct process *process)
{
    const struct edge *edge = process->context;
    return membership_is_alone(edge->cluster.membership);
}

static int edge_run(struct edge *edge, const struct settings *settings)
{
    struct cluster_callbacks callbacks = {.context = edge,
                                          .item_changed = on_item,
                                          .load_received = on_load,
                                          .rate_received = on_rate,
                                          .call_received = on_call,
                                          .suspects_changed = on_suspects_changed,
                                          .resumed_after_pause = on_resumed_after_pause};
    edge->settings = settings;
    edge->loop = uv_default_loop();
    edge->started_at = cluster_now();
    edge->random.seed = hash_name(settings->name) ^ edge->started_at;
    edge->relay = weight_relay_create(&edge->cluster);
    edge->gateways = 1;
    edge->budget_fleet.least_gateways = (uint32_t)settings->least_gateways;
    derive_limits(edge);
    int result = open_listeners(edge);
    if (result)
        return result;
    if (cluster_open(&edge->cluster, edge->loop, settings, MEMBER_GATEWAY, &callbacks))
        return 1;
    struct backend_pool_settings pool = pool_settings(edge);
    edge->pool = backend_pool_create(&pool, edge->random.seed + 1);
    uv_timer_init(edge->loop, &edge->timer);
    edge->timer.data = edge;
    uv_timer_start(&edge->timer, on_tick, TICK_MS, TICK_MS);
    edge->process.page = crash_page_handle;
    edge->process.page_context = edge->cluster.crashes;
    edge->process.reloaded = on_reloaded;
    edge->process.is_alone = is_alone;
    return process_run(&edge->process, edge->loop, on_stop, edge);
}

int edge_main(int argc, char **argv)
{
    struct edge *edge = memory_calloc(1, sizeof *edge);
    struct settings settings;
    int result = process_open(&edge->process, SETTING_ROLE_EDGE, argc, argv, &settings);
    if (result == 0)
        result = edge_run(edge, &settings);
    settings_clear(&settings);
    return result;
}

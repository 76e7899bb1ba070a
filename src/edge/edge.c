#include "edge/edge.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/crash_page.h"
#include "core/attempt_rule.h"
#include "core/hash.h"
#include "edge/backend_states.h"
#include "edge/crash_watch.h"
#include "edge/edge_internal.h"
#include "weights/weight_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Time between looks at what is due by time alone. */
#define TICK_MS 100
/** The same while this node does not know most of the members: its relay waits for that. */
#define FIRST_TICK_MS 25
/** Questions for addresses and readiness have no body worth reading. */
#define SERVICE_BODY_LIMIT 4096
/** Three reports of a loader to other regions, which it sends each 0.4 s, and some delay. */
#define LOAD_FRESH_US 1500000
/** Two reports of a loader to its own region, which it sends three times a second at least, and
 * some delay: what stands still after that is its machine, or the way there. */
#define NEAR_LOAD_FRESH_US 750000
/** The list may drop back ends that live, which then list themselves again; one that leaves without
 * a word serves on for longer than this. */
#define UNLISTED_MOST_US 1400000
/** So long before the bound on leaving a back end gets nothing more: news take 0.2 s from one call
 * to the store to the next, 0.2 s more when it is slow, and requests some time on their way. */
#define DRAIN_MARGIN_US 600000
/** A planned stop: new requests are taken for so long, as clients keep an address for up to three
 * times its age; what is in progress then still has time to finish. */
#define STOP_ACCEPT_US 3200000
/** So long before the end of the grace time the process ends whatever is in progress. */
#define STOP_MARGIN_US 500000

static void on_item(void *context, const struct state_item *item)
{
    edge_take_item(context, item);
}

static void on_load(void *context, const Shuntrun__EngineLoad *news)
{
    struct edge *edge = context;
    struct backend_load load = {
        .running = news->running,
        .born = news->born,
        .waiting = news->waiting,
        .version = news->version,
        .loading = news->loading,
        .staged = news->staged,
        .link_slow = news->link_slow,
        .pace_permille = news->pace_permille,
        .near_gateways = news->near_gateways,
        .far_gateways = news->far_gateways,
        .turn_ms = news->turn_ms,
        .leaving = news->leaving,
    };
    if (backend_states_load(edge, news->address, &load) && edge->waiting)
        exchange_dispatch_waiting(edge);
}

/* Other nodes ask for weights. */
static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct edge *edge = context;
    if (!weight_relay_serve(edge->relay, call, request))
        service_reply(call, 404, NULL, NULL, 0);
}

/* Timers of the event loop left a suspension out: each request looks at the time again. */
static void on_woke(void *context, const struct wake *wake)
{
    struct edge *edge = context;
    if (wake->pause_us > WAKE_LONG_US)
        upstream_close_idle(edge);
    edge_client_look_at_time(edge);
}

static void on_suspects_changed(void *context)
{
    edge_client_end_blocked(context);
    exchange_dispatch_waiting(context);
}

/* --- readiness
 */

static void on_directory_call(void *context, struct service_call *call,
                              const struct service_request *request)
{
    edge_answer_addresses(context, call, request);
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

/* Close what is idle or unanswered for too long. After a pause of this process what has arrived
 * meanwhile is not read yet: connections that seem to be silent get until the next tick. */
static void sweep_connections(struct edge *edge, uint64_t now)
{
    bool paused = edge->last_tick && now > edge->last_tick + TICK_MS * 1000 + PROCESS_STALL_US;
    edge->last_tick = now;
    if (paused)
        return;
    upstream_sweep(edge, now);
    edge_client_sweep(edge, now);
}

static void on_tick(uv_timer_t *timer)
{
    struct edge *edge = timer->data;
    uint64_t now = cluster_now();
    count_gateways(edge);
    weight_relay_tick(edge->relay, now);
    crash_watch_tick(edge, now);
    edge_client_end_blocked(edge);
    backend_pool_settle(edge->pool, cluster_store_is_sound(&edge->cluster), now);
    sweep_connections(edge, now);
    exchange_dispatch_waiting(edge);
    metric_gauge_set(METRIC_ACTIVE_REQUESTS, edge->active);
    metric_gauge_set(METRIC_BACKENDS, backend_pool_count(edge->pool));
    metric_gauge_set(METRIC_STATE_REVISION, state_cache_revision(edge->cluster.state));
    metric_gauge_set(METRIC_WAITING_REQUESTS, exchange_waiting_count(edge));
    if (edge->stopping_since)
        consider_end(edge, now);
    uv_timer_set_repeat(timer, edge->cluster.started ? TICK_MS : FIRST_TICK_MS);
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
    static const struct http_service_limits limits = {SERVICE_BODY_LIMIT, HTTP_SERVICE_IDLE_MS};
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

/* What leaves serves on for the bound, from when its list knows: that is some time before this
 * gateway does. */
static uint64_t serves_on_us(const struct settings *settings)
{
    return settings->drain_bound_ms * 1000 - DRAIN_MARGIN_US;
}

static uint64_t unlisted_us(const struct settings *settings)
{
    uint64_t bound = serves_on_us(settings);
    return bound < UNLISTED_MOST_US ? bound : UNLISTED_MOST_US;
}

static int edge_run(struct edge *edge, const struct settings *settings)
{
    struct cluster_callbacks callbacks = {.context = edge,
                                          .item_changed = on_item,
                                          .load_received = on_load,
                                          .call_received = on_call,
                                          .suspects_changed = on_suspects_changed,
                                          .woke = on_woke};
    struct backend_pool_settings pool = {.queue_per_engine = (uint32_t)settings->engine_queue,
                                         .tokens_per_engine =
                                             (uint32_t)settings->engine_unread_tokens,
                                         .load_fresh_us = LOAD_FRESH_US,
                                         .near_fresh_us = NEAR_LOAD_FRESH_US,
                                         .unlisted_us = unlisted_us(settings),
                                         .serves_on_us = serves_on_us(settings),
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
    edge->process.page = crash_page_handle;
    edge->process.page_context = edge->cluster.crashes;
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

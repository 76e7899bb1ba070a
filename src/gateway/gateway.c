#include "gateway/gateway.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "core/endpoints.h"
#include "core/routing/routing_view.h"
#include "gateway/caller_api.h"
#include "gateway/gateway_traffic.h"
#include "net/daemon.h"
#include "net/status_page.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AGENT_SUBSET_SIZE 32 /* target machines of each model that are polled */
#define MAX_GATEWAY_LINKS 16 /* other gateways that are polled */
#define VIEW_INTERVAL_US (50 * MICROSECONDS_PER_MILLISECOND)
#define PUBLISH_INTERVAL_US (200 * MICROSECONDS_PER_MILLISECOND)

struct gateway {
    struct settings settings;
    struct key_ring keys;
    struct node_shell shell;
    struct status_page *page;
    struct gateway_traffic *traffic;
    struct caller_api *api;
    struct daemon_drain drain;
    uint64_t next_view_us;
    uint64_t next_publish_us;
    bool has_view;
};

/* Selects the machines to poll: the agents of this gateway's subset, and other gateways for the
 * response to /v1/endpoints. */
static void select_links(struct gateway *gateway)
{
    const struct fleet *fleet = node_fleet(gateway->shell.node);
    uint32_t count;
    uint64_t *ids = routing_view_links(gateway->shell.node, AGENT_SUBSET_SIZE, &count);
    uint32_t gateways = 0;
    ids = memory_realloc(ids, (count + MAX_GATEWAY_LINKS) * sizeof *ids);
    for (uint32_t i = 0; i < fleet->count && gateways < MAX_GATEWAY_LINKS; i++) {
        const struct machine *machine = &fleet->machines[i];
        if (machine->role != MACHINE_GATEWAY || machine->id == node_id(gateway->shell.node))
            continue;
        ids[count++] = machine->id;
        gateways++;
    }
    node_set_extra_links(gateway->shell.node, ids, count);
    free(ids);
}

/* Builds a routing view and passes it to the traffic thread. */
static void refresh_view(struct gateway *gateway, uint64_t now)
{
    struct routing_view *view =
        routing_view_build(gateway->shell.node, AGENT_SUBSET_SIZE, gateway->settings.zone,
                           gateway->settings.region, now);
    if (!view)
        return;
    gateway_traffic_set_view(gateway->traffic, view);
    gateway->has_view = true;
}

static void on_view_changed(void *context)
{
    struct gateway *gateway = context;
    const struct fleet *fleet = node_fleet(gateway->shell.node);
    int64_t self = fleet_find(fleet, node_id(gateway->shell.node));
    if (self >= 0)
        daemon_set_listed_leaving(&gateway->drain, fleet->machines[self].leaving);
    daemon_publish_machines(&gateway->shell, gateway->page);
    select_links(gateway);
    refresh_view(gateway, clock_monotonic_us());
}

/* Rebuilds the view on the next tick, since a draining or restarted agent must get no new
 * requests. */
static void on_update(void *context, const struct peer *peer, const Shuntrun__NodeUpdate *update)
{
    struct gateway *gateway = context;
    gateway->next_view_us = 0;
}

/* ---- status and responses to callers ---- */

static json_t *list_endpoints(struct gateway *gateway, uint64_t now)
{
    const struct fleet *fleet = node_fleet(gateway->shell.node);
    json_t *endpoints = json_array();
    uint32_t machines[ENDPOINTS_MAX];
    uint32_t count =
        endpoints_list(gateway->shell.node, daemon_is_draining(&gateway->drain), now, machines);
    for (uint32_t i = 0; i < count; i++) {
        const struct machine *machine = &fleet->machines[machines[i]];
        char text[64];
        snprintf(text, sizeof text, "%s:%u", machine->address, machine->http_port);
        json_array_append_new(endpoints, json_string(text));
    }
    return endpoints;
}

static json_t *list_tickets(struct gateway *gateway, uint64_t now)
{
    json_t *tickets = json_object();
    struct routing_view *view =
        routing_view_build(gateway->shell.node, AGENT_SUBSET_SIZE, gateway->settings.zone,
                           gateway->settings.region, now);
    for (uint32_t i = 0; view && i < view->service_count; i++) {
        char ticket[TICKET_SIZE];
        routing_view_format_ticket(view, &view->services[i], ticket);
        json_object_set_new(tickets, view->services[i].name, json_string(ticket));
    }
    routing_view_destroy(view);
    return tickets;
}

/* \return the body of a failed /readyz response, "" when the gateway is ready */
static const char *not_ready_reason(const struct gateway *gateway)
{
    if (!gateway->has_view)
        return "no configuration is in force";
    return daemon_is_draining(&gateway->drain) ? "draining" : "";
}

static void publish_status(struct gateway *gateway, uint64_t now)
{
    json_t *status = daemon_status_json(&gateway->shell, "gateway", &gateway->drain);
    json_object_set_new(status, "active_requests",
                        json_integer(gateway_traffic_active_calls(gateway->traffic)));
    status_page_publish(gateway->page, status, not_ready_reason(gateway), now);
    caller_api_publish(gateway->api, list_endpoints(gateway, now), list_tickets(gateway, now));
}

static void update_node_status(struct gateway *gateway, uint64_t now)
{
    struct node_status status = {
        .incarnation = gateway->shell.incarnation,
        .draining = daemon_is_draining(&gateway->drain),
        .active_requests = gateway_traffic_active_calls(gateway->traffic),
    };
    node_set_status(gateway->shell.node, now, &status);
}

/* Advances a planned stop and acts on a new phase. */
static void advance_stop(struct gateway *gateway, uint64_t now)
{
    struct daemon_debts debts = {.owed = gateway_traffic_active_calls(gateway->traffic),
                                 .unsent = caller_api_unsent_responses(gateway->api)};
    enum daemon_phase before = gateway->drain.phase;
    enum daemon_phase phase = daemon_drain_advance(&gateway->drain, debts, now);
    if (phase == before)
        return;
    if (phase == DAEMON_LEAVING)
        caller_api_announce_close(gateway->api);
    if (phase == DAEMON_FINISHING)
        caller_api_refuse_requests(gateway->api);
    if (phase == DAEMON_CLOSING) {
        caller_api_stop_listening(gateway->api);
        gateway_traffic_end_calls(gateway->traffic);
    }
    if (phase == DAEMON_STOPPED)
        loop_stop(gateway->shell.loop);
}

static void on_tick(void *context, uint64_t now)
{
    struct gateway *gateway = context;
    daemon_report_signals();
    if (now >= gateway->next_view_us) {
        gateway->next_view_us = now + VIEW_INTERVAL_US;
        refresh_view(gateway, now);
    }
    update_node_status(gateway, now);
    if (now >= gateway->next_publish_us) {
        gateway->next_publish_us = now + PUBLISH_INTERVAL_US;
        publish_status(gateway, now);
    }
    advance_stop(gateway, now);
}

/* ---- start and stop ---- */

static void on_keys_changed(void *context, const struct key_ring *keys)
{
    struct gateway *gateway = context;
    gateway_traffic_set_keys(gateway->traffic, keys);
}

static enum status open_gateway(struct gateway *gateway)
{
    struct node_shell_callbacks callbacks = {gateway, on_view_changed, on_update, on_tick,
                                             on_keys_changed};
    gateway->page = status_page_create();
    if (node_shell_open(&gateway->shell, &gateway->settings, &gateway->keys, MACHINE_GATEWAY,
                        &callbacks) != STATUS_OK)
        return STATUS_IO;
    gateway->traffic = gateway_traffic_start(&gateway->settings, &gateway->shell, gateway->page);
    gateway->api = caller_api_start(&gateway->settings, gateway->page, gateway->traffic);
    return gateway->api ? STATUS_OK : STATUS_IO;
}

static void close_gateway(struct gateway *gateway)
{
    caller_api_detach(gateway->api);
    gateway_traffic_stop(gateway->traffic);
    caller_api_stop(gateway->api);
    if (gateway->shell.loop)
        node_shell_close(&gateway->shell);
    status_page_destroy(gateway->page);
}

int gateway_main(int argc, char **argv)
{
    struct gateway *gateway = memory_calloc(1, sizeof *gateway);
    int exit_status =
        daemon_init(SETTING_ROLE_GATEWAY, argc, argv, &gateway->settings, &gateway->keys);
    if (exit_status == 0) {
        /* Callers may cache a response to /v1/endpoints for its max-age. */
        daemon_drain_init(&gateway->drain, gateway->settings.drain_timeout_ms,
                          gateway->settings.endpoints_max_age_ms);
        if (open_gateway(gateway) == STATUS_OK) {
            log_event(LOG_LEVEL_INFO, "gateway", "started", "address=%s incarnation=%" PRIu64,
                      gateway->settings.address, gateway->shell.incarnation);
            loop_run(gateway->shell.loop);
            log_event(LOG_LEVEL_INFO, "gateway", "stopped", "active=%u",
                      gateway_traffic_active_calls(gateway->traffic));
        } else {
            log_event(LOG_LEVEL_ERROR, "gateway", "start_failed", "reason=\"%s\"",
                      status_message());
            exit_status = 1;
        }
        close_gateway(gateway);
    }
    settings_clear(&gateway->settings);
    free(gateway);
    return exit_status;
}

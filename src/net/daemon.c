#include "net/daemon.h"

#include "base/clock.h"
#include "base/log.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>

/* Time for the draining state to reach the gateways. */
#define MIN_DRAIN_WAIT_US (500 * MICROSECONDS_PER_MILLISECOND)
/* Longest wait for the last responses to be sent. */
#define CLOSING_TIMEOUT_US (2 * MICROSECONDS_PER_SECOND)

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_stop_signal(int number)
{
    stop_requested = 1;
}

static void on_reload_signal(int number)
{
    reload_requested = 1;
}

static void install_signal_handlers(void)
{
    struct sigaction reload = {.sa_handler = on_reload_signal, .sa_flags = SA_RESTART};
    struct sigaction stop = {.sa_handler = on_stop_signal, .sa_flags = SA_RESTART};
    struct sigaction ignore = {.sa_handler = SIG_IGN};
    sigaction(SIGTERM, &stop, NULL);
    sigaction(SIGINT, &stop, NULL);
    sigaction(SIGHUP, &reload, NULL);
    sigaction(SIGPIPE, &ignore, NULL);
}

int daemon_init(enum setting_role role, int argc, char **argv, struct settings *settings,
                struct key_ring *keys)
{
    struct findings findings = {0};
    enum status status = settings_read(role, argc, argv, settings, &findings);
    *keys = (struct key_ring){0};
    if (settings->control_keys_file &&
        key_ring_read(settings->control_keys_file, keys, &findings) != STATUS_OK)
        status = STATUS_INVALID;
    findings_print(&findings, stderr);
    findings_clear(&findings);
    if (status != STATUS_OK)
        return 2;
    log_init(settings->name, log_level_from_name(settings->log_level));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    install_signal_handlers();
    return 0;
}

void daemon_report_signals(void)
{
    if (!reload_requested)
        return;
    reload_requested = 0;
    log_event(
        LOG_LEVEL_WARN, "daemon", "reload-ignored",
        "signal=SIGHUP reason=\"settings are read at the start only: restart to change them\"");
}

void daemon_drain_init(struct daemon_drain *drain, uint64_t timeout_ms, uint64_t min_wait_ms)
{
    *drain = (struct daemon_drain){
        .timeout_us = timeout_ms * MICROSECONDS_PER_MILLISECOND,
        .min_wait_us = min_wait_ms * MICROSECONDS_PER_MILLISECOND,
    };
    if (drain->min_wait_us < MIN_DRAIN_WAIT_US)
        drain->min_wait_us = MIN_DRAIN_WAIT_US;
}

void daemon_set_listed_leaving(struct daemon_drain *drain, bool leaving)
{
    drain->listed_leaving = leaving;
}

bool daemon_is_draining(const struct daemon_drain *drain)
{
    return drain->listed_leaving || stop_requested;
}

static bool is_phase_over(const struct daemon_drain *drain, const struct daemon_debts *debts,
                          uint64_t now)
{
    uint64_t elapsed_us = now - drain->started_us;
    switch (drain->phase) {
    case DAEMON_RUNNING:
        return stop_requested;
    case DAEMON_LEAVING:
        return elapsed_us >= drain->min_wait_us;
    case DAEMON_FINISHING:
        return debts->owed == 0 || elapsed_us >= drain->min_wait_us + drain->timeout_us;
    case DAEMON_CLOSING:
        return (debts->owed == 0 && debts->unsent == 0) ||
               now - drain->closing_us >= CLOSING_TIMEOUT_US;
    default:
        return false;
    }
}

enum daemon_phase daemon_drain_advance(struct daemon_drain *drain, struct daemon_debts debts,
                                       uint64_t now)
{
    static const char *const events[] = {"running", "draining", "finishing", "closing", "drained"};
    if (!is_phase_over(drain, &debts, now))
        return drain->phase;
    drain->phase++;
    if (drain->phase == DAEMON_LEAVING)
        drain->started_us = now;
    else if (drain->phase == DAEMON_CLOSING)
        drain->closing_us = now;
    log_event(LOG_LEVEL_INFO, "daemon", events[drain->phase], "owed=%u unsent=%u", debts.owed,
              debts.unsent);
    return drain->phase;
}

uint32_t daemon_drain_linger_ms(const struct daemon_drain *drain, uint64_t now)
{
    uint64_t elapsed_us = now - drain->started_us;
    uint64_t limit_us = drain->min_wait_us + drain->timeout_us;
    uint64_t left_us = limit_us > elapsed_us ? limit_us - elapsed_us : 0;
    if (left_us < CLOSING_TIMEOUT_US)
        left_us = CLOSING_TIMEOUT_US;
    return (uint32_t)(left_us / MICROSECONDS_PER_MILLISECOND);
}

/* Addresses of all machines known to this node, so that a client can discover the fleet from any
 * node. */
static json_t *machines_json(const struct fleet *fleet)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < fleet->count; i++) {
        const struct machine *machine = &fleet->machines[i];
        char address[64];
        snprintf(address, sizeof address, "%s:%u", machine->address, machine->http_port);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:b}", "name", machine->name, "role",
                            machine->role == MACHINE_AGENT ? "agent" : "gateway", "zone",
                            machine->zone, "address", address, "leaving", machine->leaving));
    }
    return list;
}

void daemon_publish_machines(const struct node_shell *shell, struct status_page *page)
{
    status_page_set_machines(page, machines_json(node_fleet(shell->node)));
}

json_t *daemon_status_json(const struct node_shell *shell, const char *role,
                           const struct daemon_drain *drain)
{
    const struct fleet_config *config = node_config(shell->node);
    const struct settings *settings = shell->settings;
    return json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:b, s:i, s:i}", "name", settings->name,
                     "role", role, "zone", settings->zone, "region", settings->region,
                     "incarnation", (json_int_t)shell->incarnation, "config_revision",
                     (json_int_t)(config ? config->revision : 0), "draining",
                     daemon_is_draining(drain), "machines", node_fleet(shell->node)->count,
                     "live_peers", node_alive_link_count(shell->node, clock_monotonic_us()));
}

#include "net/node_shell.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/hash.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define TICK_US (50 * MICROSECONDS_PER_MILLISECOND)
#define KEY_CHECK_US MICROSECONDS_PER_SECOND
#define LONG_POLL_WAIT_MS 2000
#define LONG_POLL_TIMEOUT_MS 5000

/* ---- platform documents ---- */

struct document_read {
    struct node_shell *shell;
    Shuntrun__DocumentKind kind;
};

/* Response body of the platform: {"revision": N, "value": "<text>"} */
static enum node_read_result apply_document(struct document_read *read,
                                            struct http_response *response)
{
    json_error_t error;
    json_t *root = json_loadb((const char *)response->body, response->size, 0, &error);
    const json_t *value = json_object_get(root, "value");
    json_int_t revision = json_integer_value(json_object_get(root, "revision"));
    bool good = json_is_string(value) && revision > 0;
    if (good)
        node_on_read(read->shell->node, clock_monotonic_us(), read->kind, NODE_READ_NEWER,
                     (uint64_t)revision, json_string_value(value), json_string_length(value));
    json_decref(root);
    return good ? NODE_READ_NEWER : NODE_READ_FAILED;
}

static void on_document(void *context, struct http_response *response)
{
    struct document_read *read = context;
    enum node_read_result result = NODE_READ_FAILED;
    if (response->result == HTTP_COMPLETE && response->status == 200)
        result = apply_document(read, response);
    else if (response->result == HTTP_COMPLETE && response->status == 204)
        result = NODE_READ_UNCHANGED;
    if (result == NODE_READ_FAILED)
        log_event(LOG_LEVEL_DEBUG, "platform", "read_failed", "kind=%d status=%ld", read->kind,
                  response->status);
    if (result != NODE_READ_NEWER)
        node_on_read(read->shell->node, clock_monotonic_us(), read->kind, result, UINT64_MAX, NULL,
                     0);
    free(read);
}

static void read_document(void *context, Shuntrun__DocumentKind kind, uint64_t known_revision)
{
    struct node_shell *shell = context;
    struct document_read *read = memory_calloc(1, sizeof *read);
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    char url[512];
    *read = (struct document_read){shell, kind};
    snprintf(url, sizeof url, "%s/v1/values/%s?after=%llu&wait_ms=%d",
             config ? shell->settings->config_url : shell->settings->machines_url,
             config ? shell->settings->config_key : "machines", (unsigned long long)known_revision,
             LONG_POLL_WAIT_MS);
    struct http_call call = {
        .method = "GET",
        .url = url,
        .body_limit = 2 * CONFIG_MAX_BYTES + 4096,
        .timeout_ms = LONG_POLL_TIMEOUT_MS,
        .on_done = on_document,
        .on_abandoned = free,
        .context = read,
    };
    metric_add(METRIC_PLATFORM_CALLS, 1);
    loop_http(shell->loop, &call);
}

/* ---- node driver ---- */

static void send_control(void *context, const struct machine *to, Shuntrun__Envelope *message)
{
    struct node_shell *shell = context;
    metric_add(METRIC_UPDATES_SENT, 1);
    links_send(shell->links, to, message); /* later updates compensate for lost messages */
}

static void close_unlisted_links(struct node_shell *shell)
{
    const struct fleet *fleet = node_fleet(shell->node);
    uint64_t *ids = memory_calloc(fleet->count, sizeof *ids);
    for (uint32_t i = 0; i < fleet->count; i++)
        ids[i] = fleet->machines[i].id;
    links_close_unlisted(shell->links, ids, fleet->count);
    free(ids);
}

static void on_view_changed(void *context)
{
    struct node_shell *shell = context;
    const struct fleet_config *config = node_config(shell->node);
    close_unlisted_links(shell);
    if (config) {
        metric_add(METRIC_CONFIG_ACCEPTED, 1);
        metric_gauge_set(METRIC_CONFIG_REVISION, config->revision);
        log_event(LOG_LEVEL_INFO, "config", "view_changed", "revision=%llu machines=%u",
                  (unsigned long long)config->revision, node_fleet(shell->node)->count);
    }
    shell->callbacks.view_changed(shell->callbacks.context);
}

static void on_config_refused(void *context, uint64_t revision, const struct findings *findings)
{
    metric_add(METRIC_CONFIG_REJECTED, 1);
    for (size_t i = 0; i < findings->count; i++)
        log_event(LOG_LEVEL_ERROR, "config", "refused", "revision=%llu place=\"%s\" finding=\"%s\"",
                  (unsigned long long)revision, findings->items[i].place, findings->items[i].text);
}

static void on_update(void *context, const struct peer *peer, const Shuntrun__NodeUpdate *update)
{
    struct node_shell *shell = context;
    if (shell->callbacks.update_received)
        shell->callbacks.update_received(shell->callbacks.context, peer, update);
}

static void on_control_message(void *context)
{
    struct node_shell *shell = context;
    Shuntrun__Envelope *message;
    while ((message = link_listener_receive(shell->inbound, NULL))) {
        node_on_message(shell->node, clock_monotonic_us(), message);
        shuntrun__envelope__free_unpacked(message, NULL);
    }
}

static void apply_keys(struct node_shell *shell, const struct key_ring *keys)
{
    shell->keys = *keys;
    authenticator_set_keys(shell->authenticator, keys);
    link_listener_set_keys(shell->inbound, keys);
    links_set_keys(shell->links, keys);
    shell->callbacks.keys_changed(shell->callbacks.context, keys);
    log_event(LOG_LEVEL_INFO, "links", "keys_changed", "use=%c", "ab"[keys->active_slot]);
}

/* A key file with errors is logged and ignored: the current keys stay in effect. */
static void reload_keys_if_changed(struct node_shell *shell)
{
    const char *path = shell->settings->control_keys_file;
    struct timespec changed = key_ring_file_modified_at(path);
    struct findings findings = {0};
    struct key_ring keys;
    bool same = changed.tv_sec == shell->keys_changed_at.tv_sec &&
                changed.tv_nsec == shell->keys_changed_at.tv_nsec;
    if (same)
        return;
    shell->keys_changed_at = changed;
    if (key_ring_read(path, &keys, &findings) == STATUS_OK)
        apply_keys(shell, &keys);
    for (size_t i = 0; i < findings.count; i++)
        log_event(LOG_LEVEL_ERROR, "links", "keys_refused", "place=\"%s\" finding=\"%s\"",
                  findings.items[i].place, findings.items[i].text);
    findings_clear(&findings);
}

static void on_tick(void *context)
{
    struct node_shell *shell = context;
    uint64_t now = clock_monotonic_us();
    if (shell->settings->control_keys_file && now >= shell->next_key_check) {
        shell->next_key_check = now + KEY_CHECK_US;
        reload_keys_if_changed(shell);
    }
    node_on_tick(shell->node, now);
    metric_gauge_set(METRIC_LIVE_PEERS, node_alive_link_count(shell->node, now));
    shell->callbacks.tick(shell->callbacks.context, now);
}

static void create_node(struct node_shell *shell, enum machine_role role)
{
    const struct settings *settings = shell->settings;
    struct node_settings node_settings = {
        .neighbours = (uint32_t)settings->neighbours,
        .config_readers = (uint32_t)settings->config_readers,
        .update_us = settings->update_interval_ms * MICROSECONDS_PER_MILLISECOND,
        .suspect_us = settings->suspect_after_ms * MICROSECONDS_PER_MILLISECOND,
    };
    struct node_driver driver = {shell,           send_control,      read_document,
                                 on_view_changed, on_config_refused, on_update};
    struct node_status status = {.incarnation = shell->incarnation};
    uint64_t now = clock_monotonic_us();
    shell->node =
        node_create(&node_settings, settings->name, settings->zone, role,
                    hash_pair(hash_name(settings->name), shell->incarnation), now, &driver);
    node_set_status(shell->node, now, &status);
}

static enum status open_links(struct node_shell *shell)
{
    const struct settings *settings = shell->settings;
    shell->authenticator = authenticator_open(shell->zmq, shell->loop, &shell->keys);
    if (!shell->authenticator)
        return STATUS_IO;
    shell->inbound = link_listener_open(shell->zmq, LINK_CONTROL, settings->address,
                                        (uint16_t)settings->control_port, &shell->keys, shell->loop,
                                        on_control_message, shell);
    return shell->inbound ? STATUS_OK : STATUS_IO;
}

enum status node_shell_open(struct node_shell *shell, const struct settings *settings,
                            const struct key_ring *keys, enum machine_role role,
                            const struct node_shell_callbacks *callbacks)
{
    *shell = (struct node_shell){.settings = settings, .callbacks = *callbacks, .keys = *keys};
    shell->incarnation = clock_incarnation();
    shell->zmq = zmq_ctx_new();
    shell->loop = loop_create();
    if (settings->control_keys_file)
        shell->keys_changed_at = key_ring_file_modified_at(settings->control_keys_file);
    if (open_links(shell) != STATUS_OK) {
        authenticator_close(shell->authenticator);
        loop_destroy(shell->loop);
        zmq_ctx_term(shell->zmq);
        shell->loop = NULL;
        return STATUS_IO;
    }
    shell->links = links_create(shell->zmq, LINK_CONTROL, &shell->keys, shell->loop, NULL, NULL);
    create_node(shell, role);
    loop_set_tick(shell->loop, TICK_US, on_tick, shell);
    return STATUS_OK;
}

void node_shell_close(struct node_shell *shell)
{
    loop_run_posted(shell->loop);
    links_destroy(shell->links);
    link_listener_close(shell->inbound, 0);
    authenticator_close(shell->authenticator);
    loop_destroy(shell->loop);
    node_destroy(shell->node);
    zmq_ctx_term(shell->zmq);
}

#include "agent/agent.h"

#include "agent/agent_traffic.h"
#include "agent/blob_store.h"
#include "agent/rate_limiter.h"
#include "agent/rollout.h"
#include "agent/transfer.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "net/daemon.h"
#include "net/http_server.h"
#include "net/status_page.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ROLLOUTS NODE_MAX_READY_MODELS
#define ENGINE_POLL_INTERVAL_US (300 * MICROSECONDS_PER_MILLISECOND)
#define ENGINE_STATUS_TIMEOUT_MS 2000
#define LOAD_TIMEOUT_MS 600000
#define LOAD_RETRY_DELAY_US MICROSECONDS_PER_SECOND
#define LOAD_ORDER_LIFETIME_MS 10000
#define PUBLISH_INTERVAL_US (200 * MICROSECONDS_PER_MILLISECOND)
#define BUSY_RETRY_AFTER_SECONDS "0.05" /* agents accept fractions */
#define HTTP_THREADS 2
#define MAX_REQUEST_BYTES 4096
#define MAX_ENGINE_RESPONSE_BYTES 65536

struct agent {
    struct settings settings;
    struct key_ring keys;
    struct node_shell shell;
    struct status_page *page;
    struct blob_store *store;
    struct transfer *transfer;
    struct agent_traffic *traffic;
    struct http_server *http;
    struct rollout *rollouts[MAX_ROLLOUTS];
    uint32_t rollout_count;
    struct ready_model ready[NODE_MAX_READY_MODELS]; /* as in the last status of the engine */
    uint32_t ready_count;
    bool engine_poll_active; /* a status request is in flight */
    uint64_t next_engine_poll_us;
    uint64_t next_publish_us;
    uint64_t load_order_sequence; /* last part of the fencing token of load orders */
    struct daemon_drain drain;
    struct rate_limiter link_limiter;
    uint32_t uploads; /* in progress; atomic, written by HTTP threads */
};

/* ---- status ---- */

static void update_node_status(struct agent *agent, uint64_t now)
{
    struct agent_traffic_state state = agent_traffic_state(agent->traffic);
    struct node_status status = {
        .incarnation = agent->shell.incarnation,
        .pause_epoch = state.pause_epoch,
        .ticket_epoch = state.ticket_epoch,
        .draining = daemon_is_draining(&agent->drain),
        .active_requests = state.active,
        .capacity = (uint32_t)agent->settings.request_capacity,
        .ready_count = agent->ready_count,
    };
    memcpy(status.ready, agent->ready, sizeof status.ready);
    node_set_status(agent->shell.node, now, &status);
}

static const struct ready_model *find_ready(const struct agent *agent, const char *model)
{
    for (uint32_t i = 0; i < agent->ready_count; i++)
        if (strcmp(agent->ready[i].model, model) == 0)
            return &agent->ready[i];
    return NULL;
}

/* \return the body of a failed /readyz response, "" when the agent is ready */
static const char *not_ready_reason(const struct agent *agent)
{
    if (!node_config(agent->shell.node))
        return "no configuration is in force";
    if (daemon_is_draining(&agent->drain))
        return "draining";
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        if (agent->rollouts[i]->state != ROLLOUT_READY)
            return "a model is not loaded yet";
    return "";
}

static json_t *describe_rollout(const struct rollout *rollout)
{
    static const char *const states[] = {"manifest", "chunks", "loading", "ready"};
    const struct swarm_counters none = {0};
    const struct swarm_counters *counters = rollout->swarm ? swarm_counters(rollout->swarm) : &none;
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I}", "model", rollout->model.name,
                     "version", rollout->model.version, "digest", rollout->manifest_hex, "state",
                     states[rollout->state], "chunks", rollout->manifest.chunk_count, "held",
                     rollout->swarm ? swarm_held_count(rollout->swarm) : 0, "from_peers",
                     (json_int_t)counters->chunks_from_peers, "from_origin",
                     (json_int_t)counters->chunks_from_origin, "corrupt",
                     (json_int_t)counters->chunks_corrupt);
}

static void publish_status(struct agent *agent, uint64_t now)
{
    json_t *rollouts = json_array();
    json_t *ready = json_array();
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        json_array_append_new(rollouts, describe_rollout(agent->rollouts[i]));
    for (uint32_t i = 0; i < agent->ready_count; i++)
        json_array_append_new(ready, json_pack("{s:s, s:s, s:s}", "model", agent->ready[i].model,
                                               "version", agent->ready[i].version, "digest",
                                               agent->ready[i].digest));
    json_t *status = daemon_status_json(&agent->shell, "agent", &agent->drain);
    json_object_set_new(status, "rollouts", rollouts);
    json_object_set_new(status, "ready", ready);
    json_object_set_new(status, "active_requests",
                        json_integer(agent_traffic_state(agent->traffic).active));
    json_object_set_new(status, "weights_bytes",
                        json_integer((json_int_t)blob_store_bytes(agent->store)));
    metric_gauge_set(METRIC_READY_MODELS, agent->ready_count);
    status_page_publish(agent->page, status, not_ready_reason(agent), now);
}

/* ---- the local engine ---- */

static bool ready_models_equal(const struct agent *agent, const struct ready_model *models,
                               uint32_t count)
{
    if (count != agent->ready_count)
        return false;
    for (uint32_t i = 0; i < count; i++)
        if (strcmp(models[i].digest, agent->ready[i].digest) != 0)
            return false;
    return true;
}

/* Updates the states of rollouts after a status of the engine. */
static void update_ready_rollouts(struct agent *agent)
{
    for (uint32_t i = 0; i < agent->rollout_count; i++) {
        struct rollout *rollout = agent->rollouts[i];
        const struct ready_model *ready = find_ready(agent, rollout->model.name);
        bool confirmed = ready && strcmp(ready->digest, rollout->manifest_hex) == 0;
        if (confirmed && rollout->state != ROLLOUT_READY) {
            rollout->state = ROLLOUT_READY;
            rollout->ready_since_us = clock_monotonic_us();
            metric_add(METRIC_ENGINE_LOADS, 1);
            log_event(LOG_LEVEL_INFO, "rollout", "ready", "model=%s version=%s seconds=%.3f",
                      rollout->model.name, rollout->model.version,
                      (double)(clock_monotonic_us() - rollout->started_us) / 1e6);
        } else if (!confirmed && rollout->state == ROLLOUT_READY) {
            rollout_restart(rollout);
            log_event(LOG_LEVEL_WARN, "rollout", "engine_lost_model", "model=%s",
                      rollout->model.name);
        }
    }
}

static void set_ready_models(struct agent *agent, const struct ready_model *models, uint32_t count)
{
    if (!ready_models_equal(agent, models, count)) {
        memcpy(agent->ready, models, count * sizeof *models);
        agent->ready_count = count;
        agent_traffic_set_ready(agent->traffic, models, count);
        update_node_status(agent, clock_monotonic_us());
    }
    update_ready_rollouts(agent);
}

/* Parses {"models": [{"model", "version", "digest"}]}. No model is ready on an engine that does not
 * respond. */
static void on_engine_status(void *context, struct http_response *response)
{
    struct agent *agent = context;
    struct ready_model models[NODE_MAX_READY_MODELS] = {{{0}, {0}, {0}}};
    uint32_t count = 0;
    json_t *root = NULL;
    agent->engine_poll_active = false;
    if (response->result == HTTP_COMPLETE && response->status == 200)
        root = json_loadb((const char *)response->body, response->size, 0, NULL);
    const json_t *list = json_object_get(root, "models");
    for (size_t i = 0; i < json_array_size(list) && count < NODE_MAX_READY_MODELS; i++) {
        const json_t *item = json_array_get(list, i);
        const char *model = json_string_value(json_object_get(item, "model"));
        const char *version = json_string_value(json_object_get(item, "version"));
        const char *digest = json_string_value(json_object_get(item, "digest"));
        if (!model || !version || !digest)
            continue;
        struct ready_model *ready = &models[count++];
        snprintf(ready->model, sizeof ready->model, "%s", model);
        snprintf(ready->version, sizeof ready->version, "%s", version);
        snprintf(ready->digest, sizeof ready->digest, "%s", digest);
    }
    json_decref(root);
    set_ready_models(agent, models, count);
}

static void poll_engine(struct agent *agent, uint64_t now)
{
    char url[512];
    if (!agent->settings.engine_url || agent->engine_poll_active ||
        now < agent->next_engine_poll_us)
        return;
    agent->engine_poll_active = true;
    agent->next_engine_poll_us = now + ENGINE_POLL_INTERVAL_US;
    snprintf(url, sizeof url, "%s/v1/status", agent->settings.engine_url);
    struct http_call call = {
        .method = "GET",
        .url = url,
        .body_limit = MAX_ENGINE_RESPONSE_BYTES,
        .timeout_ms = ENGINE_STATUS_TIMEOUT_MS,
        .on_done = on_engine_status,
        .context = agent,
    };
    loop_http(agent->shell.loop, &call);
}

/* Context of a load order in flight; the rollout is looked up by number, since it may be removed
 * meanwhile. */
struct load_order {
    struct agent *agent;
    uint64_t rollout;
};

static struct rollout *find_rollout(struct agent *agent, uint64_t number)
{
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        if (agent->rollouts[i]->number == number)
            return agent->rollouts[i];
    return NULL;
}

static void on_load_response(void *context, struct http_response *response)
{
    struct load_order *order = context;
    struct agent *agent = order->agent;
    struct rollout *rollout = find_rollout(agent, order->rollout);
    bool accepted = response->result == HTTP_COMPLETE && response->status == 200;
    free(order);
    if (rollout) {
        rollout->request_active = false;
        rollout->state = ROLLOUT_CHUNKS;
        rollout->next_attempt_us = clock_monotonic_us() + LOAD_RETRY_DELAY_US;
    }
    if (!accepted)
        log_event(LOG_LEVEL_WARN, "engine", "load_refused", "status=%ld body=\"%.*s\"",
                  response->status, (int)response->size, response->body);
    agent->next_engine_poll_us = 0; /* only a status of the engine confirms the load */
}

static char *format_load_order(struct agent *agent, const struct rollout *rollout)
{
    char source[128];
    snprintf(source, sizeof source, "http://%s:%" PRIu64, agent->settings.address,
             agent->settings.http_port);
    json_t *order = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:{s:I, s:I, s:I}}", "model", rollout->model.name, "version",
        rollout->model.version, "digest", rollout->manifest_hex, "source", source, "expires_ms",
        (json_int_t)LOAD_ORDER_LIFETIME_MS, "fence", "revision",
        (json_int_t)node_config(agent->shell.node)->revision, "incarnation",
        (json_int_t)agent->shell.incarnation, "sequence", (json_int_t)++agent->load_order_sequence);
    char *text = json_dumps(order, JSON_COMPACT);
    json_decref(order);
    return text;
}

static void send_load_order(struct agent *agent, struct rollout *rollout)
{
    static const char *const headers[] = {"Content-Type: application/json", NULL};
    struct load_order *order = memory_calloc(1, sizeof *order);
    char url[512];
    char *text = format_load_order(agent, rollout);
    *order = (struct load_order){agent, rollout->number};
    snprintf(url, sizeof url, "%s/v1/load", agent->settings.engine_url);
    struct http_call call = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .body = text,
        .body_size = strlen(text),
        .body_limit = MAX_ENGINE_RESPONSE_BYTES,
        .timeout_ms = LOAD_TIMEOUT_MS,
        .fresh_connection = true,
        .on_done = on_load_response,
        .on_abandoned = free,
        .context = order,
    };
    rollout->request_active = true;
    rollout->state = ROLLOUT_LOADING;
    loop_http(agent->shell.loop, &call);
    free(text);
}

/* Sends the load order once all chunks of the manifest are stored and verified. */
static void load_when_complete(struct agent *agent, struct rollout *rollout, uint64_t now)
{
    bool complete =
        rollout->state == ROLLOUT_CHUNKS && rollout->swarm && swarm_complete(rollout->swarm);
    if (complete && agent->settings.engine_url && !rollout->request_active &&
        now >= rollout->next_attempt_us)
        send_load_order(agent, rollout);
}

/* ---- rollouts ---- */

static bool is_blob_needed(void *context, const struct digest *digest)
{
    struct agent *agent = context;
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        if (agent->rollouts[i]->manifest.chunk_count == 0 ||
            rollout_needs_blob(agent->rollouts[i], digest))
            return true; /* a rollout without a manifest yet may share any chunk */
    return false;
}

static void remove_rollout(struct agent *agent, uint32_t index)
{
    rollout_destroy(agent->rollouts[index]);
    agent->rollouts[index] = agent->rollouts[--agent->rollout_count];
}

/* Removes rollouts whose version is no longer the configured one. */
static void remove_outdated_rollouts(struct agent *agent, const struct fleet_config *config)
{
    for (uint32_t i = 0; i < agent->rollout_count;) {
        const struct model_config *model =
            fleet_config_model(config, agent->rollouts[i]->model.name);
        bool same = model && digest_equal(&model->manifest, &agent->rollouts[i]->model.manifest);
        if (same)
            i++;
        else
            remove_rollout(agent, i);
    }
}

static struct rollout *find_model_rollout(struct agent *agent, const char *model)
{
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        if (strcmp(agent->rollouts[i]->model.name, model) == 0)
            return agent->rollouts[i];
    return NULL;
}

/* Starts rollouts of newly placed models and passes new targets to all. A model that is no longer
 * placed here stays. */
static void apply_placement(struct agent *agent, uint64_t now)
{
    const struct fleet_config *config = node_config(agent->shell.node);
    const struct placement *placement = node_placement(agent->shell.node);
    int64_t self = fleet_find(node_fleet(agent->shell.node), node_id(agent->shell.node));
    for (uint32_t i = 0; self >= 0 && i < placement->model_count; i++) {
        struct rollout *rollout = find_model_rollout(agent, config->models[i].name);
        bool placed = placement_has(&placement->models[i], (uint32_t)self);
        if (placed && !rollout && agent->rollout_count < MAX_ROLLOUTS) {
            rollout =
                rollout_create(&agent->shell, agent->store, agent->transfer, &config->models[i]);
            agent->rollouts[agent->rollout_count++] = rollout;
        }
        if (rollout)
            rollout_set_targets(rollout, now, &placement->models[i]);
    }
}

static void on_view_changed(void *context)
{
    struct agent *agent = context;
    const struct fleet_config *config = node_config(agent->shell.node);
    const struct fleet *fleet = node_fleet(agent->shell.node);
    uint64_t now = clock_monotonic_us();
    int64_t self = fleet_find(fleet, node_id(agent->shell.node));
    if (self >= 0)
        daemon_set_listed_leaving(&agent->drain, fleet->machines[self].leaving);
    daemon_publish_machines(&agent->shell, agent->page);
    if (!config || !node_placement(agent->shell.node))
        return;
    remove_outdated_rollouts(agent, config);
    apply_placement(agent, now);
    blob_store_prune(agent->store, is_blob_needed, agent);
    agent_traffic_set_config(agent->traffic, config);
}

static void on_update(void *context, const struct peer *peer, const Shuntrun__NodeUpdate *update)
{
    struct agent *agent = context;
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        rollout_on_update(agent->rollouts[i], clock_monotonic_us(), peer->id, update);
}

static void on_transfer_result(void *argument)
{
    struct transfer_result *result = argument;
    struct agent *agent = result->context;
    struct rollout *rollout = find_rollout(agent, result->job.rollout);
    if (rollout)
        rollout_on_transfer(rollout, clock_monotonic_us(), result);
    free(result);
}

/* Passes the chunks that this machine is about to fetch to the HTTP threads. */
static void publish_pending_blobs(struct agent *agent)
{
    struct digest *digests = NULL;
    uint32_t count = 0;
    for (uint32_t i = 0; i < agent->rollout_count; i++)
        rollout_list_pending(agent->rollouts[i], &digests, &count);
    blob_store_set_pending(agent->store, digests, count);
    free(digests);
}

/* Advances a planned stop. An answer that its gateway has not received counts as its run does. */
static void advance_stop(struct agent *agent, uint64_t now)
{
    struct agent_traffic_state state = agent_traffic_state(agent->traffic);
    struct daemon_debts debts = {.owed = state.active + state.unsent, .unsent = state.unsent};
    enum daemon_phase before = agent->drain.phase;
    enum daemon_phase phase = daemon_drain_advance(&agent->drain, debts, now);
    if (phase == DAEMON_CLOSING && phase != before)
        agent_traffic_end_runs(agent->traffic);
    else if (phase == DAEMON_STOPPED)
        loop_stop(agent->shell.loop);
}

static void on_tick(void *context, uint64_t now)
{
    struct agent *agent = context;
    uint32_t uploads = ck_pr_load_32(&agent->uploads);
    daemon_report_signals();
    for (uint32_t i = 0; i < agent->rollout_count; i++) {
        struct rollout *rollout = agent->rollouts[i];
        if (rollout->swarm)
            swarm_set_upload_queue(rollout->swarm, uploads);
        rollout_tick(rollout, now);
        load_when_complete(agent, rollout, now);
        if (rollout_release_expired(rollout, now))
            blob_store_prune(agent->store, is_blob_needed, agent);
    }
    poll_engine(agent, now);
    update_node_status(agent, now);
    agent_traffic_set_draining(agent->traffic, daemon_is_draining(&agent->drain));
    if (now >= agent->next_publish_us) {
        agent->next_publish_us = now + PUBLISH_INTERVAL_US;
        publish_status(agent, now);
        publish_pending_blobs(agent);
    }
    advance_stop(agent, now);
}

/* ---- HTTP: blobs for peers and the local engine ---- */

/* A response in progress; holds a reference to its blob. */
struct upload {
    struct agent *agent;
    struct blob *blob;
};

static void end_upload(void *context)
{
    struct upload *upload = context;
    ck_pr_dec_32(&upload->agent->uploads);
    blob_release(upload->blob);
    free(upload);
}

static ssize_t read_upload(void *context, uint64_t position, char *buffer, size_t max_size)
{
    struct upload *upload = context;
    size_t left = upload->blob->size - position;
    size_t size = left < max_size ? left : max_size;
    rate_limiter_acquire(&upload->agent->link_limiter, size);
    memcpy(buffer, upload->blob->data + position, size);
    return (ssize_t)size;
}

static void reply_error(struct http_exchange *exchange, unsigned status, const char *text,
                        const struct http_reply_header *headers)
{
    char body[256];
    int size = snprintf(body, sizeof body, "{\"error\": \"%s\"}\n", text);
    http_reply(exchange, status, "application/json", body, (size_t)size, headers);
}

static void reply_not_found(struct agent *agent, struct http_exchange *exchange,
                            const struct digest *digest)
{
    bool pending = blob_store_is_pending(agent->store, digest);
    const struct http_reply_header headers[] = {{"X-Note", "pending"}, {NULL, NULL}};
    reply_error(exchange, 404, "not held", pending ? headers : NULL);
}

static void reply_blob(struct agent *agent, struct http_exchange *exchange, const char *hex)
{
    static const struct http_reply_header retry_after[] = {
        {"Retry-After", BUSY_RETRY_AFTER_SECONDS}, {NULL, NULL}};
    struct digest digest;
    if (digest_from_hex(hex, &digest) != STATUS_OK) {
        reply_error(exchange, 400, status_message(), NULL);
        return;
    }
    /* Neither the upload limit nor the rate limit applies to the local engine. */
    bool is_local_engine = http_header(exchange, "X-Local-Engine") != NULL;
    uint64_t limit = agent->settings.upload_limit;
    if (!is_local_engine && ck_pr_load_32(&agent->uploads) >= limit) {
        reply_error(exchange, 503, "busy", retry_after);
        return;
    }
    struct blob *blob = blob_store_get(agent->store, &digest);
    if (!blob) {
        reply_not_found(agent, exchange, &digest);
        return;
    }
    struct upload *upload = memory_calloc(1, sizeof *upload);
    *upload = (struct upload){agent, blob};
    ck_pr_inc_32(&agent->uploads);
    metric_add(METRIC_CHUNKS_SERVED, 1);
    if (agent->settings.link_bytes_per_second && !is_local_engine)
        http_reply_paced(exchange, 200, blob->size, read_upload, end_upload, upload);
    else
        http_reply_shared(exchange, 200, blob->data, blob->size, end_upload, upload);
}

static void on_http_request(void *context, struct http_exchange *exchange,
                            const struct http_request *request)
{
    static const char blobs[] = "/v1/blobs/";
    struct agent *agent = context;
    if (status_page_handle(agent->page, exchange, request))
        return;
    bool is_get = strcmp(request->method, "GET") == 0;
    if (is_get && strncmp(request->path, blobs, sizeof blobs - 1) == 0) {
        reply_blob(agent, exchange, request->path + sizeof blobs - 1);
        return;
    }
    metric_add(METRIC_REQUESTS_BAD, 1);
    reply_error(exchange, 404, "no such page", NULL);
}

static struct http_server *start_http(struct agent *agent)
{
    struct http_server_settings settings = {
        .address = agent->settings.address,
        .port = (uint16_t)agent->settings.http_port,
        .threads = HTTP_THREADS,
        .connection_limit = (unsigned)agent->settings.connection_limit,
        .body_limit = MAX_REQUEST_BYTES,
        .header_limit = agent->settings.header_limit_kb * 1024,
        .handler = on_http_request,
        .context = agent,
    };
    return http_server_start(&settings);
}

/* ---- start and stop ---- */

static void on_keys_changed(void *context, const struct key_ring *keys)
{
    struct agent *agent = context;
    agent_traffic_set_keys(agent->traffic, keys);
}

static enum status open_agent(struct agent *agent)
{
    struct node_shell_callbacks callbacks = {agent, on_view_changed, on_update, on_tick,
                                             on_keys_changed};
    agent->page = status_page_create();
    rate_limiter_init(&agent->link_limiter, agent->settings.link_bytes_per_second);
    agent->store = blob_store_create(agent->settings.weights_memory_mb << 20);
    if (node_shell_open(&agent->shell, &agent->settings, &agent->keys, MACHINE_AGENT, &callbacks) !=
        STATUS_OK)
        return STATUS_IO;
    agent->traffic = agent_traffic_start(&agent->settings, &agent->shell);
    if (!agent->traffic)
        return STATUS_IO;
    agent->transfer = transfer_start(agent->settings.name, agent->store, &agent->link_limiter,
                                     agent->shell.loop, on_transfer_result, agent);
    agent->http = start_http(agent);
    return agent->http ? STATUS_OK : STATUS_IO;
}

static void close_agent(struct agent *agent)
{
    http_server_stop(agent->http);
    transfer_stop(agent->transfer);
    agent_traffic_stop(agent->traffic, daemon_drain_linger_ms(&agent->drain, clock_monotonic_us()));
    while (agent->rollout_count)
        remove_rollout(agent, 0);
    if (agent->shell.loop)
        node_shell_close(&agent->shell);
    blob_store_destroy(agent->store);
    status_page_destroy(agent->page);
}

int agent_main(int argc, char **argv)
{
    struct agent *agent = memory_calloc(1, sizeof *agent);
    int exit_status = daemon_init(SETTING_ROLE_AGENT, argc, argv, &agent->settings, &agent->keys);
    if (exit_status == 0) {
        daemon_drain_init(&agent->drain, agent->settings.drain_timeout_ms, 0);
        if (open_agent(agent) == STATUS_OK) {
            log_event(LOG_LEVEL_INFO, "agent", "started", "address=%s incarnation=%" PRIu64,
                      agent->settings.address, agent->shell.incarnation);
            loop_run(agent->shell.loop);
            log_event(LOG_LEVEL_INFO, "agent", "stopped", "active=%u",
                      agent_traffic_state(agent->traffic).active);
        } else {
            log_event(LOG_LEVEL_ERROR, "agent", "start_failed", "reason=\"%s\"", status_message());
            exit_status = 1;
        }
        close_agent(agent);
    }
    settings_clear(&agent->settings);
    free(agent);
    return exit_status;
}

#include "loader/loader.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/cluster.h"
#include "cluster/crash_page.h"
#include "cluster/process.h"
#include "cluster/rate_message.h"
#include "core/hash.h"
#include "core/staggered_start.h"
#include "loader/engine_rate.h"
#include "loader/wanted_versions.h"
#include "net/http_caller.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define REPORT_INTERVAL_MS 60
#define REPORT_TIMEOUT_MS 600
#define REPORT_BODY_LIMIT_BYTES (1U << 20)
/** An unchanged load is sent again after this. */
#define LOAD_RESEND_INTERVAL_US 300000
/** Gateways of other regions get the load at this interval, or at once when the state of the
 * weights changes or the engine shuts down: they send few requests here, and traffic between
 * regions is expensive. */
#define CROSS_REGION_LOAD_INTERVAL_US 390000
/** Interval of ticks while pieces are fetched or installed, and of reports while the engine loads:
 * a tenth of the time that loading takes. */
#define BUSY_TICK_INTERVAL_MS 25
#define LOAD_LOG_INTERVAL_US 500000
/** Times derived from the ages in messages are accurate to this. */
#define PREDECESSOR_TIME_TOLERANCE_US 50000

struct loader {
    struct process process;
    struct cluster cluster;
    struct sockaddr_in engine_address;
    struct http_caller *engine_caller;
    uv_timer_t timer;
    struct route_table *table;
    struct wanted_versions versions;
    bool version_check_pending; /* an item that decides the version changed */
    struct installer *installer;
    uint64_t predecessor_heard_at; /* last message of a previous process to other nodes; 0: none */
    uint64_t predecessor_engine_born; /* start of the engine that it reported last; 0: none */
    char model[BACKEND_NAME_SIZE];
    struct sockaddr_in origin;
    bool has_origin;
    struct engine_report report;
    struct engine_rate rate;
    uint64_t report_asked_at; /* time at which the last report was requested */
    bool reachable;
    bool report_pending;
    uint64_t next_report_at;
    struct backend_load sent_load;
    struct stated_rate sent_rate;
    uint64_t load_sent_at;
    uint64_t next_load_log_at;
    uint64_t cross_region_load_sent_at;
};

/* --- load schedule ---------------------------------------------------------------------------- */

/* \return position of this loader in the rollout order, a hash of version and address. \param count
 * gets the loaders that are alive, with this one */
static uint32_t rollout_position(const struct loader *loader, uint32_t *count)
{
    const struct membership *members = loader->cluster.membership;
    uint64_t own = hash_pair(loader->versions.installing,
                             membership_self(loader->cluster.membership)->address);
    uint32_t before = 0;
    *count = 1;
    for (uint32_t i = 0; i < membership_count(members); i++) {
        const struct member_state *member = membership_at(members, i);
        if (member->role != MEMBER_LOADER || !member_is_alive(member))
            continue;
        before += hash_pair(loader->versions.installing, member->address) < own;
        (*count)++;
    }
    return before;
}

/* \return time from which the engine may load the version */
static uint64_t scheduled_load_time(const struct loader *loader)
{
    uint32_t count;
    uint64_t engine_version = loader->report.load.version;
    const struct wanted_version *next = wanted_versions_next(&loader->versions, engine_version);
    if (!engine_version || !next)
        return 0; /* an engine without weights serves no requests: at once */
    uint32_t position = rollout_position(loader, &count);
    struct staggered_start_settings schedule = staggered_start_within(next->switch_us);
    return staggered_start_at(&schedule, next->announced_at, position, count);
}

/* --- engine load ------------------------------------------------------------------------------ */

/* \return time until the engine may load the staged version; 0: it may now, or the time is unknown
 */
static uint32_t ms_until_scheduled(const struct loader *loader, uint64_t now)
{
    uint64_t scheduled_at = scheduled_load_time(loader);
    return scheduled_at > now ? (uint32_t)((scheduled_at - now) / 1000) : 0;
}

static const struct service_entry *own_service(const struct loader *loader)
{
    uint32_t index =
        route_table_find_service(loader->table, loader->cluster.settings->engine_service);
    return index == ROUTE_NO_SERVICE ? NULL : route_table_service(loader->table, index);
}

/* \return window of the engine's rate limit; 0: it has none */
static uint64_t rate_window_us(const struct loader *loader)
{
    if (loader->rate.stated.limited)
        return STATED_WINDOW_US;
    const struct service_entry *service = own_service(loader);
    return service && service->cold_per_s > 0 ? COLD_WINDOW_US : 0;
}

static struct backend_load current_load(const struct loader *loader, uint64_t now)
{
    struct backend_load load = loader->report.load;
    load.loading = loader->installer && installer_is_loading(loader->installer, now);
    load.staged = loader->installer && installer_is_staged(loader->installer);
    load.link_slow |= wanted_versions_link_is_slow(&loader->versions);
    return load;
}

static void write_load(const struct loader *loader, const struct backend_load *load, uint64_t now,
                       Shuntrun__EngineLoad *message)
{
    shuntrun__engine_load__init(message);
    message->address = (char *)loader->cluster.settings->engine_address;
    message->running = load->running;
    message->waiting = load->waiting;
    message->version = load->version;
    message->loading = load->loading;
    message->staged = load->staged;
    message->link_slow = load->link_slow;
    message->pace_permille = load->pace_permille;
    message->born = load->born;
    if (load->memory_total)
        message->memory_permille = (uint32_t)(load->memory_used * 1000 / load->memory_total);
    message->turn_ms = load->staged ? ms_until_scheduled(loader, now) : 0;
    message->leaving = load->leaving;
}

/* \return whether gateways of other regions need the report now */
static bool is_due_in_other_regions(const struct loader *loader, const struct backend_load *load,
                                    bool rate_changed, uint64_t now)
{
    const struct backend_load *sent = &loader->sent_load;
    return rate_changed ||
           now >= loader->cross_region_load_sent_at + CROSS_REGION_LOAD_INTERVAL_US ||
           load->loading != sent->loading || load->staged != sent->staged ||
           load->version != sent->version || load->leaving != sent->leaving;
}

static void log_load(struct loader *loader, const struct backend_load *load, uint64_t now)
{
    if (now < loader->next_load_log_at)
        return;
    loader->next_load_log_at = now + LOAD_LOG_INTERVAL_US;
    log_event(LOG_LEVEL_INFO, "engine", "load",
              "running=%u waiting=%u memory_used=%" PRIu64 " weights=%" PRIu64
              " loading=%d staged=%d pace_permille=%u",
              load->running, load->waiting, load->memory_used, load->version, load->loading,
              load->staged, load->pace_permille);
}

/* Sends the load, unless it is as sent before and no resend is due. */
static void send_load(struct loader *loader, uint64_t now)
{
    bool rate_changed = engine_rate_differs(&loader->rate, &loader->sent_rate);
    struct backend_load load = current_load(loader, now);
    if (memcmp(&load, &loader->sent_load, sizeof load) == 0 && !rate_changed &&
        now < loader->load_sent_at + LOAD_RESEND_INTERVAL_US)
        return;
    Shuntrun__EngineLoad message;
    Shuntrun__RateStatement rate;
    write_load(loader, &load, now, &message);
    if (loader->rate.stated.heard_at) {
        rate_message_write(&loader->rate.stated, loader->rate.born, now, &rate);
        message.rate = &rate;
    }
    bool cross_region = is_due_in_other_regions(loader, &load, rate_changed, now);
    if (cross_region)
        loader->cross_region_load_sent_at = now;
    cluster_send_load(&loader->cluster, &message, cross_region, rate_window_us(loader));
    log_load(loader, &load, now);
    loader->sent_load = load;
    loader->sent_rate = loader->rate.stated;
    loader->load_sent_at = now;
}

static void set_reachable(struct loader *loader, bool reachable)
{
    if (reachable != loader->reachable)
        log_event(reachable ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "engine",
                  reachable ? "regained" : "lost", "address=%s version=%" PRIu64,
                  loader->cluster.settings->engine_address, loader->report.load.version);
    loader->reachable = reachable;
}

/* The engine says in the head of each response whether it is shutting down, and which rate of
 * requests it accepts. */
static struct answer_properties read_statements(const struct http_message *message)
{
    struct response_head head;
    platform_read_response(message, &head);
    return head.properties;
}

static void log_shutdown_change(const struct loader *loader, bool leaving)
{
    if (leaving != loader->report.load.leaving)
        log_event(LOG_LEVEL_INFO, "engine", leaving ? "leaving" : "stays",
                  "address=%s born=%" PRIu64 " running=%u",
                  loader->cluster.settings->engine_address, loader->report.load.born,
                  loader->report.load.running);
}

static void log_rate(const struct loader *loader, const struct stated_rate *before,
                     const char *source)
{
    const struct stated_rate *rate = &loader->rate.stated;
    metric_add(METRIC_RATE_LIMITS, 1);
    log_event(LOG_LEVEL_INFO, "engine", rate->limited ? "rate-limited" : "rate-unlimited",
              "address=%s born=%" PRIu64 " source=%s per_s=%.3f before_per_s=%.3f was_limited=%d",
              loader->cluster.settings->engine_address, loader->rate.born, source, rate->per_s,
              before->per_s, before->limited);
}

static void hear_rate(struct loader *loader, const struct answer_properties *answer, uint64_t now)
{
    struct heard_rate heard = {answer->rate, answer->rate_limit_per_s, loader->report_asked_at};
    engine_rate_set_born(&loader->rate, loader->report.load.born);
    struct stated_rate before = loader->rate.stated;
    if (engine_rate_hear(&loader->rate, &heard, now))
        log_rate(loader, &before, "report");
}

static void on_rate(void *context, const Shuntrun__RateStatement *message)
{
    struct loader *loader = context;
    uint64_t now = cluster_now();
    struct stated_rate told = rate_message_read(message, now), before = loader->rate.stated;
    if (strcmp(message->address, loader->cluster.settings->engine_address) != 0 ||
        !engine_rate_merge(&loader->rate, message->born, &told))
        return;
    log_rate(loader, &before, "gateway");
    if (loader->reachable) /* else the next report is sent with it */
        send_load(loader, now);
}

static void on_report(void *context, enum http_call_result result,
                      const struct http_message *message)
{
    struct loader *loader = context;
    struct engine_report report;
    uint64_t now = cluster_now();
    loader->report_pending = false;
    bool valid = result == CALL_COMPLETE && http_message_status(message) == 200 &&
                 platform_read_report(message->body.data, message->body.size, loader->model,
                                      &report) == STATUS_OK;
    set_reachable(loader, valid);
    if (valid) {
        struct answer_properties statements = read_statements(message);
        report.load.leaving = statements.leaving;
        log_shutdown_change(loader, report.load.leaving);
        loader->report = report;
        hear_rate(loader, &statements, now);
        metric_gauge_set(METRIC_ENGINE_RUNNING, report.load.running);
        metric_gauge_set(METRIC_ENGINE_WAITING, report.load.waiting);
        metric_gauge_set(METRIC_ENGINE_VERSION, report.load.version);
    }
    if (loader->installer)
        installer_on_report(loader->installer, &loader->report, valid, now);
    if (valid)
        send_load(loader, now);
}

/* The engine may have restarted with an empty staging area before the next report. */
static void on_engine_connection_lost(void *context)
{
    struct loader *loader = context;
    if (loader->installer)
        installer_on_report(loader->installer, &loader->report, false, cluster_now());
}

static void request_report(struct loader *loader)
{
    struct http_caller_request request = {.method = "GET",
                                          .target = platform_report_target(),
                                          .timeout_ms = REPORT_TIMEOUT_MS,
                                          .body_limit = REPORT_BODY_LIMIT_BYTES,
                                          .done = on_report,
                                          .context = loader};
    loader->report_pending = true;
    loader->report_asked_at = cluster_now();
    http_caller_send(loader->engine_caller, &request);
}

/* --- items published by the platform ---------------------------------------------------------- */

static void find_origin(struct loader *loader)
{
    for (uint32_t i = 0; i < route_table_service_count(loader->table); i++) {
        const struct service_entry *service = route_table_service(loader->table, i);
        if (service->origin && tcp_address_parse(service->origin, &loader->origin))
            loader->has_origin = true;
    }
}

static void on_piece_held(void *context, const struct piece_store *store, uint32_t piece)
{
    struct loader *loader = context;
    wanted_versions_on_piece(&loader->versions, store, piece);
}

/* \param item that announced the version; NULL: the first version, which nobody announced */
static void add_wanted_version(struct loader *loader, uint64_t version,
                               const struct state_item *item)
{
    const struct settings *settings = loader->cluster.settings;
    uint64_t now = cluster_now();
    uint64_t newest = wanted_versions_newest(&loader->versions);
    if (version <= newest)
        return;
    struct piece_store_callbacks callbacks = {loader, on_piece_held};
    struct wanted_version wanted = {
        .version = version,
        .announced_at = item ? item->learned : now,
        .switch_us = settings->version_bound_ms * 1000,
        .undated = item && item->undated,
        .wanted_at = now,
        .store = piece_store_create(&loader->cluster, loader->model, &loader->origin, version,
                                    &callbacks),
    };
    if (wanted.undated)
        wanted.switch_us = version_bounds_undated_us(wanted.switch_us, settings->contact_ms * 1000);
    log_event(LOG_LEVEL_INFO, "weights", "version-wanted",
              "model=%s version=%" PRIu64 " before=%" PRIu64 " named_ms_ago=%" PRIu64
              " undated=%d switch_ms=%" PRIu64,
              loader->model, version, newest, (now - wanted.announced_at) / 1000, wanted.undated,
              wanted.switch_us / 1000);
    wanted_versions_add(&loader->versions, &wanted);
}

/* \return the version that an item names for the model of this loader; 0: none */
static uint64_t named_version(const struct loader *loader, const struct state_item *item)
{
    char name[PLATFORM_TEXT_SIZE];
    uint64_t version;
    if (item->gone || platform_item_kind(item->key, name, sizeof name) != ITEM_VERSION ||
        strcmp(name, loader->model) != 0)
        return 0;
    if (platform_parse_version(item->value ? item->value : "", item->size, &version) == STATUS_OK)
        return version;
    log_event(LOG_LEVEL_ERROR, "weights", "refused", "model=%s revision=%" PRIu64 " problem=\"%s\"",
              name, item->revision, status_message());
    return 0;
}

/* Finds the version that the engine is to run, once the configuration, origin and model are known.
 */
static void update_wanted_version(struct loader *loader)
{
    if (!loader->table || !loader->has_origin || !loader->installer)
        return;
    const struct state_cache *state = loader->cluster.state;
    for (uint32_t i = 0; i < state_cache_count(state); i++) {
        const struct state_item *item = state_cache_at(state, i);
        uint64_t version = named_version(loader, item);
        if (!version)
            continue;
        add_wanted_version(loader, version, item);
        return;
    }
    add_wanted_version(loader, INITIAL_VERSION, NULL);
}

static void apply_configuration(struct loader *loader, const struct state_item *item)
{
    struct findings findings = {0};
    struct route_table *table = platform_parse_configuration(item->value, item->size, &findings);
    process_log_findings(&findings, item->revision);
    findings_clear(&findings);
    if (!table)
        return;
    if (loader->table && route_table_version(table) < route_table_version(loader->table)) {
        log_event(LOG_LEVEL_WARN, "config", "older",
                  "version=%" PRIu64 " held=%" PRIu64 " revision=%" PRIu64,
                  route_table_version(table), route_table_version(loader->table), item->revision);
        route_table_release(table);
        return;
    }
    route_table_release(loader->table);
    loader->table = table;
    find_origin(loader);
    const struct service_entry *service = own_service(loader);
    if (!service || !service->engine.model || loader->installer)
        return;
    snprintf(loader->model, sizeof loader->model, "%s", service->engine.model);
    loader->installer =
        installer_create(loader->cluster.loop, &loader->engine_address, loader->model);
    loader->versions.installer = loader->installer;
    if (loader->predecessor_heard_at)
        installer_note_predecessor(loader->installer, loader->predecessor_heard_at,
                                   loader->predecessor_engine_born);
}

/* Called once for each node that reports it, possibly before the engine's model is known. */
static void on_predecessor(void *context, uint64_t heard_at, uint64_t engine_born)
{
    struct loader *loader = context;
    if (heard_at <= loader->predecessor_heard_at + PREDECESSOR_TIME_TOLERANCE_US)
        return;
    loader->predecessor_heard_at = heard_at;
    loader->predecessor_engine_born = engine_born;
    if (loader->installer)
        installer_note_predecessor(loader->installer, heard_at, engine_born);
}

static void on_item(void *context, const struct state_item *item)
{
    struct loader *loader = context;
    char name[PLATFORM_TEXT_SIZE];
    enum item_kind kind = platform_item_kind(item->key, name, sizeof name);
    if (item->gone)
        return;
    if (kind == ITEM_CONFIGURATION)
        apply_configuration(loader, item);
    /* Deferred to the next tick: other items of the same response may follow. */
    loader->version_check_pending |= kind == ITEM_CONFIGURATION || kind == ITEM_VERSION;
}

/* --- peers ------------------------------------------------------------------------------------ */

static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct loader *loader = context;
    struct piece_call wanted;
    piece_wire_read(request, &wanted);
    if (wanted.kind != PIECE_CALL_OTHER && wanted_versions_serve(&loader->versions, call, &wanted))
        return;
    service_reply(call, 404, NULL, NULL, 0);
}

static void on_woke(void *context, const struct wake *wake)
{
    struct loader *loader = context;
    if (wake->pause_us > WAKE_LONG_PAUSE_US)
        http_caller_abort(loader->engine_caller);
}

/* --- process ---------------------------------------------------------------------------------- */

static void on_tick(uv_timer_t *timer)
{
    struct loader *loader = timer->data;
    uint64_t now = cluster_now();
    if (!loader->report_pending && loader->model[0] && now >= loader->next_report_at) {
        bool changes = loader->installer && installer_is_loading(loader->installer, now);
        loader->next_report_at =
            now + (changes ? BUSY_TICK_INTERVAL_MS : REPORT_INTERVAL_MS) * 1000;
        request_report(loader);
    }
    if (loader->version_check_pending) {
        loader->version_check_pending = false;
        update_wanted_version(loader);
    }
    struct engine_state engine = {loader->report.load.version, loader->reachable};
    bool fetching = wanted_versions_fetch(&loader->versions, &engine, now);
    if (loader->installer) {
        wanted_versions_install(&loader->versions, engine.version, now);
        installer_tick(loader->installer, now, scheduled_load_time(loader));
    }
    bool busy = fetching || (loader->installer && installer_is_busy(loader->installer, now));
    uv_timer_start(timer, on_tick, busy ? BUSY_TICK_INTERVAL_MS : REPORT_INTERVAL_MS, 0);
}

static void on_stop(struct process *process)
{
    struct loader *loader = process->context;
    cluster_announce_draining(&loader->cluster);
    uv_stop(loader->cluster.loop);
}

static int loader_run(struct loader *loader, const struct settings *settings)
{
    struct cluster_callbacks callbacks = {.context = loader,
                                          .item_changed = on_item,
                                          .rate_received = on_rate,
                                          .call_received = on_call,
                                          .predecessor_reported = on_predecessor,
                                          .resumed_after_pause = on_woke};
    uv_loop_t *loop = uv_default_loop();
    if (!tcp_address_parse(settings->engine_address, &loader->engine_address)) {
        log_event(LOG_LEVEL_ERROR, "loader", "bad-address", "engine=%s", settings->engine_address);
        return 2;
    }
    if (cluster_open(&loader->cluster, loop, settings, MEMBER_LOADER, &callbacks))
        return 1;
    loader->engine_caller = http_caller_create(loop, &loader->engine_address);
    http_caller_set_on_disconnect(loader->engine_caller, on_engine_connection_lost, loader);
    uv_timer_init(loop, &loader->timer);
    loader->timer.data = loader;
    uv_timer_start(&loader->timer, on_tick, 1, 0);
    loader->process.page = crash_page_handle;
    loader->process.page_context = loader->cluster.crashes;
    return process_run(&loader->process, loop, on_stop, loader);
}

int loader_main(int argc, char **argv)
{
    struct loader *loader = memory_calloc(1, sizeof *loader);
    struct settings settings;
    int result = process_open(&loader->process, SETTING_ROLE_LOADER, argc, argv, &settings);
    if (result == 0)
        result = loader_run(loader, &settings);
    settings_clear(&settings);
    return result;
}

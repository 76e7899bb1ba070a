#include "loader/loader.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/crash_page.h"
#include "loader/loader_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Times derived from the ages in messages are accurate to this. */
#define PREDECESSOR_TIME_TOLERANCE_US 50000

/* --- items published by the platform ---------------------------------------------------------- */

static void find_origin(struct loader *loader)
{
    for (uint32_t i = 0; i < route_table_service_count(loader->table); i++) {
        const struct service_entry *service = route_table_service(loader->table, i);
        if (service->origin && tcp_address_parse(service->origin, &loader->origin))
            loader->has_origin = true;
    }
}

/* \return number of pieces of each version, as configured; 0: not configured */
static uint32_t expected_pieces(const struct loader *loader)
{
    const struct service_entry *service = loader_own_service(loader);
    return service ? service->engine.pieces : 0;
}

static void on_piece_held(void *context, const struct piece_store *store)
{
    struct loader *loader = context;
    wanted_versions_on_piece(&loader->versions, store);
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
    piece_store_expect(wanted.store, expected_pieces(loader));
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
    process_log_findings(&findings, table != NULL, item->revision);
    findings_clear(&findings);
    if (!table)
        return;
    if (route_table_is_older(table, loader->table)) {
        log_event(LOG_LEVEL_WARN, "config", "older",
                  "version=%" PRIu64 " held=%" PRIu64 " revision=%" PRIu64,
                  route_table_version(table), route_table_version(loader->table), item->revision);
        route_table_release(table);
        return;
    }
    route_table_release(loader->table);
    loader->table = table;
    find_origin(loader);
    wanted_versions_expect(&loader->versions, expected_pieces(loader));
    const struct service_entry *service = loader_own_service(loader);
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
        loader_request_report(loader);
    }
    if (loader->version_check_pending) {
        loader->version_check_pending = false;
        update_wanted_version(loader);
    }
    struct engine_state engine = {loader->report.load.version, loader->reachable};
    bool fetching = wanted_versions_fetch(&loader->versions, &engine, now);
    if (loader->installer) {
        wanted_versions_install(&loader->versions, engine.version, now);
        installer_tick(loader->installer, now, loader_scheduled_load_time(loader));
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

static void on_reloaded(struct process *process)
{
    struct loader *loader = process->context;
    cluster_reload_seeds(&loader->cluster);
}

static bool is_alone(const struct process *process)
{
    const struct loader *loader = process->context;
    return membership_is_alone(loader->cluster.membership);
}

static int loader_run(struct loader *loader, const struct settings *settings)
{
    struct cluster_callbacks callbacks = {.context = loader,
                                          .item_changed = on_item,
                                          .rate_received = loader_on_rate,
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
    http_caller_set_on_disconnect(loader->engine_caller, loader_on_engine_connection_lost, loader);
    uv_timer_init(loop, &loader->timer);
    loader->timer.data = loader;
    uv_timer_start(&loader->timer, on_tick, 1, 0);
    loader->process.reloaded = on_reloaded;
    loader->process.is_alone = is_alone;
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

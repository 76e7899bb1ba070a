/* Tells the gateways the load of the engine, with its rate limit, and when it is going to load
 * other weights. */
#include "base/log.h"
#include "cluster/rate_message.h"
#include "core/hash.h"
#include "core/staggered_start.h"
#include "loader/loader_internal.h"

#include <inttypes.h>
#include <string.h>

/** An unchanged load is sent again after this. */
#define LOAD_RESEND_INTERVAL_US 300000
/** Gateways of other regions get the load at this interval, or at once when the state of the
 * weights changes or the engine shuts down: they send few requests here, and traffic between
 * regions is expensive. */
#define CROSS_REGION_LOAD_INTERVAL_US 390000
#define LOAD_LOG_INTERVAL_US 500000

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

uint64_t loader_scheduled_load_time(const struct loader *loader)
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

/* \return time until the engine may load the staged version; 0: it may now, or the time is unknown
 */
static uint32_t ms_until_scheduled(const struct loader *loader, uint64_t now)
{
    uint64_t scheduled_at = loader_scheduled_load_time(loader);
    return scheduled_at > now ? (uint32_t)((scheduled_at - now) / 1000) : 0;
}

const struct service_entry *loader_own_service(const struct loader *loader)
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
    const struct service_entry *service = loader_own_service(loader);
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

void loader_send_load(struct loader *loader, uint64_t now)
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

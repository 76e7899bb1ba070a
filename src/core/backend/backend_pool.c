#include "core/backend/backend_pool.h"

#include "base/memory.h"
#include "core/backend/backend_pool_internal.h"

#include <stdlib.h>
#include <string.h>

/** Live backends list themselves again within this time of the store's recovery, according to
 *  its operators. */
#define RELIST_GRACE_US 2000000

/** Without a report for this time, an engine no longer counts as one that reports. */
#define REPORT_EXPIRY_US 10000000

struct backend_pool *backend_pool_create(const struct backend_pool_settings *settings,
                                         uint64_t seed)
{
    struct backend_pool *pool = memory_calloc(1, sizeof *pool);
    pool->settings = *settings;
    pool->random.seed = seed;
    pool->sound = true;
    return pool;
}

void backend_pool_configure(struct backend_pool *pool, const struct backend_pool_settings *settings)
{
    pool->settings = *settings;
}

void backend_pool_destroy(struct backend_pool *pool)
{
    for (uint32_t i = 0; i < pool->table.count; i++)
        backend_release(pool->table.items[i]);
    backend_table_clear(&pool->table);
    zone_set_clear(&pool->evacuated);
    free(pool);
}

struct backend *backend_retain(struct backend *backend)
{
    backend->references++;
    return backend;
}

void backend_release(struct backend *backend)
{
    if (--backend->references == 0)
        free(backend);
}

uint32_t backend_pool_count(const struct backend_pool *pool)
{
    return pool->table.count;
}

const struct backend *backend_pool_find(const struct backend_pool *pool, const char *id)
{
    return backend_table_find_id(&pool->table, id);
}

struct backend *backend_pool_find_address(const struct backend_pool *pool, const char *address)
{
    return backend_table_find_address(&pool->table, address);
}

struct backend *backend_pool_at(const struct backend_pool *pool, uint32_t index)
{
    return pool->table.items[index];
}

static void remove_backend(struct backend_pool *pool, struct backend *backend)
{
    backend->listed = false;
    backend_statement_save(pool, backend);
    backend_table_remove(&pool->table, backend);
    backend_release(backend);
}

static struct backend *add(struct backend_pool *pool, const struct backend_listing *listing)
{
    struct backend *backend = memory_calloc(1, sizeof *backend);
    /* A new entry replaces the one that was listed at its address before. */
    struct backend *before = backend_table_find_address(&pool->table, listing->address);
    if (before)
        remove_backend(pool, before);
    backend->references = 1;
    backend->rounding_draw = random_unit(&pool->random);
    backend->listing = *listing;
    backend_statement_restore(pool, backend);
    backend_table_add(&pool->table, backend);
    return backend;
}

/* An id may be reused by a later incarnation, at another address or for another service. */
static bool is_same_incarnation(const struct backend *backend,
                                const struct backend_listing *listing)
{
    return strcmp(backend->listing.address, listing->address) == 0 &&
           strcmp(backend->listing.service, listing->service) == 0 &&
           backend->listing.born == listing->born;
}

/* At an unchanged address the backoff of the earlier incarnation is kept: the list may name an
 * incarnation late, and the answer that asked for the backoff may already have come from the new
 * one. At worst the new incarnation gets its first request a little later. */
static struct backend *replace_incarnation(struct backend_pool *pool, struct backend *before,
                                           const struct backend_listing *listing)
{
    bool same_address = strcmp(before->listing.address, listing->address) == 0;
    uint64_t backoff_until = same_address ? before->backoff_until : 0;
    remove_backend(pool, before);
    struct backend *backend = add(pool, listing);
    if (backoff_until > backend->backoff_until)
        backend->backoff_until = backoff_until;
    return backend;
}

/* Writes may be delayed beyond later writes of the same incarnation. */
static bool is_stale_entry(const struct backend *backend, const struct backend_listing *listing)
{
    return listing->sequence < backend->listing.sequence;
}

/* Draining is final for an incarnation. Without start times, an entry that is no older than the
 * draining one revokes it, and an entry after the backend was presumed down belongs to the next
 * incarnation. */
static bool stays_leaving(const struct backend *backend, const struct backend_listing *listing)
{
    if (!backend->listing.draining)
        return false;
    if (listing->born)
        return backend->listed_born == listing->born;
    return !backend->presumed_down_until && is_stale_entry(backend, listing);
}

static void update_listing(struct backend *backend, const struct backend_listing *listing)
{
    bool stale = is_stale_entry(backend, listing);
    bool leaving = stays_leaving(backend, listing);
    if (stale && (leaving || listing->born))
        return;
    backend->listing = *listing;
    backend->listing.draining |= leaving;
}

struct backend *backend_pool_list(struct backend_pool *pool, const struct backend_listing *listing,
                                  uint16_t distance)
{
    struct backend *backend = backend_table_find_id(&pool->table, listing->id);
    if (!backend)
        backend = add(pool, listing);
    else if (!is_same_incarnation(backend, listing))
        backend = replace_incarnation(pool, backend, listing);
    update_listing(backend, listing);
    backend->listed_born = listing->born;
    backend->distance = distance;
    backend->region =
        pool->settings.zones ? zone_map_zone_bit(pool->settings.zones, backend->listing.zone) : 0;
    backend->evacuated = zone_set_contains(&pool->evacuated, backend->listing.zone);
    backend->listed = true;
    backend->unlisted_until = 0;
    backend->unlisted_in_outage = false;
    backend->leaving_recorded &= backend->listing.draining || backend->leaving;
    backend_clear_undated_incarnation(pool, backend);
    return backend;
}

/*
 * `from_outage` tells when the entry can have been lost, not whether the store works when the
 * change arrives: gateways notice an outage late, and backends that leave until then are really
 * gone.
 */
const struct backend *backend_pool_unlist(struct backend_pool *pool, const char *id,
                                          const struct backend_unlisting *drop, uint64_t now)
{
    struct backend *backend = backend_table_find_id(&pool->table, id);
    if (!backend)
        return NULL;
    if (backend->listing.draining || backend->leaving || backend->load.leaving) {
        remove_backend(pool, backend);
        return NULL;
    }
    if (backend->unlisted_until)
        return backend;
    backend->unlisted_at = now;
    backend->unlisted_in_outage = drop->from_outage;
    if (!drop->from_outage)
        backend_record_leaving(backend, drop->undated ? now : drop->learned);
    backend->unlisted_until =
        drop->learned + (drop->from_outage ? RELIST_GRACE_US : pool->settings.unlisted_grace_us);
    return backend;
}

static void extend_outage_grace(struct backend_pool *pool, uint64_t until)
{
    for (uint32_t i = 0; i < pool->table.count; i++) {
        struct backend *backend = pool->table.items[i];
        if (backend->unlisted_until && backend->unlisted_in_outage)
            backend->unlisted_until = until;
    }
}

void backend_pool_expire(struct backend_pool *pool, bool sound, uint64_t now)
{
    if (!sound || !pool->sound)
        extend_outage_grace(pool, now + RELIST_GRACE_US);
    pool->sound = sound;
    for (uint32_t i = pool->table.count; i-- > 0;) {
        struct backend *backend = pool->table.items[i];
        if (backend_unlisting_has_expired(backend, now))
            remove_backend(pool, backend);
        else if (backend->load_at && now > backend->load_at + REPORT_EXPIRY_US)
            backend_table_set_reported(&pool->table, backend, false);
    }
}

uint32_t backend_pool_set_evacuated(struct backend_pool *pool, const char *zone, bool evacuated)
{
    uint32_t changed = 0;
    if (!(evacuated ? zone_set_add : zone_set_remove)(&pool->evacuated, zone))
        return 0;
    for (uint32_t i = 0; i < pool->table.count; i++) {
        struct backend *backend = pool->table.items[i];
        if (strcmp(backend->listing.zone, zone) != 0)
            continue;
        backend->evacuated = evacuated;
        changed++;
    }
    return changed;
}

uint32_t backend_pool_evacuated_zones(const struct backend_pool *pool)
{
    return pool->evacuated.count;
}

void backend_pool_remove(struct backend_pool *pool, struct backend *backend)
{
    if (backend->listed)
        remove_backend(pool, backend);
}

void backend_pool_mark_down(struct backend_pool *pool, struct backend *backend, uint64_t now)
{
    backend->presumed_down_until = now + BACKEND_DOWN_US;
}

/* The listed incarnation counts as current even if the backend's clock was set back before it. */
static bool is_of_earlier_incarnation(const struct backend *backend,
                                      const struct backend_load *load)
{
    return load->born && load->born < backend->listing.born && load->born != backend->listed_born;
}

static bool is_of_later_incarnation(const struct backend *backend, const struct backend_load *load)
{
    return backend->listing.born && load->born > backend->listing.born;
}

void backend_record_cold(struct backend *backend, uint64_t until)
{
    if (until > backend->cold_until)
        backend->cold_until = until;
}

void backend_record_rate_rank(struct backend *backend, const struct rate_rank *rank, uint64_t now)
{
    backend->rate_rank = *rank;
    backend->rate_rank_at = now;
}

void backend_record_send(struct backend *backend, uint64_t now)
{
    send_window_record(&backend->sends, now);
    rate_probe_record_send(&backend->rate_probe, now);
}

/* The list does not name this incarnation yet. State learned from the earlier one is discarded,
 * except the listing: a backend that was unlisted does not become listed by a restart. */
static struct backend *begin_reported_incarnation(struct backend_pool *pool, struct backend *before,
                                                  uint64_t born)
{
    struct backend_listing listing = before->listing;
    listing.born = born;
    listing.sequence = 0;
    backend_retain(before);
    struct backend *backend = backend_pool_list(pool, &listing, before->distance);
    backend->listed_born = before->listed_born;
    backend->unlisted_at = before->unlisted_at;
    backend->unlisted_until = before->unlisted_until;
    backend->unlisted_in_outage = before->unlisted_in_outage;
    backend_release(before);
    return backend;
}

struct backend *backend_pool_report(struct backend_pool *pool, const char *address,
                                    const struct backend_load *load, uint64_t now)
{
    struct backend *backend = backend_table_find_address(&pool->table, address);
    if (!backend || is_of_earlier_incarnation(backend, load))
        return NULL;
    bool has_restarted = is_of_later_incarnation(backend, load);
    if (has_restarted)
        backend = begin_reported_incarnation(pool, backend, load->born);
    if (has_restarted || (backend->presumed_down_until && !backend->listing.born))
        backend->restarted_at = now;
    backend_clear_undated_incarnation(pool, backend);
    backend->presumed_down_until = 0;
    backend_record_rate_rank(backend, &load->rate_rank, now);
    backend->load = *load;
    backend->load_at = now;
    backend->turn_at = load->turn_ms ? now + load->turn_ms * (uint64_t)1000 : 0;
    backend->sent_since_report = 0;
    backend->tokens_since_report = 0;
    backend->started_since_report = 0;
    backend->rounding_draw = random_unit(&pool->random);
    backend_table_set_reported(&pool->table, backend, true);
    return backend;
}

#include "core/backend_pool.h"

#include "base/memory.h"
#include "core/backend_pool_internal.h"

#include <stdlib.h>
#include <string.h>

/** Back ends that live list themselves again within this time of the return of the list's keeper,
 * as its operators say. */
#define RELIST_GRACE_US 2000000

/** An engine that reported nothing for so long is no longer among those that report. */
#define REPORT_EXPIRY_US 10000000

struct backend_pool *backend_pool_create(const struct backend_pool_settings *settings,
                                         uint64_t seed)
{
    struct backend_pool *pool = memory_zero(1, sizeof *pool);
    pool->settings = *settings;
    pool->random.seed = seed;
    pool->sound = true;
    return pool;
}

void backend_pool_destroy(struct backend_pool *pool)
{
    for (uint32_t i = 0; i < pool->table.count; i++)
        backend_release(pool->table.items[i]);
    backend_table_clear(&pool->table);
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
    struct backend *backend = memory_zero(1, sizeof *backend);
    /* A new start at an address replaces whatever was listed there before. */
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

/* \return whether it stands for the listed one still; an id may be used again by another start */
static bool is_same_start(const struct backend *backend, const struct backend_listing *listing)
{
    return strcmp(backend->listing.address, listing->address) == 0 &&
           strcmp(backend->listing.service, listing->service) == 0 &&
           backend->listing.born == listing->born;
}

/* Which start has said that it wants nothing is not known where the list names starts late: it may
 * have been this one, whose answers were taken for those of the one before. At worst it gets its
 * first request a little later. */
static struct backend *replace_start(struct backend_pool *pool, struct backend *before,
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

/* Some writes are done late, after later ones of the same start. */
static bool is_stale_entry(const struct backend *backend, const struct backend_listing *listing)
{
    return listing->sequence < backend->listing.sequence;
}

/* That a start leaves is final. Where starts have no date, an entry that is no older than the one
 * that said so takes it back, and one after a known end is of the next start under the same id. */
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
    bool late = is_stale_entry(backend, listing);
    bool leaves = stays_leaving(backend, listing);
    if (late && (leaves || listing->born))
        return;
    backend->listing = *listing;
    backend->listing.draining |= leaves;
}

struct backend *backend_pool_list(struct backend_pool *pool, const struct backend_listing *listing,
                                  uint16_t distance)
{
    struct backend *backend = backend_table_find_id(&pool->table, listing->id);
    if (!backend)
        backend = add(pool, listing);
    else if (!is_same_start(backend, listing))
        backend = replace_start(pool, backend, listing);
    update_listing(backend, listing);
    backend->listed_born = listing->born;
    backend->distance = distance;
    backend->listed = true;
    backend->unlisted_until = 0;
    backend->unlisted_in_outage = false;
    backend->leaving_recorded &= backend->listing.draining || backend->leaving;
    backend_clear_undated_start(pool, backend);
    return backend;
}

/*
 * Whether the drop is doubted goes by when it can have happened, not by what is thought of the
 * keeper when the news come: gateways notice an outage late, and what leaves in that time is gone.
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
        backend_record_leaving(backend, drop->learned);
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

void backend_pool_remove(struct backend_pool *pool, struct backend *backend)
{
    if (backend->listed)
        remove_backend(pool, backend);
}

void backend_pool_mark_down(struct backend_pool *pool, struct backend *backend, uint64_t now)
{
    backend->presumed_down_until = now + BACKEND_DOWN_US;
}

/* What the list says holds, also when the back end's clock was set back between two starts. */
static bool is_of_earlier_start(const struct backend *backend, const struct backend_load *load)
{
    return load->born && load->born < backend->listing.born && load->born != backend->listed_born;
}

static bool is_of_later_start(const struct backend *backend, const struct backend_load *load)
{
    return backend->listing.born && load->born > backend->listing.born;
}

/* The list does not know of this start yet: nothing that was learned of the earlier one holds, but
 * what the list itself said last: one that it had dropped is not listed by starting again. */
static struct backend *begin_start(struct backend_pool *pool, struct backend *before, uint64_t born)
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
    if (!backend || is_of_earlier_start(backend, load))
        return NULL;
    if (is_of_later_start(backend, load))
        backend = begin_start(pool, backend, load->born);
    backend_clear_undated_start(pool, backend);
    backend->presumed_down_until = 0;
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

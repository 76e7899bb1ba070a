/* Statements of backends about themselves, in answers and list entries. They hold for the
 * incarnation that made them. */
#include "core/backend/backend_pool_internal.h"

#include <string.h>

static bool extend_backoff(struct backend *backend, uint64_t requested_us, uint64_t now)
{
    uint64_t length = requested_us < BACKEND_MAX_BACKOFF_US ? requested_us : BACKEND_MAX_BACKOFF_US;
    if (!requested_us || now + length <= backend->backoff_until)
        return false;
    backend->backoff_until = now + length;
    return true;
}

/* An answer to a request from before the backoff does not end the backoff.
 * \return whether this was the first success after one */
static bool record_success(struct backend *backend, uint64_t now)
{
    if (!backend_backoff_has_expired(backend, now))
        return false;
    backend->backoff_until = 0;
    backend->probing = false;
    return true;
}

/* The same incarnation may have been listed again since its removal. */
static void update_relisted(struct backend_pool *pool, const struct backend *dropped)
{
    struct backend *listed = backend_table_find_id(&pool->table, dropped->listing.id);
    backend_statement_save(pool, dropped);
    if (listed)
        backend_statement_restore(pool, listed);
}

struct backend_statement_effect
backend_pool_apply_statement(struct backend_pool *pool, struct backend *backend,
                             const struct backend_statement *statement, uint64_t now)
{
    struct backend_statement_effect change = {.now_leaving =
                                                  statement->leaving && !backend->leaving};
    backend->leaving |= statement->leaving;
    change.works_again = statement->works && record_success(backend, now);
    change.now_backed_off = extend_backoff(backend, statement->backoff_us, now);
    change.rate_changed = stated_rate_hear(&backend->rate, &statement->rate, now);
    if ((change.now_leaving || change.now_backed_off || change.rate_changed) && !backend->listed)
        update_relisted(pool, backend);
    return change;
}

static bool is_leaving(const struct backend *backend)
{
    return backend->listing.draining || backend->leaving || backend->load.leaving;
}

/* A backend that was unlisted in a store outage may still run. */
static bool is_unlisted_outside_outage(const struct backend *backend)
{
    return backend->unlisted_until && !backend->unlisted_in_outage;
}

void backend_record_leaving(struct backend *backend, uint64_t since)
{
    if (!backend->leaving_recorded)
        backend->leaving_known_since = since;
    backend->leaving_recorded = true;
}

bool backend_exit_is_planned(const struct backend_pool *pool, const struct backend *backend,
                             uint64_t now)
{
    if (!is_leaving(backend) && !is_unlisted_outside_outage(backend))
        return false;
    return backend->leaving_known_since &&
           now >= backend->leaving_known_since + pool->settings.min_drain_us;
}

static bool is_of_incarnation(const struct saved_statement *kept, const struct backend *backend)
{
    return strcmp(kept->id, backend->listing.id) == 0 && kept->born == backend->listing.born;
}

static struct saved_statement *find_saved(struct backend_pool *pool, const struct backend *backend)
{
    for (uint32_t i = 0; i < SAVED_STATEMENTS; i++)
        if (is_of_incarnation(&pool->kept[i], backend))
            return &pool->kept[i];
    return NULL;
}

/* A draining entry without a start time may be of another incarnation under the same id. */
static bool is_leaving_permanently(const struct backend *backend)
{
    return backend->leaving || (backend->listing.draining && backend->listing.born);
}

void backend_statement_save(struct backend_pool *pool, const struct backend *backend)
{
    if (!is_leaving_permanently(backend) && !backend->backoff_until && !backend->rate.heard_at)
        return;
    struct saved_statement *kept = find_saved(pool, backend);
    if (!kept) {
        kept = &pool->kept[pool->saved_next];
        pool->saved_next = (pool->saved_next + 1) % SAVED_STATEMENTS;
        *kept = (struct saved_statement){.born = backend->listing.born};
        memcpy(kept->id, backend->listing.id, sizeof kept->id);
    }
    kept->leaving |= is_leaving_permanently(backend);
    if (!kept->leaving_known_since)
        kept->leaving_known_since = backend->leaving_known_since;
    if (backend->backoff_until > kept->backoff_until)
        kept->backoff_until = backend->backoff_until;
    stated_rate_merge(&kept->rate, &backend->rate);
}

void backend_statement_restore(struct backend_pool *pool, struct backend *backend)
{
    const struct saved_statement *kept = find_saved(pool, backend);
    if (!kept)
        return;
    backend->leaving |= kept->leaving;
    if (kept->leaving && kept->leaving_known_since)
        backend_record_leaving(backend, kept->leaving_known_since);
    if (kept->backoff_until > backend->backoff_until)
        backend->backoff_until = kept->backoff_until;
    stated_rate_merge(&backend->rate, &kept->rate);
}

/* With a start time, a repeated entry is no evidence that the backend is up again. */
void backend_clear_undated_incarnation(struct backend_pool *pool, struct backend *backend)
{
    if (backend->listing.born || !backend->presumed_down_until)
        return;
    struct saved_statement *kept = find_saved(pool, backend);
    if (kept)
        *kept = (struct saved_statement){0};
    backend->presumed_down_until = 0;
    backend->leaving = false;
    backend->leaving_recorded = false;
    backend->leaving_known_since = 0;
    backend->backoff_until = 0;
    backend->rate = (struct stated_rate){0};
    backend->rate_probe = (struct rate_probe){0};
}

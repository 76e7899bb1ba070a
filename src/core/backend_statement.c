/* What back ends say of themselves in their answers: facts of the start that answered. */
#include "core/backend_pool_internal.h"

#include <string.h>

static bool extend_backoff(struct backend *backend, uint64_t asked_us, uint64_t now)
{
    uint64_t length = asked_us < BACKEND_BACKOFF_MOST_US ? asked_us : BACKEND_BACKOFF_MOST_US;
    if (!asked_us || now + length <= backend->backoff_until)
        return false;
    backend->backoff_until = now + length;
    return true;
}

/* An answer to a request from before its time off does not end it. */
static void note_work(struct backend *backend, uint64_t now)
{
    if (!backend_is_returning(backend, now))
        return;
    backend->backoff_until = 0;
    backend->probing = false;
}

unsigned backend_pool_hear(struct backend *backend, const struct backend_statement *statement,
                           uint64_t now)
{
    unsigned change = BACKEND_UNCHANGED;
    if (statement->leaving && !backend->leaving)
        change |= BACKEND_NOW_LEAVING;
    backend->leaving |= statement->leaving;
    if (statement->works)
        note_work(backend, now);
    if (extend_backoff(backend, statement->backoff_us, now))
        change |= BACKEND_NOW_BACKED_OFF;
    return change;
}

void backend_statement_keep(struct backend_pool *pool, const struct backend *backend)
{
    if (!backend->leaving && !backend->backoff_until)
        return;
    struct kept_statement *kept = &pool->kept[pool->kept_next];
    pool->kept_next = (pool->kept_next + 1) % KEPT_STATEMENTS;
    memcpy(kept->id, backend->listing.id, sizeof kept->id);
    kept->born = backend->listing.born;
    kept->leaving = backend->leaving;
    kept->backoff_until = backend->backoff_until;
}

void backend_statement_restore(const struct backend_pool *pool, struct backend *backend)
{
    for (uint32_t i = 0; i < KEPT_STATEMENTS; i++) {
        const struct kept_statement *kept = &pool->kept[i];
        if (strcmp(kept->id, backend->listing.id) != 0 || kept->born != backend->listing.born)
            continue;
        backend->leaving |= kept->leaving;
        if (kept->backoff_until > backend->backoff_until)
            backend->backoff_until = kept->backoff_until;
    }
}

/* The entry of a start with a date, told again, is no sign of life: 40 requests within 0.3 s went to
 * an address that refused them. */
void backend_show_again(struct backend *backend)
{
    if (backend->listing.born || !backend->ended_until)
        return;
    backend->ended_until = 0;
    backend->leaving = false;
    backend->backoff_until = 0;
}

/* What back ends say of themselves in their answers. */
#include "core/backend_pool_internal.h"

static bool extend_backoff(struct backend *backend, uint64_t asked_us, uint64_t now)
{
    uint64_t length = asked_us < BACKEND_BACKOFF_MOST_US ? asked_us : BACKEND_BACKOFF_MOST_US;
    if (!asked_us || now + length <= backend->backoff_until)
        return false;
    backend->backoff_until = now + length;
    return true;
}

unsigned backend_pool_hear(struct backend *backend, const struct backend_statement *statement,
                           uint64_t now)
{
    unsigned change = BACKEND_UNCHANGED;
    if (statement->leaving && !backend->leaving)
        change |= BACKEND_NOW_LEAVING;
    backend->leaving |= statement->leaving;
    if (extend_backoff(backend, statement->backoff_us, now))
        change |= BACKEND_NOW_BACKED_OFF;
    return change;
}

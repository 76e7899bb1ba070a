#include "core/backend/liveness.h"

#include <string.h>

enum liveness liveness_from_probe(enum probe_result result, const char *backend_id,
                                  const char *answered_by)
{
    switch (result) {
    case PROBE_REFUSED:
        return LIVENESS_ENDED;
    case PROBE_UNANSWERED:
        return LIVENESS_UNKNOWN;
    case PROBE_ANSWERED:
        break;
    }
    if (!answered_by[0])
        return LIVENESS_UNKNOWN;
    return strcmp(answered_by, backend_id) == 0 ? LIVENESS_ALIVE : LIVENESS_ENDED;
}

bool liveness_probe_covers(uint64_t asked_at, uint64_t ended_at)
{
    return asked_at >= ended_at;
}

const char *liveness_name(enum liveness liveness)
{
    static const char *const names[] = {
        [LIVENESS_UNKNOWN] = "unknown", [LIVENESS_ALIVE] = "alive", [LIVENESS_ENDED] = "ended"};
    return names[liveness];
}

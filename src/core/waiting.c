#include "core/waiting.h"

#define WAIT_LEAST_US 15000
/** Less than this share of the usual time shows an attempt that is not the first. */
#define CAME_BACK_SHARE 0.85
/** Share of its time for which the request of a client that came back waits. */
#define HELD_SHARE 0.45
/** The part of the objective that an engine takes for the first token at best. */
#define SERVICE_SHARE 0.4
/** Part of an engine that overdue requests may fill at first. */
#define OVERDUE_ROOM 0.5

bool waiting_came_back(const struct waiting_terms *terms)
{
    return terms->deadline_us &&
           (double)terms->deadline_us < CAME_BACK_SHARE * (double)terms->longest_deadline_us;
}

uint64_t waiting_until(const struct waiting_terms *terms)
{
    uint64_t wait = terms->wait_percent * terms->target_us / 100;
    if (wait < WAIT_LEAST_US)
        wait = WAIT_LEAST_US;
    uint64_t held = (uint64_t)(HELD_SHARE * (double)terms->deadline_us);
    if (waiting_came_back(terms) && held > wait)
        wait = held;
    return terms->arrived + wait;
}

bool waiting_is_overdue(const struct waiting_terms *terms, uint64_t now)
{
    return now > terms->arrived + (uint64_t)((1 - SERVICE_SHARE) * (double)terms->target_us);
}

double waiting_room_share(const struct waiting_terms *terms, uint64_t now)
{
    if (!waiting_is_overdue(terms, now))
        return 1;
    uint64_t limit = waiting_until(terms);
    if (now >= limit)
        return 1;
    double waited = (double)(now - terms->arrived) / (double)(limit - terms->arrived);
    return OVERDUE_ROOM + (1 - OVERDUE_ROOM) * waited;
}

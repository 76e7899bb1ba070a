#include "core/crash_lease.h"

bool crash_lease_is_valid(const struct crash_lease *lease, uint64_t now)
{
    return lease->start && now < lease->since + CRASH_LEASE_US;
}

bool crash_lease_is_settled(const struct crash_lease *lease, uint64_t now)
{
    return now >= lease->since + CRASH_LEASE_SETTLES_US;
}

static bool is_clearly_earlier(const struct crash_lease *lease, const struct crash_lease *other)
{
    return lease->since + CRASH_LEASE_SETTLES_US <= other->since;
}

bool crash_lease_replaces(const struct crash_lease *lease, const struct crash_lease *known)
{
    if (!lease->start || lease->start == known->start)
        return false;
    if (!known->start || is_clearly_earlier(known, lease))
        return true;
    if (is_clearly_earlier(lease, known))
        return false;
    if (lease->since != known->since)
        return lease->since < known->since;
    return lease->start < known->start;
}

bool crash_lease_goes_before(const struct crash_lease *lease, const struct crash_lease *other,
                             bool more_suspect)
{
    if (is_clearly_earlier(lease, other))
        return true;
    return !is_clearly_earlier(other, lease) && more_suspect;
}

#include "core/crash/crash_lease.h"

bool crash_lease_is_valid(const struct crash_lease *lease, uint64_t now)
{
    return lease->incarnation && now < lease->since + CRASH_LEASE_DURATION_US;
}

bool crash_lease_is_settled(const struct crash_lease *lease, uint64_t now)
{
    return now >= lease->since + CRASH_LEASE_PROPAGATION_US;
}

static bool is_clearly_earlier(const struct crash_lease *lease, const struct crash_lease *other)
{
    return lease->since + CRASH_LEASE_PROPAGATION_US <= other->since;
}

bool crash_lease_replaces(const struct crash_lease *lease, const struct crash_lease *known)
{
    if (!lease->incarnation || lease->incarnation == known->incarnation)
        return false;
    if (!known->incarnation || is_clearly_earlier(known, lease))
        return true;
    if (is_clearly_earlier(lease, known))
        return false;
    if (lease->since != known->since)
        return lease->since < known->since;
    return lease->incarnation < known->incarnation;
}

bool crash_lease_takes_precedence(const struct crash_lease *lease, const struct crash_lease *other,
                                  bool more_suspect)
{
    if (is_clearly_earlier(lease, other))
        return true;
    return !is_clearly_earlier(other, lease) && more_suspect;
}

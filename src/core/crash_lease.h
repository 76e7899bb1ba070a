/**
 * Who of the requests that may crash back ends runs at which of them.
 *
 * Such a request asks for a start of a back end by a lease that all gateways hear of, and is sent
 * there CRASH_LEASE_PROPAGATION_US later if nobody goes before it. Of two that ask within that time
 * the one under more suspicion goes first, so that it is proven or cleared soon; an earlier lease
 * holds otherwise. A lease ends by its time, with the start, or when the request is cleared or
 * blocked. Two gateways that do not hear each other may both send: the end that follows is no proof
 * then.
 */
#ifndef SHUNTRUN_CRASH_LEASE_H
#define SHUNTRUN_CRASH_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** News of a lease reach all gateways within this time. */
#define CRASH_LEASE_PROPAGATION_US ((uint64_t)30000)
/** A request that crashes its back end does so within this time of its begin, mostly: then others
 * have their turn. */
#define CRASH_LEASE_DURATION_US ((uint64_t)2000000)
/** Leases that bar back ends to one request; more are left out. */
#define CRASH_MAX_LEASED_INCARNATIONS 64

struct crash_lease {
    uint64_t incarnation; /**< of a back end, see crash_incarnation_key(); 0: there is no lease */
    uint64_t since;
};

/** \return whether it holds a start at this time */
bool crash_lease_is_valid(const struct crash_lease *lease, uint64_t now);
/** \return whether nobody who asked at the same time can come up any more */
bool crash_lease_is_settled(const struct crash_lease *lease, uint64_t now);
/** \return whether a lease takes the place of the one that is known of the same request */
bool crash_lease_replaces(const struct crash_lease *lease, const struct crash_lease *known);
/**
 * \return whether the one lease goes before the other
 * \param more_suspect of its request, if both asked at the same time
 */
bool crash_lease_takes_precedence(const struct crash_lease *lease, const struct crash_lease *other,
                                  bool more_suspect);

#endif

/**
 * Leases that keep isolated requests, which may crash backends, on separate backend incarnations.
 *
 * An isolated request acquires a lease on a backend incarnation, which is sent to all gateways. The
 * request is sent to the backend CRASH_LEASE_PROPAGATION_US later, unless another lease takes
 * precedence. Of two leases acquired within that time, the one of the more suspect request takes
 * precedence, so that it is soon proven or cleared; otherwise the earlier lease does. A lease ends
 * when it expires, when the incarnation ends, or when the request is cleared or blocked.
 *
 * Two gateways that cannot reach each other may both send their requests: a crash that follows is
 * then no proof.
 */
#ifndef SHUNTRUN_CRASH_LEASE_H
#define SHUNTRUN_CRASH_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** A lease is known to all gateways within this time. */
#define CRASH_LEASE_PROPAGATION_US ((uint64_t)30000)
/** A request that crashes its backend mostly does so within this time of its begin; after that
 *  other isolated requests may use the backend. */
#define CRASH_LEASE_DURATION_US ((uint64_t)2000000)
/** Incarnations leased to other requests that are considered for one request; more are ignored. */
#define CRASH_MAX_LEASED_INCARNATIONS 64

struct crash_lease {
    uint64_t incarnation; /**< see crash_incarnation_key(); 0: there is no lease */
    uint64_t since;       /**< when the lease was acquired, microseconds */
};

/** \return whether there is a lease and it has not expired */
bool crash_lease_is_valid(const struct crash_lease *lease, uint64_t now);
/** \return whether all leases that may take precedence over this one are known by now */
bool crash_lease_is_settled(const struct crash_lease *lease, uint64_t now);
/** \return whether a lease replaces the known one of the same request */
bool crash_lease_replaces(const struct crash_lease *lease, const struct crash_lease *known);
/**
 * \param more_suspect whether the request of `lease` is under more suspicion than the other; it
 * decides between leases acquired at about the same time
 * \return whether `lease` takes precedence over `other`
 */
bool crash_lease_takes_precedence(const struct crash_lease *lease, const struct crash_lease *other,
                                  bool more_suspect);

#endif

/**
 * Probes of a backend that states a rate limit: requests of a gateway that has no quota left, which
 * show whether the limit has ended. Only an answer shows that, and a gateway that has a quota may
 * have no callers, or have ended.
 *
 * A gateway that had to refuse callers claims the next probe, and tells all other gateways. It may
 * send one request RATE_PROBE_CLAIM_US later, within RATE_PROBE_GRANT_US, unless a claim that takes
 * precedence reaches it by then; gateways that hear of a claim do not claim until that probe's
 * answer has become old, too.
 * So gateways that reach each other send RATE_PROBES_PER_WINDOW probes together in any window of
 * the limit. A gateway that does not reach most of the others cannot hear of their claims, and
 * sends one probe in a window.
 *
 * No I/O, no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_RATE_PROBE_H
#define SHUNTRUN_RATE_PROBE_H

#include "core/rate/stated_rate.h"

/** A claim reaches all gateways within this time. */
#define RATE_PROBE_CLAIM_US ((uint64_t)200000)
/** A probe may be sent for this long: callers return at about the time that they were told. */
#define RATE_PROBE_GRANT_US ((uint64_t)600000)
/** A claim is made when the limit was not heard for this long. */
#define RATE_PROBE_INTERVAL_US ((uint64_t)1150000)
/** The same for a gateway that does not reach most of the others: with the claim, longer than the
 * window of the limit. */
#define RATE_PROBE_ISOLATED_INTERVAL_US ((uint64_t)3900000)
/** A gateway claims probes for this long after it had to refuse a caller. */
#define RATE_PROBE_DEMAND_US ((uint64_t)1000000)

/** What one gateway knows of the probes of one backend. All 0 at first. */
struct rate_probe {
    uint64_t demand_at;  /**< last time the limit kept a request of this gateway away */
    uint64_t claimed_at; /**< own claim; 0: none */
    uint64_t settled_at; /**< time at which the last probe of any gateway was sent, at the latest */
    bool isolated;       /**< this gateway does not reach most of the others */
};

/** What the claim of another gateway means for this one. */
enum rate_probe_claim_effect {
    RATE_PROBE_NO_OWN_CLAIM,
    RATE_PROBE_WITHDRAWN, /**< the other claim takes precedence over the own one */
    RATE_PROBE_DEFENDED,  /**< the own claim does: tell the other gateway of it again */
};

/** \brief Record that the limit kept a request of this gateway away from the backend. */
void rate_probe_record_demand(struct rate_probe *probe, uint64_t now);
/** \brief Claim the next probe if it is due and this gateway has callers. Call it on each tick.
 * \return whether other gateways must be told of the claim, which is repeated until it settles */
bool rate_probe_claim(struct rate_probe *probe, const struct stated_rate *rate, uint64_t now);
/**
 * \brief Apply the claim of another gateway.
 * \param has_precedence whether that gateway's claims take precedence over those of this one
 * \param claimed_at time of its claim by the clock of this node
 */
enum rate_probe_claim_effect rate_probe_hear_claim(struct rate_probe *probe, bool has_precedence,
                                                   uint64_t claimed_at);
/** \return whether this gateway may send a probe now */
bool rate_probe_is_granted(const struct rate_probe *probe, uint64_t now);
/** \brief Record that a request was sent to the backend: a granted probe is used up. */
void rate_probe_record_send(struct rate_probe *probe, uint64_t now);
/** \return the time from which this gateway may send a probe, if no other gateway claims it */
uint64_t rate_probe_next_at(const struct rate_probe *probe, const struct stated_rate *rate,
                            uint64_t now);

#endif

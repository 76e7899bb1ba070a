#include "core/rate/rate_probe.h"

static uint64_t interval_us(const struct rate_probe *probe)
{
    return probe->isolated ? RATE_PROBE_ISOLATED_INTERVAL_US : RATE_PROBE_INTERVAL_US;
}

/* \return time from which the next probe may be claimed */
static uint64_t due_at(const struct rate_probe *probe, const struct stated_rate *rate)
{
    uint64_t since = rate->heard_at > probe->settled_at ? rate->heard_at : probe->settled_at;
    return since + interval_us(probe);
}

/* \return the time until which a probe that was claimed then may be sent */
static uint64_t lapses_at(uint64_t claimed_at)
{
    return claimed_at + RATE_PROBE_CLAIM_US + RATE_PROBE_GRANT_US;
}

static bool has_claim(const struct rate_probe *probe, uint64_t now)
{
    return probe->claimed_at && now < lapses_at(probe->claimed_at);
}

static void settle(struct rate_probe *probe, uint64_t at)
{
    probe->claimed_at = 0;
    if (at > probe->settled_at)
        probe->settled_at = at;
}

void rate_probe_record_demand(struct rate_probe *probe, uint64_t now)
{
    probe->demand_at = now;
}

bool rate_probe_claim(struct rate_probe *probe, const struct stated_rate *rate, uint64_t now)
{
    if (!rate->limited)
        return false;
    /* Other gateways claim first after a claim that was not used. */
    if (probe->claimed_at && !has_claim(probe, now))
        settle(probe, lapses_at(probe->claimed_at) + RATE_PROBE_CLAIM_US);
    bool has_demand = probe->demand_at && now < probe->demand_at + RATE_PROBE_DEMAND_US;
    if (!has_claim(probe, now) && has_demand && now >= due_at(probe, rate))
        probe->claimed_at = now;
    return has_claim(probe, now) && !rate_probe_is_granted(probe, now);
}

enum rate_probe_claim_effect rate_probe_hear_claim(struct rate_probe *probe, bool has_precedence,
                                                   uint64_t claimed_at)
{
    bool is_own_current = has_claim(probe, claimed_at);
    if (is_own_current && !has_precedence)
        return RATE_PROBE_DEFENDED;
    settle(probe, lapses_at(claimed_at));
    return is_own_current ? RATE_PROBE_WITHDRAWN : RATE_PROBE_NO_OWN_CLAIM;
}

bool rate_probe_is_granted(const struct rate_probe *probe, uint64_t now)
{
    return has_claim(probe, now) && now >= probe->claimed_at + RATE_PROBE_CLAIM_US;
}

void rate_probe_record_send(struct rate_probe *probe, uint64_t now)
{
    if (rate_probe_is_granted(probe, now))
        settle(probe, now);
}

uint64_t rate_probe_next_at(const struct rate_probe *probe, const struct stated_rate *rate,
                            uint64_t now)
{
    uint64_t claim_at = has_claim(probe, now) ? probe->claimed_at : due_at(probe, rate);
    uint64_t next_at = claim_at + RATE_PROBE_CLAIM_US;
    if (!has_claim(probe, now) && claim_at < now)
        next_at = now + RATE_PROBE_CLAIM_US;
    return next_at > now ? next_at : now;
}

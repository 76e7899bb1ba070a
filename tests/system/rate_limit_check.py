"""Whether a stand-in back end got more requests than the rate limits that it stated allow."""

WINDOW_S = 4.0
OVER = 1.5  # multiple of the limit that a window may hold
SLACK = 5  # requests that it may hold in addition
TOLD_S = 0.5  # a gateway that passed on a limit knows of it after this time
# The bound holds from this time after the limit was first stated.
CONTACT_S = 3.0


def gateway_of(identity):
    """The gateway, from the request id that a client chose; None: not a client's request."""
    return identity.split("-")[0] if identity and identity.startswith("g") else None


def told_at(answers):
    """Maps each gateway to the time at which an answer first told it of the limit."""
    told = {}
    for identity, when in answers:
        if gateway_of(identity):
            told.setdefault(gateway_of(identity), when)
    return told


def excess(backend):
    """The first window with too many requests, as (time, requests, allowed, limit); None if there is none. Each
    period of one limit is judged on its own."""
    for period in list(backend.rate_limits):
        ended = period.ended or float("inf")
        told = told_at(period.answers)
        if not told:
            continue
        first = min(told.values()) + CONTACT_S
        times = sorted(when for identity, when, started in list(backend.arrivals)
                       if started == period.started_ms and first <= when < ended and
                       when > told.get(gateway_of(identity), float("inf")) + TOLD_S)
        allowed = OVER * WINDOW_S * period.per_s + SLACK
        oldest = 0
        for newest, when in enumerate(times):
            while times[oldest] <= when - WINDOW_S:
                oldest += 1
            if newest - oldest + 1 > allowed:
                return (when, newest - oldest + 1, allowed, period.per_s)
    return None

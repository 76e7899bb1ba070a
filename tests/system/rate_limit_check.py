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


def told_at(answers, gateway):
    """Maps each gateway to the time at which an answer first told it of the limit."""
    told = {}
    for identity, when in answers:
        if gateway(identity):
            told.setdefault(gateway(identity), when)
    return told


def counted_arrivals(backend, period, gateway, counts, delay_s):
    """The sorted times of the requests that count in one period of a limit."""
    told = told_at(list(period.answers), gateway)
    if not told:
        return []
    first = min(told.values()) + CONTACT_S
    ended = period.ended or float("inf")
    return sorted(when for identity, when, started in list(backend.arrivals)
                  if started == period.started_ms and first <= when < ended and
                  when > told.get(gateway(identity), float("inf")) + TOLD_S + delay_s and
                  counts(identity, when))


def excess(backend, gateway=gateway_of, counts=lambda identity, at: True, delay_s=0.0):
    """The first window with too many requests, as (time, requests, allowed, limit); None if there is none. Each
    period of one limit is judged on its own. `gateway` names the gateway of a request, `counts` tells whether its
    arrival at a time counts, and a busy machine may delay a gateway by `delay_s`."""
    for period in list(backend.rate_limits):
        allowed = OVER * WINDOW_S * period.per_s + SLACK
        times = counted_arrivals(backend, period, gateway, counts, delay_s)
        oldest = 0
        for newest, when in enumerate(times):
            while times[oldest] <= when - WINDOW_S:
                oldest += 1
            if newest - oldest + 1 > allowed:
                return (when, newest - oldest + 1, allowed, period.per_s)
    return None

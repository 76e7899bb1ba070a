#include "core/rate/stated_rate.h"

/** Answers in transit still state a limit for this long after another node heard its end. */
#define TRANSIT_US 100000

/* \return whether `limited` and `per_s` change */
static bool replace(struct stated_rate *rate, const struct stated_rate *with)
{
    bool changed = rate->limited != with->limited || rate->per_s != with->per_s;
    *rate = *with;
    return changed;
}

bool stated_rate_hear(struct stated_rate *rate, const struct heard_rate *heard, uint64_t now)
{
    struct stated_rate limited = {true, heard->per_s, now}, ended = {.heard_at = now};
    switch (heard->statement) {
    case RATE_LIMITED:
        return replace(rate, &limited);
    case RATE_UNLIMITED:
        return rate->limited && heard->asked_at > rate->heard_at && replace(rate, &ended);
    case RATE_UNKNOWN:
        break;
    }
    return false;
}

bool stated_rate_merge(struct stated_rate *rate, const struct stated_rate *told)
{
    uint64_t tolerance_us = told->limited ? 0 : TRANSIT_US;
    return told->heard_at + tolerance_us > rate->heard_at && replace(rate, told);
}

#include "loader/engine_rate.h"

void engine_rate_set_born(struct engine_rate *rate, uint64_t born)
{
    if (rate->born != born)
        *rate = (struct engine_rate){.born = born};
}

bool engine_rate_hear(struct engine_rate *rate, const struct heard_rate *heard, uint64_t now)
{
    bool states_limit = heard->statement == RATE_LIMITED;
    if (!states_limit && !rate->stated_in_report)
        return false;
    bool changed = stated_rate_hear(&rate->stated, heard, now);
    rate->stated_in_report = states_limit || (rate->stated_in_report && rate->stated.limited);
    return changed;
}

bool engine_rate_merge(struct engine_rate *rate, uint64_t born, const struct stated_rate *told)
{
    if (rate->born != born || !stated_rate_merge(&rate->stated, told))
        return false;
    rate->stated_in_report = false;
    return true;
}

bool engine_rate_differs(const struct engine_rate *rate, const struct stated_rate *sent)
{
    return rate->stated.limited != sent->limited || rate->stated.per_s != sent->per_s;
}

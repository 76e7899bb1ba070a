#include "core/load/demand.h"

static void close_window(struct demand *demand, uint64_t now)
{
    double rate = demand->clients * 1e6 / (double)(now - demand->window_began);
    demand->rate = demand->windows ? demand->rate + DEMAND_WEIGHT * (rate - demand->rate) : rate;
    demand->windows += demand->windows < DEMAND_MIN_WINDOWS;
    demand->clients = 0;
    demand->window_began = now;
}

void demand_record(struct demand *demand, uint64_t now)
{
    if (!demand->window_began)
        demand->window_began = now;
    demand->clients++;
    if (now >= demand->window_began + DEMAND_WINDOW_US)
        close_window(demand, now);
}

double demand_ratio(const struct demand *demand, const struct capacity *capacity)
{
    if (demand->windows < DEMAND_MIN_WINDOWS || !capacity->slots || !capacity->slot_time_us)
        return 0;
    double rate = demand->rate * capacity->gateways;
    return rate * (double)capacity->slot_time_us / 1e6 / capacity->slots;
}

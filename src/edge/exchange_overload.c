/* Whether an overload of the request's service lasts (core/load/overload, core/load/demand). */
#include "edge/exchange_internal.h"

/** Time for which the number of slots is used before engines are counted again. */
#define SLOTS_INTERVAL_US 100000

static uint32_t slots_of_service(const struct exchange *exchange, uint64_t now)
{
    struct service_state *service = exchange->service_state;
    if (now < service->slots_until)
        return service->slots;
    struct backend_criteria criteria = {.service = exchange->service->name, .engine = true};
    service->slots_until = now + SLOTS_INTERVAL_US;
    service->slots = backend_pool_slots(exchange->edge->pool, &criteria, now);
    return service->slots;
}

bool exchange_takes_leftovers(struct exchange *exchange, uint64_t now)
{
    const struct service_state *service = exchange->service_state;
    if (!exchange->is_client_retry || exchange->streaming || exchange->tried_count ||
        !exchange->service->engine.model)
        return false;
    struct capacity capacity = {
        .slots = slots_of_service(exchange, now),
        .gateways = exchange->edge->gateways,
        .slot_time_us = stream_length_expected_us(&service->stream_length, 0),
    };
    return overload_lasts(&service->overload, demand_ratio(&service->demand, &capacity), now);
}

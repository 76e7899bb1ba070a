/* Whether an overload of the request's service lasts (core/load/overload, core/load/demand). */
#include "base/log.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>

/** Time for which the number of slots is used before engines are counted again. */
#define SLOTS_INTERVAL_US 100000

static uint32_t slots_of_service(const struct exchange *exchange, uint64_t now)
{
    struct service_state *service = exchange->service_state;
    if (now < service->slots_until)
        return service->slots;
    struct backend_criteria criteria = {.service = exchange->service->name,
                                        .engine = exchange->service->engine.model != NULL,
                                        .expected_us =
                                            stream_length_expected_us(&service->stream_length, 0)};
    service->slots_until = now + SLOTS_INTERVAL_US;
    service->slots = backend_pool_slots(exchange->edge->pool, &criteria, now);
    return service->slots;
}

static void log_change(const struct exchange *exchange, const struct capacity *capacity,
                       double ratio, bool lasts)
{
    const struct service_state *service = exchange->service_state;
    log_event(
        LOG_LEVEL_INFO, "request", lasts ? "overload-lasts" : "overload-over",
        "request=%s service=%s refused_share=%.2f demand_ratio=%.2f clients_per_s=%.1f slots=%u "
        "gateways=%u slot_time_ms=%" PRIu64,
        exchange->head.id, service->service, service->overload.refused_share, ratio,
        service->demand.rate, capacity->slots, capacity->gateways,
        capacity->slot_time_us / US_PER_MS);
}

static bool overload_of_service_lasts(struct exchange *exchange, uint64_t now)
{
    struct service_state *service = exchange->service_state;
    struct capacity capacity = {
        .slots = slots_of_service(exchange, now),
        .gateways = exchange->edge->gateways,
        .slot_time_us = stream_length_expected_us(&service->stream_length, 0),
    };
    double ratio = demand_ratio(&service->demand, &capacity);
    bool lasts = overload_lasts(&service->overload, ratio, now);
    if (lasts != service->overload_lasts)
        log_change(exchange, &capacity, ratio, lasts);
    service->overload_lasts = lasts;
    return lasts;
}

bool exchange_takes_leftovers(struct exchange *exchange, uint64_t now)
{
    bool is_retry = exchange->is_client_retry && !exchange->streaming && !exchange->tried_count;
    return is_retry && overload_of_service_lasts(exchange, now);
}

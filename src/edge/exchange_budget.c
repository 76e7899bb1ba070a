/* Charges retries to the budget that all gateways share (core/retry/repeat_budget). */
#include "base/log.h"
#include "base/metrics.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>

static void log_budget(const struct exchange *exchange, enum log_level level, const char *event,
                       uint64_t now)
{
    const struct budget_share *share = &exchange->edge->budget_share;
    struct repeat_budget_account account =
        repeat_budget_account(&exchange->service_state->budget, now, share);
    log_event(
        level, "request", event,
        "request=%s service=%s repeats=%u bound=%.2f gateways=%u rank=%u budget_age_ms=%" PRIu64,
        exchange->head.id, exchange->service->name, account.repeats, account.bound, share->gateways,
        share->rank, account.life_us / US_PER_MS);
}

/* \return false if the budget is exhausted */
static bool spend_retry(struct exchange *exchange, uint64_t now)
{
    if (!repeat_budget_spend(&exchange->service_state->budget, now, &exchange->edge->budget_share))
        return false;
    log_budget(exchange, LOG_LEVEL_INFO, "budget-charged", now);
    return true;
}

bool exchange_may_pay_retry(struct exchange *exchange, uint64_t now)
{
    return !exchange->owes_retry_charge || repeat_budget_allows(&exchange->service_state->budget,
                                                                now, &exchange->edge->budget_share);
}

void exchange_pay_retry(struct exchange *exchange, uint64_t now)
{
    if (!exchange->owes_retry_charge)
        return;
    exchange->owes_retry_charge = false;
    if (!spend_retry(exchange, now))
        log_budget(exchange, LOG_LEVEL_ERROR, "budget-exceeded", now);
}

bool exchange_take_retry(struct exchange *exchange, uint64_t now)
{
    if (spend_retry(exchange, now))
        return true;
    metric_add(METRIC_BUDGET_SPENT, 1);
    log_budget(exchange, LOG_LEVEL_WARN, "budget-spent", now);
    return false;
}

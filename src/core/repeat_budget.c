#include "core/repeat_budget.h"

#include <string.h>

/** Share of the bound that is used; the rest covers windows that begin or end within a bucket. */
#define USED_SHARE 0.8

void repeat_budget_init(struct repeat_budget *budget, const struct repeat_budget_settings *settings,
                        uint64_t now)
{
    memset(budget, 0, sizeof *budget);
    budget->settings = *settings;
    budget->started = now;
}

static uint64_t bucket_us(const struct repeat_budget *budget)
{
    uint64_t length = budget->settings.window_us / REPEAT_BUDGET_BUCKETS;
    return length ? length : 1;
}

static void advance(struct repeat_budget *budget, uint64_t now)
{
    uint64_t bucket = now / bucket_us(budget);
    if (bucket <= budget->bucket)
        return;
    uint64_t elapsed = bucket - budget->bucket;
    if (elapsed > REPEAT_BUDGET_BUCKETS + 1)
        elapsed = REPEAT_BUDGET_BUCKETS + 1;
    for (uint64_t i = 0; i < elapsed; i++) {
        uint32_t index = (uint32_t)((bucket - i) % (REPEAT_BUDGET_BUCKETS + 1));
        budget->requests[index] = 0;
        budget->repeats[index] = 0;
    }
    budget->bucket = bucket;
}

static uint32_t sum(const uint32_t counts[REPEAT_BUDGET_BUCKETS + 1])
{
    uint32_t total = 0;
    for (uint32_t i = 0; i <= REPEAT_BUDGET_BUCKETS; i++)
        total += counts[i];
    return total;
}

void repeat_budget_earn(struct repeat_budget *budget, uint64_t now)
{
    advance(budget, now);
    budget->requests[budget->bucket % (REPEAT_BUDGET_BUCKETS + 1)]++;
}

/* What this gateway adds before it rounds down, evenly spread over all gateways: their sum is then
 * rounded once, not the part of each. */
static double rounding(const struct budget_share *share)
{
    return (share->rank + 0.5) / share->gateways;
}

static double bound_now(const struct repeat_budget *budget, uint64_t now,
                        const struct budget_share *share)
{
    double bound = USED_SHARE * budget->settings.ratio * sum(budget->requests);
    if (share->gateways) {
        /* Repeats spent by a previous run of this process are unknown: start with half. */
        bool is_first_window = now < budget->started + budget->settings.window_us;
        double part = (is_first_window ? 0.5 : 1.0) / share->gateways;
        bound += USED_SHARE * part * budget->settings.allowance + rounding(share);
    }
    return bound;
}

struct repeat_budget_account repeat_budget_account(struct repeat_budget *budget, uint64_t now,
                                                   const struct budget_share *share)
{
    advance(budget, now);
    return (struct repeat_budget_account){
        .repeats = sum(budget->repeats),
        .bound = bound_now(budget, now, share),
        .life_us = now - budget->started,
    };
}

bool repeat_budget_allows(struct repeat_budget *budget, uint64_t now,
                          const struct budget_share *share)
{
    struct repeat_budget_account account = repeat_budget_account(budget, now, share);
    return account.repeats + 1 <= account.bound;
}

bool repeat_budget_spend(struct repeat_budget *budget, uint64_t now,
                         const struct budget_share *share)
{
    if (!repeat_budget_allows(budget, now, share))
        return false;
    budget->repeats[budget->bucket % (REPEAT_BUDGET_BUCKETS + 1)]++;
    return true;
}

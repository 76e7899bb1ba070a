#include "core/retry/repeat_budget.h"

#include <string.h>

/** Share of the bound that is used; the rest covers the credit that was earned before a window, and
 * windows that begin or end within a bucket. */
#define USED_SHARE 0.8
/** Share of a part of the allowance that processes in their first window have together. */
#define FIRST_WINDOW_SHARE 0.15
#define KEPT_BUCKETS (REPEAT_BUDGET_BUCKETS + 1)

uint32_t budget_fleet_gateways(const struct budget_fleet *fleet)
{
    uint64_t gateways = fleet->gateways;
    if (fleet->seeds && !fleet->known_seeds)
        return 0;
    if (fleet->known_seeds < fleet->seeds)
        gateways = (gateways * fleet->seeds + fleet->known_seeds - 1) / fleet->known_seeds;
    return (uint32_t)(gateways > fleet->least_gateways ? gateways : fleet->least_gateways);
}

void repeat_budget_init(struct repeat_budget *budget, const struct repeat_budget_settings *settings,
                        uint64_t started)
{
    memset(budget, 0, sizeof *budget);
    budget->settings = *settings;
    budget->started = started;
}

static uint64_t bucket_us(const struct repeat_budget *budget)
{
    uint64_t length = budget->settings.window_us / REPEAT_BUDGET_BUCKETS;
    return length ? length : 1;
}

/* \return the bucket that lies this many before the current one */
static struct repeat_budget_bucket *bucket_before(struct repeat_budget *budget, uint32_t steps)
{
    uint64_t number = budget->bucket + KEPT_BUCKETS - steps;
    return &budget->buckets[number % KEPT_BUCKETS];
}

static void advance(struct repeat_budget *budget, uint64_t now)
{
    uint64_t bucket = now / bucket_us(budget);
    if (bucket <= budget->bucket)
        return;
    uint64_t elapsed = bucket - budget->bucket;
    budget->bucket = bucket;
    for (uint32_t i = 0; i < elapsed && i < KEPT_BUCKETS; i++)
        *bucket_before(budget, i) = (struct repeat_budget_bucket){0};
    for (uint32_t i = REPEAT_CREDIT_BUCKETS + 1; i < KEPT_BUCKETS; i++)
        bucket_before(budget, i)->credit = 0;
}

void repeat_budget_earn(struct repeat_budget *budget, uint64_t now)
{
    advance(budget, now);
    bucket_before(budget, 0)->credit += USED_SHARE * budget->settings.ratio;
}

/* What this gateway adds before it rounds down, evenly spread over all gateways: their sum is then
 * rounded once, not the part of each. */
static double rounding(const struct budget_share *share)
{
    return (share->rank + 0.5) / share->gateways;
}

/* \return repeats that the allowance adds in a window, not rounded */
static double part_of_allowance(const struct repeat_budget *budget, uint64_t now,
                                const struct budget_share *share)
{
    if (!share->gateways)
        return 0;
    double part = (double)budget->settings.allowance / share->gateways;
    uint64_t window = budget->settings.window_us, age = now - budget->started;
    if (age < window)
        return FIRST_WINDOW_SHARE * part * (double)age / (double)window;
    return USED_SHARE * part + rounding(share);
}

struct repeat_budget_account repeat_budget_account(struct repeat_budget *budget, uint64_t now,
                                                   const struct budget_share *share)
{
    advance(budget, now);
    struct repeat_budget_account account = {
        .bound = part_of_allowance(budget, now, share),
        .life_us = now - budget->started,
    };
    for (uint32_t i = 0; i < KEPT_BUCKETS; i++) {
        account.repeats += budget->buckets[i].repeats;
        account.bound += budget->buckets[i].paid + budget->buckets[i].credit;
    }
    return account;
}

bool repeat_budget_allows(struct repeat_budget *budget, uint64_t now,
                          const struct budget_share *share)
{
    struct repeat_budget_account account = repeat_budget_account(budget, now, share);
    return account.repeats + 1 <= account.bound;
}

/* Takes up to one repeat from the credit that lapses first. */
static void pay_from_credit(struct repeat_budget *budget)
{
    double owed = 1;
    for (uint32_t i = REPEAT_CREDIT_BUCKETS + 1; i-- > 0 && owed > 0;) {
        struct repeat_budget_bucket *bucket = bucket_before(budget, i);
        double taken = bucket->credit < owed ? bucket->credit : owed;
        bucket->credit -= taken;
        bucket_before(budget, 0)->paid += taken;
        owed -= taken;
    }
}

bool repeat_budget_spend(struct repeat_budget *budget, uint64_t now,
                         const struct budget_share *share)
{
    if (!repeat_budget_allows(budget, now, share))
        return false;
    pay_from_credit(budget);
    bucket_before(budget, 0)->repeats++;
    return true;
}

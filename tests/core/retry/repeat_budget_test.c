/* The shared repeat budget, checked in sliding windows over all gateways. */
#include "testing.h"

#include "core/random.h"
#include "core/retry/repeat_budget.h"

#include <stdlib.h>

#define GATEWAYS 6
#define SECONDS 60
#define SECOND_US 1000000ULL

static const struct repeat_budget_settings settings = {
    .ratio = 0.2, .allowance = 100, .window_us = 10 * SECOND_US};

/* Requests and repeats of all gateways, by step of 10 ms. */
struct counts {
    uint32_t requests[SECONDS * 100];
    uint32_t repeats[SECONDS * 100];
};

static void run_gateways(struct counts *counts, uint64_t seed, bool bursts)
{
    struct repeat_budget budgets[GATEWAYS];
    struct budget_share shares[GATEWAYS];
    struct random_stream random = {seed, 0};
    uint64_t now = 1000 * SECOND_US;
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        repeat_budget_init(&budgets[i], &settings, now);
        shares[i] = (struct budget_share){GATEWAYS, i};
    }
    for (uint32_t step = 0; step < SECONDS * 100; step++, now += 10000) {
        uint32_t rate = bursts && (step / 700) % 2 ? 1 : 4;
        for (uint32_t i = 0; i < rate; i++) {
            uint64_t gateway = random_below(&random, GATEWAYS);
            struct repeat_budget *budget = &budgets[gateway];
            repeat_budget_earn(budget, now);
            counts->requests[step]++;
            /* Every request fails and asks for a repeat. */
            counts->repeats[step] += repeat_budget_spend(budget, now, &shares[gateway]);
        }
    }
}

static void check_windows(const struct counts *counts)
{
    for (uint32_t first = 0; first + 1000 <= SECONDS * 100; first += 7) {
        uint32_t requests = 0, repeats = 0;
        for (uint32_t i = first; i < first + 1000; i++) {
            requests += counts->requests[i];
            repeats += counts->repeats[i];
        }
        assert_true(repeats <= settings.ratio * requests + settings.allowance);
    }
}

static void all_gateways_together_keep_the_bound_in_any_window(void **state)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct counts *counts = calloc(1, sizeof *counts);
        run_gateways(counts, seed, seed % 2 == 0);
        check_windows(counts);
        free(counts);
    }
}

static void idle_gateway_may_spend_its_allowance(void **state)
{
    struct repeat_budget budget;
    struct budget_share share = {GATEWAYS, 0};
    uint64_t now = 50 * SECOND_US;
    uint32_t spent = 0;
    repeat_budget_init(&budget, &settings, now);
    while (repeat_budget_spend(&budget, now + 20 * SECOND_US, &share))
        spent++;
    assert_int_equal(spent, 13); /* 0.8 of its sixth of the allowance of 100 */
    assert_false(repeat_budget_spend(&budget, now + 29 * SECOND_US, &share));
    assert_true(repeat_budget_spend(&budget, now + 31 * SECOND_US, &share));
}

/* Each gateway of a large fleet has few requests in a window, and a part of the allowance below
 * one. \param unknown number of gateways that each one does not know \return repeats of all in one
 * window */
static uint32_t spend_in_large_fleet(uint32_t gateways, uint32_t allowance, uint32_t unknown)
{
    struct repeat_budget_settings large = settings;
    struct random_stream random = {gateways, 0};
    uint64_t now = 100 * SECOND_US;
    uint32_t spent = 0;
    large.allowance = allowance;
    for (uint32_t i = 0; i < gateways; i++) {
        struct repeat_budget budget;
        uint32_t before = (uint32_t)random_below(&random, unknown + 1);
        struct budget_share share = {gateways - unknown, i > before ? i - before : 0};
        repeat_budget_init(&budget, &large, now - 50 * SECOND_US);
        repeat_budget_earn(&budget, now);
        repeat_budget_earn(&budget, now);
        while (repeat_budget_spend(&budget, now, &share))
            spent++;
    }
    return spent;
}

static void shares_below_one_are_used_and_keep_the_bound(void **state)
{
    static const uint32_t fleets[] = {30, 327, 600, 1200, 2400};
    for (uint32_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++) {
        uint32_t gateways = fleets[i];
        uint32_t bound = (uint32_t)(settings.ratio * 2 * gateways) + 654;
        for (uint32_t unknown = 0; unknown <= gateways / 10; unknown += gateways / 10) {
            uint32_t spent = spend_in_large_fleet(gateways, 654, unknown);
            assert_true(spent <= bound);
            assert_true(spent >= bound / 2);
        }
    }
}

static void a_gateway_that_knows_no_number_spends_what_it_earned(void **state)
{
    struct repeat_budget budget;
    struct budget_share unknown = {0, 0};
    uint64_t now = 50 * SECOND_US;
    repeat_budget_init(&budget, &settings, now);
    assert_false(repeat_budget_spend(&budget, now, &unknown));
    for (int i = 0; i < 20; i++)
        repeat_budget_earn(&budget, now);
    uint32_t spent = 0;
    while (repeat_budget_spend(&budget, now, &unknown))
        spent++;
    assert_int_equal(spent, 3); /* 0.8 of a fifth */
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_gateways_together_keep_the_bound_in_any_window),
        cmocka_unit_test(idle_gateway_may_spend_its_allowance),
        cmocka_unit_test(shares_below_one_are_used_and_keep_the_bound),
        cmocka_unit_test(a_gateway_that_knows_no_number_spends_what_it_earned),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The shared repeat budget, checked in sliding windows over all gateways. */
#include "testing.h"

#include "core/random.h"
#include "core/repeat_budget.h"

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
    struct random_stream random = {seed, 0};
    uint64_t now = 1000 * SECOND_US;
    for (int i = 0; i < GATEWAYS; i++)
        repeat_budget_init(&budgets[i], &settings, now);
    for (uint32_t step = 0; step < SECONDS * 100; step++, now += 10000) {
        uint32_t rate = bursts && (step / 700) % 2 ? 1 : 4;
        for (uint32_t i = 0; i < rate; i++) {
            struct repeat_budget *budget = &budgets[random_below(&random, GATEWAYS)];
            repeat_budget_earn(budget, now);
            counts->requests[step]++;
            /* Every request fails and asks for a repeat. */
            counts->repeats[step] += repeat_budget_spend(budget, now, GATEWAYS);
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
    uint64_t now = 50 * SECOND_US;
    uint32_t spent = 0;
    repeat_budget_init(&budget, &settings, now);
    while (repeat_budget_spend(&budget, now + 20 * SECOND_US, GATEWAYS))
        spent++;
    assert_int_equal(spent, 13); /* 0.8 of its sixth of the allowance of 100 */
    assert_false(repeat_budget_spend(&budget, now + 29 * SECOND_US, GATEWAYS));
    assert_true(repeat_budget_spend(&budget, now + 31 * SECOND_US, GATEWAYS));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_gateways_together_keep_the_bound_in_any_window),
        cmocka_unit_test(idle_gateway_may_spend_its_allowance),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

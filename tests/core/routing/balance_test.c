/* Load balancing over candidate agents. */
#include "testing.h"

#include "core/routing/balance.h"

#include <string.h>

#define DRAWS 2000

static uint32_t count_choices(balance_choose *choose, const struct balance_candidate *candidates,
                              uint32_t count, uint32_t wanted)
{
    struct balance_state state = {.random = {.seed = 1}};
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < DRAWS; i++)
        chosen += choose(&state, candidates, count) == wanted;
    return chosen;
}

static void the_less_loaded_of_two_is_chosen(void **state)
{
    const struct balance_candidate candidates[] = {{.in_flight = 9, .capacity = 10},
                                                   {.in_flight = 1, .capacity = 10},
                                                   {.in_flight = 5, .capacity = 10},
                                                   {.reported = 8, .capacity = 10}};
    assert_int_equal(count_choices(balance_two_choices, candidates, 4, 0), 0);
    assert_true(count_choices(balance_two_choices, candidates, 4, 1) > DRAWS * 4 / 10);
}

static void a_slow_engine_counts_as_more_loaded(void **state)
{
    const struct balance_candidate candidates[] = {
        {.in_flight = 1, .capacity = 10, .token_us = 80000},
        {.in_flight = 4, .capacity = 10, .token_us = 20000}};
    assert_int_equal(count_choices(balance_two_choices, candidates, 2, 0), 0);
}

static void much_slower_engines_are_removed_but_probed(void **state)
{
    struct balance_state balance = {.random = {.seed = 2}};
    uint32_t probes = 0;
    for (uint32_t i = 0; i < DRAWS; i++) {
        struct balance_candidate candidates[] = {{.agent = 0, .token_us = 20000},
                                                 {.agent = 1, .token_us = 21000},
                                                 {.agent = 2, .token_us = 90000},
                                                 {.agent = 3, .token_us = 19000},
                                                 {.agent = 4}};
        uint32_t left = balance_drop_slow(&balance, candidates, 5);
        assert_true(left == 4 || left == 5);
        probes += left == 5;
    }
    assert_true(probes > 5 && probes < DRAWS / 20);
}

static void no_engine_is_removed_while_few_speeds_are_known(void **state)
{
    struct balance_state balance = {.random = {.seed = 2}};
    struct balance_candidate candidates[] = {{.token_us = 20000}, {.token_us = 90000}, {0}};
    assert_int_equal(balance_drop_slow(&balance, candidates, 3), 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_less_loaded_of_two_is_chosen),
        cmocka_unit_test(a_slow_engine_counts_as_more_loaded),
        cmocka_unit_test(much_slower_engines_are_removed_but_probed),
        cmocka_unit_test(no_engine_is_removed_while_few_speeds_are_known),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Admission control by tenant, the retry budget, replay protection and tickets. */
#include "testing.h"

#include "core/admission.h"
#include "core/replay_guard.h"
#include "core/retry/retry_budget.h"
#include "core/ticket.h"

#include <stdlib.h>
#include <string.h>

static const struct tenant_config tenants[] = {{"large", 90, 0}, {"small", 10, 0}};

static void large_tenant_cannot_starve_a_small_one(void **state)
{
    struct admission admission = {0};
    admission_configure(&admission, 100, tenants, 2);
    uint32_t large = 0;
    while (admission_enter(&admission, 0))
        large++;
    assert_true(large >= 90 &&
                large < 100); /* it borrows some of the small tenant's share, but not all */
    uint32_t small = 0;
    while (admission_enter(&admission, 1))
        small++;
    assert_true(small >= 3);
    /* The small tenant reaches its full share as requests end, though the large one competes. */
    for (uint32_t i = 0; i < 100; i++) {
        admission_leave(&admission, 0);
        large--;
        large += admission_enter(&admission, 0);
        small += admission_enter(&admission, 1);
    }
    assert_int_equal(small, admission_share(&admission, 1));
    for (uint32_t i = 0; i < large; i++)
        admission_leave(&admission, 0);
    while (admission_enter(&admission, 1))
        small++;
    assert_true(small > 40 && small < 100); /* it borrows in turn */
    admission_clear(&admission);
}

static void active_counts_survive_reconfiguration(void **state)
{
    static const struct tenant_config other[] = {{"small", 1, 0}, {"new", 1, 0}};
    struct admission admission = {0};
    admission_configure(&admission, 10, tenants, 2);
    admission_enter(&admission, 1);
    admission_configure(&admission, 10, other, 2);
    assert_int_equal(admission.active, 1);
    assert_int_equal(admission.tenants[admission_find(&admission, "small")].active, 1);
    assert_int_equal(admission_find(&admission, "large"), ADMISSION_UNKNOWN_TENANT);
    admission_clear(&admission);
}

static void retries_stay_within_the_budget(void **state)
{
    struct retry_budget budget;
    retry_budget_init(&budget, 10);
    uint32_t retries = 0;
    for (uint32_t i = 0; i < 1000; i++) {
        retry_budget_earn(&budget);
        retries += retry_budget_spend(&budget);
    }
    assert_true(retries >= 100 && retries <= 110);
}

static void sequence_is_accepted_once(void **state)
{
    struct replay_guard guard = {0};
    assert_true(replay_guard_accept(&guard, 1, 5));
    assert_true(replay_guard_accept(&guard, 1, 3));
    assert_false(replay_guard_accept(&guard, 1, 5));
    assert_true(replay_guard_accept(&guard, 2, 5));
    assert_true(replay_guard_accept(&guard, 1, 5 + REPLAY_GUARD_WINDOW));
    assert_false(replay_guard_accept(&guard, 1, 5)); /* below the window */
    assert_true(replay_guard_accept(&guard, 1, 6));
    assert_true(replay_guard_accept(&guard, 1, 100000));
    assert_false(replay_guard_accept(&guard, 1, 7));
    replay_guard_clear(&guard);
}

static void guard_memory_is_bounded(void **state)
{
    struct replay_guard guard = {0};
    for (uint64_t gateway = 1; gateway <= 2 * REPLAY_GUARD_MAX_GATEWAYS; gateway++)
        assert_true(replay_guard_accept(&guard, gateway, 1));
    assert_int_equal(guard.count, REPLAY_GUARD_MAX_GATEWAYS);
    replay_guard_clear(&guard);
}

static void ticket_round_trips_through_text(void **state)
{
    struct ticket ticket = {.homes_hash = 0xabc, .home_count = 2};
    struct ticket read;
    char text[TICKET_SIZE];
    char key[TICKET_SIZE + 8];
    ticket.homes[1] = (struct ticket_home){77, 3};
    assert_int_equal(ticket_format(&ticket, text), STATUS_OK);
    snprintf(key, sizeof key, "%s~k", text);
    assert_int_equal(ticket_parse(key, &read), STATUS_OK);
    assert_memory_equal(&ticket, &read, sizeof ticket);
    static const char *const wrong[] = {"",       "k",       "t",      "tx~k",
                                        "t1.2~k", "t1.2-~k", "t1.2-3", "t1.-3~k"};
    for (size_t i = 0; i < sizeof wrong / sizeof wrong[0]; i++)
        assert_int_equal(ticket_parse(wrong[i], &read), STATUS_NOT_FOUND);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_tenant_cannot_starve_a_small_one),
        cmocka_unit_test(active_counts_survive_reconfiguration),
        cmocka_unit_test(retries_stay_within_the_budget),
        cmocka_unit_test(sequence_is_accepted_once),
        cmocka_unit_test(guard_memory_is_bounded),
        cmocka_unit_test(ticket_round_trips_through_text),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

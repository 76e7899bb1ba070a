/* Who of the requests that may crash back ends runs at which of them. */
#include "testing.h"

#include "core/crash_table.h"
#include "core/random.h"

#include <string.h>

#define MS ((uint64_t)1000)
#define BEGIN (1000 * 1000 * MS)

static struct request_identity identity_of(uint32_t number)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &number, sizeof number);
    return identity;
}

static void ended(struct crash_table *table, uint32_t request, uint64_t start, uint64_t at)
{
    struct request_identity identity = identity_of(request);
    struct crash_start end = {start, at, (uint32_t)start, 0, at};
    crash_table_add(table, &identity, &end);
}

/* Both were at two ends; request 2 at one more. */
static struct crash_table *isolating(void)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t start = 1; start <= 2; start++) {
        ended(table, 1, start, BEGIN + start * 100 * MS);
        ended(table, 2, start, BEGIN + start * 100 * MS);
    }
    ended(table, 2, 3, BEGIN + 300 * MS);
    ended(table, 3, 3, BEGIN + 300 * MS);
    return table;
}

static uint64_t lease(struct crash_table *table, uint32_t request, uint64_t start, uint64_t now)
{
    struct request_identity identity = identity_of(request);
    return crash_table_lease(table, &identity, start, now).since;
}

static bool is_barred(const struct crash_table *table, uint32_t request, uint64_t start,
                      uint64_t now)
{
    uint64_t starts[CRASH_BARRED_MOST];
    struct request_identity identity = identity_of(request);
    uint32_t count = crash_table_barred(table, &identity, now, starts);
    for (uint32_t i = 0; i < count; i++)
        if (starts[i] == start)
            return true;
    return false;
}

static void a_lease_bars_its_back_end_to_others(void **state)
{
    struct crash_table *table = isolating();
    uint64_t now = BEGIN + 310 * MS;
    lease(table, 1, 50, now);
    assert_false(is_barred(table, 1, 50, now));
    uint64_t later = now + CRASH_LEASE_SETTLES_US;
    assert_true(is_barred(table, 2, 50, later));
    assert_true(is_barred(table, 3, 50, later)); /* a suspect of one end goes elsewhere, too */
    assert_false(is_barred(table, 2, 51, later));
    assert_false(is_barred(table, 2, 50, now + CRASH_LEASE_US));
    crash_table_destroy(table);
}

static void of_two_that_ask_at_once_the_more_suspect_goes_first(void **state)
{
    struct crash_table *table = isolating();
    uint64_t now = BEGIN + 310 * MS;
    lease(table, 1, 50, now);
    assert_false(is_barred(table, 2, 50, now + 5 * MS));
    lease(table, 2, 50, now + 5 * MS);
    assert_true(is_barred(table, 1, 50, now + 10 * MS));
    assert_false(is_barred(table, 2, 50, now + 10 * MS));
    crash_table_destroy(table);
}

static void a_good_end_gives_the_back_end_free(void **state)
{
    struct crash_table *table = isolating();
    struct request_identity identity = identity_of(1);
    uint64_t now = BEGIN + 310 * MS;
    lease(table, 1, 50, now);
    crash_table_clear(table, &identity, now + 40 * MS, CRASH_RAN_WHOLE);
    assert_false(is_barred(table, 2, 50, now + 50 * MS));
    crash_table_destroy(table);
}

static void repeats_of_one_request_share_the_first_lease(void **state)
{
    struct crash_table *here = isolating(), *there = isolating();
    uint64_t now = BEGIN + 310 * MS;
    lease(here, 1, 50, now);
    lease(there, 1, 51, now + 3 * MS);
    crash_table_merge(here, crash_table_at(there, 0));
    crash_table_merge(there, crash_table_at(here, 0));
    assert_int_equal(crash_table_at(here, 0)->lease.start, 50);
    assert_int_equal(crash_table_at(there, 0)->lease.start, 50);
    /* One that is asked for clearly later takes the place of the last one. */
    lease(there, 1, 52, now + 500 * MS);
    assert_true(crash_table_merge(here, crash_table_at(there, 0)));
    assert_int_equal(crash_table_at(here, 0)->lease.start, 52);
    assert_false(crash_table_merge(there, crash_table_at(here, 0)));
    crash_table_destroy(here);
    crash_table_destroy(there);
}

static void asking_again_for_the_same_start_changes_nothing(void **state)
{
    struct crash_table *table = isolating();
    uint64_t now = BEGIN + 310 * MS;
    lease(table, 1, 50, now);
    crash_table_at(table, 0)->untold = false;
    assert_int_equal(lease(table, 1, 50, now + 40 * MS), now);
    assert_false(crash_table_at(table, 0)->untold);
    crash_table_destroy(table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_lease_bars_its_back_end_to_others),
        cmocka_unit_test(of_two_that_ask_at_once_the_more_suspect_goes_first),
        cmocka_unit_test(a_good_end_gives_the_back_end_free),
        cmocka_unit_test(repeats_of_one_request_share_the_first_lease),
        cmocka_unit_test(asking_again_for_the_same_start_changes_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

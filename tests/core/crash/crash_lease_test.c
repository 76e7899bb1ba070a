/* Leases that keep isolated requests on separate backend incarnations. */
#include "testing.h"

#include "core/crash/crash_table.h"
#include "core/random.h"

#include <string.h>

#define MS_US ((uint64_t)1000)
#define START_US (1000 * 1000 * MS_US)

static struct request_identity identity_of(uint32_t number)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &number, sizeof number);
    return identity;
}

static void add_crash(struct crash_table *table, uint32_t request, uint64_t incarnation,
                      uint64_t at)
{
    struct request_identity identity = identity_of(request);
    struct crash_event crash = {incarnation, at, (uint32_t)incarnation, 0, at};
    crash_table_add(table, &identity, &crash);
}

/* Requests 1 and 2 were present at two crashes and are isolated; request 2 at one more, together
 * with request 3. */
static struct crash_table *create_isolating_table(void)
{
    struct crash_table *table = crash_table_create();
    for (uint64_t incarnation = 1; incarnation <= 2; incarnation++) {
        add_crash(table, 1, incarnation, START_US + incarnation * 100 * MS_US);
        add_crash(table, 2, incarnation, START_US + incarnation * 100 * MS_US);
    }
    add_crash(table, 2, 3, START_US + 300 * MS_US);
    add_crash(table, 3, 3, START_US + 300 * MS_US);
    return table;
}

static uint64_t acquire_lease(struct crash_table *table, uint32_t request, uint64_t incarnation,
                              uint64_t now)
{
    struct request_identity identity = identity_of(request);
    return crash_table_acquire_lease(table, &identity, incarnation, now).since;
}

static bool is_leased_to_other(const struct crash_table *table, uint32_t request,
                               uint64_t incarnation, uint64_t now)
{
    uint64_t incarnations[CRASH_MAX_LEASED_INCARNATIONS];
    struct request_identity identity = identity_of(request);
    uint32_t count = crash_table_leased_to_others(table, &identity, now, incarnations);
    for (uint32_t i = 0; i < count; i++)
        if (incarnations[i] == incarnation)
            return true;
    return false;
}

static void lease_excludes_other_isolated_requests(void **state)
{
    struct crash_table *table = create_isolating_table();
    uint64_t now = START_US + 310 * MS_US;
    acquire_lease(table, 1, 50, now);
    assert_false(is_leased_to_other(table, 1, 50, now));
    uint64_t later = now + CRASH_LEASE_PROPAGATION_US;
    assert_true(is_leased_to_other(table, 2, 50, later));
    /* A suspect with a single crash avoids leased incarnations, too. */
    assert_true(is_leased_to_other(table, 3, 50, later));
    assert_false(is_leased_to_other(table, 2, 51, later));
    assert_false(is_leased_to_other(table, 2, 50, now + CRASH_LEASE_DURATION_US));
    crash_table_destroy(table);
}

static void concurrent_lease_goes_to_the_more_suspect_request(void **state)
{
    struct crash_table *table = create_isolating_table();
    uint64_t now = START_US + 310 * MS_US;
    acquire_lease(table, 1, 50, now);
    assert_false(is_leased_to_other(table, 2, 50, now + 5 * MS_US));
    acquire_lease(table, 2, 50, now + 5 * MS_US);
    assert_true(is_leased_to_other(table, 1, 50, now + 10 * MS_US));
    assert_false(is_leased_to_other(table, 2, 50, now + 10 * MS_US));
    crash_table_destroy(table);
}

static void successful_run_releases_the_lease(void **state)
{
    struct crash_table *table = create_isolating_table();
    struct request_identity identity = identity_of(1);
    uint64_t now = START_US + 310 * MS_US;
    acquire_lease(table, 1, 50, now);
    crash_table_record_success(table, &identity, now + 40 * MS_US, CRASH_FULL_RUN);
    assert_false(is_leased_to_other(table, 2, 50, now + 50 * MS_US));
    crash_table_destroy(table);
}

static void attempts_of_one_request_share_the_first_lease(void **state)
{
    struct crash_table *here = create_isolating_table(), *there = create_isolating_table();
    uint64_t now = START_US + 310 * MS_US;
    acquire_lease(here, 1, 50, now);
    acquire_lease(there, 1, 51, now + 3 * MS_US);
    crash_table_merge(here, crash_table_at(there, 0));
    crash_table_merge(there, crash_table_at(here, 0));
    assert_int_equal(crash_table_at(here, 0)->lease.incarnation, 50);
    assert_int_equal(crash_table_at(there, 0)->lease.incarnation, 50);
    /* A lease acquired clearly later replaces the earlier one. */
    acquire_lease(there, 1, 52, now + 500 * MS_US);
    assert_true(crash_table_merge(here, crash_table_at(there, 0)));
    assert_int_equal(crash_table_at(here, 0)->lease.incarnation, 52);
    assert_false(crash_table_merge(there, crash_table_at(here, 0)));
    crash_table_destroy(here);
    crash_table_destroy(there);
}

static void acquiring_the_same_lease_again_changes_nothing(void **state)
{
    struct crash_table *table = create_isolating_table();
    uint64_t now = START_US + 310 * MS_US;
    acquire_lease(table, 1, 50, now);
    crash_table_at(table, 0)->is_dirty = false;
    assert_int_equal(acquire_lease(table, 1, 50, now + 40 * MS_US), now);
    assert_false(crash_table_at(table, 0)->is_dirty);
    crash_table_destroy(table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lease_excludes_other_isolated_requests),
        cmocka_unit_test(concurrent_lease_goes_to_the_more_suspect_request),
        cmocka_unit_test(successful_run_releases_the_lease),
        cmocka_unit_test(attempts_of_one_request_share_the_first_lease),
        cmocka_unit_test(acquiring_the_same_lease_again_changes_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

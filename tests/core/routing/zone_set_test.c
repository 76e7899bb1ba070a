/* A set of zones by name. */
#include "testing.h"

#include "core/random.h"
#include "core/routing/zone_set.h"

#include <stdio.h>

#define NAMES 40

static void a_set_holds_what_was_added_and_not_removed(void **state)
{
    struct random_stream random = {1, 0};
    struct zone_set set = {0};
    bool held[NAMES] = {0};
    for (int step = 0; step < 5000; step++) {
        uint64_t number = random_below(&random, NAMES);
        char name[16];
        snprintf(name, sizeof name, "zone-%u", (unsigned)number);
        bool add = random_below(&random, 2);
        assert_int_equal((add ? zone_set_add : zone_set_remove)(&set, name), held[number] != add);
        held[number] = add;
        uint32_t count = 0;
        for (int i = 0; i < NAMES; i++) {
            snprintf(name, sizeof name, "zone-%d", i);
            assert_int_equal(zone_set_contains(&set, name), held[i]);
            count += held[i];
        }
        assert_int_equal(set.count, count);
    }
    zone_set_clear(&set);
    assert_false(zone_set_contains(&set, "zone-1"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_set_holds_what_was_added_and_not_removed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Requests that reach a gateway while it starts, together with all others. */
#include "testing.h"

#include "core/load/start_hold.h"

#define SECOND_US 1000000ULL
#define STARTED (50 * SECOND_US)
/** Clients come back when the processes start, with an even rate, each with its last attempt. */
#define CLIENTS 600
#define RETURN_US (SECOND_US)
/** Times after the start at which the configuration is known, and the load of engines. */
#define CONFIGURED_US 560000ULL
#define LOADS_KNOWN_US 850000ULL
/** Time for which a request waits for a slot in normal operation. */
#define SLOT_WAIT_US 100000ULL

/* \return whether a client that arrives then is served: it is not refused before the gateway knows
 * the configuration and the load of an engine */
static bool is_served(uint64_t arrived)
{
    uint64_t configured = STARTED + CONFIGURED_US, loads_known = STARTED + LOADS_KNOWN_US;
    bool held = start_hold_awaits_configuration(STARTED, false, arrived);
    if (arrived < configured && !held)
        return false;
    uint64_t until = start_hold_slot_wait(STARTED, arrived + SLOT_WAIT_US, arrived);
    return arrived >= loads_known || until >= loads_known;
}

static void clients_that_return_at_a_start_of_all_are_served(void **state)
{
    for (uint32_t i = 0; i < CLIENTS; i++)
        assert_true(is_served(STARTED + i * RETURN_US / CLIENTS));
}

static void nothing_is_held_once_a_start_is_over(void **state)
{
    uint64_t over = STARTED + START_HOLD_US;
    assert_true(start_hold_awaits_configuration(STARTED, false, over - 1));
    assert_false(start_hold_awaits_configuration(STARTED, false, over));
    assert_false(start_hold_awaits_configuration(STARTED, true, STARTED));
    assert_int_equal(start_hold_slot_wait(STARTED, over + 5, over), over + 5);
    assert_int_equal(start_hold_slot_wait(STARTED, over - 5, over - 10), over);
    assert_int_equal(start_hold_slot_wait(STARTED, over + 5, over - 10), over + 5);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(clients_that_return_at_a_start_of_all_are_served),
        cmocka_unit_test(nothing_is_held_once_a_start_is_over),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * The first put of a loader process that ended may still be on its way when the next process finds
 * an empty stage, fills it with a newer version, and reads all pieces back. Found by a random walk:
 * the put came between the last reading and the order. Nothing fences puts, and a process that
 * waited for the longest delay known, 12 s, would leave each engine empty for as long after a loss
 * of power, as it cannot tell that from its own restart.
 */
#include "testing.h"

#include "weight_install_walk.h"

static void a_first_put_of_an_earlier_process_that_comes_late_corrupts_nothing(void **state)
{
    walk(&walked, WORLD_ENGINE_LEAVES, 79176);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_first_put_of_an_earlier_process_that_comes_late_corrupts_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* What a probe proves of a backend that ended an answer with its connection. */
#include "testing.h"

#include "core/backend/liveness.h"

static void only_an_answer_of_the_same_start_proves_life(void **state)
{
    static const struct {
        enum probe_result result;
        const char *answered_by;
        enum liveness expected;
    } table[] = {
        {PROBE_ANSWERED, "start-1", LIVENESS_ALIVE},  {PROBE_ANSWERED, "start-2", LIVENESS_ENDED},
        {PROBE_ANSWERED, "start-11", LIVENESS_ENDED}, {PROBE_ANSWERED, "", LIVENESS_UNKNOWN},
        {PROBE_REFUSED, "", LIVENESS_ENDED},          {PROBE_UNANSWERED, "", LIVENESS_UNKNOWN},
    };
    for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
        assert_int_equal(liveness_from_probe(table[i].result, "start-1", table[i].answered_by),
                         table[i].expected);
}

/* An answer that was sent before the end may arrive after it. */
static void a_probe_asked_before_the_end_proves_nothing_about_it(void **state)
{
    assert_false(liveness_probe_covers(99, 100));
    assert_true(liveness_probe_covers(100, 100));
    assert_true(liveness_probe_covers(101, 100));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_an_answer_of_the_same_start_proves_life),
        cmocka_unit_test(a_probe_asked_before_the_end_proves_nothing_about_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Verdicts on requests that were present at crashes, with and without unrelated crashes. */
#include "testing.h"

#include "core/crash/crash_table.h"

#include <string.h>

#define SECOND_US ((uint64_t)1000000)
#define START_US (1000 * SECOND_US)
#define ALL_SETTLED_US (100 * SECOND_US) /* by then all crashes have settled */

/* Requests, by index. */
enum { CRASHER, STREAM, OTHER, THIRD, REQUESTS };

struct facts {
    struct crash_entry entries[REQUESTS];
    struct crash_finding findings[REQUESTS];
    uint32_t crashes;
};

/* Adds a crash at which these requests were present; `attempt` 0: in a new attempt each time. */
static void add_crash_with(struct facts *facts, uint64_t at, uint32_t attempt,
                           const uint32_t *requests, uint32_t count)
{
    facts->crashes++;
    for (uint32_t i = 0; i < count; i++) {
        struct crash_entry *entry = &facts->entries[requests[i]];
        entry->crashes[entry->crash_count++] =
            (struct crash_event){facts->crashes, at, attempt ? attempt : facts->crashes, 0, at};
    }
}

#define CRASH_AT(facts, at, ...)                                                                   \
    add_crash_with(facts, START_US + (at), 0, (const uint32_t[]){__VA_ARGS__},                     \
                   sizeof((uint32_t[]){__VA_ARGS__}) / sizeof(uint32_t))

static void evaluate(struct facts *facts, uint64_t after)
{
    crash_verdict_evaluate(facts->entries, REQUESTS, START_US + after, facts->findings);
}

/* Guards against permanent refusal of streams that were resumed on the same backends as a request
 * that crashes them, up to five times in a row. */
static void crashes_shared_with_a_proven_request_are_explained(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, CRASHER, STREAM, OTHER);
    CRASH_AT(&facts, SECOND_US, CRASHER, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    assert_true(facts.findings[CRASHER].isolated);
    assert_true(facts.findings[STREAM].isolated);
    CRASH_AT(&facts, 2 * SECOND_US, CRASHER);
    evaluate(&facts, ALL_SETTLED_US);
    assert_true(facts.findings[CRASHER].blocked);
    assert_int_equal(facts.findings[STREAM].unexplained, 0);
    assert_false(facts.findings[STREAM].isolated);
    assert_false(facts.findings[STREAM].blocked);
}

/* Guards against a revoked verdict, after which the request ran again: another request, present at
 * one of the crashes, was present at further crashes long after. */
static void later_crashes_of_others_do_not_revoke_a_proof(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, CRASHER, STREAM);
    CRASH_AT(&facts, SECOND_US, CRASHER);
    CRASH_AT(&facts, 2 * SECOND_US, CRASHER, OTHER);
    evaluate(&facts, 4 * SECOND_US);
    assert_true(facts.findings[CRASHER].blocked);
    CRASH_AT(&facts, 5 * SECOND_US, OTHER);
    CRASH_AT(&facts, 7 * SECOND_US, OTHER, STREAM);
    evaluate(&facts, ALL_SETTLED_US);
    assert_true(facts.findings[CRASHER].blocked);
    assert_false(facts.findings[OTHER].blocked);
}

/* A verdict is provisional until all its crashes are known everywhere: it explains no crashes of
 * others and may change. */
static void verdict_explains_others_only_after_settling(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, CRASHER, STREAM);
    CRASH_AT(&facts, SECOND_US, CRASHER, STREAM);
    CRASH_AT(&facts, 2 * SECOND_US, CRASHER);
    evaluate(&facts, 2 * SECOND_US + CRASH_PROPAGATION_US - 1);
    assert_true(facts.findings[CRASHER].blocked);
    assert_false(facts.findings[CRASHER].settled);
    assert_int_equal(facts.findings[STREAM].unexplained, 2);
    evaluate(&facts, 2 * SECOND_US + CRASH_PROPAGATION_US);
    assert_true(facts.findings[CRASHER].settled);
    assert_int_equal(facts.findings[STREAM].unexplained, 0);
}

/* Guards against permanent refusal of streams where backends also crash for other reasons: such
 * crashes, and first crashes of other requests, happen while a stream runs in isolation. */
static void one_proof_does_not_block_amid_unexplained_crashes(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, STREAM);
    CRASH_AT(&facts, SECOND_US, STREAM, OTHER);
    CRASH_AT(&facts, 2 * SECOND_US, THIRD);
    CRASH_AT(&facts, 3 * SECOND_US, STREAM, OTHER);
    CRASH_AT(&facts, 4 * SECOND_US, STREAM);
    evaluate(&facts, ALL_SETTLED_US);
    assert_int_equal(facts.findings[STREAM].proofs, 1);
    assert_false(facts.findings[STREAM].blocked);
    CRASH_AT(&facts, 5 * SECOND_US, STREAM);
    CRASH_AT(&facts, 6 * SECOND_US, STREAM);
    evaluate(&facts, ALL_SETTLED_US);
    assert_true(facts.findings[STREAM].blocked);
}

static void single_attempt_needs_one_more_proof(void **state)
{
    struct facts facts = {0};
    const uint32_t alone[] = {STREAM}, both[] = {STREAM, OTHER};
    add_crash_with(&facts, START_US, 7, both, 2);
    add_crash_with(&facts, START_US + SECOND_US, 7, both, 2);
    add_crash_with(&facts, START_US + 2 * SECOND_US, 7, both, 2);
    add_crash_with(&facts, START_US + 3 * SECOND_US, 7, alone, 1);
    evaluate(&facts, ALL_SETTLED_US);
    assert_false(facts.findings[STREAM].blocked);
    add_crash_with(&facts, START_US + 4 * SECOND_US, 7, alone, 1);
    evaluate(&facts, ALL_SETTLED_US);
    assert_true(facts.findings[STREAM].blocked);
}

static uint64_t held_until(const struct facts *facts, uint64_t newest, uint64_t at)
{
    uint64_t until =
        crash_verdict_held_until(&facts->findings[STREAM], START_US + newest, START_US + at);
    return until ? until - START_US : 0;
}

/* Guards against requests that keep reaching backends after many crashes without proof. */
static void unproven_request_is_held_back_with_backoff(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, STREAM, OTHER);
    CRASH_AT(&facts, SECOND_US, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    assert_int_equal(held_until(&facts, SECOND_US, SECOND_US), 0);
    CRASH_AT(&facts, 2 * SECOND_US, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    uint64_t newest = 2 * SECOND_US;
    assert_int_equal(held_until(&facts, newest, newest), 0); /* one more try in isolation */
    assert_int_equal(held_until(&facts, newest, newest + CRASH_HOLD_GRACE_US),
                     newest + CRASH_HOLD_INITIAL_US);
    assert_int_equal(held_until(&facts, newest, newest + CRASH_HOLD_INITIAL_US), 0);
    CRASH_AT(&facts, 20 * SECOND_US, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    newest = 20 * SECOND_US;
    assert_int_equal(held_until(&facts, newest, newest), newest + 2 * CRASH_HOLD_INITIAL_US);
}

/* Guards against a request that reached backends after its third crash: at the first crash it had
 * run beside a request that explains it. */
static void explained_crashes_count_for_holding_back(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, CRASHER, STREAM);
    CRASH_AT(&facts, SECOND_US, CRASHER);
    CRASH_AT(&facts, 2 * SECOND_US, CRASHER);
    CRASH_AT(&facts, 3 * SECOND_US, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    assert_true(facts.findings[CRASHER].settled);
    assert_int_equal(held_until(&facts, 3 * SECOND_US, 6 * SECOND_US), 0);
    CRASH_AT(&facts, 4 * SECOND_US, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    assert_int_equal(facts.findings[STREAM].unexplained, 2);
    assert_int_equal(held_until(&facts, 4 * SECOND_US, 6 * SECOND_US),
                     4 * SECOND_US + CRASH_HOLD_INITIAL_US);
}

static void power_loss_holds_no_request_back(void **state)
{
    struct facts facts = {0};
    for (uint64_t i = 0; i < 6; i++)
        CRASH_AT(&facts, i * 1000, STREAM);
    evaluate(&facts, ALL_SETTLED_US);
    assert_int_equal(facts.findings[STREAM].crashes, CRASH_MAX_SIMULTANEOUS_COUNTED);
    assert_int_equal(held_until(&facts, 5000, 4 * SECOND_US), 0);
}

/* Guards against a crash that was not counted: two attempts of a request reached two gateways at
 * the same moment. */
static void two_simultaneous_crashes_and_one_more_hold_back(void **state)
{
    struct facts facts = {0};
    CRASH_AT(&facts, 0, STREAM, OTHER);
    CRASH_AT(&facts, 4000, STREAM, OTHER);
    CRASH_AT(&facts, SECOND_US, STREAM, OTHER);
    evaluate(&facts, ALL_SETTLED_US);
    assert_int_equal(held_until(&facts, SECOND_US, SECOND_US + CRASH_HOLD_GRACE_US),
                     SECOND_US + CRASH_HOLD_INITIAL_US);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(crashes_shared_with_a_proven_request_are_explained),
        cmocka_unit_test(later_crashes_of_others_do_not_revoke_a_proof),
        cmocka_unit_test(verdict_explains_others_only_after_settling),
        cmocka_unit_test(one_proof_does_not_block_amid_unexplained_crashes),
        cmocka_unit_test(single_attempt_needs_one_more_proof),
        cmocka_unit_test(unproven_request_is_held_back_with_backoff),
        cmocka_unit_test(explained_crashes_count_for_holding_back),
        cmocka_unit_test(power_loss_holds_no_request_back),
        cmocka_unit_test(two_simultaneous_crashes_and_one_more_hold_back),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* What counts as a violation of a load run, and how its answers are counted. */
#include "testing.h"

#include "tool/load_result.h"

static void a_violation_is_an_answer_lost_cut_doubled_or_mixed(void **state)
{
    for (int verdict = 0; verdict < ANSWER_VERDICTS; verdict++) {
        bool expected = verdict == ANSWER_LOST || verdict == ANSWER_CUT ||
                        verdict == ANSWER_DOUBLED || verdict == ANSWER_MIXED;
        struct load_result result;
        load_result_init(&result);
        assert_false(load_result_has_violation(&result));
        load_result_add_answer(&result, 0, (enum answer_verdict)verdict, "v1", 1000);
        assert_int_equal(load_result_has_violation(&result), expected);
        load_result_clear(&result);
    }
}

static void only_completed_answers_have_versions_and_times(void **state)
{
    static const struct load_options options = {.tenants = {"a", "b"}, .tenant_count = 2};
    struct load_result result;
    load_result_init(&result);
    load_result_add_answer(&result, 1, ANSWER_DONE, "v1", 1000);
    load_result_add_answer(&result, 1, ANSWER_DONE, "v1", 1000);
    load_result_add_answer(&result, 0, ANSWER_NOT_RUN, "-", 1000);
    json_t *json = load_result_to_json(&result, &options);
    json_t *expected = json_pack("{s:i}", "v1", 2);
    assert_true(json_equal(json_object_get(json, "versions"), expected));
    json_t *tenants = json_object_get(json, "tenants");
    json_t *first = json_object_get(tenants, "a");
    json_t *second = json_object_get(tenants, "b");
    assert_int_equal(json_integer_value(json_object_get(second, "done")), 2);
    assert_int_equal(json_integer_value(json_object_get(second, "not_run")), 0);
    assert_int_equal(json_integer_value(json_object_get(first, "not_run")), 1);
    json_t *whole = json_object_get(json, "whole_ms");
    assert_int_equal(json_integer_value(json_object_get(whole, "count")), 2);
    json_decref(expected);
    json_decref(json);
    load_result_clear(&result);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_violation_is_an_answer_lost_cut_doubled_or_mixed),
        cmocka_unit_test(only_completed_answers_have_versions_and_times),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

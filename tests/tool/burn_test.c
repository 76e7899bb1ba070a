/* Burn rates from gateway counters, also across the restart of a gateway. */
#include "testing.h"

#include "tool/burn.h"

#include <string.h>

static json_t *sample(int time_ms, const char *node, int done, int not_run, int slow)
{
    json_t *buckets = json_array();
    for (uint32_t i = 0; i <= FIRST_TOKEN_BUCKETS; i++)
        json_array_append_new(buckets, json_integer(i < FIRST_TOKEN_BUCKETS ? done - slow : done));
    return json_pack("{s:i, s:{s:{s:[{s:s, s:s, s:i, s:i, s:i, s:o}]}}}", "time_ms", time_ms,
                     "nodes", node, "rows", "service", "script", "tenant", "water", "done", done,
                     "not_run", not_run, "unknown", 0, "first_token", buckets);
}

static const struct objective_config objective = {
    .service = "script", .availability = 0.99, .first_token_ms = 840};

static void burn_counts_counter_increases(void **state)
{
    json_t *samples = json_pack("[o, o, o]", sample(0, "g", 100, 50, 0),
                                sample(1000, "g", 198, 52, 0), sample(2000, "g", 298, 52, 10));
    double windows[] = {1, 60};
    struct burn_objective burn = burn_compute(&objective, samples, windows, 2);
    assert_int_equal(burn.requests, 200);
    assert_int_equal(burn.bad, 2);
    assert_int_equal(burn.slow, 10);
    assert_true(burn.budget_left > -0.001 && burn.budget_left < 0.001);
    assert_int_equal(burn.windows[0].requests, 100);
    assert_true(burn.windows[0].availability_burn < 0.001);
    assert_true(burn.windows[0].latency_burn > 1.99 && burn.windows[0].latency_burn < 2.01);
    burn_clear(&burn);
    json_decref(samples);
}

static void a_restarted_gateway_counts_from_zero(void **state)
{
    json_t *samples = json_pack("[o, o]", sample(0, "g", 1000, 0, 0), sample(1000, "g", 10, 0, 0));
    struct burn_objective burn = burn_compute(&objective, samples, NULL, 0);
    assert_int_equal(burn.requests, 10);
    burn_clear(&burn);
    json_decref(samples);
}

static void metrics_are_parsed_into_rows(void **state)
{
    static const char text[] =
        "# HELP x y\n"
        "shuntrun_service_requests_total{service=\"s\",tenant=\"t\",outcome=\"done\"} 7\n"
        "shuntrun_service_requests_total{service=\"s\",tenant=\"t\",outcome=\"not-run\"} 2\n"
        "shuntrun_first_token_seconds_bucket{service=\"s\",tenant=\"t\",le=\"0.01\"} 4\n"
        "garbage{\n";
    json_t *node = burn_parse_metrics(text);
    const json_t *row = json_array_get(json_object_get(node, "rows"), 0);
    assert_int_equal(json_array_size(json_object_get(node, "rows")), 1);
    assert_int_equal(json_integer_value(json_object_get(row, "done")), 7);
    assert_int_equal(json_integer_value(json_object_get(row, "not_run")), 2);
    assert_int_equal(json_integer_value(json_array_get(json_object_get(row, "first_token"), 0)), 4);
    json_decref(node);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(burn_counts_counter_increases),
        cmocka_unit_test(a_restarted_gateway_counts_from_zero),
        cmocka_unit_test(metrics_are_parsed_into_rows),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Explanations of requests from logs that are unsorted, interleaved and truncated. */
#include "testing.h"

#include "tool/explain.h"

#include <string.h>

static const char logs[] =
    "31.2 front-1 time=2026-01-01T00:00:31.200Z level=warn node=front-1 subsystem=request "
    "event=failed request=ab12 route=r service=s status=502 reason=broken backend=i-2 sends=1 "
    "took_ms=20 trail=\"i-2@0ms:occupancy=3,load_age=40ms,distance=0,weights=1,broken;\"\n"
    "time=2026-01-01T00:00:05.000Z level=info node=front-1 subsystem=config event=accepted "
    "version=7\n"
    "time=2026-01-01T00:00:04.000Z level=info node=front-1 subsystem=config event=accepted "
    "version=6\n"
    "time=2026-01-01T00:00:40.000Z level=info node=front-1 subsystem=config event=accepted "
    "version=9\n"
    "time=2026-01-01T00:00:06.000Z level=info node=front-1 subsystem=backend event=listed id=i-2 "
    "service=s\n"
    "time=2026-01-01T00:00:06.000Z level=info node=front-1 subsystem=backend event=listed id=i-3 "
    "service=s\n"
    "time=2026-01-01T00:00:30.000Z level=info node=front-1 subsystem=process event=stop signal=15\n"
    "torn line without end time=2026-01-";

static bool holds(const json_t *list, const char *text)
{
    for (size_t i = 0; i < json_array_size(list); i++)
        if (strstr(json_string_value(json_array_get(list, i)), text))
            return true;
    return false;
}

static void the_cause_is_reported_with_the_node_state_at_that_time(void **state)
{
    struct explanation explanation;
    assert_true(explain_request(logs, strlen(logs), "ab12", &explanation));
    assert_non_null(strstr(explanation.summary, "front-1 answered 502 after 20 ms"));
    assert_non_null(strstr(explanation.summary, "connection to the backend broke"));
    assert_non_null(strstr(explanation.summary, "planned stop"));
    assert_int_equal(json_array_size(explanation.lines), 1);
    assert_true(holds(explanation.node_state, "version=7"));
    assert_false(holds(explanation.node_state, "version=6"));
    assert_false(holds(explanation.node_state, "version=9"));
    assert_true(holds(explanation.node_state, "id=i-2"));
    assert_false(holds(explanation.node_state, "id=i-3"));
    explanation_clear(&explanation);
}

static void an_aborted_stream_is_distinguished_from_a_response(void **state)
{
    static const char cut[] =
        "time=2026-01-01T00:00:31.200Z node=front-1 subsystem=request event=cut request=cd34 "
        "status=502 reason=no-backend sends=1 events=14 took_ms=900 trail=\"i-2@0ms,broken;\"\n";
    struct explanation explanation;
    assert_true(explain_request(cut, strlen(cut), "cd34", &explanation));
    assert_non_null(strstr(explanation.summary, "front-1 aborted a stream after 900 ms"));
    assert_non_null(strstr(explanation.summary, "had received 14 events and lost the rest"));
    explanation_clear(&explanation);
    assert_true(explain_request(logs, strlen(logs), "ab12", &explanation));
    assert_null(strstr(explanation.summary, "aborted a stream"));
    explanation_clear(&explanation);
}

static void a_request_that_crashes_backends_is_reported(void **state)
{
    static const char blocked[] =
        "time=2026-01-01T00:00:30.100Z node=front-1 subsystem=crash event=ended backend=i-2 born=5 "
        "proof=refused requests=3\n"
        "time=2026-01-01T00:00:31.200Z node=front-1 subsystem=request event=failed request=ef56 "
        "status=503 reason=crashes-back-ends sends=0 events=0 took_ms=0 trail=\"\"\n";
    struct explanation explanation;
    assert_true(explain_request(blocked, strlen(blocked), "ef56", &explanation));
    assert_non_null(strstr(explanation.summary, "several backends crashed while they ran this"));
    assert_true(holds(explanation.node_state, "proof=refused"));
    explanation_clear(&explanation);
}

static void an_unknown_request_is_not_explained(void **state)
{
    struct explanation explanation;
    assert_false(explain_request(logs, strlen(logs), "ab1", &explanation));
    assert_false(explain_request("", 0, "ab12", &explanation));
}

static void backends_in_backoff_are_reported(void **state)
{
    static const char lines[] =
        "time=2026-01-01T00:00:01.000Z level=info node=edge-1 subsystem=backend event=backs-off "
        "id=i-4 born=0 request=b1 status=503 asked_ms=3000 for_ms=3000 in_flight=0\n"
        "time=2026-01-01T00:00:02.000Z level=warn node=edge-1 subsystem=request event=failed "
        "request=b2 status=503 reason=backed-off backend=- sends=0 events=0 took_ms=0 trail=\"\"\n";
    struct explanation explanation;
    assert_true(explain_request(lines, strlen(lines), "b2", &explanation));
    assert_non_null(strstr(explanation.summary, "had asked in a response for a backoff"));
    assert_true(holds(explanation.node_state, "asked_ms=3000"));
    explanation_clear(&explanation);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_cause_is_reported_with_the_node_state_at_that_time),
        cmocka_unit_test(backends_in_backoff_are_reported),
        cmocka_unit_test(an_aborted_stream_is_distinguished_from_a_response),
        cmocka_unit_test(a_request_that_crashes_backends_is_reported),
        cmocka_unit_test(an_unknown_request_is_not_explained),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

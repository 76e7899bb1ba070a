#include "testing.h"

#include "core/hash.h"
#include "core/routing/router.h"

#include <stdlib.h>
#include <string.h>

#define AGENTS 3
#define INCARNATION 9
#define DIGEST_A "aaaa"
#define DIGEST_B "bbbb"

/* Records the calls of the driver: attempts sent to agents, and what callers received. */
struct recorder {
    uint64_t sequences[64];
    uint64_t agents[64];
    uint32_t forwards;
    uint32_t cancels;
    bool fail_sending;
    uint64_t tokens;
    uint32_t ends;
    struct router_result result;
};

static enum router_send_result on_forward(void *context, const struct machine *agent,
                                          Shuntrun__Forward *forward)
{
    struct recorder *recorder = context;
    if (recorder->fail_sending)
        return ROUTER_NOT_SENT;
    recorder->sequences[recorder->forwards] = forward->sequence;
    recorder->agents[recorder->forwards++] = agent->id;
    return ROUTER_SENT;
}

static void on_cancel(void *context, const struct machine *agent, Shuntrun__Cancel *cancel)
{
    ((struct recorder *)context)->cancels++;
}

static void on_begin(void *context, uint64_t caller, const struct ready_model *model)
{
}

static void on_data(void *context, uint64_t caller, uint64_t offset, uint32_t count,
                    const uint8_t *data, size_t size)
{
    ((struct recorder *)context)->tokens += count;
}

static void on_end(void *context, uint64_t caller, uint64_t tokens,
                   const struct router_result *result)
{
    struct recorder *recorder = context;
    recorder->ends++;
    recorder->result = *result;
}

struct fixture {
    struct recorder recorder;
    struct route_agent agents[AGENTS];
    uint32_t indexes[AGENTS];
    struct route_service service;
    struct tenant_config tenant;
    struct routing_view view;
    struct router *router;
};

static int set_up(void **state)
{
    struct fixture *fixture = calloc(1, sizeof *fixture);
    struct router_settings settings = {
        .request_limit = 4, .retry_percent = 100, .stall_us = 1000000};
    struct router_driver driver = {&fixture->recorder, on_forward, on_cancel,
                                   on_begin,           on_data,    on_end};
    for (uint32_t i = 0; i < AGENTS; i++) {
        struct route_agent *agent = &fixture->agents[i];
        agent->id = 100 + i;
        agent->machine.id = agent->id;
        agent->alive = true;
        agent->status.incarnation = 1;
        agent->status.capacity = 10;
        agent->status.ready_count = 1;
        strcpy(agent->status.ready[0].model, "m");
        strcpy(agent->status.ready[0].digest, i < 2 ? DIGEST_A : DIGEST_B);
        fixture->indexes[i] = i;
    }
    strcpy(fixture->service.name, "s");
    strcpy(fixture->service.model, "m");
    fixture->service.kind = SERVICE_MODEL;
    fixture->service.agents = fixture->indexes;
    fixture->service.agent_count = AGENTS;
    fixture->tenant = (struct tenant_config){.name = "t", .weight = 1};
    fixture->view = (struct routing_view){1, fixture->agents,  AGENTS, &fixture->service,
                                          1, &fixture->tenant, 1};
    fixture->router = router_create(&settings, INCARNATION, 1, &driver);
    router_set_view(fixture->router, 1, &fixture->view);
    *state = fixture;
    return 0;
}

static int tear_down(void **state)
{
    struct fixture *fixture = *state;
    router_destroy(fixture->router);
    free(fixture);
    return 0;
}

static void submit(struct fixture *fixture, uint64_t caller, bool unrepeatable)
{
    struct router_request request = {.service = "s",
                                     .tenant = "t",
                                     .key = "",
                                     .unrepeatable = unrepeatable,
                                     .timeout_us = 10000000,
                                     .body = "{}",
                                     .body_size = 2};
    router_submit(fixture->router, 10, caller, &request);
}

/* Process an answer to the last attempt that was sent. */
static void answer(struct fixture *fixture, Shuntrun__AnswerKind kind, uint64_t offset,
                   uint32_t count, const char *digest)
{
    const struct recorder *recorder = &fixture->recorder;
    Shuntrun__Answer message = SHUNTRUN__ANSWER__INIT;
    message.gateway_incarnation = INCARNATION;
    message.sequence = recorder->sequences[recorder->forwards - 1];
    message.kind = kind;
    message.offset = offset;
    message.token_count = count;
    message.digest = (char *)digest;
    message.model = "m";
    message.version = "v";
    message.reason = "because";
    router_on_answer(fixture->router, 20, recorder->agents[recorder->forwards - 1], &message);
}

static void a_refused_request_is_retried_even_when_unrepeatable(void **state)
{
    struct fixture *fixture = *state;
    submit(fixture, 1, true);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED, 0, 0, "");
    assert_int_equal(fixture->recorder.forwards, 2);
    assert_int_not_equal(fixture->recorder.agents[0], fixture->recorder.agents[1]);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED, 0, 0, "");
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED, 0, 0, "");
    assert_int_equal(fixture->recorder.ends, 1);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_NOT_RUN);
    assert_true(fixture->recorder.result.retry_after_ms > 0);
}

static void an_unrepeatable_request_that_may_have_run_is_unknown(void **state)
{
    struct fixture *fixture = *state;
    submit(fixture, 1, true);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_UNKNOWN, 0, 0, "");
    assert_int_equal(fixture->recorder.forwards, 1);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_UNKNOWN);
}

static void a_request_that_was_never_sent_has_not_run(void **state)
{
    struct fixture *fixture = *state;
    fixture->recorder.fail_sending = true;
    submit(fixture, 1, true);
    assert_int_equal(fixture->recorder.ends, 1);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_NOT_RUN);
}

static void a_stalled_stream_resumes_on_the_same_version(void **state)
{
    struct fixture *fixture = *state;
    fixture->agents[2].alive = false; /* so the first attempt goes to version A */
    submit(fixture, 1, false);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 0, 2, DIGEST_A);
    fixture->agents[2].alive = true;
    router_on_tick(fixture->router, 20 + 1000000);
    assert_int_equal(fixture->recorder.cancels, 1);
    assert_int_equal(fixture->recorder.forwards, 2);
    assert_true(fixture->recorder.agents[1] < 102); /* not the agent of version B */
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 2, 1, DIGEST_A);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_DONE, 3, 0, DIGEST_A);
    assert_int_equal(fixture->recorder.tokens, 3);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_DONE);
}

static void a_stream_with_mixed_versions_or_a_gap_is_never_done(void **state)
{
    struct fixture *fixture = *state;
    submit(fixture, 1, true);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 0, 1, DIGEST_A);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 1, 1, DIGEST_B);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_UNKNOWN);
    submit(fixture, 2, true);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 0, 1, DIGEST_A);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_DONE, 5, 0, DIGEST_A);
    assert_int_equal(fixture->recorder.ends, 2);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_UNKNOWN);
}

static void late_duplicate_and_foreign_answers_are_dropped(void **state)
{
    struct fixture *fixture = *state;
    submit(fixture, 1, false);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 0, 1, DIGEST_A);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 0, 1, DIGEST_A);
    assert_int_equal(fixture->recorder.tokens, 1);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_DONE, 1, 0, DIGEST_A);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_DONE, 1, 0, DIGEST_A);
    assert_int_equal(fixture->recorder.ends, 1);
    submit(fixture, 2, false);
    Shuntrun__Answer foreign = SHUNTRUN__ANSWER__INIT;
    foreign.gateway_incarnation = INCARNATION - 1;
    foreign.sequence = fixture->recorder.sequences[1];
    foreign.kind = SHUNTRUN__ANSWER_KIND__ANSWER_DONE;
    router_on_answer(fixture->router, 30, fixture->recorder.agents[1], &foreign);
    assert_int_equal(fixture->recorder.ends, 1);
    assert_int_equal(router_counters(fixture->router)->dropped_answers, 3);
}

static void draining_and_unreachable_agents_get_no_requests(void **state)
{
    struct fixture *fixture = *state;
    fixture->agents[0].status.draining = true;
    fixture->agents[1].alive = false;
    for (uint64_t caller = 1; caller <= 4; caller++)
        submit(fixture, caller, false);
    for (uint32_t i = 0; i < fixture->recorder.forwards; i++)
        assert_int_equal(fixture->recorder.agents[i], 102);
    submit(fixture, 5, false); /* exceeds request_limit */
    assert_int_equal(fixture->recorder.result.http_status, 429);
}

static void an_agent_restart_fails_its_attempts(void **state)
{
    struct fixture *fixture = *state;
    submit(fixture, 1, true);
    for (uint32_t i = 0; i < AGENTS; i++)
        fixture->agents[i].status.incarnation = 2;
    router_set_view(fixture->router, 30, &fixture->view);
    assert_int_equal(fixture->recorder.ends, 1);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_UNKNOWN);
}

static void a_gateway_that_stops_ends_each_request_with_the_outcome_unknown(void **state)
{
    struct fixture *fixture = *state;
    submit(fixture, 1, true);
    submit(fixture, 2, false);
    answer(fixture, SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS, 0, 3, DIGEST_A);
    router_end_all(fixture->router, "stops");
    assert_int_equal(fixture->recorder.ends, 2);
    assert_int_equal(fixture->recorder.cancels, 2);
    assert_int_equal(fixture->recorder.result.outcome, OUTCOME_UNKNOWN);
    assert_int_equal(fixture->recorder.result.http_status, 502);
    assert_int_equal(router_active(fixture->router), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_refused_request_is_retried_even_when_unrepeatable, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(an_unrepeatable_request_that_may_have_run_is_unknown,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_request_that_was_never_sent_has_not_run, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_stalled_stream_resumes_on_the_same_version, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_stream_with_mixed_versions_or_a_gap_is_never_done, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(late_duplicate_and_foreign_answers_are_dropped, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(draining_and_unreachable_agents_get_no_requests, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(an_agent_restart_fails_its_attempts, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            a_gateway_that_stops_ends_each_request_with_the_outcome_unknown, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "testing.h"

#include "core/executor.h"
#include "core/hash.h"
#include "core/ticket.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SELF 7
#define INCARNATION 5
#define WINDOW 1000000ULL /* length of a ticket epoch, microseconds */

struct recorder {
    Shuntrun__AnswerKind kind;
    char reason[128];
    bool replayed;
    uint32_t answers;
    uint32_t starts;
    uint64_t run;
    uint32_t cancels;
};

static void on_answer(void *context, uint64_t route, Shuntrun__Answer *answer)
{
    struct recorder *recorder = context;
    recorder->answers++;
    recorder->kind = answer->kind;
    recorder->replayed = answer->replayed;
    snprintf(recorder->reason, sizeof recorder->reason, "%s", answer->reason);
}

static void on_start(void *context, uint64_t run, const Shuntrun__Forward *forward,
                     const struct ready_model *model, const struct fence *fence)
{
    struct recorder *recorder = context;
    recorder->starts++;
    recorder->run = run;
}

static void on_cancel(void *context, uint64_t run)
{
    ((struct recorder *)context)->cancels++;
}

struct fixture {
    struct recorder recorder;
    struct executor *executor;
    struct fleet_config config;
    struct service_config service;
    struct tenant_config tenant;
    uint64_t home;
    uint64_t sequence;
    char ticket[TICKET_SIZE];
};

static void make_ticket(struct fixture *fixture, uint64_t incarnation, uint64_t epoch)
{
    struct ticket ticket = {.homes_hash = ticket_homes_hash(&fixture->service), .home_count = 1};
    ticket.homes[0] = (struct ticket_home){incarnation, epoch};
    ticket_format(&ticket, fixture->ticket);
}

static int set_up(void **state)
{
    struct fixture *fixture = calloc(1, sizeof *fixture);
    struct executor_settings settings = {
        .capacity = 2, .key_window_us = WINDOW, .key_limit = 10, .pause_us = 500000};
    struct executor_driver driver = {&fixture->recorder, on_answer, on_start, on_cancel};
    fixture->home = SELF;
    fixture->service = (struct service_config){
        .name = "seats", .kind = SERVICE_PLAIN, .machines = &fixture->home, .machine_count = 1};
    fixture->tenant = (struct tenant_config){.name = "t", .weight = 1};
    fixture->config = (struct fleet_config){.revision = 3,
                                            .services = &fixture->service,
                                            .service_count = 1,
                                            .tenants = &fixture->tenant,
                                            .tenant_count = 1};
    fixture->executor = executor_create(&settings, SELF, INCARNATION, 1, &driver);
    executor_set_config(fixture->executor, 1, &fixture->config);
    executor_set_service(fixture->executor, "seats");
    make_ticket(fixture, INCARNATION, 0);
    *state = fixture;
    return 0;
}

static int tear_down(void **state)
{
    struct fixture *fixture = *state;
    executor_destroy(fixture->executor);
    free(fixture);
    return 0;
}

static void send_with(struct fixture *fixture, uint64_t now, const char *key, uint64_t sequence,
                      uint64_t pause_epoch)
{
    char text[TICKET_SIZE + 32] = "";
    Shuntrun__Forward forward = SHUNTRUN__FORWARD__INIT;
    if (key)
        snprintf(text, sizeof text, "%s~%s", fixture->ticket, key);
    forward.gateway_incarnation = 1;
    forward.sequence = sequence;
    forward.agent_incarnation = INCARNATION;
    forward.pause_epoch = pause_epoch;
    forward.service = "seats";
    forward.tenant = "t";
    forward.idempotency_key = text;
    forward.remaining_us = 1000000;
    executor_on_forward(fixture->executor, now, 1, &forward);
}

static void send_key(struct fixture *fixture, uint64_t now, const char *key)
{
    send_with(fixture, now, key, ++fixture->sequence, 0);
}

static void finish(struct fixture *fixture, uint64_t now)
{
    executor_on_done(fixture->executor, now, fixture->recorder.run, 0, (const uint8_t *)"ok", 2);
}

static void a_key_runs_once_and_a_repeat_gets_the_stored_answer(void **state)
{
    struct fixture *fixture = *state;
    send_key(fixture, 10, "k");
    send_key(fixture, 11, "k"); /* while the first request runs */
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_UNKNOWN);
    finish(fixture, 12);
    send_key(fixture, 13, "k");
    assert_int_equal(fixture->recorder.starts, 1);
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_DONE);
    assert_true(fixture->recorder.replayed);
}

static void tickets_of_another_incarnation_or_home_are_refused(void **state)
{
    struct fixture *fixture = *state;
    make_ticket(fixture, INCARNATION - 1, 0);
    send_key(fixture, 10, "k");
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED);
    assert_non_null(strstr(fixture->recorder.reason, "restarted"));
    make_ticket(fixture, INCARNATION, 0);
    uint64_t moved = SELF + 1;
    fixture->home = moved;
    executor_set_config(fixture->executor, 20, &fixture->config);
    send_key(fixture, 21, "k");
    assert_non_null(strstr(fixture->recorder.reason, "not the home"));
    assert_int_equal(fixture->recorder.starts, 0);
}

static void an_old_ticket_is_refused_before_its_keys_expire(void **state)
{
    struct fixture *fixture = *state;
    send_key(fixture, 10, "k");
    finish(fixture, 20);
    for (uint64_t now = 20; now < 5 * WINDOW; now += WINDOW / 4) {
        uint32_t starts = fixture->recorder.starts;
        executor_on_tick(fixture->executor, now);
        send_key(fixture, now, "k");
        assert_int_equal(fixture->recorder.starts, starts); /* replayed or refused, never run */
    }
    assert_non_null(strstr(fixture->recorder.reason, "too old"));
}

static void a_key_without_a_ticket_is_refused_for_two_windows_after_a_start(void **state)
{
    struct fixture *fixture = *state;
    strcpy(fixture->ticket, "x");
    send_key(fixture, 10, "k");
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED);
    for (uint64_t now = 10; now <= 2 * WINDOW; now += WINDOW / 4)
        executor_on_tick(fixture->executor, now);
    send_key(fixture, 2 * WINDOW + 1, "k");
    assert_int_equal(fixture->recorder.starts, 1);
}

static void requests_sent_before_a_pause_ended_are_refused(void **state)
{
    struct fixture *fixture = *state;
    executor_on_tick(fixture->executor, 100);
    send_with(fixture, 100 + 600000, NULL, 1, 0);
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED);
    assert_int_equal(executor_pause_epoch(fixture->executor), 1);
    send_with(fixture, 100 + 600001, NULL, 2, 1);
    assert_int_equal(fixture->recorder.starts, 1);
}

static void a_duplicate_request_is_dropped(void **state)
{
    struct fixture *fixture = *state;
    send_with(fixture, 10, NULL, 1, 0);
    uint32_t answers = fixture->recorder.answers;
    send_with(fixture, 11, NULL, 1, 0);
    assert_int_equal(fixture->recorder.starts, 1);
    assert_int_equal(fixture->recorder.answers, answers);
}

static void draining_and_full_agents_refuse_requests(void **state)
{
    struct fixture *fixture = *state;
    send_key(fixture, 10, NULL);
    send_key(fixture, 11, NULL);
    send_key(fixture, 12, NULL);
    assert_int_equal(fixture->recorder.starts, 2);
    assert_string_equal(fixture->recorder.reason, "busy");
    finish(fixture, 13);
    executor_set_draining(fixture->executor, true);
    send_key(fixture, 14, NULL);
    assert_int_equal(fixture->recorder.starts, 2);
    assert_non_null(strstr(fixture->recorder.reason, "leaving"));
}

static void a_run_that_did_not_start_releases_its_key(void **state)
{
    struct fixture *fixture = *state;
    send_key(fixture, 10, "k");
    executor_on_failed(fixture->executor, 11, fixture->recorder.run, false, "no connection");
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED);
    send_key(fixture, 12, "k");
    assert_int_equal(fixture->recorder.starts, 2);
    executor_on_failed(fixture->executor, 13, fixture->recorder.run, true, "broken");
    send_key(fixture, 14, "k");
    assert_int_equal(fixture->recorder.starts, 2);
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_UNKNOWN);
}

static void an_agent_that_stops_answers_each_run_that_its_outcome_is_unknown(void **state)
{
    struct fixture *fixture = *state;
    send_key(fixture, 10, "k");
    send_with(fixture, 10, NULL, 2, 0);
    assert_int_equal(executor_active(fixture->executor), 2);
    executor_end_runs(fixture->executor, 20, "stops");
    assert_int_equal(executor_active(fixture->executor), 0);
    assert_int_equal(fixture->recorder.cancels, 2);
    assert_int_equal(fixture->recorder.answers, 2);
    assert_int_equal(fixture->recorder.kind, SHUNTRUN__ANSWER_KIND__ANSWER_UNKNOWN);
    assert_string_equal(fixture->recorder.reason, "stops");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_key_runs_once_and_a_repeat_gets_the_stored_answer, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(tickets_of_another_incarnation_or_home_are_refused, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(an_old_ticket_is_refused_before_its_keys_expire, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            a_key_without_a_ticket_is_refused_for_two_windows_after_a_start, set_up, tear_down),
        cmocka_unit_test_setup_teardown(requests_sent_before_a_pause_ended_are_refused, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_duplicate_request_is_dropped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(draining_and_full_agents_refuse_requests, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_run_that_did_not_start_releases_its_key, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            an_agent_that_stops_answers_each_run_that_its_outcome_is_unknown, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

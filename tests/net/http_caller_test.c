/* HTTP client: a call sent from the callback of an aborted call must be sent, not dropped or
 * aborted. */
#include "testing.h"

#include "net/free_port.h"
#include "net/http_caller.h"
#include "net/http_service.h"

#include <string.h>

/** Iterations of the loop, at most 10 ms each, after which no response is expected. */
#define MAX_LOOP_ITERATIONS 200

struct fixture {
    uv_loop_t *loop;
    struct sockaddr_in address;
    struct http_caller *caller;
    struct service_call *deferred;
    uint32_t broken;
    uint32_t answered;
};

static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct fixture *fixture = context;
    if (service_path_is(request, "/parked"))
        fixture->deferred = call;
    else
        service_reply(call, 200, NULL, NULL, 0);
}

static void on_answer(void *context, enum http_call_result result,
                      const struct http_message *message)
{
    struct fixture *fixture = context;
    fixture->answered += result == CALL_COMPLETE;
}

static void call(struct fixture *fixture, const char *target, http_call_done *done)
{
    struct http_caller_request request = {.method = "GET",
                                          .target = target,
                                          .timeout_ms = 60000,
                                          .body_limit = 100,
                                          .done = done,
                                          .context = fixture};
    http_caller_send(fixture->caller, &request);
}

static void on_broken(void *context, enum http_call_result result,
                      const struct http_message *message)
{
    struct fixture *fixture = context;
    fixture->broken += result == CALL_BROKEN;
    call(fixture, "/other", on_answer);
}

static void on_wake_timer(uv_timer_t *timer)
{
}

static void run_until(struct fixture *fixture, bool (*done)(const struct fixture *fixture))
{
    for (uint32_t i = 0; i < MAX_LOOP_ITERATIONS && !done(fixture); i++)
        uv_run(fixture->loop, UV_RUN_ONCE);
}

static bool is_deferred(const struct fixture *fixture)
{
    return fixture->deferred;
}

static bool is_answered(const struct fixture *fixture)
{
    return fixture->answered;
}

static bool is_never_done(const struct fixture *fixture)
{
    return false;
}

static void call_sent_from_abort_callback_is_sent(void **state)
{
    static const struct http_service_limits limits = {100, HTTP_SERVICE_IDLE_TIMEOUT_MS,
                                                      HTTP_SERVICE_REQUEST_TIMEOUT_MS};
    struct fixture fixture = {.loop = uv_default_loop()};
    uv_timer_t wake;
    find_free_port(&fixture.address);
    assert_non_null(http_service_start(fixture.loop, &fixture.address, &limits, on_call, &fixture));
    fixture.caller = http_caller_create(fixture.loop, &fixture.address);
    uv_timer_init(fixture.loop, &wake);
    uv_timer_start(&wake, on_wake_timer, 10, 10);
    call(&fixture, "/parked", on_broken);
    run_until(&fixture, is_deferred);
    http_caller_abort(fixture.caller);
    assert_int_equal(fixture.broken, 1);
    run_until(&fixture, is_answered);
    assert_int_equal(fixture.answered, 1);
    service_reply(fixture.deferred, 404, NULL, NULL,
                  0); /* its connection is closed; this frees the call */
    http_caller_destroy(fixture.caller);
    run_until(&fixture, is_never_done);
    uv_close((uv_handle_t *)&wake, NULL);
    uv_run(fixture.loop, UV_RUN_NOWAIT);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(call_sent_from_abort_callback_is_sent),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* A response that ends with its connection may be cut off by a crash of the server: it was taken
 * for complete. */
#include "testing.h"

#include "net/free_port.h"
#include "net/loop.h"

#include <pthread.h>
#include <stdio.h>

/* A server that sends one response as it is, and closes the connection in order. */
struct server {
    struct sockaddr_in address;
    int listener;
    const char *response;
};

static void *serve_once(void *context)
{
    struct server *server = context;
    char request[1024];
    int connection = accept(server->listener, NULL, NULL);
    assert_true(read(connection, request, sizeof request) > 0);
    assert_true(write(connection, server->response, strlen(server->response)) > 0);
    shutdown(connection, SHUT_WR);
    while (read(connection, request, sizeof request) > 0)
        ;
    close(connection);
    return NULL;
}

struct outcome {
    struct loop *loop;
    enum http_result result;
};

static void on_done(void *context, struct http_response *response)
{
    struct outcome *outcome = context;
    outcome->result = response->result;
    loop_stop(outcome->loop);
}

static enum http_result result_of(const char *response)
{
    struct server server = {.listener = socket(AF_INET, SOCK_STREAM, 0), .response = response};
    struct outcome outcome = {.loop = loop_create()};
    pthread_t thread;
    char url[64];
    find_free_port(&server.address);
    assert_int_equal(
        bind(server.listener, (struct sockaddr *)&server.address, sizeof server.address), 0);
    assert_int_equal(listen(server.listener, 1), 0);
    pthread_create(&thread, NULL, serve_once, &server);
    snprintf(url, sizeof url, "http://127.0.0.1:%u/", ntohs(server.address.sin_port));
    struct http_call call = {
        .method = "GET", .url = url, .body_limit = 100, .on_done = on_done, .context = &outcome};
    loop_http(outcome.loop, &call);
    loop_run(outcome.loop);
    loop_destroy(outcome.loop);
    pthread_join(thread, NULL);
    close(server.listener);
    return outcome.result;
}

static void a_response_without_a_framing_is_not_complete(void **state)
{
    assert_int_equal(result_of("HTTP/1.1 200 OK\r\n\r\nhalf"), HTTP_BROKEN);
    assert_int_equal(result_of("HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
                               "HTTP/1.1 200 OK\r\n\r\nhalf"),
                     HTTP_BROKEN);
}

static void a_response_with_a_framing_is_complete(void **state)
{
    assert_int_equal(result_of("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"), HTTP_COMPLETE);
    assert_int_equal(result_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "5\r\nwhole\r\n0\r\n\r\n"),
                     HTTP_COMPLETE);
    assert_int_equal(result_of("HTTP/1.1 204 No Content\r\n\r\n"), HTTP_COMPLETE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_response_without_a_framing_is_not_complete),
        cmocka_unit_test(a_response_with_a_framing_is_complete),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "standin/standin.h"

#include "base/clock.h"
#include "base/memory.h"

#include <argp.h>
#include <arpa/inet.h>
#include <ck_pr.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY_ADDRESS 1
#define KEY_PORT 2
#define KEY_FIRST_EXTRA 100
#define MAX_EXTRA_OPTIONS 16
#define CONNECTION_LIMIT 4000
#define STACK_BYTES (128 * 1024)
#define SLOW_DELAY_US 300000
#define STALL_POLL_US 20000

static uint32_t current_fault;
static const char *const fault_names[FAULT_COUNT] = {"none",    "refuse", "stall", "slow",
                                                     "corrupt", "stale",  "down",  "crash"};

uint64_t standin_now_us(void)
{
    return clock_monotonic_us();
}

void standin_sleep_us(uint64_t duration)
{
    usleep((useconds_t)duration);
}

/* ---- options ---- */

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct standin_options *options = state->input;
    if (key == KEY_ADDRESS) {
        options->address = argument;
    } else if (key == KEY_PORT) {
        options->port = (unsigned)strtoul(argument, NULL, 10);
    } else if (key >= KEY_FIRST_EXTRA && key < KEY_FIRST_EXTRA + MAX_EXTRA_OPTIONS) {
        char *rest;
        *options->extra[key - KEY_FIRST_EXTRA].number = strtoull(argument, &rest, 10);
        if (*rest || rest == argument)
            argp_error(state, "`%s` is not a whole number", argument);
    } else if (key == ARGP_KEY_ARG) {
        argp_error(state, "unexpected argument `%s`", argument);
    } else {
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

void standin_parse_options(int argc, char **argv, const char *doc, struct standin_options *options,
                           const struct standin_option *extra)
{
    struct argp_option list[MAX_EXTRA_OPTIONS + 3] = {
        {"address", KEY_ADDRESS, "IP", 0, "IP number to listen on (127.0.0.1)", 0},
        {"port", KEY_PORT, "PORT", 0, "TCP port (9000)", 0},
    };
    *options = (struct standin_options){"127.0.0.1", 9000, extra};
    for (int i = 0; extra && extra[i].name; i++)
        list[i + 2] =
            (struct argp_option){extra[i].name, KEY_FIRST_EXTRA + i, "N", 0, extra[i].help, 0};
    struct argp argp = {list, parse_option, NULL, doc, NULL, NULL, NULL};
    argp_parse(&argp, argc, argv, 0, NULL, options);
}

/* ---- faults ---- */

enum standin_fault standin_fault(void)
{
    return (enum standin_fault)ck_pr_load_32(&current_fault);
}

bool standin_handle_fault_request(const struct standin_request *request,
                                  struct standin_reply *reply)
{
    if (!standin_matches(request, "POST", "/admin/fault"))
        return false;
    json_t *body = json_loadb(request->body, request->size, 0, NULL);
    const char *mode = json_string_value(json_object_get(body, "mode"));
    unsigned status = 400;
    for (uint32_t i = 0; mode && i < FAULT_COUNT; i++) {
        if (strcmp(mode, fault_names[i]) != 0)
            continue;
        ck_pr_store_32(&current_fault, i);
        status = 200;
    }
    json_decref(body);
    standin_reply_json(reply, status, json_pack("{s:s}", "mode", fault_names[standin_fault()]));
    return true;
}

bool standin_apply_fault(struct standin_reply *reply)
{
    if (standin_fault() == FAULT_SLOW)
        standin_sleep_us(SLOW_DELAY_US);
    if (standin_fault() == FAULT_STALL) {
        while (standin_fault() == FAULT_STALL)
            standin_sleep_us(STALL_POLL_US);
        reply->status = 0;
        return true;
    }
    if (standin_fault() == FAULT_DOWN) {
        reply->status = 0;
        return true;
    }
    if (standin_fault() == FAULT_REFUSE) {
        standin_reply_json(reply, 503, json_pack("{s:s}", "error", "refused"));
        reply->headers[0][0] = "X-Note";
        reply->headers[0][1] = "not-run";
        return true;
    }
    return false;
}

/* ---- requests ---- */

const char *standin_header(const struct standin_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, name);
}

uint64_t standin_query_number(const struct standin_request *request, const char *name,
                              uint64_t default_value)
{
    const char *text =
        MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
    return text ? strtoull(text, NULL, 10) : default_value;
}

void standin_reply_json(struct standin_reply *reply, unsigned status, json_t *body)
{
    reply->status = status;
    reply->body = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    reply->size = strlen(reply->body);
    json_decref(body);
}

bool standin_matches(const struct standin_request *request, const char *method, const char *path)
{
    return strcmp(request->method, method) == 0 && strcmp(request->path, path) == 0;
}

const char *standin_path_suffix(const struct standin_request *request, const char *method,
                                const char *prefix)
{
    size_t length = strlen(prefix);
    bool same = strcmp(request->method, method) == 0 && strncmp(request->path, prefix, length) == 0;
    return same ? request->path + length : NULL;
}

struct server {
    standin_handler *handler;
    void *context;
};

struct upload {
    char *body;
    size_t size;
};

struct stream {
    struct standin_reply reply;
};

static ssize_t read_stream(void *context, uint64_t position, char *buffer, size_t capacity)
{
    struct stream *stream = context;
    ssize_t size = stream->reply.read(stream->reply.context, buffer, capacity);
    if (size == 0)
        return MHD_CONTENT_READER_END_OF_STREAM;
    return size < 0 ? MHD_CONTENT_READER_END_WITH_ERROR : size;
}

static void end_stream(void *context)
{
    struct stream *stream = context;
    if (stream->reply.end)
        stream->reply.end(stream->reply.context);
    free(stream);
}

static struct MHD_Response *make_response(const struct standin_reply *reply)
{
    if (!reply->read)
        return MHD_create_response_from_buffer(reply->size, reply->body, MHD_RESPMEM_MUST_FREE);
    struct stream *stream = memory_calloc(1, sizeof *stream);
    stream->reply = *reply;
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 65536, read_stream, stream,
                                             end_stream);
}

static enum MHD_Result answer(struct MHD_Connection *connection, const struct standin_reply *reply)
{
    if (!reply->status) {
        free(reply->body);
        return MHD_NO; /* close the connection without an answer */
    }
    struct MHD_Response *response = make_response(reply);
    for (int i = 0; i < STANDIN_MAX_HEADERS && reply->headers[i][0]; i++)
        MHD_add_response_header(response, reply->headers[i][0], reply->headers[i][1]);
    enum MHD_Result result = MHD_queue_response(connection, reply->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result on_access(void *context, struct MHD_Connection *connection, const char *url,
                                 const char *method, const char *version, const char *data,
                                 size_t *size, void **state)
{
    struct server *server = context;
    struct upload *upload = *state;
    if (!upload) {
        *state = memory_calloc(1, sizeof *upload);
        return MHD_YES;
    }
    if (*size) {
        upload->body = memory_realloc(upload->body, upload->size + *size);
        memcpy(upload->body + upload->size, data, *size);
        upload->size += *size;
        *size = 0;
        return MHD_YES;
    }
    struct standin_request request = {method, url, upload->body, upload->size, connection};
    struct standin_reply reply = {0};
    if (!standin_handle_fault_request(&request, &reply))
        server->handler(server->context, &request, &reply);
    return answer(connection, &reply);
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode code)
{
    struct upload *upload = *state;
    if (!upload)
        return;
    free(upload->body);
    free(upload);
    *state = NULL;
}

int standin_serve(const struct standin_options *options, standin_handler *handler, void *context)
{
    struct server server = {handler, context};
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)options->port)};
    sigset_t signals;
    int number;
    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    inet_pton(AF_INET, options->address, &address.sin_addr);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
        (uint16_t)options->port, NULL, NULL, on_access, &server, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (!daemon) {
        fprintf(stderr, "cannot listen on %s:%u\n", options->address, options->port);
        return 1;
    }
    sigwait(&signals, &number);
    _exit(0); /* handler threads may be blocked, and a stand-in has no state to save */
}

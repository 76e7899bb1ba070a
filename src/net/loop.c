#include "net/loop.h"

#include "base/clock.h"
#include "base/memory.h"

#include <ck_pr.h>
#include <ck_stack.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <zmq.h>

#define CONNECT_TIMEOUT_MS 1000L
#define DEFAULT_TICK_US 50000
/** Statuses of responses without a body. */
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304

struct posted_call {
    ck_stack_entry_t link;
    loop_callback *callback;
    void *argument;
};
CK_STACK_CONTAINER(struct posted_call, link, posted_call_of)

struct watched_socket {
    void *socket;
    int descriptor;
    loop_callback *callback;
    void *context;
};

struct transfer {
    uint64_t number;
    CURL *easy;
    struct curl_slist *headers;
    struct http_call call;
    uint8_t *body; /* request body, owned */
    uint8_t *response;
    size_t response_size;
    uint32_t retry_after_ms;
    char note[32];
    uint64_t last_byte_us;
    bool over_limit;
    bool framed; /* a length or chunks delimit the body of the response */
    struct transfer *next;
};

struct loop {
    CURLM *multi;
    struct transfer *transfers;
    uint64_t next_number;
    struct watched_socket *sockets;
    struct curl_waitfd *descriptors; /* one per socket */
    uint32_t socket_count;
    ck_stack_t posted_calls;
    uint32_t stopped;
    uint64_t tick_us;
    uint64_t last_tick;
    loop_callback *tick;
    void *tick_context;
};

struct loop *loop_create(void)
{
    struct loop *loop = memory_calloc(1, sizeof *loop);
    loop->multi = curl_multi_init();
    loop->tick_us = DEFAULT_TICK_US;
    loop->next_number = 1;
    ck_stack_init(&loop->posted_calls);
    return loop;
}

static void free_transfer(struct loop *loop, struct transfer *transfer)
{
    curl_multi_remove_handle(loop->multi, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    free(transfer->body);
    free(transfer->response);
    free(transfer);
}

void loop_destroy(struct loop *loop)
{
    if (!loop)
        return;
    while (loop->transfers) {
        struct transfer *transfer = loop->transfers;
        loop->transfers = transfer->next;
        if (transfer->call.on_abandoned)
            transfer->call.on_abandoned(transfer->call.context);
        free_transfer(loop, transfer);
    }
    curl_multi_cleanup(loop->multi);
    free(loop->sockets);
    free(loop->descriptors);
    free(loop);
}

void loop_stop(struct loop *loop)
{
    ck_pr_store_32(&loop->stopped, 1);
    curl_multi_wakeup(loop->multi);
}

void loop_post(struct loop *loop, loop_callback *callback, void *argument)
{
    struct posted_call *posted_call = memory_calloc(1, sizeof *posted_call);
    posted_call->callback = callback;
    posted_call->argument = argument;
    ck_stack_push_upmc(&loop->posted_calls, &posted_call->link);
    curl_multi_wakeup(loop->multi);
}

static void run_posted(struct loop *loop)
{
    ck_stack_entry_t *newest = ck_stack_batch_pop_upmc(&loop->posted_calls);
    ck_stack_entry_t *oldest = NULL;
    while (newest) { /* the stack is last-in, first-out: reverse it */
        ck_stack_entry_t *next = newest->next;
        newest->next = oldest;
        oldest = newest;
        newest = next;
    }
    while (oldest) {
        struct posted_call *posted_call = posted_call_of(oldest);
        oldest = oldest->next;
        posted_call->callback(posted_call->argument);
        free(posted_call);
    }
}

void loop_set_tick(struct loop *loop, uint64_t interval_us, loop_callback *callback, void *context)
{
    loop->tick_us = interval_us;
    loop->tick = callback;
    loop->tick_context = context;
}

void loop_run_posted(struct loop *loop)
{
    run_posted(loop);
}

void loop_watch_socket(struct loop *loop, void *socket, loop_callback *callback, void *context)
{
    size_t count = loop->socket_count + 1;
    loop->sockets = memory_realloc(loop->sockets, count * sizeof *loop->sockets);
    loop->descriptors = memory_realloc(loop->descriptors, count * sizeof *loop->descriptors);
    struct watched_socket *watched_socket = &loop->sockets[loop->socket_count++];
    size_t size = sizeof watched_socket->descriptor;
    *watched_socket =
        (struct watched_socket){.socket = socket, .callback = callback, .context = context};
    zmq_getsockopt(socket, ZMQ_FD, &watched_socket->descriptor, &size);
}

void loop_unwatch_socket(struct loop *loop, void *socket)
{
    for (uint32_t i = 0; i < loop->socket_count; i++)
        if (loop->sockets[i].socket == socket)
            loop->sockets[i--] = loop->sockets[--loop->socket_count];
}

/* ---- HTTP ---- */

static size_t on_body(char *data, size_t unit, size_t count, void *context)
{
    struct transfer *transfer = context;
    size_t size = unit * count;
    transfer->last_byte_us = clock_monotonic_us();
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (transfer->call.on_data && status == 200) {
        transfer->call.on_data(transfer->call.context, (const uint8_t *)data, size);
        return size;
    }
    if (transfer->response_size + size > transfer->call.body_limit) {
        transfer->over_limit = true;
        return 0;
    }
    transfer->response = memory_realloc(transfer->response, transfer->response_size + size);
    memcpy(transfer->response + transfer->response_size, data, size);
    transfer->response_size += size;
    if (transfer->call.on_bytes)
        transfer->call.on_bytes(transfer->call.context, size);
    return size;
}

static bool begins_with(const char *line, const char *name)
{
    return strncasecmp(line, name, strlen(name)) == 0;
}

static size_t on_header(char *data, size_t unit, size_t count, void *context)
{
    static const char retry_after[] = "Retry-After:";
    static const char note[] = "X-Note:";
    struct transfer *transfer = context;
    size_t size = unit * count;
    char line[96];
    snprintf(line, sizeof line, "%.*s", (int)(size < 95 ? size : 95), data);
    if (begins_with(line, "HTTP/")) /* an interim response may have come before */
        transfer->framed = false;
    if (begins_with(line, "Content-Length:") || begins_with(line, "Transfer-Encoding:"))
        transfer->framed = true;
    if (begins_with(line, retry_after))
        transfer->retry_after_ms = (uint32_t)(strtod(line + sizeof retry_after - 1, NULL) * 1000);
    if (begins_with(line, note))
        sscanf(line + sizeof note - 1, " %31s", transfer->note);
    transfer->last_byte_us = clock_monotonic_us();
    return size;
}

/* Called when the connection is established and nothing was sent: the last point at which an
 * expired deadline is noticed, for example after the process was suspended. */
static int check_send_deadline(void *context, char *remote, char *local, int remote_port,
                               int local_port)
{
    const struct transfer *transfer = context;
    bool late = clock_monotonic_us() > transfer->call.send_before_us;
    return late ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void set_options(struct transfer *transfer)
{
    const struct http_call *call = &transfer->call;
    CURL *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, call->url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    if (call->send_before_us) {
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, check_send_deadline);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    }
    if (call->fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    transfer->headers = curl_slist_append(NULL, "Expect:");
    for (size_t i = 0; call->headers && call->headers[i]; i++)
        transfer->headers = curl_slist_append(transfer->headers, call->headers[i]);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    if (strcmp(call->method, "POST") == 0) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)call->body_size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body);
    }
}

uint64_t loop_http(struct loop *loop, const struct http_call *call)
{
    struct transfer *transfer = memory_calloc(1, sizeof *transfer);
    transfer->number = loop->next_number++;
    transfer->call = *call;
    transfer->body = memory_duplicate(call->body, call->body_size);
    transfer->easy = curl_easy_init();
    transfer->last_byte_us = clock_monotonic_us();
    set_options(transfer);
    transfer->next = loop->transfers;
    loop->transfers = transfer;
    curl_multi_add_handle(loop->multi, transfer->easy);
    return transfer->number;
}

static struct transfer *unlink_transfer(struct loop *loop, uint64_t number)
{
    struct transfer **link = &loop->transfers;
    while (*link && (*link)->number != number)
        link = &(*link)->next;
    struct transfer *transfer = *link;
    if (transfer)
        *link = transfer->next;
    return transfer;
}

void loop_http_cancel(struct loop *loop, uint64_t number)
{
    struct transfer *transfer = unlink_transfer(loop, number);
    if (transfer)
        free_transfer(loop, transfer);
}

static enum http_result result_from_curl(CURLcode code)
{
    if (code == CURLE_OK)
        return HTTP_COMPLETE;
    bool unsent = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
                  code == CURLE_URL_MALFORMAT || code == CURLE_ABORTED_BY_CALLBACK;
    return unsent ? HTTP_NOT_SENT : HTTP_BROKEN;
}

/* The end of a connection ends a response without a framing, as it does when the server crashes.
 * Receivers of `on_data` know from the data whether they are complete. */
static bool may_be_cut_off(const struct transfer *transfer)
{
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    bool has_body = status != HTTP_NO_CONTENT && status != HTTP_NOT_MODIFIED;
    return has_body && !transfer->framed && !transfer->call.on_data;
}

uint8_t *http_response_take_body(struct http_response *response)
{
    uint8_t *body = response->body;
    response->body = NULL;
    return body;
}

static void end_transfer(struct loop *loop, struct transfer *transfer, enum http_result result,
                         const char *error)
{
    struct http_response response = {
        .result = result,
        .body = transfer->response,
        .size = transfer->response_size,
        .retry_after_ms = transfer->retry_after_ms,
        .error = transfer->over_limit ? "the response is too large" : error,
    };
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &response.status);
    memcpy(response.note, transfer->note, sizeof response.note);
    unlink_transfer(loop, transfer->number);
    transfer->call.on_done(transfer->call.context, &response);
    transfer->response = response.body; /* NULL after http_response_take_body() */
    free_transfer(loop, transfer);
}

static void finish_transfers(struct loop *loop)
{
    CURLMsg *message;
    int left;
    while ((message = curl_multi_info_read(loop->multi, &left))) {
        if (message->msg != CURLMSG_DONE)
            continue;
        struct transfer *transfer;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&transfer);
        enum http_result result = result_from_curl(message->data.result);
        if (result == HTTP_COMPLETE && may_be_cut_off(transfer))
            end_transfer(loop, transfer, HTTP_BROKEN, "the response has no length");
        else
            end_transfer(loop, transfer, result, curl_easy_strerror(message->data.result));
    }
}

static void abort_stalled(struct loop *loop)
{
    uint64_t now = clock_monotonic_us();
    for (struct transfer *transfer = loop->transfers; transfer;) {
        uint64_t stall_us = transfer->call.stall_ms * MICROSECONDS_PER_MILLISECOND;
        if (!stall_us || now - transfer->last_byte_us < stall_us) {
            transfer = transfer->next;
            continue;
        }
        end_transfer(loop, transfer, HTTP_BROKEN, "stalled");
        transfer = loop->transfers; /* the callback may have changed the list */
    }
}

/* ---- running ---- */

static void dispatch_sockets(struct loop *loop)
{
    for (uint32_t i = 0; i < loop->socket_count; i++) {
        int events = 0;
        size_t size = sizeof events;
        zmq_getsockopt(loop->sockets[i].socket, ZMQ_EVENTS, &events, &size);
        if (events & ZMQ_POLLIN)
            loop->sockets[i].callback(loop->sockets[i].context);
    }
}

static void wait_for_events(struct loop *loop)
{
    for (uint32_t i = 0; i < loop->socket_count; i++)
        loop->descriptors[i] =
            (struct curl_waitfd){loop->sockets[i].descriptor, CURL_WAIT_POLLIN, 0};
    uint64_t since = clock_monotonic_us() - loop->last_tick;
    int wait_ms = since >= loop->tick_us ? 0 : (int)((loop->tick_us - since) / 1000) + 1;
    curl_multi_poll(loop->multi, loop->descriptors, loop->socket_count, wait_ms, NULL);
}

static void run_tick(struct loop *loop)
{
    uint64_t now = clock_monotonic_us();
    if (now - loop->last_tick < loop->tick_us)
        return;
    loop->last_tick = now;
    abort_stalled(loop);
    if (loop->tick)
        loop->tick(loop->tick_context);
}

void loop_run(struct loop *loop)
{
    while (!ck_pr_load_32(&loop->stopped)) {
        int running;
        wait_for_events(loop);
        run_posted(loop);
        dispatch_sockets(loop);
        curl_multi_perform(loop->multi, &running);
        finish_transfers(loop);
        run_tick(loop);
    }
}

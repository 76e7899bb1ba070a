#include "net/http_server.h"

#include "base/memory.h"

#include <arpa/inet.h>
#include <assert.h>
#include <ck_pr.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PACED_BLOCK_BYTES 32768
#define STREAM_BLOCK_BYTES 16384
#define MAX_REPLY_HEADERS 12
#define HEADER_VALUE_SIZE 768
#define IDLE_TIMEOUT_SECONDS 60

struct stored_header {
    char name[48];
    char value[HEADER_VALUE_SIZE];
};

/*
 * One request. The server's thread owns it until http_exchange_retain(); from then on it is shared
 * with the handler's owner under `lock`, and freed when both have released it.
 */
struct http_exchange {
    struct http_server *server;
    struct MHD_Connection *connection;
    char *path;
    char *method;
    uint8_t *body;
    size_t body_size;
    bool too_large;
    bool handled;
    bool replied;
    /* retained exchanges */
    pthread_mutex_t lock;
    unsigned references; /* by the server and by the handler's owner */
    bool kept;
    bool suspended;
    bool closed; /* the server has released it */
    bool began;
    bool ended;
    bool broken;
    unsigned status;
    char content_type[64];
    struct stored_header *headers;
    size_t header_count;
    uint8_t *pending; /* unsent response bytes */
    size_t pending_size;
    size_t pending_start;
    uint64_t tag;
};

struct http_server {
    struct http_server_settings settings;
    struct MHD_Daemon *daemon;
    MHD_socket quiesced_listener; /* MHD_INVALID_SOCKET: the daemon owns the listener */
    uint32_t open_exchanges;      /* atomic */
    uint32_t closing;             /* atomic; responses close their connections */
};

/* ---- lifetime ---- */

static void free_exchange(struct http_exchange *exchange)
{
    pthread_mutex_destroy(&exchange->lock);
    free(exchange->path);
    free(exchange->method);
    free(exchange->body);
    free(exchange->headers);
    free(exchange->pending);
    free(exchange);
}

/* Called with `lock` held; unlocks it. */
static void drop_reference(struct http_exchange *exchange)
{
    bool last = --exchange->references == 0;
    pthread_mutex_unlock(&exchange->lock);
    if (last)
        free_exchange(exchange);
}

void http_exchange_release(struct http_exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    drop_reference(exchange);
}

void http_exchange_set_tag(struct http_exchange *exchange, uint64_t tag)
{
    exchange->tag = tag;
}

uint64_t http_exchange_tag(const struct http_exchange *exchange)
{
    return exchange->tag;
}

const char *http_header(struct http_exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND, name);
}

const char *http_query(struct http_exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* ---- complete responses ---- */

/* libmicrohttpd closes the connection of such a response at its end. */
static void add_close_header(const struct http_exchange *exchange, struct MHD_Response *response)
{
    if (ck_pr_load_32(&exchange->server->closing))
        MHD_add_response_header(response, "Connection", "close");
}

static void queue_response(struct http_exchange *exchange, unsigned status,
                           struct MHD_Response *response)
{
    exchange->replied = true;
    add_close_header(exchange, response);
    MHD_queue_response(exchange->connection, status, response);
    MHD_destroy_response(response);
}

void http_reply(struct http_exchange *exchange, unsigned status, const char *content_type,
                const void *body, size_t size, const struct http_reply_header *headers)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(size, (void *)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", content_type);
    for (size_t i = 0; headers && headers[i].name; i++)
        MHD_add_response_header(response, headers[i].name, headers[i].value);
    queue_response(exchange, status, response);
}

void http_reply_shared(struct http_exchange *exchange, unsigned status, const void *body,
                       size_t size, void (*release)(void *owner), void *owner)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer_with_free_callback_cls(size, (void *)body, release, owner);
    MHD_add_response_header(response, "Content-Type", "application/octet-stream");
    queue_response(exchange, status, response);
}

void http_reply_paced(struct http_exchange *exchange, unsigned status, uint64_t size,
                      ssize_t (*read)(void *owner, uint64_t position, char *buffer,
                                      size_t max_size),
                      void (*release)(void *owner), void *owner)
{
    struct MHD_Response *response =
        MHD_create_response_from_callback(size, PACED_BLOCK_BYTES, read, owner, release);
    MHD_add_response_header(response, "Content-Type", "application/octet-stream");
    queue_response(exchange, status, response);
}

/* ---- retained exchanges ---- */

void http_exchange_retain(struct http_exchange *exchange)
{
    exchange->kept = true;
    exchange->references = 2;
}

/* Called with `lock` held. */
static void resume_connection(struct http_exchange *exchange)
{
    if (!exchange->suspended || exchange->closed)
        return;
    exchange->suspended = false;
    MHD_resume_connection(exchange->connection);
}

void http_stream_begin(struct http_exchange *exchange, unsigned status, const char *content_type,
                       const struct http_reply_header *headers)
{
    pthread_mutex_lock(&exchange->lock);
    exchange->began = true;
    exchange->status = status;
    snprintf(exchange->content_type, sizeof exchange->content_type, "%s", content_type);
    exchange->headers = memory_calloc(MAX_REPLY_HEADERS, sizeof *exchange->headers);
    for (size_t i = 0; headers && headers[i].name && i < MAX_REPLY_HEADERS; i++) {
        struct stored_header *stored = &exchange->headers[exchange->header_count++];
        snprintf(stored->name, sizeof stored->name, "%s", headers[i].name);
        snprintf(stored->value, sizeof stored->value, "%s", headers[i].value);
    }
    resume_connection(exchange);
    pthread_mutex_unlock(&exchange->lock);
}

bool http_stream_data(struct http_exchange *exchange, const void *data, size_t size, size_t limit)
{
    pthread_mutex_lock(&exchange->lock);
    size_t waiting = exchange->pending_size - exchange->pending_start;
    bool accepted = !exchange->closed && waiting + size <= limit;
    if (accepted) {
        if (waiting)
            memmove(exchange->pending, exchange->pending + exchange->pending_start, waiting);
        exchange->pending = memory_realloc(exchange->pending, waiting + size);
        memcpy(exchange->pending + waiting, data, size);
        exchange->pending_start = 0;
        exchange->pending_size = waiting + size;
        resume_connection(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    return accepted;
}

void http_stream_end(struct http_exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    exchange->ended = true;
    resume_connection(exchange);
    pthread_mutex_unlock(&exchange->lock);
}

void http_stream_abort(struct http_exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    exchange->broken = true;
    resume_connection(exchange);
    pthread_mutex_unlock(&exchange->lock);
}

/* Content reader of libmicrohttpd: returns unsent bytes, or suspends the connection until there
 * are more. */
static ssize_t read_stream(void *context, uint64_t position, char *buffer, size_t max_size)
{
    struct http_exchange *exchange = context;
    ssize_t produced = 0;
    pthread_mutex_lock(&exchange->lock);
    size_t waiting = exchange->pending_size - exchange->pending_start;
    if (exchange->broken) {
        produced = MHD_CONTENT_READER_END_WITH_ERROR;
    } else if (waiting) {
        size_t size = waiting < max_size ? waiting : max_size;
        memcpy(buffer, exchange->pending + exchange->pending_start, size);
        exchange->pending_start += size;
        produced = (ssize_t)size;
    } else if (exchange->ended) {
        produced = MHD_CONTENT_READER_END_OF_STREAM;
    } else {
        exchange->suspended = true;
        MHD_suspend_connection(exchange->connection);
    }
    pthread_mutex_unlock(&exchange->lock);
    return produced;
}

/* Called after http_stream_begin(), which fixed the status and the headers. */
static enum MHD_Result queue_stream(struct http_exchange *exchange)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, exchange, NULL);
    MHD_add_response_header(response, "Content-Type", exchange->content_type);
    for (size_t i = 0; i < exchange->header_count; i++)
        MHD_add_response_header(response, exchange->headers[i].name, exchange->headers[i].value);
    exchange->replied = true;
    add_close_header(exchange, response);
    enum MHD_Result result = MHD_queue_response(exchange->connection, exchange->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result continue_kept(struct http_exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    bool queue_now = exchange->began && !exchange->replied;
    bool close_now = exchange->broken && !exchange->replied;
    if (!queue_now && !close_now && !exchange->replied) {
        exchange->suspended = true;
        MHD_suspend_connection(exchange->connection);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (close_now)
        return MHD_NO; /* closes the connection */
    /* Without `lock`, to prevent a deadlock: libmicrohttpd locks the response here, and takes the
     * two locks in the opposite order when it calls read_stream(). */
    return queue_now ? queue_stream(exchange) : MHD_YES;
}

/* ---- libmicrohttpd callbacks ---- */

static void append_body(struct http_exchange *exchange, const char *data, size_t size)
{
    if (exchange->body_size + size > exchange->server->settings.body_limit) {
        exchange->too_large = true;
        return;
    }
    exchange->body = memory_realloc(exchange->body, exchange->body_size + size);
    memcpy(exchange->body + exchange->body_size, data, size);
    exchange->body_size += size;
}

static void handle(struct http_exchange *exchange)
{
    struct http_server *server = exchange->server;
    struct http_request request = {exchange->method, exchange->path, exchange->body,
                                   exchange->body_size};
    static const char too_large[] = "{\"error\": \"the body is too large\"}\n";
    if (exchange->too_large)
        http_reply(exchange, MHD_HTTP_CONTENT_TOO_LARGE, "application/json", too_large,
                   sizeof too_large - 1, NULL);
    else
        server->settings.handler(server->settings.context, exchange, &request);
    assert(exchange->kept || exchange->replied);
}

static struct http_exchange *create_exchange(struct http_server *server,
                                             struct MHD_Connection *connection, const char *path,
                                             const char *method)
{
    struct http_exchange *exchange = memory_calloc(1, sizeof *exchange);
    exchange->server = server;
    exchange->connection = connection;
    exchange->path = memory_strdup(path);
    exchange->method = memory_strdup(method);
    exchange->references = 1;
    pthread_mutex_init(&exchange->lock, NULL);
    ck_pr_inc_32(&server->open_exchanges);
    return exchange;
}

static enum MHD_Result on_access(void *context, struct MHD_Connection *connection, const char *url,
                                 const char *method, const char *version, const char *data,
                                 size_t *size, void **state)
{
    struct http_exchange *exchange = *state;
    if (!exchange) {
        *state = create_exchange(context, connection, url, method);
        return MHD_YES;
    }
    if (*size) {
        append_body(exchange, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!exchange->handled) {
        exchange->handled = true;
        handle(exchange);
    }
    return exchange->kept ? continue_kept(exchange) : MHD_YES;
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode code)
{
    struct http_exchange *exchange = *state;
    struct http_server *server = context;
    *state = NULL;
    if (!exchange)
        return;
    pthread_mutex_lock(&exchange->lock);
    bool kept = exchange->kept;
    exchange->closed = true;
    pthread_mutex_unlock(&exchange->lock);
    if (kept && server->settings.closed)
        server->settings.closed(server->settings.context, exchange);
    pthread_mutex_lock(&exchange->lock);
    drop_reference(exchange);
    ck_pr_dec_32(&server->open_exchanges);
}

struct http_server *http_server_start(const struct http_server_settings *settings)
{
    struct http_server *server = memory_calloc(1, sizeof *server);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(settings->port)};
    server->settings = *settings;
    server->quiesced_listener = MHD_INVALID_SOCKET;
    if (inet_pton(AF_INET, settings->address, &address.sin_addr) != 1) {
        status_fail(STATUS_INVALID, "`%s` is not an IPv4 address", settings->address);
        free(server);
        return NULL;
    }
    struct MHD_OptionItem tls[] = {
        {MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)settings->tls_certificate},
        {MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)settings->tls_key},
        {MHD_OPTION_END, 0, NULL}};
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    if (settings->tls_certificate)
        flags |= MHD_USE_TLS;
    else
        tls[0].option = MHD_OPTION_END;
    server->daemon = MHD_start_daemon(
        flags, settings->port, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address, MHD_OPTION_THREAD_POOL_SIZE, settings->threads,
        MHD_OPTION_CONNECTION_LIMIT, settings->connection_limit, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)IDLE_TIMEOUT_SECONDS, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        settings->header_limit, MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
    if (!server->daemon) {
        status_fail(STATUS_IO, "cannot listen on %s:%u", settings->address, settings->port);
        free(server);
        return NULL;
    }
    return server;
}

void http_server_announce_close(struct http_server *server)
{
    ck_pr_store_32(&server->closing, 1);
}

void http_server_stop_listening(struct http_server *server)
{
    server->quiesced_listener = MHD_quiesce_daemon(server->daemon);
    /* Refuses new connections at once; closing it now would race with the server's threads. */
    if (server->quiesced_listener != MHD_INVALID_SOCKET)
        shutdown(server->quiesced_listener, SHUT_RD);
}

uint32_t http_server_open_exchanges(const struct http_server *server)
{
    return ck_pr_load_32(&server->open_exchanges);
}

void http_server_stop(struct http_server *server)
{
    if (!server)
        return;
    MHD_stop_daemon(server->daemon);
    if (server->quiesced_listener != MHD_INVALID_SOCKET)
        close(server->quiesced_listener);
    free(server);
}

#include "gateway/caller.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/key_table.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_THREADS 2
#define MAX_PEM (64 * 1024)
#define MAX_PRIORITY 9
#define MAX_TIMEOUT_MS 3600000

struct caller_front {
    const struct settings *settings;
    struct status_page *page;
    struct gateway_traffic *traffic;
    struct http_server *http;
    pthread_mutex_t lock;
    json_t *endpoints;
    json_t *tickets;
    char *tls_certificate; /* PEM; NULL: plain HTTP */
    char *tls_key;
    bool detached;
};

static void reply_bad(struct http_exchange *exchange, unsigned status, const char *text)
{
    static const struct http_reply_header headers[] = {{"X-Outcome", "not-run"}, {NULL, NULL}};
    char body[512];
    int size = snprintf(body, sizeof body, "{\"outcome\": \"not-run\", \"error\": \"%s\"}\n", text);
    metric_add(METRIC_REQUESTS_BAD, 1);
    log_event(LOG_LEVEL_WARN, "caller", "bad_request", "status=%u reason=\"%s\"", status, text);
    http_reply(exchange, status, "application/json", body, (size_t)size, headers);
}

/* ---- endpoints ---- */

static void reply_endpoints(struct caller_front *front, struct http_exchange *exchange)
{
    const char *service = http_query(exchange, "service");
    pthread_mutex_lock(&front->lock);
    const json_t *ticket = service ? json_object_get(front->tickets, service) : NULL;
    json_t *body = NULL;
    bool known = !service || ticket;
    if (known)
        body =
            json_pack("{s:I, s:O}", "max_age_ms", (json_int_t)front->settings->endpoints_max_age_ms,
                      "endpoints", front->endpoints);
    if (body && json_string_length(ticket))
        json_object_set(body, "ticket", (json_t *)ticket);
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    json_decref(body);
    pthread_mutex_unlock(&front->lock);
    if (!known) {
        reply_bad(exchange, 404, "unknown service");
        return;
    }
    char age[64];
    snprintf(age, sizeof age, "max-age=%llu",
             (unsigned long long)(front->settings->endpoints_max_age_ms / 1000));
    const struct http_reply_header headers[] = {{"Cache-Control", age}, {NULL, NULL}};
    http_reply(exchange, 200, "application/json", text, strlen(text), headers);
    free(text);
}

void caller_front_publish(struct caller_front *front, json_t *endpoints, json_t *tickets)
{
    pthread_mutex_lock(&front->lock);
    json_decref(front->endpoints);
    json_decref(front->tickets);
    front->endpoints = endpoints;
    front->tickets = tickets;
    pthread_mutex_unlock(&front->lock);
}

/* ---- requests ---- */

static bool read_number(const char *text, uint64_t most, uint64_t missing, uint64_t *number)
{
    char *rest;
    *number = missing;
    if (!text)
        return true;
    errno = 0;
    *number = strtoull(text, &rest, 10);
    return !errno && rest != text && !*rest && *number <= most && !strchr(text, '-');
}

/* \return NULL when the headers are good, else what is wrong */
static const char *read_headers(struct http_exchange *exchange, const struct settings *settings,
                                struct router_request *request)
{
    const char *key = http_header(exchange, "Idempotency-Key");
    const char *unrepeatable = http_header(exchange, "X-Unrepeatable");
    uint64_t priority;
    uint64_t timeout_ms;
    request->tenant = http_header(exchange, "X-Tenant");
    request->key = key ? key : "";
    request->unrepeatable = unrepeatable && strcmp(unrepeatable, "true") == 0;
    if (!request->tenant || !*request->tenant)
        return "the X-Tenant header is missing";
    if (strlen(request->tenant) >= CONFIG_NAME_SIZE)
        return "the X-Tenant header is too long";
    if (strlen(request->key) > KEY_MAX_LENGTH)
        return "the Idempotency-Key header is too long";
    if (!read_number(http_header(exchange, "X-Priority"), MAX_PRIORITY, 0, &priority))
        return "X-Priority must be 0 to 9";
    if (!read_number(http_header(exchange, "X-Timeout-Ms"), MAX_TIMEOUT_MS,
                     settings->request_timeout_ms, &timeout_ms) ||
        !timeout_ms)
        return "X-Timeout-Ms must be 1 to 3600000";
    request->priority = (uint32_t)priority;
    request->timeout_us = timeout_ms * MICROSECONDS_PER_MILLISECOND;
    return NULL;
}

static const char *check_body(const struct http_request *request)
{
    json_error_t error;
    json_t *root = json_loadb((const char *)request->body, request->body_size, 0, &error);
    bool good = json_is_object(root);
    json_decref(root);
    return good ? NULL : "the body must be a JSON object";
}

static void take_request(struct caller_front *front, struct http_exchange *exchange,
                         const struct http_request *request, const char *service)
{
    struct router_request entry = {
        .service = service, .body = request->body, .body_size = request->body_size};
    const char *problem = read_headers(exchange, front->settings, &entry);
    if (!problem)
        problem = check_body(request);
    if (!problem && (!*service || strlen(service) >= CONFIG_NAME_SIZE))
        problem = "the service name must have 1 to 63 characters";
    if (problem) {
        reply_bad(exchange, 400, problem);
        return;
    }
    pthread_mutex_lock(&front->lock);
    bool detached = front->detached;
    if (!detached) {
        http_exchange_retain(exchange);
        gateway_traffic_submit(front->traffic, exchange, &entry);
    }
    pthread_mutex_unlock(&front->lock);
    if (detached)
        reply_bad(exchange, 503, "this gateway has stopped");
}

static void on_http(void *context, struct http_exchange *exchange,
                    const struct http_request *request)
{
    static const char services[] = "/v1/services/";
    struct caller_front *front = context;
    if (status_page_handle(front->page, exchange, request))
        return;
    bool get = strcmp(request->method, "GET") == 0;
    bool post = strcmp(request->method, "POST") == 0;
    bool is_service = strncmp(request->path, services, sizeof services - 1) == 0;
    if (get && strcmp(request->path, "/v1/endpoints") == 0)
        reply_endpoints(front, exchange);
    else if (post && is_service)
        take_request(front, exchange, request, request->path + sizeof services - 1);
    else if (is_service)
        reply_bad(exchange, 405, "use POST");
    else
        reply_bad(exchange, 404, "no such page");
}

static void on_closed(void *context, struct http_exchange *exchange)
{
    struct caller_front *front = context;
    pthread_mutex_lock(&front->lock);
    if (!front->detached)
        gateway_traffic_closed(front->traffic, exchange);
    pthread_mutex_unlock(&front->lock);
}

void caller_front_detach(struct caller_front *front)
{
    if (!front)
        return;
    pthread_mutex_lock(&front->lock);
    front->detached = true;
    pthread_mutex_unlock(&front->lock);
}

static char *read_pem(const char *path)
{
    FILE *stream = fopen(path, "r");
    if (!stream) {
        status_fail(STATUS_INVALID, "%s: %s", path, strerror(errno));
        return NULL;
    }
    char *text = memory_calloc(MAX_PEM + 1, 1);
    size_t size = fread(text, 1, MAX_PEM, stream);
    text[size] = 0;
    fclose(stream);
    return text;
}

static enum status read_tls(struct caller_front *front, struct http_server_settings *http)
{
    const struct settings *settings = front->settings;
    if (!settings->tls_certificate_file && !settings->tls_key_file)
        return STATUS_OK;
    if (!settings->tls_certificate_file || !settings->tls_key_file)
        return status_fail(STATUS_INVALID, "tls-certificate-file and tls-key-file belong together");
    front->tls_certificate = read_pem(settings->tls_certificate_file);
    front->tls_key = read_pem(settings->tls_key_file);
    http->tls_certificate = front->tls_certificate;
    http->tls_key = front->tls_key;
    return front->tls_certificate && front->tls_key ? STATUS_OK : STATUS_INVALID;
}

struct caller_front *caller_front_start(const struct settings *settings, struct status_page *page,
                                        struct gateway_traffic *traffic)
{
    struct caller_front *front = memory_calloc(1, sizeof *front);
    struct http_server_settings http = {
        .address = settings->address,
        .port = (uint16_t)settings->http_port,
        .threads = HTTP_THREADS,
        .connection_limit = (unsigned)settings->connection_limit,
        .body_limit = settings->body_limit_kb * 1024,
        .header_limit = settings->header_limit_kb * 1024,
        .handler = on_http,
        .closed = on_closed,
        .context = front,
    };
    front->settings = settings;
    front->page = page;
    front->traffic = traffic;
    front->endpoints = json_array();
    front->tickets = json_object();
    pthread_mutex_init(&front->lock, NULL);
    if (read_tls(front, &http) == STATUS_OK)
        front->http = http_server_start(&http);
    if (front->http)
        return front;
    caller_front_stop(front);
    return NULL;
}

void caller_front_stop(struct caller_front *front)
{
    if (!front)
        return;
    http_server_stop(front->http);
    free(front->tls_certificate);
    free(front->tls_key);
    json_decref(front->endpoints);
    json_decref(front->tickets);
    pthread_mutex_destroy(&front->lock);
    free(front);
}

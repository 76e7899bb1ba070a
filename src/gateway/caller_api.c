#include "gateway/caller_api.h"

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
#define MAX_PEM_BYTES (64 * 1024)
#define MAX_PRIORITY 9
#define MAX_TIMEOUT_MS 3600000
#define STOP_RETRY_AFTER_SECONDS "1" /* at another gateway */

struct caller_api {
    const struct settings *settings;
    struct status_page *page;
    struct gateway_traffic *traffic;
    struct http_server *http;
    pthread_mutex_t lock; /* guards endpoints, tickets, refusing and detached */
    json_t *endpoints;
    json_t *tickets;
    char *tls_certificate; /* PEM; NULL: plain HTTP */
    char *tls_key;         /* PEM; NULL: plain HTTP */
    bool refusing;         /* no more requests for the traffic thread */
    bool detached;         /* no more events for the traffic thread */
};

/* Rejects a request that was not run; `text` must need no escapes in JSON. */
static void reply_rejected(struct http_exchange *exchange, unsigned status, const char *text)
{
    static const struct http_reply_header headers[] = {{"X-Outcome", "not-run"}, {NULL, NULL}};
    char body[512];
    int size = snprintf(body, sizeof body, "{\"outcome\": \"not-run\", \"error\": \"%s\"}\n", text);
    metric_add(METRIC_REQUESTS_BAD, 1);
    log_event(LOG_LEVEL_WARN, "caller", "bad_request", "status=%u reason=\"%s\"", status, text);
    http_reply(exchange, status, "application/json", body, (size_t)size, headers);
}

/* Rejects a request that another gateway takes at once. */
static void reply_stopping(struct http_exchange *exchange)
{
    static const struct http_reply_header headers[] = {
        {"X-Outcome", "not-run"}, {"Retry-After", STOP_RETRY_AFTER_SECONDS}, {NULL, NULL}};
    static const char body[] =
        "{\"outcome\": \"not-run\", \"error\": \"this gateway stops; use another one\"}\n";
    metric_add(METRIC_REQUESTS_NOT_RUN, 1);
    log_event(LOG_LEVEL_INFO, "caller", "refused", "status=503 reason=stopping");
    http_reply(exchange, 503, "application/json", body, sizeof body - 1, headers);
}

/* ---- endpoints ---- */

static void reply_endpoints(struct caller_api *api, struct http_exchange *exchange)
{
    const char *service = http_query(exchange, "service");
    pthread_mutex_lock(&api->lock);
    const json_t *ticket = service ? json_object_get(api->tickets, service) : NULL;
    json_t *body = NULL;
    bool known = !service || ticket;
    if (known)
        body =
            json_pack("{s:I, s:O}", "max_age_ms", (json_int_t)api->settings->endpoints_max_age_ms,
                      "endpoints", api->endpoints);
    if (body && json_string_length(ticket))
        json_object_set(body, "ticket", (json_t *)ticket);
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    json_decref(body);
    pthread_mutex_unlock(&api->lock);
    if (!known) {
        reply_rejected(exchange, 404, "unknown service");
        return;
    }
    char cache_control[64];
    snprintf(cache_control, sizeof cache_control, "max-age=%llu",
             (unsigned long long)(api->settings->endpoints_max_age_ms / 1000));
    const struct http_reply_header headers[] = {{"Cache-Control", cache_control}, {NULL, NULL}};
    http_reply(exchange, 200, "application/json", text, strlen(text), headers);
    free(text);
}

void caller_api_publish(struct caller_api *api, json_t *endpoints, json_t *tickets)
{
    pthread_mutex_lock(&api->lock);
    json_decref(api->endpoints);
    json_decref(api->tickets);
    api->endpoints = endpoints;
    api->tickets = tickets;
    pthread_mutex_unlock(&api->lock);
}

/* ---- requests ---- */

/* Parses a decimal number of at most `max`; `fallback` stands for a header that is absent. */
static bool parse_decimal(const char *text, uint64_t max, uint64_t fallback, uint64_t *value)
{
    char *rest;
    *value = fallback;
    if (!text)
        return true;
    errno = 0;
    *value = strtoull(text, &rest, 10);
    return !errno && rest != text && !*rest && *value <= max && !strchr(text, '-');
}

/* \return NULL when the headers are valid, else the error message of the response */
static const char *parse_headers(struct http_exchange *exchange, const struct settings *settings,
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
    if (!parse_decimal(http_header(exchange, "X-Priority"), MAX_PRIORITY, 0, &priority))
        return "X-Priority must be 0 to 9";
    if (!parse_decimal(http_header(exchange, "X-Timeout-Ms"), MAX_TIMEOUT_MS,
                       settings->request_timeout_ms, &timeout_ms) ||
        !timeout_ms)
        return "X-Timeout-Ms must be 1 to 3600000";
    request->priority = (uint32_t)priority;
    request->timeout_us = timeout_ms * MICROSECONDS_PER_MILLISECOND;
    return NULL;
}

/* \return NULL when the body is a JSON object, else the error message of the response */
static const char *check_body(const struct http_request *request)
{
    json_error_t error;
    json_t *root = json_loadb((const char *)request->body, request->body_size, 0, &error);
    bool valid = json_is_object(root);
    json_decref(root);
    return valid ? NULL : "the body must be a JSON object";
}

static void handle_request(struct caller_api *api, struct http_exchange *exchange,
                           const struct http_request *request, const char *service)
{
    struct router_request entry = {
        .service = service, .body = request->body, .body_size = request->body_size};
    const char *problem = parse_headers(exchange, api->settings, &entry);
    if (!problem)
        problem = check_body(request);
    if (!problem && (!*service || strlen(service) >= CONFIG_NAME_SIZE))
        problem = "the service name must have 1 to 63 characters";
    if (problem) {
        reply_rejected(exchange, 400, problem);
        return;
    }
    pthread_mutex_lock(&api->lock);
    bool refusing = api->refusing || api->detached;
    if (!refusing) {
        http_exchange_retain(exchange);
        gateway_traffic_submit(api->traffic, exchange, &entry);
    }
    pthread_mutex_unlock(&api->lock);
    if (refusing)
        reply_stopping(exchange);
}

static void on_http_request(void *context, struct http_exchange *exchange,
                            const struct http_request *request)
{
    static const char services[] = "/v1/services/";
    struct caller_api *api = context;
    if (status_page_handle(api->page, exchange, request))
        return;
    bool is_get = strcmp(request->method, "GET") == 0;
    bool is_post = strcmp(request->method, "POST") == 0;
    bool is_service = strncmp(request->path, services, sizeof services - 1) == 0;
    if (is_get && strcmp(request->path, "/v1/endpoints") == 0)
        reply_endpoints(api, exchange);
    else if (is_post && is_service)
        handle_request(api, exchange, request, request->path + sizeof services - 1);
    else if (is_service)
        reply_rejected(exchange, 405, "use POST");
    else
        reply_rejected(exchange, 404, "no such page");
}

static void on_http_closed(void *context, struct http_exchange *exchange)
{
    struct caller_api *api = context;
    pthread_mutex_lock(&api->lock);
    if (!api->detached)
        gateway_traffic_on_closed(api->traffic, exchange);
    pthread_mutex_unlock(&api->lock);
}

void caller_api_announce_close(struct caller_api *api)
{
    http_server_announce_close(api->http);
}

void caller_api_refuse_requests(struct caller_api *api)
{
    pthread_mutex_lock(&api->lock);
    api->refusing = true;
    pthread_mutex_unlock(&api->lock);
}

void caller_api_stop_listening(struct caller_api *api)
{
    http_server_stop_listening(api->http);
}

uint32_t caller_api_unsent_responses(const struct caller_api *api)
{
    return http_server_open_exchanges(api->http);
}

void caller_api_detach(struct caller_api *api)
{
    if (!api)
        return;
    pthread_mutex_lock(&api->lock);
    api->detached = true;
    pthread_mutex_unlock(&api->lock);
}

/* \return at most MAX_PEM_BYTES of the file, ended by a zero byte; NULL when it cannot be opened */
static char *load_pem(const char *path)
{
    FILE *stream = fopen(path, "r");
    if (!stream) {
        status_fail(STATUS_INVALID, "%s: %s", path, strerror(errno));
        return NULL;
    }
    char *text = memory_calloc(MAX_PEM_BYTES + 1, 1);
    size_t size = fread(text, 1, MAX_PEM_BYTES, stream);
    text[size] = 0;
    fclose(stream);
    return text;
}

static enum status load_tls(struct caller_api *api, struct http_server_settings *http)
{
    const struct settings *settings = api->settings;
    if (!settings->tls_certificate_file && !settings->tls_key_file)
        return STATUS_OK;
    if (!settings->tls_certificate_file || !settings->tls_key_file)
        return status_fail(STATUS_INVALID,
                           "tls-certificate-file and tls-key-file must be set together");
    api->tls_certificate = load_pem(settings->tls_certificate_file);
    api->tls_key = load_pem(settings->tls_key_file);
    http->tls_certificate = api->tls_certificate;
    http->tls_key = api->tls_key;
    return api->tls_certificate && api->tls_key ? STATUS_OK : STATUS_INVALID;
}

struct caller_api *caller_api_start(const struct settings *settings, struct status_page *page,
                                    struct gateway_traffic *traffic)
{
    struct caller_api *api = memory_calloc(1, sizeof *api);
    struct http_server_settings http = {
        .address = settings->address,
        .port = (uint16_t)settings->http_port,
        .threads = HTTP_THREADS,
        .connection_limit = (unsigned)settings->connection_limit,
        .body_limit = settings->body_limit_kb * 1024,
        .header_limit = settings->header_limit_kb * 1024,
        .handler = on_http_request,
        .closed = on_http_closed,
        .context = api,
    };
    api->settings = settings;
    api->page = page;
    api->traffic = traffic;
    api->endpoints = json_array();
    api->tickets = json_object();
    pthread_mutex_init(&api->lock, NULL);
    if (load_tls(api, &http) == STATUS_OK)
        api->http = http_server_start(&http);
    if (api->http)
        return api;
    caller_api_stop(api);
    return NULL;
}

void caller_api_stop(struct caller_api *api)
{
    if (!api)
        return;
    http_server_stop(api->http);
    free(api->tls_certificate);
    free(api->tls_key);
    json_decref(api->endpoints);
    json_decref(api->tickets);
    pthread_mutex_destroy(&api->lock);
    free(api);
}

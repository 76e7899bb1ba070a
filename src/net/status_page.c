#include "net/status_page.h"

#include "base/clock.h"
#include "base/memory.h"
#include "base/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_THREAD_STALL_US (5 * MICROSECONDS_PER_SECOND)

struct status_page {
    pthread_mutex_t lock;
    char *status;
    char *extra_metrics;
    char *machines;
    char not_ready[160];
    uint64_t published_at_us;
};

struct status_page *status_page_create(void)
{
    struct status_page *page = memory_calloc(1, sizeof *page);
    pthread_mutex_init(&page->lock, NULL);
    page->extra_metrics = memory_strdup("");

    strcpy(page->not_ready, "starting");
    page->published_at_us = clock_monotonic_us();
    return page;
}

void status_page_destroy(struct status_page *page)
{
    if (!page)
        return;
    pthread_mutex_destroy(&page->lock);
    free(page->status);
    free(page->extra_metrics);
    free(page->machines);
    free(page);
}

void status_page_publish(struct status_page *page, json_t *status, const char *not_ready,
                         uint64_t now)
{
    char *text = json_dumps(status, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(status);
    pthread_mutex_lock(&page->lock);
    char *old = page->status;
    page->status = text;
    page->published_at_us = now;
    snprintf(page->not_ready, sizeof page->not_ready, "%s", not_ready);
    pthread_mutex_unlock(&page->lock);
    free(old);
}

void status_page_set_extra_metrics(struct status_page *page, char *text)
{
    pthread_mutex_lock(&page->lock);
    char *old = page->extra_metrics;
    page->extra_metrics = text;
    pthread_mutex_unlock(&page->lock);
    free(old);
}

void status_page_set_machines(struct status_page *page, json_t *machines)
{
    char *text = json_dumps(machines, JSON_COMPACT);
    json_decref(machines);
    pthread_mutex_lock(&page->lock);
    char *old = page->machines;
    page->machines = text;
    pthread_mutex_unlock(&page->lock);
    free(old);
}

static void reply_metrics(struct status_page *page, struct http_exchange *exchange)
{
    size_t size;
    char *text = metrics_format_prometheus(&size);
    pthread_mutex_lock(&page->lock);
    size_t extra_size = strlen(page->extra_metrics);
    text = memory_realloc(text, size + extra_size);
    memcpy(text + size, page->extra_metrics, extra_size);
    pthread_mutex_unlock(&page->lock);
    http_reply(exchange, 200, "text/plain; version=0.0.4", text, size + extra_size, NULL);
    free(text);
}

static void reply_text(struct http_exchange *exchange, unsigned status, const char *text)
{
    http_reply(exchange, status, "text/plain", text, strlen(text), NULL);
}

static void reply_health(struct status_page *page, struct http_exchange *exchange)
{
    pthread_mutex_lock(&page->lock);
    bool alive = clock_monotonic_us() < page->published_at_us + CONTROL_THREAD_STALL_US;
    pthread_mutex_unlock(&page->lock);
    reply_text(exchange, alive ? 200 : 503, alive ? "ok\n" : "the control thread stands still\n");
}

static void reply_ready(struct status_page *page, struct http_exchange *exchange)
{
    char text[170];
    pthread_mutex_lock(&page->lock);
    bool ready = !page->not_ready[0];
    snprintf(text, sizeof text, "%s\n", ready ? "ready" : page->not_ready);
    pthread_mutex_unlock(&page->lock);
    reply_text(exchange, ready ? 200 : 503, text);
}

static void reply_json(struct status_page *page, struct http_exchange *exchange,
                       char *const *content)
{
    pthread_mutex_lock(&page->lock);
    char *text = *content ? memory_strdup(*content) : NULL;
    pthread_mutex_unlock(&page->lock);
    if (!text) {
        reply_text(exchange, 503, "starting\n");
        return;
    }
    http_reply(exchange, 200, "application/json", text, strlen(text), NULL);
    free(text);
}

bool status_page_handle(struct status_page *page, struct http_exchange *exchange,
                        const struct http_request *request)
{
    if (strcmp(request->method, "GET") != 0)
        return false;
    if (strcmp(request->path, "/healthz") == 0) {
        reply_health(page, exchange);
    } else if (strcmp(request->path, "/readyz") == 0) {
        reply_ready(page, exchange);
    } else if (strcmp(request->path, "/v1/status") == 0) {
        reply_json(page, exchange, &page->status);
    } else if (strcmp(request->path, "/v1/machines") == 0) {
        reply_json(page, exchange, &page->machines);
    } else if (strcmp(request->path, "/metrics") == 0) {
        reply_metrics(page, exchange);
    } else {
        return false;
    }
    return true;
}

#include "weights/piece_server.h"

#include "base/clock.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/swarm/bitmap.h"

#include <stdlib.h>
#include <string.h>

/** Queue capacity; each node has a few connections with one call each. */
#define WAITING_CALLS_MAX 2048
#define HTTP_STATUS_NOT_FOUND 404
#define HTTP_STATUS_NOT_READY 409
#define HTTP_STATUS_OTHER_MANIFEST 412
#define HTTP_STATUS_TOO_MANY_REQUESTS 429
/** Responses may be sent this far ahead of the rate limit, because timers are no finer. */
#define PACING_SLACK_US 2000

struct waiting_call {
    struct service_call *call;
    struct piece_call wanted;
    uint64_t deadline; /* of the wait (us) */
};

struct piece_server {
    const struct piece_set *set;
    double bits_per_us;
    uint64_t wait_us;
    struct waiting_call *waiting; /* in order of arrival */
    uint32_t count;
    uint64_t link_free_at; /* when all responses so far have passed the link at the rate limit */
    uv_timer_t timer;      /* runs while calls wait for the link */
};

static void on_link_free(uv_timer_t *timer);

struct piece_server *piece_server_create(uv_loop_t *loop, const struct piece_set *set,
                                         double bits_per_us, uint64_t wait_us)
{
    struct piece_server *server = memory_calloc(1, sizeof *server);
    server->set = set;
    server->bits_per_us = bits_per_us;
    server->wait_us = wait_us;
    uv_timer_init(loop, &server->timer);
    server->timer.data = server;
    return server;
}

static void on_timer_closed(uv_handle_t *handle)
{
    struct piece_server *server = handle->data;
    free(server->waiting);
    free(server);
}

void piece_server_destroy(struct piece_server *server)
{
    for (uint32_t i = 0; i < server->count; i++)
        service_reply(server->waiting[i].call, HTTP_STATUS_NOT_FOUND, NULL, NULL, 0);
    server->count = 0;
    uv_close((uv_handle_t *)&server->timer, on_timer_closed);
}

/* \return index of a wanted piece that is held, or the number of pieces */
static uint32_t find_held(const struct piece_server *server, const struct piece_call *wanted)
{
    const struct piece_manifest *manifest = piece_set_manifest(server->set);
    uint32_t count = manifest ? manifest->count : 0;
    for (uint32_t i = 0; i < count && i < PIECE_MAX_COUNT; i++) {
        size_t size;
        if (bitmap_get(wanted->wanted, i) && piece_set_data(server->set, i, &size))
            return i;
    }
    return count;
}

/* \return whether the call numbers pieces by another manifest than the one in use here */
static bool has_other_manifest(const struct piece_server *server, const struct piece_call *wanted)
{
    uint64_t key = piece_set_manifest_key(server->set);
    return wanted->kind == PIECE_CALL_PIECE && wanted->manifest_key && key &&
           wanted->manifest_key != key;
}

/* \return body of the response to a call, NULL while it is not held */
static const void *find_response_body(const struct piece_server *server,
                                      const struct piece_call *wanted, size_t *size)
{
    const struct piece_manifest *manifest = piece_set_manifest(server->set);
    if (!manifest)
        return NULL;
    if (wanted->kind == PIECE_CALL_MANIFEST)
        return piece_set_manifest_is_trusted(server->set)
                   ? piece_set_manifest_body(server->set, size)
                   : NULL;
    uint32_t piece = find_held(server, wanted);
    return piece < manifest->count ? piece_set_data(server->set, piece, size) : NULL;
}

static void remove_call(struct piece_server *server, uint32_t index)
{
    server->count--;
    memmove(&server->waiting[index], &server->waiting[index + 1],
            (server->count - index) * sizeof *server->waiting);
}

static void reserve_link_time(struct piece_server *server, size_t size, uint64_t now)
{
    if (server->bits_per_us <= 0)
        return;
    if (server->link_free_at < now)
        server->link_free_at = now;
    server->link_free_at += (uint64_t)((double)size * 8 / server->bits_per_us);
}

/* Peers abort a call after a timeout and send another one. A response to the aborted call would
 * only take link time from the one that replaces it. */
static void drop_abandoned_calls(struct piece_server *server)
{
    for (uint32_t i = 0; i < server->count;) {
        struct service_call *call = server->waiting[i].call;
        if (!service_call_is_disconnected(call)) {
            i++;
            continue;
        }
        remove_call(server, i);
        service_reply(call, HTTP_STATUS_NOT_FOUND, NULL, NULL, 0);
    }
}

static void reject_other_manifests(struct piece_server *server)
{
    for (uint32_t i = 0; i < server->count;) {
        struct service_call *call = server->waiting[i].call;
        if (!has_other_manifest(server, &server->waiting[i].wanted)) {
            i++;
            continue;
        }
        remove_call(server, i);
        service_reply(call, HTTP_STATUS_OTHER_MANIFEST, NULL, NULL, 0);
    }
}

void piece_server_answer_waiting(struct piece_server *server, uint64_t now)
{
    drop_abandoned_calls(server);
    reject_other_manifests(server);
    for (uint32_t i = 0; i < server->count;) {
        size_t size;
        const void *bytes = find_response_body(server, &server->waiting[i].wanted, &size);
        if (!bytes) {
            i++;
            continue;
        }
        if (server->link_free_at > now + PACING_SLACK_US) {
            uint64_t wait_us = server->link_free_at - now - PACING_SLACK_US;
            uv_timer_start(&server->timer, on_link_free, wait_us / 1000 + 1, 0);
            return;
        }
        struct waiting_call served = server->waiting[i];
        remove_call(server, i);
        reserve_link_time(server, size, now);
        if (served.wanted.kind == PIECE_CALL_PIECE)
            metric_add(METRIC_CHUNKS_SERVED, 1);
        service_reply(served.call, 200, "application/octet-stream", bytes, size);
    }
}

static void on_link_free(uv_timer_t *timer)
{
    struct piece_server *server = timer->data;
    piece_server_answer_waiting(server, clock_monotonic_us());
}

void piece_server_handle(struct piece_server *server, struct service_call *call,
                         const struct piece_call *wanted, uint64_t now)
{
    if (server->count == WAITING_CALLS_MAX) {
        service_reply(call, HTTP_STATUS_TOO_MANY_REQUESTS, NULL, NULL, 0);
        return;
    }
    server->waiting =
        memory_realloc(server->waiting, (server->count + 1) * sizeof *server->waiting);
    server->waiting[server->count++] = (struct waiting_call){call, *wanted, now + server->wait_us};
    piece_server_answer_waiting(server, now);
    if (!server->wait_us)
        piece_server_tick(server, now);
}

void piece_server_tick(struct piece_server *server, uint64_t now)
{
    for (uint32_t i = 0; i < server->count;) {
        size_t size;
        struct waiting_call *waiting = &server->waiting[i];
        if (now < waiting->deadline || find_response_body(server, &waiting->wanted, &size)) {
            i++; /* held, and waits for the link only */
            continue;
        }
        struct service_call *call = waiting->call;
        remove_call(server, i);
        service_reply(call, HTTP_STATUS_NOT_READY, NULL, NULL, 0);
    }
}

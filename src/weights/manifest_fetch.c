/* The manifest of a version: which source is asked for it, and what its answers change. */
#include "base/metrics.h"
#include "weights/piece_fetch_internal.h"
#include "weights/piece_wire.h"

#include <inttypes.h>

#define MANIFEST_RESPONSE_MAX_BYTES (1U << 20)
/** After this time without a piece the manifest is asked for again, and after each doubling of it.
 */
#define MANIFEST_REVIEW_US 1500000

enum manifest_sender piece_connection_sender(const struct piece_connection *connection)
{
    return connection->source->address == RELAY_ORIGIN ? MANIFEST_SENDER_ORIGIN
                                                       : MANIFEST_SENDER_NODE;
}

struct manifest_state manifest_state_of(const struct piece_fetch *fetch)
{
    return (struct manifest_state){piece_set_manifest_changes(fetch->set),
                                   piece_set_manifest_is_trusted(fetch->set)};
}

/* \param cause connection whose response made the change; NULL: the configuration */
static void log_manifest(const struct piece_fetch *fetch, const struct piece_connection *cause,
                         uint64_t now)
{
    const struct piece_manifest *manifest = piece_set_manifest(fetch->set);
    size_t size;
    const char *body = piece_set_manifest_body(fetch->set, &size);
    struct digest digest = digest_of(body ? body : "", size);
    char hex[DIGEST_HEX_SIZE], source[16] = "configuration";
    digest_to_hex(&digest, hex);
    if (cause)
        snprintf(source, sizeof source, "%08x", cause->source->address);
    log_event(LOG_LEVEL_INFO, "pieces", "manifest",
              "model=%s version=%" PRIu64 " pieces=%u held=%u digest=%.16s source=%s trusted=%d "
              "changes=%u took_ms=%" PRIu64,
              piece_set_model(fetch->set), piece_set_version(fetch->set),
              manifest ? manifest->count : 0, piece_set_held(fetch->set), hex, source,
              piece_set_manifest_is_trusted(fetch->set), piece_set_manifest_changes(fetch->set),
              (now - fetch->started_at) / 1000);
}

void manifest_fetch_report_change(struct piece_fetch *fetch, const struct manifest_state *before,
                                  const struct piece_connection *cause, uint64_t now)
{
    struct manifest_state after = manifest_state_of(fetch);
    bool changed = after.changes != before->changes;
    if (!changed && after.trusted == before->trusted)
        return;
    log_manifest(fetch, cause, now);
    if (changed)
        piece_sources_update(fetch->sources, piece_fetch_time_since_progress(fetch, now));
    piece_fetch_log_complete(fetch, now);
    fetch->callbacks.manifest_changed(fetch->callbacks.context);
}

static void on_manifest_missing(struct piece_connection *connection, enum http_call_result result,
                                unsigned status, uint64_t now)
{
    if (status == HTTP_STATUS_NOT_READY)
        piece_fetch_source_not_ready(connection, now);
    else if (result == CALL_COMPLETE)
        piece_fetch_source_failed(connection, LOG_LEVEL_DEBUG, "manifest not available", now);
    else
        piece_fetch_source_failed(connection, LOG_LEVEL_WARN, http_call_result_name(result), now);
}

static void accept_manifest(struct piece_connection *connection, const struct http_message *message,
                            uint64_t now)
{
    struct piece_fetch *fetch = connection->owner;
    struct manifest_state before = manifest_state_of(fetch);
    if (piece_set_add_manifest(fetch->set, piece_connection_sender(connection), message->body.data,
                               message->body.size) != STATUS_OK) {
        metric_add(METRIC_MANIFESTS_REFUSED, 1);
        log_event(LOG_LEVEL_WARN, "pieces", "manifest-refused",
                  "version=%" PRIu64 " source=%08x problem=\"%s\"", piece_set_version(fetch->set),
                  connection->source->address, status_message());
        piece_fetch_source_failed(connection, LOG_LEVEL_DEBUG, "invalid manifest", now);
        return;
    }
    connection->source->failures = 0;
    manifest_fetch_report_change(fetch, &before, connection, now);
}

static void on_manifest(void *context, enum http_call_result result,
                        const struct http_message *message)
{
    struct piece_connection *connection = context;
    struct piece_fetch *fetch = connection->owner;
    uint64_t now = cluster_now();
    connection->busy = false;
    fetch->manifest_requests--;
    unsigned status = result == CALL_COMPLETE ? http_message_status(message) : 0;
    if (status == 200)
        accept_manifest(connection, message, now);
    else
        on_manifest_missing(connection, result, status, now);
    piece_fetch_start_requests(fetch, now);
}

static void request_on(struct piece_fetch *fetch, struct piece_connection *connection, uint64_t now)
{
    struct buffer target = {0};
    if (connection->source->address == RELAY_ORIGIN) {
        platform_write_manifest_target(piece_set_model(fetch->set), piece_set_version(fetch->set),
                                       &target);
        buffer_append(&target, "", 1);
    } else {
        piece_wire_write_manifest(piece_set_model(fetch->set), piece_set_version(fetch->set),
                                  &target);
    }
    struct http_caller_request request = {.method = "GET",
                                          .target = target.data,
                                          .timeout_ms = CALL_TIMEOUT_MS,
                                          .body_limit = MANIFEST_RESPONSE_MAX_BYTES,
                                          .done = on_manifest,
                                          .context = connection};
    connection->busy = true;
    connection->asks_manifest = true;
    connection->requested_at = now;
    fetch->manifest_requests++;
    http_caller_send(connection->caller, &request);
    buffer_clear(&target);
}

void manifest_fetch_request_from(struct piece_fetch *fetch, struct piece_source *source,
                                 uint64_t now)
{
    uint32_t connections = source->address == RELAY_ORIGIN ? PIECE_MANIFEST_CONNECTIONS : 1;
    for (uint32_t i = 0; i < connections; i++) {
        struct piece_connection *connection = piece_sources_connect(fetch->sources, source, i);
        if (!connection->busy)
            request_on(fetch, connection, now);
    }
}

void manifest_fetch_request(struct piece_fetch *fetch, uint64_t now)
{
    struct piece_source *origin = piece_set_needs_readings(fetch->set)
                                      ? piece_sources_manifest_origin(fetch->sources, now)
                                      : NULL;
    if (origin)
        manifest_fetch_request_from(fetch, origin, now);
    while (fetch->manifest_requests < fetch->manifest_requests_max) {
        struct piece_source *source = piece_sources_choose_manifest(fetch->sources, now);
        if (!source)
            return;
        manifest_fetch_request_from(fetch, source, now);
    }
}

void manifest_fetch_review(struct piece_fetch *fetch, uint64_t now)
{
    uint64_t stalled_us = piece_fetch_time_since_progress(fetch, now);
    if (stalled_us < MANIFEST_REVIEW_US) {
        fetch->review_after_us = MANIFEST_REVIEW_US;
        return;
    }
    if (fetch->paused || stalled_us < fetch->review_after_us ||
        !piece_set_manifest_is_trusted(fetch->set))
        return;
    fetch->review_after_us = 2 * stalled_us;
    struct piece_source *source = fetch->role == PIECE_ROLE_RELAY
                                      ? piece_sources_manifest_origin(fetch->sources, now)
                                      : piece_sources_choose_manifest(fetch->sources, now);
    if (source)
        manifest_fetch_request_from(fetch, source, now);
}

/* Crash suspicion of one request: its identity, the verdict on it, and its evidence. */
#include "base/log.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"
#include "core/hash.h"
#include "edge/crash_watch.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/** Bytes of a list of up to eight crashes with their ages. */
#define CRASHES_TEXT_SIZE 200
/** Bytes of a list of the shared parts of a prompt, in hex. */
#define PARTS_TEXT_SIZE (PLATFORM_MAX_SHARED_PARTS * 17 + 1)

static struct crash_table *crash_table_of(const struct exchange *exchange)
{
    return crash_sync_table(exchange->edge->cluster.crashes);
}

const struct request_identity *exchange_identity(struct exchange *exchange)
{
    if (exchange->identified)
        return &exchange->identity;
    const struct http_message *request = edge_client_request(exchange->client);
    const struct request_content content = {
        .caller = exchange->tenant ? exchange->tenant->name : "",
        .method = http_message_method(request),
        .target = request->text.data,
        .target_length = request->target_length,
        .body = request->body.data,
        .body_size = request->body.size,
    };
    exchange->identity = request_identity_of(&content);
    exchange->identified = true;
    return &exchange->identity;
}

/* Computes no identity while no request is under suspicion. */
static enum crash_verdict crash_verdict_of(struct exchange *exchange)
{
    const struct crash_table *table = crash_table_of(exchange);
    if (!crash_table_count(table))
        return CRASH_VERDICT_NONE;
    return crash_table_verdict(table, exchange_identity(exchange), cluster_now());
}

/* Logs the keys and ages of the crashes on which the verdict rests. */
static void log_blocked(const struct exchange *exchange, const struct crash_entry *entry,
                        uint64_t now)
{
    struct crash_finding finding =
        crash_table_finding(crash_table_of(exchange), &exchange->identity, now);
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    char ends[CRASHES_TEXT_SIZE] = "";
    size_t length = 0;
    for (uint32_t i = 0; i < entry->crash_count && length < sizeof ends; i++)
        length += (size_t)snprintf(ends + length, sizeof ends - length, "%s%08" PRIx32 "@%" PRIu64,
                                   i ? "," : "", (uint32_t)entry->crashes[i].incarnation,
                                   (now - entry->crashes[i].ended_at) / US_PER_MS);
    request_identity_to_hex(&exchange->identity, identity);
    log_event(LOG_LEVEL_WARN, "crash", "blocked",
              "request=%s identity=%s unexplained=%u proofs=%u ends_ms_ago=%s", exchange->head.id,
              identity, finding.unexplained, finding.proofs, ends);
}

bool exchange_is_blocked(struct exchange *exchange)
{
    if (crash_verdict_of(exchange) != CRASH_VERDICT_BLOCKED)
        return false;
    const struct crash_entry *entry =
        crash_table_find(crash_table_of(exchange), &exchange->identity);
    uint64_t now = cluster_now();
    if (now < crash_entry_settled_at(entry))
        return false;
    log_blocked(exchange, entry, now);
    return true;
}

const struct crash_entry *exchange_crash_entry(struct exchange *exchange)
{
    const struct crash_table *table = crash_table_of(exchange);
    return crash_table_count(table) ? crash_table_find(table, exchange_identity(exchange)) : NULL;
}

uint64_t exchange_isolation_key(struct exchange *exchange)
{
    if (!exchange->suspected && crash_verdict_of(exchange) == CRASH_VERDICT_NONE)
        return 0;
    const struct request_identity *identity = exchange_identity(exchange);
    return hash_bytes(identity->bytes, sizeof identity->bytes) | 1;
}

/* Writes the ids of the shared parts, separated by commas; "-" if there are none. */
static void write_parts(const struct request_head *head, char text[PARTS_TEXT_SIZE])
{
    size_t length = 0;
    strcpy(text, "-");
    for (uint32_t i = 0; i < head->shared_part_count; i++)
        length += (size_t)snprintf(text + length, PARTS_TEXT_SIZE - length, "%s%08" PRIx64,
                                   i ? "," : "", head->shared_parts[i]);
}

void exchange_on_run_lost(struct exchange *exchange)
{
    struct backend *backend = exchange->backend;
    const struct request_identity *identity = exchange_identity(exchange);
    char hex[REQUEST_IDENTITY_HEX_SIZE], parts[PARTS_TEXT_SIZE];
    request_identity_to_hex(identity, hex);
    write_parts(&exchange->head, parts);
    metric_add(METRIC_RUNS_LOST, 1);
    log_event(LOG_LEVEL_WARN, "request", "run-lost",
              "request=%s identity=%s parts=%s backend=%s born=%" PRIu64 " events=%" PRIu64
              " sends=%u sent_ms_ago=%" PRIu64 " others_here=%u",
              exchange->head.id, hex, parts, backend->listing.id, backend->listing.born,
              exchange->events.events, exchange->sends,
              (cluster_now() - exchange->sent_at) / US_PER_MS, backend->in_flight - 1);
    exchange->suspected = true;
    crash_watch_report_lost_run(exchange->edge, backend, identity, exchange->head.id,
                                exchange->sent_at);
}

/* \return time for which its last backend ran it, if that resumed a stream; CRASH_FULL_RUN
 * otherwise */
static uint64_t run_time_us(const struct exchange *exchange)
{
    bool is_resumed = exchange->resuming || exchange->head.last_event_id[0];
    return is_resumed ? cluster_now() - exchange->sent_at : CRASH_FULL_RUN;
}

void exchange_clear_suspicion(struct exchange *exchange)
{
    struct crash_table *table = crash_table_of(exchange);
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    if (!crash_table_count(table) ||
        !crash_table_record_success(table, exchange_identity(exchange), cluster_now(),
                                    run_time_us(exchange)))
        return;
    request_identity_to_hex(exchange_identity(exchange), hex);
    log_event(LOG_LEVEL_INFO, "crash", "cleared", "request=%s identity=%s", exchange->head.id, hex);
    crash_sync_send_updates(exchange->edge->cluster.crashes);
}

void exchange_fail_if_blocked(struct exchange *exchange)
{
    if (!exchange_is_blocked(exchange))
        return;
    if (exchange->upstream && upstream_is_sent(exchange->upstream))
        exchange->may_have_run = true;
    exchange_fail_by_run_state(exchange, END_BLOCKED);
}

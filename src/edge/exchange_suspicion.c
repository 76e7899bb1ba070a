/* Crash suspicion of one request, and of the parts of its prompt: identities, verdict, evidence. */
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

static void identify_parts(struct exchange *exchange)
{
    if (exchange->parts_identified)
        return;
    for (uint32_t i = 0; i < exchange->head.shared_part_count; i++)
        exchange->parts[i] =
            prompt_part_of(exchange->service->name, exchange->head.shared_parts[i], i);
    exchange->parts_identified = true;
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

/* --- the evidence that decides --- */

/* \return whether the entry of an identity says more against a request than `than`, or NULL */
static bool is_graver(const struct crash_table *table, const struct crash_entry *entry,
                      const struct crash_entry *than, uint64_t now)
{
    if (!entry || !entry->crash_count || !than)
        return entry && entry->crash_count;
    enum crash_verdict verdict = crash_table_verdict(table, &entry->identity, now);
    enum crash_verdict other = crash_table_verdict(table, &than->identity, now);
    if (verdict != other)
        return verdict > other;
    struct crash_finding finding = crash_table_finding(table, &entry->identity, now);
    struct crash_finding other_finding = crash_table_finding(table, &than->identity, now);
    if (finding.isolated != other_finding.isolated)
        return finding.isolated;
    return finding.unexplained > other_finding.unexplained;
}

/* Computes no identity while nothing is under suspicion. */
const struct crash_entry *exchange_crash_entry(struct exchange *exchange)
{
    const struct crash_table *table = crash_table_of(exchange);
    uint64_t now = cluster_now();
    if (!crash_table_count(table))
        return NULL;
    const struct crash_entry *gravest = NULL;
    const struct crash_entry *entry = crash_table_find(table, exchange_identity(exchange));
    if (is_graver(table, entry, gravest, now))
        gravest = entry;
    identify_parts(exchange);
    for (uint32_t i = 0; i < exchange->head.shared_part_count; i++) {
        entry = crash_table_find(table, &exchange->parts[i].identity);
        if (is_graver(table, entry, gravest, now))
            gravest = entry;
    }
    return gravest;
}

/* Logs the keys and ages of the crashes on which the verdict rests. */
static void log_blocked(const struct exchange *exchange, const struct crash_entry *entry,
                        uint64_t now)
{
    struct crash_finding finding =
        crash_table_finding(crash_table_of(exchange), &entry->identity, now);
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    char ends[CRASHES_TEXT_SIZE] = "";
    size_t length = 0;
    for (uint32_t i = 0; i < entry->crash_count && length < sizeof ends; i++)
        length += (size_t)snprintf(ends + length, sizeof ends - length, "%s%08" PRIx32 "@%" PRIu64,
                                   i ? "," : "", (uint32_t)entry->crashes[i].incarnation,
                                   (now - entry->crashes[i].ended_at) / US_PER_MS);
    request_identity_to_hex(&entry->identity, identity);
    log_event(LOG_LEVEL_WARN, "crash", "blocked",
              "request=%s identity=%s part=%08" PRIx64
              " unexplained=%u proofs=%u ends_ms_ago=%s answered=%d",
              exchange->head.id, identity, entry->part_id, finding.unexplained, finding.proofs,
              ends, entry->cleared_at != 0);
}

bool exchange_is_blocked(struct exchange *exchange)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    uint64_t now = cluster_now();
    if (!entry ||
        crash_table_verdict(crash_table_of(exchange), &entry->identity, now) !=
            CRASH_VERDICT_BLOCKED ||
        now < crash_entry_settled_at(entry))
        return false;
    exchange->blocked_by_part = entry->is_part;
    exchange->blocked_part = entry->part_id;
    log_blocked(exchange, entry, now);
    return true;
}

uint64_t exchange_isolation_key(struct exchange *exchange)
{
    const struct crash_entry *entry = exchange_crash_entry(exchange);
    if (!exchange->suspected && !entry)
        return 0;
    const struct request_identity *identity =
        entry ? &entry->identity : exchange_identity(exchange);
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

void exchange_on_run_lost(struct exchange *exchange, enum end_reason reason)
{
    struct backend *backend = exchange->backend;
    const struct request_identity *identity = exchange_identity(exchange);
    char hex[REQUEST_IDENTITY_HEX_SIZE], parts[PARTS_TEXT_SIZE];
    request_identity_to_hex(identity, hex);
    write_parts(&exchange->head, parts);
    metric_add(METRIC_RUNS_LOST, 1);
    log_event(LOG_LEVEL_WARN, "request", "run-lost",
              "request=%s identity=%s parts=%s reason=%s backend=%s born=%" PRIu64
              " events=%" PRIu64 " sends=%u sent_ms_ago=%" PRIu64 " others_here=%u",
              exchange->head.id, hex, parts, end_reason_name(reason), backend->listing.id,
              backend->listing.born, exchange->events.events, exchange->sends,
              (cluster_now() - exchange->sent_at) / US_PER_MS, backend->in_flight - 1);
    exchange->suspected = true;
    identify_parts(exchange);
    struct lost_request lost = {.id = exchange->head.id,
                                .identity = identity,
                                .parts = exchange->parts,
                                .part_count = exchange->head.shared_part_count,
                                .sent_at = exchange->sent_at,
                                .ended_at = exchange->unframed_end_at ? exchange->unframed_end_at
                                                                      : cluster_now()};
    crash_watch_report_lost_run(exchange->edge, backend, &lost);
}

/* \return time for which its last backend ran it, if that resumed a stream; CRASH_FULL_RUN
 * otherwise */
static uint64_t run_time_us(const struct exchange *exchange)
{
    return exchange_continues_stream(exchange) ? cluster_now() - exchange->sent_at : CRASH_FULL_RUN;
}

static void log_cleared(const struct exchange *exchange, const struct request_identity *identity,
                        const struct prompt_part *part)
{
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(identity, hex);
    log_event(LOG_LEVEL_INFO, "crash", "cleared",
              "request=%s identity=%s part=%08" PRIx64 " events=%" PRIu64 " ran_ms=%" PRIu64,
              exchange->head.id, hex, part ? part->id : 0, exchange->events.events,
              (cluster_now() - exchange->sent_at) / US_PER_MS);
}

void exchange_record_sound_parts(struct exchange *exchange)
{
    struct crash_table *table = crash_table_of(exchange);
    bool cleared = false;
    identify_parts(exchange);
    for (uint32_t i = 0; i < exchange->head.shared_part_count; i++) {
        const struct prompt_part *part = &exchange->parts[i];
        if (!crash_table_record_sound_part(table, &part->identity, cluster_now()))
            continue;
        log_cleared(exchange, &part->identity, part);
        cleared = true;
    }
    if (cleared)
        crash_sync_send_updates(exchange->edge->cluster.crashes);
}

void exchange_clear_suspicion(struct exchange *exchange)
{
    struct crash_table *table = crash_table_of(exchange);
    exchange_record_sound_parts(exchange);
    if (!crash_table_count(table) ||
        !crash_table_record_success(table, exchange_identity(exchange), cluster_now(),
                                    run_time_us(exchange)))
        return;
    log_cleared(exchange, exchange_identity(exchange), NULL);
    crash_sync_send_updates(exchange->edge->cluster.crashes);
}

void exchange_fail_if_blocked(struct exchange *exchange)
{
    if (!exchange_is_blocked(exchange))
        return;
    if (exchange_is_sent(exchange))
        exchange->may_have_run = true;
    exchange_fail_by_run_state(exchange, END_BLOCKED);
}

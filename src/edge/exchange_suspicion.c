/* What requests that crash back ends mean for one request: its identity, its place, its end. */
#include "base/log.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"
#include "core/hash.h"
#include "edge/crash_watch.h"
#include "edge/exchange_internal.h"
#include <inttypes.h>
#include <stdio.h>

/** Up to eight ends with their ages. */
#define ENDS_TEXT_SIZE 200

static struct crash_table *table_of(const struct exchange *exchange)
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

/* While nobody is under suspicion no identity is worked out. */
static enum crash_verdict judge(struct exchange *exchange)
{
    const struct crash_table *table = table_of(exchange);
    if (!crash_table_count(table))
        return CRASH_VERDICT_NONE;
    return crash_table_verdict(table, exchange_identity(exchange), cluster_now());
}

/* On which ends the verdict rests: their keys and ages. */
static void log_blocked(const struct exchange *exchange, const struct crash_entry *entry,
                        uint64_t now)
{
    struct crash_finding finding =
        crash_table_finding(table_of(exchange), &exchange->identity, now);
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    char ends[ENDS_TEXT_SIZE] = "";
    size_t length = 0;
    for (uint32_t i = 0; i < entry->crash_count && length < sizeof ends; i++)
        length += (size_t)snprintf(ends + length, sizeof ends - length, "%s%08" PRIx32 "@%" PRIu64,
                                   i ? "," : "", (uint32_t)entry->crashes[i].incarnation,
                                   (now - entry->crashes[i].ended_at) / MS_US);
    request_identity_to_hex(&exchange->identity, identity);
    log_event(LOG_LEVEL_WARN, "crash", "blocked",
              "request=%s identity=%s unexplained=%u proofs=%u ends_ms_ago=%s", exchange->head.id,
              identity, finding.unexplained, finding.proofs, ends);
}

bool exchange_is_blocked(struct exchange *exchange)
{
    if (judge(exchange) != CRASH_VERDICT_BLOCKED)
        return false;
    const struct crash_entry *entry = crash_table_find(table_of(exchange), &exchange->identity);
    uint64_t now = cluster_now();
    if (now < crash_entry_settled_at(entry))
        return false;
    log_blocked(exchange, entry, now);
    return true;
}

const struct crash_entry *exchange_crash_entry(struct exchange *exchange)
{
    const struct crash_table *table = table_of(exchange);
    return crash_table_count(table) ? crash_table_find(table, exchange_identity(exchange)) : NULL;
}

uint64_t exchange_rank_key(struct exchange *exchange)
{
    if (!exchange->suspected && judge(exchange) == CRASH_VERDICT_NONE)
        return 0;
    const struct request_identity *identity = exchange_identity(exchange);
    return hash_bytes(identity->bytes, sizeof identity->bytes) | 1;
}

void exchange_on_lost_run(struct exchange *exchange)
{
    struct backend *backend = exchange->backend;
    const struct request_identity *identity = exchange_identity(exchange);
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    request_identity_to_hex(identity, hex);
    metric_add(METRIC_RUNS_LOST, 1);
    log_event(LOG_LEVEL_WARN, "request", "run-lost",
              "request=%s identity=%s backend=%s born=%" PRIu64 " events=%" PRIu64
              " sends=%u sent_ms_ago=%" PRIu64 " others_here=%u",
              exchange->head.id, hex, backend->listing.id, backend->listing.born,
              exchange->events.events, exchange->sends, (cluster_now() - exchange->sent_at) / MS_US,
              backend->in_flight - 1);
    exchange->suspected = true;
    crash_watch_lost_run(exchange->edge, backend, identity, exchange->head.id, exchange->sent_at);
}

/* \return for how long its last back end worked on it, if that went on with a stream */
static uint64_t ran_us(const struct exchange *exchange)
{
    bool rest = exchange->resuming || exchange->head.last_event_id[0];
    return rest ? cluster_now() - exchange->sent_at : CRASH_FULL_RUN;
}

void exchange_ran_well(struct exchange *exchange)
{
    struct crash_table *table = table_of(exchange);
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    if (!crash_table_count(table) || !crash_table_record_success(table, exchange_identity(exchange),
                                                                 cluster_now(), ran_us(exchange)))
        return;
    request_identity_to_hex(exchange_identity(exchange), hex);
    log_event(LOG_LEVEL_INFO, "crash", "cleared", "request=%s identity=%s", exchange->head.id, hex);
    crash_sync_tell(exchange->edge->cluster.crashes);
}

void exchange_end_if_blocked(struct exchange *exchange)
{
    if (!exchange_is_blocked(exchange))
        return;
    if (exchange->upstream && upstream_is_sent(exchange->upstream))
        exchange->may_have_run = true;
    exchange_give_up_truly(exchange, END_BLOCKED);
}

#include "cluster/crash_page.h"

#include "base/log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PATH_LIST "/suspects"
#define PATH_LIFT "/suspects/lift"
/** Bytes of the id of a part in hex, with the terminating NUL. */
#define PART_TEXT_SIZE 17

static json_int_t age_ms(uint64_t time, uint64_t now)
{
    return now > time ? (json_int_t)((now - time) / 1000) : 0;
}

static json_t *entry_to_json(const struct crash_table *table, const struct crash_entry *entry,
                             uint64_t now)
{
    char identity[REQUEST_IDENTITY_HEX_SIZE];
    enum crash_verdict verdict = crash_table_verdict(table, &entry->identity, now);
    uint64_t first = entry->crashes[0].ended_at;
    uint64_t last = entry->crashes[entry->crash_count - 1].ended_at;
    json_int_t blocked_ms =
        verdict == CRASH_VERDICT_BLOCKED ? age_ms(now, last + CRASH_BLOCK_DURATION_US) : 0;
    char part[PART_TEXT_SIZE] = "";
    if (entry->is_part)
        snprintf(part, sizeof part, "%08" PRIx64, entry->part_id);
    request_identity_to_hex(&entry->identity, identity);
    return json_pack("{s:s, s:s, s:s, s:i, s:I, s:I, s:I}", "identity", identity, "part", part,
                     "verdict", crash_verdict_name(verdict), "ends", (int)entry->crash_count,
                     "first_end_ms_ago", age_ms(first, now), "last_end_ms_ago", age_ms(last, now),
                     "blocked_for_ms", blocked_ms);
}

static void reply_list(const struct crash_sync *sync, struct service_call *call)
{
    struct crash_table *table = crash_sync_table(sync);
    uint64_t now = cluster_now();
    json_t *list = json_array();
    for (uint32_t i = 0; i < crash_table_count(table); i++) {
        const struct crash_entry *entry = crash_table_at(table, i);
        if (entry->crash_count)
            json_array_append_new(list, entry_to_json(table, entry, now));
    }
    char *text = json_dumps(list, JSON_COMPACT);
    service_reply(call, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(list);
}

static void reply_text(struct service_call *call, unsigned status, const char *text)
{
    service_reply(call, status, "text/plain", text, strlen(text));
}

static void lift_block(struct crash_sync *sync, struct service_call *call,
                       const struct service_request *request)
{
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    struct request_identity identity;
    if (!http_query_value(request->target, request->target_length, "identity", hex, sizeof hex) ||
        !request_identity_from_hex(hex, &identity)) {
        reply_text(call, 400, "identity: 32 digits of hex are needed\n");
        return;
    }
    if (!crash_table_record_success(crash_sync_table(sync), &identity, cluster_now(),
                                    CRASH_FULL_RUN)) {
        reply_text(call, 404, "identity: nothing is held against this request or part here\n");
        return;
    }
    log_event(LOG_LEVEL_WARN, "crash", "lifted", "identity=%s peer=%08x", hex,
              ntohl(request->peer.sin_addr.s_addr));
    crash_sync_send_updates(sync);
    reply_text(call, 200, "lifted\n");
}

bool crash_page_handle(void *context, struct service_call *call,
                       const struct service_request *request)
{
    bool list = service_path_is(request, PATH_LIST);
    if (!list && !service_path_is(request, PATH_LIFT))
        return false;
    if (strcmp(request->method, list ? "GET" : "POST") != 0)
        reply_text(call, 405, list ? "GET reads the list\n" : "POST lifts\n");
    else if (list)
        reply_list(context, call);
    else
        lift_block(context, call, request);
    return true;
}

/* The platform's names and formats, both ways. */
#include "testing.h"

#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

static const char configuration[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"A.example\",\"path_prefix\":\"/x/\","
    "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,"
    "\"service\":\"llm\",\"attempts\":2,\"resumable\":true,\"target_gap_ms\":300},"
    "{\"name\":\"s\",\"host\":\"b.example\",\"path_prefix\":\"/\",\"kind\":\"non_idempotent\","
    "\"traffic_split\":[{\"service\":\"llm\",\"weight\":90},{\"service\":\"rec\",\"weight\":10}],"
    "\"timeout_ms\":800,\"attempts\":1}],"
    "\"services\":[{\"name\":\"llm\",\"connection_limit\":424,\"engine\":{\"slots\":16,"
    "\"models\":[{\"name\":\"m\",\"warmup_s\":0.3}],\"chunks\":48,\"chunk_bytes\":49152}},"
    "{\"name\":\"orig\",\"origin\":\"172.20.0.3:8006\",\"zone\":\"z\"}],"
    "\"limits\":{\"header_bytes\":1000,\"body_bytes\":2000,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"t\",\"keys\":[\"k1\",\"k2\"],\"priority\":1}]}";

static void a_configuration_is_read_whole(void **state)
{
    struct findings findings = {0};
    struct route_table *table =
        platform_parse_configuration(configuration, strlen(configuration), &findings);
    assert_non_null(table);
    assert_int_equal(findings.count, 0);
    assert_int_equal(route_table_version(table), 7);
    const struct route *stream = route_table_match(table, "a.example", "/x/1", 4);
    assert_int_equal(stream->kind, ROUTE_STREAM);
    assert_true(stream->resumable);
    assert_int_equal(stream->gap_ms, 300);
    const struct route *split = route_table_match(table, "b.example", "/x", 2);
    assert_int_equal(split->kind, ROUTE_NON_IDEMPOTENT);
    assert_int_equal(split->target_count, 2);
    const struct service_entry *llm =
        route_table_service(table, route_table_find_service(table, "llm"));
    assert_string_equal(llm->engine.model, "m");
    assert_int_equal(llm->engine.pieces, 48);
    const struct service_entry *origin =
        route_table_service(table, route_table_find_service(table, "orig"));
    assert_string_equal(origin->origin, "172.20.0.3:8006");
    assert_int_equal(route_table_limits(table)->head_bytes, 1000);
    assert_int_not_equal(route_table_key_owner(table, "k2"), ROUTE_NO_TENANT);
    route_table_release(table);
}

static size_t findings_of(const char *text)
{
    struct findings findings = {0};
    struct route_table *table = platform_parse_configuration(text, strlen(text), &findings);
    assert_null(table);
    size_t count = findings.count;
    findings_clear(&findings);
    return count;
}

static void all_problems_of_a_configuration_are_found_together(void **state)
{
    assert_int_equal(findings_of("{\"version\":7,"), 1);
    assert_int_equal(findings_of("{\"version\":\"x\",\"routes\":[]}"), 1);
    assert_int_equal(
        findings_of("{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
                    "\"path_prefix\":\"/x\",\"kind\":\"streaming\",\"service\":\"s\"},"
                    "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/x/\",\"kind\":\"odd\"}]}"),
        2);
}

static void store_answers_are_decoded(void **state)
{
    static const char body[] =
        "{\"items\":[{\"private_key\":\"op/config\",\"value\":\"aGVsbG8=\",\"revision\":4,"
        "\"made\":4,\"lease\":0}],\"more\":true,\"at\":9}";
    static const char events[] = "{\"events\":[{\"private_key\":\"servers/i\",\"revision\":5,"
                                 "\"gone\":true}],\"at\":6}";
    struct store_answer answer;
    assert_int_equal(platform_read_store_answer(body, strlen(body), &answer), STATUS_OK);
    assert_int_equal(answer.revision, 9);
    assert_true(answer.more);
    assert_string_equal(answer.items[0].value, "hello");
    assert_int_equal(answer.items[0].size, 5);
    store_answer_clear(&answer);
    assert_int_equal(platform_read_store_answer(events, strlen(events), &answer), STATUS_OK);
    assert_true(answer.items[0].gone);
    store_answer_clear(&answer);
    assert_int_not_equal(platform_read_store_answer("{}", 2, &answer), STATUS_OK);
    store_answer_clear(&answer);
    assert_int_not_equal(platform_read_store_answer("x", 1, &answer), STATUS_OK);
    store_answer_clear(&answer);
}

static void parse_request(struct http_message *message, const char *text)
{
    size_t used;
    memset(message, 0, sizeof *message);
    http_message_begin(message, HTTP_MESSAGE_REQUEST);
    assert_int_equal(http_message_parse(message, text, strlen(text), &used), HTTP_PARSE_DONE);
}

static bool contains(const struct buffer *bytes, const char *text)
{
    return memmem(bytes->data, bytes->size, text, strlen(text)) != NULL;
}

static void keys_and_forged_fields_do_not_reach_a_back_end(void **state)
{
    struct http_message message;
    struct request_head head;
    struct buffer bytes = {0};
    parse_request(&message, "POST /a%2f/b HTTP/1.1\r\nHost: h\r\nShuntrun-Request-Id: 9c\r\n"
                            "Authorization: Bearer secret\r\nShuntrun-Tenant: forged\r\n"
                            "Shuntrun-Deadline-Ms: 900\r\nShuntrun-Expected-Version: 9\r\n"
                            "Connection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
                            "Connection: X-Second\r\nX-Second: 1\r\n"
                            "Shuntrun-Token-Counts: 1460,80\r\nContent-Length: 2\r\n\r\nhi");
    platform_read_request(&message, &head);
    assert_string_equal(head.id, "9c");
    assert_string_equal(head.key, "secret");
    assert_int_equal(head.deadline_ms, 900);
    assert_int_equal(head.tokens_in, 1460);
    assert_int_equal(head.tokens_out, 80);
    struct forward_head forward = {
        .deadline_ms = 850, .instance = "i-1", .tenant = "true", .urgency = -1};
    platform_write_request(&message, &forward, &bytes);
    assert_true(contains(&bytes, "POST /a%2f/b HTTP/1.1\r\n"));
    assert_true(contains(&bytes, "Shuntrun-Deadline-Ms: 850\r\n"));
    assert_true(contains(&bytes, "Shuntrun-Expected-Instance: i-1\r\n"));
    assert_true(contains(&bytes, "Shuntrun-Tenant: true\r\n"));
    assert_true(contains(&bytes, "X-Kept: 2\r\n"));
    assert_true(contains(&bytes, "Content-Length: 2\r\n"));
    assert_false(contains(&bytes, "secret"));
    assert_false(contains(&bytes, "forged"));
    assert_false(contains(&bytes, "900"));
    assert_false(contains(&bytes, "Expected-Version"));
    assert_false(contains(&bytes, "X-Hop"));
    assert_false(contains(&bytes, "X-Second"));
    buffer_clear(&bytes);
    http_message_clear(&message);
}

static struct request_head head_with_deadline(const char *value)
{
    struct http_message message = {0};
    struct request_head head;
    char text[200];
    snprintf(text, sizeof text, "GET /a HTTP/1.1\r\nShuntrun-Deadline-Ms: %s\r\n\r\n", value);
    parse_request(&message, text);
    platform_read_request(&message, &head);
    http_message_clear(&message);
    return head;
}

/* A caller without any time left had the whole time-out of the route. */
static void a_deadline_of_no_time_is_told_from_none(void **state)
{
    struct request_head none = head_with_deadline("0");
    assert_true(none.has_deadline);
    assert_int_equal(none.deadline_ms, 0);
    assert_int_equal(head_with_deadline("12.7").deadline_ms, 12);
    assert_null(none.unreadable);
    static const char *const malformed[] = {"", "soon", "-5", "5e3", "9999999999999"};
    for (size_t i = 0; i < sizeof malformed / sizeof *malformed; i++) {
        assert_false(head_with_deadline(malformed[i]).has_deadline);
        assert_non_null(head_with_deadline(malformed[i]).unreadable);
    }
}

static void a_resumed_stream_names_its_own_last_event(void **state)
{
    struct http_message message;
    struct buffer bytes = {0};
    parse_request(&message, "GET / HTTP/1.1\r\nLast-Event-Id: 3\r\n\r\n");
    struct forward_head forward = {.last_event_id = "12", .version = 2, .urgency = 1};
    platform_write_request(&message, &forward, &bytes);
    assert_true(contains(&bytes, "Last-Event-Id: 12\r\n"));
    assert_false(contains(&bytes, "Last-Event-Id: 3\r\n"));
    assert_true(contains(&bytes, "Shuntrun-Expected-Version: 2\r\n"));
    assert_false(contains(&bytes, "Content-Length"));
    buffer_clear(&bytes);
    http_message_clear(&message);
}

static void answers_of_back_ends_are_understood(void **state)
{
    static const char text[] =
        "HTTP/1.1 503 Service Unavailable\r\nShuntrun-Not-Executed: 1\r\n"
        "Shuntrun-Request-Id: 9c\r\nShuntrun-Weight-Versions: 3\r\nKeep-Alive: timeout=7\r\n"
        "Shuntrun-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n";
    struct http_message message = {0};
    struct answer_head head;
    struct buffer bytes = {0};
    size_t used;
    http_message_begin(&message, HTTP_MESSAGE_RESPONSE);
    http_message_parse(&message, text, strlen(text), &used);
    platform_read_answer(&message, &head);
    assert_true(head.facts.not_executed);
    assert_false(head.facts.sealed);
    assert_int_equal(head.version, 3);
    assert_int_equal(head.keep_alive_ms, 7000);
    assert_string_equal(head.instance, "i-2");
    platform_write_answer(&message, &bytes);
    assert_false(contains(&bytes, "Keep-Alive"));
    assert_false(contains(&bytes, "Content-Length"));
    assert_true(contains(&bytes, "Shuntrun-Weight-Versions: 3\r\n"));
    buffer_clear(&bytes);
    http_message_clear(&message);
}

/* \return the head of an answer with this status line and these fields */
static struct answer_head head_of(const char *status, const char *fields)
{
    char text[512];
    struct http_message message = {0};
    struct answer_head head;
    size_t used;
    snprintf(text, sizeof text, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, fields);
    http_message_begin(&message, HTTP_MESSAGE_RESPONSE);
    assert_int_equal(http_message_parse(&message, text, strlen(text), &used), HTTP_PARSE_DONE);
    platform_read_answer(&message, &head);
    http_message_clear(&message);
    return head;
}

static void an_answer_says_that_its_back_end_leaves(void **state)
{
    assert_false(head_of("200 OK", "").facts.leaving);
    assert_true(head_of("200 OK", "Server-Leaving: 1\r\n").facts.leaving);
    assert_true(head_of("503 Full", "server-leaving:1\r\n").facts.leaving);
    assert_false(head_of("200 OK", "Server-Leaving: 0\r\n").facts.leaving);
    static const char *const unreadable[] = {"Server-Leaving: yes\r\n", "Server-Leaving: 11\r\n",
                                             "Server-Leaving:\r\n",
                                             "Server-Leaving: 1\r\nServer-Leaving: 0\r\n"};
    for (size_t i = 0; i < sizeof unreadable / sizeof unreadable[0]; i++) {
        struct answer_head head = head_of("200 OK", unreadable[i]);
        assert_false(head.facts.leaving);
        assert_string_equal(head.unreadable, "Server-Leaving");
    }
}

static void an_answer_asks_for_a_time_without_requests(void **state)
{
    static const struct {
        const char *fields;
        uint64_t milliseconds;
    } readable[] = {
        {"", 0},
        {"Retry-After: 0\r\n", 0},
        {"Retry-After: 3\r\n", 3000},
        {"Retry-After: 0.7\r\n", 700},
        {"Retry-After: 31536000\r\n", 31536000000},
        {"Date: Thu, 03 Dec 2026 10:00:00 GMT\r\n"
         "Retry-After: Thu, 03 Dec 2026 10:00:20 GMT\r\n",
         20000},
        {"Date: Thu, 03 Dec 2026 10:00:00 GMT\r\n"
         "Retry-After: Thu, 03 Dec 2026 09:00:00 GMT\r\n",
         0},
    };
    static const char *const unreadable[] = {"Retry-After: -3\r\n",
                                             "Retry-After: 3 s\r\n",
                                             "Retry-After: soon\r\n",
                                             "Retry-After: 0x10\r\n",
                                             "Retry-After: 1e3\r\n",
                                             "Retry-After: 1.2.3\r\n",
                                             "Retry-After: 31536001\r\n",
                                             "Retry-After:\r\n",
                                             "Retry-After: .\r\n",
                                             "Retry-After: 1\r\nRetry-After: 2\r\n",
                                             "Retry-After: Thu, 03 Dec 2026 10:00:20 GMT\r\n"};
    for (size_t i = 0; i < sizeof readable / sizeof readable[0]; i++) {
        struct answer_head head = head_of("503 Full", readable[i].fields);
        assert_int_equal(head.facts.retry_after_ms, readable[i].milliseconds);
        assert_null(head.unreadable);
    }
    for (size_t i = 0; i < sizeof unreadable / sizeof unreadable[0]; i++) {
        struct answer_head head = head_of("503 Full", unreadable[i]);
        assert_int_equal(head.facts.retry_after_ms, 0);
        assert_string_equal(head.unreadable, "Retry-After");
    }
}

static void an_engine_report_is_read(void **state)
{
    static const char text[] =
        "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":2}],\"utilization\":true,"
        "\"sequence\":5,\"waiting_requests\":1,\"running_requests\":12,\"kv_cache_used\":41000,"
        "\"kv_cache_total\":90000,\"pace\":1.5}";
    struct engine_report report;
    assert_int_equal(platform_read_report(text, strlen(text), "m", &report), STATUS_OK);
    assert_int_equal(report.load.version, 2);
    assert_true(report.load.loading);
    assert_int_equal(report.sequence, 5);
    assert_int_equal(report.load.running, 12);
    assert_int_equal(report.load.pace_permille, 1500);
    assert_int_equal(platform_read_report(text, strlen(text), "other", &report), STATUS_OK);
    assert_int_equal(report.load.version, 0);
    assert_int_not_equal(platform_read_report("[", 1, "m", &report), STATUS_OK);
}

#define ENTRY                                                                                      \
    "{\"service\":\"llm\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","          \
    "\"slots\":16,"                                                                                \
    "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4"

static bool is_entry(const char *text, size_t size)
{
    struct backend_listing listing;
    return platform_parse_backend("i-1", text, size, &listing) == STATUS_OK;
}

static void an_entry_names_one_start_of_a_back_end(void **state)
{
    static const char text[] =
        ENTRY ",\"born\":1780000000123,\"models\":[{\"name\":\"m\",\"version\":3}],\"more\":{}}";
    struct backend_listing listing;
    assert_int_equal(platform_parse_backend("i-1", text, strlen(text), &listing), STATUS_OK);
    assert_string_equal(listing.id, "i-1");
    assert_int_equal(listing.born, 1780000000123);
    assert_int_equal(listing.sequence, 4);
    assert_int_equal(listing.slots, 16);
    assert_int_equal(listing.version, 3);
    assert_false(listing.draining);
}

static void an_entry_of_another_writer_names_none(void **state)
{
    static const char *const entries[] = {
        "",
        "x",
        "[]",
        "null",
        "{}",
        "{\"service\":\"llm\"",
        ENTRY,
        ENTRY "} trailing",
        ENTRY ",\"born\":\"1780000000123\"}",
        ENTRY ",\"born\":1.5}",
        ENTRY ",\"born\":-1}",
        ENTRY ",\"born\":null}",
        ENTRY ",\"born\":99999999999999999999}",
        ENTRY ",\"slots\":16}",
        ENTRY ",\"models\":{}}",
        ENTRY ",\"models\":[7]}",
        ENTRY ",\"models\":[{\"name\":\"m\",\"version\":\"3\"}]}",
        ENTRY ",\"models\":[{\"version\":3}]}",
        ENTRY ",\"x\":\"\xff\"}",
    };
    for (size_t i = 0; i < sizeof entries / sizeof *entries; i++)
        if (is_entry(entries[i], strlen(entries[i])))
            fail_msg("taken for an entry: %s", entries[i]);
    assert_true(is_entry(ENTRY "}", strlen(ENTRY "}")));
}

/* Each field in turn is left out, or of another type. */
static void every_field_of_an_entry_is_checked(void **state)
{
    static const char *const fields[][2] = {
        {"\"service\":", "\"llm\""},
        {"\"address\":", "\"10.0.0.9:80\""},
        {"\"zone\":", "\"z\""},
        {"\"version\":", "\"v1\""},
        {"\"slots\":", "16"},
        {"\"state\":", "\"ready\""},
        {"\"cold_remaining_ms\":", "0"},
        {"\"sequence\":", "4"},
    };
    static const char *const wrong[] = {"null", "{}", "[1]", "-3", "true", "\"\"", "\"no such\""};
    for (size_t field = 0; field < sizeof fields / sizeof *fields; field++)
        for (size_t value = 0; value < sizeof wrong / sizeof *wrong; value++) {
            char text[512] = "{\"x\":0";
            bool free_text = field == 0 || field == 2 || field == 3;
            if (free_text && value == 6)
                continue; /* any text is one */
            for (size_t i = 0; i < sizeof fields / sizeof *fields; i++)
                snprintf(text + strlen(text), sizeof text - strlen(text), ",%s%s", fields[i][0],
                         i == field ? wrong[value] : fields[i][1]);
            strcat(text, "}");
            if (is_entry(text, strlen(text)))
                fail_msg("taken for an entry: %s", text);
        }
}

static void every_field_of_an_entry_is_needed(void **state)
{
    static const char *const fields[] = {"\"service\":\"llm\"", "\"address\":\"10.0.0.9:80\"",
                                         "\"zone\":\"z\"",      "\"version\":\"v1\"",
                                         "\"slots\":16",        "\"state\":\"ready\"",
                                         "\"sequence\":4",      "\"cold_remaining_ms\":0"};
    for (size_t left_out = 0; left_out < sizeof fields / sizeof *fields; left_out++) {
        char text[512] = "{\"x\":0";
        for (size_t i = 0; i < sizeof fields / sizeof *fields; i++)
            if (i != left_out)
                snprintf(text + strlen(text), sizeof text - strlen(text), ",%s", fields[i]);
        strcat(text, "}");
        if (is_entry(text, strlen(text)))
            fail_msg("taken for an entry: %s", text);
    }
}

static void an_entry_that_is_large_or_nested_deep_names_none(void **state)
{
    enum { LARGE = 1 << 20 };
    char *text = calloc(1, LARGE + 1);
    memset(text, '[', LARGE);
    assert_false(is_entry(text, LARGE));
    assert_false(is_entry(text, 10000));
    memset(text, ' ', LARGE);
    memcpy(text + LARGE - strlen(ENTRY "}"), ENTRY "}", strlen(ENTRY "}"));
    assert_false(is_entry(text, LARGE));
    free(text);
}

static void a_value_that_cannot_be_read_leaves_the_others(void **state)
{
    static const char body[] =
        "{\"items\":[{\"private_key\":\"servers/a\",\"value\":\"!!!\",\"revision\":4},"
        "{\"private_key\":\"servers/b\",\"value\":7,\"revision\":5},"
        "{\"private_key\":\"servers/c\",\"revision\":\"x\"},7,"
        "{\"private_key\":\"servers/d\",\"value\":\"aGVsbG8=\",\"revision\":6}],\"at\":9}";
    struct store_answer answer;
    assert_int_equal(platform_read_store_answer(body, strlen(body), &answer), STATUS_OK);
    assert_int_equal(answer.count, 3);
    assert_int_equal(answer.left_out, 2);
    assert_null(answer.items[0].value);
    assert_int_equal(answer.items[0].size, 0);
    assert_null(answer.items[1].value);
    assert_string_equal(answer.items[2].value, "hello");
    store_answer_clear(&answer);
}

static void a_report_with_a_field_missing_is_none(void **state)
{
    static const char *const reports[] = {
        "{}",
        "{\"models\":[],\"utilization\":false,\"waiting_requests\":0,\"running_requests\":0}",
        "{\"models\":[],\"utilization\":false,\"sequence\":0,\"running_requests\":0}",
        "{\"models\":[],\"utilization\":0,\"sequence\":0,\"waiting_requests\":0,"
        "\"running_requests\":0}",
        "{\"utilization\":false,\"sequence\":0,\"waiting_requests\":0,\"running_requests\":0}",
        "{\"models\":[],\"utilization\":false,\"sequence\":0,\"waiting_requests\":0,"
        "\"running_requests\":0,\"born\":\"1\"}",
        "{\"models\":[],\"utilization\":false,\"sequence\":0,\"waiting_requests\":0,"
        "\"running_requests\":0,\"pace\":1e300}",
    };
    struct engine_report report;
    for (size_t i = 0; i < sizeof reports / sizeof *reports; i++)
        if (platform_read_report(reports[i], strlen(reports[i]), "m", &report) == STATUS_OK)
            fail_msg("taken for a report: %s", reports[i]);
}

static void a_version_is_a_whole_number(void **state)
{
    uint64_t version;
    assert_int_equal(platform_parse_version("{\"model\":\"m\",\"version\":3}", 25, &version),
                     STATUS_OK);
    assert_int_equal(version, 3);
    assert_int_not_equal(platform_parse_version("{\"version\":\"3\"}", 15, &version), STATUS_OK);
    assert_int_not_equal(platform_parse_version("", 0, &version), STATUS_OK);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_configuration_is_read_whole),
        cmocka_unit_test(all_problems_of_a_configuration_are_found_together),
        cmocka_unit_test(store_answers_are_decoded),
        cmocka_unit_test(keys_and_forged_fields_do_not_reach_a_back_end),
        cmocka_unit_test(a_deadline_of_no_time_is_told_from_none),
        cmocka_unit_test(a_resumed_stream_names_its_own_last_event),
        cmocka_unit_test(answers_of_back_ends_are_understood),
        cmocka_unit_test(an_answer_says_that_its_back_end_leaves),
        cmocka_unit_test(an_answer_asks_for_a_time_without_requests),
        cmocka_unit_test(an_engine_report_is_read),
        cmocka_unit_test(an_entry_names_one_start_of_a_back_end),
        cmocka_unit_test(an_entry_of_another_writer_names_none),
        cmocka_unit_test(every_field_of_an_entry_is_checked),
        cmocka_unit_test(every_field_of_an_entry_is_needed),
        cmocka_unit_test(an_entry_that_is_large_or_nested_deep_names_none),
        cmocka_unit_test(a_value_that_cannot_be_read_leaves_the_others),
        cmocka_unit_test(a_report_with_a_field_missing_is_none),
        cmocka_unit_test(a_version_is_a_whole_number),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "tool/load.h"

#include "base/clock.h"
#include "base/memory.h"
#include "core/random.h"
#include "net/loop.h"
#include "tool/answer_check.h"
#include "tool/load_options.h"
#include "tool/load_result.h"
#include "tool/tool.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICKET_SIZE 700 /* bytes with the terminator */
#define MAX_CONNECT_ATTEMPTS 5
#define ENDPOINTS_TIMEOUT_MS 2000
#define ENDPOINTS_REFRESH_AHEAD_US 200000ULL /* before the endpoint list expires */
#define START_TIMEOUT_US 30000000ULL         /* the tool gives up without an endpoint list */
/* Beyond the request's deadline, before the client closes the connection. */
#define CLIENT_GRACE_MS 2000

/** One system under load (two in a comparison), and the results of its requests. */
struct load_side {
    struct load *load;
    const struct gateway_list *gateways;
    struct gateway_list endpoints; /* from the latest endpoint list */
    char ticket[TICKET_SIZE];
    uint64_t endpoints_expire_at;
    bool endpoints_pending;
    uint32_t next_gateway;
    struct load_result result;
};

struct load {
    struct load_options options;
    struct loop *loop;
    struct random_stream random;
    struct load_side sides[2];
    uint32_t side_count;
    uint64_t created_at;          /* start of the tool, monotonic us */
    uint64_t arrivals_started_at; /* first scheduled request, monotonic us */
    uint64_t next_arrival_at;
    uint64_t next_number;
    uint64_t requests_in_progress;
    bool arrivals_done;
    FILE *record;
};

static volatile sig_atomic_t stop_requested;

static void on_signal(int number)
{
    stop_requested = 1;
}

/* ---- Endpoints ---- */

static void store_endpoints(struct load_side *side, const json_t *body)
{
    const json_t *list = json_object_get(body, "endpoints");
    const char *ticket = json_string_value(json_object_get(body, "ticket"));
    if (!json_array_size(list))
        return;
    side->endpoints.count = 0;
    for (size_t i = 0; i < json_array_size(list) && i < LOAD_MAX_GATEWAYS; i++)
        snprintf(side->endpoints.addresses[side->endpoints.count++], LOAD_ADDRESS_SIZE, "%s",
                 json_string_value(json_array_get(list, i)));
    snprintf(side->ticket, sizeof side->ticket, "%s", ticket ? ticket : "");
    side->endpoints_expire_at =
        clock_monotonic_us() +
        (uint64_t)json_integer_value(json_object_get(body, "max_age_ms")) * 1000;
}

static void on_endpoints_response(void *context, struct http_response *response)
{
    struct load_side *side = context;
    side->endpoints_pending = false;
    if (response->result != HTTP_COMPLETE || response->status != 200)
        return;
    json_t *body = json_loadb((const char *)response->body, response->size, 0, NULL);
    store_endpoints(side, body);
    json_decref(body);
}

/* Clients use an endpoint list for its max_age_ms, then request it again, here from the gateways in
 * turn. */
static void request_endpoints(struct load_side *side)
{
    char url[256];
    if (side->endpoints_pending)
        return;
    side->endpoints_pending = true;
    snprintf(url, sizeof url, "http://%s/v1/endpoints?service=%s",
             side->gateways->addresses[side->next_gateway++ % side->gateways->count],
             side->load->options.service);
    struct http_call call = {
        .method = "GET",
        .url = url,
        .body_limit = 65536,
        .timeout_ms = ENDPOINTS_TIMEOUT_MS,
        .on_done = on_endpoints_response,
        .context = side,
    };
    loop_http(side->load->loop, &call);
}

/* ---- Requests ---- */

struct load_call {
    struct load_side *side;
    uint64_t number;
    uint32_t tenant;
    uint64_t scheduled_at; /* monotonic us; latency counts from here, so that delays of this tool
                              count, too */
    uint64_t last_token_at;
    uint32_t attempts;
    char id[64];
    char key[TICKET_SIZE + 80];
    struct answer_check check;
};

static void start_call(struct load_call *call);

static void on_data(void *context, const uint8_t *data, size_t size)
{
    struct load_call *call = context;
    struct load_side *side = call->side;
    uint64_t now = clock_monotonic_us();
    uint32_t tokens = answer_check_data(&call->check, data, size);
    if (!tokens)
        return;
    if (!call->last_token_at)
        histogram_add(&side->result.first_token, now - call->scheduled_at);
    else
        histogram_add(&side->result.between_tokens, (now - call->last_token_at) / tokens);
    call->last_token_at = now;
    side->result.tokens += tokens;
}

static void finish_call(struct load_call *call, enum answer_verdict verdict)
{
    struct load *load = call->side->load;
    const char *version = call->check.version[0] ? call->check.version : "-";
    load->requests_in_progress--;
    load_result_add_answer(&call->side->result, call->tenant, verdict, version,
                           clock_monotonic_us() - call->scheduled_at);
    if (load->record)
        fprintf(load->record, "%s %s %s\n", call->id, answer_verdict_name(verdict), version);
    answer_check_clear(&call->check);
    free(call);
}

static enum answer_verdict plain_verdict(const struct load_call *call,
                                         struct http_response *response)
{
    json_t *body = json_loadb((const char *)response->body, response->size, 0, NULL);
    const char *id = json_string_value(json_object_get(body, "id"));
    enum answer_verdict verdict = id && strcmp(id, call->id) == 0 ? ANSWER_DONE : ANSWER_MIXED;
    json_decref(body);
    return verdict;
}

/* Verdict of an error response, which is JSON instead of a stream. */
static enum answer_verdict error_verdict(struct http_response *response)
{
    json_t *body = json_loadb((const char *)response->body, response->size, 0, NULL);
    const char *outcome = json_string_value(json_object_get(body, "outcome"));
    enum answer_verdict verdict = ANSWER_LOST;
    if (outcome && strcmp(outcome, "not-run") == 0)
        verdict = ANSWER_NOT_RUN;
    else if (outcome && strcmp(outcome, "unknown") == 0)
        verdict = ANSWER_UNKNOWN;
    json_decref(body);
    return verdict;
}

static void on_response(void *context, struct http_response *response)
{
    struct load_call *call = context;
    const struct load_options *options = &call->side->load->options;
    if (response->result == HTTP_NOT_SENT && ++call->attempts < MAX_CONNECT_ATTEMPTS) {
        start_call(call); /* nothing was sent, so a retry is safe; it may pick another address */
        return;
    }
    enum answer_verdict verdict;
    if (response->result == HTTP_NOT_SENT)
        verdict = ANSWER_NOT_RUN;
    else if (response->result == HTTP_COMPLETE && response->status != 200)
        verdict = error_verdict(response);
    else if (options->plain)
        verdict = response->result == HTTP_COMPLETE ? plain_verdict(call, response) : ANSWER_LOST;
    else
        verdict = answer_check_verdict(&call->check);
    finish_call(call, verdict);
}

static void start_call(struct load_call *call)
{
    struct load_side *side = call->side;
    struct load *load = side->load;
    const struct load_options *options = &load->options;
    char url[256];
    char tenant[96];
    char key[sizeof call->key + 32];
    char timeout[64];
    char body[256];
    const struct gateway_list *known = side->endpoints.count ? &side->endpoints : side->gateways;
    const char *address = known->addresses[random_below(&load->random, known->count)];
    snprintf(url, sizeof url, "http://%s/v1/services/%s", address, options->service);
    snprintf(tenant, sizeof tenant, "X-Tenant: %s", options->tenants[call->tenant]);
    snprintf(timeout, sizeof timeout, "X-Timeout-Ms: %" PRIu64, options->timeout_ms);
    snprintf(key, sizeof key, "Idempotency-Key: %s", call->key);
    const char *headers[] = {"Content-Type: application/json", tenant, timeout,
                             options->keys ? key : NULL, NULL};
    if (options->plain)
        snprintf(body, sizeof body, "{\"id\": \"%s\"}", call->id);
    else
        snprintf(body, sizeof body, "{\"prompt\": \"%s\", \"max_tokens\": %" PRIu64 "}", call->id,
                 options->tokens);
    struct http_call http = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .body = body,
        .body_size = strlen(body),
        .body_limit = 1 << 20,
        .timeout_ms = options->timeout_ms + CLIENT_GRACE_MS,
        .fresh_connection = options->plain,
        .on_data = options->plain ? NULL : on_data,
        .on_done = on_response,
        .context = call,
    };
    loop_http(load->loop, &http);
}

static uint32_t pick_tenant(struct load *load)
{
    double remaining = random_unit(&load->random);
    for (uint32_t i = 0; i + 1 < load->options.tenant_count; i++) {
        remaining -= load->options.tenant_shares[i];
        if (remaining < 0)
            return i;
    }
    return load->options.tenant_count - 1;
}

static void start_request(struct load *load, uint64_t scheduled_at)
{
    struct load_call *call = memory_calloc(1, sizeof *call);
    call->side = &load->sides[random_below(&load->random, load->side_count)];
    call->side->result.requests++;
    call->number = load->next_number++;
    call->scheduled_at = scheduled_at;
    call->tenant = pick_tenant(load);
    snprintf(call->id, sizeof call->id, "%s-%" PRIu64 "-%" PRIu64, load->options.service,
             load->options.seed, call->number);
    snprintf(call->key, sizeof call->key, "%s%s%s", call->side->ticket,
             call->side->ticket[0] ? "~" : "", call->id);
    call->check = (struct answer_check){
        .prompt = call->id,
        .expected_tokens = load->options.tokens,
        .verify_tokens = load->options.verify,
    };
    load->requests_in_progress++;
    start_call(call);
}

/* ---- Arrivals ---- */

/* Requests endpoint lists that are about to expire. \return whether all sides have had one */
static bool refresh_endpoints(struct load *load, uint64_t now)
{
    bool known = true;
    for (uint32_t i = 0; i < load->side_count; i++) {
        struct load_side *side = &load->sides[i];
        if (now + ENDPOINTS_REFRESH_AHEAD_US >= side->endpoints_expire_at)
            request_endpoints(side);
        known = known && side->endpoints.count;
    }
    return known;
}

static void on_tick(void *context)
{
    struct load *load = context;
    uint64_t now = clock_monotonic_us();
    if (!refresh_endpoints(load, now)) {
        bool gave_up = stop_requested || now - load->created_at > START_TIMEOUT_US;
        if (gave_up && !load->requests_in_progress)
            loop_stop(load->loop);
        return;
    }
    if (!load->next_arrival_at) {
        load->arrivals_started_at = now;
        load->next_arrival_at = now;
    }
    uint64_t end = load->arrivals_started_at + (uint64_t)(load->options.seconds * 1e6);
    load->arrivals_done = stop_requested || now >= end;
    while (!load->arrivals_done && load->next_arrival_at <= now) {
        start_request(load, load->next_arrival_at);
        double gap = -log(1 - random_unit(&load->random)) / load->options.rate;
        load->next_arrival_at += (uint64_t)(gap * 1e6) + 1;
    }
    if (load->arrivals_done && load->requests_in_progress == 0)
        loop_stop(load->loop);
}

static bool has_violation(const struct load *load)
{
    bool violated = false;
    for (uint32_t i = 0; i < load->side_count; i++)
        violated = violated || load_result_has_violation(&load->sides[i].result);
    return violated;
}

static json_t *results_to_json(const struct load *load)
{
    const struct load_result *first = &load->sides[0].result;
    return load->side_count == 2
               ? load_result_comparison_to_json(first, &load->sides[1].result, &load->options)
               : load_result_to_json(first, &load->options);
}

static void add_side(struct load *load, const struct gateway_list *gateways)
{
    struct load_side *side = &load->sides[load->side_count++];
    side->load = load;
    side->gateways = gateways;
    load_result_init(&side->result);
}

int load_main(int argc, char **argv)
{
    struct load *load = memory_calloc(1, sizeof *load);
    load_options_parse(&load->options, argc, argv);
    if (load->options.record && !(load->record = fopen(load->options.record, "w"))) {
        perror(load->options.record);
        free(load);
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    load->random.seed = load->options.seed;
    add_side(load, &load->options.gateways);
    if (load->options.against.count)
        add_side(load, &load->options.against);
    load->created_at = clock_monotonic_us();
    load->loop = loop_create();
    loop_set_tick(load->loop, 1000, on_tick, load);
    loop_run(load->loop);
    tool_print_json(results_to_json(load));
    int exit_status = has_violation(load) ? 1 : 0;
    if (!load->arrivals_started_at) {
        fputs("shuntrun load: no gateway returned an endpoint list\n", stderr);
        exit_status = 3;
    }
    if (load->record)
        fclose(load->record);
    loop_destroy(load->loop);
    for (uint32_t i = 0; i < load->side_count; i++)
        load_result_clear(&load->sides[i].result);
    free(load);
    return exit_status;
}

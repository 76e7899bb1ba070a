#include "tool/load.h"

#include "base/clock.h"
#include "base/memory.h"
#include "core/random.h"
#include "net/loop.h"
#include "tool/answer_check.h"
#include "tool/tool.h"
#include "base/histogram.h"

#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_GATEWAYS 64
#define MAX_TENANTS 64
#define ADDRESS_SIZE 64
#define TICKET_SIZE 700 /* bytes with the terminator */
#define MAX_CONNECT_ATTEMPTS 5
#define ENDPOINTS_TIMEOUT_MS 2000
#define ENDPOINTS_REFRESH_AHEAD_US 200000ULL /* before the endpoint list expires */
#define START_TIMEOUT_US 30000000ULL         /* the tool gives up without an endpoint list */
/* Beyond the request's deadline, before the client closes the connection. */
#define CLIENT_GRACE_MS 2000

struct gateway_list {
    char addresses[MAX_GATEWAYS][ADDRESS_SIZE];
    uint32_t count;
};

struct load_options {
    struct gateway_list gateways;
    struct gateway_list against; /* of the second system of a comparison; empty: none */
    const char *service;
    char tenants[MAX_TENANTS][64];
    double tenant_shares[MAX_TENANTS];
    uint32_t tenant_count;
    double rate;
    double seconds;
    uint64_t seed;
    uint64_t tokens;
    uint64_t timeout_ms;
    bool plain;         /* the service is not a model: one JSON response, no token stream */
    bool keys;          /* send idempotency keys */
    bool verify;        /* compare tokens with those of the engine stand-in */
    const char *record; /* path of the output file, or NULL */
};

struct tenant_counts {
    uint64_t verdicts[ANSWER_VERDICTS];
};

/** One system under load (two in a comparison), and the results of its requests. */
struct load_side {
    struct load *load;
    const struct gateway_list *gateways;
    struct gateway_list endpoints; /* from the latest endpoint list */
    char ticket[TICKET_SIZE];
    uint64_t endpoints_expire_at;
    bool endpoints_pending;
    uint32_t next_gateway;
    uint64_t requests;
    uint64_t verdicts[ANSWER_VERDICTS];
    struct tenant_counts tenants[MAX_TENANTS];
    json_t *versions; /* object: version -> number of completed answers */
    uint64_t tokens;
    struct histogram first_token; /* us, as the next two */
    struct histogram between_tokens;
    struct histogram whole; /* until the end of the answer */
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
    for (size_t i = 0; i < json_array_size(list) && i < MAX_GATEWAYS; i++)
        snprintf(side->endpoints.addresses[side->endpoints.count++], ADDRESS_SIZE, "%s",
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
        histogram_add(&side->first_token, now - call->scheduled_at);
    else
        histogram_add(&side->between_tokens, (now - call->last_token_at) / tokens);
    call->last_token_at = now;
    side->tokens += tokens;
}

static void finish_call(struct load_call *call, enum answer_verdict verdict)
{
    struct load_side *side = call->side;
    struct load *load = side->load;
    side->verdicts[verdict]++;
    side->tenants[call->tenant].verdicts[verdict]++;
    load->requests_in_progress--;
    if (verdict == ANSWER_DONE) {
        histogram_add(&side->whole, clock_monotonic_us() - call->scheduled_at);
        const char *version = call->check.version[0] ? call->check.version : "-";
        json_int_t count = json_integer_value(json_object_get(side->versions, version));
        json_object_set_new(side->versions, version, json_integer(count + 1));
    }
    if (load->record)
        fprintf(load->record, "%s %s %s\n", call->id, answer_verdict_name(verdict),
                call->check.version[0] ? call->check.version : "-");
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
    call->side->requests++;
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

/* ---- Options ---- */

enum load_key {
    KEY_GATEWAYS = 1000,
    KEY_SERVICE,
    KEY_TENANTS,
    KEY_RATE,
    KEY_SECONDS,
    KEY_SEED,
    KEY_TOKENS,
    KEY_TIMEOUT,
    KEY_PLAIN,
    KEY_KEYS,
    KEY_VERIFY,
    KEY_RECORD,
    KEY_AGAINST,
};

static const struct argp_option option_list[] = {
    {"gateways", KEY_GATEWAYS, "IP:PORT,...", 0, "gateways to request the endpoint list from", 0},
    {"against", KEY_AGAINST, "IP:PORT,...", 0,
     "gateways of a second system: each request goes to one of the two at random", 0},
    {"service", KEY_SERVICE, "NAME", 0, "service to call", 0},
    {"tenants", KEY_TENANTS, "NAME:SHARE,...", 0, "tenants and their shares of the load", 0},
    {"rate", KEY_RATE, "PER_SECOND", 0, "mean requests per second, with Poisson arrivals (20)", 0},
    {"seconds", KEY_SECONDS, "S", 0, "duration of the arrivals (10)", 0},
    {"seed", KEY_SEED, "N", 0, "random seed of arrivals and tenants (1)", 0},
    {"tokens", KEY_TOKENS, "N", 0, "tokens of each answer (32)", 0},
    {"timeout-ms", KEY_TIMEOUT, "MS", 0, "deadline of each request (30000)", 0},
    {"plain", KEY_PLAIN, NULL, 0, "the service is plain: one JSON response, no token stream", 0},
    {"keys", KEY_KEYS, NULL, 0, "send an idempotency key, which marks the request as unrepeatable",
     0},
    {"verify", KEY_VERIFY, NULL, 0, "compare every token with that of the engine stand-in", 0},
    {"record", KEY_RECORD, "FILE", 0, "write one line per request: id outcome version", 0},
    {0}};

static void split_gateways(struct gateway_list *list, const char *text)
{
    char *copy = memory_strdup(text);
    char *state;
    for (char *item = strtok_r(copy, ",", &state); item; item = strtok_r(NULL, ",", &state))
        if (list->count < MAX_GATEWAYS)
            snprintf(list->addresses[list->count++], ADDRESS_SIZE, "%s", item);
    free(copy);
}

static void split_tenants(struct load_options *options, const char *text)
{
    char *copy = memory_strdup(text);
    char *state;
    double sum = 0;
    for (char *item = strtok_r(copy, ",", &state); item; item = strtok_r(NULL, ",", &state)) {
        char *colon = strchr(item, ':');
        double share = colon ? strtod(colon + 1, NULL) : 1;
        if (options->tenant_count == MAX_TENANTS || share <= 0)
            continue;
        snprintf(options->tenants[options->tenant_count], 64, "%.*s",
                 colon ? (int)(colon - item) : 63, item);
        options->tenant_shares[options->tenant_count++] = share;
        sum += share;
    }
    for (uint32_t i = 0; i < options->tenant_count; i++)
        options->tenant_shares[i] /= sum;
    free(copy);
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct load_options *options = state->input;
    switch (key) {
    case KEY_GATEWAYS:
        split_gateways(&options->gateways, argument);
        break;
    case KEY_AGAINST:
        split_gateways(&options->against, argument);
        break;
    case KEY_SERVICE:
        options->service = argument;
        break;
    case KEY_TENANTS:
        split_tenants(options, argument);
        break;
    case KEY_RATE:
        options->rate = strtod(argument, NULL);
        break;
    case KEY_SECONDS:
        options->seconds = strtod(argument, NULL);
        break;
    case KEY_SEED:
        options->seed = strtoull(argument, NULL, 10);
        break;
    case KEY_TOKENS:
        options->tokens = strtoull(argument, NULL, 10);
        break;
    case KEY_TIMEOUT:
        options->timeout_ms = strtoull(argument, NULL, 10);
        break;
    case KEY_PLAIN:
        options->plain = true;
        break;
    case KEY_KEYS:
        options->keys = true;
        break;
    case KEY_VERIFY:
        options->verify = true;
        break;
    case KEY_RECORD:
        options->record = argument;
        break;
    case ARGP_KEY_END:
        if (!options->gateways.count || !options->service || !options->tenant_count)
            argp_error(state, "--gateways, --service and --tenants are required");
        if (!(options->rate > 0) || !(options->seconds > 0) || !options->timeout_ms)
            argp_error(state, "--rate, --seconds and --timeout-ms must be above 0");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* ---- Results ---- */

static json_t *histogram_to_json(const struct histogram *histogram)
{
    return json_pack("{s:I, s:f, s:f, s:f, s:f}", "count", (json_int_t)histogram->total, "p50",
                     (double)histogram_quantile(histogram, 0.5) / 1000, "p95",
                     (double)histogram_quantile(histogram, 0.95) / 1000, "p99",
                     (double)histogram_quantile(histogram, 0.99) / 1000, "max",
                     (double)histogram->maximum / 1000);
}

static json_t *verdicts_to_json(const uint64_t verdicts[ANSWER_VERDICTS])
{
    json_t *object = json_object();
    for (int i = 0; i < ANSWER_VERDICTS; i++)
        json_object_set_new(object, answer_verdict_name((enum answer_verdict)i),
                            json_integer((json_int_t)verdicts[i]));
    return object;
}

static json_t *side_to_json(const struct load_side *side)
{
    const struct load_options *options = &side->load->options;
    json_t *tenants = json_object();
    for (uint32_t i = 0; i < options->tenant_count; i++)
        json_object_set_new(tenants, options->tenants[i],
                            verdicts_to_json(side->tenants[i].verdicts));
    return json_pack(
        "{s:I, s:o, s:o, s:O, s:I, s:o, s:o, s:o}", "requests", (json_int_t)side->requests,
        "outcomes", verdicts_to_json(side->verdicts), "tenants", tenants, "versions",
        side->versions, "tokens", (json_int_t)side->tokens, "first_token_ms",
        histogram_to_json(&side->first_token), "between_tokens_ms",
        histogram_to_json(&side->between_tokens), "whole_ms", histogram_to_json(&side->whole));
}

static double quantile_ratio(const struct histogram *left, const struct histogram *right,
                             double share)
{
    double below = (double)histogram_quantile(right, share);
    return below > 0 ? (double)histogram_quantile(left, share) / below : 0;
}

/* Ratios of the first system to the second. Both are measured in the same run, so that a busy
 * machine slows both alike. */
static json_t *comparison_to_json(const struct load *load)
{
    const struct load_side *left = &load->sides[0];
    const struct load_side *right = &load->sides[1];
    return json_pack("{s:o, s:o, s:{s:f, s:f, s:f, s:f}}", "gateways", side_to_json(left),
                     "against", side_to_json(right), "ratios", "first_token_p50",
                     quantile_ratio(&left->first_token, &right->first_token, 0.5),
                     "first_token_p95",
                     quantile_ratio(&left->first_token, &right->first_token, 0.95), "whole_p50",
                     quantile_ratio(&left->whole, &right->whole, 0.5), "whole_p95",
                     quantile_ratio(&left->whole, &right->whole, 0.95));
}

static bool has_violation(const struct load *load)
{
    bool violated = false;
    for (uint32_t i = 0; i < load->side_count; i++) {
        const uint64_t *verdicts = load->sides[i].verdicts;
        violated = violated || verdicts[ANSWER_LOST] || verdicts[ANSWER_CUT] ||
                   verdicts[ANSWER_DOUBLED] || verdicts[ANSWER_MIXED];
    }
    return violated;
}

static void add_side(struct load *load, const struct gateway_list *gateways)
{
    struct load_side *side = &load->sides[load->side_count++];
    side->load = load;
    side->gateways = gateways;
    side->versions = json_object();
}

int load_main(int argc, char **argv)
{
    static const char doc[] =
        "Generate open-loop load against a running system and check every answer.\v"
        "Prints one JSON object. Latencies are in milliseconds and count from the scheduled "
        "arrival "
        "of the request. With --against, prints an object for each system and the ratios between "
        "them. Exit status: 0 success; 1 an answer was lost, cut, doubled or mixed; 2 usage error; "
        "3 no gateway returned an endpoint list.";
    struct load *load = memory_calloc(1, sizeof *load);
    load->options = (struct load_options){
        .rate = 20, .seconds = 10, .seed = 1, .tokens = 32, .timeout_ms = 30000};
    struct argp argp = {option_list, parse_option, NULL, doc, NULL, NULL, NULL};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &load->options);
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
    tool_print_json(load->side_count == 2 ? comparison_to_json(load)
                                          : side_to_json(&load->sides[0]));
    int exit_status = has_violation(load) ? 1 : 0;
    if (!load->arrivals_started_at) {
        fputs("shuntrun load: no gateway returned an endpoint list\n", stderr);
        exit_status = 3;
    }
    if (load->record)
        fclose(load->record);
    loop_destroy(load->loop);
    for (uint32_t i = 0; i < load->side_count; i++)
        json_decref(load->sides[i].versions);
    free(load);
    return exit_status;
}

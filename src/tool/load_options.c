#include "tool/load_options.h"

#include "base/memory.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
        if (list->count < LOAD_MAX_GATEWAYS)
            snprintf(list->addresses[list->count++], LOAD_ADDRESS_SIZE, "%s", item);
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
        if (options->tenant_count == LOAD_MAX_TENANTS || share <= 0)
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

void load_options_parse(struct load_options *options, int argc, char **argv)
{
    static const char doc[] =
        "Generate open-loop load against a running system and check every answer.\v"
        "Prints one JSON object. Latencies are in milliseconds and count from the scheduled "
        "arrival "
        "of the request. With --against, prints an object for each system and the ratios between "
        "them. Exit status: 0 success; 1 an answer was lost, cut, doubled or mixed; 2 usage error; "
        "3 no gateway returned an endpoint list.";
    struct argp argp = {option_list, parse_option, NULL, doc, NULL, NULL, NULL};
    *options = (struct load_options){
        .rate = 20, .seconds = 10, .seed = 1, .tokens = 32, .timeout_ms = 30000};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, options);
}

#include "sim/simulate_options.h"

#include "tool/tool.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum simulate_key {
    KEY_MACHINES = 1000,
    KEY_ZONES,
    KEY_REGIONS,
    KEY_MODEL_BYTES,
    KEY_CHUNK_BYTES,
    KEY_ORIGIN_COPIES,
    KEY_MACHINE_COPIES,
    KEY_WINDOW,
    KEY_STRATEGY,
    KEY_BUDGET,
    KEY_SEED,
    KEY_FAULTS,
    KEY_OUTPUT,
    KEY_NEIGHBOURS,
    KEY_DOWNLOADS,
    KEY_UPLOADS,
    KEY_ANNOUNCE,
    KEY_LIMIT,
    KEY_SCENARIO,
    KEY_SEEDS,
    KEY_FLEET,
    KEY_MUTATION,
    KEY_KEEP_FAULTS,
    KEY_RECORD,
    KEY_GATEWAYS,
    KEY_ENGINES,
    KEY_RATE,
    KEY_SECONDS,
    KEY_LARGE_TENANT,
    KEY_SLOW_ENGINES,
    KEY_BALANCE,
};

static const struct argp_option option_list[] = {
    {"machines", KEY_MACHINES, "N", 0, "machines that get the model (300)", 0},
    {"zones", KEY_ZONES, "Z", 0, "zones (6)", 0},
    {"regions", KEY_REGIONS, "R", 0, "regions (3)", 0},
    {"model-bytes", KEY_MODEL_BYTES, "B", 0, "size of the model (2200 chunks of 64 MiB)", 0},
    {"chunk-bytes", KEY_CHUNK_BYTES, "C", 0, "size of a chunk (64 MiB)", 0},
    {"origin-copies-per-window", KEY_ORIGIN_COPIES, "X", 0, "rate of the origin's link (4)", 0},
    {"machine-copies-per-window", KEY_MACHINE_COPIES, "X", 0,
     "rate of a machine's link, in and out together (2)", 0},
    {"window-seconds", KEY_WINDOW, "S", 0, "the window (300)", 0},
    {"strategy", KEY_STRATEGY, "NAME", 0, "swarm, origin-only, tree or chunked-tree (swarm)", 0},
    {"origin-budget", KEY_BUDGET, "K", 0, "copies that the origin may give at once, 1 to 4 (1)", 0},
    {"seed", KEY_SEED, "X", 0, "seed of everything random (1)", 0},
    {"faults", KEY_FAULTS, "SPEC", 0,
     "NAME=SHARE,... of die, restart, stall, pause, shuffle, corrupt, origin-down, change, shared, "
     "part",
     0},
    {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0},
    {"neighbours", KEY_NEIGHBOURS, "N", 0, "neighbours that each machine chooses", 0},
    {"download-window", KEY_DOWNLOADS, "N", 0, "chunk requests in flight", 0},
    {"upload-limit", KEY_UPLOADS, "N", 0, "uploads queued before a machine is busy", 0},
    {"announce-ms", KEY_ANNOUNCE, "MS", 0, "least time between announcements", 0},
    {"limit-windows", KEY_LIMIT, "N", 0, "time limit of the run, in windows (20)", 0},
    {NULL, 0, NULL, 0, "Whole fleets with requests, instead of a rollout:", 2},
    {"scenario", KEY_SCENARIO, "NAME", 0,
     "all, steady, kill, wake, cut, shuffle, platform, races, stops, publish, backends, mass or "
     "mixed",
     2},
    {"seeds", KEY_SEEDS, "A..B", 0, "seeds to run (1..20)", 2},
    {"fleet", KEY_FLEET, "NAME", 0,
     "brief: 7 gateways and 16 back ends of the call centres; matchmaking: the same with that "
     "fleet's "
     "delays; large: 300; small: 5 (brief)",
     2},
    {"mutation", KEY_MUTATION, "NAME", 0, "disable one rule, to test that the checker detects it",
     2},
    {"keep-faults", KEY_KEEP_FAULTS, "MASK", 0, "bit mask of the faults that happen (all)", 2},
    {"gateways", KEY_GATEWAYS, "N", 0, "gateways, in place of the fleet's", 2},
    {"engines", KEY_ENGINES, "N", 0, "engines, in place of the fleet's", 2},
    {"rate", KEY_RATE, "PER_SECOND", 0, "requests a second, in place of the fleet's", 2},
    {"seconds", KEY_SECONDS, "S", 0, "time in which requests arrive", 2},
    {"large-tenant", KEY_LARGE_TENANT, "SHARE", 0, "share of requests that one tenant sends", 2},
    {"slow-engines", KEY_SLOW_ENGINES, "SHARE", 0, "engines at a fourth of the speed", 2},
    {"balance", KEY_BALANCE, "NAME", 0, "two-choices, round-robin or random (two-choices)", 2},
    {"record", KEY_RECORD, "FILE", 0, "record the session of the first seed", 2},
    {0}};

static const char *const strategy_names[] = {"swarm", "origin-only", "tree", "chunked-tree"};

const char *simulate_strategy_name(enum rollout_strategy strategy)
{
    return strategy_names[strategy];
}

static double parse_positive(const char *text, struct argp_state *state)
{
    char *rest;
    double value = strtod(text, &rest);
    if (*rest || rest == text || !(value > 0))
        argp_error(state, "`%s` is not a number greater than 0", text);
    return value;
}

static uint64_t parse_count(const char *text, uint64_t maximum, struct argp_state *state)
{
    double value = parse_positive(text, state);
    if (value > (double)maximum || value != (double)(uint64_t)value)
        argp_error(state, "`%s` is not an integer from 1 to %" PRIu64, text, maximum);
    return (uint64_t)value;
}

static enum rollout_strategy parse_strategy(const char *text, struct argp_state *state)
{
    for (int i = 0; i < 4; i++)
        if (strcmp(text, strategy_names[i]) == 0)
            return (enum rollout_strategy)i;
    argp_error(state, "unknown strategy `%s`", text);
    return STRATEGY_SWARM;
}

static void parse_faults(struct rollout_faults *faults, char *text, struct argp_state *state)
{
    const struct {
        const char *name;
        double *share;
    } known[] = {{"die", &faults->die},
                 {"restart", &faults->restart},
                 {"stall", &faults->stall},
                 {"pause", &faults->pause},
                 {"shuffle", &faults->shuffle},
                 {"corrupt", &faults->corrupt},
                 {"origin-down", &faults->origin_down},
                 {"change", &faults->change},
                 {"shared", &faults->shared},
                 {"part", &faults->partition}};
    char *next;
    for (char *item = strtok_r(text, ",", &next); item; item = strtok_r(NULL, ",", &next)) {
        char *equals = strchr(item, '=');
        double share = equals ? strtod(equals + 1, NULL) : -1;
        bool found = false;
        if (equals)
            *equals = 0;
        for (size_t i = 0; i < sizeof known / sizeof known[0]; i++) {
            if (strcmp(item, known[i].name) != 0)
                continue;
            found = true;
            *known[i].share = share;
        }
        if (!found || !(share >= 0 && share <= 1))
            argp_error(state, "--faults: `%s` is not a known fault with a share from 0 to 1", item);
    }
}

static void parse_seeds(struct scenario_run *run, const char *text, struct argp_state *state)
{
    int end = 0;
    int fields =
        sscanf(text, "%" SCNu64 "..%" SCNu64 "%n", &run->first_seed, &run->last_seed, &end);
    if (fields != 2 || text[end] || run->first_seed > run->last_seed)
        argp_error(state, "--seeds must be A..B");
}

static enum fleet_mutation parse_mutation(const char *text, struct argp_state *state)
{
    enum fleet_mutation mutation = FLEET_MUTATION_NONE;
    if (!fleet_mutation_find(text, &mutation))
        argp_error(state, "unknown mutation `%s`", text);
    return mutation;
}

static balance_choose *parse_balance(const char *text, struct argp_state *state)
{
    if (strcmp(text, "round-robin") == 0)
        return balance_round_robin;
    if (strcmp(text, "random") == 0)
        return balance_random;
    if (strcmp(text, "two-choices") != 0)
        argp_error(state, "unknown load balancing algorithm `%s`", text);
    return balance_two_choices;
}

static error_t parse_scenario_option(int key, char *argument, struct argp_state *state)
{
    struct scenario_run *run = &((struct simulate_options *)state->input)->scenario;
    switch (key) {
    case KEY_SCENARIO:
        run->scenario = argument;
        break;
    case KEY_SEEDS:
        parse_seeds(run, argument, state);
        break;
    case KEY_FLEET:
        run->fleet = argument;
        break;
    case KEY_MUTATION:
        run->mutation = parse_mutation(argument, state);
        break;
    case KEY_KEEP_FAULTS:
        run->enabled_faults = strtoull(argument, NULL, 0);
        break;
    case KEY_LARGE_TENANT:
        run->large_tenant_share = parse_positive(argument, state);
        break;
    case KEY_SLOW_ENGINES:
        run->slow_engine_share = parse_positive(argument, state);
        break;
    case KEY_BALANCE:
        run->balance = parse_balance(argument, state);
        break;
    case KEY_GATEWAYS:
        run->gateways = (uint32_t)parse_count(argument, 1000, state);
        break;
    case KEY_ENGINES:
        run->engines = (uint32_t)parse_count(argument, 5000, state);
        break;
    case KEY_RATE:
        run->rate = parse_positive(argument, state);
        break;
    case KEY_SECONDS:
        run->seconds = parse_positive(argument, state);
        break;
    case KEY_RECORD:
        run->record = argument;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct simulate_options *options = state->input;
    struct rollout_options *rollout = &options->rollout;
    switch (key) {
    case KEY_MACHINES:
        rollout->machines = (uint32_t)parse_count(argument, 20000, state);
        break;
    case KEY_ZONES:
        rollout->zones = (uint32_t)parse_count(argument, 1000, state);
        break;
    case KEY_REGIONS:
        rollout->regions = (uint32_t)parse_count(argument, 16, state);
        break;
    case KEY_MODEL_BYTES:
        rollout->model_bytes = parse_count(argument, 1ULL << 50, state);
        break;
    case KEY_CHUNK_BYTES:
        rollout->chunk_bytes = parse_count(argument, 1ULL << 40, state);
        break;
    case KEY_ORIGIN_COPIES:
        rollout->origin_copies_per_window = parse_positive(argument, state);
        break;
    case KEY_MACHINE_COPIES:
        rollout->machine_copies_per_window = parse_positive(argument, state);
        break;
    case KEY_WINDOW:
        rollout->window_seconds = parse_positive(argument, state);
        break;
    case KEY_STRATEGY:
        rollout->strategy = parse_strategy(argument, state);
        break;
    case KEY_BUDGET:
        options->budget = (uint32_t)parse_count(argument, SWARM_GLOBAL_RANKS, state);
        break;
    case KEY_SEED:
        rollout->seed = strtoull(argument, NULL, 10);
        break;
    case KEY_FAULTS:
        parse_faults(&rollout->faults, argument, state);
        break;
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        break;
    case KEY_NEIGHBOURS:
        options->neighbours = (uint32_t)parse_count(argument, SWARM_MAX_NEIGHBOURS / 2, state);
        break;
    case KEY_DOWNLOADS:
        options->downloads = (uint32_t)parse_count(argument, 64, state);
        break;
    case KEY_UPLOADS:
        options->uploads = (uint32_t)parse_count(argument, 256, state);
        break;
    case KEY_ANNOUNCE:
        options->announce_ms = parse_count(argument, 60000, state);
        break;
    case KEY_LIMIT:
        rollout->limit_windows = parse_positive(argument, state);
        break;
    case ARGP_KEY_END:
        if (rollout->model_bytes / rollout->chunk_bytes > 65536)
            argp_error(state, "more than 65536 chunks");
        if (rollout->regions > rollout->zones)
            argp_error(state, "more regions than zones");
        break;
    default:
        return parse_scenario_option(key, argument, state);
    }
    return 0;
}

static void apply_swarm_overrides(struct simulate_options *options)
{
    struct swarm_settings *swarm = &options->rollout.swarm;
    *swarm = rollout_swarm_settings(&options->rollout);
    if (options->budget)
        swarm->origin_budget = options->budget;
    if (options->neighbours)
        swarm->neighbours = options->neighbours;
    if (options->downloads)
        swarm->download_window = options->downloads;
    if (options->uploads)
        swarm->upload_limit = options->uploads;
    if (options->announce_ms)
        swarm->announce_us = options->announce_ms * 1000;
}

void simulate_options_parse(struct simulate_options *options, int argc, char **argv)
{
    static const char doc[] =
        "Simulate a rollout of weights, or a fleet under faults, on a virtual clock.\v"
        "The same arguments give the same output; the wall time goes to standard error. Exit "
        "status 0, 1 when a version was loaded partial or mixed, 2 for wrong usage, 3 when the "
        "rollout did not finish.";
    struct argp argp = {option_list, parse_option, NULL, doc, NULL, NULL, NULL};
    *options = (struct simulate_options){
        .rollout = rollout_options_default(),
        .scenario = {
            .fleet = "brief", .first_seed = 1, .last_seed = 20, .enabled_faults = UINT64_MAX}};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, options);
    if (!options->scenario.scenario)
        apply_swarm_overrides(options);
    options->scenario.json = options->json;
}

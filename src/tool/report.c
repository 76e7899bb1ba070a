#include "tool/report.h"

#include "base/clock.h"
#include "base/memory.h"
#include "tool/burn.h"
#include "tool/report_page.h"
#include "tool/tool.h"

#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_ADDRESSES 64
#define MAX_LINE_BYTES (1 << 20)

enum report_key {
    KEY_OBJECTIVES = 1000,
    KEY_EVERY,
    KEY_FOR,
    KEY_RECORD,
    KEY_FROM,
    KEY_WINDOWS,
    KEY_OUTPUT
};

struct report_options {
    const char *addresses[MAX_ADDRESSES];
    uint32_t address_count;
    const char *objectives;
    double interval_s; /* between samples */
    double duration_s;
    const char *record_path;    /* recording to append to, or NULL */
    const char *recording_path; /* recording to read instead of gateways, or NULL */
    double windows[BURN_MAX_WINDOWS];
    uint32_t window_count;
    const char *output;
};

/* ---- Samples ---- */

static json_t *sample_gateways(const struct report_options *options)
{
    json_t *nodes = json_object();
    for (uint32_t i = 0; i < options->address_count; i++) {
        char *text = tool_get_text(options->addresses[i], "/metrics");
        if (text)
            json_object_set_new(nodes, options->addresses[i], burn_parse_metrics(text));
        else
            fprintf(stderr, "shuntrun report: %s\n", status_message());
        free(text);
    }
    return json_pack("{s:I, s:o}", "time_ms", (json_int_t)(clock_monotonic_us() / 1000), "nodes",
                     nodes);
}

static void write_sample(FILE *record, const json_t *sample)
{
    if (!record)
        return;
    json_dumpf(sample, record, JSON_COMPACT);
    fputc('\n', record);
    fflush(record);
}

static json_t *collect_samples(const struct report_options *options, FILE *record)
{
    json_t *samples = json_array();
    uint32_t count = (uint32_t)(options->duration_s / options->interval_s) + 1;
    for (uint32_t i = 0; i < count; i++) {
        json_t *sample = sample_gateways(options);
        write_sample(record, sample);
        json_array_append_new(samples, sample);
        if (i + 1 < count)
            usleep((useconds_t)(options->interval_s * 1e6));
    }
    return samples;
}

static json_t *read_recording(const char *path)
{
    FILE *stream = fopen(path, "r");
    if (!stream) {
        perror(path);
        return NULL;
    }
    json_t *samples = json_array();
    char *line = memory_calloc(MAX_LINE_BYTES, 1);
    for (int number = 1; samples && fgets(line, MAX_LINE_BYTES, stream); number++) {
        json_t *sample = json_loads(line, 0, NULL);
        if (json_is_object(json_object_get(sample, "nodes"))) {
            json_array_append_new(samples, sample);
            continue;
        }
        fprintf(stderr, "%s:%d: error: line is not a JSON object with `nodes`\n", path, number);
        json_decref(sample);
        json_decref(samples);
        samples = NULL;
    }
    free(line);
    fclose(stream);
    return samples;
}

/* ---- Output ---- */

static json_t *burn_to_json(const struct burn_objective *burn)
{
    json_t *windows = json_array();
    for (uint32_t i = 0; i < burn->window_count; i++)
        json_array_append_new(windows,
                              json_pack("{s:f, s:I, s:f, s:f}", "seconds", burn->windows[i].seconds,
                                        "requests", (json_int_t)burn->windows[i].requests,
                                        "availability_burn", burn->windows[i].availability_burn,
                                        "latency_burn", burn->windows[i].latency_burn));
    return json_pack("{s:s, s:s, s:f, s:i, s:I, s:I, s:I, s:I, s:f, s:o}", "service",
                     burn->objective.service, "tenant", burn->objective.tenant, "availability",
                     burn->objective.availability, "first_token_ms", burn->objective.first_token_ms,
                     "requests", (json_int_t)burn->requests, "bad", (json_int_t)burn->bad,
                     "first_tokens", (json_int_t)burn->first_tokens, "slow", (json_int_t)burn->slow,
                     "budget_left", burn->budget_left, "windows", windows);
}

static void print_text(const struct burn_objective *burn)
{
    printf("%s %s: %" PRIu64 " requests, %" PRIu64 " bad, %" PRIu64 " of %" PRIu64
           " first tokens slow, %.1f %% of the error budget left\n",
           burn->objective.service, burn->objective.tenant[0] ? burn->objective.tenant : "(all)",
           burn->requests, burn->bad, burn->slow, burn->first_tokens, 100 * burn->budget_left);
    for (uint32_t i = 0; i < burn->window_count; i++)
        printf("  last %6.0f s: availability burn %.2f, first-token burn %.2f\n",
               burn->windows[i].seconds, burn->windows[i].availability_burn,
               burn->windows[i].latency_burn);
}

static void print_report(const struct report_options *options, const struct burn_objective *burns,
                         uint32_t count)
{
    if (strcmp(options->output, "html") == 0) {
        report_page_print(stdout, burns, count);
        return;
    }
    json_t *list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(options->output, "json") == 0)
            json_array_append_new(list, burn_to_json(&burns[i]));
        else
            print_text(&burns[i]);
    }
    if (strcmp(options->output, "json") == 0)
        tool_print_json(list);
    else
        json_decref(list);
}

static void report_objectives(const struct report_options *options,
                              const struct fleet_config *config, const json_t *samples)
{
    struct burn_objective *burns = memory_calloc(config->objective_count, sizeof *burns);
    for (uint32_t i = 0; i < config->objective_count; i++)
        burns[i] =
            burn_compute(&config->objectives[i], samples, options->windows, options->window_count);
    print_report(options, burns, config->objective_count);
    for (uint32_t i = 0; i < config->objective_count; i++)
        burn_clear(&burns[i]);
    free(burns);
}

/* ---- Options ---- */

static void parse_windows(struct report_options *options, char *text, struct argp_state *state)
{
    char *next;
    options->window_count = 0;
    for (char *item = strtok_r(text, ",", &next); item; item = strtok_r(NULL, ",", &next)) {
        double seconds = strtod(item, NULL);
        if (!(seconds > 0) || options->window_count == BURN_MAX_WINDOWS)
            argp_error(state, "--windows takes 1 to %d lengths in seconds", BURN_MAX_WINDOWS);
        options->windows[options->window_count++] = seconds;
    }
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct report_options *options = state->input;
    switch (key) {
    case KEY_OBJECTIVES:
        options->objectives = argument;
        break;
    case KEY_EVERY:
        options->interval_s = strtod(argument, NULL);
        break;
    case KEY_FOR:
        options->duration_s = strtod(argument, NULL);
        break;
    case KEY_RECORD:
        options->record_path = argument;
        break;
    case KEY_FROM:
        options->recording_path = argument;
        break;
    case KEY_WINDOWS:
        parse_windows(options, argument, state);
        break;
    case KEY_OUTPUT:
        options->output = argument;
        if (strcmp(argument, "text") && strcmp(argument, "json") && strcmp(argument, "html"))
            argp_error(state, "--output must be text, json or html");
        break;
    case ARGP_KEY_ARG:
        if (options->address_count == MAX_ADDRESSES)
            argp_error(state, "at most %d addresses are allowed", MAX_ADDRESSES);
        options->addresses[options->address_count++] = argument;
        break;
    case ARGP_KEY_END:
        if (!options->objectives || (!options->recording_path && !options->address_count))
            argp_error(state, "--objectives, and gateways or --from, are required");
        if (!(options->interval_s > 0) || !(options->duration_s >= 0))
            argp_error(state, "--every must be above 0, and --for at least 0");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static json_t *get_samples(const struct report_options *options)
{
    if (options->recording_path)
        return read_recording(options->recording_path);
    FILE *record = NULL;
    if (options->record_path && !(record = fopen(options->record_path, "a"))) {
        perror(options->record_path);
        return NULL;
    }
    json_t *samples = collect_samples(options, record);
    if (record)
        fclose(record);
    return samples;
}

int report_main(int argc, char **argv)
{
    static const struct argp_option list[] = {
        {"objectives", KEY_OBJECTIVES, "FILE", 0, "fleet configuration with the objectives", 0},
        {"every", KEY_EVERY, "S", 0, "seconds between samples (1)", 0},
        {"for", KEY_FOR, "S", 0, "seconds to sample (10)", 0},
        {"record", KEY_RECORD, "FILE", 0, "append the samples to a recording", 0},
        {"from", KEY_FROM, "FILE", 0, "read a recording instead of running gateways", 0},
        {"windows", KEY_WINDOWS, "S,...", 0, "windows of the burn rates in seconds (60,300,3600)",
         0},
        {"output", KEY_OUTPUT, "FORMAT", 0, "text, json or html (text)", 0},
        {0}};
    static const char doc[] =
        "Report for each service-level objective the burn rates over several windows, and the "
        "error "
        "budget left.\v"
        "Samples the counters of the gateways given as IP:PORT, or reads a recording. Exit status: "
        "0 success, 1 a file has errors, 2 usage error.";
    struct report_options options = {.interval_s = 1,
                                     .duration_s = 10,
                                     .windows = {60, 300, 3600},
                                     .window_count = 3,
                                     .output = "text"};
    struct argp argp = {list, parse_option, "[GATEWAY...]", doc, NULL, NULL, NULL};
    struct tool_config config;
    struct findings findings = {0};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    bool valid = tool_read_config(options.objectives, &config, &findings) == STATUS_OK;
    findings_print(&findings, stderr);
    findings_clear(&findings);
    json_t *samples = valid ? get_samples(&options) : NULL;
    if (samples)
        report_objectives(&options, &config.config, samples);
    json_decref(samples);
    tool_clear_config(&config);
    curl_global_cleanup();
    return valid && samples ? 0 : 1;
}

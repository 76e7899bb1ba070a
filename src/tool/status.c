#include "tool/status.h"

#include "base/memory.h"
#include "tool/tool.h"

#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define KEY_FOLLOW 'f'
#define KEY_OUTPUT 1000
#define MAX_ADDRESSES 64
#define REFRESH_SECONDS 1
#define BAR_WIDTH 24
#define CLEAR_SCREEN "\033[H\033[2J"

struct status_options {
    const char *addresses[MAX_ADDRESSES];
    uint32_t address_count;
    bool follow;
    bool json;
};

/** Progress of one version of a model in one zone. */
struct progress {
    char model[64];
    char version[64];
    char zone[64];
    uint32_t machines;
    uint32_t ready;
    uint64_t chunks;
    uint64_t held;
};

struct progress_list {
    struct progress *items;
    uint32_t count;
};

static struct progress *progress_of(struct progress_list *list, const char *model,
                                    const char *version, const char *zone)
{
    for (uint32_t i = 0; i < list->count; i++)
        if (strcmp(list->items[i].model, model) == 0 &&
            strcmp(list->items[i].version, version) == 0 && strcmp(list->items[i].zone, zone) == 0)
            return &list->items[i];
    list->items = memory_realloc(list->items, (list->count + 1) * sizeof *list->items);
    struct progress *progress = &list->items[list->count++];
    *progress = (struct progress){0};
    snprintf(progress->model, sizeof progress->model, "%s", model);
    snprintf(progress->version, sizeof progress->version, "%s", version);
    snprintf(progress->zone, sizeof progress->zone, "%s", zone);
    return progress;
}

static const char *text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? text : "";
}

static void add_agent(struct progress_list *list, const json_t *status)
{
    size_t index;
    json_t *rollout;
    json_array_foreach(json_object_get(status, "rollouts"), index, rollout)
    {
        struct progress *progress = progress_of(
            list, text_of(rollout, "model"), text_of(rollout, "version"), text_of(status, "zone"));
        progress->machines++;
        progress->ready += strcmp(text_of(rollout, "state"), "ready") == 0;
        progress->chunks += (uint64_t)json_integer_value(json_object_get(rollout, "chunks"));
        progress->held += (uint64_t)json_integer_value(json_object_get(rollout, "held"));
    }
}

/* The machine list of the first node that answers. */
static json_t *ask_machines(const struct status_options *options)
{
    for (uint32_t i = 0; i < options->address_count; i++) {
        json_t *machines = tool_get_json(options->addresses[i], "/v1/machines");
        if (machines)
            return machines;
        fprintf(stderr, "shuntrun status: %s\n", status_message());
    }
    return NULL;
}

struct survey {
    json_t *nodes;  /* status of each that answered */
    json_t *silent; /* names of those that did not */
    struct progress_list progress;
};

static bool take_survey(const struct status_options *options, struct survey *survey)
{
    json_t *machines = ask_machines(options);
    size_t index;
    json_t *machine;
    if (!machines)
        return false;
    *survey = (struct survey){json_array(), json_array(), {0}};
    json_array_foreach(machines, index, machine)
    {
        json_t *status = tool_get_json(text_of(machine, "address"), "/v1/status");
        if (!status) {
            json_array_append(survey->silent, json_object_get(machine, "name"));
            continue;
        }
        add_agent(&survey->progress, status);
        json_array_append_new(survey->nodes, status);
    }
    json_decref(machines);
    return true;
}

static void clear_survey(struct survey *survey)
{
    json_decref(survey->nodes);
    json_decref(survey->silent);
    free(survey->progress.items);
}

static json_t *describe(const struct survey *survey)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < survey->progress.count; i++) {
        const struct progress *progress = &survey->progress.items[i];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:i, s:i, s:I, s:I}", "model", progress->model,
                            "version", progress->version, "zone", progress->zone, "machines",
                            progress->machines, "ready", progress->ready, "chunks",
                            (json_int_t)progress->chunks, "held", (json_int_t)progress->held));
    }
    return json_pack("{s:o, s:O, s:O}", "progress", list, "nodes", survey->nodes, "silent",
                     survey->silent);
}

static double share_of(const struct progress *progress)
{
    if (progress->machines && progress->ready == progress->machines)
        return 1;
    return progress->chunks ? (double)progress->held / (double)progress->chunks : 0;
}

/* Seconds left at the speed since the last look; below 0: not known. */
static double seconds_left(const struct survey *survey, const struct progress_list *last,
                           uint32_t index)
{
    const struct progress *now = &survey->progress.items[index];
    for (uint32_t i = 0; i < last->count; i++) {
        const struct progress *then = &last->items[i];
        bool same = strcmp(then->model, now->model) == 0 &&
                    strcmp(then->version, now->version) == 0 && strcmp(then->zone, now->zone) == 0;
        double gained = share_of(now) - share_of(then);
        if (same && gained > 0)
            return (1 - share_of(now)) / gained * REFRESH_SECONDS;
    }
    return -1;
}

static void print_progress(const struct survey *survey, const struct progress_list *last)
{
    for (uint32_t i = 0; i < survey->progress.count; i++) {
        const struct progress *progress = &survey->progress.items[i];
        char bar[BAR_WIDTH + 1];
        int filled = (int)(share_of(progress) * BAR_WIDTH);
        memset(bar, '.', BAR_WIDTH);
        memset(bar, '#', (size_t)filled);
        bar[BAR_WIDTH] = 0;
        printf("%-12s %-8s %-12s [%s] %3.0f %%  %u of %u ready", progress->model, progress->version,
               progress->zone, bar, 100 * share_of(progress), progress->ready, progress->machines);
        double left = seconds_left(survey, last, i);
        if (left >= 0 && progress->ready < progress->machines)
            printf("  about %.0f s left", left);
        putchar('\n');
    }
}

static void print_nodes(const struct survey *survey)
{
    size_t index;
    json_t *node;
    json_array_foreach(survey->nodes, index, node)
    {
        printf("%-16s %-8s %-12s revision %" JSON_INTEGER_FORMAT "  active %" JSON_INTEGER_FORMAT
               "%s\n",
               text_of(node, "name"), text_of(node, "role"), text_of(node, "zone"),
               json_integer_value(json_object_get(node, "config_revision")),
               json_integer_value(json_object_get(node, "active_requests")),
               json_is_true(json_object_get(node, "draining")) ? "  draining" : "");
    }
    json_array_foreach(survey->silent, index, node)
        printf("%-16s does not answer\n", json_string_value(node));
}

static bool all_ready(const struct survey *survey)
{
    bool ready = survey->progress.count > 0;
    for (uint32_t i = 0; i < survey->progress.count; i++)
        ready = ready && survey->progress.items[i].ready == survey->progress.items[i].machines;
    return ready;
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct status_options *options = state->input;
    switch (key) {
    case KEY_FOLLOW:
        options->follow = true;
        break;
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        break;
    case ARGP_KEY_ARG:
        if (options->address_count == MAX_ADDRESSES)
            argp_error(state, "more than %d addresses", MAX_ADDRESSES);
        options->addresses[options->address_count++] = argument;
        break;
    case ARGP_KEY_END:
        if (!options->address_count)
            argp_error(state, "an ADDRESS is needed");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static int show(const struct status_options *options)
{
    struct progress_list last = {0};
    bool terminal = isatty(STDOUT_FILENO);
    int exit_status = 0;
    for (;;) {
        struct survey survey;
        if (!take_survey(options, &survey)) {
            exit_status = 1;
            break;
        }
        bool over = !options->follow || all_ready(&survey);
        if (options->json) {
            tool_print_json(describe(&survey));
        } else {
            if (terminal && options->follow)
                fputs(CLEAR_SCREEN, stdout);
            print_progress(&survey, &last);
            print_nodes(&survey);
        }
        fflush(stdout);
        free(last.items);
        last = survey.progress;
        survey.progress.items = NULL;
        clear_survey(&survey);
        if (over)
            break;
        sleep(REFRESH_SECONDS);
    }
    free(last.items);
    return exit_status;
}

int status_main(int argc, char **argv)
{
    static const struct argp_option list[] = {
        {"follow", KEY_FOLLOW, NULL, 0, "refresh until every replica is ready", 0},
        {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0},
        {0}};
    static const char doc[] =
        "Show the progress of rollouts for each model and zone, and the state of each node.\v"
        "ADDRESS is the IP:PORT of any gateway or agent; the others are found through it. Exit "
        "status 0, 1 when no address answers, 2 for wrong usage.";
    struct status_options options = {0};
    struct argp argp = {list, parse_option, "ADDRESS...", doc, NULL, NULL, NULL};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int exit_status = show(&options);
    curl_global_cleanup();
    return exit_status;
}

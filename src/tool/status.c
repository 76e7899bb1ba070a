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
    uint32_t machines; /* that load or have it */
    uint32_t ready;
    uint64_t chunks;      /* of all these machines */
    uint64_t held_chunks; /* of these, present on the machines */
};

struct progress_list {
    struct progress *items;
    uint32_t count;
};

static struct progress *find_or_add_progress(struct progress_list *list, const char *model,
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

static const char *get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? text : "";
}

static void add_node_rollouts(struct progress_list *list, const json_t *status)
{
    size_t index;
    json_t *rollout;
    json_array_foreach(json_object_get(status, "rollouts"), index, rollout)
    {
        struct progress *progress =
            find_or_add_progress(list, get_text(rollout, "model"), get_text(rollout, "version"),
                                 get_text(status, "zone"));
        progress->machines++;
        progress->ready += strcmp(get_text(rollout, "state"), "ready") == 0;
        progress->chunks += (uint64_t)json_integer_value(json_object_get(rollout, "chunks"));
        progress->held_chunks += (uint64_t)json_integer_value(json_object_get(rollout, "held"));
    }
}

/* \return machine list from the first node that responds, or NULL */
static json_t *get_machines(const struct status_options *options)
{
    for (uint32_t i = 0; i < options->address_count; i++) {
        json_t *machines = tool_get_json(options->addresses[i], "/v1/machines");
        if (machines)
            return machines;
        fprintf(stderr, "shuntrun status: %s\n", status_message());
    }
    return NULL;
}

struct fleet_status {
    json_t *nodes;       /* status objects of the nodes that responded */
    json_t *unreachable; /* names of the nodes that did not respond */
    struct progress_list progress;
};

static bool query_fleet_status(const struct status_options *options, struct fleet_status *fleet)
{
    json_t *machines = get_machines(options);
    size_t index;
    json_t *machine;
    if (!machines)
        return false;
    *fleet = (struct fleet_status){json_array(), json_array(), {0}};
    json_array_foreach(machines, index, machine)
    {
        json_t *status = tool_get_json(get_text(machine, "address"), "/v1/status");
        if (!status) {
            json_array_append(fleet->unreachable, json_object_get(machine, "name"));
            continue;
        }
        add_node_rollouts(&fleet->progress, status);
        json_array_append_new(fleet->nodes, status);
    }
    json_decref(machines);
    return true;
}

static void clear_fleet_status(struct fleet_status *fleet)
{
    json_decref(fleet->nodes);
    json_decref(fleet->unreachable);
    free(fleet->progress.items);
}

static json_t *fleet_status_to_json(const struct fleet_status *fleet)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < fleet->progress.count; i++) {
        const struct progress *progress = &fleet->progress.items[i];
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:s, s:i, s:i, s:I, s:I}", "model",
                                        progress->model, "version", progress->version, "zone",
                                        progress->zone, "machines", progress->machines, "ready",
                                        progress->ready, "chunks", (json_int_t)progress->chunks,
                                        "held", (json_int_t)progress->held_chunks));
    }
    return json_pack("{s:o, s:O, s:O}", "progress", list, "nodes", fleet->nodes, "silent",
                     fleet->unreachable);
}

static double held_share(const struct progress *progress)
{
    if (progress->machines && progress->ready == progress->machines)
        return 1;
    return progress->chunks ? (double)progress->held_chunks / (double)progress->chunks : 0;
}

/* Remaining seconds at the rate since the previous refresh; negative if unknown. */
static double seconds_left(const struct fleet_status *fleet, const struct progress_list *previous,
                           uint32_t index)
{
    const struct progress *now = &fleet->progress.items[index];
    for (uint32_t i = 0; i < previous->count; i++) {
        const struct progress *before = &previous->items[i];
        bool same = strcmp(before->model, now->model) == 0 &&
                    strcmp(before->version, now->version) == 0 &&
                    strcmp(before->zone, now->zone) == 0;
        double progress_made = held_share(now) - held_share(before);
        if (same && progress_made > 0)
            return (1 - held_share(now)) / progress_made * REFRESH_SECONDS;
    }
    return -1;
}

static void print_progress(const struct fleet_status *fleet, const struct progress_list *previous)
{
    for (uint32_t i = 0; i < fleet->progress.count; i++) {
        const struct progress *progress = &fleet->progress.items[i];
        char bar[BAR_WIDTH + 1];
        int filled = (int)(held_share(progress) * BAR_WIDTH);
        memset(bar, '.', BAR_WIDTH);
        memset(bar, '#', (size_t)filled);
        bar[BAR_WIDTH] = 0;
        printf("%-12s %-8s %-12s [%s] %3.0f %%  %u of %u ready", progress->model, progress->version,
               progress->zone, bar, 100 * held_share(progress), progress->ready,
               progress->machines);
        double left = seconds_left(fleet, previous, i);
        if (left >= 0 && progress->ready < progress->machines)
            printf("  about %.0f s left", left);
        putchar('\n');
    }
}

static void print_nodes(const struct fleet_status *fleet)
{
    size_t index;
    json_t *node;
    json_array_foreach(fleet->nodes, index, node)
    {
        printf("%-16s %-8s %-12s revision %" JSON_INTEGER_FORMAT "  active %" JSON_INTEGER_FORMAT
               "%s\n",
               get_text(node, "name"), get_text(node, "role"), get_text(node, "zone"),
               json_integer_value(json_object_get(node, "config_revision")),
               json_integer_value(json_object_get(node, "active_requests")),
               json_is_true(json_object_get(node, "draining")) ? "  draining" : "");
    }
    json_array_foreach(fleet->unreachable, index, node)
        printf("%-16s does not respond\n", json_string_value(node));
}

static bool all_ready(const struct fleet_status *fleet)
{
    bool ready = fleet->progress.count > 0;
    for (uint32_t i = 0; i < fleet->progress.count; i++)
        ready = ready && fleet->progress.items[i].ready == fleet->progress.items[i].machines;
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
            argp_error(state, "at most %d addresses are allowed", MAX_ADDRESSES);
        options->addresses[options->address_count++] = argument;
        break;
    case ARGP_KEY_END:
        if (!options->address_count)
            argp_error(state, "at least one ADDRESS is required");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static int run_status(const struct status_options *options)
{
    struct progress_list previous = {0};
    bool terminal = isatty(STDOUT_FILENO);
    int exit_status = 0;
    for (;;) {
        struct fleet_status fleet;
        if (!query_fleet_status(options, &fleet)) {
            exit_status = 1;
            break;
        }
        bool finished = !options->follow || all_ready(&fleet);
        if (options->json) {
            tool_print_json(fleet_status_to_json(&fleet));
        } else {
            if (terminal && options->follow)
                fputs(CLEAR_SCREEN, stdout);
            print_progress(&fleet, &previous);
            print_nodes(&fleet);
        }
        fflush(stdout);
        free(previous.items);
        previous = fleet.progress;
        fleet.progress.items = NULL;
        clear_fleet_status(&fleet);
        if (finished)
            break;
        sleep(REFRESH_SECONDS);
    }
    free(previous.items);
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
        "ADDRESS is the IP:PORT of any gateway or agent, which lists all other nodes. Exit status: "
        "0 success, 1 no address responds, 2 usage error.";
    struct status_options options = {0};
    struct argp argp = {list, parse_option, "ADDRESS...", doc, NULL, NULL, NULL};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int exit_status = run_status(&options);
    curl_global_cleanup();
    return exit_status;
}

#include "tool/plan.h"

#include "core/placement.h"
#include "tool/tool.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEASURED_RATIO 1.03 /* time over the lower bound; docs/results/strategies.md */

enum plan_key { KEY_MACHINES = 1000, KEY_NEW_MACHINES, KEY_ORIGIN, KEY_LINK, KEY_WHY, KEY_OUTPUT };

struct plan_options {
    const char *files[2];
    uint32_t file_count;
    const char *machines;
    const char *new_machines;
    double origin_bytes_per_second;
    double link_bytes_per_second;
    const char *why;
    bool json;
};

/** One model on one machine, before and after. */
struct move {
    const struct model_config *before; /* NULL: not held */
    const struct model_config *after;
    enum placement_reason reason; /* of the new placement */
};

struct plan {
    struct tool_config old_config;
    struct tool_config new_config;
    struct fleet old_fleet;
    struct fleet new_fleet;
    struct placement old_placement;
    struct placement new_placement;
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct plan_options *options = state->input;
    switch (key) {
    case KEY_MACHINES:
        options->machines = argument;
        break;
    case KEY_NEW_MACHINES:
        options->new_machines = argument;
        break;
    case KEY_ORIGIN:
        options->origin_bytes_per_second = strtod(argument, NULL);
        break;
    case KEY_LINK:
        options->link_bytes_per_second = strtod(argument, NULL);
        break;
    case KEY_WHY:
        options->why = argument;
        break;
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        break;
    case ARGP_KEY_ARG:
        if (options->file_count == 2)
            argp_error(state, "two configurations only");
        options->files[options->file_count++] = argument;
        break;
    case ARGP_KEY_END:
        if (options->file_count != 2 || !options->machines)
            argp_error(state, "OLD, NEW and --machines are needed");
        if (!(options->origin_bytes_per_second > 0) || !(options->link_bytes_per_second > 0))
            argp_error(state, "rates must be above 0");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static bool read_plan(const struct plan_options *options, struct plan *plan,
                      struct findings *findings)
{
    const char *new_machines = options->new_machines ? options->new_machines : options->machines;
    tool_read_config(options->files[0], &plan->old_config, findings);
    tool_read_config(options->files[1], &plan->new_config, findings);
    tool_read_machines(options->machines, &plan->old_fleet, findings);
    tool_read_machines(new_machines, &plan->new_fleet, findings);
    if (findings->error_count)
        return false;
    plan->old_placement = placement_compute(&plan->old_config.config, &plan->old_fleet,
                                            plan->old_config.policy, findings);
    plan->new_placement = placement_compute(&plan->new_config.config, &plan->new_fleet,
                                            plan->new_config.policy, findings);
    return findings->error_count == 0;
}

static void clear_plan(struct plan *plan)
{
    tool_clear_config(&plan->old_config);
    tool_clear_config(&plan->new_config);
    fleet_clear(&plan->old_fleet);
    fleet_clear(&plan->new_fleet);
    placement_clear(&plan->old_placement);
    placement_clear(&plan->new_placement);
}

static const struct model_config *held(const struct tool_config *config,
                                       const struct placement *placement, const struct fleet *fleet,
                                       const char *model, uint64_t machine)
{
    int64_t index = fleet_find(fleet, machine);
    for (uint32_t i = 0; index >= 0 && i < config->config.model_count; i++)
        if (strcmp(config->config.models[i].name, model) == 0 &&
            placement_has(&placement->models[i], (uint32_t)index))
            return &config->config.models[i];
    return NULL;
}

static struct move move_of(const struct plan *plan, uint32_t model, uint32_t machine)
{
    const char *name = plan->new_config.config.models[model].name;
    uint64_t id = plan->new_fleet.machines[machine].id;
    return (struct move){
        .before = held(&plan->old_config, &plan->old_placement, &plan->old_fleet, name, id),
        .after = held(&plan->new_config, &plan->new_placement, &plan->new_fleet, name, id),
        .reason = plan->new_placement.models[model].reasons[machine],
    };
}

static bool loads(const struct move *move)
{
    return move->after &&
           (!move->before || !digest_equal(&move->before->manifest, &move->after->manifest));
}

struct model_sum {
    uint32_t loads;
    uint32_t keeps;
    uint32_t drops;
    uint64_t origin_bytes;
    double seconds;
};

static struct model_sum sum_model(const struct plan_options *options, const struct plan *plan,
                                  uint32_t model)
{
    struct model_sum sum = {0};
    const struct model_config *config = &plan->new_config.config.models[model];
    for (uint32_t machine = 0; machine < plan->new_fleet.count; machine++) {
        struct move move = move_of(plan, model, machine);
        sum.loads += loads(&move);
        sum.keeps += move.after && !loads(&move);
        sum.drops += move.before && !move.after;
    }
    if (!sum.loads)
        return sum;
    /* A machine that keeps the version can serve its chunks: the origin is not needed then. */
    bool time_weighted = plan->new_placement.models[model].weighting == ROLLOUT_TIME_WEIGHTED;
    uint32_t budget = sum.keeps ? 0 : (time_weighted ? 4 : 1);
    if (budget > sum.loads)
        budget = sum.loads;
    sum.origin_bytes = budget * config->bytes;
    double origin = budget ? (double)config->bytes / options->origin_bytes_per_second : 0;
    double links = (2.0 * sum.loads - budget) / sum.loads * (double)config->bytes /
                   options->link_bytes_per_second;
    sum.seconds = MEASURED_RATIO * (origin > links ? origin : links);
    return sum;
}

static const char *action_of(const struct move *move)
{
    if (loads(move))
        return move->before ? "replace" : "load";
    if (move->after)
        return "keep";
    return move->before ? "drop" : "none";
}

static json_t *describe_move(const struct plan *plan, uint32_t model, uint32_t machine)
{
    struct move move = move_of(plan, model, machine);
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "machine", plan->new_fleet.machines[machine].name,
        "zone", plan->new_fleet.machines[machine].zone, "model",
        plan->new_config.config.models[model].name, "action", action_of(&move), "from",
        move.before ? move.before->version : "", "to", move.after ? move.after->version : "", "why",
        placement_reason_text(move.reason));
}

static bool is_told(const struct plan_options *options, const struct plan *plan, uint32_t model,
                    uint32_t machine)
{
    struct move move = move_of(plan, model, machine);
    if (options->why)
        return strcmp(options->why, plan->new_fleet.machines[machine].name) == 0;
    const char *action = action_of(&move);
    return strcmp(action, "none") != 0 && strcmp(action, "keep") != 0;
}

static json_t *describe_plan(const struct plan_options *options, const struct plan *plan)
{
    json_t *moves = json_array();
    json_t *models = json_array();
    for (uint32_t model = 0; model < plan->new_config.config.model_count; model++) {
        struct model_sum sum = sum_model(options, plan, model);
        json_array_append_new(
            models, json_pack("{s:s, s:s, s:i, s:i, s:i, s:I, s:f}", "model",
                              plan->new_config.config.models[model].name, "version",
                              plan->new_config.config.models[model].version, "load", sum.loads,
                              "keep", sum.keeps, "drop", sum.drops, "origin_bytes",
                              (json_int_t)sum.origin_bytes, "expected_seconds", sum.seconds));
        for (uint32_t machine = 0; machine < plan->new_fleet.count; machine++)
            if (is_told(options, plan, model, machine))
                json_array_append_new(moves, describe_move(plan, model, machine));
    }
    return json_pack("{s:o, s:o}", "models", models, "machines", moves);
}

static const char *text_of(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

static void print_text(const json_t *plan)
{
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(plan, "machines"), index, item)
        printf("%-20s %-12s %-10s %-8s %s -> %s (%s)\n", text_of(item, "machine"),
               text_of(item, "zone"), text_of(item, "model"), text_of(item, "action"),
               text_of(item, "from")[0] ? text_of(item, "from") : "-",
               text_of(item, "to")[0] ? text_of(item, "to") : "-", text_of(item, "why"));
    json_array_foreach(json_object_get(plan, "models"), index, item)
        printf("%s %s: %" JSON_INTEGER_FORMAT " load, %" JSON_INTEGER_FORMAT
               " keep, %" JSON_INTEGER_FORMAT " drop; origin %.3f GB, about %.0f s\n",
               text_of(item, "model"), text_of(item, "version"),
               json_integer_value(json_object_get(item, "load")),
               json_integer_value(json_object_get(item, "keep")),
               json_integer_value(json_object_get(item, "drop")),
               (double)json_integer_value(json_object_get(item, "origin_bytes")) / 1e9,
               json_number_value(json_object_get(item, "expected_seconds")));
}

int plan_main(int argc, char **argv)
{
    static const struct argp_option list[] = {
        {"machines", KEY_MACHINES, "FILE", 0, "machine list", 0},
        {"new-machines", KEY_NEW_MACHINES, "FILE", 0, "machine list after the change", 0},
        {"origin-rate", KEY_ORIGIN, "BYTES", 0, "bytes a second of the origin's link (2e9)", 0},
        {"link-rate", KEY_LINK, "BYTES", 0, "bytes a second of a machine's link (1e9)", 0},
        {"why", KEY_WHY, "MACHINE", 0, "say for one machine why each model is or is not there", 0},
        {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0},
        {0}};
    static const char doc[] =
        "Say what a new configuration would move, for each machine and in sum.\v"
        "The expected time is the lower bound of the links times the ratio measured on the "
        "simulator. Exit status 0, 1 when a file has errors, 2 for wrong usage.";
    struct plan_options options = {.origin_bytes_per_second = 2e9, .link_bytes_per_second = 1e9};
    struct argp argp = {list, parse_option, "OLD NEW", doc, NULL, NULL, NULL};
    struct plan plan = {0};
    struct findings findings = {0};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    bool good = read_plan(&options, &plan, &findings);
    findings_print(&findings, stderr);
    if (good) {
        json_t *described = describe_plan(&options, &plan);
        if (options.json) {
            tool_print_json(described);
        } else {
            print_text(described);
            json_decref(described);
        }
    }
    findings_clear(&findings);
    clear_plan(&plan);
    return good ? 0 : 1;
}

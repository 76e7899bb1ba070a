#include "tool/plan.h"

#include "core/placement.h"
#include "tool/tool.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Ratio of the load time in simulations to its lower bound; docs/results/strategies.md. */
#define LOAD_TIME_BOUND_RATIO 1.03
/* Full copies of a model that the origin sends when no machine has its chunks: the origin budget
 * that agent/rollout.c sets. */
#define ORIGIN_COPIES 1
#define ORIGIN_COPIES_TIME_WEIGHTED 4

enum plan_key { KEY_MACHINES = 1000, KEY_NEW_MACHINES, KEY_ORIGIN, KEY_LINK, KEY_WHY, KEY_OUTPUT };

struct plan_options {
    const char *files[2];
    uint32_t file_count;
    const char *machines;
    const char *new_machines;
    double origin_bytes_per_second;
    double link_bytes_per_second;
    const char *why_machine; /* list only this machine, with all models; NULL: list changes */
    bool json;
};

/** One model on one machine, under the old and the new configuration. */
struct placement_change {
    const struct model_config *before; /* NULL: the machine does not hold the model */
    const struct model_config *after;  /* the same */
    enum placement_reason reason;      /* in the new placement */
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
        options->why_machine = argument;
        break;
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        break;
    case ARGP_KEY_ARG:
        if (options->file_count == 2)
            argp_error(state, "exactly two configurations are required");
        options->files[options->file_count++] = argument;
        break;
    case ARGP_KEY_END:
        if (options->file_count != 2 || !options->machines)
            argp_error(state, "OLD, NEW and --machines are required");
        if (!(options->origin_bytes_per_second > 0) || !(options->link_bytes_per_second > 0))
            argp_error(state, "--origin-rate and --link-rate must be above 0");
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

static const struct model_config *find_held_model(const struct tool_config *config,
                                                  const struct placement *placement,
                                                  const struct fleet *fleet, const char *model,
                                                  uint64_t machine)
{
    int64_t index = fleet_find(fleet, machine);
    for (uint32_t i = 0; index >= 0 && i < config->config.model_count; i++)
        if (strcmp(config->config.models[i].name, model) == 0 &&
            placement_has(&placement->models[i], (uint32_t)index))
            return &config->config.models[i];
    return NULL;
}

static struct placement_change get_change(const struct plan *plan, uint32_t model, uint32_t machine)
{
    const char *name = plan->new_config.config.models[model].name;
    uint64_t id = plan->new_fleet.machines[machine].id;
    return (struct placement_change){
        .before =
            find_held_model(&plan->old_config, &plan->old_placement, &plan->old_fleet, name, id),
        .after =
            find_held_model(&plan->new_config, &plan->new_placement, &plan->new_fleet, name, id),
        .reason = plan->new_placement.models[model].reasons[machine],
    };
}

/* A version with the same manifest has the same chunks, so nothing is loaded. */
static bool needs_load(const struct placement_change *change)
{
    return change->after &&
           (!change->before || !digest_equal(&change->before->manifest, &change->after->manifest));
}

/** Changes of one model over all machines. */
struct model_summary {
    uint32_t loads;
    uint32_t keeps;
    uint32_t drops;
    uint64_t origin_bytes;
    double expected_seconds; /* until all machines that load it are ready */
};

static struct model_summary summarize_model(const struct plan_options *options,
                                            const struct plan *plan, uint32_t model)
{
    struct model_summary sum = {0};
    const struct model_config *config = &plan->new_config.config.models[model];
    for (uint32_t machine = 0; machine < plan->new_fleet.count; machine++) {
        struct placement_change change = get_change(plan, model, machine);
        sum.loads += needs_load(&change);
        sum.keeps += change.after && !needs_load(&change);
        sum.drops += change.before && !change.after;
    }
    if (!sum.loads)
        return sum;
    /* Machines that keep the version serve its chunks, so the origin is not used then. */
    bool time_weighted = plan->new_placement.models[model].weighting == ROLLOUT_TIME_WEIGHTED;
    uint32_t origin_copies =
        sum.keeps ? 0 : (time_weighted ? ORIGIN_COPIES_TIME_WEIGHTED : ORIGIN_COPIES);
    if (origin_copies > sum.loads)
        origin_copies = sum.loads;
    sum.origin_bytes = origin_copies * config->bytes;
    double origin_seconds =
        origin_copies ? (double)config->bytes / options->origin_bytes_per_second : 0;
    double link_seconds = (2.0 * sum.loads - origin_copies) / sum.loads * (double)config->bytes /
                          options->link_bytes_per_second;
    sum.expected_seconds =
        LOAD_TIME_BOUND_RATIO * (origin_seconds > link_seconds ? origin_seconds : link_seconds);
    return sum;
}

static const char *action_name(const struct placement_change *change)
{
    if (needs_load(change))
        return change->before ? "replace" : "load";
    if (change->after)
        return "keep";
    return change->before ? "drop" : "none";
}

static json_t *change_to_json(const struct plan *plan, uint32_t model, uint32_t machine)
{
    struct placement_change change = get_change(plan, model, machine);
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "machine", plan->new_fleet.machines[machine].name,
        "zone", plan->new_fleet.machines[machine].zone, "model",
        plan->new_config.config.models[model].name, "action", action_name(&change), "from",
        change.before ? change.before->version : "", "to",
        change.after ? change.after->version : "", "why", placement_reason_text(change.reason));
}

static bool is_listed(const struct plan_options *options, const struct plan *plan, uint32_t model,
                      uint32_t machine)
{
    struct placement_change change = get_change(plan, model, machine);
    if (options->why_machine)
        return strcmp(options->why_machine, plan->new_fleet.machines[machine].name) == 0;
    const char *action = action_name(&change);
    return strcmp(action, "none") != 0 && strcmp(action, "keep") != 0;
}

static json_t *plan_to_json(const struct plan_options *options, const struct plan *plan)
{
    json_t *moves = json_array();
    json_t *models = json_array();
    for (uint32_t model = 0; model < plan->new_config.config.model_count; model++) {
        struct model_summary sum = summarize_model(options, plan, model);
        json_array_append_new(models,
                              json_pack("{s:s, s:s, s:i, s:i, s:i, s:I, s:f}", "model",
                                        plan->new_config.config.models[model].name, "version",
                                        plan->new_config.config.models[model].version, "load",
                                        sum.loads, "keep", sum.keeps, "drop", sum.drops,
                                        "origin_bytes", (json_int_t)sum.origin_bytes,
                                        "expected_seconds", sum.expected_seconds));
        for (uint32_t machine = 0; machine < plan->new_fleet.count; machine++)
            if (is_listed(options, plan, model, machine))
                json_array_append_new(moves, change_to_json(plan, model, machine));
    }
    return json_pack("{s:o, s:o}", "models", models, "machines", moves);
}

static const char *get_text(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

static void print_text(const json_t *plan)
{
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(plan, "machines"), index, item)
        printf("%-20s %-12s %-10s %-8s %s -> %s (%s)\n", get_text(item, "machine"),
               get_text(item, "zone"), get_text(item, "model"), get_text(item, "action"),
               get_text(item, "from")[0] ? get_text(item, "from") : "-",
               get_text(item, "to")[0] ? get_text(item, "to") : "-", get_text(item, "why"));
    json_array_foreach(json_object_get(plan, "models"), index, item)
        printf("%s %s: %" JSON_INTEGER_FORMAT " load, %" JSON_INTEGER_FORMAT
               " keep, %" JSON_INTEGER_FORMAT " drop; origin %.3f GB, about %.0f s\n",
               get_text(item, "model"), get_text(item, "version"),
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
        {"origin-rate", KEY_ORIGIN, "BYTES", 0, "bytes per second of the origin's link (2e9)", 0},
        {"link-rate", KEY_LINK, "BYTES", 0, "bytes per second of a machine's link (1e9)", 0},
        {"why", KEY_WHY, "MACHINE", 0,
         "explain for one machine why each model is or is not placed on it", 0},
        {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0},
        {0}};
    static const char doc[] =
        "Show what a new configuration would load or drop, for each machine and in total.\v"
        "The expected time is the lower bound given by the link rates, times the ratio of load "
        "time "
        "to this bound in the simulator. Exit status: 0 success, 1 a file has errors, 2 usage "
        "error.";
    struct plan_options options = {.origin_bytes_per_second = 2e9, .link_bytes_per_second = 1e9};
    struct argp argp = {list, parse_option, "OLD NEW", doc, NULL, NULL, NULL};
    struct plan plan = {0};
    struct findings findings = {0};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    bool valid = read_plan(&options, &plan, &findings);
    findings_print(&findings, stderr);
    if (valid) {
        json_t *described = plan_to_json(&options, &plan);
        if (options.json) {
            tool_print_json(described);
        } else {
            print_text(described);
            json_decref(described);
        }
    }
    findings_clear(&findings);
    clear_plan(&plan);
    return valid ? 0 : 1;
}

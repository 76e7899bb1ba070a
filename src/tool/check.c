#include "tool/check.h"

#include "base/memory.h"
#include "base/settings.h"
#include "core/placement.h"
#include "tool/tool.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define KEY_MACHINES 1000
#define KEY_OUTPUT 1001
#define KEY_ROLE 1002
#define MAX_FILES 256

struct check_options {
    const char *files[MAX_FILES];
    uint32_t file_count;
    const char *machines;
    enum setting_role role;
    bool json;
};

static bool ends_with(const char *text, const char *end)
{
    size_t length = strlen(text);
    size_t end_length = strlen(end);
    return length >= end_length && strcmp(text + length - end_length, end) == 0;
}

/* Used for dry runs of policies when no machine list is given. */
static struct fleet placeholder_fleet(void)
{
    struct fleet fleet = {memory_calloc(1, sizeof *fleet.machines), 1};
    struct machine *machine = &fleet.machines[0];
    strcpy(machine->name, "sample");
    strcpy(machine->zone, "zone");
    strcpy(machine->region, "region");
    machine->accelerators = 8;
    return fleet;
}

/* Calls every function of the policy for each model, machine or tenant that it applies to. */
static void dry_run_policy(struct policy *policy, const struct fleet_config *config,
                           const struct fleet *fleet, struct findings *findings)
{
    struct placement placement = placement_compute(config, fleet, policy, findings);
    struct fleet_summary summary = fleet_summarize(fleet);
    for (uint32_t i = 0; i < placement.model_count; i++) {
        if (!placement.models[i].target_count && fleet->count > 1)
            findings_add(findings, FINDING_WARNING, config->models[i].name,
                         "no machine is eligible for this model");
        else if (placement.models[i].target_count < placement.models[i].wanted && fleet->count > 1)
            findings_add(findings, FINDING_WARNING, config->models[i].name,
                         "%u replicas are wanted, but only %u machines can hold the model",
                         placement.models[i].wanted, placement.models[i].target_count);
    }
    placement_clear(&placement);
    for (uint32_t i = 0; i < config->tenant_count; i++)
        policy_tenant_order(policy, &config->tenants[i], findings);
    for (uint32_t i = 0; i < fleet->count; i++)
        policy_may_leave(policy, &fleet->machines[i], &summary, findings);
}

static struct fleet_config placeholder_config(struct model_config *model,
                                              struct tenant_config *tenant)
{
    *model = (struct model_config){.name = "sample", .version = "v1", .accelerators = 1};
    *tenant = (struct tenant_config){.name = "sample", .weight = 1};
    return (struct fleet_config){
        .models = model, .model_count = 1, .tenants = tenant, .tenant_count = 1};
}

static void check_policy(const char *path, const struct fleet *fleet, struct findings *findings)
{
    char *text;
    size_t size;
    struct model_config model;
    struct tenant_config tenant;
    struct fleet_config config = placeholder_config(&model, &tenant);
    if (tool_read_file(path, &text, &size) != STATUS_OK) {
        findings_add(findings, FINDING_ERROR, path, "%s", status_message());
        return;
    }
    struct policy *policy = policy_create(path, text, findings);
    free(text);
    if (policy)
        dry_run_policy(policy, &config, fleet, findings);
    policy_destroy(policy);
}

static void check_config(const char *path, const struct fleet *fleet, struct findings *findings)
{
    struct tool_config config;
    struct model_config model;
    struct tenant_config tenant;
    struct fleet_config sample = placeholder_config(&model, &tenant);
    bool valid = tool_read_config(path, &config, findings) == STATUS_OK;
    /* Runs the policy of an invalid configuration as well, so that all findings are reported at
     * once. */
    if (config.policy)
        dry_run_policy(config.policy, valid ? &config.config : &sample, fleet, findings);
    tool_clear_config(&config);
}

static void check_settings(const char *path, enum setting_role role, struct findings *findings)
{
    char *arguments[] = {"check", "--settings", (char *)path, NULL};
    struct settings settings;
    settings_read(role, 3, arguments, &settings, findings);
    settings_clear(&settings);
}

static bool is_machine_list(const char *path)
{
    json_t *root = json_load_file(path, 0, NULL);
    bool list = json_object_get(root, "machines") != NULL;
    json_decref(root);
    return list;
}

static void check_file(const struct check_options *options, const char *path,
                       const struct fleet *fleet, struct findings *findings)
{
    struct fleet machines = {0};
    if (ends_with(path, ".lua")) {
        check_policy(path, fleet, findings);
    } else if (!ends_with(path, ".json")) {
        check_settings(path, options->role, findings);
    } else if (is_machine_list(path)) {
        tool_read_machines(path, &machines, findings);
        fleet_clear(&machines);
    } else {
        check_config(path, fleet, findings);
    }
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct check_options *options = state->input;
    switch (key) {
    case KEY_MACHINES:
        options->machines = argument;
        break;
    case KEY_ROLE:
        if (strcmp(argument, "gateway") != 0 && strcmp(argument, "agent") != 0)
            argp_error(state, "--role must be agent or gateway");
        options->role =
            strcmp(argument, "gateway") == 0 ? SETTING_ROLE_GATEWAY : SETTING_ROLE_AGENT;
        break;
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        break;
    case ARGP_KEY_ARG:
        if (options->file_count == MAX_FILES)
            argp_error(state, "at most %d files are allowed", MAX_FILES);
        options->files[options->file_count++] = argument;
        break;
    case ARGP_KEY_END:
        if (!options->file_count)
            argp_error(state, "at least one FILE is required");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int check_main(int argc, char **argv)
{
    static const struct argp_option list[] = {
        {"machines", KEY_MACHINES, "FILE", 0, "machine list for dry runs of policies", 0},
        {"role", KEY_ROLE, "ROLE", 0, "role of settings files: agent or gateway (agent)", 0},
        {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0},
        {0}};
    static const char doc[] =
        "Check policies (.lua), fleet configurations and machine lists (.json), and settings files "
        "(any other name).\v"
        "All findings are reported at once, as `place: severity: text`. Exit status: 0 no errors, "
        "1 errors found, 2 usage error.";
    struct check_options options = {.role = SETTING_ROLE_AGENT};
    struct argp argp = {list, parse_option, "FILE...", doc, NULL, NULL, NULL};
    struct findings findings = {0};
    struct fleet fleet = {0};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (!options.machines || tool_read_machines(options.machines, &fleet, &findings) != STATUS_OK)
        fleet = placeholder_fleet();
    for (uint32_t i = 0; i < options.file_count; i++)
        check_file(&options, options.files[i], &fleet, &findings);
    if (options.json)
        tool_print_json(tool_findings_json(&findings));
    else
        findings_print(&findings, stdout);
    int exit_status = findings.error_count ? 1 : 0;
    findings_clear(&findings);
    fleet_clear(&fleet);
    return exit_status;
}

#include "sim/scenario_run.h"

#include "sim/session.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum status scenario_options(const struct scenario_run *run, const char *scenario, uint64_t seed,
                             struct fleet_sim_options *options)
{
    *options = fleet_sim_options_default();
    options->scenario = fleet_scenario_find(scenario);
    options->seed = seed;
    options->enabled_faults = run->enabled_faults;
    options->fenced = seed % 2 == 0; /* every range of seeds covers fenced and unfenced services */
    options->mutation = run->mutation;
    if (!options->scenario)
        return status_fail(STATUS_NOT_FOUND, "unknown scenario `%s`", scenario);
    if (strcmp(run->fleet, "large") == 0) {
        options->engines = 285;
        options->services = 8;
        options->zones = 6;
        options->rate = 100;
    } else if (strcmp(run->fleet, "small") == 0) {
        options->gateways = 2;
        options->engines = 3;
        options->services = 2;
        options->tenants = 2;
        options->seconds = 5;
        options->rate = 3;
    } else if (strcmp(run->fleet, "matchmaking") == 0) {
        options->region_delay_us = 2000;
        options->client_delay_us = 3000;
    } else if (strcmp(run->fleet, "brief") != 0) {
        return status_fail(STATUS_NOT_FOUND, "unknown fleet `%s`", run->fleet);
    }
    if (run->gateways)
        options->gateways = run->gateways;
    if (run->engines)
        options->engines = run->engines;
    options->large_tenant_share = run->large_tenant_share;
    options->slow_engine_share = run->slow_engine_share;
    options->balance = run->balance;
    if (run->rate > 0)
        options->rate = run->rate;
    if (run->seconds > 0)
        options->seconds = run->seconds;
    return STATUS_OK;
}

/* ---- one scenario over its seeds ---- */

struct totals {
    uint64_t runs;
    uint64_t failed;
    uint64_t violations[INVARIANT_COUNT];
    uint64_t submitted;
    uint64_t done;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t broken;
    uint64_t replayed;
    uint64_t faults;
    uint64_t events;
    uint64_t requests;
    uint64_t large_requests;
    uint64_t large_done;
    double goodput; /* sum over the runs, model requests per second */
    struct histogram latency;
    uint64_t peak_platform_calls;
    double peak_control_bytes;
};

static void add_result(struct totals *totals, const struct fleet_sim_options *options,
                       const struct fleet_sim_result *result)
{
    totals->requests += result->requests;
    totals->large_requests += result->large_requests;
    totals->large_done += result->large_done;
    totals->goodput += (double)result->done_in_time / options->seconds;
    histogram_merge(&totals->latency, &result->latency);
    totals->runs++;
    totals->failed += result->violation_count > 0;
    for (uint64_t i = 0; i < result->violation_count && i < CHECKER_MAX_VIOLATIONS; i++)
        totals->violations[result->violations[i].invariant]++;
    totals->submitted += result->submitted;
    totals->done += result->done;
    totals->not_run += result->not_run;
    totals->unknown += result->unknown;
    totals->broken += result->broken;
    totals->replayed += result->replayed;
    totals->faults += result->fault_count;
    totals->events += result->events;
    if (result->peak_platform_calls > totals->peak_platform_calls)
        totals->peak_platform_calls = result->peak_platform_calls;
    if (result->control_bytes_per_node_per_second > totals->peak_control_bytes)
        totals->peak_control_bytes = result->control_bytes_per_node_per_second;
}

static void report_failure(const struct scenario_run *run, const struct fleet_sim_options *options,
                           const struct fleet_sim_result *result)
{
    uint64_t needed_faults = fleet_shrink(options);
    struct fleet_sim_options smaller = *options;
    smaller.enabled_faults = needed_faults;
    struct fleet_sim_result shortest = fleet_simulate(&smaller);
    fprintf(stderr, "%s seed %" PRIu64 ": %" PRIu64 " violations; faults that reproduce them:\n",
            options->scenario->name, options->seed, result->violation_count);
    for (uint32_t i = 0; i < shortest.fault_count; i++)
        if (needed_faults >> i & 1)
            fprintf(stderr, "  %.6f s: %s, machine or zone %u, for %.3f s\n",
                    (double)shortest.faults[i].at / 1e6, fleet_fault_name(shortest.faults[i].kind),
                    shortest.faults[i].machine, (double)shortest.faults[i].duration / 1e6);
    for (uint64_t i = 0; i < shortest.violation_count && i < CHECKER_MAX_VIOLATIONS; i++)
        fprintf(stderr, "  %.6f s: %s: %s\n", (double)shortest.violations[i].time / 1e6,
                invariant_name(shortest.violations[i].invariant), shortest.violations[i].text);
    fprintf(stderr,
            "  reproduce with: shuntrun simulate --scenario %s --seeds %" PRIu64 "..%" PRIu64
            " --fleet %s --mutation %s --keep-faults 0x%" PRIx64 " --record FILE\n",
            options->scenario->name, options->seed, options->seed, run->fleet,
            fleet_mutation_name(options->mutation), needed_faults);
}

static double quantile_ms(const struct totals *totals, double share)
{
    return (double)histogram_quantile(&totals->latency, share) / 1000;
}

static json_t *describe_totals(const char *scenario, const struct totals *totals)
{
    json_t *violations = json_object();
    for (int i = 0; i < INVARIANT_COUNT; i++)
        json_object_set_new(violations, invariant_name((enum invariant)i),
                            json_integer((json_int_t)totals->violations[i]));
    return json_pack("{s:s, s:I, s:I, s:o, "
                     "s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
                     "s:f, s:f, s:f, s:f, s:I, s:f}",
                     "scenario", scenario, "runs", (json_int_t)totals->runs, "failed",
                     (json_int_t)totals->failed, "violations", violations, "attempts",
                     (json_int_t)totals->submitted, "done", (json_int_t)totals->done, "not_run",
                     (json_int_t)totals->not_run, "unknown", (json_int_t)totals->unknown, "broken",
                     (json_int_t)totals->broken, "replayed", (json_int_t)totals->replayed, "faults",
                     (json_int_t)totals->faults, "events", (json_int_t)totals->events, "requests",
                     (json_int_t)totals->requests, "large_tenant_requests",
                     (json_int_t)totals->large_requests, "large_tenant_done",
                     (json_int_t)totals->large_done, "model_goodput_per_second",
                     totals->goodput / (double)(totals->runs ? totals->runs : 1), "p50_ms",
                     quantile_ms(totals, 0.5), "p95_ms", quantile_ms(totals, 0.95), "p99_ms",
                     quantile_ms(totals, 0.99), "greatest_platform_calls_per_second",
                     (json_int_t)totals->peak_platform_calls,
                     "greatest_control_bytes_per_node_per_second", totals->peak_control_bytes);
}

static void print_totals(const char *scenario, const struct totals *totals)
{
    printf("%-9s %" PRIu64 " runs, %" PRIu64 " failed; %" PRIu64 " faults; %" PRIu64
           " attempts: %" PRIu64 " done, %" PRIu64 " not run, %" PRIu64 " unknown, %" PRIu64
           " broken; %" PRIu64 " replayed; platform at most %" PRIu64
           " calls/s; control at most %.0f B/s a node\n",
           scenario, totals->runs, totals->failed, totals->faults, totals->submitted, totals->done,
           totals->not_run, totals->unknown, totals->broken, totals->replayed,
           totals->peak_platform_calls, totals->peak_control_bytes);
}

static enum status run_scenario(const struct scenario_run *run, const char *scenario,
                                struct totals *totals)
{
    bool explained = false;
    for (uint64_t seed = run->first_seed; seed <= run->last_seed; seed++) {
        struct fleet_sim_options options;
        enum status status = scenario_options(run, scenario, seed, &options);
        if (status != STATUS_OK)
            return status;
        struct fleet_sim_result result = fleet_simulate(&options);
        add_result(totals, &options, &result);
        if (result.violation_count && !explained)
            report_failure(run, &options, &result);
        explained = explained || result.violation_count;
    }
    return STATUS_OK;
}

static void report_scenario(const struct scenario_run *run, const char *scenario,
                            const struct totals *totals, json_t *reports)
{
    if (run->json)
        json_array_append_new(reports, describe_totals(scenario, totals));
    else
        print_totals(scenario, totals);
    fflush(stdout);
}

static int record_session(const struct scenario_run *run)
{
    FILE *stream = fopen(run->record, "w");
    if (!stream) {
        perror(run->record);
        return 2;
    }
    session_record(run, run->scenario, run->first_seed, stream);
    fclose(stream);
    return 0;
}

int scenario_run(const struct scenario_run *run)
{
    bool all = strcmp(run->scenario, "all") == 0;
    json_t *reports = json_array();
    uint64_t failed = 0;
    int exit_status = 0;
    for (const struct fleet_scenario *scenario = fleet_scenarios(); scenario->name; scenario++) {
        struct totals totals = {0};
        if (!all && strcmp(scenario->name, run->scenario) != 0)
            continue;
        if (run_scenario(run, scenario->name, &totals) != STATUS_OK)
            exit_status = 2;
        report_scenario(run, scenario->name, &totals, reports);
        failed += totals.failed;
    }
    if (!all && !fleet_scenario_find(run->scenario)) {
        status_fail(STATUS_NOT_FOUND, "unknown scenario `%s`", run->scenario);
        exit_status = 2;
    }
    if (exit_status)
        fprintf(stderr, "shuntrun simulate: %s\n", status_message());
    else if (run->record)
        exit_status = all ? 2 : record_session(run);
    if (run->json) {
        char *text = json_dumps(reports, JSON_INDENT(2));
        puts(text);
        free(text);
    }
    json_decref(reports);
    return exit_status ? exit_status : failed > 0;
}

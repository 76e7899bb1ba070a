#include "sim/simulate.h"

#include "base/clock.h"
#include "sim/simulate_options.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static json_t *seconds_or_null(bool known, double seconds)
{
    return known ? json_real(seconds) : json_null();
}

static void print_json(const struct rollout_options *options, const struct rollout_result *result)
{
    json_t *report = json_pack(
        "{s:i, s:s, s:I, s:f, s:o, s:o, s:f, s:s, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:I, s:I, "
        "s:I, "
        "s:i, "
        "s:i, s:I, s:b, s:s}",
        "machines", options->machines, "strategy", simulate_strategy_name(options->strategy),
        "seed", (json_int_t)options->seed, "window_seconds", options->window_seconds,
        "time_to_half_seconds",
        seconds_or_null(result->time_to_half_seconds > 0, result->time_to_half_seconds),
        "time_to_n_seconds", seconds_or_null(result->finished, result->time_to_n_seconds),
        "lower_bound_seconds", result->lower_bound_seconds, "lower_bound",
        "max(one copy / origin rate, (2N - K) copies / (N x machine rate))", "origin_bytes",
        (json_int_t)result->origin_bytes, "origin_bytes_newest",
        (json_int_t)result->origin_bytes_newest, "peer_bytes", (json_int_t)result->peer_bytes,
        "model_bytes", (json_int_t)options->model_bytes, "chunks_rejected",
        (json_int_t)result->chunks_rejected, "control_bytes_per_machine_per_second",
        result->control_bytes_per_machine_per_second, "greatest_control_bytes_per_second",
        result->max_control_bytes_per_second, "timeouts", (json_int_t)result->timeouts, "refusals",
        (json_int_t)result->refusals, "events", (json_int_t)result->events, "survivors",
        result->survivors, "serving", result->serving, "violations", (json_int_t)result->violations,
        "finished", result->finished, "reason", result->reason);
    char *text = json_dumps(report, JSON_INDENT(2) | JSON_REAL_PRECISION(9));
    puts(text);
    free(text);
    json_decref(report);
}

static void print_text(const struct rollout_options *options, const struct rollout_result *result)
{
    printf("%s, %u machines, seed %" PRIu64 "\n", simulate_strategy_name(options->strategy),
           options->machines, options->seed);
    if (result->finished)
        printf("all %u survivors serve after %.2f s (half after %.2f s); lower bound %.2f s, "
               "ratio %.3f\n",
               result->survivors, result->time_to_n_seconds, result->time_to_half_seconds,
               result->lower_bound_seconds,
               result->time_to_n_seconds / result->lower_bound_seconds);
    else
        printf("not finished: %s; %u of %u survivors serve\n", result->reason, result->serving,
               result->survivors);
    printf("origin %.3f copies, peers %.3f copies, %" PRIu64 " chunks rejected\n",
           (double)result->origin_bytes / (double)options->model_bytes,
           (double)result->peer_bytes / (double)options->model_bytes, result->chunks_rejected);
    printf("control %.0f bytes/s a machine (greatest %.0f), %" PRIu64 " timeouts, %" PRIu64
           " refusals, %" PRIu64 " events, %" PRIu64 " violations\n",
           result->control_bytes_per_machine_per_second, result->max_control_bytes_per_second,
           result->timeouts, result->refusals, result->events, result->violations);
}

static void print_wall_time(uint64_t started)
{
    fprintf(stderr, "wall time %.2f s\n", (double)(clock_monotonic_us() - started) / 1e6);
}

int simulate_main(int argc, char **argv)
{
    struct simulate_options options;
    simulate_options_parse(&options, argc, argv);
    uint64_t started = clock_monotonic_us();
    if (options.scenario.scenario) {
        int exit_status = scenario_run(&options.scenario);
        print_wall_time(started);
        return exit_status;
    }
    struct rollout_result result = rollout_simulate(&options.rollout);
    print_wall_time(started);
    if (options.json)
        print_json(&options.rollout, &result);
    else
        print_text(&options.rollout, &result);
    if (result.violations)
        return 1;
    return result.finished ? 0 : 3;
}

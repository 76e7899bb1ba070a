#include "sim/session.h"

#include <argp.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_FORMAT                                                                              \
    "shuntrun-session scenario=%s fleet=%s seed=%" PRIu64 " mutation=%s keep-faults=%" PRIx64 "\n"
#define LINE_SIZE 512

struct fleet_sim_result session_record(const struct scenario_run *run, const char *scenario,
                                       uint64_t seed, FILE *stream)
{
    struct fleet_sim_options options;
    if (scenario_options(run, scenario, seed, &options) != STATUS_OK)
        abort(); /* the caller has validated the names */
    options.trace = stream;
    fprintf(stream, HEADER_FORMAT, scenario, run->fleet, seed, fleet_mutation_name(run->mutation),
            run->enabled_faults);
    struct fleet_sim_result result = fleet_simulate(&options);
    fprintf(stream,
            "attempts=%" PRIu64 " done=%" PRIu64 " not-run=%" PRIu64 " unknown=%" PRIu64
            " broken=%" PRIu64 " violations=%" PRIu64 "\n",
            result.submitted, result.done, result.not_run, result.unknown, result.broken,
            result.violation_count);
    for (uint64_t i = 0; i < result.violation_count && i < CHECKER_MAX_VIOLATIONS; i++)
        fprintf(stream, "violation %s: %s\n", invariant_name(result.violations[i].invariant),
                result.violations[i].text);
    return result;
}

struct session_header {
    char scenario[64];
    char fleet[32];
    char mutation[32];
    struct scenario_run run;
};

static bool read_header(FILE *stream, struct session_header *header)
{
    char line[LINE_SIZE];
    if (!fgets(line, sizeof line, stream))
        return false;
    int fields = sscanf(line,
                        "shuntrun-session scenario=%63s fleet=%31s seed=%" SCNu64
                        " mutation=%31s keep-faults=%" SCNx64,
                        header->scenario, header->fleet, &header->run.first_seed, header->mutation,
                        &header->run.enabled_faults);
    struct fleet_sim_options options;
    header->run.fleet = header->fleet;
    return fields == 5 && fleet_mutation_find(header->mutation, &header->run.mutation) &&
           scenario_options(&header->run, header->scenario, header->run.first_seed, &options) ==
               STATUS_OK;
}

/* \return number of the first line that differs, 0 when none does */
static long compare_streams(FILE *recorded, FILE *again)
{
    char left[LINE_SIZE];
    char right[LINE_SIZE];
    for (long line = 1;; line++) {
        bool more_left = fgets(left, sizeof left, recorded) != NULL;
        bool more_right = fgets(right, sizeof right, again) != NULL;
        if (!more_left && !more_right)
            return 0;
        if (more_left && more_right && strcmp(left, right) == 0)
            continue;
        fprintf(stderr, "line %ld differs\n  recorded: %s  replayed: %s", line,
                more_left ? left : "(end)\n", more_right ? right : "(end)\n");
        return line;
    }
}

static int replay_stream(FILE *recorded, bool print)
{
    struct session_header header = {{0}, {0}, {0}, {0}};
    if (!read_header(recorded, &header)) {
        fputs("line 1: not a recorded session\n", stderr);
        return 2;
    }
    char *text = NULL;
    size_t size = 0;
    FILE *again = open_memstream(&text, &size);
    session_record(&header.run, header.scenario, header.run.first_seed, again);
    fclose(again);
    if (print)
        fwrite(text, 1, size, stdout);
    again = fmemopen(text, size, "r");
    rewind(recorded);
    long different = compare_streams(recorded, again);
    fclose(again);
    free(text);
    if (!different)
        fputs("the replayed session is the same\n", stderr);
    return different ? 1 : 0;
}

struct replay_options {
    const char *file;
    bool print;
};

static error_t parse_replay(int key, char *argument, struct argp_state *state)
{
    struct replay_options *options = state->input;
    if (key == 'p')
        options->print = true;
    else if (key == ARGP_KEY_ARG && !options->file)
        options->file = argument;
    else if (key == ARGP_KEY_END && !options->file)
        argp_error(state, "a FILE is needed");
    else if (key == ARGP_KEY_ARG)
        argp_error(state, "one FILE only");
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

int replay_main(int argc, char **argv)
{
    static const struct argp_option list[] = {
        {"print", 'p', NULL, 0, "print the session as it runs", 0}, {0}};
    static const char doc[] =
        "Run a recorded session again, event by event, and compare.\v"
        "Sessions are recorded by `shuntrun simulate --scenario NAME --seeds N..N --record FILE`. "
        "Exit status 0 when the session is the same, 1 when a line differs, 2 for wrong input.";
    struct replay_options options = {0};
    struct argp argp = {list, parse_replay, "FILE", doc, NULL, NULL, NULL};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    FILE *recorded = fopen(options.file, "r");
    if (!recorded) {
        perror(options.file);
        return 2;
    }
    int exit_status = replay_stream(recorded, options.print);
    fclose(recorded);
    return exit_status;
}

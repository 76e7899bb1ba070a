#include "tool/burn.h"

#include "base/memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LABEL_SIZE 64 /* bytes with the terminator; the scan formats below read 63 */

/* ---- Parsing of metrics ---- */

static json_t *find_or_add_row(json_t *rows, const char *service, const char *tenant)
{
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        if (strcmp(json_string_value(json_object_get(row, "service")), service) == 0 &&
            strcmp(json_string_value(json_object_get(row, "tenant")), tenant) == 0)
            return row;
    }
    row = json_pack("{s:s, s:s, s:i, s:i, s:i, s:[]}", "service", service, "tenant", tenant, "done",
                    0, "not_run", 0, "unknown", 0, "first_token");
    json_array_append_new(rows, row);
    return row;
}

static void parse_outcome(json_t *rows, const char *line)
{
    char service[LABEL_SIZE];
    char tenant[LABEL_SIZE];
    char outcome[LABEL_SIZE];
    long long count;
    int fields = sscanf(line,
                        "shuntrun_service_requests_total{service=\"%63[^\"]\",tenant=\"%63[^\"]\","
                        "outcome=\"%63[^\"]\"} %lld",
                        service, tenant, outcome, &count);
    if (fields != 4)
        return;
    if (strcmp(outcome, "not-run") == 0)
        strcpy(outcome, "not_run");
    json_object_set_new(find_or_add_row(rows, service, tenant), outcome, json_integer(count));
}

static void parse_bucket(json_t *rows, const char *line)
{
    char service[LABEL_SIZE];
    char tenant[LABEL_SIZE];
    char bound[LABEL_SIZE];
    long long count;
    int fields = sscanf(line,
                        "shuntrun_first_token_seconds_bucket{service=\"%63[^\"]\","
                        "tenant=\"%63[^\"]\",le=\"%63[^\"]\"} %lld",
                        service, tenant, bound, &count);
    if (fields != 4)
        return;
    json_array_append_new(json_object_get(find_or_add_row(rows, service, tenant), "first_token"),
                          json_integer(count));
}

json_t *burn_parse_metrics(const char *text)
{
    json_t *rows = json_array();
    for (const char *line = text; line && *line;) {
        parse_outcome(rows, line);
        parse_bucket(rows, line);
        line = strchr(line, '\n');
        line += line != NULL;
    }
    return json_pack("{s:o}", "rows", rows);
}

/* ---- Burn rates ---- */

/* Sums over the rows of one node that an objective covers. */
struct objective_counts {
    uint64_t requests;
    uint64_t bad;
    uint64_t first_tokens;
    uint64_t slow;
};

static uint64_t get_count(const json_t *row, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(row, key));
}

static void add_first_tokens(const json_t *row, uint32_t bound_ms, struct objective_counts *counts)
{
    const json_t *buckets = json_object_get(row, "first_token");
    uint32_t within = 0;
    while (within < FIRST_TOKEN_BUCKETS && first_token_bounds_ms[within] < bound_ms)
        within++;
    uint64_t all = (uint64_t)json_integer_value(json_array_get(buckets, FIRST_TOKEN_BUCKETS));
    uint64_t good = (uint64_t)json_integer_value(json_array_get(buckets, within));
    counts->first_tokens += all;
    counts->slow += all - good;
}

static struct objective_counts sum_node_rows(const json_t *node,
                                             const struct objective_config *objective)
{
    struct objective_counts counts = {0};
    size_t index;
    json_t *row;
    json_array_foreach(json_object_get(node, "rows"), index, row)
    {
        const char *service = json_string_value(json_object_get(row, "service"));
        const char *tenant = json_string_value(json_object_get(row, "tenant"));
        bool covered = service && tenant && strcmp(service, objective->service) == 0 &&
                       (!objective->tenant[0] || strcmp(tenant, objective->tenant) == 0);
        if (!covered)
            continue;
        uint64_t bad = get_count(row, "not_run") + get_count(row, "unknown");
        counts.bad += bad;
        counts.requests += get_count(row, "done") + bad;
        add_first_tokens(row, objective->first_token_ms, &counts);
    }
    return counts;
}

static uint64_t counter_increase(uint64_t now, uint64_t then)
{
    return now >= then ? now - then : now;
}

static struct burn_interval interval_between(const json_t *before, const json_t *after,
                                             const struct objective_config *objective)
{
    struct burn_interval interval = {0};
    const char *name;
    json_t *node;
    json_object_foreach(json_object_get(after, "nodes"), name, node)
    {
        const json_t *old = json_object_get(json_object_get(before, "nodes"), name);
        struct objective_counts now = sum_node_rows(node, objective);
        struct objective_counts then = sum_node_rows(old, objective);
        bool restarted = now.requests < then.requests;
        if (restarted)
            then = (struct objective_counts){0};
        interval.requests += counter_increase(now.requests, then.requests);
        interval.bad += counter_increase(now.bad, then.bad);
        interval.first_tokens += counter_increase(now.first_tokens, then.first_tokens);
        interval.slow += counter_increase(now.slow, then.slow);
    }
    return interval;
}

static double burn_rate(uint64_t bad, uint64_t all, double allowed)
{
    return all ? (double)bad / (double)all / allowed : 0;
}

static struct burn_window sum_window(const struct burn_objective *burn, double seconds)
{
    struct burn_window window = {.seconds = seconds};
    uint64_t bad = 0;
    uint64_t first_tokens = 0;
    uint64_t slow = 0;
    double end = burn->interval_count ? burn->intervals[burn->interval_count - 1].seconds : 0;
    for (uint32_t i = 0; i < burn->interval_count; i++) {
        const struct burn_interval *interval = &burn->intervals[i];
        if (interval->seconds <= end - seconds)
            continue;
        window.requests += interval->requests;
        bad += interval->bad;
        first_tokens += interval->first_tokens;
        slow += interval->slow;
    }
    window.availability_burn = burn_rate(bad, window.requests, 1 - burn->objective.availability);
    window.latency_burn = burn_rate(slow, first_tokens, 1 - BURN_LATENCY_TARGET);
    return window;
}

struct burn_objective burn_compute(const struct objective_config *objective, const json_t *samples,
                                   const double *windows, uint32_t window_count)
{
    struct burn_objective burn = {.objective = *objective};
    size_t count = json_array_size(samples);
    double first = json_number_value(json_object_get(json_array_get(samples, 0), "time_ms"));
    burn.intervals = memory_calloc(count, sizeof *burn.intervals);
    for (size_t i = 1; i < count; i++) {
        const json_t *after = json_array_get(samples, i);
        struct burn_interval interval =
            interval_between(json_array_get(samples, i - 1), after, objective);
        interval.seconds = (json_number_value(json_object_get(after, "time_ms")) - first) / 1000;
        burn.intervals[burn.interval_count++] = interval;
        burn.requests += interval.requests;
        burn.bad += interval.bad;
        burn.first_tokens += interval.first_tokens;
        burn.slow += interval.slow;
    }
    burn.budget_left = 1 - burn_rate(burn.bad, burn.requests, 1 - objective->availability);
    for (uint32_t i = 0; i < window_count && i < BURN_MAX_WINDOWS; i++)
        burn.windows[burn.window_count++] = sum_window(&burn, windows[i]);
    return burn;
}

void burn_clear(struct burn_objective *burn)
{
    free(burn->intervals);
    *burn = (struct burn_objective){0};
}

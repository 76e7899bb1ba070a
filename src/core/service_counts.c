#include "core/service_counts.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

const uint32_t first_token_bounds_ms[FIRST_TOKEN_BUCKETS] = {10,  25,  50,   100,  200,  400,
                                                             600, 840, 1500, 3000, 6000, 12000};

struct service_row *service_counts_row(struct service_counts *counts, const char *service,
                                       const char *tenant)
{
    for (uint32_t i = 0; i < counts->count; i++)
        if (strcmp(counts->rows[i].service, service) == 0 &&
            strcmp(counts->rows[i].tenant, tenant) == 0)
            return &counts->rows[i];
    if (counts->count == SERVICE_COUNTS_ROWS) {
        struct service_row *last = &counts->rows[SERVICE_COUNTS_ROWS - 1];
        strcpy(last->service, "other");
        strcpy(last->tenant, "other");
        return last;
    }
    struct service_row *row = &counts->rows[counts->count++];
    *row = (struct service_row){0};
    snprintf(row->service, sizeof row->service, "%s", service);
    snprintf(row->tenant, sizeof row->tenant, "%s", tenant);
    return row;
}

void service_row_add_first_token(struct service_row *row, uint64_t microseconds)
{
    uint32_t bucket = 0;
    while (bucket < FIRST_TOKEN_BUCKETS && microseconds > first_token_bounds_ms[bucket] * 1000ULL)
        bucket++;
    row->first_token[bucket]++;
}

static void format_row(FILE *stream, const struct service_row *row)
{
    for (int outcome = OUTCOME_DONE; outcome <= OUTCOME_UNKNOWN; outcome++)
        fprintf(stream,
                "shuntrun_service_requests_total{service=\"%s\",tenant=\"%s\",outcome=\"%s\"} "
                "%" PRIu64 "\n",
                row->service, row->tenant, outcome_name((enum outcome)outcome),
                row->outcomes[outcome]);
    uint64_t sum = 0;
    for (uint32_t i = 0; i <= FIRST_TOKEN_BUCKETS; i++) {
        char bound[16] = "+Inf";
        if (i < FIRST_TOKEN_BUCKETS)
            snprintf(bound, sizeof bound, "%g", first_token_bounds_ms[i] / 1000.0);
        sum += row->first_token[i];
        fprintf(stream,
                "shuntrun_first_token_seconds_bucket{service=\"%s\",tenant=\"%s\",le=\"%s\"} "
                "%" PRIu64 "\n",
                row->service, row->tenant, bound, sum);
    }
}

char *service_counts_format(const struct service_counts *counts)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    fputs("# HELP shuntrun_service_requests_total requests by service, tenant and outcome\n"
          "# TYPE shuntrun_service_requests_total counter\n"
          "# HELP shuntrun_first_token_seconds time until the first token\n"
          "# TYPE shuntrun_first_token_seconds histogram\n",
          stream);
    for (uint32_t i = 0; i < counts->count; i++)
        format_row(stream, &counts->rows[i]);
    fclose(stream);
    return text;
}

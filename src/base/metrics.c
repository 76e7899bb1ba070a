#include "base/metrics.h"

#include "base/memory.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/* Counters of one thread. Blocks are never freed, so that the sums include finished threads. */
struct counter_block {
    uint64_t counts[METRIC_COUNTER_COUNT];
    struct counter_block *next;
};

static struct counter_block *all_blocks;
static pthread_mutex_t blocks_lock = PTHREAD_MUTEX_INITIALIZER;
static _Thread_local struct counter_block *thread_block;
static uint64_t gauges[METRIC_GAUGE_COUNT];

/* Upper bounds of the buckets in microseconds; a last bucket counts larger values. */
static const uint64_t bucket_bounds[] = {1000,   2500,   5000,   10000,  25000,   50000,   100000,
                                         200000, 300000, 400000, 600000, 1000000, 2500000, 6000000};
#define BUCKET_COUNT (sizeof bucket_bounds / sizeof bucket_bounds[0])

struct duration_counts {
    uint64_t buckets[BUCKET_COUNT + 1];
    uint64_t sum_us;
};

static struct duration_counts durations[METRIC_HISTOGRAM_COUNT];

struct series {
    const char *name;
    const char *help;
};

#define METRIC_SERIES(identifier, name, help) {name, help},
static const struct series counter_series[] = {METRIC_COUNTERS(METRIC_SERIES)};
static const struct series gauge_series[] = {METRIC_GAUGES(METRIC_SERIES)};
static const struct series histogram_series[] = {METRIC_HISTOGRAMS(METRIC_SERIES)};
#undef METRIC_SERIES

static struct counter_block *counter_block_of_thread(void)
{
    if (thread_block)
        return thread_block;
    thread_block = memory_calloc(1, sizeof *thread_block);
    pthread_mutex_lock(&blocks_lock);
    thread_block->next = all_blocks;
    ck_pr_store_ptr(&all_blocks, thread_block);
    pthread_mutex_unlock(&blocks_lock);
    return thread_block;
}

void metric_add(enum metric_counter counter, uint64_t amount)
{
    struct counter_block *block = counter_block_of_thread();
    ck_pr_store_64(&block->counts[counter], block->counts[counter] + amount);
}

void metric_gauge_set(enum metric_gauge gauge, uint64_t value)
{
    ck_pr_store_64(&gauges[gauge], value);
}

void metric_observe(enum metric_histogram histogram, uint64_t microseconds)
{
    size_t bucket = 0;
    while (bucket < BUCKET_COUNT && microseconds > bucket_bounds[bucket])
        bucket++;
    ck_pr_inc_64(&durations[histogram].buckets[bucket]);
    ck_pr_add_64(&durations[histogram].sum_us, microseconds);
}

uint64_t metric_read(enum metric_counter counter)
{
    uint64_t sum = 0;
    for (struct counter_block *block = ck_pr_load_ptr(&all_blocks); block; block = block->next)
        sum += ck_pr_load_64(&block->counts[counter]);
    return sum;
}

static void print_header(FILE *stream, const struct series *series, const char *type)
{
    if (!series->help[0])
        return;
    int length = (int)strcspn(series->name, "{");
    fprintf(stream, "# HELP %.*s %s\n# TYPE %.*s %s\n", length, series->name, series->help, length,
            series->name, type);
}

static void print_histogram(FILE *stream, enum metric_histogram histogram)
{
    const struct series *series = &histogram_series[histogram];
    const struct duration_counts *counts = &durations[histogram];
    uint64_t total = 0;
    print_header(stream, series, "histogram");
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        total += ck_pr_load_64(&counts->buckets[i]);
        fprintf(stream, "%s_bucket{le=\"%g\"} %llu\n", series->name, (double)bucket_bounds[i] / 1e6,
                (unsigned long long)total);
    }
    total += ck_pr_load_64(&counts->buckets[BUCKET_COUNT]);
    fprintf(stream, "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %.6f\n%s_count %llu\n", series->name,
            (unsigned long long)total, series->name, (double)ck_pr_load_64(&counts->sum_us) / 1e6,
            series->name, (unsigned long long)total);
}

char *metrics_format_prometheus(size_t *length)
{
    char *text = NULL;
    FILE *stream = open_memstream(&text, length);
    for (int i = 0; i < METRIC_COUNTER_COUNT; i++) {
        print_header(stream, &counter_series[i], "counter");
        fprintf(stream, "%s %llu\n", counter_series[i].name,
                (unsigned long long)metric_read((enum metric_counter)i));
    }
    for (int i = 0; i < METRIC_GAUGE_COUNT; i++) {
        print_header(stream, &gauge_series[i], "gauge");
        fprintf(stream, "%s %llu\n", gauge_series[i].name,
                (unsigned long long)ck_pr_load_64(&gauges[i]));
    }
    for (int i = 0; i < METRIC_HISTOGRAM_COUNT; i++)
        print_histogram(stream, (enum metric_histogram)i);
    fclose(stream);
    return text;
}

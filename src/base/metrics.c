#include "base/metrics.h"

#include "base/memory.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/* Counters of one thread. Blocks are never freed: a finished thread's counts stay in the sums. */
struct counter_block {
    uint64_t counts[METRIC_COUNTER_COUNT];
    struct counter_block *next;
};

static struct counter_block *all_blocks;
static pthread_mutex_t blocks_lock = PTHREAD_MUTEX_INITIALIZER;
static _Thread_local struct counter_block *own_block;
static uint64_t gauges[METRIC_GAUGE_COUNT];

struct series {
    const char *name;
    const char *help;
};

#define METRIC_SERIES(identifier, name, help) {name, help},
static const struct series counter_series[] = {METRIC_COUNTERS(METRIC_SERIES)};
static const struct series gauge_series[] = {METRIC_GAUGES(METRIC_SERIES)};
#undef METRIC_SERIES

static struct counter_block *block_of_thread(void)
{
    if (own_block)
        return own_block;
    own_block = memory_zero(1, sizeof *own_block);
    pthread_mutex_lock(&blocks_lock);
    own_block->next = all_blocks;
    ck_pr_store_ptr(&all_blocks, own_block);
    pthread_mutex_unlock(&blocks_lock);
    return own_block;
}

void metric_add(enum metric_counter counter, uint64_t amount)
{
    struct counter_block *block = block_of_thread();
    ck_pr_store_64(&block->counts[counter], block->counts[counter] + amount);
}

void metric_gauge_set(enum metric_gauge gauge, uint64_t value)
{
    ck_pr_store_64(&gauges[gauge], value);
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

char *metrics_format(size_t *length)
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
    fclose(stream);
    return text;
}

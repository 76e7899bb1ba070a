#include "base/histogram.h"

#include <math.h>

#define BUCKET_GROWTH_FACTOR 1.02

void histogram_add(struct histogram *histogram, uint64_t microseconds)
{
    double bucket = log((double)(microseconds ? microseconds : 1)) / log(BUCKET_GROWTH_FACTOR);
    uint32_t index = bucket < HISTOGRAM_BUCKETS - 1 ? (uint32_t)bucket : HISTOGRAM_BUCKETS - 1;
    histogram->counts[index]++;
    histogram->total++;
    if (microseconds > histogram->maximum)
        histogram->maximum = microseconds;
}

void histogram_merge(struct histogram *histogram, const struct histogram *other)
{
    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
        histogram->counts[i] += other->counts[i];
    histogram->total += other->total;
    if (other->maximum > histogram->maximum)
        histogram->maximum = other->maximum;
}

uint64_t histogram_quantile(const struct histogram *histogram, double quantile)
{
    uint64_t target_rank = (uint64_t)ceil(quantile * (double)histogram->total);
    uint64_t cumulative = 0;
    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS && histogram->total; i++) {
        cumulative += histogram->counts[i];
        if (cumulative < target_rank || !cumulative)
            continue;
        uint64_t upper = (uint64_t)pow(BUCKET_GROWTH_FACTOR, i + 1);
        return upper < histogram->maximum ? upper : histogram->maximum;
    }
    return histogram->maximum;
}

#include "base/histogram.h"

#include <math.h>

#define GROWTH 1.02

void histogram_add(struct histogram *histogram, uint64_t microseconds)
{
    double bucket = log((double)(microseconds ? microseconds : 1)) / log(GROWTH);
    uint32_t index = bucket < HISTOGRAM_BUCKETS - 1 ? (uint32_t)bucket : HISTOGRAM_BUCKETS - 1;
    histogram->counts[index]++;
    histogram->total++;
    if (microseconds > histogram->greatest)
        histogram->greatest = microseconds;
}

void histogram_merge(struct histogram *histogram, const struct histogram *other)
{
    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
        histogram->counts[i] += other->counts[i];
    histogram->total += other->total;
    if (other->greatest > histogram->greatest)
        histogram->greatest = other->greatest;
}

uint64_t histogram_quantile(const struct histogram *histogram, double share)
{
    uint64_t wanted = (uint64_t)ceil(share * (double)histogram->total);
    uint64_t seen = 0;
    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS && histogram->total; i++) {
        seen += histogram->counts[i];
        if (seen < wanted || !seen)
            continue;
        uint64_t upper = (uint64_t)pow(GROWTH, i + 1);
        return upper < histogram->greatest ? upper : histogram->greatest;
    }
    return histogram->greatest;
}

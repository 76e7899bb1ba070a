/**
 * Histogram of durations in buckets that grow by about 2 %, for percentiles of latency.
 * (No packaged C library for this was to be had; see docs/DESIGN.md.)
 */
#ifndef SHUNTRUN_HISTOGRAM_H
#define SHUNTRUN_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_BUCKETS 1200

struct histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t total;
    uint64_t maximum;
};

/** \param microseconds 1 us to some hours; others are clamped */
void histogram_add(struct histogram *histogram, uint64_t microseconds);

/** \brief Add all values of another histogram. */
void histogram_merge(struct histogram *histogram, const struct histogram *other);

/** \param share of values at most as great, for example 0.95 \return microseconds, 0 when empty */
uint64_t histogram_quantile(const struct histogram *histogram, double quantile);

#endif

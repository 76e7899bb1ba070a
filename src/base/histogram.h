/**
 * Latency histogram with exponential buckets, each about 2 % wider than the one before, for
 * percentiles. (No packaged C library was available for this; see docs/DESIGN.md.)
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

/** \param microseconds from 1 us to several hours; other values are clamped */
void histogram_add(struct histogram *histogram, uint64_t microseconds);

/** \brief Add all values of another histogram. */
void histogram_merge(struct histogram *histogram, const struct histogram *other);

/** \param quantile from 0 to 1, for example 0.95 \return microseconds, 0 when the histogram is
 * empty */
uint64_t histogram_quantile(const struct histogram *histogram, double quantile);

#endif

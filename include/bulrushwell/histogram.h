#ifndef BULRUSHWELL_HISTOGRAM_H
#define BULRUSHWELL_HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: Log-linear histogram
 *
 * Each range between two powers of two is split into 32 equal buckets, so a
 * reported quantile is at most 1/32 (3.125 %) above the true value. Values are
 * clamped to 0 .. 2^40 - 1.
 */
#define HISTOGRAM_SUB_BITS 5  /* 2^5 buckets between two powers of two */
#define HISTOGRAM_MAX_BITS 40 /* values are below 2^40 */
#define HISTOGRAM_BUCKETS \
	((HISTOGRAM_MAX_BITS - HISTOGRAM_SUB_BITS + 1) << HISTOGRAM_SUB_BITS)

typedef struct histogram histogram_t;

histogram_t *histogram_create(void);
void histogram_destroy(histogram_t *histogram);

/** histogram_record() - Adds one value. */
void histogram_record(histogram_t *histogram, int64_t value);

/**
 * histogram_quantile() - Upper bound of the bucket that holds a quantile.
 * @q: from 0 to 1
 *
 * Return: 0 for an empty histogram.
 */
int64_t histogram_quantile(const histogram_t *histogram, double q);

/** histogram_count(), histogram_sum() - Of all recorded values. */
uint64_t histogram_count(const histogram_t *histogram);
int64_t histogram_sum(const histogram_t *histogram);

/**
 * histogram_count_up_to() - Number of values in the buckets whose upper bound
 * is at most @value.
 */
uint64_t histogram_count_up_to(const histogram_t *histogram, int64_t value);

/** histogram_decay() - Halves every count, so that recent values dominate. */
void histogram_decay(histogram_t *histogram);

/** histogram_merge() - Adds @from to @into. */
void histogram_merge(histogram_t *into, const histogram_t *from);

#endif

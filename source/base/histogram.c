#include "bulrushwell/histogram.h"

#include <glib.h>

#define SUB_COUNT (1 << HISTOGRAM_SUB_BITS)

struct histogram {
	uint64_t count;
	int64_t sum;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

static int
bucket_index(int64_t value)
{
	int exponent;

	if (value < 0)
		value = 0;
	if (value >= (int64_t)1 << HISTOGRAM_MAX_BITS)
		value = ((int64_t)1 << HISTOGRAM_MAX_BITS) - 1;
	if (value < SUB_COUNT)
		return (int)value;
	exponent = 63 - __builtin_clzll((uint64_t)value) - HISTOGRAM_SUB_BITS;
	return (exponent << HISTOGRAM_SUB_BITS) + (int)(value >> exponent);
}

static int64_t
upper_bound(int bucket)
{
	int exponent;
	int64_t base;

	if (bucket < 2 * SUB_COUNT)
		return bucket;
	exponent = (bucket >> HISTOGRAM_SUB_BITS) - 1;
	base = (bucket & (SUB_COUNT - 1)) + SUB_COUNT;
	return ((base + 1) << exponent) - 1;
}

histogram_t *
histogram_create(void)
{
	return g_new0(histogram_t, 1);
}

void
histogram_destroy(histogram_t *histogram)
{
	g_free(histogram);
}

void
histogram_record(histogram_t *histogram, int64_t value)
{
	histogram->buckets[bucket_index(value)]++;
	histogram->count++;
	histogram->sum += value;
}

int64_t
histogram_quantile(const histogram_t *histogram, double q)
{
	uint64_t rank = (uint64_t)(q * (double)histogram->count);
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	if (rank >= histogram->count)
		rank = histogram->count - 1;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen > rank)
			return upper_bound(i);
	}
	return upper_bound(HISTOGRAM_BUCKETS - 1);
}

uint64_t
histogram_count(const histogram_t *histogram)
{
	return histogram->count;
}

int64_t
histogram_sum(const histogram_t *histogram)
{
	return histogram->sum;
}

uint64_t
histogram_count_up_to(const histogram_t *histogram, int64_t value)
{
	uint64_t seen = 0;

	for (int i = 0; i < HISTOGRAM_BUCKETS && upper_bound(i) <= value; i++)
		seen += histogram->buckets[i];
	return seen;
}

void
histogram_decay(histogram_t *histogram)
{
	histogram->count = 0;
	histogram->sum /= 2;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		histogram->buckets[i] /= 2;
		histogram->count += histogram->buckets[i];
	}
}

void
histogram_merge(histogram_t *into, const histogram_t *from)
{
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
	into->count += from->count;
	into->sum += from->sum;
}

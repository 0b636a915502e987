#include "latency.h"

#include <glib.h>

#define TYPICAL_QUANTILE 0.5
#define LATE_QUANTILE 0.92
#define DEFAULT_TYPICAL MS(10)
#define DEFAULT_LATE MS(25)
#define REFRESH_SAMPLES 16 /* quantiles are computed this often */
#define DECAY_SAMPLES 1024 /* older samples count half */
#define MIN_SAMPLES 16	   /* fewer say nothing about the tail */

struct latency {
	histogram_t *samples;
	uint32_t since_refresh;
	uint32_t since_decay;
	usec_t typical;
	usec_t late;
};

latency_t *
latency_create(void)
{
	latency_t *latency = g_new0(latency_t, 1);

	latency->samples = histogram_create();
	latency->typical = DEFAULT_TYPICAL;
	latency->late = DEFAULT_LATE;
	return latency;
}

void
latency_destroy(latency_t *latency)
{
	if (latency == NULL)
		return;
	histogram_destroy(latency->samples);
	g_free(latency);
}

static void
refresh(latency_t *latency)
{
	latency->since_refresh = 0;
	latency->typical =
	    histogram_quantile(latency->samples, TYPICAL_QUANTILE);
	if (histogram_count(latency->samples) >= MIN_SAMPLES)
		latency->late =
		    histogram_quantile(latency->samples, LATE_QUANTILE);
	latency->late = MAX(latency->late, latency->typical);
}

void
latency_record(latency_t *latency, usec_t elapsed)
{
	histogram_record(latency->samples, elapsed);
	if (++latency->since_decay >= DECAY_SAMPLES) {
		latency->since_decay = 0;
		histogram_decay(latency->samples);
	}
	if (++latency->since_refresh >= REFRESH_SAMPLES)
		refresh(latency);
}

usec_t
latency_typical(const latency_t *latency)
{
	return latency->typical;
}

usec_t
latency_late(const latency_t *latency)
{
	return latency->late;
}

#include "latency_model.h"

#include <glib.h>

#define TYPICAL_QUANTILE 0.5
#define LATE_QUANTILE 0.92
/*
 * When more attempts than the quantile leaves out are slow, the quantile is
 * their time, so "late" is also bounded by the typical time.
 */
#define LATE_MIN_FACTOR 1.5
#define LATE_MAX_FACTOR 2.0
#define LATE_MIN MS(3) /* less is within the scheduling noise of a VM */
/* Until there are samples, an attempt may take this part of the goal. */
#define GUESS_TYPICAL_PART 0.15
#define GUESS_LATE_PART 0.4
#define REFRESH_SAMPLES 16 /* quantiles are computed this often */
#define DECAY_SAMPLES 1024 /* older samples count half */
#define MIN_SAMPLES 16	   /* fewer say nothing about the tail */

struct latency_model {
	histogram_t *samples;
	uint32_t since_refresh;
	uint32_t since_decay;
	usec_t typical;
	usec_t late;
};

latency_model_t *
latency_model_create(usec_t goal)
{
	latency_model_t *latency = g_new0(latency_model_t, 1);

	latency->samples = histogram_create();
	latency->typical = MAX((usec_t)(GUESS_TYPICAL_PART * goal), MS(1));
	latency->late = MAX((usec_t)(GUESS_LATE_PART * goal), MS(2));
	return latency;
}

void
latency_model_destroy(latency_model_t *latency)
{
	if (latency == NULL)
		return;
	histogram_destroy(latency->samples);
	g_free(latency);
}

static void
refresh(latency_model_t *latency)
{
	latency->since_refresh = 0;
	latency->typical =
	    histogram_quantile(latency->samples, TYPICAL_QUANTILE);
	if (histogram_count(latency->samples) < MIN_SAMPLES)
		return;
	latency->late =
	    CLAMP(histogram_quantile(latency->samples, LATE_QUANTILE),
		(usec_t)(LATE_MIN_FACTOR * latency->typical),
		(usec_t)(LATE_MAX_FACTOR * latency->typical));
	latency->late = MAX(latency->late, LATE_MIN);
}

void
latency_model_record(latency_model_t *latency, usec_t elapsed)
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
latency_model_typical(const latency_model_t *latency)
{
	return latency->typical;
}

usec_t
latency_model_late(const latency_model_t *latency)
{
	return latency->late;
}

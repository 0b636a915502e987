#include "latency_model.h"

#include <glib.h>

#define TYPICAL_QUANTILE 0.5
#define LATE_QUANTILE 0.92
/*
 * If the share of slow attempts exceeds 1 - LATE_QUANTILE, the quantile is the
 * duration of a slow attempt, so "late" is also bounded by multiples of the
 * typical time.
 */
#define LATE_MIN_FACTOR 1.5
#define LATE_MAX_FACTOR 2.0
#define LATE_MIN MS(3) /* shorter delays are scheduling noise of a VM */
/* Estimates until there are samples, as fractions of the target latency. */
#define INITIAL_TYPICAL_FRACTION 0.15
#define INITIAL_LATE_FRACTION 0.4
#define REFRESH_INTERVAL_SAMPLES 16 /* between updates of the quantiles */
#define DECAY_INTERVAL_SAMPLES 1024 /* between halvings of all counts */
#define TAIL_MIN_SAMPLES 16	    /* fewer do not show the tail */

struct latency_model {
	histogram_t *samples;
	uint32_t since_refresh;
	uint32_t since_decay;
	usec_t typical;
	usec_t late;
};

latency_model_t *
latency_model_create(usec_t target)
{
	latency_model_t *model = g_new0(latency_model_t, 1);

	model->samples = histogram_create();
	model->typical =
	    MAX((usec_t)(INITIAL_TYPICAL_FRACTION * target), MS(1));
	model->late = MAX((usec_t)(INITIAL_LATE_FRACTION * target), MS(2));
	return model;
}

void
latency_model_destroy(latency_model_t *model)
{
	if (model == NULL)
		return;
	histogram_destroy(model->samples);
	g_free(model);
}

static void
refresh(latency_model_t *model)
{
	model->since_refresh = 0;
	model->typical = histogram_quantile(model->samples, TYPICAL_QUANTILE);
	if (histogram_count(model->samples) < TAIL_MIN_SAMPLES)
		return;
	model->late = CLAMP(histogram_quantile(model->samples, LATE_QUANTILE),
	    (usec_t)(LATE_MIN_FACTOR * model->typical),
	    (usec_t)(LATE_MAX_FACTOR * model->typical));
	model->late = MAX(model->late, LATE_MIN);
}

void
latency_model_record(latency_model_t *model, usec_t elapsed)
{
	histogram_record(model->samples, elapsed);
	if (++model->since_decay >= DECAY_INTERVAL_SAMPLES) {
		model->since_decay = 0;
		histogram_decay(model->samples);
	}
	if (++model->since_refresh >= REFRESH_INTERVAL_SAMPLES)
		refresh(model);
}

usec_t
latency_model_typical(const latency_model_t *model)
{
	return model->typical;
}

usec_t
latency_model_late(const latency_model_t *model)
{
	return model->late;
}

#include "delay_estimate.h"

#include <glib.h>

#include "bulrushwell/histogram.h"

#define MIN_SAMPLES 16	   /* fewer do not show the tail */
#define DECAY_SAMPLES 512  /* between halvings of all counts */
#define REFRESH_SAMPLES 16 /* between updates of the quantile */

struct delay_estimate {
	histogram_t *delays;
	double quantile;
	uint32_t since_refresh;
	uint32_t since_decay;
	usec_t usual;
};

delay_estimate_t *
delay_estimate_create(double quantile, usec_t initial)
{
	delay_estimate_t *estimate = g_new0(delay_estimate_t, 1);

	estimate->delays = histogram_create();
	estimate->quantile = quantile;
	estimate->usual = initial;
	return estimate;
}

void
delay_estimate_destroy(delay_estimate_t *estimate)
{
	if (estimate == NULL)
		return;
	histogram_destroy(estimate->delays);
	g_free(estimate);
}

void
delay_estimate_record(delay_estimate_t *estimate, usec_t delay)
{
	histogram_record(estimate->delays, MAX(delay, 0));
	if (++estimate->since_decay >= DECAY_SAMPLES) {
		estimate->since_decay = 0;
		histogram_decay(estimate->delays);
	}
	if (++estimate->since_refresh < REFRESH_SAMPLES ||
	    histogram_count(estimate->delays) < MIN_SAMPLES)
		return;
	estimate->since_refresh = 0;
	estimate->usual =
	    histogram_quantile(estimate->delays, estimate->quantile);
}

usec_t
delay_estimate_get(const delay_estimate_t *estimate)
{
	return estimate->usual;
}

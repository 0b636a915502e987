#include "report_timing.h"

#include <glib.h>

#include "delay_estimate.h"

#define OVERHEAD_QUANTILE 0.95 /* of the reports should be in time */
#define OVERHEAD_INITIAL MS(4) /* until there are samples */
/* Shards need most of the time, however slow the way to the peers is. */
#define MIN_ALLOWANCE_RATIO 0.5

struct report_timing {
	delay_estimate_t *overhead;
};

report_timing_t *
report_timing_create(void)
{
	report_timing_t *timing = g_new0(report_timing_t, 1);

	timing->overhead =
	    delay_estimate_create(OVERHEAD_QUANTILE, OVERHEAD_INITIAL);
	return timing;
}

void
report_timing_destroy(report_timing_t *timing)
{
	if (timing == NULL)
		return;
	delay_estimate_destroy(timing->overhead);
	g_free(timing);
}

usec_t
report_timing_allowance(const report_timing_t *timing, usec_t left)
{
	usec_t least = (usec_t)(MIN_ALLOWANCE_RATIO * (double)left);

	return MAX(left - delay_estimate_get(timing->overhead), MAX(least, 0));
}

void
report_timing_record(report_timing_t *timing, usec_t overhead)
{
	delay_estimate_record(timing->overhead, overhead);
}

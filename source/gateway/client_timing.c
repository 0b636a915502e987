#include "client_timing.h"

#include <glib.h>

#include "delay_estimate.h"

#define DELAY_QUANTILE 0.99	  /* of the responses should be in time */
#define DELAY_INITIAL MS(2)	  /* until there are samples */
#define WAIT_INTERVAL_REQUESTS 64 /* after two of them a wait is forgotten */
/* Part of the target latency that the client may need for itself. */
#define CLIENT_PROCESSING_RATIO 0.025
/*
 * With less than this part of the target latency left, the response will be
 * late, and is given the time below to become complete.
 */
#define MIN_ALLOWANCE_RATIO 0.2
#define LATE_ALLOWANCE_RATIO 0.5
#define BITS_PER_BYTE 8.0

struct client_timing {
	double link_mbps;
	delay_estimate_t *delay;
};

usec_t
wait_history_time_spent(wait_history_t *history, usec_t wait)
{
	usec_t longest;

	if (++history->count > WAIT_INTERVAL_REQUESTS) {
		history->longest[1] = history->longest[0];
		history->longest[0] = 0;
		history->count = 1;
	}
	history->longest[0] = MAX(history->longest[0], wait);
	longest = MAX(history->longest[0], history->longest[1]);
	return longest - wait;
}

client_timing_t *
client_timing_create(double link_mbps)
{
	client_timing_t *timing = g_new0(client_timing_t, 1);

	timing->link_mbps = link_mbps;
	timing->delay = delay_estimate_create(DELAY_QUANTILE, DELAY_INITIAL);
	return timing;
}

void
client_timing_destroy(client_timing_t *timing)
{
	if (timing == NULL)
		return;
	delay_estimate_destroy(timing->delay);
	g_free(timing);
}

void
client_timing_record_delay(client_timing_t *timing, usec_t delay)
{
	delay_estimate_record(timing->delay, delay);
}

usec_t
client_timing_delay(const client_timing_t *timing)
{
	return delay_estimate_get(timing->delay);
}

/* Time that the response takes on the link of this VM. */
static usec_t
transmission_time(const client_timing_t *timing, size_t bytes)
{
	/* 1 Mbit/s is one bit in a microsecond. */
	return (usec_t)((double)bytes * BITS_PER_BYTE / timing->link_mbps);
}

usec_t
client_timing_allowance(
    const client_timing_t *timing, const client_request_t *request)
{
	usec_t target = request->target_latency;
	usec_t margin = request->round_trip + client_timing_delay(timing) +
	    transmission_time(timing, request->response_bytes) +
	    (usec_t)(CLIENT_PROCESSING_RATIO * (double)target);

	usec_t allowance = target - request->time_spent - margin;

	if (allowance < (usec_t)(MIN_ALLOWANCE_RATIO * (double)target))
		return (usec_t)(LATE_ALLOWANCE_RATIO * (double)target);
	return allowance;
}

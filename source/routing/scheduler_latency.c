#include <glib.h>

#include "scheduler_private.h"

/* Size at which the next window replaces the current one. */
#define WINDOW_SAMPLES 512

/* Samples between two computations of the quantiles, each of which scans the
 * whole histogram. */
#define QUANTILE_REFRESH_SAMPLES 16

#define MEAN_WEIGHT 16 /* a new value counts 1/16 */

void
latency_init(latency_t *latency)
{
	latency->window = histogram_create();
	latency->next_window = histogram_create();
}

void
latency_clear(latency_t *latency)
{
	histogram_destroy(latency->window);
	histogram_destroy(latency->next_window);
}

bool
latency_is_known(const latency_t *latency)
{
	return histogram_count(latency->window) >= SCHEDULER_MIN_SAMPLES;
}

static void
refresh_quantiles(latency_t *latency)
{
	uint64_t count = histogram_count(latency->window);

	latency->new_samples++;
	if (count < SCHEDULER_MIN_SAMPLES ||
	    (latency->p99 != 0 &&
		latency->new_samples < QUANTILE_REFRESH_SAMPLES))
		return;
	latency->new_samples = 0;
	latency->p95 = histogram_quantile(latency->window, 0.95);
	latency->p99 = histogram_quantile(latency->window, 0.99);
}

static usec_t
smooth(usec_t mean, usec_t value)
{
	return mean == 0 ? value : mean + (value - mean) / MEAN_WEIGHT;
}

void
latency_record(latency_t *latency, usec_t value)
{
	value = MAX(value, 1);
	histogram_record(latency->window, value);
	histogram_record(latency->next_window, value);
	if (histogram_count(latency->next_window) >= WINDOW_SAMPLES) {
		histogram_destroy(latency->window);
		latency->window = latency->next_window;
		latency->next_window = histogram_create();
	}
	latency->mean = smooth(latency->mean, value);
	refresh_quantiles(latency);
}

void
latency_record_charge_time(latency_t *latency, usec_t value)
{
	latency->mean_charge_time =
	    smooth(latency->mean_charge_time, MAX(value, 1));
}

usec_t
scheduler_wait_behind(const scheduler_t *scheduler, uint32_t ahead)
{
	uint64_t capacity = 0, running = 0;

	for (uint32_t i = 0; i < scheduler->live_count; i++) {
		const server_t *server = scheduler->live[i];
		uint32_t server_slots =
		    server_capacity(server, scheduler->server_limit);

		capacity += server_slots;
		running += MIN(server->charged, server_slots);
	}
	ahead +=
	    scheduler->waiting_for_server + scheduler->waiting_suspects.count;
	if (ahead == 0 && running < capacity)
		return 0;
	/* Without slots there is no estimate: other nodes may lend some at any
	 * time. */
	if (capacity == 0)
		return 0;
	return (usec_t)((ahead + 1) *
	    (uint64_t)scheduler->latency.mean_charge_time / capacity);
}

usec_t
scheduler_wait_estimate(const scheduler_t *scheduler)
{
	return scheduler_wait_behind(
	    scheduler, fair_queue_count(scheduler->queue));
}

const struct histogram *
scheduler_latency(const scheduler_t *scheduler)
{
	return scheduler->latency.window;
}

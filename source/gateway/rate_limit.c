#include "rate_limit.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Parts of the tolerance; START_PART fits twice. */
#define RATE_PART 0.4
#define BURST_PART 0.4
#define START_PART 0.075
#define RESERVE_PART 0.05
/* Part of the burst that is given out evenly over each window, since the bound
 * allows the whole burst in every window. */
#define SUSTAINED_BURST 0.25
/* A smaller burst would never let a request pass. */
#define BURST_MIN 1.0

rate_limit_t
rate_limit_derive(const rate_bound_t *bound, double rate_per_s, double burst)
{
	double window_s = (double)bound->window / USEC_PER_SEC;
	double tolerance =
	    bound->overshoot * (rate_per_s * window_s + burst) + bound->slack;
	rate_limit_t limit = {
	    .rate_per_s = rate_per_s +
		(SUSTAINED_BURST * burst + RATE_PART * tolerance) / window_s,
	    .burst =
		MAX((1.0 - SUSTAINED_BURST) * burst + BURST_PART * tolerance,
		    BURST_MIN),
	    .start = START_PART * tolerance,
	    .reserve = RESERVE_PART * tolerance,
	};

	return limit;
}

uint64_t
rate_customer_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint64_t
rate_node_weight(const char *node, uint64_t customer)
{
	return XXH64(node, strlen(node), customer);
}

#include "cold_limit.h"

#include <math.h>
#include <string.h>

uint32_t
cold_limit_share(const cold_bound_t *bound, double per_s, uint32_t senders)
{
	double share =
	    floor((per_s * bound->overshoot + bound->slack) / (double)senders);

	return share < (double)UINT32_MAX ? (uint32_t)share : UINT32_MAX;
}

/* Forgets the requests that ended more than a span before @now. */
static void
advance(cold_limit_t *limit, usec_t now)
{
	int64_t slot = now / COLD_LIMIT_SLOT;

	if (slot - limit->newest_slot >= COLD_LIMIT_SLOTS) {
		memset(limit->ended, 0, sizeof(limit->ended));
		limit->newest_slot = slot;
	}
	while (limit->newest_slot < slot) {
		limit->newest_slot++;
		limit->ended[limit->newest_slot % COLD_LIMIT_SLOTS] = 0;
	}
}

void
cold_limit_started(cold_limit_t *limit)
{
	limit->running++;
}

void
cold_limit_ended(cold_limit_t *limit, usec_t now)
{
	advance(limit, now);
	limit->running--;
	limit->ended[limit->newest_slot % COLD_LIMIT_SLOTS]++;
}

void
cold_limit_undone(cold_limit_t *limit)
{
	limit->running--;
}

uint32_t
cold_limit_count(cold_limit_t *limit, usec_t now)
{
	uint32_t count = limit->running;

	advance(limit, now);
	for (uint32_t i = 0; i < COLD_LIMIT_SLOTS; i++)
		count += limit->ended[i];
	return count;
}

usec_t
cold_limit_wait(cold_limit_t *limit, uint32_t share, usec_t now)
{
	uint32_t count = cold_limit_count(limit, now);
	int64_t slot = limit->newest_slot - COLD_LIMIT_SLOTS + 1;

	if (count < share)
		return 0;
	for (; slot <= limit->newest_slot; slot++) {
		count -= limit->ended[slot % COLD_LIMIT_SLOTS];
		if (count < share)
			return (slot + COLD_LIMIT_SLOTS) * COLD_LIMIT_SLOT -
			    now;
	}
	return COLD_LIMIT_SPAN;
}

#include "hedging.h"

/* Delay of a timer that shows a stall. */
#define STALL_TOLERANCE MS(5)
/* Of this many shards or more, not more than this part may be late for the
 * servers to be the cause. */
#define MIN_SHARDS_TO_COMPARE 4
#define MAX_LATE_SHARE 0.5

bool
hedging_holds_back(const hedge_state_t *state)
{
	if (state->timer_delay > STALL_TOLERANCE)
		return true;
	return state->shards >= MIN_SHARDS_TO_COMPARE &&
	    state->late > MAX_LATE_SHARE * state->shards;
}

usec_t
hedging_late_time(usec_t late, double pace)
{
	return (usec_t)((double)late / pace);
}

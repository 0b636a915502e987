#include "retry_schedule.h"

#include <glib.h>

#define MIN_WAIT MS(30) /* less is within a round trip of the client */
/* New requests take about every second slot that becomes free. */
#define SLOTS_PER_RETRY 2

usec_t
retry_schedule_next(retry_schedule_t *schedule, usec_t slot_interval,
    usec_t max_wait, usec_t now)
{
	usec_t retry_at =
	    MAX(schedule->last_slot_at + SLOTS_PER_RETRY * slot_interval,
		now + MIN_WAIT);

	max_wait = MAX(max_wait, 2 * MIN_WAIT);
	if (retry_at - now > max_wait)
		return max_wait / 2 +
		    (usec_t)(g_random_double() * ((double)max_wait / 2));
	schedule->last_slot_at = retry_at;
	return retry_at - now;
}

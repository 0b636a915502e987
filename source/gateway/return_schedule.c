#include "return_schedule.h"

#include <glib.h>

#define SHORTEST MS(30) /* less is within a round trip of the client */
/* Of the places that become free, new requests take about every second one. */
#define INTERVALS_A_RETURN 2

usec_t
return_schedule_next(
    return_schedule_t *schedule, usec_t interval, usec_t longest, usec_t now)
{
	usec_t next =
	    MAX(schedule->last + INTERVALS_A_RETURN * interval, now + SHORTEST);

	longest = MAX(longest, 2 * SHORTEST);
	if (next - now > longest)
		return longest / 2 +
		    (usec_t)(g_random_double() * ((double)longest / 2));
	schedule->last = next;
	return next - now;
}

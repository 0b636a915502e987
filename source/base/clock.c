#include "bulrushwell/clock.h"

#include <time.h>

static usec_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

usec_t
clock_monotonic(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

usec_t
clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

usec_t
clock_to_wall(usec_t at)
{
	/* Wall time is read first: a pause between the two readings then makes
	 * the result earlier. */
	usec_t wall = clock_wall();

	return wall + at - clock_monotonic();
}

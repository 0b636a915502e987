#include "loop_clock.h"

#include <stddef.h>

static void
on_check(struct ev_loop *loop, ev_check *check, int events)
{
	loop_clock_t *clock = check->data;

	clock->now = clock_monotonic();
}

void
loop_clock_start(loop_clock_t *clock, struct ev_loop *loop)
{
	clock->now = clock_monotonic();
	ev_check_init(&clock->check, on_check);
	ev_set_priority(&clock->check, EV_MAXPRI);
	clock->check.data = clock;
	ev_set_userdata(loop, clock);
	ev_check_start(loop, &clock->check);
	/* The clock alone must not keep the loop running. */
	ev_unref(loop);
}

usec_t
loop_clock_now(struct ev_loop *loop)
{
	const loop_clock_t *clock = ev_userdata(loop);

	return clock != NULL ? clock->now : clock_monotonic();
}

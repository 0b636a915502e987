#ifndef LOOP_CLOCK_H
#define LOOP_CLOCK_H

#include <ev.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Monotonic time of an event-loop iteration
 *
 * ev_now() follows the wall clock, which may jump by seconds. Deadlines and
 * budgets use this monotonic time instead, which is read once per iteration.
 */
typedef struct {
	ev_check check;
	usec_t now;
} loop_clock_t;

/**
 * loop_clock_start() - Attaches a clock to a loop as its user data. The clock
 * must outlive the loop.
 */
void loop_clock_start(loop_clock_t *clock, struct ev_loop *loop);

/**
 * loop_clock_now() - The monotonic time when this iteration woke up; the
 * current time for a loop without a clock.
 */
usec_t loop_clock_now(struct ev_loop *loop);

#endif

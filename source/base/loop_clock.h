#ifndef LOOP_CLOCK_H
#define LOOP_CLOCK_H

#include <ev.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Steady time of an event loop's iteration
 *
 * ev_now() follows the time of day, which may jump by seconds. Deadlines and
 * budgets are kept in this time instead, read once for each iteration.
 */
typedef struct {
	ev_check check;
	usec_t now;
} loop_clock_t;

/** loop_clock_start() - Attaches the clock to a loop, which it must outlive. */
void loop_clock_start(loop_clock_t *clock, struct ev_loop *loop);

/** loop_clock_now() - The steady time when this iteration woke up. */
usec_t loop_clock_now(struct ev_loop *loop);

#endif

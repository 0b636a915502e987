#ifndef RETURN_SCHEDULE_H
#define RETURN_SCHEDULE_H

#include "bulrushwell/clock.h"

/**
 * DOC: When refused clients shall come back
 *
 * Load pattern: for some time more requests come than can be served, and each
 * client returns once. Clients that return together, or while the backlog
 * lasts, are refused again. Each refused client gets the time at which a place
 * is expected to be free after those that were told to return before it.
 */

typedef struct {
	usec_t last; /* the latest return that was promised a place */
} return_schedule_t;

/**
 * return_schedule_next() - How long a client shall wait.
 * @interval: expected time between two places that become free
 * @longest: the client waits no longer than this
 *
 * Beyond @longest no place can be promised; returns are then spread over the
 * second half of it.
 */
usec_t return_schedule_next(
    return_schedule_t *schedule, usec_t interval, usec_t longest, usec_t now);

#endif

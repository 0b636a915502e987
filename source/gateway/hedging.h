#ifndef HEDGING_H
#define HEDGING_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Whether attempts that are late show slow servers
 *
 * Load pattern: this VM stalls or its network link is congested, so that all
 * attempts of a query are late at once. Copies to other servers would not be
 * faster, would add to the congestion and would spend the retry budget, which
 * is then missing where servers are slow.
 */

/** typedef hedge_state_t - The attempts of a query when copies are due. */
typedef struct {
	uint32_t shards;    /* of the query */
	uint32_t late;	    /* of these, with a late attempt */
	usec_t timer_delay; /* by which the timer was late */
} hedge_state_t;

/**
 * hedging_holds_back() - Whether the delay is one of this VM, so that copies
 * wait. A timer that is much too late shows a stall of this process: responses
 * may be waiting to be read.
 */
bool hedging_holds_back(const hedge_state_t *state);

/**
 * hedging_late_time() - Time after which an attempt counts as late.
 * @late: duration that few attempts of the route exceed
 * @pace: factor by which the server takes longer now, see server_load_pace()
 *
 * Load pattern: the machine of a server is slow for a while, and the server is
 * selected all the same, since the others are full or far. Its attempt will
 * probably be late, so the copy is sent that much sooner.
 */
usec_t hedging_late_time(usec_t late, double pace);

#endif

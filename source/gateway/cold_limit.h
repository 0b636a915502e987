#ifndef COLD_LIMIT_H
#define COLD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Limit of the requests that one node sends to one cold server
 *
 * Load pattern: a server that has just started tolerates few requests and
 * crashes well above that. All nodes together must stay within a bound in each
 * span of one second, as the server sees its requests arrive.
 *
 * A request arrives at some time between its start and its end, so it counts
 * from its start until COLD_LIMIT_SPAN after its end. Requests that arrive
 * within one span thus all count at one moment, however long they were on the
 * way and however long this node was suspended.
 */

#define COLD_LIMIT_SPAN SECONDS(1)

/** typedef cold_bound_t - How far a cold server's rate may be exceeded. */
typedef struct {
	bool given; /* false: cold servers are used like others */
	double overshoot;
	double slack; /* requests */
} cold_bound_t;

/**
 * cold_limit_share() - Requests to one server that may count at once for one of
 * the senders.
 * @per_s: requests per second that a cold server tolerates
 * @senders: nodes that may send to the server
 */
uint32_t cold_limit_share(
    const cold_bound_t *bound, double per_s, uint32_t senders);

#define COLD_LIMIT_SLOT MS(50) /* ends are told apart by this much */
#define COLD_LIMIT_SLOTS 21    /* cover COLD_LIMIT_SPAN and the current slot */

/** typedef cold_limit_t - Requests to one server; all zero: none. */
typedef struct {
	uint32_t running;
	uint32_t ended[COLD_LIMIT_SLOTS]; /* by the slot of their end */
	int64_t newest_slot;
} cold_limit_t;

/** cold_limit_started() - A request is being sent. */
void cold_limit_started(cold_limit_t *limit);

/**
 * cold_limit_ended() - The request can't arrive any more after @now, which
 * mustn't be earlier than the true time.
 */
void cold_limit_ended(cold_limit_t *limit, usec_t now);

/** cold_limit_undone() - The request did not arrive, or doesn't count. */
void cold_limit_undone(cold_limit_t *limit);

/** cold_limit_count() - Requests that count at @now. */
uint32_t cold_limit_count(cold_limit_t *limit, usec_t now);

/**
 * cold_limit_wait() - How long until fewer than @share requests count, if those
 * that run end now; 0: fewer do.
 */
usec_t cold_limit_wait(cold_limit_t *limit, uint32_t share, usec_t now);

#endif

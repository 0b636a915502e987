#ifndef RETRY_SCHEDULE_H
#define RETRY_SCHEDULE_H

#include "bulrushwell/clock.h"

/**
 * DOC: Retry times of refused clients
 *
 * Load pattern: for some time more requests arrive than can be served, and
 * each refused client retries once. Clients that retry at the same time, or
 * before the backlog is gone, are refused again. Each refused client is
 * therefore told to retry when a slot (a place under the concurrency limit) is
 * expected to be free after all clients that were refused before it have
 * retried.
 */

typedef struct {
	usec_t last_slot_at; /* time of the latest retry with a slot */
} retry_schedule_t;

/**
 * retry_schedule_next() - How long a client shall wait before it retries.
 * @slot_interval: expected time between two slots that become free
 * @max_wait: maximum of the result; raised to 60 ms if less
 *
 * When no slot is expected to be free within @max_wait, the result is random
 * between half of @max_wait and @max_wait.
 */
usec_t retry_schedule_next(retry_schedule_t *schedule, usec_t slot_interval,
    usec_t max_wait, usec_t now);

#endif

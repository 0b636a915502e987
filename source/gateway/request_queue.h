#ifndef REQUEST_QUEUE_H
#define REQUEST_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: Requests that compete for too few places
 *
 * Load pattern: for some seconds more requests arrive than can run at once: a
 * burst of one route, a customer that sends many times its usual, or servers
 * that are all slow. The queue decides for each request whether it is placed
 * now, waits, or is refused, so that what is delayed or turned away costs
 * callers least. Requests are placed in this order:
 *
 * 1. those that can still be answered by their soft deadline, then the late
 *    ones: in strict order a backlog that makes every answer late never ends;
 * 2. by priority;
 * 3. fairly among flows (customers): the flow that has received the least work
 *    while others waited comes first;
 * 4. by soft deadline;
 * 5. by the work that they need.
 *
 * A request that is expected to miss its deadline is refused when it is
 * offered, or as soon as more urgent ones have arrived before it.
 */

/** REQUEST_QUEUE_MAX - Waiting requests of a queue; more are refused. */
#define REQUEST_QUEUE_MAX 128

/** typedef request_demand_t - What a request needs, and by when. */
typedef struct {
	int64_t priority;     /* the lowest is the most urgent */
	uint32_t flow;	      /* requests of one flow share what it gets */
	usec_t soft_deadline; /* a later answer has lost most of its value */
	usec_t deadline;      /* a later answer has none */
	usec_t work;	      /* time for which it occupies a place */
} request_demand_t;

/** typedef request_entry_t - A request in a queue; a member of its owner. */
typedef struct {
	request_demand_t demand;
	void *owner;
	bool queued;
} request_entry_t;

typedef enum {
	REQUEST_PLACE, /* it may run now */
	REQUEST_WAIT,  /* it is in the queue */
	REQUEST_REFUSE /* it can't be answered by its deadline */
} request_verdict_t;

/** typedef request_room_t - The places for which requests compete. */
typedef struct {
	uint32_t places; /* requests that run at once; at least 1 */
	bool free;	 /* whether one of them is free */
} request_room_t;

typedef struct request_queue request_queue_t;

request_queue_t *request_queue_create(void);

/** request_queue_destroy() - Frees the queue, but not its entries. */
void request_queue_destroy(request_queue_t *queue);

/**
 * request_queue_offer() - Decides about a request that has arrived.
 * @entry: its demand and owner are set; linked until it is taken or removed
 * @wait: set to how long it will probably wait for a place, also if refused
 */
request_verdict_t request_queue_offer(request_queue_t *queue,
    request_entry_t *entry, const request_room_t *room, usec_t now,
    usec_t *wait);

/** request_queue_next() - The request to be placed next, or NULL; it stays in
 * the queue. */
request_entry_t *request_queue_next(const request_queue_t *queue, usec_t now);

/** request_queue_take() - Removes a request that is placed, and counts its work
 * against its flow. */
void request_queue_take(request_queue_t *queue, request_entry_t *entry);

/** request_queue_remove() - Removes a request that needs no place any more;
 * does nothing if it is not queued. */
void request_queue_remove(request_queue_t *queue, request_entry_t *entry);

/**
 * request_queue_hopeless() - A waiting request that is expected to miss its
 * deadline because of those before it, or NULL. The least urgent comes first.
 * @wait: set to how long it would wait for a place
 */
request_entry_t *request_queue_hopeless(const request_queue_t *queue,
    const request_room_t *room, usec_t now, usec_t *wait);

uint32_t request_queue_count(const request_queue_t *queue);

#endif

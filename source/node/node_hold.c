#include "node_private.h"

#include <string.h>

/* A query that arrives while its index is at the limit of concurrent queries
 * waits for a part of the time until its deadline. Arrivals are uneven and the
 * limit on one node may be two or three, so an immediate refusal would refuse
 * queries for which capacity is free a moment later. */

#define HOLD_TIME_DIVISOR 5 /* of the time until the deadline */

/* All waiting queries are checked whenever a query ends, so their number is
 * kept small. */
#define HOLD_MAX_QUERIES 64
#define HOLD_MAX_PER_CUSTOMER 32

static bool
may_start(const request_t *request, usec_t now)
{
	return limiter_may_admit(request->node->limiter, request->target,
	    contract_customer(request->contract),
	    query_weight(request->contract), now);
}

static uint32_t
count_held(node_t *node, const char *customer)
{
	uint32_t count = 0;

	for (GList *i = node->queries_held.head; i != NULL; i = i->next) {
		const request_t *held =
		    table_get(node->requests, *(handle_t *)i->data);

		if (held != NULL &&
		    strcmp(contract_customer(held->contract), customer) == 0)
			count++;
	}
	return count;
}

bool
hold_query(request_t *request, usec_t now)
{
	node_t *node = request->node;
	handle_t *handle;

	if (may_start(request, now) ||
	    g_queue_get_length(&node->queries_held) >= HOLD_MAX_QUERIES ||
	    count_held(node, contract_customer(request->contract)) >=
		HOLD_MAX_PER_CUSTOMER)
		return false;
	request->held_until =
	    now + (request->deadline - now) / HOLD_TIME_DIVISOR;
	handle = g_new(handle_t, 1);
	*handle = request->handle;
	g_queue_push_tail(&node->queries_held, handle);
	return true;
}

/* Whether an entry leaves the queue now: its query may start, its wait is over,
 * or its caller has disconnected. @request is set to its request, NULL in the
 * last case. */
static bool
is_due(node_t *node, const GList *entry, request_t **request, usec_t now)
{
	*request = table_get(node->requests, *(handle_t *)entry->data);
	return *request == NULL || now >= (*request)->held_until ||
	    may_start(*request, now);
}

void
hold_admit_due(node_t *node, usec_t now)
{
	GList *next;

	for (GList *i = node->queries_held.head; i != NULL; i = next) {
		request_t *request;

		next = i->next;
		if (!is_due(node, i, &request, now))
			continue;
		g_free(i->data);
		g_queue_delete_link(&node->queries_held, i);
		if (request != NULL)
			query_admit(request, now);
	}
}

usec_t
hold_next_wakeup(node_t *node)
{
	usec_t earliest = 0;

	for (GList *i = node->queries_held.head; i != NULL; i = i->next) {
		const request_t *held =
		    table_get(node->requests, *(handle_t *)i->data);

		if (held != NULL &&
		    (earliest == 0 || held->held_until < earliest))
			earliest = held->held_until;
	}
	return earliest;
}

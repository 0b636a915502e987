#include "node_private.h"

#include <string.h>

/* Queries at the limit of their index wait for a part of their time. Arrivals
 * are uneven and the limit of one node may be two or three, so that refusing at
 * once would refuse queries although capacity is free a moment later. */

#define HOLD_FRACTION 5 /* of the time that is left */

/* All held queries are looked at whenever one ends, so they are few. */
#define HOLD_MAX 64
#define HOLD_MAX_CUSTOMER 32

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
	    g_queue_get_length(&node->queries_held) >= HOLD_MAX ||
	    count_held(node, contract_customer(request->contract)) >=
		HOLD_MAX_CUSTOMER)
		return false;
	request->held_until = now + (request->deadline - now) / HOLD_FRACTION;
	handle = g_new(handle_t, 1);
	*handle = request->handle;
	g_queue_push_tail(&node->queries_held, handle);
	return true;
}

/* The request of an entry when it starts or is refused now, or its caller has
 * gone (NULL). */
static bool
is_due(node_t *node, const GList *entry, request_t **request, usec_t now)
{
	*request = table_get(node->requests, *(handle_t *)entry->data);
	return *request == NULL || now >= (*request)->held_until ||
	    may_start(*request, now);
}

void
hold_drain(node_t *node, usec_t now)
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

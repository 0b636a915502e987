#include "request_queue.h"

#include <glib.h>

/* The requests of one customer, and the work that it has received. */
typedef struct {
	usec_t served;	 /* virtual time of the flow, in microseconds of work */
	uint32_t queued; /* its requests in the queue */
	usec_t ahead;	 /* work before a request; scratch of work_before() */
} flow_t;

struct request_queue {
	GPtrArray *entries; /* request_entry_t, in no order */
	GHashTable *flows;  /* number of the flow to flow_t */
	usec_t virtual_time;
};

request_queue_t *
request_queue_create(void)
{
	request_queue_t *queue = g_new0(request_queue_t, 1);

	queue->entries = g_ptr_array_new();
	queue->flows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return queue;
}

void
request_queue_destroy(request_queue_t *queue)
{
	if (queue == NULL)
		return;
	g_ptr_array_free(queue->entries, TRUE);
	g_hash_table_destroy(queue->flows);
	g_free(queue);
}

static flow_t *
find_flow(const request_queue_t *queue, uint32_t number)
{
	return g_hash_table_lookup(queue->flows, GUINT_TO_POINTER(number));
}

/* A flow that was absent starts level with the others: it neither claims what
 * it did not use nor pays for what it got while nobody waited. */
static flow_t *
add_flow(request_queue_t *queue, uint32_t number)
{
	flow_t *flow = find_flow(queue, number);

	if (flow == NULL) {
		flow = g_new0(flow_t, 1);
		g_hash_table_insert(
		    queue->flows, GUINT_TO_POINTER(number), flow);
	}
	if (flow->queued == 0)
		flow->served = MAX(flow->served, queue->virtual_time);
	return flow;
}

static usec_t
served(const request_queue_t *queue, const request_demand_t *demand)
{
	const flow_t *flow = find_flow(queue, demand->flow);

	return flow != NULL && flow->queued > 0
	    ? flow->served
	    : MAX(flow != NULL ? flow->served : 0, queue->virtual_time);
}

static bool
is_timely(const request_demand_t *demand, usec_t now)
{
	return now + demand->work <= demand->soft_deadline;
}

/* Compares by lateness and priority; below 0: @left comes first. */
static int
compare_urgency(
    const request_demand_t *left, const request_demand_t *right, usec_t now)
{
	bool left_timely = is_timely(left, now);

	if (left_timely != is_timely(right, now))
		return left_timely ? -1 : 1;
	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	return 0;
}

/* Compares requests of one flow that are equally urgent. */
static int
compare_within_flow(const request_demand_t *left, const request_demand_t *right)
{
	if (left->soft_deadline != right->soft_deadline)
		return left->soft_deadline < right->soft_deadline ? -1 : 1;
	if (left->work != right->work)
		return left->work < right->work ? -1 : 1;
	return 0;
}

static int
compare(const request_queue_t *queue, const request_demand_t *left,
    const request_demand_t *right, usec_t now)
{
	int order = compare_urgency(left, right, now);
	usec_t left_served, right_served;

	if (order != 0 || left->flow == right->flow)
		return order != 0 ? order : compare_within_flow(left, right);
	left_served = served(queue, left);
	right_served = served(queue, right);
	if (left_served != right_served)
		return left_served < right_served ? -1 : 1;
	return compare_within_flow(left, right);
}

/* Sums up by flow the work of the requests that are as urgent as @demand, and
 * returns the work of the more urgent ones. */
static usec_t
sum_by_flow(
    const request_queue_t *queue, const request_demand_t *demand, usec_t now)
{
	usec_t urgent = 0;

	for (guint i = 0; i < queue->entries->len; i++) {
		const request_entry_t *entry = queue->entries->pdata[i];
		const request_demand_t *other = &entry->demand;
		int order = compare_urgency(other, demand, now);
		flow_t *flow = find_flow(queue, other->flow);

		if (other == demand || order > 0)
			continue;
		if (order < 0)
			urgent += other->work;
		else if (other->flow != demand->flow ||
		    compare_within_flow(other, demand) <= 0)
			flow->ahead += other->work;
	}
	return urgent;
}

/*
 * Work that is placed before @demand: that of more urgent requests, and of
 * equally urgent ones what each flow receives until the flow of @demand has
 * received its own.
 */
static usec_t
work_before(
    const request_queue_t *queue, const request_demand_t *demand, usec_t now)
{
	const flow_t *own = find_flow(queue, demand->flow);
	GHashTableIter iter;
	usec_t work, turn;
	void *value;

	g_hash_table_iter_init(&iter, queue->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((flow_t *)value)->ahead = 0;
	work = sum_by_flow(queue, demand, now);
	turn = served(queue, demand) + (own != NULL ? own->ahead : 0);
	work += own != NULL ? own->ahead : 0;
	g_hash_table_iter_init(&iter, queue->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const flow_t *flow = value;

		if (flow != own)
			work += CLAMP(
			    turn + demand->work - flow->served, 0, flow->ahead);
	}
	return work;
}

static usec_t
expected_wait(const request_queue_t *queue, const request_demand_t *demand,
    const request_room_t *room, usec_t now)
{
	usec_t work = work_before(queue, demand, now);

	/* The next place becomes free after its part of one request's work. */
	if (!room->free)
		work += demand->work;
	return work / MAX(room->places, 1);
}

static bool
misses_deadline(const request_demand_t *demand, usec_t wait, usec_t now)
{
	return now + wait + demand->work > demand->deadline;
}

request_verdict_t
request_queue_offer(request_queue_t *queue, request_entry_t *entry,
    const request_room_t *room, usec_t now, usec_t *wait)
{
	*wait = expected_wait(queue, &entry->demand, room, now);
	if (room->free && queue->entries->len == 0)
		return REQUEST_PLACE;
	if (misses_deadline(&entry->demand, *wait, now) ||
	    queue->entries->len >= REQUEST_QUEUE_MAX)
		return REQUEST_REFUSE;
	add_flow(queue, entry->demand.flow)->queued++;
	g_ptr_array_add(queue->entries, entry);
	entry->queued = true;
	return REQUEST_WAIT;
}

request_entry_t *
request_queue_next(const request_queue_t *queue, usec_t now)
{
	request_entry_t *first = NULL;

	for (guint i = 0; i < queue->entries->len; i++) {
		request_entry_t *entry = queue->entries->pdata[i];

		if (first == NULL ||
		    compare(queue, &entry->demand, &first->demand, now) < 0)
			first = entry;
	}
	return first;
}

void
request_queue_remove(request_queue_t *queue, request_entry_t *entry)
{
	if (!entry->queued)
		return;
	entry->queued = false;
	g_ptr_array_remove_fast(queue->entries, entry);
	find_flow(queue, entry->demand.flow)->queued--;
	if (queue->entries->len > 0)
		return;
	/* Nobody competes any more, so nothing is remembered. */
	g_hash_table_remove_all(queue->flows);
	queue->virtual_time = 0;
}

void
request_queue_take(request_queue_t *queue, request_entry_t *entry)
{
	flow_t *flow = find_flow(queue, entry->demand.flow);

	queue->virtual_time = MAX(queue->virtual_time, flow->served);
	flow->served += entry->demand.work;
	request_queue_remove(queue, entry);
}

request_entry_t *
request_queue_hopeless(const request_queue_t *queue, const request_room_t *room,
    usec_t now, usec_t *wait)
{
	request_entry_t *last = NULL;

	for (guint i = 0; i < queue->entries->len; i++) {
		request_entry_t *entry = queue->entries->pdata[i];
		usec_t own = expected_wait(queue, &entry->demand, room, now);

		if (!misses_deadline(&entry->demand, own, now))
			continue;
		if (last != NULL &&
		    compare(queue, &entry->demand, &last->demand, now) < 0)
			continue;
		last = entry;
		*wait = own;
	}
	return last;
}

uint32_t
request_queue_count(const request_queue_t *queue)
{
	return queue->entries->len;
}

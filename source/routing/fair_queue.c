#include "fair_queue.h"

#include <glib.h>
#include <string.h>

#include "bulrushwell/name.h"

/* Virtual time of an element of weight 1. */
#define VIRTUAL_TIME_UNIT ((int64_t)1 << 20)

/* Flows without elements that are kept when the queue becomes empty. */
#define MAX_IDLE_FLOWS 256

struct flow {
	heap_node_t order_node; /* key: virtual time */
	heap_t elements;
	uint32_t weight;
	name_t customer;
};

struct fair_queue {
	GHashTable *flows; /* customer -> flow_t */
	/* Also holds flows without elements until the virtual time of the queue
	 * reaches theirs, so that a customer gains nothing by emptying its flow
	 * and coming back immediately. */
	heap_t flow_order;
	int64_t virtual_time;
	uint32_t count;
	uint64_t active_weight; /* of the flows that have elements */
};

static void
free_flow(gpointer data)
{
	flow_t *flow = data;

	heap_clear(&flow->elements);
	g_free(flow);
}

fair_queue_t *
fair_queue_create(void)
{
	fair_queue_t *queue = g_new0(fair_queue_t, 1);

	queue->flows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_flow);
	return queue;
}

void
fair_queue_destroy(fair_queue_t *queue)
{
	if (queue == NULL)
		return;
	g_hash_table_destroy(queue->flows);
	heap_clear(&queue->flow_order);
	g_free(queue);
}

static flow_t *
find_or_add_flow(fair_queue_t *queue, const char *customer, uint32_t weight)
{
	flow_t *flow = g_hash_table_lookup(queue->flows, customer);

	if (flow == NULL) {
		flow = g_new0(flow_t, 1);
		g_strlcpy(flow->customer, customer, sizeof(flow->customer));
		g_hash_table_insert(queue->flows, flow->customer, flow);
		heap_push(
		    &queue->flow_order, &flow->order_node, queue->virtual_time);
	}
	if (flow->elements.count == 0)
		flow->weight = CLAMP(weight, 1, FAIR_QUEUE_MAX_WEIGHT);
	return flow;
}

static void
advance_flow(fair_queue_t *queue, flow_t *flow)
{
	int64_t key = flow->order_node.key + VIRTUAL_TIME_UNIT / flow->weight;

	heap_remove(&queue->flow_order, &flow->order_node);
	heap_push(&queue->flow_order, &flow->order_node, key);
}

static void
count_removal(fair_queue_t *queue, const flow_t *flow)
{
	queue->count--;
	if (flow->elements.count == 0)
		queue->active_weight -= flow->weight;
}

static void
remove_flow(fair_queue_t *queue, flow_t *flow)
{
	heap_remove(&queue->flow_order, &flow->order_node);
	g_hash_table_remove(queue->flows, flow->customer);
}

/* Returns the flow to be served next and frees the empty flows before it, whose
 * virtual time the queue has reached. */
static flow_t *
find_next_flow(fair_queue_t *queue)
{
	heap_node_t *node;

	while ((node = heap_top(&queue->flow_order)) != NULL) {
		flow_t *flow = HEAP_ENTRY(node, flow_t, order_node);

		queue->virtual_time = MAX(queue->virtual_time, node->key);
		if (flow->elements.count > 0)
			return flow;
		remove_flow(queue, flow);
	}
	return NULL;
}

flow_t *
fair_queue_push(fair_queue_t *queue, const char *customer, uint32_t weight,
    heap_node_t *node, int64_t key)
{
	flow_t *flow = find_or_add_flow(queue, customer, weight);

	if (flow->elements.count == 0)
		queue->active_weight += flow->weight;
	queue->count++;
	heap_push(&flow->elements, node, key);
	return flow;
}

heap_node_t *
fair_queue_pop(fair_queue_t *queue)
{
	flow_t *flow = find_next_flow(queue);
	heap_node_t *node;

	if (flow == NULL)
		return NULL;
	node = heap_top(&flow->elements);
	heap_remove(&flow->elements, node);
	advance_flow(queue, flow);
	count_removal(queue, flow);
	if (queue->count == 0 && queue->flow_order.count > MAX_IDLE_FLOWS)
		find_next_flow(queue);
	return node;
}

void
fair_queue_remove(fair_queue_t *queue, flow_t *flow, heap_node_t *node)
{
	heap_remove(&flow->elements, node);
	count_removal(queue, flow);
	if (queue->count == 0)
		find_next_flow(queue);
}

void
fair_queue_charge(fair_queue_t *queue, const char *customer)
{
	flow_t *flow = g_hash_table_lookup(queue->flows, customer);

	if (flow != NULL)
		advance_flow(queue, flow);
}

uint32_t
fair_queue_count(const fair_queue_t *queue)
{
	return queue->count;
}

uint32_t
fair_queue_ahead(
    const fair_queue_t *queue, const char *customer, uint32_t weight)
{
	const flow_t *flow;
	uint64_t own = 0, others = queue->active_weight, ahead;

	if (queue->count == 0)
		return 0;
	weight = CLAMP(weight, 1, FAIR_QUEUE_MAX_WEIGHT);
	flow = g_hash_table_lookup(queue->flows, customer);
	if (flow != NULL && flow->elements.count > 0) {
		own = flow->elements.count;
		weight = flow->weight;
		others -= weight;
	}
	ahead = own + (own + 1) * others / weight;
	return (uint32_t)MIN(ahead, queue->count);
}

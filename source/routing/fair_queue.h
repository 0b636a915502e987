#ifndef ROUTING_FAIR_QUEUE_H
#define ROUTING_FAIR_QUEUE_H

#include <stdint.h>

#include "heap.h"

/**
 * DOC: Queue that is fair between customers
 *
 * Start-time fair queueing: each customer (a flow) has a virtual time that
 * advances by 1 / weight for each element taken, and the flow with the lowest
 * virtual time is served next. Unlike with deficit round robin, a customer with
 * few requests does not wait for the whole quantum of every customer with many.
 * Within a flow the smallest key (the earliest deadline) is taken first.
 */
#define FAIR_QUEUE_MAX_WEIGHT 1024

typedef struct fair_queue fair_queue_t;
typedef struct flow flow_t;

/** fair_queue_create() - An empty queue. */
fair_queue_t *fair_queue_create(void);
/** fair_queue_destroy() - Frees the queue, but not the elements. */
void fair_queue_destroy(fair_queue_t *queue);

/**
 * fair_queue_push() - Adds an element, which stays owned by the caller.
 * @weight: of the customer, clamped to 1..FAIR_QUEUE_MAX_WEIGHT; it changes
 * only while the customer has no elements in the queue
 * @node: member of the element, in no heap
 * @key: the elements of a customer are taken in ascending order of their keys
 *
 * Return: its flow, for fair_queue_remove().
 */
flow_t *fair_queue_push(fair_queue_t *queue, const char *customer,
    uint32_t weight, heap_node_t *node, int64_t key);

/** fair_queue_pop() - Takes the next element, or NULL. */
heap_node_t *fair_queue_pop(fair_queue_t *queue);

/** fair_queue_remove() - Removes an element that is in the queue. */
void fair_queue_remove(fair_queue_t *queue, flow_t *flow, heap_node_t *node);

/**
 * fair_queue_charge() - Counts an element of a customer that was served without
 * passing through the queue against the customer's share.
 */
void fair_queue_charge(fair_queue_t *queue, const char *customer);

/** fair_queue_count() - Elements of all customers. */
uint32_t fair_queue_count(const fair_queue_t *queue);

/**
 * fair_queue_ahead() - Estimates how many elements would be taken before a new
 * one of this customer.
 */
uint32_t fair_queue_ahead(
    const fair_queue_t *queue, const char *customer, uint32_t weight);

#endif

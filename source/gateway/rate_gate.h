#ifndef RATE_GATE_H
#define RATE_GATE_H

#include <ev.h>

#include "../peers/peer_group.h"
#include "customer_rates.h"
#include "route_table.h"

/**
 * DOC: Connects the rate limits of customers to the event loop
 *
 * Runs customer_rates: the time, its messages and its verdicts on requests that
 * were held back.
 */

#define RATE_CUSTOMERS_SHOWN 100 /* by name, in metrics and state */

typedef struct rate_gate rate_gate_t;

typedef struct {
	/** Sends a message to a node. */
	void (*send)(
	    void *context, const char *node, const peer_message_t *message);
	void *context;
} rate_sender_t;

/**
 * rate_gate_create() - Creates a gate without limits.
 * @node: name of this node
 * @decided: called with the verdict on each request that was held back; not
 * called during rate_gate_request()
 */
rate_gate_t *rate_gate_create(struct ev_loop *loop, const rate_bound_t *bound,
    const char *node, void (*decided)(const rate_decision_t *decision));
void rate_gate_destroy(rate_gate_t *gate);

/** rate_gate_set_sender() - Sets how messages are sent; copies it. */
void rate_gate_set_sender(rate_gate_t *gate, const rate_sender_t *sender);

/** rate_gate_set_nodes() - Sets the nodes of all data centres. */
void rate_gate_set_nodes(
    rate_gate_t *gate, const peer_node_t *nodes, uint32_t count);

/** rate_gate_set_alone() - This node has no link to others and is the only one.
 */
void rate_gate_set_alone(rate_gate_t *gate);

/** rate_gate_set_limits() - Takes over the limits of a configuration. */
void rate_gate_set_limits(rate_gate_t *gate, const route_table_t *table);

/** rate_gate_request() - Like customer_rates_request(). */
rate_verdict_t rate_gate_request(rate_gate_t *gate, const char *customer,
    void *request, usec_t *retry_after);

/** rate_gate_cancel() - Drops a request that is held back. */
void rate_gate_cancel(
    rate_gate_t *gate, const char *customer, const void *request);

/** rate_gate_return() - Like customer_rates_return(). */
void rate_gate_return(rate_gate_t *gate, const char *customer);

/** rate_gate_receive() - Handles a message of a listed node. */
void rate_gate_receive(
    rate_gate_t *gate, const char *sender, const peer_message_t *message);

/** rate_gate_visit() - Like customer_rates_visit(). */
void rate_gate_visit(rate_gate_t *gate,
    void (*visit)(void *context, const rate_stats_t *stats), void *context);

#endif

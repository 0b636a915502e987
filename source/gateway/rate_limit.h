#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

#include <stdint.h>

#include "bulrushwell/clock.h"

/**
 * DOC: A customer's limit and how its tolerance is divided
 *
 * In each window w, all nodes together admit at most (r w + b) (1 + overshoot)
 * + slack requests of a customer. What exceeds r w + b is the tolerance. Parts
 * of it are added to the rate and to the burst, since a divided limit cannot
 * use all that it allows: without them, small customers are refused below their
 * limit. Another part is given out by each granting node that has just started
 * and knows no grants; it is small enough for two such starts in one window.
 * The last part is a reserve of the nodes whose granting node is silent.
 */

/** typedef rate_bound_t - The bound for all customers. */
typedef struct {
	usec_t window;
	double overshoot; /* share of r w + b */
	double slack;	  /* requests */
} rate_bound_t;

/** typedef rate_limit_t - A customer's limit for all nodes together. */
typedef struct {
	double rate_per_s; /* with a part of the tolerance */
	double burst;	   /* requests, with a part of the tolerance */
	double start;	   /* requests that a starting granting node grants */
	double reserve;	   /* requests in a window without grants */
} rate_limit_t;

/**
 * rate_limit_derive() - Divides the tolerance of a customer's limit.
 * @rate_per_s: requests per second, above 0
 * @burst: requests
 */
rate_limit_t rate_limit_derive(
    const rate_bound_t *bound, double rate_per_s, double burst);

/** rate_customer_id() - The hash of a customer's name. */
uint64_t rate_customer_id(const char *name);

/** rate_node_weight() - The weight of a node as the one that grants for a
 * customer; the node with the greatest is chosen. */
uint64_t rate_node_weight(const char *node, uint64_t customer);

#endif

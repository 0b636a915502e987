#ifndef CUSTOMER_RATES_H
#define CUSTOMER_RATES_H

#include <stdbool.h>

#include "../peers/peer_message.h"
#include "bulrushwell/name.h"
#include "rate_limit.h"

/**
 * DOC: The rate limits of customers over all nodes
 *
 * Decides which requests of a customer are admitted. Load pattern: each client
 * mostly stays with one node, so a customer's requests arrive at few nodes,
 * which change; a hot customer sends ten times its usual rate for seconds.
 *
 * For each customer that is in use, a node holds a share of the rate and burst
 * as a lease of the customer's granting node (see rate_granter.h) and renews it
 * by its demand. A request beyond the share is held back while a token is asked
 * for. allowance.h does not fit: it divides a contract into 64 fixed units, and
 * its loans carry no burst.
 *
 * The module does no I/O and has no clock. Messages to send and verdicts on
 * requests that were held back are taken out of it after each call.
 */

/** CUSTOMER_RATES_HOLD_MAX - The longest time that a request is held back. */
#define CUSTOMER_RATES_HOLD_MAX MS(30)

typedef struct customer_rates customer_rates_t;

typedef enum {
	RATE_ADMIT,
	RATE_REFUSE,
	RATE_HOLD /* a verdict follows */
} rate_verdict_t;

/** typedef rate_decision_t - The verdict on a request that was held back. */
typedef struct {
	void *request;
	bool admitted;
	usec_t retry_after; /* of a refused request: when it will be served */
} rate_decision_t;

/** typedef rate_message_t - A message to send to a node. */
typedef struct {
	name_t node;
	peer_message_t message;
} rate_message_t;

/** typedef rate_stats_t - What is known of a customer. */
typedef struct {
	const char *name;
	uint64_t admitted;
	uint64_t refused;
	double rate_per_s; /* of this node's share */
	double tokens;
	const char *granting_node; /* "" while no nodes are known */
	bool is_silent;		   /* the granting node does not answer */
} rate_stats_t;

/**
 * customer_rates_create() - Creates the limits of a node; no customer has one.
 * @node: name of this node
 * @incarnation: random, not 0; differs from that of any process before
 */
customer_rates_t *customer_rates_create(const rate_bound_t *bound,
    const char *node, uint64_t incarnation, usec_t now);
void customer_rates_destroy(customer_rates_t *rates);

/** customer_rates_set_nodes() - Sets the nodes of all data centres; this one is
 * added if it is missing. */
void customer_rates_set_nodes(
    customer_rates_t *rates, const name_t *names, uint32_t count, usec_t now);

/**
 * customer_rates_begin_limits(), customer_rates_set_limit(),
 * customer_rates_end_limits() - Replace the limits of all customers. Customers
 * that are not set between begin and end have no limit.
 * @rate_per_s: 0: no limit
 */
void customer_rates_begin_limits(customer_rates_t *rates);
void customer_rates_set_limit(customer_rates_t *rates, const char *name,
    double rate_per_s, double burst, usec_t now);
void customer_rates_end_limits(customer_rates_t *rates);

/**
 * customer_rates_request() - Decides on a request of a customer.
 * @request: identifies a request that is held back
 * @retry_after: set if it is refused
 */
rate_verdict_t customer_rates_request(customer_rates_t *rates, const char *name,
    void *request, usec_t now, usec_t *retry_after);

/** customer_rates_cancel() - Drops a request that is held back. */
void customer_rates_cancel(
    customer_rates_t *rates, const char *name, const void *request);

/** customer_rates_return() - Gives back the token of a request that was
 * admitted just now, at @now, but is not sent. Tokens that were taken earlier
 * must not be given back, since they have been replaced. */
void customer_rates_return(
    customer_rates_t *rates, const char *name, usec_t now);

/** customer_rates_receive() - Handles a message of a listed node. */
void customer_rates_receive(customer_rates_t *rates, const char *sender,
    const peer_message_t *message, usec_t now);

/** customer_rates_advance() - Does what is due. */
void customer_rates_advance(customer_rates_t *rates, usec_t now);

/** customer_rates_next_due() - When to call customer_rates_advance() next. */
usec_t customer_rates_next_due(const customer_rates_t *rates);

/** customer_rates_next_decision() - Takes a verdict; false: there is none. */
bool customer_rates_next_decision(
    customer_rates_t *rates, rate_decision_t *decision);

/**
 * customer_rates_next_message() - Takes a message to send.
 *
 * Return: the message, valid until the next call, or NULL.
 */
const rate_message_t *customer_rates_next_message(customer_rates_t *rates);

/** customer_rates_visit() - Calls @visit for each customer with requests, in
 * the order of their first ones. */
void customer_rates_visit(customer_rates_t *rates,
    void (*visit)(void *context, const rate_stats_t *stats), void *context,
    usec_t now);

#endif

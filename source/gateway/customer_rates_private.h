#ifndef CUSTOMER_RATES_PRIVATE_H
#define CUSTOMER_RATES_PRIVATE_H

#include <glib.h>

#include "customer_rates.h"
#include "rate_granter.h"

/** DOC: Internal types and functions of the customer_rates*.c files */

/** RATES_ASK_INTERVAL - Requests that arrive within this time are asked for
 * together. */
#define RATES_ASK_INTERVAL MS(2)
/** RATES_RESEND_AFTER - A reply takes up to 7 ms; after this time, one of the
 * datagrams was lost. */
#define RATES_RESEND_AFTER MS(10)
#define RATES_ASKS_MAX 3     /* of a waiting request */
#define RATES_RESERVE_MAX 16 /* requests in a window */

/** typedef rate_waiting_t - A request that waits for a token. */
typedef struct {
	void *request;
	usec_t since;
	uint64_t asked; /* sequence number of the message; 0: not yet */
	usec_t asked_at;
	uint32_t asks;
} rate_waiting_t;

/** typedef rate_customer_t - A customer with a limit. */
typedef struct {
	uint64_t id;
	char *name;
	rate_limit_t limit;
	bool kept;   /* by the limits that are being set */
	bool active; /* in @active of the module */
	bool seen;   /* in @seen of the module */
	uint64_t admitted;
	uint64_t refused;
	char *granting_node;	   /* NULL: not known */
	uint32_t nodes_generation; /* for which @granting_node was chosen */
	peer_rate_share_t share;
	uint64_t grant;	       /* sequence number of the last grant */
	uint64_t grants_after; /* of requests up to here are ignored */
	usec_t lease_until;
	double tokens;
	usec_t earned_at;
	double demand; /* requests per second, when it was last updated */
	double demand_before; /* the last request */
	usec_t demand_at;
	usec_t offered_at;
	uint32_t offered; /* since the last report */
	usec_t reported_at;
	GArray *waiting; /* rate_waiting_t */
	usec_t asked_at;
	usec_t short_until; /* no token is asked for until then */
	bool silent;	    /* the granting node has not answered */
	usec_t next_slot;   /* of refused requests */
	usec_t reserve_used[RATES_RESERVE_MAX];
	uint32_t reserve_next;
} rate_customer_t;

/** typedef granting_process_t - The processes of a granting node. */
typedef struct {
	uint64_t incarnation;
	uint64_t last_incarnation;
} granting_process_t;

struct customer_rates {
	rate_bound_t bound;
	char *node;
	uint64_t incarnation;
	rate_granter_t *granter;
	GHashTable *customers; /* rate_customer_t by id */
	GPtrArray *active;     /* rate_customer_t with demand or a share */
	GPtrArray
	    *seen; /* rate_customer_t, in the order of their first requests */
	GPtrArray *nodes;   /* names, sorted */
	uint32_t own_index; /* in @nodes */
	uint64_t nodes_hash;
	uint32_t nodes_generation; /* 0: the nodes are not known */
	GHashTable *processes;	   /* granting_process_t by name of the node */
	uint64_t sequence;	   /* of the last request sent */
	usec_t started_at;
	usec_t touched_at;
	usec_t tick_at;
	usec_t collect_at;
	usec_t collect_interval;
	GArray *decisions; /* rate_decision_t */
	GQueue messages;   /* rate_message_t */
	rate_message_t *taken_message;
};

/** rates_share_rate(), rates_share_burst() - What this node holds, in requests
 * per second and requests. */
double rates_share_rate(const rate_customer_t *customer);
double rates_share_burst(const rate_customer_t *customer);

/** rates_earn() - Ends a lease that is over, and adds the tokens earned since
 * the last call. */
void rates_earn(rate_customer_t *customer, usec_t now);

/** rates_demand() - Recent requests per second at this node. */
double rates_demand(const rate_customer_t *customer, usec_t now);

/** rates_record_offer() - Counts a request that has arrived. */
void rates_record_offer(
    customer_rates_t *rates, rate_customer_t *customer, usec_t now);

/** rates_take_token() - Takes a token, if there is one. */
bool rates_take_token(rate_customer_t *customer);

/** rates_next_retry() - When a refused request is expected to be served, after
 * those refused before it; from now. */
usec_t rates_next_retry(
    const customer_rates_t *rates, rate_customer_t *customer, usec_t now);

/** rates_decide() - Queues the verdict on a request that was held back. */
void rates_decide(customer_rates_t *rates, rate_customer_t *customer,
    void *request, bool admitted, usec_t now);

/** rates_admit_waiting() - Admits waiting requests as far as tokens last. */
void rates_admit_waiting(
    customer_rates_t *rates, rate_customer_t *customer, usec_t now);

/** rates_apply_granted() - Applies what the granting node has granted.
 * @request: sequence number of the request for it */
void rates_apply_granted(customer_rates_t *rates, rate_customer_t *customer,
    const peer_rate_granted_t *granted, uint64_t request, usec_t now);

/** rates_take_reserve() - Takes a request's part of the reserve, if any is left
 * in this window. */
bool rates_take_reserve(
    const customer_rates_t *rates, rate_customer_t *customer, usec_t now);

/** rates_decide_without_answer() - Decides on requests whose granting node has
 * not answered in time. */
void rates_decide_without_answer(
    customer_rates_t *rates, rate_customer_t *customer, usec_t now);

/** rates_next_waiting_due() - When something is due for waiting requests. */
usec_t rates_next_waiting_due(const rate_customer_t *customer);

/** rates_is_own() - Whether @node is this node. */
bool rates_is_own(const customer_rates_t *rates, const char *node);

/** rates_granting_node() - The node that grants for a customer, or NULL while
 * the nodes are not known. */
const char *rates_granting_node(
    customer_rates_t *rates, rate_customer_t *customer);

/** rates_grants() - Whether this node grants for a customer. @context: the
 * customer_rates_t */
bool rates_grants(void *context, uint64_t id);

/** rates_ask() - Asks for tokens for the waiting requests that were not asked
 * for. */
void rates_ask(customer_rates_t *rates, rate_customer_t *customer, usec_t now);

/** rates_queue_message() - Queues an empty message of @kind to a node. */
rate_message_t *rates_queue_message(
    customer_rates_t *rates, const char *node, peer_kind_t kind);

/**
 * rates_grant_request() - Handles a request as the granting node.
 *
 * Return: whether @grant is to be sent.
 */
bool rates_grant_request(customer_rates_t *rates, const char *sender,
    const peer_rate_request_t *request, usec_t now, peer_rate_grant_t *grant);

/** rates_apply_grant() - Applies a grant message. */
void rates_apply_grant(customer_rates_t *rates, const char *sender,
    const peer_rate_grant_t *grant, usec_t now);

/** rates_renew_shares() - Renews the shares that are due and returns those that
 * are not used. */
void rates_renew_shares(customer_rates_t *rates, usec_t now);

/** rates_begin_collecting() - Begins to ask all nodes what they hold. */
void rates_begin_collecting(customer_rates_t *rates, usec_t now);

/** rates_collect_reports() - Asks the nodes that have not reported. */
void rates_collect_reports(customer_rates_t *rates, usec_t now);

/** rates_answer_collection() - Reports to a node that asks what this one holds.
 */
void rates_answer_collection(customer_rates_t *rates, const char *sender,
    const peer_rate_request_t *request, usec_t now);

#endif

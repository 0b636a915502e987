/* The messages about shares, and which node they go to. */
#include <math.h>
#include <string.h>

#include "customer_rates_private.h"

/*
 * Renewals of a share that is used, if it suffices and if it does not. A share
 * that is not used is not renewed, but returned before its lease ends.
 */
#define RENEW_INTERVAL SECONDS(4)
#define RENEW_SHORT_INTERVAL SECONDS(1)
#define SUFFICIENT_RATIO 0.8	  /* of the share to the demand */
#define RELEASE_AFTER SECONDS(15) /* without a request */
/* Nodes that have not reported are asked again after these times. */
#define COLLECT_FIRST_INTERVAL MS(25)
#define COLLECT_MAX_INTERVAL SECONDS(4)

void
rates_begin_collecting(customer_rates_t *rates, usec_t now)
{
	rates->collect_at = now;
	rates->collect_interval = COLLECT_FIRST_INTERVAL;
}

static uint64_t
next_sequence(customer_rates_t *rates, usec_t now)
{
	rates->sequence = MAX(rates->sequence + 1, (uint64_t)now);
	return rates->sequence;
}

/* The node that grants for a customer, or NULL while the nodes are unknown. */
static const char *
choose_granting_node(const customer_rates_t *rates, uint64_t id)
{
	const char *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < rates->nodes->len; i++) {
		const char *node = g_ptr_array_index(rates->nodes, i);
		uint64_t weight = rate_node_weight(node, id);

		if (best == NULL || weight > best_weight) {
			best = node;
			best_weight = weight;
		}
	}
	return best;
}

/* Grants of another node do not apply any more, but the share stays until its
 * lease ends, unless the new granting node confirms it. */
static void
change_granting_node(
    customer_rates_t *rates, rate_customer_t *customer, const char *node)
{
	g_free(customer->granting_node);
	customer->granting_node = g_strdup(node);
	customer->grant = 0;
	customer->grants_after = rates->sequence;
	customer->reported_at = 0;
	customer->short_until = 0;
	for (guint i = 0; i < customer->waiting->len; i++)
		g_array_index(customer->waiting, rate_waiting_t, i).asked = 0;
}

const char *
rates_granting_node(customer_rates_t *rates, rate_customer_t *customer)
{
	const char *node;

	if (customer->nodes_generation == rates->nodes_generation)
		return customer->granting_node;
	customer->nodes_generation = rates->nodes_generation;
	node = choose_granting_node(rates, customer->id);
	if (g_strcmp0(node, customer->granting_node) != 0)
		change_granting_node(rates, customer, node);
	return customer->granting_node;
}

bool
rates_is_own(const customer_rates_t *rates, const char *node)
{
	return node != NULL && strcmp(node, rates->node) == 0;
}

bool
rates_grants(void *context, uint64_t id)
{
	return rates_is_own(context, choose_granting_node(context, id));
}

rate_message_t *
rates_queue_message(customer_rates_t *rates, const char *node, peer_kind_t kind)
{
	rate_message_t *message = g_new0(rate_message_t, 1);

	g_strlcpy(message->node, node, sizeof(message->node));
	message->message.kind = kind;
	g_queue_push_tail(&rates->messages, message);
	return message;
}

static void
begin_request(customer_rates_t *rates, peer_rate_request_t *request, usec_t now)
{
	*request = (peer_rate_request_t){
	    .incarnation = rates->incarnation,
	    .sequence = next_sequence(rates, now),
	    .nodes_hash = rates->nodes_hash,
	};
}

static void
add_want(const customer_rates_t *rates, peer_rate_request_t *request,
    rate_customer_t *customer, uint32_t tokens, usec_t now)
{
	/* The request that is asked for would make the estimate too high. */
	double per_s =
	    tokens > 0 ? customer->demand_before : rates_demand(customer, now);
	double demand = ceil(per_s * 1000.0);

	customer->offered = 0;
	customer->reported_at = now;
	request->wants[request->count++] = (peer_rate_want_t){
	    .customer = customer->id,
	    .held = customer->share,
	    .grant = customer->grant,
	    .demand = (uint32_t)CLAMP(demand, 1.0, PEER_RATE_DEMAND_MAX),
	    .tokens = tokens,
	};
}

/* Return: whether there is something to reply to the request. */
bool
rates_grant_request(customer_rates_t *rates, const char *sender,
    const peer_rate_request_t *request, usec_t now, peer_rate_grant_t *grant)
{
	*grant = (peer_rate_grant_t){
	    .incarnation = rates->incarnation,
	    .request = request->sequence,
	};
	if (!rate_granter_handle_header(rates->granter, sender, request, now))
		return false;
	for (uint32_t i = 0; i < request->count; i++) {
		const peer_rate_want_t *want = &request->wants[i];
		rate_customer_t *customer =
		    g_hash_table_lookup(rates->customers, &want->customer);

		if (customer == NULL ||
		    !rates_is_own(rates, rates_granting_node(rates, customer)))
			continue;
		if (rate_granter_handle_want(rates->granter, sender, want,
			&customer->limit, request->sequence, now,
			&grant->granted[grant->count]))
			grant->count++;
	}
	rate_granter_finish_report(rates->granter, sender, request, now);
	return grant->count > 0;
}

/* A new process of a granting node does not continue the numbers of the one
 * before. */
static bool
is_current_process(
    customer_rates_t *rates, const char *node, uint64_t incarnation)
{
	granting_process_t *process =
	    g_hash_table_lookup(rates->processes, node);

	if (process == NULL) {
		process = g_new0(granting_process_t, 1);
		g_hash_table_insert(rates->processes, g_strdup(node), process);
	}
	if (incarnation == process->last_incarnation)
		return false;
	if (incarnation == process->incarnation)
		return true;
	process->last_incarnation = process->incarnation;
	process->incarnation = incarnation;
	for (guint i = 0; i < rates->active->len; i++) {
		rate_customer_t *customer = g_ptr_array_index(rates->active, i);

		if (g_strcmp0(customer->granting_node, node) == 0)
			customer->grant = 0;
	}
	return true;
}

void
rates_apply_grant(customer_rates_t *rates, const char *sender,
    const peer_rate_grant_t *grant, usec_t now)
{
	/* A lease is counted from the request, so it must have been sent. */
	if (grant->request > rates->sequence ||
	    !is_current_process(rates, sender, grant->incarnation))
		return;
	for (uint32_t i = 0; i < grant->count; i++) {
		const peer_rate_granted_t *granted = &grant->granted[i];
		rate_customer_t *customer =
		    g_hash_table_lookup(rates->customers, &granted->customer);

		if (customer == NULL || !customer->active ||
		    g_strcmp0(rates_granting_node(rates, customer), sender) !=
			0)
			continue;
		rates_apply_granted(
		    rates, customer, granted, grant->request, now);
	}
}

/* Sends a request, or grants it here. */
static void
send_request(customer_rates_t *rates, const char *node,
    const peer_rate_request_t *request, usec_t now)
{
	peer_rate_grant_t grant;

	if (!rates_is_own(rates, node)) {
		rates_queue_message(rates, node, PEER_RATE_REQUEST)
		    ->message.rate_request = *request;
		return;
	}
	if (rates_grant_request(rates, node, request, now, &grant))
		rates_apply_grant(rates, node, &grant, now);
}

/* Asks for tokens for the waiting requests that were not asked for. */
void
rates_ask(customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	const char *node = rates_granting_node(rates, customer);
	peer_rate_request_t request;
	uint32_t tokens = 0;

	if (node == NULL)
		return;
	begin_request(rates, &request, now);
	for (guint i = 0; i < customer->waiting->len; i++) {
		rate_waiting_t *waiting =
		    &g_array_index(customer->waiting, rate_waiting_t, i);

		if (waiting->asked != 0)
			continue;
		waiting->asked = request.sequence;
		waiting->asked_at = now;
		waiting->asks++;
		tokens++;
	}
	customer->asked_at = now;
	add_want(rates, &request, customer, tokens, now);
	send_request(rates, node, &request, now);
}

/* Reports all that is held of the customers for which @node grants. */
static void
send_report(customer_rates_t *rates, const char *node, usec_t now)
{
	GArray *requests =
	    g_array_new(FALSE, FALSE, sizeof(peer_rate_request_t));
	peer_rate_request_t request;
	uint64_t report;

	begin_request(rates, &request, now);
	report = request.sequence;
	for (guint i = 0; i < rates->active->len; i++) {
		rate_customer_t *customer = g_ptr_array_index(rates->active, i);

		rates_earn(customer, now);
		if (g_strcmp0(rates_granting_node(rates, customer), node) != 0)
			continue;
		if (request.count == PEER_RATE_ITEMS_MAX) {
			g_array_append_val(requests, request);
			begin_request(rates, &request, now);
		}
		add_want(rates, &request, customer, 0, now);
	}
	g_array_append_val(requests, request);
	for (guint i = 0; i < MIN(requests->len, PEER_RATE_PARTS_MAX); i++) {
		peer_rate_request_t *part =
		    &g_array_index(requests, peer_rate_request_t, i);

		part->report = report;
		part->part = i;
		/* Too much for one report: the leases end in time. */
		if (requests->len <= PEER_RATE_PARTS_MAX)
			part->parts = requests->len;
		send_request(rates, node, part, now);
	}
	g_array_free(requests, TRUE);
}

static void
ask_for_report(customer_rates_t *rates, const char *node, usec_t now)
{
	peer_rate_request_t request;

	if (rates_is_own(rates, node)) {
		send_report(rates, node, now);
		return;
	}
	begin_request(rates, &request, now);
	request.wants_report = 1;
	send_request(rates, node, &request, now);
}

/* Asks the nodes that have not reported what they hold. */
void
rates_collect_reports(customer_rates_t *rates, usec_t now)
{
	if (rates->nodes_generation == 0 || now < rates->collect_at)
		return;
	if (rate_granter_is_certain(rates->granter, now)) {
		rates->collect_at = INT64_MAX;
		return;
	}
	rates->collect_at = now + rates->collect_interval;
	rates->collect_interval =
	    MIN(2 * rates->collect_interval, COLLECT_MAX_INTERVAL);
	for (guint i = 0; i < rates->nodes->len; i++) {
		const char *node = g_ptr_array_index(rates->nodes, i);

		if (!rate_granter_has_reported(rates->granter, node))
			ask_for_report(rates, node, now);
	}
}

/* Answers a node that collects reports. It has the same list of nodes since
 * shortly, so this node may need a report of it, too. */
void
rates_answer_collection(customer_rates_t *rates, const char *sender,
    const peer_rate_request_t *request, usec_t now)
{
	if (!is_current_process(rates, sender, request->incarnation))
		return;
	send_report(rates, sender, now);
	if (request->nodes_hash == rates->nodes_hash &&
	    rates->collect_at != INT64_MAX &&
	    !rate_granter_has_reported(rates->granter, sender))
		ask_for_report(rates, sender, now);
}

/* Returns a share that has not been used for a while. */
static void
release(customer_rates_t *rates, rate_customer_t *customer, usec_t now)
{
	const char *node = rates_granting_node(rates, customer);
	peer_rate_request_t request;

	bool had_share = customer->share.rate > 0 || customer->share.burst > 0;

	customer->share = (peer_rate_share_t){0, 0};
	customer->tokens = 0.0;
	customer->lease_until = 0;
	customer->grant = 0;
	customer->demand = 0.0;
	begin_request(rates, &request, now);
	customer->grants_after = request.sequence;
	if (node == NULL || !had_share)
		return;
	request.wants[0] = (peer_rate_want_t){
	    .customer = customer->id, .grant = customer->grant};
	request.count = 1;
	send_request(rates, node, &request, now);
}

static usec_t
renew_interval(const rate_customer_t *customer, usec_t now)
{
	double demand = rates_demand(customer, now);

	if (customer->offered == 0)
		return INT64_MAX;
	return rates_share_rate(customer) < SUFFICIENT_RATIO * demand
	    ? RENEW_SHORT_INTERVAL
	    : RENEW_INTERVAL;
}

/* Adds the customer to the request of its granting node. */
static void
add_renewal(customer_rates_t *rates, rate_customer_t *customer,
    GHashTable *requests, usec_t now)
{
	const char *node = rates_granting_node(rates, customer);
	peer_rate_request_t *request;

	if (node == NULL ||
	    (customer->reported_at != 0 &&
		now - customer->reported_at < renew_interval(customer, now)))
		return;
	request = g_hash_table_lookup(requests, node);
	if (request == NULL) {
		request = g_new(peer_rate_request_t, 1);
		begin_request(rates, request, now);
		g_hash_table_insert(requests, g_strdup(node), request);
	}
	/* Those beyond are renewed at the next tick. */
	if (request->count < PEER_RATE_ITEMS_MAX)
		add_want(rates, request, customer, 0, now);
}

void
rates_renew_shares(customer_rates_t *rates, usec_t now)
{
	GHashTable *requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	void *key, *value;

	for (guint i = 0; i < rates->active->len;) {
		rate_customer_t *customer = g_ptr_array_index(rates->active, i);

		rates_earn(customer, now);
		if (customer->waiting->len == 0 &&
		    now - customer->offered_at >= RELEASE_AFTER) {
			release(rates, customer, now);
			customer->active = false;
			g_ptr_array_remove_index_fast(rates->active, i);
			continue;
		}
		add_renewal(rates, customer, requests, now);
		i++;
	}
	g_hash_table_iter_init(&iter, requests);
	while (g_hash_table_iter_next(&iter, &key, &value))
		send_request(rates, key, value, now);
	g_hash_table_destroy(requests);
}

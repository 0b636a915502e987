#include "node_private.h"

#include <string.h>

/* A request to peers for rate tokens and allowance of one customer, whose
 * queries or reservations wait for them. Peers are asked one at a time, so that
 * this node does not collect tokens that other nodes need. */
typedef struct {
	name_t customer;
	uint64_t id;
	usec_t sent_at;
	name_t peer; /* peer whose reply is awaited */
	uint32_t tried_count;
	name_t tried[MEMBERSHIP_MAX_PEERS];
} token_request_t;

/* Returns the peer that last granted tokens of the customer, or an empty
 * string; that peer is asked first. */
static const char *
last_token_peer(node_t *node, const char *customer)
{
	const char *name =
	    g_hash_table_lookup(node->last_token_peers, customer);

	return name != NULL ? name : "";
}

static bool
was_tried(const token_request_t *request, const char *name)
{
	for (uint32_t i = 0; i < request->tried_count; i++)
		if (strcmp(request->tried[i], name) == 0)
			return true;
	return false;
}

static const char *
choose_peer(node_t *node, const token_request_t *request)
{
	const membership_t *membership = node->board.membership;
	const char *last_peer = last_token_peer(node, request->customer);
	const char *chosen = NULL;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		if (!peer->live || was_tried(request, peer->node))
			continue;
		if (strcmp(peer->node, last_peer) == 0)
			return peer->node;
		chosen = peer->node;
	}
	return chosen;
}

static int
send_permit_request(
    node_t *node, token_request_t *request, const char *peer, usec_t now)
{
	const contract_t *contract =
	    contract_store_find(node->board.contracts, request->customer);
	message_t message = {.kind = MESSAGE_PERMIT_REQUEST};
	permit_t *permit = &message.permit;

	if (contract == NULL)
		return BW_E_NOT_FOUND;
	limits_wanted_allowance(node, contract, &permit->loan, now);
	permit->id = request->id;
	permit->tokens = admission_count_without_token(
	    node->board.admission, request->customer, now);
	permit->longest_deadline =
	    blackboard_longest_deadline(&node->board, now);
	return peer_send(node, peer, &message);
}

static void
ask_next_peer(node_t *node, token_request_t *request, usec_t now)
{
	const char *peer;

	while ((peer = choose_peer(node, request)) != NULL) {
		strcpy(request->tried[request->tried_count++], peer);
		strcpy(request->peer, peer);
		request->sent_at = now;
		request->id = id64_random();
		if (send_permit_request(node, request, peer, now) == 0)
			return;
	}
	admission_refuse_without_token(
	    node->board.admission, request->customer, now);
	g_hash_table_remove(node->token_requests, request->customer);
}

static bool
has_unmet_requests(node_t *node, const char *customer, usec_t now)
{
	admission_stats_t stats;

	if (admission_count_without_token(
		node->board.admission, customer, now) > 0)
		return true;
	admission_get_stats(node->board.admission, customer, &stats);
	return stats.waiting > 0;
}

void
permit_request_tokens(node_t *node, const char *customer, usec_t now)
{
	token_request_t *request =
	    g_hash_table_lookup(node->token_requests, customer);

	/* When the reply arrives and requests are still waiting,
	 * permit_received_reply() asks the next peer. */
	if (request != NULL && now - request->sent_at < MS(LOAN_MS))
		return;
	request = g_new0(token_request_t, 1);
	strcpy(request->customer, customer);
	g_hash_table_replace(node->token_requests, request->customer, request);
	ask_next_peer(node, request, now);
}

void
permit_peer_lost(node_t *node, const char *peer, usec_t now)
{
	GList *values = g_hash_table_get_values(node->token_requests);

	for (GList *item = values; item != NULL; item = item->next) {
		token_request_t *request = item->data;

		if (strcmp(request->peer, peer) == 0)
			ask_next_peer(node, request, now);
	}
	g_list_free(values);
}

void
permit_received_request(node_t *node, const message_t *message, usec_t now)
{
	const permit_t *wanted = &message->permit;
	const char *customer = wanted->loan.customer;
	message_t reply = {.kind = MESSAGE_PERMIT_REPLY};
	permit_t *granted = &reply.permit;

	limits_apply(node, customer, now);
	granted->id = wanted->id;
	granted->tokens = admission_take_tokens(
	    node->board.admission, customer, wanted->tokens, now);
	strcpy(granted->loan.customer, customer);
	limits_lend_one(node, message->sender, message->sender_incarnation,
	    &wanted->loan, wanted->longest_deadline, &granted->loan, now);
	if (peer_send(node, message->sender, &reply) != 0)
		node->dropped_messages++;
}

void
permit_received_reply(node_t *node, const message_t *message, usec_t now)
{
	const permit_t *granted = &message->permit;
	const char *customer = granted->loan.customer;
	token_request_t *request =
	    g_hash_table_lookup(node->token_requests, customer);

	/* Tokens that arrive late are discarded: they would add to the rate of
	 * a later interval. */
	if (request == NULL || request->id != granted->id ||
	    strcmp(request->peer, message->sender) != 0 ||
	    now - request->sent_at >= MS(ADMISSION_PEER_TOKEN_MS)) {
		node->dropped_messages++;
		return;
	}
	if (granted->loan.rate_per_s > 0 || granted->loan.concurrency > 0)
		limits_receive_loan(node, message->sender, &granted->loan,
		    request->sent_at, now);
	if (granted->tokens > 0) {
		g_hash_table_replace(node->last_token_peers, g_strdup(customer),
		    g_strdup(message->sender));
		admission_add_tokens(
		    node->board.admission, customer, granted->tokens, now);
	}
	if (has_unmet_requests(node, customer, now))
		ask_next_peer(node, request, now);
	else
		g_hash_table_remove(node->token_requests, customer);
}

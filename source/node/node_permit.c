#include "node_private.h"

#include <string.h>

/* A customer whose requests wait for a peer's tokens: the peers are asked one
 * after the other, so that tokens do not pile up here that others need. */
typedef struct {
	name_t customer;
	uint64_t id;
	usec_t asked_at;
	name_t peer; /* who is asked now */
	uint32_t tried_count;
	name_t tried[MEMBERSHIP_MAX_PEERS];
} ask_t;

/* The peer that last gave something, by customer, is asked first. */
static const char *
last_giver(node_t *node, const char *customer)
{
	const char *name = g_hash_table_lookup(node->givers, customer);

	return name != NULL ? name : "";
}

static bool
was_tried(const ask_t *ask, const char *name)
{
	for (uint32_t i = 0; i < ask->tried_count; i++)
		if (strcmp(ask->tried[i], name) == 0)
			return true;
	return false;
}

static const char *
choose_peer(node_t *node, const ask_t *ask)
{
	const membership_t *membership = node->board.membership;
	const char *giver = last_giver(node, ask->customer);
	const char *chosen = NULL;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		if (!peer->live || was_tried(ask, peer->node))
			continue;
		if (strcmp(peer->node, giver) == 0)
			return peer->node;
		chosen = peer->node;
	}
	return chosen;
}

static int
send_question(node_t *node, ask_t *ask, const char *peer, usec_t now)
{
	const contract_t *contract =
	    contract_store_find(node->board.contracts, ask->customer);
	message_t message = {.kind = MESSAGE_PERMIT_REQUEST};
	permit_t *permit = &message.permit;

	if (contract == NULL)
		return BW_E_NOT_FOUND;
	limits_make_wish(node, contract, &permit->loan, now);
	permit->id = ask->id;
	permit->tokens =
	    admission_lacking(node->board.admission, ask->customer, now);
	permit->longest = blackboard_longest(&node->board, now);
	return peer_send(node, peer, &message);
}

static void
ask_next(node_t *node, ask_t *ask, usec_t now)
{
	const char *peer;

	while ((peer = choose_peer(node, ask)) != NULL) {
		strcpy(ask->tried[ask->tried_count++], peer);
		strcpy(ask->peer, peer);
		ask->asked_at = now;
		ask->id = id64_random();
		if (send_question(node, ask, peer, now) == 0)
			return;
	}
	admission_refuse_lacking(node->board.admission, ask->customer, now);
	g_hash_table_remove(node->asks, ask->customer);
}

static bool
lacks(node_t *node, const char *customer, usec_t now)
{
	admission_stats_t stats;

	if (admission_lacking(node->board.admission, customer, now) > 0)
		return true;
	admission_get_stats(node->board.admission, customer, &stats);
	return stats.waiting > 0;
}

void
permit_ask(node_t *node, const char *customer, usec_t now)
{
	ask_t *ask = g_hash_table_lookup(node->asks, customer);

	/* The answer to a question that runs is followed by another one when
	 * requests still lack something. */
	if (ask != NULL && now - ask->asked_at < MS(LOAN_MS))
		return;
	ask = g_new0(ask_t, 1);
	strcpy(ask->customer, customer);
	g_hash_table_replace(node->asks, ask->customer, ask);
	ask_next(node, ask, now);
}

void
permit_peer_lost(node_t *node, const char *peer, usec_t now)
{
	GList *values = g_hash_table_get_values(node->asks);

	for (GList *item = values; item != NULL; item = item->next) {
		ask_t *ask = item->data;

		if (strcmp(ask->peer, peer) == 0)
			ask_next(node, ask, now);
	}
	g_list_free(values);
}

void
permit_asked(node_t *node, const message_t *message, usec_t now)
{
	const permit_t *wanted = &message->permit;
	const char *customer = wanted->loan.customer;
	message_t reply = {.kind = MESSAGE_PERMIT_REPLY};
	permit_t *given = &reply.permit;

	limits_apply(node, customer, now);
	given->id = wanted->id;
	given->tokens = admission_take_tokens(
	    node->board.admission, customer, wanted->tokens, now);
	strcpy(given->loan.customer, customer);
	limits_lend_one(node, message->sender, message->sender_incarnation,
	    &wanted->loan, wanted->longest, &given->loan, now);
	if (peer_send(node, message->sender, &reply) != 0)
		node->dropped_messages++;
}

void
permit_answered(node_t *node, const message_t *message, usec_t now)
{
	const permit_t *given = &message->permit;
	const char *customer = given->loan.customer;
	ask_t *ask = g_hash_table_lookup(node->asks, customer);

	/* Late tokens are lost: used later they would add to a later interval.
	 */
	if (ask == NULL || ask->id != given->id ||
	    strcmp(ask->peer, message->sender) != 0 ||
	    now - ask->asked_at >= MS(ADMISSION_MOVED_MS)) {
		node->dropped_messages++;
		return;
	}
	if (given->loan.rate_per_s > 0 || given->loan.concurrency > 0)
		limits_receive_loan(
		    node, message->sender, &given->loan, ask->asked_at, now);
	if (given->tokens > 0) {
		g_hash_table_replace(node->givers, g_strdup(customer),
		    g_strdup(message->sender));
		admission_add_tokens(
		    node->board.admission, customer, given->tokens, now);
	}
	if (lacks(node, customer, now))
		ask_next(node, ask, now);
	else
		g_hash_table_remove(node->asks, customer);
}

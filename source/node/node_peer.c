#include "node_private.h"

#include <string.h>

void
peer_add_configured(node_t *node)
{
	const settings_t *settings = &node->board.settings;

	for (size_t i = 0; i < settings->peer_count; i++)
		membership_add(node->board.membership, settings->peers[i].node,
		    "", "", settings->peers[i].address, clock_monotonic());
}

int
peer_send(node_t *node, const char *peer, message_t *message)
{
	writer_t writer;
	int error;

	strcpy(message->sender, node->board.settings.node);
	message->sender_incarnation = node->board.incarnation;
	writer_init(&writer);
	message_encode(message, &writer);
	error = peer_socket_send(
	    node->peer_socket, peer, writer.buffer.data, writer.buffer.size);
	writer_free(&writer);
	return error;
}

void
peer_broadcast(node_t *node, message_t *message)
{
	const membership_t *membership = node->board.membership;

	for (size_t i = 0; i < membership_count(membership); i++)
		if (membership_at(membership, i)->live)
			peer_send(
			    node, membership_at(membership, i)->node, message);
}

/* Whether a peer takes over the services of this node, which is stopping. Such
 * a peer needs its shares itself. A peer that is stopping as well continues to
 * lend: this node may have become the serving node when only that peer was
 * known to stop, and may still have its own share lent to it. */
static bool
is_taking_over(const node_t *node, const char *name)
{
	const peer_t *peer = membership_find(node->board.membership, name);

	return node->board.state == NODE_STATE_STOPPING && peer != NULL &&
	    peer->state != NODE_STATE_STOPPING;
}

/* Lists the services that this node serves and @peer holds a share of. The
 * caller frees the list with g_free(). */
static uint32_t
list_wanted_slot_loans(node_t *node, const char *peer, slot_loan_t **loans)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(slot_loan_t));
	const assignment_t *assignment = node->board.assignment;
	uint32_t count = assignment != NULL ? assignment->service_count : 0;

	if (is_taking_over(node, peer))
		count = 0;
	for (uint32_t i = 0; i < count; i++) {
		const assigned_service_t *entry = &assignment->services[i];

		if (entry->holder_count == 0 ||
		    !blackboard_is_self(&node->board, &entry->holders[0]))
			continue;
		for (uint32_t j = 1; j < entry->holder_count; j++) {
			slot_loan_t loan = {"", 0};

			if (strcmp(entry->holders[j].node, peer) != 0)
				continue;
			strcpy(loan.service, entry->service);
			g_array_append_val(list, loan);
		}
	}
	count = list->len;
	*loans = (slot_loan_t *)(void *)g_array_free(list, FALSE);
	return count;
}

static void
fill_report(node_t *node, peer_report_t *report, usec_t now)
{
	const blackboard_t *board = &node->board;

	strcpy(report->vm, board->settings.vm);
	strcpy(report->data_centre, board->settings.data_centre);
	strcpy(report->address, board->settings.peer_address);
	report->state = board->state;
	report->platform_age_ms = board->platform_heard_at != 0
	    ? (now - board->platform_heard_at) / USEC_PER_MS
	    : -1;
	report->assignment_version =
	    board->assignment != NULL ? board->assignment->version : 0;
	report->contracts_digest = contract_store_digest(board->contracts);
}

static void
send_heartbeat(node_t *node, const char *peer, uint64_t sequence, usec_t now)
{
	message_t message = {.kind = MESSAGE_HEARTBEAT};
	heartbeat_t *heartbeat = &message.heartbeat;

	heartbeat->sequence = sequence;
	fill_report(node, &heartbeat->report, now);
	heartbeat->config_digest = node->board.config_digest;
	heartbeat->longest_deadline =
	    blackboard_longest_deadline(&node->board, now);
	heartbeat->wanted_loan_count =
	    list_wanted_slot_loans(node, peer, &heartbeat->wanted_loans);
	heartbeat->wanted_allowance_count = limits_list_wanted_allowances(
	    node, &heartbeat->wanted_allowances, now);
	peer_send(node, peer, &message);
	g_free(heartbeat->wanted_loans);
}

/* Names the incarnation that the event is about, and how long ago the peer was
 * heard, -1 if never. */
static void
log_peer(event_number_t event, const membership_action_t *action,
    const peer_t *peer, usec_t now)
{
	bool was_heard = peer != NULL && peer->heard_at != 0;
	usec_t age = was_heard ? now - peer->heard_at : -USEC_PER_MS;

	event_log(event, "peer=%s address=%s incarnation=%llu heard_ms=%lld",
	    action->node, peer != NULL ? peer->address : "",
	    (unsigned long long)(action->incarnation != 0 || peer == NULL
		    ? action->incarnation
		    : peer->incarnation),
	    (long long)(age / USEC_PER_MS));
}

static void
handle_membership_action(
    node_t *node, const membership_action_t *action, usec_t now)
{
	const peer_t *peer =
	    membership_find(node->board.membership, action->node);

	switch (action->kind) {
	case MEMBERSHIP_SEND_HEARTBEAT:
		send_heartbeat(node, action->node, action->sequence, now);
		return;
	case MEMBERSHIP_CONNECT:
		if (peer != NULL)
			peer_socket_connect(
			    node->peer_socket, peer->node, peer->address);
		return;
	case MEMBERSHIP_UP:
		log_peer(EVENT_PEER_UP, action, peer, now);
		return;
	case MEMBERSHIP_SILENT:
		log_peer(EVENT_PEER_SILENT, action, peer, now);
		query_peer_lost(node->queries, action->node, now);
		permit_peer_lost(node, action->node, now);
		return;
	case MEMBERSHIP_REPLACED:
		log_peer(EVENT_PEER_REPLACED, action, peer, now);
		query_peer_lost(node->queries, action->node, now);
		permit_peer_lost(node, action->node, now);
		return;
	case MEMBERSHIP_GONE:
		log_peer(EVENT_PEER_GONE, action, peer, now);
		return;
	}
}

static void
run_membership_actions(node_t *node, usec_t now)
{
	membership_action_t action;

	while (membership_next_action(node->board.membership, &action))
		handle_membership_action(node, &action, now);
}

void
peer_tick(node_t *node, usec_t now)
{
	membership_tick(node->board.membership, now);
	run_membership_actions(node, now);
}

/* A holder lends only to a holder that the assignment lists before it. */
static bool
may_lend_to(const node_t *node, const char *service, const char *borrower)
{
	const assigned_service_t *entry;

	if (node->board.assignment == NULL)
		return false;
	entry = assignment_find_service(node->board.assignment, service);
	if (entry == NULL)
		return false;
	for (uint32_t i = 0; i < entry->holder_count; i++) {
		if (blackboard_is_self(&node->board, &entry->holders[i]))
			return false;
		if (strcmp(entry->holders[i].node, borrower) == 0)
			return true;
	}
	return false;
}

static uint32_t
lend_slots(
    node_t *node, const heartbeat_t *heartbeat, const char *service, usec_t now)
{
	const served_service_t *served =
	    g_hash_table_lookup(node->served_services, service);
	scheduler_stats_t stats = {0};
	uint32_t charged = 0;
	usec_t longest_deadline = MAX(heartbeat->longest_deadline,
	    blackboard_longest_deadline(&node->board, now));

	if (!may_lend_to(node, service, heartbeat->report.node))
		return 0;
	/* This node takes over from the stopping borrower: its share must have
	 * returned by then, so no new loan is granted. */
	if (heartbeat->report.state == NODE_STATE_STOPPING &&
	    node->board.state != NODE_STATE_STOPPING)
		return 0;
	if (served != NULL) {
		scheduler_get_stats(served->scheduler, &stats);
		charged = scheduler_max_charged_now(served->scheduler);
	}
	return ledger_lend(node->board.ledger, service, heartbeat->report.node,
	    heartbeat->report.incarnation, charged, stats.queued,
	    longest_deadline, now);
}

static void
answer_heartbeat(node_t *node, const heartbeat_t *heartbeat, usec_t now)
{
	message_t message = {.kind = MESSAGE_HEARTBEAT_REPLY};
	heartbeat_reply_t *reply = &message.heartbeat_reply;

	reply->sequence = heartbeat->sequence;
	reply->loans = g_new0(slot_loan_t, heartbeat->wanted_loan_count);
	for (uint32_t i = 0; i < heartbeat->wanted_loan_count; i++) {
		const char *service = heartbeat->wanted_loans[i].service;
		uint32_t slots = lend_slots(node, heartbeat, service, now);

		if (slots == 0)
			continue;
		strcpy(reply->loans[reply->loan_count].service, service);
		reply->loans[reply->loan_count++].slots = slots;
	}
	reply->allowance_count =
	    limits_lend(node, heartbeat, &reply->allowances, now);
	peer_send(node, heartbeat->report.node, &message);
	g_free(reply->loans);
	g_free(reply->allowances);
}

static void
receive_heartbeat(node_t *node, const message_t *message, usec_t now)
{
	const heartbeat_t *heartbeat = &message->heartbeat;
	int error =
	    membership_receive(node->board.membership, &heartbeat->report,
		peer_socket_is_authenticated(node->peer_socket), now);

	if (error == BW_E_UNAUTHORISED)
		event_log(EVENT_PEER_REJECTED, "heartbeat from %s at %s",
		    message->sender, heartbeat->report.address);
	if (error != 0) {
		node->dropped_messages++;
		return;
	}
	blackboard_set_stopping(&node->board, message->sender,
	    heartbeat->report.state == NODE_STATE_STOPPING, now);
	run_membership_actions(node, now);
	config_compare_heartbeat(node, heartbeat);
	answer_heartbeat(node, heartbeat, now);
}

static void
receive_heartbeat_reply(node_t *node, const message_t *message, usec_t now)
{
	const heartbeat_reply_t *reply = &message->heartbeat_reply;
	usec_t asked_at;

	if (membership_receive_reply(node->board.membership, message->sender,
		message->sender_incarnation, reply->sequence, now,
		&asked_at) != 0) {
		node->dropped_messages++;
		return;
	}
	for (uint32_t i = 0; i < reply->loan_count; i++)
		ledger_receive_loan(node->board.ledger, reply->loans[i].service,
		    message->sender, reply->loans[i].slots, asked_at, now);
	for (uint32_t i = 0; i < reply->allowance_count; i++)
		limits_receive_loan(node, message->sender,
		    &reply->allowances[i], asked_at, now);
}

static void
dispatch_message(node_t *node, const message_t *message, usec_t now)
{
	switch (message->kind) {
	case MESSAGE_HEARTBEAT_REPLY:
		receive_heartbeat_reply(node, message, now);
		return;
	case MESSAGE_SHARD_REQUEST:
		serve_shards(
		    node, message->sender, &message->shard_request, now);
		return;
	case MESSAGE_SHARD_REPLY:
		query_received_reply(node, message);
		return;
	case MESSAGE_CANCEL:
		serve_cancel(node, message->cancel, now);
		return;
	case MESSAGE_RESERVE_REQUEST:
		reserve_received_request(node, message, now);
		return;
	case MESSAGE_RESERVE_REPLY:
		reserve_received_reply(node, message);
		return;
	case MESSAGE_CONFIG_PULL:
		config_received_pull(node, message);
		return;
	case MESSAGE_CONFIG_PUSH:
		config_received_push(node, message);
		return;
	case MESSAGE_SUSPECT_NOTICE:
		suspect_record_crash(node->board.suspects,
		    message->suspect.fingerprint, message->suspect.crash_number,
		    now);
		return;
	case MESSAGE_PERMIT_REQUEST:
		permit_received_request(node, message, now);
		return;
	case MESSAGE_PERMIT_REPLY:
		permit_received_reply(node, message, now);
		return;
	case MESSAGE_HEARTBEAT:
		return; /* handled earlier, in peer_receive() */
	}
}

/* A message that names an earlier incarnation of this node is dropped. */
static bool
is_addressed_here(const node_t *node, const message_t *message)
{
	return message->recipient_incarnation == 0 ||
	    message->recipient_incarnation == node->board.incarnation;
}

void
peer_receive(void *context, const char *data, size_t size)
{
	node_t *node = context;
	message_t *message = message_decode(data, size);
	usec_t now = clock_monotonic();

	if (message == NULL) {
		node->dropped_messages++;
		event_log(
		    EVENT_PEER_BAD_MESSAGE, "cannot decode %zu bytes", size);
		return;
	}
	if (!is_addressed_here(node, message)) {
		node->dropped_messages++;
	} else if (message->kind == MESSAGE_HEARTBEAT) {
		/* A heartbeat may be the first message of its sender, so it is
		 * handled before the sender check. */
		receive_heartbeat(node, message, now);
	} else if (membership_check_sender(node->board.membership,
		       message->sender, message->sender_incarnation,
		       now) != 0) {
		node->dropped_messages++;
		event_log(EVENT_PEER_REJECTED, "message kind %d from %s",
		    (int)message->kind, message->sender);
	} else {
		dispatch_message(node, message, now);
	}
	message_destroy(message);
}

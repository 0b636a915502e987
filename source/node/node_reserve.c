#include "node_private.h"

#include <string.h>
#include <xxhash.h>

#include "bulrushwell/json_text.h"

#define MAX_RESERVATIONS 20000

/* A reservation on its serving node, from its receipt to the reply. */
typedef struct {
	handle_t handle;
	name_t requester;
	id128_t id; /* sent back in the reply */
	job_t job;  /* its body is set only for the dispatch */
	name_t service;
	body_t *body;
} reservation_t;

/* Context of a platform call that reads or writes a claim object. */
typedef struct {
	node_t *node;
	char object[2 * NAME_SIZE];
} claim_call_t;

static void
release_reservation(void *element)
{
	const reservation_t *reservation = element;

	body_unref(reservation->body);
}

static table_t *
reservation_table(node_t *node)
{
	if (node->reservations == NULL) {
		node->reservations =
		    table_create(sizeof(reservation_t), MAX_RESERVATIONS);
		table_set_release(node->reservations, release_reservation);
	}
	return node->reservations;
}

/* ---- receiving node ---- */

static void
send_done_answer(
    request_t *request, int http_status, bool repeated, slice_t body)
{
	customer_stats_t *stats = limits_customer_stats(
	    request->node, contract_customer(request->contract));
	GString *out = g_string_new(NULL);
	char id[ID128_TEXT];

	id128_format(request->id, id);
	g_string_append_printf(out, "{\"request\":\"%s\",\"key\":", id);
	json_text_append(out, slice_from(request->key));
	g_string_append_printf(out,
	    ",\"outcome\":\"done\",\"upstream_status\":%d,\"body\":",
	    http_status);
	json_text_append(out, body);
	g_string_append_printf(
	    out, ",\"repeated\":%s}", repeated ? "true" : "false");
	stats->reservations_done++;
	histogram_record(
	    stats->reservation_latency, clock_monotonic() - request->started);
	http_exchange_respond(request->exchange, 200, "application/json",
	    (slice_t){out->str, out->len}, 0);
	g_string_free(out, TRUE);
}

static void
finish_forwarded(node_t *node, id128_t id, int error, int http_status,
    bool repeated, slice_t body)
{
	handle_t *handle =
	    g_hash_table_lookup(node->forwarded_reservations, &id);
	request_t *request =
	    handle != NULL ? table_get(node->requests, *handle) : NULL;

	if (request == NULL)
		return;
	if (error != 0) {
		request_refuse(request, error, NULL);
		return;
	}
	if (request->exchange != NULL)
		send_done_answer(request, http_status, repeated, body);
	request_end(request);
}

static void
fill_reserve_request(request_t *request, reserve_request_t *reserve, usec_t now)
{
	const contract_t *contract = request->contract;

	reserve->id = request->id;
	strcpy(reserve->service, request->target);
	strcpy(reserve->customer, contract_customer(contract));
	strcpy(reserve->key, request->key);
	reserve->repeat_window_s = contract_repeat_window_h(contract) * 3600;
	reserve->weight = MAX(1, (uint32_t)contract_rate_per_s(contract));
	reserve->remaining = request->deadline - now;
	reserve->wall_deadline = clock_to_wall(request->deadline);
	reserve->fingerprint = request->fingerprint;
	reserve->body = body_slice(request->body);
}

static void serve_reserve_request(node_t *node, const char *requester,
    const reserve_request_t *reserve, usec_t now);

static int
forward_request(node_t *node, const char *serving_node,
    reserve_request_t *reserve, usec_t now)
{
	const peer_t *peer =
	    membership_find(node->board.membership, serving_node);
	message_t message = {.kind = MESSAGE_RESERVE_REQUEST};

	if (strcmp(serving_node, node->board.settings.node) == 0) {
		serve_reserve_request(node, serving_node, reserve, now);
		return 0;
	}
	if (peer == NULL)
		return BW_E_NOT_SERVED;
	message.recipient_incarnation = peer->incarnation;
	message.reserve_request = *reserve;
	return peer_send(node, serving_node, &message);
}

void
reserve_start(request_t *request, usec_t now)
{
	node_t *node = request->node;
	const char *serving_node =
	    blackboard_find_serving_node(&node->board, request->target, NULL);
	reserve_request_t reserve;
	handle_t *handle;

	if (serving_node == NULL) {
		request_refuse(request, BW_E_NOT_SERVED, NULL);
		return;
	}
	fill_reserve_request(request, &reserve, now);
	handle = g_new(handle_t, 1);
	*handle = request->handle;
	g_hash_table_insert(node->forwarded_reservations,
	    g_memdup2(&request->id, sizeof(id128_t)), handle);
	request->sent = true;
	if (forward_request(node, serving_node, &reserve, now) != 0) {
		request->sent = false;
		request_refuse(request, BW_E_NOT_SERVED, NULL);
	}
}

void
reserve_received_reply(node_t *node, const message_t *message)
{
	const reserve_reply_t *reply = &message->reserve_reply;

	finish_forwarded(node, reply->id, reply->error, reply->http_status,
	    reply->repeated, reply->body);
}

/* ---- serving node ---- */

static void
send_outcome(node_t *node, const reservation_t *reservation, int error,
    int http_status, bool repeated, body_t *body)
{
	message_t message = {.kind = MESSAGE_RESERVE_REPLY};
	reserve_reply_t *reply = &message.reserve_reply;

	if (strcmp(reservation->requester, node->board.settings.node) == 0) {
		finish_forwarded(node, reservation->id, error, http_status,
		    repeated, body_slice(body));
		return;
	}
	reply->id = reservation->id;
	reply->error = error;
	reply->http_status = http_status;
	reply->repeated = repeated;
	reply->body = body_slice(body);
	if (peer_send(node, reservation->requester, &message) != 0)
		node->dropped_messages++;
}

static void
remove_reservation(node_t *node, reservation_t *reservation)
{
	table_remove(reservation_table(node), reservation->handle);
}

static void
fill_claim_request(claim_request_t *claim, const reserve_request_t *reserve,
    handle_t tag, usec_t deadline)
{
	XXH128_hash_t digest =
	    XXH3_128bits(reserve->body.data, reserve->body.size);

	memset(claim, 0, sizeof(*claim));
	claim->tag = tag;
	strcpy(claim->service, reserve->service);
	strcpy(claim->customer, reserve->customer);
	g_strlcpy(claim->key, reserve->key, sizeof(claim->key));
	claim->digest[0] = digest.high64;
	claim->digest[1] = digest.low64;
	claim->repeat_window_s = reserve->repeat_window_s;
	claim->deadline = deadline;
}

static reservation_t *
add_reservation(node_t *node, const char *requester,
    const reserve_request_t *reserve, usec_t deadline)
{
	reservation_t *reservation;
	handle_t handle = table_insert(
	    reservation_table(node), (void **)(void *)&reservation);

	if (handle == HANDLE_NONE)
		return NULL;
	reservation->handle = handle;
	strcpy(reservation->requester, requester);
	strcpy(reservation->service, reserve->service);
	reservation->id = reserve->id;
	reservation->body = body_create(reserve->body.data, reserve->body.size);
	reservation->job.kind = JOB_RESERVATION;
	reservation->job.tag = handle;
	reservation->job.query = reserve->id;
	strcpy(reservation->job.customer, reserve->customer);
	reservation->job.weight = reserve->weight;
	reservation->job.deadline = deadline;
	reservation->job.fingerprint = reserve->fingerprint;
	g_strlcpy(reservation->job.key, reserve->key, SCHEDULER_KEY_SIZE);
	return reservation;
}

static void
serve_reserve_request(node_t *node, const char *requester,
    const reserve_request_t *reserve, usec_t now)
{
	usec_t deadline = deadline_from_message(
	    reserve->remaining, reserve->wall_deadline, now);
	reservation_t *reservation =
	    add_reservation(node, requester, reserve, deadline);
	reservation_t rejected = {.id = reserve->id};
	claim_request_t claim;
	int error = 0;

	if (reservation == NULL) {
		strcpy(rejected.requester, requester);
		send_outcome(node, &rejected, BW_E_FULL, 0, false, NULL);
		return;
	}
	if (ledger_share(node->board.ledger, reserve->service) == 0)
		error = BW_E_NOT_SERVED;
	else if (deadline <= now)
		error = BW_E_DEADLINE;
	fill_claim_request(&claim, reserve, reservation->handle, deadline);
	if (error == 0)
		error = claim_reserve(node->claims, &claim, now, clock_wall());
	if (error != 0) {
		send_outcome(node, reservation, error, 0, false, NULL);
		remove_reservation(node, reservation);
	}
}

void
reserve_received_request(node_t *node, const message_t *message, usec_t now)
{
	serve_reserve_request(
	    node, message->sender, &message->reserve_request, now);
}

static void
dispatch_reservation(node_t *node, uint64_t tag, usec_t now)
{
	reservation_t *reservation = table_get(reservation_table(node), tag);
	int error = BW_E_DEADLINE;

	/* Check the deadline again: the process may have been paused since the
	 * claim was stored. */
	if (reservation != NULL && reservation->job.deadline > now) {
		reservation->job.body = reservation->body;
		error = serve_reservation(
		    node, reservation->service, &reservation->job, now);
	}
	if (error != 0)
		claim_dispatch_done(node->claims, tag, CLAIM_DISPATCH_NOT_SENT,
		    0, NULL, now, clock_wall());
}

void
reserve_dispatch_done(
    node_t *node, uint64_t tag, int error, int http_status, body_t *body)
{
	claim_dispatch_result_t result = CLAIM_DISPATCH_UNKNOWN;

	if (error == 0)
		result = CLAIM_DISPATCH_ANSWERED;
	else if (error_is_not_run(error))
		result = CLAIM_DISPATCH_NOT_SENT;
	if (result == CLAIM_DISPATCH_UNKNOWN)
		event_log(EVENT_CLAIM_UNKNOWN,
		    "dispatch=%llu error=%s status=%d outcome=unknown",
		    (unsigned long long)tag, error_kind(error), http_status);
	claim_dispatch_done(node->claims, tag, result, http_status, body,
	    clock_monotonic(), clock_wall());
}

static claim_io_result_t
claim_io_result(platform_result_t result)
{
	switch (result) {
	case PLATFORM_OK:
		return CLAIM_IO_OK;
	case PLATFORM_NOT_FOUND:
		return CLAIM_IO_NOT_FOUND;
	case PLATFORM_CONFLICT:
		return CLAIM_IO_CONFLICT;
	case PLATFORM_REFUSED:
		return CLAIM_IO_REFUSED;
	case PLATFORM_OUTCOME_UNKNOWN:
		return CLAIM_IO_UNKNOWN;
	}
	return CLAIM_IO_UNKNOWN;
}

static void
on_claim_read(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	claim_call_t *call = context;

	claim_read_done(call->node->claims, call->object,
	    claim_io_result(result), version, text, clock_monotonic(),
	    clock_wall());
}

static void
on_claim_written(
    void *context, platform_result_t result, uint64_t version, slice_t text)
{
	claim_call_t *call = context;

	if (result == PLATFORM_OUTCOME_UNKNOWN)
		event_log(EVENT_CLAIM_READ_BACK,
		    "object=%s call=write outcome=unknown next=read",
		    call->object);
	else if (result == PLATFORM_CONFLICT)
		event_log(EVENT_CLAIM_CONFLICT,
		    "object=%s call=write outcome=conflict next=read",
		    call->object);
	claim_write_done(call->node->claims, call->object,
	    claim_io_result(result), version, clock_monotonic(), clock_wall());
}

static platform_completion_t
new_claim_call(node_t *node, const claim_action_t *action, platform_done_t done)
{
	claim_call_t *call = g_new0(claim_call_t, 1);

	call->node = node;
	strcpy(call->object, action->object);
	return (platform_completion_t){done, call, g_free};
}

static void
answer_reservation(node_t *node, const claim_action_t *action)
{
	reservation_t *reservation =
	    table_get(reservation_table(node), action->tag);

	if (reservation == NULL)
		return;
	send_outcome(node, reservation, action->error, action->http_status,
	    action->repeated, action->body);
	remove_reservation(node, reservation);
}

void
reserve_run_actions(node_t *node, usec_t now)
{
	claim_action_t action;
	platform_completion_t reply;

	claim_tick(node->claims, now, clock_wall());
	while (claim_next_action(node->claims, &action)) {
		switch (action.kind) {
		case CLAIM_READ:
			reply = new_claim_call(node, &action, on_claim_read);
			platform_read(
			    node->platform, "claim", action.object, &reply);
			break;
		case CLAIM_WRITE:
			reply = new_claim_call(node, &action, on_claim_written);
			platform_write(node->platform, "claim", action.object,
			    action.version, slice_from(action.text), &reply);
			break;
		case CLAIM_DISPATCH:
			dispatch_reservation(
			    node, action.tag, clock_monotonic());
			break;
		case CLAIM_ANSWER:
			answer_reservation(node, &action);
			break;
		}
	}
}

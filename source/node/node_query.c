#include "node_private.h"

#include <string.h>

#include "bulrushwell/json_text.h"

/* A reported queueing time is ignored after this. */
#define QUEUE_WAIT_VALID_MS 1000

/* The longest queueing time that serving nodes reported for an index
 * recently. */
typedef struct {
	usec_t wait;
	usec_t reported_at;
} queue_wait_t;

static const char *
find_serving_node(void *context, const char *service, const char *except)
{
	node_t *node = context;

	return blackboard_find_serving_node(&node->board, service, except);
}

query_router_t
query_make_router(node_t *node)
{
	return (query_router_t){find_serving_node, node};
}

uint32_t
query_weight(const contract_t *contract)
{
	return MAX(1, (uint32_t)contract_rate_per_s(contract));
}

void
query_release_limiter(request_t *request, usec_t now)
{
	if (!request->limiter_admitted)
		return;
	request->limiter_admitted = false;
	limiter_release(request->node->limiter, request->target,
	    contract_customer(request->contract), request->query_outcome,
	    now - request->limiter_admitted_at, now);
}

void
query_start(request_t *request, usec_t now)
{
	if (!hold_query(request, now))
		query_admit(request, now);
}

void
query_admit(request_t *request, usec_t now)
{
	node_t *node = request->node;
	shard_map_t *map =
	    catalogue_current_map(node->board.catalogue, request->target);
	int error;

	if (map == NULL) {
		request_refuse(request, BW_E_NOT_FOUND, NULL);
		return;
	}
	error = limiter_admit(node->limiter, request->target,
	    contract_customer(request->contract),
	    query_weight(request->contract), now);
	if (error != 0) {
		request_refuse(request, error, NULL);
		return;
	}
	request->limiter_admitted = true;
	request->limiter_admitted_at = now;
	error = query_begin(node->queries, request->id, map, request->deadline,
	    now, request, &request->query);
	if (error != 0)
		request_refuse(request, error, NULL);
}

/* Groups the shards of a QUERY_SEND action by service. The caller frees the
 * groups with free_groups(). */
static shard_group_t *
group_by_service(const query_action_t *action, uint32_t *group_count)
{
	GHashTable *by_service = g_hash_table_new(g_str_hash, g_str_equal);
	shard_group_t *groups = g_new0(shard_group_t, action->shard_count);

	*group_count = 0;
	for (uint32_t i = 0; i < action->shard_count; i++) {
		const char *service =
		    shard_map_service(action->map, action->shards[i]);
		shard_group_t *group = g_hash_table_lookup(by_service, service);

		if (group == NULL) {
			group = &groups[(*group_count)++];
			strcpy(group->service, service);
			group->shards = g_new(uint32_t, action->shard_count);
			g_hash_table_insert(
			    by_service, (gpointer)(uintptr_t)service, group);
		}
		group->shards[group->shard_count++] = action->shards[i];
	}
	g_hash_table_destroy(by_service);
	return groups;
}

static void
free_groups(shard_group_t *groups, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		g_free(groups[i].shards);
	g_free(groups);
}

static void
send_to_peer(node_t *node, const char *name, message_t *message, usec_t now)
{
	const peer_t *peer = membership_find(node->board.membership, name);

	if (peer != NULL)
		message->recipient_incarnation = peer->incarnation;
	if (peer == NULL || peer_send(node, name, message) != 0)
		query_send_failed(
		    node->queries, message->shard_request.query, name, now);
}

static void
send_shards(node_t *node, const query_action_t *action)
{
	request_t *request = query_context(node->queries, action->query);
	message_t message = {.kind = MESSAGE_SHARD_REQUEST};
	shard_request_t *shards = &message.shard_request;
	usec_t now = clock_monotonic();

	shards->query = action->id;
	strcpy(shards->index, shard_map_index(action->map));
	shards->version = shard_map_version(action->map);
	strcpy(shards->customer, contract_customer(request->contract));
	shards->weight = query_weight(request->contract);
	shards->remaining = action->deadline - now;
	shards->wall_deadline = clock_to_wall(action->deadline);
	shards->fingerprint = request->fingerprint;
	shards->body = body_slice(request->body);
	shards->groups = group_by_service(action, &shards->group_count);
	request->sent = true;
	if (strcmp(action->node, node->board.settings.node) == 0)
		serve_shards(node, action->node, shards, now);
	else
		send_to_peer(node, action->node, &message, now);
	free_groups(shards->groups, shards->group_count);
}

static void
append_coverage(GString *out, const query_answer_t *answer)
{
	uint32_t missing = answer->total - answer->answered;

	g_string_append_printf(out,
	    ",\"complete\":%s,\"coverage\":{\"answered\":%u,\"total\":%u,"
	    "\"missing\":[",
	    missing == 0 ? "true" : "false", answer->answered, answer->total);
	for (uint32_t i = 0; i < missing; i++)
		g_string_append_printf(out,
		    "%s{\"shard\":%u,\"reason\":\"%s\"}", i > 0 ? "," : "",
		    answer->missing[i].shard,
		    missing_reason_text(answer->missing[i].reason));
	g_string_append(out, "]}");
}

static GString *
render_answer(const query_answer_t *answer)
{
	GString *out = g_string_sized_new(4096);
	char id[ID128_TEXT];

	id128_format(answer->id, id);
	g_string_append_printf(out, "{\"request\":\"%s\",\"index\":", id);
	json_text_append(out, slice_from(answer->index));
	g_string_append_printf(
	    out, ",\"version\":%llu", (unsigned long long)answer->version);
	append_coverage(out, answer);
	g_string_append_printf(out, ",\"elapsed_ms\":%lld,\"results\":[",
	    (long long)(answer->elapsed / USEC_PER_MS));
	for (uint32_t i = 0; i < answer->answered; i++) {
		g_string_append_printf(out,
		    "%s{\"shard\":%u,\"body\":", i > 0 ? "," : "",
		    answer->results[i].shard);
		json_text_append(out, body_slice(answer->results[i].body));
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}");
	return out;
}

static void
record_answer_stats(request_t *request, const query_answer_t *answer)
{
	customer_stats_t *stats = limits_customer_stats(
	    request->node, contract_customer(request->contract));

	if (answer->answered == answer->total)
		stats->queries_complete++;
	else
		stats->queries_partial++;
	stats->shards_asked += answer->total;
	stats->shards_answered += answer->answered;
	histogram_record(
	    stats->query_latency, clock_monotonic() - request->started);
}

/* Classifies an answer for the limiter. A complete answer within two thirds of
 * the available time shows spare capacity. */
static limiter_outcome_t
classify_answer(
    const request_t *request, const query_answer_t *answer, usec_t now)
{
	usec_t time_limit = request->deadline - request->limiter_admitted_at;

	for (uint32_t i = 0; i < answer->total - answer->answered; i++)
		if (answer->missing[i].reason == MISSING_TIMEOUT ||
		    answer->missing[i].reason == MISSING_REFUSED)
			return LIMITER_OVERLOADED;
	if (answer->answered < answer->total)
		return LIMITER_OTHER;
	return (now - request->limiter_admitted_at) * 3 < time_limit * 2
	    ? LIMITER_COMPLETE
	    : LIMITER_COMPLETE_LATE;
}

static void
finish_query(node_t *node, const query_action_t *action)
{
	request_t *request = query_context(node->queries, action->query);
	const query_answer_t *answer = action->answer;
	GString *out;

	if (!answer->sent) {
		query_remove(node->queries, action->query);
		request->sent = false;
		request_refuse(request, BW_E_NOT_SERVED, NULL);
		return;
	}
	request->query_outcome =
	    classify_answer(request, answer, clock_monotonic());
	if (request->exchange != NULL) {
		out = render_answer(answer);
		record_answer_stats(request, answer);
		http_exchange_respond(request->exchange, 200,
		    "application/json", (slice_t){out->str, out->len}, 0);
		g_string_free(out, TRUE);
	}
	query_remove(node->queries, action->query);
	request_end(request);
}

static void
cancel_query(node_t *node, const query_action_t *action)
{
	message_t message = {.kind = MESSAGE_CANCEL, .cancel = action->id};

	if (strcmp(action->node, node->board.settings.node) == 0)
		serve_cancel(node, action->id, clock_monotonic());
	else
		peer_send(node, action->node, &message);
}

void
query_run_actions(node_t *node)
{
	query_action_t action;

	while (query_next_action(node->queries, &action)) {
		switch (action.kind) {
		case QUERY_SEND:
			send_shards(node, &action);
			break;
		case QUERY_CANCEL:
			cancel_query(node, &action);
			break;
		case QUERY_FINISH:
			finish_query(node, &action);
			break;
		}
	}
}

static void
record_queue_wait(node_t *node, const char *index, usec_t wait, usec_t now)
{
	queue_wait_t *reported =
	    g_hash_table_lookup(node->index_queue_waits, index);

	if (reported == NULL) {
		reported = g_new0(queue_wait_t, 1);
		g_hash_table_insert(
		    node->index_queue_waits, g_strdup(index), reported);
	}
	if (wait >= reported->wait ||
	    now - reported->reported_at > MS(QUEUE_WAIT_VALID_MS)) {
		reported->wait = wait;
		reported->reported_at = now;
	}
}

usec_t
query_expected_wait(node_t *node, const char *index, usec_t now)
{
	const queue_wait_t *reported =
	    g_hash_table_lookup(node->index_queue_waits, index);

	if (reported == NULL ||
	    now - reported->reported_at > MS(QUEUE_WAIT_VALID_MS))
		return 0;
	return reported->wait;
}

void
query_received_reply(node_t *node, const message_t *message)
{
	const shard_reply_t *reply = &message->shard_reply;
	usec_t now = clock_monotonic();

	record_queue_wait(node, reply->index, reply->wait, now);
	for (uint32_t i = 0; i < reply->entry_count; i++) {
		const shard_reply_entry_t *entry = &reply->entries[i];
		body_t *body = entry->error == 0
		    ? body_create(entry->body.data, entry->body.size)
		    : NULL;

		query_reply(node->queries, reply->query, message->sender,
		    entry->shard, reply->version, entry->error, body, now);
		body_unref(body);
	}
}

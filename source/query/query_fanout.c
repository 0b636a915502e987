#include "query_state.h"

#include <string.h>

#include "bulrushwell/event.h"

void
fanout_start(query_t *query, shard_map_t *map)
{
	query->map = shard_map_ref(map);
	query->total = shard_map_count(map);
	query->pending_count = query->total;
	query->version_gone_count = 0;
	query->shards = g_new0(shard_t, query->total);
	for (uint32_t i = 0; i < query->total; i++)
		query->shards[i].node_index = NODE_NONE;
	query->nodes = g_array_new(FALSE, TRUE, sizeof(assigned_node_t));
}

void
fanout_clear(query_t *query)
{
	for (uint32_t i = 0; i < query->total; i++)
		body_unref(query->shards[i].body);
	g_free(query->shards);
	query->shards = NULL;
	g_array_free(query->nodes, TRUE);
	query->nodes = NULL;
	shard_map_unref(query->map);
	query->map = NULL;
}

static assigned_node_t *
node_at(const query_t *query, uint8_t node_index)
{
	return &g_array_index(query->nodes, assigned_node_t, node_index);
}

uint8_t
fanout_find_node(const query_t *query, const char *node)
{
	for (guint i = 0; i < query->nodes->len; i++)
		if (strcmp(node_at(query, (uint8_t)i)->node, node) == 0)
			return (uint8_t)i;
	return NODE_NONE;
}

/* Return: the node's index, or NODE_NONE when QUERY_MAX_NODES are in use. */
static uint8_t
add_node(query_t *query, const char *name)
{
	uint8_t node_index = fanout_find_node(query, name);
	assigned_node_t node = {0};

	if (node_index != NODE_NONE || query->nodes->len == QUERY_MAX_NODES)
		return node_index;
	g_strlcpy(node.node, name, sizeof(node.node));
	g_array_append_val(query->nodes, node);
	return (uint8_t)(query->nodes->len - 1);
}

static action_entry_t *
queue_action(query_set_t *set, const query_t *query, int kind)
{
	action_entry_t *entry = g_new0(action_entry_t, 1);

	entry->action.kind = kind;
	entry->action.query = query->handle;
	entry->action.id = query->wire_id;
	entry->action.deadline = query->deadline;
	g_queue_push_tail(&set->actions, entry);
	return entry;
}

void
fanout_free_action(action_entry_t *entry)
{
	if (entry == NULL)
		return;
	if (entry->shards != NULL)
		g_array_free(entry->shards, TRUE);
	shard_map_unref(entry->map);
	g_free(entry);
}

/* The queued SEND to a node that still takes shards; creates it if needed. */
static action_entry_t *
get_open_send(query_set_t *set, query_t *query, uint8_t node_index)
{
	assigned_node_t *node = node_at(query, node_index);
	action_entry_t *entry = node->open_send;

	if (entry != NULL)
		return entry;
	entry = queue_action(set, query, QUERY_SEND);
	memcpy(entry->action.node, node->node, sizeof(node->node));
	entry->map = shard_map_ref(query->map);
	entry->shards = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	entry->send_number = ++query->last_send_number;
	entry->node_index = node_index;
	node->open_send = entry;
	return entry;
}

/* Return: the index of a node that serves @service, or NODE_NONE. */
static uint8_t
route_service(
    query_set_t *set, query_t *query, const char *service, const char *except)
{
	const char *node =
	    set->router.find_node(set->router.context, service, except);

	if (node == NULL || (except != NULL && strcmp(node, except) == 0))
		return NODE_NONE;
	return add_node(query, node);
}

void
fanout_send(query_set_t *set, query_t *query, const char *except)
{
	const char *service = NULL;
	uint8_t node_index = NODE_NONE;

	for (uint32_t i = 0; i < query->total; i++) {
		shard_t *shard = &query->shards[i];
		const char *wanted = shard_map_service(query->map, i);
		action_entry_t *entry;

		if (shard->state != SHARD_PENDING ||
		    shard->node_index != NODE_NONE)
			continue;
		if (service != wanted)
			node_index = route_service(set, query, wanted, except);
		service = wanted;
		if (node_index == NODE_NONE) {
			fanout_set_missing(query, shard, MISSING_NOT_SERVED);
			continue;
		}
		entry = get_open_send(set, query, node_index);
		g_array_append_val(entry->shards, i);
		shard->node_index = node_index;
		shard->queued_send = entry->send_number;
		shard->sends++;
	}
}

void
fanout_unassign(query_t *query, shard_t *shard)
{
	shard->node_index = NODE_NONE;
	shard->queued_send = 0;
	if (shard->sends >= QUERY_MAX_SENDS)
		fanout_set_missing(query, shard, MISSING_NOT_SERVED);
}

/* Removes a shard that changes its state from the counts of the old state. */
static void
uncount_state(query_t *query, const shard_t *shard)
{
	if (shard->state == SHARD_PENDING)
		query->pending_count--;
	else if (shard->state == SHARD_MISSING &&
	    shard->reason == MISSING_VERSION_GONE)
		query->version_gone_count--;
}

void
fanout_set_body(query_t *query, shard_t *shard, uint64_t version, body_t *body)
{
	uncount_state(query, shard);
	shard->state = SHARD_ANSWERED;
	shard->version = version;
	shard->body = body_ref(body);
}

void
fanout_set_missing(query_t *query, shard_t *shard, missing_reason_t reason)
{
	uncount_state(query, shard);
	shard->state = SHARD_MISSING;
	shard->reason = (uint8_t)reason;
	if (reason == MISSING_VERSION_GONE)
		query->version_gone_count++;
}

void
fanout_cancel(query_set_t *set, const query_t *query)
{
	uint64_t outstanding = 0;

	for (uint32_t i = 0; i < query->total; i++)
		outstanding |= query->shards[i].outstanding_nodes;
	for (guint i = 0; i < query->nodes->len; i++) {
		if ((outstanding >> i & 1) == 0)
			continue;
		memcpy(queue_action(set, query, QUERY_CANCEL)->action.node,
		    node_at(query, (uint8_t)i)->node, sizeof(name_t));
	}
}

/* Every shard must be either answered or missing, and all bodies of one index
 * version. */
static void
check_answer(const query_t *query, uint32_t missing)
{
	const query_answer_t *answer = &query->answer;

	INVARIANT(answer->answered + missing == answer->total,
	    "an answer has %u answered and %u missing of %u shards",
	    answer->answered, missing, answer->total);
	for (uint32_t i = 0; i < answer->answered; i++) {
		const shard_t *shard = &query->shards[answer->results[i].shard];

		INVARIANT(shard->version == answer->version,
		    "shard %u is of version %llu in an answer of version %llu",
		    answer->results[i].shard,
		    (unsigned long long)shard->version,
		    (unsigned long long)answer->version);
	}
}

void
fanout_build_answer(query_set_t *set, query_t *query, usec_t now)
{
	query_answer_t *answer = &query->answer;
	uint32_t missing = 0;

	query->results = g_new(shard_result_t, query->total);
	query->missing = g_new(missing_shard_t, query->total);
	*answer = (query_answer_t){.id = query->id,
	    .index = shard_map_index(query->map),
	    .version = shard_map_version(query->map),
	    .total = query->total,
	    .results = query->results,
	    .missing = query->missing,
	    .elapsed = now - query->started_at,
	    .sent = query->dispatched_sends > 0};
	for (uint32_t i = 0; i < query->total; i++) {
		const shard_t *shard = &query->shards[i];

		if (shard->state == SHARD_ANSWERED)
			query->results[answer->answered++] =
			    (shard_result_t){i, shard->body};
		else if (shard->state == SHARD_MISSING)
			query->missing[missing++] = (missing_shard_t){
			    i, (missing_reason_t)shard->reason};
	}
	check_answer(query, missing);
	queue_action(set, query, QUERY_FINISH)->action.answer = answer;
}

/* Closes a SEND and keeps the shards that are still pending on its node.
 * Return: false when none is left. */
static bool
dispatch_send(query_t *query, action_entry_t *entry)
{
	assigned_node_t *node = node_at(query, entry->node_index);
	guint kept = 0;

	node->open_send = NULL;
	for (guint i = 0; i < entry->shards->len; i++) {
		uint32_t number = g_array_index(entry->shards, uint32_t, i);
		shard_t *shard = &query->shards[number];

		/* A shard that was reassigned to another node and back is
		 * listed twice. */
		if (shard->state != SHARD_PENDING ||
		    shard->queued_send != entry->send_number ||
		    shard->dispatched_send == entry->send_number)
			continue;
		shard->dispatched_send = entry->send_number;
		shard->was_outstanding =
		    (shard->outstanding_nodes >> entry->node_index & 1) != 0;
		shard->outstanding_nodes |= (uint64_t)1 << entry->node_index;
		g_array_index(entry->shards, uint32_t, kept++) = number;
	}
	if (kept == 0)
		return false;
	g_array_set_size(entry->shards, kept);
	entry->action.map = entry->map;
	entry->action.shards = (const uint32_t *)(void *)entry->shards->data;
	entry->action.shard_count = kept;
	node->last_send = entry->send_number;
	query->dispatched_sends++;
	return true;
}

/* Completes an action that is about to be returned. Return: false for a SEND of
 * an earlier retry or without shards, and for the FINISH of a removed query. */
static bool
prepare_action(query_set_t *set, action_entry_t *entry)
{
	query_t *query = table_get(set->queries, entry->action.query);

	switch (entry->action.kind) {
	case QUERY_SEND:
		return query != NULL &&
		    id128_equal(query->wire_id, entry->action.id) &&
		    dispatch_send(query, entry);
	case QUERY_FINISH:
		return query != NULL;
	case QUERY_CANCEL:
		break;
	}
	return true;
}

bool
query_next_action(query_set_t *set, query_action_t *action)
{
	action_entry_t *entry;

	while ((entry = g_queue_pop_head(&set->actions)) != NULL) {
		fanout_free_action(set->returned_action);
		set->returned_action = entry;
		if (!prepare_action(set, entry))
			continue;
		*action = entry->action;
		return true;
	}
	return false;
}

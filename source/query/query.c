#include "bulrushwell/query.h"

#include <string.h>
#include <xxhash.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "query_state.h"

/* A query is retried on a new index version at most this often, so that an
 * index that changes faster than queries run still gives a partial answer. */
#define QUERY_MAX_RETRIES 2

const char *
missing_reason_text(missing_reason_t reason)
{
	switch (reason) {
	case MISSING_TIMEOUT:
		return "timeout";
	case MISSING_NO_SERVER:
		return "no_server";
	case MISSING_VERSION_GONE:
		return "version_gone";
	case MISSING_REFUSED:
		return "refused";
	case MISSING_CRASHED:
		return "crashed";
	case MISSING_NOT_SERVED:
		return "not_served";
	case MISSING_FAILED:
		break;
	}
	return "failed";
}

static missing_reason_t
reason_from_error(int error)
{
	switch (error) {
	case BW_E_TIMEOUT:
	case BW_E_DEADLINE:
		return MISSING_TIMEOUT;
	case BW_E_NOT_FOUND:
		return MISSING_NO_SERVER;
	case BW_E_VERSION_GONE:
		return MISSING_VERSION_GONE;
	case BW_E_OVERLOADED:
	case BW_E_FULL:
	case BW_E_RATE:
	case BW_E_CONCURRENCY:
		return MISSING_REFUSED;
	case BW_E_SUSPECT:
		return MISSING_CRASHED;
	case BW_E_NOT_SERVED:
	case BW_E_STOPPING:
	case BW_E_ISOLATED:
	case BW_E_NOT_READY:
		return MISSING_NOT_SERVED;
	default:
		return MISSING_FAILED;
	}
}

static void
unref_map(void *map)
{
	shard_map_unref(map);
}

query_set_t *
query_set_create(const query_router_t *router)
{
	query_set_t *set = g_new0(query_set_t, 1);

	set->router = *router;
	set->queries = table_create(sizeof(query_t), QUERY_SET_MAX_QUERIES);
	set->by_id = g_hash_table_new(id128_hash, id128_key_equal);
	set->latest_maps =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_map);
	set->timers = g_sequence_new(NULL);
	g_queue_init(&set->actions);
	return set;
}

static void
free_query(query_t *query)
{
	fanout_clear(query);
	g_free(query->results);
	g_free(query->missing);
}

void
query_set_destroy(query_set_t *set)
{
	action_entry_t *entry;

	if (set == NULL)
		return;
	while ((entry = g_queue_pop_head(&set->actions)) != NULL)
		fanout_free_action(entry);
	fanout_free_action(set->returned_action);
	for (handle_t handle = table_next(set->queries, HANDLE_NONE);
	     handle != HANDLE_NONE; handle = table_next(set->queries, handle))
		free_query(table_get(set->queries, handle));
	table_destroy(set->queries);
	g_hash_table_destroy(set->by_id);
	g_hash_table_destroy(set->latest_maps);
	g_sequence_free(set->timers);
	g_free(set);
}

static int
compare_timer_due(const void *a, const void *b, void *data)
{
	const query_t *first = a, *second = b;

	return (first->timer_due > second->timer_due) -
	    (first->timer_due < second->timer_due);
}

/* Cancels outstanding shards and ignores all further events for the query. */
static void
close_query(query_set_t *set, query_t *query)
{
	fanout_cancel(set, query);
	g_hash_table_remove(set->by_id, &query->wire_id);
	if (query->timer != NULL)
		g_sequence_remove(query->timer);
	query->timer = NULL;
	query->finished = true;
	set->running--;
}

static void
finish_query(query_set_t *set, query_t *query, usec_t now)
{
	for (uint32_t i = 0; i < query->total; i++)
		if (query->shards[i].state == SHARD_PENDING)
			fanout_set_missing(
			    query, &query->shards[i], MISSING_TIMEOUT);
	close_query(set, query);
	fanout_build_answer(set, query, now);
}

/* The latest time at which the query may be retried on another version: a
 * quarter of its time must be left. */
static usec_t
retry_deadline(const query_t *query)
{
	return query->deadline - (query->deadline - query->started_at) / 4;
}

static bool
may_retry(const query_t *query, usec_t now)
{
	return query->retries < QUERY_MAX_RETRIES && now < query->deadline &&
	    now <= retry_deadline(query);
}

/* Return: the latest map of the index when its version is higher, or NULL. */
static shard_map_t *
find_newer_map(query_set_t *set, const query_t *query)
{
	shard_map_t *latest =
	    g_hash_table_lookup(set->latest_maps, shard_map_index(query->map));

	if (latest == NULL ||
	    shard_map_version(latest) <= shard_map_version(query->map))
		return NULL;
	return latest;
}

/* Derives the id of a retry from the one before, so that the module needs no
 * source of random numbers; it is as hard to guess as the original id. */
static id128_t
derive_retry_id(const query_set_t *set, const query_t *query)
{
	id128_t id = query->wire_id;

	do {
		XXH128_hash_t hash = XXH3_128bits(&id, sizeof(id));

		id = (id128_t){hash.high64, hash.low64};
	} while (g_hash_table_contains(set->by_id, &id));
	return id;
}

/* Drops all results and starts again on @map under a new id. */
static void
retry_query(query_set_t *set, query_t *query, shard_map_t *map)
{
	id128_t id = derive_retry_id(set, query);

	fanout_cancel(set, query);
	g_hash_table_remove(set->by_id, &query->wire_id);
	fanout_clear(query);
	query->wire_id = id;
	query->retries++;
	g_hash_table_insert(set->by_id, &query->wire_id, query);
	fanout_start(query, map);
	fanout_send(set, query, NULL);
}

/* Schedules the next query_tick() for a query: at its deadline or, when it only
 * waits for a new version, as soon as no retry is possible any more. */
static void
set_timer(query_set_t *set, query_t *query)
{
	usec_t due = query->deadline;

	if (query->pending_count == 0 && retry_deadline(query) + 1 < due)
		due = retry_deadline(query) + 1;
	if (query->timer != NULL && due == query->timer_due)
		return;
	if (query->timer != NULL)
		g_sequence_remove(query->timer);
	query->timer_due = due;
	query->timer = g_sequence_insert_sorted(
	    set->timers, query, compare_timer_due, NULL);
}

/* Finishes, retries or continues a query after an event. A query with shards
 * whose version is gone waits for a higher version while a retry is possible.
 */
static void
update_query(query_set_t *set, query_t *query, usec_t now)
{
	shard_map_t *newer;

	while (query->version_gone_count > 0 && may_retry(query, now) &&
	    (newer = find_newer_map(set, query)) != NULL)
		retry_query(set, query, newer);
	if (now >= query->deadline ||
	    (query->pending_count == 0 &&
		(query->version_gone_count == 0 || !may_retry(query, now))))
		finish_query(set, query, now);
	else
		set_timer(set, query);
}

int
query_begin(query_set_t *set, id128_t id, shard_map_t *map, usec_t deadline,
    usec_t now, void *context, handle_t *handle)
{
	query_t *query;

	if (g_hash_table_contains(set->by_id, &id))
		return BW_E_CONFLICT;
	*handle = table_insert(set->queries, (void **)&query);
	if (*handle == HANDLE_NONE)
		return BW_E_FULL;
	query->handle = *handle;
	query->id = id;
	query->wire_id = id;
	query->context = context;
	query->started_at = now;
	query->deadline = deadline;
	g_hash_table_insert(set->by_id, &query->wire_id, query);
	set->running++;
	fanout_start(query, map);
	if (now < deadline)
		fanout_send(set, query, NULL);
	update_query(set, query, now);
	return 0;
}

void *
query_context(const query_set_t *set, handle_t handle)
{
	const query_t *query = table_get(set->queries, handle);

	return query != NULL ? query->context : NULL;
}

/* Finds a running query by its wire id; finishes it instead when its deadline
 * has passed. */
static query_t *
find_running(query_set_t *set, id128_t id, usec_t now)
{
	query_t *query = g_hash_table_lookup(set->by_id, &id);

	if (query != NULL && now >= query->deadline) {
		finish_query(set, query, now);
		return NULL;
	}
	return query;
}

/* Return: the shard if a reply of this node for it is outstanding, or NULL. */
static shard_t *
find_outstanding_shard(
    query_t *query, uint8_t node_index, uint32_t number, uint64_t version)
{
	shard_t *shard;

	if (node_index == NODE_NONE || number >= query->total ||
	    version != shard_map_version(query->map))
		return NULL;
	shard = &query->shards[number];
	if ((shard->outstanding_nodes >> node_index & 1) == 0)
		return NULL;
	return shard;
}

static void
handle_error(query_set_t *set, query_t *query, shard_t *shard,
    uint8_t node_index, const char *node, int error)
{
	missing_reason_t reason = reason_from_error(error);

	/* Ignore errors for a shard that has an outcome or another node. */
	if (shard->state != SHARD_PENDING || shard->node_index != node_index)
		return;
	if (reason == MISSING_NOT_SERVED) {
		fanout_unassign(query, shard);
		fanout_send(set, query, node);
	} else {
		fanout_set_missing(query, shard, reason);
	}
}

void
query_reply(query_set_t *set, id128_t id, const char *node, uint32_t shard,
    uint64_t version, int error, body_t *body, usec_t now)
{
	query_t *query = find_running(set, id, now);
	uint8_t node_index = NODE_NONE;
	shard_t *expected = NULL;

	if (query != NULL) {
		node_index = fanout_find_node(query, node);
		expected =
		    find_outstanding_shard(query, node_index, shard, version);
	}
	if (expected == NULL) {
		set->unmatched_replies++;
		return;
	}
	expected->outstanding_nodes &= ~((uint64_t)1 << node_index);
	if (error != 0)
		handle_error(set, query, expected, node_index, node, error);
	else if (expected->state != SHARD_ANSWERED)
		fanout_set_body(query, expected, version, body);
	else
		set->unmatched_replies++;
	update_query(set, query, now);
}

void
query_send_failed(query_set_t *set, id128_t id, const char *node, usec_t now)
{
	query_t *query = find_running(set, id, now);
	uint8_t node_index;
	uint32_t send;

	if (query == NULL)
		return;
	node_index = fanout_find_node(query, node);
	if (node_index == NODE_NONE)
		return;
	send =
	    g_array_index(query->nodes, assigned_node_t, node_index).last_send;
	if (send == 0)
		return;
	g_array_index(query->nodes, assigned_node_t, node_index).last_send = 0;
	query->dispatched_sends--;
	for (uint32_t i = 0; i < query->total; i++) {
		shard_t *shard = &query->shards[i];

		if (shard->queued_send != send)
			continue;
		if (!shard->was_outstanding)
			shard->outstanding_nodes &=
			    ~((uint64_t)1 << node_index);
		if (shard->state == SHARD_PENDING)
			fanout_unassign(query, shard);
	}
	fanout_send(set, query, node);
	update_query(set, query, now);
}

static void
reassign_shards(query_set_t *set, query_t *query, const char *node)
{
	uint8_t node_index = fanout_find_node(query, node);

	if (node_index == NODE_NONE)
		return;
	for (uint32_t i = 0; i < query->total; i++) {
		shard_t *shard = &query->shards[i];

		if (shard->state == SHARD_PENDING &&
		    shard->node_index == node_index)
			fanout_unassign(query, shard);
	}
	fanout_send(set, query, node);
}

void
query_peer_lost(query_set_t *set, const char *node, usec_t now)
{
	handle_t handle = table_next(set->queries, HANDLE_NONE);

	for (; handle != HANDLE_NONE;
	     handle = table_next(set->queries, handle)) {
		query_t *query = table_get(set->queries, handle);

		if (query->finished)
			continue;
		if (now < query->deadline)
			reassign_shards(set, query, node);
		update_query(set, query, now);
	}
}

void
query_index_changed(query_set_t *set, shard_map_t *current, usec_t now)
{
	const char *index = shard_map_index(current);
	handle_t handle = table_next(set->queries, HANDLE_NONE);

	g_hash_table_replace(
	    set->latest_maps, g_strdup(index), shard_map_ref(current));
	for (; handle != HANDLE_NONE;
	     handle = table_next(set->queries, handle)) {
		query_t *query = table_get(set->queries, handle);

		if (!query->finished && query->version_gone_count > 0)
			update_query(set, query, now);
	}
}

void
query_tick(query_set_t *set, usec_t now)
{
	while (!g_sequence_is_empty(set->timers)) {
		query_t *query =
		    g_sequence_get(g_sequence_get_begin_iter(set->timers));

		if (query->timer_due > now)
			break;
		update_query(set, query, now);
		INVARIANT(query->finished || query->timer_due > now,
		    "a query timer is still due after its query was updated");
	}
}

usec_t
query_next_timer(const query_set_t *set)
{
	const query_t *query;

	if (g_sequence_is_empty(set->timers))
		return 0;
	query = g_sequence_get(g_sequence_get_begin_iter(set->timers));
	return query->timer_due;
}

void
query_remove(query_set_t *set, handle_t handle)
{
	query_t *query = table_get(set->queries, handle);

	if (query == NULL)
		return;
	if (!query->finished)
		close_query(set, query);
	free_query(query);
	table_remove(set->queries, handle);
}

uint32_t
query_running_count(const query_set_t *set)
{
	return set->running;
}

uint64_t
query_unmatched_replies(const query_set_t *set)
{
	return set->unmatched_replies;
}

#include "bulrushwell/query.h"

#include <string.h>
#include <xxhash.h>

#include "bulrushwell/error.h"
#include "bulrushwell/event.h"
#include "query_state.h"

/* A query is retried on a new version at most this often, so that an index that
 * changes faster than queries run still gives a partial answer. */
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
drop_map(void *map)
{
	shard_map_drop(map);
}

query_set_t *
query_set_create(const query_router_t *router)
{
	query_set_t *set = g_new0(query_set_t, 1);

	set->router = *router;
	set->queries = table_create(sizeof(query_t), QUERY_MAX_RUNNING);
	set->by_id = g_hash_table_new(id128_hash, id128_key_equal);
	set->indexes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, drop_map);
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
	fanout_free_action(set->drained);
	for (handle_t handle = table_next(set->queries, HANDLE_NONE);
	     handle != HANDLE_NONE; handle = table_next(set->queries, handle))
		free_query(table_get(set->queries, handle));
	table_destroy(set->queries);
	g_hash_table_destroy(set->by_id);
	g_hash_table_destroy(set->indexes);
	g_sequence_free(set->timers);
	g_free(set);
}

static int
compare_wake(const void *a, const void *b, void *data)
{
	const query_t *first = a, *second = b;

	return (first->wake > second->wake) - (first->wake < second->wake);
}

/* Stops taking events for a query: nothing changes its answer any more. */
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
	fanout_answer(set, query, now);
}

/* The last moment at which the query may be retried on another version. */
static usec_t
retry_limit(const query_t *query)
{
	return query->deadline - (query->deadline - query->begun) / 4;
}

static bool
may_retry(const query_t *query, usec_t now)
{
	return query->retries < QUERY_MAX_RETRIES && now < query->deadline &&
	    now <= retry_limit(query);
}

static shard_map_t *
find_newer(query_set_t *set, const query_t *query)
{
	shard_map_t *offered =
	    g_hash_table_lookup(set->indexes, shard_map_index(query->map));

	if (offered == NULL ||
	    shard_map_version(offered) <= shard_map_version(query->map))
		return NULL;
	return offered;
}

/* The ids of retries follow from the query's own, so that the module needs no
 * source of random numbers; they are as hard to guess as the first one. */
static id128_t
next_id(const query_set_t *set, const query_t *query)
{
	id128_t id = query->wire_id;

	do {
		XXH128_hash_t hash = XXH3_128bits(&id, sizeof(id));

		id = (id128_t){hash.high64, hash.low64};
	} while (g_hash_table_contains(set->by_id, &id));
	return id;
}

/* Drops all results and sends every shard of @map under a new id. */
static void
retry_query(query_set_t *set, query_t *query, shard_map_t *map)
{
	id128_t id = next_id(set, query);

	fanout_cancel(set, query);
	g_hash_table_remove(set->by_id, &query->wire_id);
	fanout_clear(query);
	query->wire_id = id;
	query->retries++;
	g_hash_table_insert(set->by_id, &query->wire_id, query);
	fanout_start(query, map);
	fanout_send(set, query, NULL);
}

static void
set_timer(query_set_t *set, query_t *query)
{
	usec_t wake = query->deadline;

	if (query->pending == 0 && retry_limit(query) + 1 < wake)
		wake = retry_limit(query) + 1;
	if (query->timer != NULL && wake == query->wake)
		return;
	if (query->timer != NULL)
		g_sequence_remove(query->timer);
	query->wake = wake;
	query->timer =
	    g_sequence_insert_sorted(set->timers, query, compare_wake, NULL);
}

/* Decides after each event whether the query ends, is retried or goes on. A
 * query whose version is gone waits for the next version while a retry is
 * still possible. */
static void
settle_query(query_set_t *set, query_t *query, usec_t now)
{
	shard_map_t *newer;

	while (query->gone > 0 && may_retry(query, now) &&
	    (newer = find_newer(set, query)) != NULL)
		retry_query(set, query, newer);
	if (now >= query->deadline ||
	    (query->pending == 0 &&
		(query->gone == 0 || !may_retry(query, now))))
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
	query->begun = now;
	query->deadline = deadline;
	g_hash_table_insert(set->by_id, &query->wire_id, query);
	set->running++;
	fanout_start(query, map);
	if (now < deadline)
		fanout_send(set, query, NULL);
	settle_query(set, query, now);
	return 0;
}

void *
query_context(const query_set_t *set, handle_t handle)
{
	const query_t *query = table_get(set->queries, handle);

	return query != NULL ? query->context : NULL;
}

/* The running query of an id; one whose deadline has passed ends first. */
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

/* The shard that this node owes to the query, or NULL. */
static shard_t *
match_reply(query_t *query, uint8_t node, uint32_t number, uint64_t version)
{
	shard_t *shard;

	if (node == NODE_NONE || number >= query->total ||
	    version != shard_map_version(query->map))
		return NULL;
	shard = &query->shards[number];
	if ((shard->owing >> node & 1) == 0)
		return NULL;
	return shard;
}

static void
take_error(query_set_t *set, query_t *query, shard_t *shard, uint8_t node,
    const char *name, int error)
{
	missing_reason_t reason = reason_from_error(error);

	/* A node that no longer has the shard has no say in it. */
	if (shard->state != SHARD_PENDING || shard->node != node)
		return;
	if (reason == MISSING_NOT_SERVED) {
		fanout_take_back(query, shard);
		fanout_send(set, query, name);
	} else {
		fanout_set_missing(query, shard, reason);
	}
}

void
query_reply(query_set_t *set, id128_t id, const char *node, uint32_t shard,
    uint64_t version, int error, body_t *body, usec_t now)
{
	query_t *query = find_running(set, id, now);
	uint8_t position = NODE_NONE;
	shard_t *owed = NULL;

	if (query != NULL) {
		position = fanout_find_node(query, node);
		owed = match_reply(query, position, shard, version);
	}
	if (owed == NULL) {
		set->unmatched++;
		return;
	}
	owed->owing &= ~((uint64_t)1 << position);
	if (error != 0)
		take_error(set, query, owed, position, node, error);
	else if (owed->state != SHARD_ANSWERED)
		fanout_set_body(query, owed, version, body);
	else
		set->unmatched++;
	settle_query(set, query, now);
}

void
query_send_failed(query_set_t *set, id128_t id, const char *node, usec_t now)
{
	query_t *query = find_running(set, id, now);
	uint8_t position;
	uint32_t send;

	if (query == NULL)
		return;
	position = fanout_find_node(query, node);
	if (position == NODE_NONE)
		return;
	send = g_array_index(query->nodes, asked_node_t, position).last_send;
	if (send == 0)
		return;
	g_array_index(query->nodes, asked_node_t, position).last_send = 0;
	query->handed--;
	for (uint32_t i = 0; i < query->total; i++) {
		shard_t *shard = &query->shards[i];

		if (shard->send != send)
			continue;
		if (!shard->owed_before)
			shard->owing &= ~((uint64_t)1 << position);
		if (shard->state == SHARD_PENDING)
			fanout_take_back(query, shard);
	}
	fanout_send(set, query, node);
	settle_query(set, query, now);
}

static void
move_shards(query_set_t *set, query_t *query, const char *node)
{
	uint8_t position = fanout_find_node(query, node);

	if (position == NODE_NONE)
		return;
	for (uint32_t i = 0; i < query->total; i++) {
		shard_t *shard = &query->shards[i];

		if (shard->state == SHARD_PENDING && shard->node == position)
			fanout_take_back(query, shard);
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
			move_shards(set, query, node);
		settle_query(set, query, now);
	}
}

void
query_index_changed(query_set_t *set, shard_map_t *current, usec_t now)
{
	const char *index = shard_map_index(current);
	handle_t handle = table_next(set->queries, HANDLE_NONE);

	g_hash_table_replace(
	    set->indexes, g_strdup(index), shard_map_keep(current));
	for (; handle != HANDLE_NONE;
	     handle = table_next(set->queries, handle)) {
		query_t *query = table_get(set->queries, handle);

		if (!query->finished && query->gone > 0)
			settle_query(set, query, now);
	}
}

void
query_tick(query_set_t *set, usec_t now)
{
	while (!g_sequence_is_empty(set->timers)) {
		query_t *query =
		    g_sequence_get(g_sequence_get_begin_iter(set->timers));

		if (query->wake > now)
			break;
		settle_query(set, query, now);
		INVARIANT(query->finished || query->wake > now,
		    "a query that is due neither ends nor waits");
	}
}

usec_t
query_next_deadline(const query_set_t *set)
{
	const query_t *query;

	if (g_sequence_is_empty(set->timers))
		return 0;
	query = g_sequence_get(g_sequence_get_begin_iter(set->timers));
	return query->wake;
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
query_running(const query_set_t *set)
{
	return set->running;
}

uint64_t
query_unmatched(const query_set_t *set)
{
	return set->unmatched;
}

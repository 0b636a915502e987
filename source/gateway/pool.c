#include "pool.h"

#include <string.h>

#include "bulrushwell/event.h"
#include "pool_private.h"
#include "shard_groups.h"

/*
 * Share of the connections that a server accepts which all nodes together use;
 * the rest stays free.
 */
#define CONNECTION_UTILIZATION 0.9
#define DEFAULT_MAX_CONNECTIONS 8
#define DEFAULT_NODE_COUNT 8 /* until pool_set_nodes() is called */
/*
 * Part of the retry budget of a shard that the nodes of its group may use; the
 * rest is for nodes of other groups, when their peers fail.
 */
#define GROUP_BUDGET_SHARE 0.45

static void
destroy_upstream(void *data)
{
	upstream_t *upstream = data;

	g_ptr_array_free(upstream->servers, TRUE);
	request_queue_destroy(upstream->waiting);
	g_free(upstream->name);
	g_free(upstream);
}

pool_t *
pool_create(struct ev_loop *loop, const pool_settings_t *settings,
    const pool_handlers_t *handlers)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->loop = loop;
	pool->settings = *settings;
	pool->handlers = *handlers;
	pool->node_count = DEFAULT_NODE_COUNT;
	pool->groups = 1;
	pool->upstreams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, destroy_upstream);
	pool->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	pool->removed_servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	pool->closing_servers = g_ptr_array_new();
	pool->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->awaits_evacuations = settings->awaits_evacuations;
	pool_sweep_start(pool);
	return pool;
}

static void
destroy_all_servers(pool_t *pool)
{
	GHashTableIter iter;
	void *value;

	while (pool->closing_servers->len > 0) {
		upstream_server_t *server = pool->closing_servers->pdata[0];

		/* The last one frees the server. */
		pool_connection_drop(server->connections->pdata[0]);
	}
	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		upstream_server_t *server = value;

		while (server->connections->len > 0)
			pool_connection_drop(server->connections->pdata[0]);
		pool_server_destroy(server);
	}
}

void
pool_destroy(pool_t *pool)
{
	if (pool == NULL)
		return;
	pool_sweep_stop(pool);
	destroy_all_servers(pool);
	g_hash_table_destroy(pool->servers);
	g_hash_table_destroy(pool->removed_servers);
	g_ptr_array_free(pool->closing_servers, TRUE);
	g_hash_table_destroy(pool->upstreams);
	g_hash_table_destroy(pool->evacuated);
	g_free(pool);
}

upstream_t *
pool_get_upstream(pool_t *pool, const char *name)
{
	upstream_t *upstream = g_hash_table_lookup(pool->upstreams, name);

	if (upstream != NULL)
		return upstream;
	upstream = g_new0(upstream_t, 1);
	upstream->name = g_strdup(name);
	upstream->max_connections = DEFAULT_MAX_CONNECTIONS;
	upstream->servers = g_ptr_array_new();
	upstream->waiting = request_queue_create();
	g_hash_table_insert(pool->upstreams, upstream->name, upstream);
	return upstream;
}

static void
mark_routed(pool_t *pool, const route_table_t *table)
{
	for (uint32_t i = 0; i < route_table_route_count(table); i++) {
		const route_t *route = route_table_route(table, i);

		for (uint32_t j = 0; j < route->target_count; j++) {
			upstream_t *upstream =
			    pool_get_upstream(pool, route->targets[j].service);

			upstream->routed = true;
			if (route->kind != ROUTE_FANOUT || upstream->is_shard)
				continue;
			upstream->is_shard = true;
			upstream->shard = j;
		}
	}
}

static void
reassign_all_servers(pool_t *pool)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_assign_servers(pool, value);
}

void
pool_apply_route_table(pool_t *pool, const route_table_t *table)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		((upstream_t *)value)->routed = false;
		((upstream_t *)value)->is_shard = false;
		pool_cold_configure(pool, value, NULL);
	}
	for (uint32_t i = 0; i < route_table_service_count(table); i++) {
		const service_spec_t *spec = route_table_service(table, i);
		upstream_t *upstream = pool_get_upstream(pool, spec->name);

		upstream->max_connections = spec->max_connections;
		pool_cold_configure(pool, upstream, spec);
	}
	mark_routed(pool, table);
	if (pool->groups > 1)
		reassign_all_servers(pool);
}

void
pool_set_nodes(pool_t *pool, uint32_t nodes, uint32_t index)
{
	if (pool->node_count == MAX(nodes, 1) && pool->node_index == index)
		return;
	pool->node_count = MAX(nodes, 1);
	pool->node_index = index;
	reassign_all_servers(pool);
}

void
pool_set_groups(pool_t *pool, uint32_t groups, uint32_t own_group)
{
	if (pool->groups == groups && pool->own_group == own_group)
		return;
	pool->groups = groups;
	pool->own_group = own_group;
	reassign_all_servers(pool);
}

static bool
is_divided(const pool_t *pool, const upstream_t *upstream)
{
	return pool->groups > 1 && upstream->is_shard;
}

/* Whether this node serves the upstream; if not, peers do. */
static bool
is_served(const pool_t *pool, const upstream_t *upstream)
{
	return !is_divided(pool, upstream) ||
	    shard_group_of(upstream->shard, pool->groups) == pool->own_group;
}

/* Nodes that share the connections to the servers of the upstream. */
static double
serving_nodes(const pool_t *pool, const upstream_t *upstream)
{
	double nodes = pool->node_count;

	return is_divided(pool, upstream) ? MAX(nodes / pool->groups, 1.0)
					  : nodes;
}

double
pool_budget_nodes(const pool_t *pool, const upstream_t *upstream)
{
	if (!is_divided(pool, upstream))
		return pool->node_count;
	if (is_served(pool, upstream))
		return serving_nodes(pool, upstream) / GROUP_BUDGET_SHARE;
	return pool->node_count / (1.0 - GROUP_BUDGET_SHARE);
}

void
pool_record_registry_call(pool_t *pool, bool answered, usec_t now)
{
	bool is_lost =
	    pool->registry_lost_at != 0 && pool->registry_back_at == 0;

	if (answered && is_lost)
		pool->registry_back_at = now;
	if (answered || is_lost)
		return;
	pool->registry_lost_at = now;
	pool->registry_back_at = 0;
}

void
pool_registry_current(pool_t *pool, usec_t at)
{
	pool->registry_current_at = MAX(pool->registry_current_at, at);
}

uint32_t
pool_node_count(const pool_t *pool)
{
	return pool->node_count;
}

/* This node's share of a server's connections; may be below 1. */
static double
connection_share(const pool_t *pool, const upstream_t *upstream)
{
	return upstream->max_connections * CONNECTION_UTILIZATION /
	    serving_nodes(pool, upstream);
}

bool
pool_connections_scarce(const pool_t *pool, const upstream_t *upstream)
{
	return !is_served(pool, upstream) ||
	    connection_share(pool, upstream) < 1.0;
}

bool
pool_keeps_connected(const pool_t *pool, const upstream_server_t *server)
{
	const upstream_t *upstream = server->upstream;

	if (!is_served(pool, upstream))
		return false;
	if (pool->settings.connected_ranks > 0)
		return server->rank < pool->settings.connected_ranks;
	return server->preferred || pool_connection_limit(pool, upstream) > 1;
}

uint32_t
pool_connection_limit(const pool_t *pool, const upstream_t *upstream)
{
	double share = connection_share(pool, upstream);

	return share < 1.0 || !is_served(pool, upstream) ? 1 : (uint32_t)share;
}

/* Servers of this node's data centre come first, then by id; evacuated ones are
 * the last. */
static int
compare_by_proximity(const void *a, const void *b)
{
	const upstream_server_t *left = *(upstream_server_t *const *)a;
	const upstream_server_t *right = *(upstream_server_t *const *)b;

	if (left->evacuated != right->evacuated)
		return left->evacuated ? 1 : -1;
	if (left->entry.same_data_centre != right->entry.same_data_centre)
		return left->entry.same_data_centre ? -1 : 1;
	return strcmp(left->entry.id, right->entry.id);
}

/* Servers of an upstream that this node uses while all are healthy. */
static uint32_t
assigned_count(const pool_t *pool, const upstream_t *upstream)
{
	uint32_t count = upstream->in_use_count;

	if (!pool_connections_scarce(pool, upstream) ||
	    !is_served(pool, upstream))
		return count;
	return MAX((uint32_t)(connection_share(pool, upstream) * count), 1);
}

static uint32_t
count_in_use(const upstream_t *upstream)
{
	uint32_t count = 0;

	for (guint i = 0; i < upstream->servers->len; i++) {
		const upstream_server_t *server = upstream->servers->pdata[i];

		count += !server->evacuated;
	}
	return count;
}

static void
assign_server(
    upstream_server_t *server, uint32_t rank, uint32_t assigned_servers)
{
	server->rank = rank;
	server->assigned = rank < assigned_servers;
	server->preferred = rank == 0;
}

void
pool_assign_servers(pool_t *pool, upstream_t *upstream)
{
	GPtrArray *servers = upstream->servers;
	uint32_t in_use = count_in_use(upstream);
	uint32_t assigned;
	placement_order_t order = {
	    .count = in_use,
	    .rotation =
		(is_divided(pool, upstream) ? pool->node_index / pool->groups
					    : pool->node_index) +
		g_str_hash(upstream->name),
	};

	upstream->in_use_count = in_use;
	assigned = assigned_count(pool, upstream);
	g_ptr_array_sort(servers, compare_by_proximity);
	for (guint i = 0; i < in_use; i++) {
		const upstream_server_t *server = servers->pdata[i];

		order.local += server->entry.same_data_centre;
	}
	for (guint i = 0; i < in_use; i++)
		assign_server(
		    servers->pdata[i], placement_rank(&order, i), assigned);
	for (guint i = in_use; i < servers->len; i++)
		assign_server(servers->pdata[i], i, 0);
}

static bool
was_tried(const upstream_server_t *server,
    const upstream_server_t *const *tried, uint32_t tried_count)
{
	for (uint32_t i = 0; i < tried_count; i++)
		if (tried[i] == server)
			return true;
	return false;
}

static void
describe_connections(const pool_t *pool, const upstream_server_t *server,
    placement_candidate_t *candidate)
{
	const GPtrArray *connections = server->connections;

	for (guint i = 0; i < connections->len; i++) {
		const pool_connection_t *connection = connections->pdata[i];
		const attempt_t *attempt = connection->attempt;

		if (attempt == NULL) {
			if (pool_connection_idle(connection))
				candidate->has_connection = true;
			continue;
		}
		candidate->running++;
		if (candidate->oldest_start == 0 ||
		    attempt->started_at < candidate->oldest_start)
			candidate->oldest_start = attempt->started_at;
	}
	candidate->can_send = candidate->has_connection ||
	    connections->len < pool_connection_limit(pool, server->upstream);
}

static void
describe_server(pool_t *pool, upstream_server_t *server, usec_t now,
    placement_candidate_t *candidate)
{
	*candidate = (placement_candidate_t){
	    .health = &server->health,
	    .load = &server->load,
	    .node_rank = server->rank,
	    .slots = server->entry.slots,
	    .nodes_per_server = serving_nodes(pool, server->upstream) /
		MAX(server->upstream->in_use_count, 1),
	    .same_data_centre = server->entry.same_data_centre,
	    .warming_up =
		now<server->warm_up_until, .assigned = server->assigned,
		    .leaving = server->leaving_since != 0,
		    .rank = pool->settings.connected_ranks> 0
		? server->rank
		: 0,
	};
	if (pool_is_drained(pool, server, now) ||
	    pool_is_evacuated(pool, server) || now < server->backoff_until ||
	    !pool_cold_permits(pool, server, now))
		candidate->excluded = true;
	describe_connections(pool, server, candidate);
	if (pool_cold_is_probed(pool, server, now))
		candidate->can_send = false;
}

bool
pool_is_in_use(const pool_t *pool, const upstream_server_t *server, usec_t now)
{
	return !pool_is_drained(pool, server, now) &&
	    !pool_is_evacuated(pool, server) &&
	    server_health_usable(&server->health, now);
}

bool
pool_has_usable_server(pool_t *pool, const upstream_t *upstream, usec_t now)
{
	/* Peers that serve a group may send to cold servers that this node must
	 * not send to. */
	bool is_limited = is_served(pool, upstream);

	for (guint i = 0; i < upstream->servers->len; i++) {
		upstream_server_t *server = upstream->servers->pdata[i];

		if (pool_is_in_use(pool, server, now) &&
		    now >= server->backoff_until &&
		    (!is_limited || pool_cold_permits(pool, server, now)))
			return true;
	}
	return false;
}

usec_t
pool_backoff_left(const pool_t *pool, const upstream_t *upstream, usec_t now)
{
	usec_t shortest = 0;

	for (guint i = 0; i < upstream->servers->len; i++) {
		const upstream_server_t *server = upstream->servers->pdata[i];
		usec_t left = server->backoff_until - now;

		if (left <= 0 || !pool_is_in_use(pool, server, now))
			continue;
		shortest = shortest == 0 ? left : MIN(shortest, left);
	}
	return shortest;
}

upstream_server_t *
pool_choose_server(pool_t *pool, upstream_t *upstream,
    const upstream_server_t *const *tried, uint32_t tried_count, usec_t typical,
    usec_t now, bool *busy)
{
	uint32_t servers = upstream->in_use_count;
	uint32_t count = servers;
	placement_candidate_t candidates[PLACEMENT_MAX_CANDIDATES];
	guint first = 0;
	int chosen;

	*busy = false;
	if (count == 0)
		return NULL;
	if (count > PLACEMENT_MAX_CANDIDATES) {
		first = (guint)g_random_int_range(0, (gint32)count);
		count = PLACEMENT_MAX_CANDIDATES;
	}
	for (uint32_t i = 0; i < count; i++) {
		upstream_server_t *server =
		    upstream->servers->pdata[(first + i) % servers];

		describe_server(pool, server, now, &candidates[i]);
		if (was_tried(server, tried, tried_count))
			candidates[i].excluded = true;
	}
	chosen = placement_choose(candidates, count, typical, now, busy);
	if (chosen == PLACEMENT_NONE)
		return NULL;
	return upstream->servers->pdata[(first + (guint)chosen) % servers];
}

void
pool_recent_attempts(
    const pool_t *pool, uint32_t *answered, uint32_t *connection_failures)
{
	*answered = pool->answered[0] + pool->answered[1];
	*connection_failures =
	    pool->connection_failures[0] + pool->connection_failures[1];
}

const pool_report_counts_t *
pool_report_counts(const pool_t *pool)
{
	return &pool->report_counts;
}

void
pool_visit_servers(const pool_t *pool,
    void (*visit)(void *context, const upstream_server_t *server),
    void *context)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(context, value);
}

uint32_t
pool_server_count(const pool_t *pool)
{
	return g_hash_table_size(pool->servers);
}

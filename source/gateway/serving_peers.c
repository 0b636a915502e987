#include "serving_peers.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../base/loop_clock.h"
#include "bulrushwell/event.h"
#include "shard_groups.h"

#define PEER_CONNECTIONS 64 /* to one peer */
#define PEER_SLOTS 32	    /* requests of this node that a peer runs at once */
/*
 * Nodes of each group that serve it for all others while they are healthy. What
 * a node learns of the servers, and its connections to them, serve all requests
 * that it gets, so few nodes with many requests are faster than many with few.
 */
#define ACTIVE_NODES 3
/* Peers of each group that are kept connected; the first one is used. */
#define CONNECTED_PEERS ACTIVE_NODES
#define MAX_RESPONSE_BYTES ((size_t)1024 * 1024)
#define GROUP_NAME_MAX 32

struct serving_peers {
	struct ev_loop *loop;
	pool_t *pool;
	name_t own_name;
	GArray *nodes; /* peer_node_t: of this data centre, by name */
	uint32_t all_nodes;
	uint32_t max_connections; /* of a server; 0: not known */
	uint32_t groups;
	uint32_t own_position; /* among @nodes */
};

serving_peers_t *
serving_peers_create(struct ev_loop *loop, const char *own_name,
    const char *request_id, const pool_handlers_t *handlers)
{
	serving_peers_t *peers = g_new0(serving_peers_t, 1);
	const pool_settings_t settings = {
	    .headers = {.request_id = request_id,
		.not_run = SERVING_PEERS_NOT_RUN_HEADER},
	    .max_response_bytes = MAX_RESPONSE_BYTES,
	    .connected_ranks = CONNECTED_PEERS,
	};

	peers->loop = loop;
	g_strlcpy(peers->own_name, own_name, sizeof(peers->own_name));
	peers->pool = pool_create(loop, &settings, handlers);
	pool_set_nodes(peers->pool, 1, 0);
	peers->nodes = g_array_new(FALSE, TRUE, sizeof(peer_node_t));
	peers->groups = 1;
	return peers;
}

void
serving_peers_destroy(serving_peers_t *peers)
{
	if (peers == NULL)
		return;
	pool_destroy(peers->pool);
	g_array_free(peers->nodes, TRUE);
	g_free(peers);
}

static void
group_name(char name[GROUP_NAME_MAX], uint32_t group)
{
	snprintf(name, GROUP_NAME_MAX, "group-%u", group);
}

/* Passes a peer to the pool, as a server of the service of its group. */
static void
add_peer(serving_peers_t *peers, const peer_node_t *node, uint32_t position,
    usec_t now)
{
	server_entry_t entry = {
	    .address = node->address,
	    .same_data_centre = true,
	    .slots = PEER_SLOTS,
	};
	upstream_t *upstream;

	g_strlcpy(entry.id, node->name, sizeof(entry.id));
	group_name(entry.service, shard_group_of(position, peers->groups));
	upstream = pool_get_upstream(peers->pool, entry.service);
	upstream->max_connections = PEER_CONNECTIONS;
	upstream->routed = true;
	pool_update_server(peers->pool, &entry, now);
}

static void
update_peers(serving_peers_t *peers)
{
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	usec_t now = loop_clock_now(peers->loop);

	for (guint i = 0; i < peers->nodes->len; i++) {
		peer_node_t *node =
		    &g_array_index(peers->nodes, peer_node_t, i);

		if (i == peers->own_position || peers->groups == 1)
			continue;
		add_peer(peers, node, i, now);
		g_hash_table_add(present, node->name);
	}
	pool_reconcile_servers(peers->pool, present, now);
	g_hash_table_destroy(present);
	/* Nodes of a group prefer different ones of the active nodes. */
	pool_set_nodes(
	    peers->pool, 1, peers->own_position / peers->groups % ACTIVE_NODES);
}

static void
update_groups(serving_peers_t *peers)
{
	const shard_group_input_t input = {
	    .nodes = peers->all_nodes,
	    .data_centre_nodes = peers->nodes->len,
	    .max_connections = peers->max_connections,
	    .current = peers->groups,
	};
	uint32_t groups =
	    peers->max_connections > 0 ? shard_group_count(&input) : 1;

	if (groups != peers->groups)
		event_log(EVENT_SHARD_GROUPS,
		    "groups=%u before=%u own=%u nodes=%u connections=%u",
		    groups, peers->groups,
		    shard_group_of(peers->own_position, groups),
		    peers->all_nodes, peers->max_connections);
	peers->groups = groups;
	update_peers(peers);
}

static int
compare_names(const void *a, const void *b)
{
	const peer_node_t *left = a, *right = b;

	return strcmp(left->name, right->name);
}

void
serving_peers_set_nodes(
    serving_peers_t *peers, const peer_node_t *nodes, uint32_t count)
{
	bool found = false;

	g_array_set_size(peers->nodes, 0);
	peers->all_nodes = count;
	for (uint32_t i = 0; i < count; i++)
		if (nodes[i].same_data_centre)
			g_array_append_val(peers->nodes, nodes[i]);
	g_array_sort(peers->nodes, compare_names);
	for (guint i = 0; i < peers->nodes->len; i++) {
		const peer_node_t *node =
		    &g_array_index(peers->nodes, peer_node_t, i);

		if (strcmp(node->name, peers->own_name) != 0)
			continue;
		peers->own_position = i;
		found = true;
	}
	/* Without an entry of its own it serves no group; it asks no peers. */
	if (!found) {
		g_array_set_size(peers->nodes, 0);
		peers->own_position = 0;
	}
	update_groups(peers);
}

void
serving_peers_set_max_connections(
    serving_peers_t *peers, uint32_t max_connections)
{
	if (max_connections == peers->max_connections)
		return;
	peers->max_connections = max_connections;
	update_groups(peers);
}

uint32_t
serving_peers_group_count(const serving_peers_t *peers)
{
	return peers->groups;
}

uint32_t
serving_peers_own_group(const serving_peers_t *peers)
{
	return shard_group_of(peers->own_position, peers->groups);
}

pool_t *
serving_peers_pool(serving_peers_t *peers)
{
	return peers->pool;
}

upstream_server_t *
serving_peers_choose(
    serving_peers_t *peers, uint32_t group, usec_t typical, usec_t now)
{
	char name[GROUP_NAME_MAX];
	bool busy;

	group_name(name, group);
	return pool_choose_server(peers->pool,
	    pool_get_upstream(peers->pool, name), NULL, 0, typical, now, &busy);
}

bool
serving_peers_is_listed(
    const serving_peers_t *peers, const struct sockaddr_in *address)
{
	for (guint i = 0; i < peers->nodes->len; i++) {
		const peer_node_t *node =
		    &g_array_index(peers->nodes, peer_node_t, i);

		if (node->address.sin_addr.s_addr == address->sin_addr.s_addr)
			return true;
	}
	return false;
}

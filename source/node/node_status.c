#include "node_private.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *
state_name(const node_t *node, usec_t now)
{
	if (blackboard_is_isolated(&node->board, now))
		return "isolated";
	switch (node->board.state) {
	case NODE_STATE_STARTING:
		return "starting";
	case NODE_STATE_READY:
		return "ready";
	case NODE_STATE_STOPPING:
		return "stopping";
	}
	return "starting";
}

static const char *
peer_state_name(node_state_t state)
{
	static const char *names[] = {"starting", "ready", "stopping"};

	return names[state];
}

static json_t *
json_u64_text(uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	return json_string(text);
}

static json_t *
describe_assignment(const node_t *node)
{
	const assignment_t *assignment = node->board.assignment;
	json_t *serving = json_array(), *standby = json_array();
	uint32_t count = assignment != NULL ? assignment->service_count : 0;

	for (uint32_t i = 0; i < count; i++) {
		const assigned_service_t *entry = &assignment->services[i];

		for (uint32_t j = 0; j < entry->holder_count; j++)
			if (blackboard_is_self(
				&node->board, &entry->holders[j]))
				json_array_append_new(
				    j == 0 ? serving : standby,
				    json_string(entry->service));
	}
	return json_pack("{s:I, s:o, s:o}", "version",
	    (json_int_t)(assignment != NULL ? assignment->version : 0),
	    "serving", serving, "standby", standby);
}

static json_t *
describe_contract(node_t *node, const contract_t *contract)
{
	const membership_t *membership = node->board.membership;
	const char *customer = contract_customer(contract);
	json_t *nodes = json_array(), *lagging = json_array();

	json_array_append_new(nodes, json_string(node->board.settings.node));
	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		if (!peer->live)
			continue;
		json_array_append_new(
		    config_peer_version(node, peer, customer) >=
			    contract_version(contract)
			? nodes
			: lagging,
		    json_string(peer->node));
	}
	return json_pack("{s:s, s:I, s:s, s:o, s:o}", "customer", customer,
	    "version", (json_int_t)contract_version(contract), "state",
	    contract_is_retired(contract) ? "retired" : "in_force", "nodes",
	    nodes, "lagging", lagging);
}

static json_t *
describe_contracts(node_t *node)
{
	const contract_store_t *store = node->board.contracts;
	json_t *list = json_array();

	for (size_t i = 0; i < contract_store_count(store); i++)
		json_array_append_new(
		    list, describe_contract(node, contract_store_at(store, i)));
	return list;
}

static json_t *
describe_peers(const node_t *node, usec_t now)
{
	const membership_t *membership = node->board.membership;
	json_t *list = json_array();

	for (size_t i = 0; i < membership_count(membership); i++) {
		const peer_t *peer = membership_at(membership, i);

		json_array_append_new(list,
		    json_pack("{s:s, s:o, s:s, s:b, s:s, s:I}", "node",
			peer->node, "incarnation",
			json_u64_text(peer->incarnation), "data_centre",
			peer->data_centre, "live", peer->live, "state",
			peer_state_name(peer->state), "heard_ms",
			(json_int_t)(peer->heard_at != 0
				? (now - peer->heard_at) / USEC_PER_MS
				: -1)));
	}
	return list;
}

static json_t *
describe_services(const node_t *node)
{
	const catalogue_t *catalogue = node->board.catalogue;
	json_t *list = json_array();

	for (size_t i = 0; i < catalogue_service_count(catalogue); i++) {
		const char *name = catalogue_service_at(catalogue, i)->service;
		const assigned_service_t *entry = node->board.assignment != NULL
		    ? assignment_find_service(node->board.assignment, name)
		    : NULL;
		uint32_t holders = entry != NULL ? entry->holder_count : 0;

		json_array_append_new(list,
		    json_pack("{s:s, s:s?, s:s?}", "service", name, "serving",
			holders > 0 ? entry->holders[0].node : NULL, "standby",
			holders > 1 ? entry->holders[1].node : NULL));
	}
	return list;
}

static json_t *
describe_indexes(const node_t *node)
{
	const catalogue_t *catalogue = node->board.catalogue;
	json_t *list = json_array();

	for (size_t i = 0; i < catalogue_index_count(catalogue); i++) {
		const char *name = catalogue_index_at(catalogue, i);
		const shard_map_t *map = catalogue_current_map(catalogue, name);

		if (map == NULL)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:I, s:i}", "index", name, "version",
			(json_int_t)shard_map_version(map), "shards",
			(int)shard_map_count(map)));
	}
	return list;
}

static char *
render_status(node_t *node)
{
	usec_t now = clock_monotonic();
	const blackboard_t *board = &node->board;
	json_int_t heard_ms = board->platform_heard_at != 0
	    ? (now - board->platform_heard_at) / USEC_PER_MS
	    : -1;
	json_t *root = json_pack(
	    "{s:s, s:o, s:s, s:s, s:{s:b, s:I}, s:o, s:o, s:o, s:o, s:o}",
	    "node", board->settings.node, "incarnation",
	    json_u64_text(board->incarnation), "data_centre",
	    board->settings.data_centre, "state", state_name(node, now),
	    "platform", "reachable", board->platform_reachable, "heard_ms",
	    heard_ms, "assignment", describe_assignment(node), "contracts",
	    describe_contracts(node), "peers", describe_peers(node, now),
	    "services", describe_services(node), "indexes",
	    describe_indexes(node));
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

/* A node that was assigned no allowance units for this long, for example
 * during a platform outage, becomes ready and uses the allowance that its
 * peers lend. */
#define NO_UNITS_GRACE_MS 5000

static bool
has_usable_allowance(const node_t *node, usec_t now)
{
	if (node->units_usable_at == 0)
		return now - node->started_at >= MS(NO_UNITS_GRACE_MS);
	return now >= node->units_usable_at;
}

bool
status_is_ready(node_t *node, usec_t now)
{
	return node->board.state == NODE_STATE_READY &&
	    !blackboard_is_isolated(&node->board, now) &&
	    node->board.assignment != NULL && has_usable_allowance(node, now);
}

static void
answer_text(http_exchange_t *exchange, int status, const char *text)
{
	http_exchange_respond(
	    exchange, status, "text/plain", slice_from(text), 0);
}

void
status_handle(void *context, http_exchange_t *exchange)
{
	node_t *node = context;
	const char *path = http_exchange_path(exchange);
	GString *out;
	char *text;

	if (strcmp(http_exchange_method(exchange), "GET") != 0) {
		request_answer_error(exchange, BW_E_INVALID,
		    "this address supports GET only", 0);
	} else if (strcmp(path, "/v1/status") == 0) {
		text = render_status(node);
		http_exchange_respond(
		    exchange, 200, "application/json", slice_from(text), 0);
		free(text);
	} else if (strcmp(path, "/metrics") == 0) {
		out = g_string_new(NULL);
		metrics_append(node, out);
		http_exchange_respond(exchange, 200,
		    "text/plain; version=0.0.4", (slice_t){out->str, out->len},
		    0);
		g_string_free(out, TRUE);
	} else if (strcmp(path, "/healthz") == 0) {
		answer_text(exchange, 200, "ok\n");
	} else if (strcmp(path, "/readyz") == 0) {
		if (status_is_ready(node, clock_monotonic()))
			answer_text(exchange, 200, "ready\n");
		else
			answer_text(exchange, 503, "not ready\n");
	} else {
		request_answer_error(exchange, BW_E_NOT_FOUND,
		    "use /v1/status, /metrics, /healthz or /readyz", 0);
	}
}

/* Guards the choice of serving nodes: few nodes serve each group of shards, so
 * that they know its servers, these share the load, and others take the place
 * of one that fails. Load pattern: a data centre of many nodes, each of which
 * receives few queries. Uses no processes. */
#include "lib/runner.h"

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../source/gateway/serving_peers.h"

#define MAX_NODES 320
#define NOW SECONDS(100)
#define TYPICAL MS(10)
#define MAX_ACTIVE 3
/* Of a fair part of the receiving nodes. */
#define MIN_LOAD 0.5

typedef struct {
	const char *name;
	uint32_t nodes;
	uint32_t data_centres;
	uint32_t max_connections;
} site_case_t;

static const site_case_t site_cases[] = {
    {"77 nodes", 77, 3, 70},
    {"91 nodes", 91, 4, 78},
    {"295 nodes", 295, 5, 195},
};

typedef struct {
	struct ev_loop *loop;
	peer_node_t nodes[MAX_NODES];
	uint32_t count;
	uint32_t max_connections;
} site_t;

static void
ignore_attempt(void *owner, attempt_t *attempt, attempt_outcome_t outcome,
    const http_message_t *response)
{
}

static void
ignore_capacity(void *context, upstream_t *upstream)
{
}

static void
ignore_crash(void *context, const upstream_server_t *server,
    const interrupted_request_t *interrupted)
{
}

static void
make_site(const site_case_t *row, struct ev_loop *loop, site_t *site)
{
	*site = (site_t){.loop = loop,
	    .count = row->nodes,
	    .max_connections = row->max_connections};
	for (uint32_t i = 0; i < row->nodes; i++) {
		peer_node_t *node = &site->nodes[i];

		snprintf(node->name, sizeof(node->name), "vm-%u-%u",
		    i % row->data_centres, i / row->data_centres);
		node->address.sin_family = AF_INET;
		node->address.sin_addr.s_addr = htonl(0x0a000001u + i);
		node->same_data_centre = i % row->data_centres == 0;
	}
}

/* What the node at @index knows of the others. */
static serving_peers_t *
create_view(const site_t *site, uint32_t index)
{
	static const pool_handlers_t handlers = {
	    .attempt_ended = ignore_attempt,
	    .capacity_available = ignore_capacity,
	    .server_crashed = ignore_crash};
	serving_peers_t *peers = serving_peers_create(
	    site->loop, site->nodes[index].name, "X-Id", &handlers);

	serving_peers_set_nodes(peers, site->nodes, site->count);
	serving_peers_set_max_connections(peers, site->max_connections);
	return peers;
}

/*
 * Counts for how many receiving nodes each node serves @group; those of the
 * group serve it themselves.
 * Return: the number of receiving nodes.
 */
static uint32_t
count_choices(const site_t *site, uint32_t group, const char *failed,
    uint32_t chosen[MAX_NODES])
{
	uint32_t receiving = 0;

	memset(chosen, 0, MAX_NODES * sizeof(*chosen));
	for (uint32_t i = 0; i < site->count; i++) {
		serving_peers_t *peers;
		upstream_server_t *peer;

		if (!site->nodes[i].same_data_centre)
			continue;
		peers = create_view(site, i);
		if (serving_peers_own_group(peers) == group) {
			serving_peers_destroy(peers);
			continue;
		}
		receiving++;
		peer = serving_peers_choose(peers, group, TYPICAL, NOW);
		if (peer != NULL && failed != NULL &&
		    strcmp(peer->entry.id, failed) == 0) {
			server_health_connection_failed(&peer->health, NOW);
			peer = serving_peers_choose(peers, group, TYPICAL, NOW);
		}
		assert_non_null(peer);
		for (uint32_t j = 0; j < site->count; j++)
			chosen[j] +=
			    strcmp(site->nodes[j].name, peer->entry.id) == 0;
		serving_peers_destroy(peers);
	}
	return receiving;
}

static uint32_t
count_active(const uint32_t chosen[MAX_NODES], uint32_t min_load)
{
	uint32_t active = 0;

	for (uint32_t i = 0; i < MAX_NODES; i++)
		active += chosen[i] > min_load;
	return active;
}

static void
check_group(const site_case_t *row, const site_t *site, uint32_t group)
{
	uint32_t chosen[MAX_NODES], busiest = 0;
	uint32_t receiving = count_choices(site, group, NULL, chosen);
	double fair = (double)receiving / MAX_ACTIVE;

	if (count_active(chosen, 0) > MAX_ACTIVE)
		fail_msg("%s: %u nodes serve group %u", row->name,
		    count_active(chosen, 0), group);
	for (uint32_t i = 0; i < MAX_NODES; i++)
		if (chosen[i] > chosen[busiest])
			busiest = i;
	if (count_active(chosen, (uint32_t)(MIN_LOAD * fair)) < MAX_ACTIVE)
		fail_msg("%s: %u of %u nodes choose one node of group %u",
		    row->name, chosen[busiest], receiving, group);
	count_choices(site, group, site->nodes[busiest].name, chosen);
	assert_int_equal(chosen[busiest], 0);
	if (count_active(chosen, 0) > MAX_ACTIVE)
		fail_msg("%s: group %u is scattered after a failure", row->name,
		    group);
}

static void
few_nodes_serve_a_group(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);

	for (size_t i = 0; i < G_N_ELEMENTS(site_cases); i++) {
		site_t site;
		serving_peers_t *view;
		uint32_t groups;

		make_site(&site_cases[i], loop, &site);
		view = create_view(&site, 0);
		groups = serving_peers_group_count(view);
		serving_peers_destroy(view);
		assert_true(groups > 1);
		for (uint32_t group = 0; group < groups; group++)
			check_group(&site_cases[i], &site, group);
	}
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(few_nodes_serve_a_group),
	};

	return RUN_TESTS(argc, argv, tests);
}

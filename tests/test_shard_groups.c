/* Guards the division of shards among nodes: every shard has one group, servers
 * get no more connections than they accept, and the groups stay while nodes
 * come and go. */
#include "lib/runner.h"

#include <glib.h>

#include "../source/gateway/shard_groups.h"

typedef struct {
	const char *name;
	uint32_t nodes;
	uint32_t data_centres;
	uint32_t max_connections;
	uint32_t groups; /* expected */
} size_case_t;

static const size_case_t size_cases[] = {
    {"a small site: each node sends to all shards", 7, 3, 26, 1},
    {"as many connections as nodes need", 62, 3, 70, 1},
    {"77 nodes", 77, 3, 70, 4},
    {"91 nodes", 91, 4, 78, 4},
    {"295 nodes", 295, 5, 195, 6},
    {"1,000 nodes", 1000, 5, 195, 18},
    {"3,200 nodes", 3200, 31, 600, 18},
    {"few nodes in a data centre", 8, 1, 2, 2},
    {"one node in a data centre", 30, 30, 2, 1},
    {"a server that accepts nothing", 10, 1, 0, 3},
    {"no node", 0, 1, 10, 1},
};

static void
groups_follow_the_size(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
		const size_case_t *size = &size_cases[i];
		const shard_group_input_t input = {
		    .nodes = size->nodes,
		    .data_centre_nodes = size->nodes / size->data_centres,
		    .max_connections = size->max_connections,
		};

		if (shard_group_count(&input) != size->groups)
			fail_msg("%s: %u groups", size->name,
			    shard_group_count(&input));
	}
}

/* With one connection of each serving node, a server accepts them all; the
 * sub-requests of a query that one node sends become fewer with more groups. */
static void
servers_accept_the_connections_of_a_group(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
		const size_case_t *size = &size_cases[i];
		double serving = (double)size->nodes / size->groups;

		if (size->groups == 1 || size->max_connections < 10)
			continue;
		assert_true(serving <= size->max_connections);
		print_message("%s: %u groups, %.0f nodes serve a shard, %.1f "
			      "connections each\n",
		    size->name, size->groups, serving,
		    size->max_connections / serving);
	}
}

static void
each_shard_has_one_group(void **state)
{
	for (uint32_t shards = 1; shards <= 140; shards++)
		for (uint32_t groups = 1; groups <= 20; groups++) {
			uint32_t total = 0;

			for (uint32_t group = 0; group < groups; group++) {
				uint32_t counted = 0;

				for (uint32_t i = 0; i < shards; i++)
					counted +=
					    shard_group_of(i, groups) == group;
				assert_int_equal(
				    shard_group_size(shards, group, groups),
				    counted);
				total += counted;
			}
			assert_int_equal(total, shards);
		}
}

/* Guards against groups that change each time a node comes or goes: all nodes
 * would open their connections anew. */
static void
groups_stay_while_few_nodes_change(void **state)
{
	static const struct {
		uint32_t nodes;
		uint32_t groups;
	} steps[] = {
	    {295, 6},
	    {290, 6},
	    {300, 6},
	    {280, 6},
	    {350, 6},
	    {352, 7},
	    {340, 7},
	    {300, 6},
	    {200, 4},
	    {58, 1},
	    {60, 4},
	};
	uint32_t groups = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		const shard_group_input_t input = {.nodes = steps[i].nodes,
		    .data_centre_nodes = steps[i].nodes / 5,
		    .max_connections = steps[i].nodes < 100 ? 65 : 195,
		    .current = groups};

		groups = shard_group_count(&input);
		if (groups != steps[i].groups)
			fail_msg("step %zu: %u groups", i, groups);
	}
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(groups_follow_the_size),
	    cmocka_unit_test(servers_accept_the_connections_of_a_group),
	    cmocka_unit_test(each_shard_has_one_group),
	    cmocka_unit_test(groups_stay_while_few_nodes_change),
	};

	return RUN_TESTS(argc, argv, tests);
}

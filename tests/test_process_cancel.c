/* Jobs of cancelled queries must leave the serving node's job table. Jobs left
 * behind would fill the table, and the node would then refuse every query. */
#include "lib/harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES 2
#define SERVICES 4
#define QUERIES 5
#define TIMEOUT_MS 20000

static void
start_tier(harness_t *harness)
{
	static const upstream_group_t group = {.name = "part",
	    .services = SERVICES,
	    .servers = 2,
	    .slots = 2,
	    .connections = 25,
	    .p50_ms = 1,
	    .p99_ms = 2,
	    .indexed = true};
	static const upstream_set_t set = {.groups = &group,
	    .group_count = 1,
	    .index = "parts",
	    .version = 1,
	    .seed = 1};
	static const contract_spec_t contract = {.customer = "acme",
	    .key = "acme-key",
	    .indexes = "parts",
	    .services = "",
	    .rate_per_s = 1000,
	    .concurrency = 100,
	    .deadline_ms = 300,
	    .repeat_window_h = 1};

	harness_start_platform(harness);
	harness_start_upstreams(harness, &set);
	harness_put_contract(harness, &contract);
	harness_start_tier(harness, NODES);
}

static int
post_query(harness_t *harness, int node)
{
	static const char *const headers[] = {
	    "Authorization: Bearer acme-key", NULL};
	http_reply_t reply =
	    harness_http("POST", harness->nodes[node].caller_address,
		"/v1/query/parts", headers, "board", TIMEOUT_MS);
	int status = reply.status;

	http_reply_clear(&reply);
	return status;
}

/* Repeats a query until it is admitted: it takes time until the nodes have an
 * allowance of a new contract. */
static void
wait_query_answered(harness_t *harness, int node)
{
	for (int i = 0; i < 200; i++) {
		if (post_query(harness, node) == 200)
			return;
		usleep(100000);
	}
	fail_msg("node %d does not answer queries", node);
}

static long
jobs_open(harness_t *harness, int node)
{
	static const char name[] = "bulrushwell_jobs_open ";
	http_reply_t reply =
	    harness_http("GET", harness->nodes[node].operator_address,
		"/metrics", NULL, NULL, TIMEOUT_MS);
	const char *found;
	long count;

	assert_int_equal(reply.status, 200);
	found = strstr(reply.body->str, name);
	assert_non_null(found);
	count = strtol(found + strlen(name), NULL, 10);
	http_reply_clear(&reply);
	return count;
}

static void
cancelled_queries_leave_no_jobs(void **state)
{
	harness_t *harness = *state;

	start_tier(harness);
	for (int node = 0; node < NODES; node++)
		wait_query_answered(harness, node);
	for (int i = 1; i <= SERVICES; i++) {
		char server[32];

		for (int replica = 1; replica <= 2; replica++) {
			snprintf(
			    server, sizeof(server), "part-%d-s%d", i, replica);
			harness_set_faults(
			    harness, server, "{\"freeze\":true}");
		}
	}
	for (int i = 0; i < QUERIES; i++)
		for (int node = 0; node < NODES; node++)
			post_query(harness, node);
	for (int node = 0; node < NODES; node++) {
		int tries = 100;

		while (jobs_open(harness, node) != 0 && tries-- > 0)
			usleep(100000);
		assert_int_equal(jobs_open(harness, node), 0);
	}
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    HARNESS_TEST(cancelled_queries_leave_no_jobs),
	};

	return RUN_TESTS(argc, argv, tests);
}

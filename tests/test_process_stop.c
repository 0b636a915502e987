/* Guards against planned stops that abort requests, do not hand over services
 * or do not end the process. Callers continue to use a stopping node for a
 * while, because a load balancer notices the stop late. */
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define NODES 3
#define ALL_NODES 7u
#define DEADLINE_MS 1000

/* Time within which a stopping node must end: the delay of the load balancer,
 * the longest deadline and the time to finish, plus a margin. */
#define STOP_MS 40000

typedef struct {
	harness_t *harness;
	traffic_t *queries;
	traffic_t *reservations;
	unsigned stopping; /* bit mask of nodes */
} stop_test_t;

static stop_test_t
start_load(harness_t *harness)
{
	stop_test_t test = {.harness = harness};

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	test.queries = traffic_start(harness, false, ALL_NODES, 4, 5);
	test.reservations = traffic_start(harness, true, ALL_NODES, 2, 10);
	traffic_wait(test.queries, 50);
	traffic_wait(test.reservations, 20);
	return test;
}

/* Sends SIGTERM to the nodes. The callers use them until
 * remove_from_load_balancer(). */
static void
signal_nodes(stop_test_t *test, unsigned nodes)
{
	test->stopping = nodes;
	for (int i = 0; i < NODES; i++)
		if ((nodes & 1u << i) != 0)
			harness_signal(test->harness,
			    test->harness->nodes[i].process, SIGTERM);
}

static void
remove_from_load_balancer(stop_test_t *test)
{
	traffic_set_nodes(test->queries, ALL_NODES & ~test->stopping);
	traffic_set_nodes(test->reservations, ALL_NODES & ~test->stopping);
}

static void
wait_exits(stop_test_t *test)
{
	for (int i = 0; i < NODES; i++) {
		int status;

		if ((test->stopping & 1u << i) == 0)
			continue;
		status = harness_wait_exit(
		    test->harness, test->harness->nodes[i].process, STOP_MS);
		assert_true(status >= 0);
		assert_true(WIFEXITED(status));
		assert_int_equal(WEXITSTATUS(status), 0);
	}
}

static void
finish_load(stop_test_t *test)
{
	traffic_counts_t queries = traffic_stop(test->harness, test->queries);
	traffic_counts_t reservations =
	    traffic_stop(test->harness, test->reservations);

	assert_int_equal(queries.no_response, 0);
	assert_int_equal(queries.wrong, 0);
	assert_int_equal(queries.failed, 0);
	assert_int_equal(queries.partial, 0);
	assert_int_equal(reservations.no_response, 0);
	assert_int_equal(reservations.wrong, 0);
	assert_int_equal(reservations.failed, 0);
	assert_int_equal(reservations.unknown, 0);
	traffic_check_caps(test->harness);
}

/* Waits until each service is served by one of the remaining nodes. */
static void
check_handed_over(const stop_test_t *test)
{
	static const char *const services[] = {"slotplan-1", "slotplan-2",
	    "slotplan-3", "slotplan-4", TRAFFIC_SERVICE};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		traffic_wait_serving(
		    test->harness, services[i], ALL_NODES & ~test->stopping);
}

/* Stops the nodes under load and checks that no request notices it. */
static void
stop_nodes(stop_test_t *test, unsigned nodes)
{
	signal_nodes(test, nodes);
	traffic_wait(test->queries, 50);
	traffic_wait(test->reservations, 10);
	remove_from_load_balancer(test);
	wait_exits(test);
	check_handed_over(test);
	traffic_wait(test->queries, 50);
	traffic_wait(test->reservations, 10);
	finish_load(test);
}

/* The stopping node serves the reservation service; for the other services it
 * may be the serving node, the standby or neither. */
static void
one_node_stops_without_a_cut(void **state)
{
	harness_t *harness = *state;
	stop_test_t test = start_load(harness);
	int serving = traffic_wait_serving(harness, TRAFFIC_SERVICE, ~0u);

	stop_nodes(&test, 1u << serving);
}

/* Both holders of a service may stop at the same time. */
static void
two_nodes_stop_at_once_without_a_cut(void **state)
{
	stop_test_t test = start_load(*state);

	stop_nodes(&test, 3u);
}

/* Without the platform the node cannot release its shares. It must still end
 * without aborting a request. Reservations are refused as not run. */
static void
a_stop_during_an_outage_ends_without_a_cut(void **state)
{
	harness_t *harness = *state;
	stop_test_t test = start_load(harness);
	int serving = traffic_wait_serving(harness, "slotplan-1", ~0u);
	traffic_counts_t counts;

	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":true}");
	signal_nodes(&test, 1u << serving);
	traffic_wait(test.queries, 50);
	remove_from_load_balancer(&test);
	wait_exits(&test);
	traffic_wait(test.queries, 50);
	harness_post(
	    harness->platform_address, "/fake/faults", "{\"down\":false}");
	harness_set_vms(harness, test.stopping, 0);
	check_handed_over(&test);
	traffic_wait(test.reservations, 10);
	counts = traffic_stop(harness, test.queries);
	assert_int_equal(counts.no_response, 0);
	assert_int_equal(counts.wrong, 0);
	assert_int_equal(counts.failed, 0);
	/* Only one holder of each service stopped, so the other one serves. */
	counts = traffic_stop(harness, test.reservations);
	assert_int_equal(counts.no_response, 0);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(harness);
}

/* A request accepted before the signal and one that arrives after it must both
 * be answered although their servers are slow. */
static void
slow_requests_outlive_the_signal(void **state)
{
	harness_t *harness = *state;
	stop_test_t test = {.harness = harness};
	background_reservation_t *pending[2];
	char key[64];
	int serving;

	traffic_start_tier(harness, NODES, 5000);
	serving = traffic_wait_serving(harness, TRAFFIC_SERVICE, ~0u);
	harness_set_faults(
	    harness, TRAFFIC_SERVICE "-s1", "{\"latency_factor\":200}");
	harness_set_faults(
	    harness, TRAFFIC_SERVICE "-s2", "{\"latency_factor\":200}");
	traffic_make_key(key, "before");
	pending[0] = traffic_reserve_start(
	    harness->nodes[serving].caller_address, key, "reel 4711");
	while (harness_executions(harness, key) == 0)
		g_usleep(5000);
	signal_nodes(&test, 1u << serving);
	harness_wait_status(
	    harness->nodes[serving].operator_address, "/readyz", 503, STOP_MS);
	traffic_make_key(key, "after");
	pending[1] = traffic_reserve_start(
	    harness->nodes[serving].caller_address, key, "reel 4712");
	for (size_t i = 0; i < G_N_ELEMENTS(pending); i++) {
		reply_t reply = traffic_reserve_finish(pending[i]);

		assert_int_equal(reply.status, 200);
		assert_false(reply.wrong);
	}
	wait_exits(&test);
	check_handed_over(&test);
}

/* The last nodes of a tier cannot hand over services and must end as well. */
static void
the_last_node_ends(void **state)
{
	harness_t *harness = *state;
	stop_test_t test = start_load(harness);

	traffic_stop(harness, test.queries);
	traffic_stop(harness, test.reservations);
	signal_nodes(&test, ALL_NODES);
	wait_exits(&test);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(one_node_stops_without_a_cut),
	    HARNESS_TEST(two_nodes_stop_at_once_without_a_cut),
	    HARNESS_TEST(a_stop_during_an_outage_ends_without_a_cut),
	    HARNESS_TEST(slow_requests_outlive_the_signal),
	    HARNESS_TEST(the_last_node_ends),
	};

	return RUN_TESTS(argc, argv, tests);
}

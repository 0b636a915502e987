/* Guards planned stops: no request is cut, the services are handed over, the
 * process ends by itself. Callers go on for a while, as a balancer's view of
 * the nodes lags. */
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define NODES 3
#define ALL 7u
#define DEADLINE_MS 1000

/* Balancer's lag, longest deadline and finishing time, with a margin. */
#define STOP_MS 40000

typedef struct {
	harness_t *harness;
	traffic_t *queries;
	traffic_t *reservations;
	unsigned stopping; /* mask */
} stop_t;

static stop_t
begin_load(harness_t *harness)
{
	stop_t stop = {.harness = harness};

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	stop.queries = traffic_start(harness, false, ALL, 4, 5);
	stop.reservations = traffic_start(harness, true, ALL, 2, 10);
	traffic_wait(stop.queries, 50);
	traffic_wait(stop.reservations, 20);
	return stop;
}

/* Signals the nodes; callers go on to use them until 50 more answers. */
static void
signal_nodes(stop_t *stop, unsigned nodes)
{
	stop->stopping = nodes;
	for (int i = 0; i < NODES; i++)
		if ((nodes & 1u << i) != 0)
			harness_signal(stop->harness,
			    stop->harness->nodes[i].process, SIGTERM);
}

static void
remove_nodes(stop_t *stop)
{
	traffic_set_nodes(stop->queries, ALL & ~stop->stopping);
	traffic_set_nodes(stop->reservations, ALL & ~stop->stopping);
}

static void
wait_ends(stop_t *stop)
{
	for (int i = 0; i < NODES; i++) {
		int status;

		if ((stop->stopping & 1u << i) == 0)
			continue;
		status = harness_wait_exit(
		    stop->harness, stop->harness->nodes[i].process, STOP_MS);
		assert_true(status >= 0);
		assert_true(WIFEXITED(status));
		assert_int_equal(WEXITSTATUS(status), 0);
	}
}

static void
end_load(stop_t *stop)
{
	traffic_counts_t queries = traffic_stop(stop->harness, stop->queries);
	traffic_counts_t reservations =
	    traffic_stop(stop->harness, stop->reservations);

	assert_int_equal(queries.cut, 0);
	assert_int_equal(queries.wrong, 0);
	assert_int_equal(queries.failed, 0);
	assert_int_equal(queries.partial, 0);
	assert_int_equal(reservations.cut, 0);
	assert_int_equal(reservations.wrong, 0);
	assert_int_equal(reservations.failed, 0);
	assert_int_equal(reservations.unknown, 0);
	traffic_check_caps(stop->harness);
}

/* Each service is served by a node that remains. */
static void
check_handed_over(const stop_t *stop)
{
	static const char *const services[] = {"slotplan-1", "slotplan-2",
	    "slotplan-3", "slotplan-4", LOAD_SERVICE};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		traffic_wait_serving(
		    stop->harness, services[i], ALL & ~stop->stopping);
}

static void
stop_nodes(harness_t *harness, unsigned nodes)
{
	stop_t stop = begin_load(harness);

	signal_nodes(&stop, nodes);
	traffic_wait(stop.queries, 50);
	traffic_wait(stop.reservations, 10);
	remove_nodes(&stop);
	wait_ends(&stop);
	check_handed_over(&stop);
	traffic_wait(stop.queries, 50);
	traffic_wait(stop.reservations, 10);
	end_load(&stop);
}

/* Each position in the assignment: serving node, standby, neither. */
static void
one_node_stops_without_a_cut(void **state)
{
	harness_t *harness = *state;
	stop_t stop = begin_load(harness);
	int serving = traffic_wait_serving(harness, LOAD_SERVICE, ~0u);

	signal_nodes(&stop, 1u << serving);
	traffic_wait(stop.queries, 50);
	traffic_wait(stop.reservations, 10);
	remove_nodes(&stop);
	wait_ends(&stop);
	check_handed_over(&stop);
	traffic_wait(stop.queries, 50);
	traffic_wait(stop.reservations, 10);
	end_load(&stop);
}

/* Both leave a service that only they hold. */
static void
two_nodes_stop_at_once_without_a_cut(void **state)
{
	stop_nodes(*state, 3u);
}

/* Shares cannot be given up without the store, but nothing may be cut and the
 * process must end all the same. Reservations are refused as not run. */
static void
a_stop_during_an_outage_ends_without_a_cut(void **state)
{
	harness_t *harness = *state;
	stop_t stop = begin_load(harness);
	int serving = traffic_wait_serving(harness, "slotplan-1", ~0u);
	traffic_counts_t counts;

	harness_order(harness->platform, "/fake/faults", "{\"down\":true}");
	signal_nodes(&stop, 1u << serving);
	traffic_wait(stop.queries, 50);
	remove_nodes(&stop);
	wait_ends(&stop);
	traffic_wait(stop.queries, 50);
	harness_order(harness->platform, "/fake/faults", "{\"down\":false}");
	harness_list_vms(harness, stop.stopping, 0);
	check_handed_over(&stop);
	traffic_wait(stop.reservations, 10);
	counts = traffic_stop(harness, stop.queries);
	assert_int_equal(counts.cut, 0);
	assert_int_equal(counts.wrong, 0);
	assert_int_equal(counts.failed, 0);
	/* Neither holder of a service stopped but one: the other serves. */
	counts = traffic_stop(harness, stop.reservations);
	assert_int_equal(counts.cut, 0);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(harness);
}

/* A request that arrives after the signal, and one that was accepted before,
 * are answered although their servers are slow. */
static void
slow_requests_outlive_the_signal(void **state)
{
	harness_t *harness = *state;
	stop_t stop = {.harness = harness};
	caller_t *callers[2];
	char key[64];
	int serving;

	traffic_start_tier(harness, NODES, 5000);
	serving = traffic_wait_serving(harness, LOAD_SERVICE, ~0u);
	harness_fault(harness, LOAD_SERVICE "-s1", "{\"latency_factor\":200}");
	harness_fault(harness, LOAD_SERVICE "-s2", "{\"latency_factor\":200}");
	traffic_make_key(key, "before");
	callers[0] =
	    caller_begin(harness->nodes[serving].caller, key, "reel 4711");
	while (harness_executions(harness, key) == 0)
		g_usleep(5000);
	signal_nodes(&stop, 1u << serving);
	harness_wait_status(
	    harness->nodes[serving].operator_address, "/readyz", 503, STOP_MS);
	traffic_make_key(key, "after");
	callers[1] =
	    caller_begin(harness->nodes[serving].caller, key, "reel 4712");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		reply_t reply = caller_end(callers[i]);

		assert_int_equal(reply.status, 200);
		assert_false(reply.wrong);
	}
	wait_ends(&stop);
	check_handed_over(&stop);
}

/* The last node of a tier has nobody to hand over to, and must end too. */
static void
the_last_node_ends(void **state)
{
	harness_t *harness = *state;
	stop_t stop = begin_load(harness);

	traffic_stop(harness, stop.queries);
	traffic_stop(harness, stop.reservations);
	signal_nodes(&stop, ALL);
	wait_ends(&stop);
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

/* Guards against servers that get more requests or connections than their caps
 * while their serving node changes or is isolated, under constant queries. */
#include "lib/proxy.h"
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define NODES 3
#define ALL_NODES 7u
#define DEADLINE_MS 500
#define SERVICE "slotplan-1"
#define WAIT_MS 20000

typedef struct {
	harness_t *harness;
	traffic_t *load;
	int serving_node; /* serves SERVICE at the start of the test */
	int other_node;	  /* keeps running while the serving node does not */
} serving_test_t;

static serving_test_t
start_test(harness_t *harness)
{
	serving_test_t test = {.harness = harness};

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	test.load = traffic_start(harness, false, ALL_NODES, 8, 2);
	traffic_wait(test.load, 100);
	test.serving_node = traffic_wait_serving(harness, SERVICE, ALL_NODES);
	test.other_node = (test.serving_node + 1) % NODES;
	return test;
}

/* Waits for complete responses of the nodes of the mask, stops the load and
 * checks that the caps were never exceeded. */
static void
finish_test(serving_test_t *test, unsigned nodes)
{
	traffic_counts_t counts;

	for (int i = 0; i < test->harness->node_count; i++)
		if ((nodes & 1u << i) != 0)
			traffic_wait_complete(test->harness, i);
	traffic_wait(test->load, 100);
	counts = traffic_stop(test->harness, test->load);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(test->harness);
}

/* Waits until the full cap of each server is used again: both slots at once,
 * one of which is lent. The servers are slow enough for requests to overlap. */
static void
wait_full_cap(harness_t *harness, traffic_t *load)
{
	usec_t until = clock_monotonic() + MS(WAIT_MS);

	while (harness_record_int(harness, SERVICE "-s1", "max_running") < 2 ||
	    harness_record_int(harness, SERVICE "-s2", "max_running") < 2) {
		if (clock_monotonic() > until)
			fail_msg(
			    "the servers' caps are not fully used: %d complete",
			    traffic_counts(load).complete);
		g_usleep(10000);
	}
}

/* The serving node is killed: the standby must serve, and no share of a cap may
 * be used twice. The node is restarted without a share and must get one again.
 */
static void
serving_node_killed(void **state)
{
	serving_test_t test = start_test(*state);
	unsigned remaining = ALL_NODES & ~(1u << test.serving_node);

	harness_kill_node(test.harness, test.serving_node);
	traffic_set_nodes(test.load, remaining);
	traffic_wait_complete(test.harness, test.other_node);
	traffic_wait(test.load, 100);
	harness_start_node(test.harness, test.serving_node);
	harness_wait_node_ready(test.harness, test.serving_node);
	traffic_set_nodes(test.load, ALL_NODES);
	wait_full_cap(test.harness, test.load);
	finish_test(&test, ALL_NODES);
}

/* A paused serving node resumes while its standby serves. Its loan has expired,
 * so its queued requests must not be sent in addition to the standby's. */
static void
serving_node_paused_and_woken(void **state)
{
	serving_test_t test = start_test(*state);
	process_t process = test.harness->nodes[test.serving_node].process;
	unsigned remaining = ALL_NODES & ~(1u << test.serving_node);

	for (int i = 0; i < 3; i++) {
		harness_signal(test.harness, process, SIGSTOP);
		traffic_set_nodes(test.load, remaining);
		traffic_wait_complete(test.harness, test.other_node);
		traffic_wait(test.load, 100);
		harness_signal(test.harness, process, SIGCONT);
		traffic_set_nodes(test.load, ALL_NODES);
		traffic_wait(test.load, 100);
	}
	finish_test(&test, ALL_NODES);
}

/* The serving node is paused for times around the expiry time of a loan. */
static void
serving_node_paused_for_moments(void **state)
{
	static const int pauses_ms[] = {50, 150, 250, 300, 350, 450, 600, 900};
	serving_test_t test = start_test(*state);
	process_t process = test.harness->nodes[test.serving_node].process;

	for (size_t i = 0; i < G_N_ELEMENTS(pauses_ms); i++) {
		harness_signal(test.harness, process, SIGSTOP);
		/* The length of the pause is what the test varies. */
		g_usleep((gulong)pauses_ms[i] * 1000);
		harness_signal(test.harness, process, SIGCONT);
		traffic_wait(test.load, 50);
	}
	finish_test(&test, ALL_NODES);
}

/* Without the platform no share can be reassigned. The standby must serve with
 * its own share, which is half of each cap. */
static void
serving_node_killed_during_an_outage(void **state)
{
	serving_test_t test = start_test(*state);
	unsigned remaining = ALL_NODES & ~(1u << test.serving_node);

	harness_post(
	    test.harness->platform_address, "/fake/faults", "{\"down\":true}");
	harness_kill_node(test.harness, test.serving_node);
	traffic_set_nodes(test.load, remaining);
	traffic_wait_complete(test.harness, test.other_node);
	traffic_wait(test.load, 100);
	harness_post(
	    test.harness->platform_address, "/fake/faults", "{\"down\":false}");
	harness_set_vms(test.harness, 1u << test.serving_node, 0);
	traffic_wait_serving(test.harness, SERVICE, remaining);
	finish_test(&test, remaining);
}

/* All nodes, and so both holders of each service, are paused and resumed in
 * turn while the platform is down and nothing can be reassigned. */
static void
two_nodes_paused_during_an_outage(void **state)
{
	serving_test_t test = start_test(*state);

	harness_post(
	    test.harness->platform_address, "/fake/faults", "{\"down\":true}");
	for (int i = 0; i < 2 * NODES; i++) {
		int node = i % NODES;
		process_t process = test.harness->nodes[node].process;

		harness_signal(test.harness, process, SIGSTOP);
		traffic_set_nodes(test.load, ALL_NODES & ~(1u << node));
		traffic_wait_complete(test.harness, (node + 1) % NODES);
		traffic_wait(test.load, 30);
		harness_signal(test.harness, process, SIGCONT);
		traffic_wait(test.load, 30);
	}
	traffic_set_nodes(test.load, ALL_NODES);
	harness_post(
	    test.harness->platform_address, "/fake/faults", "{\"down\":false}");
	finish_test(&test, ALL_NODES);
}

/* Connections between peers are interrupted in one direction, so that requests
 * or replies of loans are lost. Each side may use only its own share. */
static void
peers_cut_in_one_direction(void **state)
{
	static const proxy_mode_t modes[] = {PROXY_HOLD, PROXY_DROP};
	harness_t *harness = *state;
	serving_test_t test = {.harness = harness};
	proxy_t *proxies[2];
	int64_t partial;

	traffic_start_backends(harness, DEADLINE_MS);
	harness_add_nodes(harness, 2);
	for (int i = 0; i < 2; i++)
		proxies[i] = proxy_create(harness->nodes[1 - i].peer_address,
		    harness->nodes[i].peer_proxies[1 - i]);
	for (int i = 0; i < 2; i++) {
		const harness_node_t *node = &harness->nodes[i];

		/* In this node's messages the peer must find the proxy's
		 * address instead of the node's own. */
		proxy_replace_text(proxies[i], node->peer_address,
		    harness->nodes[1 - i].peer_proxies[i]);
	}
	/* The store's node objects would contain the nodes' own addresses. */
	for (int i = 0; i < 2; i++)
		harness_start_node(harness, i);
	for (int i = 0; i < 2; i++)
		traffic_wait_complete(harness, i);
	test.load = traffic_start(harness, false, 3, 8, 2);
	traffic_wait(test.load, 100);
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(modes); i++) {
		harness_post(harness->platform_address, "/fake/faults",
		    "{\"down\":true}");
		proxy_set_mode(proxies[i % 2], modes[i / 2]);
		traffic_wait(test.load, 50);
		proxy_set_mode(proxies[i % 2], PROXY_PASS);
		harness_post(harness->platform_address, "/fake/faults",
		    "{\"down\":false}");
		traffic_wait_complete(harness, 0);
		traffic_wait_complete(harness, 1);
	}
	partial = traffic_counts(test.load).partial;
	print_message("%lld partial\n", (long long)partial);
	finish_test(&test, 3);
	for (int i = 0; i < 2; i++)
		proxy_destroy(proxies[i]);
}

/* All VMs are replaced one by one by VMs with new names and addresses, while
 * the VM list is delayed. */
static void
all_nodes_replaced_one_by_one(void **state)
{
	serving_test_t test = start_test(*state);
	harness_t *harness = test.harness;
	unsigned gone = 0;

	for (int old_node = 0; old_node < NODES; old_node++) {
		int new_node = NODES + old_node;

		harness_add_nodes(harness, new_node + 1);
		harness_set_vms(harness, gone, 0);
		harness_start_node(harness, new_node);
		harness_wait_node_ready(harness, new_node);
		traffic_wait_members(harness, NODES + 1);
		traffic_set_nodes(
		    test.load, ALL_NODES & ~(gone | 1u << old_node));
		gone |= 1u << old_node;
		harness_kill_node(harness, old_node);
		harness_set_vms(harness, gone, 500);
		traffic_wait_complete(harness, new_node);
	}
	for (int i = 1; i <= 4; i++) {
		char service[32];

		snprintf(service, sizeof(service), "slotplan-%d", i);
		traffic_wait_serving(harness, service, ALL_NODES << NODES);
	}
	traffic_stop(harness, test.load);
	test.load = traffic_start(harness, false, ALL_NODES << NODES, 8, 2);
	finish_test(&test, ALL_NODES << NODES);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(serving_node_killed),
	    HARNESS_TEST(serving_node_paused_and_woken),
	    HARNESS_TEST(serving_node_paused_for_moments),
	    HARNESS_TEST(serving_node_killed_during_an_outage),
	    HARNESS_TEST(two_nodes_paused_during_an_outage),
	    HARNESS_TEST(peers_cut_in_one_direction),
	    HARNESS_TEST(all_nodes_replaced_one_by_one),
	};

	return RUN_TESTS(argc, argv, tests);
}

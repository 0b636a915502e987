/* Guards upstream servers against overruns while their serving node changes or
 * is cut off, under constant queries. */
#include "lib/proxy.h"
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define NODES 3
#define ALL 7u
#define DEADLINE_MS 500
#define SERVICE "slotplan-1"
#define ENOUGH_MS 20000

typedef struct {
	harness_t *harness;
	traffic_t *load;
	int serving;
	int other;
} scene_t;

static scene_t
begin(harness_t *harness)
{
	scene_t scene = {.harness = harness};

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	scene.load = traffic_start(harness, false, ALL, 8, 2);
	traffic_wait(scene.load, 100);
	scene.serving = traffic_wait_serving(harness, SERVICE, ALL);
	scene.other = (scene.serving + 1) % NODES;
	return scene;
}

/* Answers are complete again, and then the caps have held all the time. */
static void
end(scene_t *scene, unsigned nodes)
{
	traffic_counts_t counts;

	for (int i = 0; i < scene->harness->node_count; i++)
		if ((nodes & 1u << i) != 0)
			traffic_wait_complete(scene->harness, i);
	traffic_wait(scene->load, 100);
	counts = traffic_stop(scene->harness, scene->load);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(scene->harness);
}

/* The full cap of a server is used again: both slots at once, one of which is
 * lent. Servers are slow so that requests meet. */
static void
wait_full_cap(harness_t *harness, traffic_t *load)
{
	usec_t until = clock_monotonic() + MS(ENOUGH_MS);

	while (harness_record_int(harness, SERVICE "-s1", "max_running") < 2 ||
	    harness_record_int(harness, SERVICE "-s2", "max_running") < 2) {
		if (clock_monotonic() > until)
			fail_msg("the full cap is not used: %d complete",
			    traffic_counts(load).complete);
		g_usleep(10000);
	}
}

/* The serving node dies: the standby serves, no share is used twice, and a
 * restarted node, which owns nothing, gets a share again. */
static void
serving_node_killed(void **state)
{
	scene_t scene = begin(*state);
	unsigned rest = ALL & ~(1u << scene.serving);

	harness_kill_node(scene.harness, scene.serving);
	traffic_set_nodes(scene.load, rest);
	traffic_wait_complete(scene.harness, scene.other);
	traffic_wait(scene.load, 100);
	harness_start_node(scene.harness, scene.serving);
	harness_wait_node(scene.harness, scene.serving);
	traffic_set_nodes(scene.load, ALL);
	wait_full_cap(scene.harness, scene.load);
	end(&scene, ALL);
}

/* A paused node wakes while its standby serves: its loan is over, and what it
 * had queued must not come on top. */
static void
serving_node_paused_and_woken(void **state)
{
	scene_t scene = begin(*state);
	process_t process = scene.harness->nodes[scene.serving].process;
	unsigned rest = ALL & ~(1u << scene.serving);

	for (int i = 0; i < 3; i++) {
		harness_signal(scene.harness, process, SIGSTOP);
		traffic_set_nodes(scene.load, rest);
		traffic_wait_complete(scene.harness, scene.other);
		traffic_wait(scene.load, 100);
		harness_signal(scene.harness, process, SIGCONT);
		traffic_set_nodes(scene.load, ALL);
		traffic_wait(scene.load, 100);
	}
	end(&scene, ALL);
}

/* Short pauses end around the expiry of a loan. */
static void
serving_node_paused_for_moments(void **state)
{
	static const int pauses_ms[] = {50, 150, 250, 300, 350, 450, 600, 900};
	scene_t scene = begin(*state);
	process_t process = scene.harness->nodes[scene.serving].process;

	for (size_t i = 0; i < G_N_ELEMENTS(pauses_ms); i++) {
		harness_signal(scene.harness, process, SIGSTOP);
		/* The length of the pause is the fault itself. */
		g_usleep((gulong)pauses_ms[i] * 1000);
		harness_signal(scene.harness, process, SIGCONT);
		traffic_wait(scene.load, 50);
	}
	end(&scene, ALL);
}

/* Without the store no share moves: the standby serves with its own half. */
static void
serving_node_killed_during_an_outage(void **state)
{
	scene_t scene = begin(*state);
	unsigned rest = ALL & ~(1u << scene.serving);

	harness_order(
	    scene.harness->platform, "/fake/faults", "{\"down\":true}");
	harness_kill_node(scene.harness, scene.serving);
	traffic_set_nodes(scene.load, rest);
	traffic_wait_complete(scene.harness, scene.other);
	traffic_wait(scene.load, 100);
	harness_order(
	    scene.harness->platform, "/fake/faults", "{\"down\":false}");
	harness_list_vms(scene.harness, 1u << scene.serving, 0);
	traffic_wait_serving(scene.harness, SERVICE, rest);
	end(&scene, rest);
}

/* Both holders of a service are paused and woken in turn while nothing can be
 * assigned. */
static void
two_nodes_paused_during_an_outage(void **state)
{
	scene_t scene = begin(*state);

	harness_order(
	    scene.harness->platform, "/fake/faults", "{\"down\":true}");
	for (int i = 0; i < 2 * NODES; i++) {
		int node = i % NODES;
		process_t process = scene.harness->nodes[node].process;

		harness_signal(scene.harness, process, SIGSTOP);
		traffic_set_nodes(scene.load, ALL & ~(1u << node));
		traffic_wait_complete(scene.harness, (node + 1) % NODES);
		traffic_wait(scene.load, 30);
		harness_signal(scene.harness, process, SIGCONT);
		traffic_wait(scene.load, 30);
	}
	traffic_set_nodes(scene.load, ALL);
	harness_order(
	    scene.harness->platform, "/fake/faults", "{\"down\":false}");
	end(&scene, ALL);
}

/* Peers cut in one direction: requests or replies of loans are missing, so
 * each side may use its own share only. */
static void
peers_cut_in_one_direction(void **state)
{
	static const proxy_mode_t modes[] = {PROXY_HOLD, PROXY_DROP};
	harness_t *harness = *state;
	scene_t scene = {.harness = harness};
	proxy_t *links[2];
	int64_t partial;

	traffic_start_world(harness, DEADLINE_MS);
	harness_name_nodes(harness, 2);
	for (int i = 0; i < 2; i++)
		links[i] = proxy_create(harness->nodes[1 - i].peer,
		    harness->nodes[i].peer_via[1 - i]);
	for (int i = 0; i < 2; i++) {
		const harness_node_t *node = &harness->nodes[i];

		/* What this node says of itself reaches the other one. */
		proxy_replace(
		    links[i], node->peer, harness->nodes[1 - i].peer_via[i]);
	}
	/* The store's node objects would name the true addresses. */
	for (int i = 0; i < 2; i++)
		harness_start_node(harness, i);
	for (int i = 0; i < 2; i++)
		traffic_wait_complete(harness, i);
	scene.load = traffic_start(harness, false, 3, 8, 2);
	traffic_wait(scene.load, 100);
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(modes); i++) {
		harness_order(
		    harness->platform, "/fake/faults", "{\"down\":true}");
		proxy_set(links[i % 2], modes[i / 2]);
		traffic_wait(scene.load, 50);
		proxy_set(links[i % 2], PROXY_PASS);
		harness_order(
		    harness->platform, "/fake/faults", "{\"down\":false}");
		traffic_wait_complete(harness, 0);
		traffic_wait_complete(harness, 1);
	}
	partial = traffic_counts(scene.load).partial;
	print_message("%lld partial\n", (long long)partial);
	end(&scene, 3);
	for (int i = 0; i < 2; i++)
		proxy_destroy(links[i]);
}

/* Every VM is replaced, new names and addresses, while the VM list lags. */
static void
all_nodes_replaced_one_by_one(void **state)
{
	scene_t scene = begin(*state);
	harness_t *harness = scene.harness;
	unsigned gone = 0;

	for (int old = 0; old < NODES; old++) {
		int fresh = NODES + old;

		harness_name_nodes(harness, fresh + 1);
		harness_list_vms(harness, gone, 0);
		harness_start_node(harness, fresh);
		harness_wait_node(harness, fresh);
		traffic_wait_members(harness, NODES + 1);
		traffic_set_nodes(scene.load, ALL & ~(gone | 1u << old));
		gone |= 1u << old;
		harness_kill_node(harness, old);
		harness_list_vms(harness, gone, 500);
		traffic_wait_complete(harness, fresh);
	}
	for (int i = 1; i <= 4; i++) {
		char service[32];

		snprintf(service, sizeof(service), "slotplan-%d", i);
		traffic_wait_serving(harness, service, ALL << NODES);
	}
	traffic_stop(harness, scene.load);
	scene.load = traffic_start(harness, false, ALL << NODES, 8, 2);
	end(&scene, ALL << NODES);
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

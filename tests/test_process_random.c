/* Random faults in a small tier under constant queries and reservations. Guards
 * against wrong responses, repeated executions, exceeded caps and a tier that
 * does not recover. BW_SEED selects the schedule and BW_SECONDS its length. */
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define ALL_NODES 7u
#define DEADLINE_MS 500
#define DEFAULT_SEED 7
#define DEFAULT_SECONDS 12

typedef struct {
	harness_t *harness;
	GRand *random;
	unsigned paused; /* bit masks of nodes */
	unsigned killed;
	uint64_t contract_version; /* last version written */
	int64_t seen_versions[NODES];
	bool platform_down;
} fault_run_t;

static const char *const servers[] = {"slotplan-1-s1", "slotplan-1-s2",
    "slotplan-2-s1", "slotplan-3-s2", "slotplan-4-s1", TRAFFIC_SERVICE "-s1",
    TRAFFIC_SERVICE "-s2"};

static int
env_number(const char *name, int fallback)
{
	const char *text = getenv(name);

	return text != NULL ? atoi(text) : fallback;
}

static int
random_index(fault_run_t *run, int count)
{
	return g_rand_int_range(run->random, 0, count);
}

static bool
is_running(const fault_run_t *run, int node)
{
	return ((run->paused | run->killed) & 1u << node) == 0;
}

/* Whether a node may be paused or killed. At least two nodes always run, so
 * that the tier knows which configuration is in force. */
static bool
may_disable(const fault_run_t *run, int node)
{
	int running = 0;

	for (int i = 0; i < NODES; i++)
		running += is_running(run, i);
	return running == NODES && is_running(run, node);
}

static void
kill_or_restart(fault_run_t *run, int node)
{
	if ((run->killed & 1u << node) != 0 && !run->platform_down) {
		harness_start_node(run->harness, node);
		harness_wait_node_ready(run->harness, node);
		run->killed &= ~(1u << node);
		run->seen_versions[node] = 0;
	} else if (may_disable(run, node)) {
		harness_kill_node(run->harness, node);
		run->killed |= 1u << node;
	}
}

static void
pause_or_resume(fault_run_t *run, int node)
{
	process_t process = run->harness->nodes[node].process;

	if ((run->paused & 1u << node) != 0) {
		harness_signal(run->harness, process, SIGCONT);
		run->paused &= ~(1u << node);
	} else if (may_disable(run, node)) {
		harness_signal(run->harness, process, SIGSTOP);
		run->paused |= 1u << node;
	}
}

static void
inject_platform_fault(fault_run_t *run)
{
	static const char *const faults[] = {"{\"down\":true}",
	    "{\"slow_ms\":100}", "{\"slow_ms\":0}", "{\"lose_answers\":2}",
	    "{\"refuse_writes\":2}"};
	int choice = random_index(run, G_N_ELEMENTS(faults));

	if (run->platform_down) {
		harness_post(run->harness->platform_address, "/fake/faults",
		    "{\"down\":false}");
		run->platform_down = false;
		return;
	}
	run->platform_down = choice == 0;
	harness_post(
	    run->harness->platform_address, "/fake/faults", faults[choice]);
}

static void
inject_server_fault(fault_run_t *run)
{
	static const char *const faults[] = {"{\"freeze\":true}",
	    "{\"freeze\":false}", "{\"latency_factor\":20}",
	    "{\"latency_factor\":1}", "{\"shed\":true}", "{\"shed\":false}",
	    "{\"restart\":\"i-1\"}", "{\"silence_connections\":true}",
	    "{\"fail\":true}", "{\"fail\":false}", "{\"lie\":\"shard\"}",
	    "{\"lie\":\"request\"}", "{\"lie\":\"none\"}",
	    "{\"crash_on\":\"board 7\"}"};

	harness_set_faults(run->harness,
	    servers[random_index(run, G_N_ELEMENTS(servers))],
	    faults[random_index(run, G_N_ELEMENTS(faults))]);
}

static void
put_contract(fault_run_t *run)
{
	const contract_spec_t spec = {TRAFFIC_CUSTOMER, TRAFFIC_SECRET,
	    TRAFFIC_INDEX, TRAFFIC_SERVICE, 10000 + random_index(run, 10000),
	    400, DEADLINE_MS, 24, false};

	if (run->platform_down)
		return;
	/* The harness does not retry a write that is refused or whose reply is
	 * lost. */
	harness_post(run->harness->platform_address, "/fake/faults",
	    "{\"lose_answers\":0,\"refuse_writes\":0}");
	run->contract_version = harness_put_contract(run->harness, &spec);
}

static int64_t
adopted_version(const fault_run_t *run, int node)
{
	http_reply_t reply =
	    harness_http("GET", run->harness->nodes[node].operator_address,
		"/v1/status", NULL, NULL, TRAFFIC_TIMEOUT_MS);
	const json_t *entry =
	    json_array_get(json_object_get(reply.json, "contracts"), 0);
	int64_t version = json_integer_value(json_object_get(entry, "version"));

	http_reply_clear(&reply);
	return version;
}

/* The adopted version must not decrease while a process runs. */
static void
check_versions(fault_run_t *run)
{
	for (int i = 0; i < NODES; i++) {
		int64_t version;

		if (!is_running(run, i))
			continue;
		version = adopted_version(run, i);
		assert_true(version >= run->seen_versions[i]);
		run->seen_versions[i] = version;
	}
}

static void
inject_random_fault(fault_run_t *run)
{
	int node = random_index(run, NODES);

	switch (random_index(run, 6)) {
	case 0:
		kill_or_restart(run, node);
		break;
	case 1:
	case 2:
		pause_or_resume(run, node);
		break;
	case 3:
		inject_platform_fault(run);
		break;
	case 4:
		inject_server_fault(run);
		break;
	case 5:
		put_contract(run);
		break;
	}
}

/* Ends all faults and waits until each node returns complete responses and has
 * adopted the last contract. */
static void
clear_faults(fault_run_t *run)
{
	harness_t *harness = run->harness;

	harness_post(harness->platform_address, "/fake/faults",
	    "{\"down\":false,\"slow_ms\":0,\"lose_answers\":0,"
	    "\"refuse_writes\":0}");
	run->platform_down = false;
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
		harness_set_faults(harness, servers[i],
		    "{\"restart\":\"i-1\",\"crash_on\":\"\",\"freeze\":false,"
		    "\"latency_factor\":1,\"shed\":false,"
		    "\"fail\":false,\"lie\":\"none\"}");
	for (int i = 0; i < NODES; i++) {
		if ((run->paused & 1u << i) != 0)
			pause_or_resume(run, i);
		if ((run->killed & 1u << i) != 0)
			kill_or_restart(run, i);
	}
	for (int i = 0; i < NODES; i++) {
		usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);

		traffic_wait_complete(harness, i);
		while (
		    adopted_version(run, i) < (int64_t)run->contract_version) {
			assert_true(clock_monotonic() < until);
			g_usleep(10000);
		}
	}
}

static void
faults_in_random_order_heal(void **state)
{
	int seed = env_number("BW_SEED", DEFAULT_SEED);
	int seconds = env_number("BW_SECONDS", DEFAULT_SECONDS);
	fault_run_t run = {
	    .harness = *state, .random = g_rand_new_with_seed((guint32)seed)};
	traffic_t *queries, *reservations;
	traffic_counts_t counts;
	usec_t until;

	print_message("seed %d, %d s\n", seed, seconds);
	traffic_start_tier(run.harness, NODES, DEADLINE_MS);
	queries = traffic_start(run.harness, false, ALL_NODES, 4, 5);
	reservations = traffic_start(run.harness, true, ALL_NODES, 2, 10);
	until = clock_monotonic() + SECONDS(seconds);
	while (clock_monotonic() < until) {
		inject_random_fault(&run);
		/* The random intervals are part of the schedule. */
		g_usleep((gulong)g_rand_int_range(run.random, 10, 600) * 1000);
		check_versions(&run);
	}
	clear_faults(&run);
	traffic_wait(queries, 50);
	traffic_wait(reservations, 10);
	counts = traffic_stop(run.harness, queries);
	assert_int_equal(counts.wrong, 0);
	counts = traffic_stop(run.harness, reservations);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(run.harness);
	g_rand_free(run.random);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(faults_in_random_order_heal),
	};

	/* A violated invariant aborts the node, so that the test fails. */
	g_setenv("BULRUSHWELL_FATAL_INVARIANTS", "1", TRUE);
	return RUN_TESTS(argc, argv, tests);
}

/* Guards all outcomes at once: faults in a random order over a small tier under
 * constant queries and reservations. BW_SEED chooses the schedule and
 * BW_SECONDS its length. */
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define ALL 7u
#define DEADLINE_MS 500
#define DEFAULT_SEED 7
#define DEFAULT_SECONDS 12

typedef struct {
	harness_t *harness;
	GRand *random;
	unsigned paused; /* masks */
	unsigned ended;
	uint64_t contract; /* version last written */
	int64_t seen[NODES];
	bool down;
} world_t;

static const char *const servers[] = {"slotplan-1-s1", "slotplan-1-s2",
    "slotplan-2-s1", "slotplan-3-s2", "slotplan-4-s1", LOAD_SERVICE "-s1",
    LOAD_SERVICE "-s2"};

static int
env_number(const char *name, int otherwise)
{
	const char *text = getenv(name);

	return text != NULL ? atoi(text) : otherwise;
}

static int
pick(world_t *world, int count)
{
	return g_rand_int_range(world->random, 0, count);
}

static bool
is_running(const world_t *world, int node)
{
	return ((world->paused | world->ended) & 1u << node) == 0;
}

/* Two nodes run at all times, so that what is in force is known. */
static bool
may_lose(const world_t *world, int node)
{
	int running = 0;

	for (int i = 0; i < NODES; i++)
		running += is_running(world, i);
	return running == NODES && is_running(world, node);
}

static void
end_or_start(world_t *world, int node)
{
	if ((world->ended & 1u << node) != 0 && !world->down) {
		harness_start_node(world->harness, node);
		harness_wait_node(world->harness, node);
		world->ended &= ~(1u << node);
		world->seen[node] = 0;
	} else if (may_lose(world, node)) {
		harness_kill_node(world->harness, node);
		world->ended |= 1u << node;
	}
}

static void
pause_or_wake(world_t *world, int node)
{
	process_t process = world->harness->nodes[node].process;

	if ((world->paused & 1u << node) != 0) {
		harness_signal(world->harness, process, SIGCONT);
		world->paused &= ~(1u << node);
	} else if (may_lose(world, node)) {
		harness_signal(world->harness, process, SIGSTOP);
		world->paused |= 1u << node;
	}
}

static void
order_platform(world_t *world)
{
	static const char *const orders[] = {"{\"down\":true}",
	    "{\"slow_ms\":100}", "{\"slow_ms\":0}", "{\"lose_answers\":2}",
	    "{\"refuse_writes\":2}"};
	int choice = pick(world, G_N_ELEMENTS(orders));

	if (world->down) {
		harness_order(world->harness->platform, "/fake/faults",
		    "{\"down\":false}");
		world->down = false;
		return;
	}
	world->down = choice == 0;
	harness_order(world->harness->platform, "/fake/faults", orders[choice]);
}

static void
order_server(world_t *world)
{
	static const char *const orders[] = {"{\"freeze\":true}",
	    "{\"freeze\":false}", "{\"latency_factor\":20}",
	    "{\"latency_factor\":1}", "{\"shed\":true}", "{\"shed\":false}",
	    "{\"restart\":\"i-1\"}", "{\"silence_connections\":true}",
	    "{\"fail\":true}", "{\"fail\":false}", "{\"lie\":\"shard\"}",
	    "{\"lie\":\"request\"}", "{\"lie\":\"none\"}",
	    "{\"crash_on\":\"board 7\"}"};

	harness_fault(world->harness,
	    servers[pick(world, G_N_ELEMENTS(servers))],
	    orders[pick(world, G_N_ELEMENTS(orders))]);
}

static void
put_contract(world_t *world)
{
	const contract_spec_t spec = {LOAD_CUSTOMER, LOAD_SECRET, LOAD_INDEX,
	    LOAD_SERVICE, 10000 + pick(world, 10000), 400, DEADLINE_MS, 24,
	    false};

	if (world->down)
		return;
	/* The harness does not read back: its own write must not fail. */
	harness_order(world->harness->platform, "/fake/faults",
	    "{\"lose_answers\":0,\"refuse_writes\":0}");
	world->contract = harness_put_contract(world->harness, &spec);
}

static int64_t
adopted_version(const world_t *world, int node)
{
	http_reply_t result =
	    harness_http("GET", world->harness->nodes[node].operator_address,
		"/v1/status", NULL, NULL, LOAD_CALL_MS);
	const json_t *entry =
	    json_array_get(json_object_get(result.json, "contracts"), 0);
	int64_t version = json_integer_value(json_object_get(entry, "version"));

	http_reply_clear(&result);
	return version;
}

/* Versions only grow while a process lives. */
static void
check_versions(world_t *world)
{
	for (int i = 0; i < NODES; i++) {
		int64_t version;

		if (!is_running(world, i))
			continue;
		version = adopted_version(world, i);
		assert_true(version >= world->seen[i]);
		world->seen[i] = version;
	}
}

static void
cause_fault(world_t *world)
{
	int node = pick(world, NODES);

	switch (pick(world, 6)) {
	case 0:
		end_or_start(world, node);
		break;
	case 1:
	case 2:
		pause_or_wake(world, node);
		break;
	case 3:
		order_platform(world);
		break;
	case 4:
		order_server(world);
		break;
	case 5:
		put_contract(world);
		break;
	}
}

/* Ends all faults and waits for complete answers everywhere. */
static void
heal(world_t *world)
{
	harness_t *harness = world->harness;

	harness_order(harness->platform, "/fake/faults",
	    "{\"down\":false,\"slow_ms\":0,\"lose_answers\":0,"
	    "\"refuse_writes\":0}");
	world->down = false;
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
		harness_fault(harness, servers[i],
		    "{\"restart\":\"i-1\",\"crash_on\":\"\",\"freeze\":false,"
		    "\"latency_factor\":1,\"shed\":false,"
		    "\"fail\":false,\"lie\":\"none\"}");
	for (int i = 0; i < NODES; i++) {
		if ((world->paused & 1u << i) != 0)
			pause_or_wake(world, i);
		if ((world->ended & 1u << i) != 0)
			end_or_start(world, i);
	}
	for (int i = 0; i < NODES; i++) {
		usec_t until = clock_monotonic() + MS(LOAD_CALL_MS);

		traffic_wait_complete(harness, i);
		while (adopted_version(world, i) < (int64_t)world->contract) {
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
	world_t world = {
	    .harness = *state, .random = g_rand_new_with_seed((guint32)seed)};
	traffic_t *queries, *reservations;
	traffic_counts_t counts;
	usec_t until;

	print_message("seed %d, %d s\n", seed, seconds);
	traffic_start_tier(world.harness, NODES, DEADLINE_MS);
	queries = traffic_start(world.harness, false, ALL, 4, 5);
	reservations = traffic_start(world.harness, true, ALL, 2, 10);
	until = clock_monotonic() + SECONDS(seconds);
	while (clock_monotonic() < until) {
		cause_fault(&world);
		/* The pace of the faults is part of the schedule. */
		g_usleep(
		    (gulong)g_rand_int_range(world.random, 10, 600) * 1000);
		check_versions(&world);
	}
	heal(&world);
	traffic_wait(queries, 50);
	traffic_wait(reservations, 10);
	counts = traffic_stop(world.harness, queries);
	assert_int_equal(counts.wrong, 0);
	counts = traffic_stop(world.harness, reservations);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(world.harness);
	g_rand_free(world.random);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(faults_in_random_order_heal),
	};

	/* A broken invariant ends a node, which then does not heal. */
	g_setenv("BULRUSHWELL_FATAL_INVARIANTS", "1", TRUE);
	return RUN_TESTS(argc, argv, tests);
}

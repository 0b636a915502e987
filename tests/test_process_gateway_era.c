/*
 * Tests what gateway processes do when the store comes back from an older copy:
 * what was written since is gone, revisions are given out again, the era rises.
 * The tests guard against nodes that keep what they knew before, because its
 * revision is higher, and against a flood of calls.
 */
#include "lib/gateway_fleet.h"
#include "lib/random.h"

#include <stdio.h>
#include <string.h>

#define AWAY_MS 300
/* A version is owed 3 s after the store has acknowledged it. */
#define APPLY_TIMEOUT_MS 3000
#define POLL_STEP_MS 20
#define LOST_CHANGES 30 /* which the store loses with its copy */
#define CUT_MS 4500
#define SETTLED_MS 2500
#define EVACUATE_FLAG "--evacuate-ms=5000"
/*
 * Of a fleet, from the drill until it has settled: relays probe each 0.5 s,
 * each node lists three kinds in up to three pages and renews its polls, and
 * the calls that the store refuses are repeated.
 */
#define DRILL_CALLS_MAX (30 * FLEET_GATEWAYS)

static gateway_world_t *
create_world(harness_t *harness)
{
	gateway_world_t *world = world_create_with_flag(harness, EVACUATE_FLAG);

	object_store_state_era(world->store, "");
	return world;
}

/* What a gateway has to know. */
typedef struct {
	int version;
	int leaving; /* servers */
	int evacuated;
	int64_t era;
} knowledge_t;

static bool
knows(const gateway_fleet_t *fleet, int gateway, const knowledge_t *expected)
{
	gateway_world_t view = fleet_gateway_world(fleet, gateway);

	return world_metric(&view, "config_version") == expected->version &&
	    world_metric(&view, "evacuated_data_centres") ==
	    expected->evacuated &&
	    world_metric(&view, "store_era") == expected->era &&
	    world_count_servers(&view, "leaving") == expected->leaving;
}

static void
wait_for_all(const gateway_fleet_t *fleet, const knowledge_t *expected)
{
	gint64 deadline = g_get_monotonic_time() + APPLY_TIMEOUT_MS * 1000;

	for (int i = 0; i < fleet->count; i++)
		while (!knows(fleet, i, expected)) {
			if (g_get_monotonic_time() > deadline)
				fail_msg("g%d has not heard of what was "
					 "written after the store came back",
				    i);
			g_usleep(POLL_STEP_MS * 1000);
		}
}

/* Raises the revision by changes that the store loses again. */
static void
write_lost_changes(gateway_world_t *world)
{
	for (int i = 0; i < LOST_CHANGES; i++)
		world_register(world, i % WORLD_SERVERS, "ready");
}

/* Starts a fleet whose store will lose what was written just now. */
static void
start_fleet(gateway_fleet_t *fleet, gateway_world_t *world)
{
	fleet_create(fleet, world);
	fleet_wait_for_roles(fleet);
	object_store_copy(world->store);
	write_lost_changes(world);
}

/* Writes a version, the leave of a server and an evacuation. */
static knowledge_t
write_news(gateway_world_t *world, int drills)
{
	world_configure(world);
	world_register(world, 0, "draining");
	object_store_put(world->store, "evacuations", "dc2", json_object());
	return (knowledge_t){.version = world->version,
	    .leaving = 1,
	    .evacuated = 1,
	    .era = drills + 1};
}

/*
 * Callers got answers of an old version for as long as the new revisions were
 * below those from before: followers took all changes for known.
 */
static void
all_nodes_hear_of_what_is_written_after_the_store_came_back(void **state)
{
	gateway_world_t *world = create_world(*state);
	gateway_fleet_t fleet = {0};
	knowledge_t expected;
	uint64_t calls;

	start_fleet(&fleet, world);
	g_usleep(SETTLED_MS * 1000);
	calls = object_store_call_count(world->store);
	object_store_restore(world->store, AWAY_MS);
	expected = write_news(world, 1);
	wait_for_all(&fleet, &expected);
	g_usleep(SETTLED_MS * 1000);
	calls = object_store_call_count(world->store) - calls;
	if (calls > DRILL_CALLS_MAX)
		fail_msg("%llu calls to the store", (unsigned long long)calls);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/* Guards against a relay that was cut off from the store and sends what an era
 * had that has ended, and against a follower that was cut off with it. */
static void
nodes_that_missed_the_return_agree_again(void **state)
{
	gateway_world_t *world = create_world(*state);
	gateway_fleet_t fleet = {0};
	knowledge_t expected;

	start_fleet(&fleet, world);
	g_usleep(SETTLED_MS * 1000);
	proxy_set_mode(fleet.gateways[0].store_proxy, PROXY_HOLD);
	proxy_set_mode(fleet.gateways[3].store_proxy, PROXY_HOLD);
	object_store_restore(world->store, AWAY_MS);
	expected = write_news(world, 1);
	g_usleep(CUT_MS * 1000);
	proxy_set_mode(fleet.gateways[0].store_proxy, PROXY_PASS);
	proxy_set_mode(fleet.gateways[3].store_proxy, PROXY_PASS);
	g_usleep(CUT_MS * 1000);
	wait_for_all(&fleet, &expected);
	world_configure(world);
	expected.version = world->version;
	wait_for_all(&fleet, &expected);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/* A data centre in which each node reads the store itself. */
#define FEW_GATEWAYS 3
#define REWRITES (LOST_CHANGES + 10)

static void
start_few(gateway_fleet_t *fleet, gateway_world_t *world)
{
	fleet_prepare(fleet, world, FEW_GATEWAYS);
	fleet_start_all(fleet);
	for (int i = 0; i < fleet->count; i++)
		assert_true(fleet_has_role(fleet, i, "alone"));
}

/*
 * Callers got answers of an old version until the next one: while the store was
 * away, the operator wrote a version and the servers their entries, so that its
 * revision was past what each node knew when it came back. Its answers to polls
 * from there held none of that, and no 410.
 */
static void
a_version_is_not_hidden_by_revisions_given_out_again(void **state)
{
	gateway_world_t *world = create_world(*state);
	gateway_fleet_t fleet = {0};
	knowledge_t expected;

	start_few(&fleet, world);
	object_store_copy(world->store);
	write_lost_changes(world);
	g_usleep(SETTLED_MS * 1000);
	object_store_begin_restore(world->store);
	expected = write_news(world, 1);
	for (int i = 0; i < REWRITES; i++)
		world_register(world, 1 + i % (WORLD_SERVERS - 1), "ready");
	g_usleep(AWAY_MS * 1000);
	object_store_set_fault(world->store, STORE_SERVING);
	wait_for_all(&fleet, &expected);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/*
 * A series of versions through returns of the store, cuts of nodes and changes
 * of servers, at random moments. BW_SEED is the first seed, BW_STEPS the number
 * of rounds.
 */
#define DEFAULT_SEED 300
#define DEFAULT_ROUNDS 2
#define CONFIG_APPLY_FLAG "--config-apply-ms=3000"
#define APPLY_SLACK_MS 150 /* of reading the metrics of all nodes */
#define CONTACT_MS 4000
#define VERSIONS_MAX 512

typedef struct {
	gateway_world_t *world;
	gateway_fleet_t fleet;
	GRand *random;
	gint64 acked_at[VERSIONS_MAX]; /* of the versions, in their order */
	int versions[VERSIONS_MAX];
	int count;
	int copied_count;     /* of the versions that the copy has */
	gint64 store_calm_at; /* when it was disturbed last */
	gint64 node_calm_at[FEW_GATEWAYS];
	int cut;      /* node that does not reach the store; -1: none */
	bool is_over; /* no further versions are written */
} series_t;

static void
write_version(series_t *series)
{
	g_assert(series->count < VERSIONS_MAX);
	world_configure(series->world);
	series->versions[series->count] = series->world->version;
	series->acked_at[series->count++] = g_get_monotonic_time();
}

/* The least version that a node in touch must have; 0: none. */
static int
owed_version(const series_t *series, gint64 now)
{
	gint64 before = now - (APPLY_TIMEOUT_MS + APPLY_SLACK_MS) * 1000;

	for (int i = series->count - 1; i >= 0; i--)
		if (series->acked_at[i] <= before)
			return series->versions[i];
	return 0;
}

static void
check_versions(const series_t *series)
{
	for (int i = 0; i < FEW_GATEWAYS; i++) {
		gint64 now = g_get_monotonic_time();
		gint64 calm_at =
		    MAX(series->store_calm_at, series->node_calm_at[i]);
		int owed = owed_version(series, now);
		int64_t version;

		if (i == series->cut || now - calm_at < CONTACT_MS * 1000)
			continue;
		version = fleet_metric(&series->fleet, i, "config_version");
		if (version < owed)
			fail_msg("g%d has version %lld, owed %d", i,
			    (long long)version, owed);
	}
}

/* Lets time pass, with versions and changes of servers, and checks meanwhile.
 */
static void
play_series(series_t *series, int ms)
{
	gint64 end = g_get_monotonic_time() + ms * 1000;

	while (g_get_monotonic_time() < end) {
		int pause = g_rand_int_range(series->random, 50, 600);

		if (!series->is_over &&
		    g_rand_int_range(series->random, 0, 2) == 0)
			write_version(series);
		for (int i = g_rand_int_range(series->random, 0, 4); i > 0; i--)
			world_register(series->world,
			    g_rand_int_range(series->random, 0, WORLD_SERVERS),
			    "ready");
		check_versions(series);
		g_usleep((gulong)pause * 1000);
	}
}

static void
cut_node(series_t *series, int node, bool cut)
{
	proxy_set_mode(series->fleet.gateways[node].store_proxy,
	    cut ? PROXY_HOLD : PROXY_PASS);
	series->cut = cut ? node : -1;
	series->node_calm_at[node] = g_get_monotonic_time();
}

/* What was lost is written again in another order, with a later version. A
 * version that was lost is owed no more. */
static void
play_return(series_t *series)
{
	int writes = g_rand_int_range(series->random, 1, 40);
	int config_at = g_rand_int_range(series->random, 0, writes);

	object_store_begin_restore(series->world->store);
	series->count = series->copied_count;
	for (int i = 0; i < writes; i++) {
		if (i == config_at)
			write_version(series);
		world_register(series->world, i % WORLD_SERVERS, "ready");
	}
	g_usleep((gulong)g_rand_int_range(series->random, 50, 500) * 1000);
	object_store_set_fault(series->world->store, STORE_SERVING);
	series->store_calm_at = g_get_monotonic_time();
}

static void
play_round(series_t *series)
{
	int node = g_rand_int_range(series->random, 0, FEW_GATEWAYS);
	bool cuts = g_rand_int_range(series->random, 0, 2) == 0;

	object_store_copy(series->world->store);
	series->copied_count = series->count;
	if (cuts)
		cut_node(series, node, true);
	play_series(series, g_rand_int_range(series->random, 200, 4000));
	play_return(series);
	/* A later version would hide that one was missed. */
	series->is_over = g_rand_int_range(series->random, 0, 2) == 0;
	play_series(series, g_rand_int_range(series->random, 100, 2500));
	if (cuts)
		cut_node(series, node, false);
	play_series(series, CONTACT_MS + APPLY_TIMEOUT_MS + 500);
}

/* Guards against a version in a quick series that a node in touch misses. */
static void
a_series_of_versions_is_followed_through_returns(void **state)
{
	uint32_t seed = (uint32_t)environment_number("BW_SEED", DEFAULT_SEED);
	uint64_t rounds = environment_number("BW_STEPS", DEFAULT_ROUNDS);

	for (uint64_t i = 0; i < rounds; i++, seed++) {
		series_t series = {.random = g_rand_new_with_seed(seed),
		    .cut = -1,
		    .world = world_create_with_flag(*state, CONFIG_APPLY_FLAG)};

		print_message("seed %u\n", seed);
		object_store_state_era(series.world->store, "");
		series.store_calm_at = g_get_monotonic_time();
		start_few(&series.fleet, series.world);
		play_round(&series);
		fleet_destroy(&series.fleet);
		world_destroy(series.world);
		g_rand_free(series.random);
	}
}

/* Guards against one return of the store that hides the next one. */
static void
a_second_return_is_noticed(void **state)
{
	gateway_world_t *world = create_world(*state);
	gateway_fleet_t fleet = {0};
	knowledge_t expected;

	start_fleet(&fleet, world);
	object_store_restore(world->store, AWAY_MS);
	write_lost_changes(world);
	write_lost_changes(world);
	g_usleep(AWAY_MS * 1000);
	object_store_restore(world->store, AWAY_MS);
	expected = write_news(world, 2);
	wait_for_all(&fleet, &expected);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/* All write their entries again within a second, spread, after they have heard
 * of the era: relays by their probes, others from them. */
#define ENTRIES_TIMEOUT_MS 4000
#define LISTS_MS 24000 /* by then each node has read all entries again */
#define NODES (FLEET_GATEWAYS + 1) /* the world's own gateway is one, too */
/* Of a node: its renewal is refused, as the entry is gone, and it is created.
 */
#define ENTRY_WRITES_MAX (2 * NODES)

static void
wait_for_entries(const gateway_fleet_t *fleet)
{
	gint64 deadline = g_get_monotonic_time() + ENTRIES_TIMEOUT_MS * 1000;

	for (int i = 0; i < fleet->count; i++)
		while (!object_store_has(
		    fleet->world->store, "nodes", fleet->gateways[i].name)) {
			if (g_get_monotonic_time() > deadline)
				fail_msg(
				    "g%d has not written its entry again", i);
			g_usleep(POLL_STEP_MS * 1000);
		}
}

/*
 * A customer got several times its rate: each node took itself for the only one
 * and granted the whole. Guards against entries that stay lost until their next
 * renewal, and against a list without them that counts.
 */
static void
nodes_write_their_lost_entries_and_count_each_other(void **state)
{
	gateway_world_t *world = create_world(*state);
	gateway_fleet_t fleet = {0};
	uint32_t writes;

	object_store_copy(world->store);
	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	wait_for_entries(&fleet);
	for (int i = 0; i < fleet.count; i++)
		assert_int_equal(fleet_metric(&fleet, i, "nodes"), NODES);
	writes = object_store_write_count(world->store, "nodes");
	object_store_restore(world->store, AWAY_MS);
	for (int i = 0; i < fleet.count; i++)
		assert_false(object_store_has(
		    world->store, "nodes", fleet.gateways[i].name));
	wait_for_entries(&fleet);
	for (int i = 0; i < LISTS_MS / 500; i++) {
		for (int j = 0; j < fleet.count; j++)
			assert_int_equal(
			    fleet_metric(&fleet, j, "nodes"), NODES);
		g_usleep(500 * 1000);
	}
	writes = object_store_write_count(world->store, "nodes") - writes;
	if (writes > ENTRY_WRITES_MAX)
		fail_msg("%u writes of entries", writes);
	fleet_destroy(&fleet);
	world_destroy(world);
}

static bool
has_adopted_config(gateway_world_t *world)
{
	return world_metric(world, "config_version") == world->version;
}

/* Guards against a node that stops following a store whose answers state no
 * era, or none that can be read. */
static void
an_era_that_is_not_stated_hides_nothing(void **state)
{
	static const char *const texts[] = {"", NULL, "x", "-3", ""};
	gateway_world_t *world = create_world(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		object_store_state_era(world->store, texts[i]);
		world_configure(world);
		assert_true(
		    world_wait(has_adopted_config, world, APPLY_TIMEOUT_MS));
		assert_int_equal(world_metric(world, "store_era"), 1);
	}
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(
		all_nodes_hear_of_what_is_written_after_the_store_came_back),
	    HARNESS_TEST(nodes_that_missed_the_return_agree_again),
	    HARNESS_TEST(a_version_is_not_hidden_by_revisions_given_out_again),
	    HARNESS_TEST(a_series_of_versions_is_followed_through_returns),
	    HARNESS_TEST(a_second_return_is_noticed),
	    HARNESS_TEST(nodes_write_their_lost_entries_and_count_each_other),
	    HARNESS_TEST(an_era_that_is_not_stated_hides_nothing),
	};

	return RUN_TESTS(argc, argv, tests);
}

/*
 * Tests what gateway processes do when the store comes back from an older copy:
 * what was written since is gone, revisions are given out again, the era rises.
 * The tests guard against nodes that keep what they knew before, because its
 * revision is higher, and against a flood of calls.
 */
#include "lib/gateway_fleet.h"

#include <stdio.h>
#include <string.h>

#define AWAY_MS 300
/* A version is owed 3 s after the store has acknowledged it. */
#define APPLY_TIMEOUT_MS 3000
#define POLL_STEP_MS 20
#define LOST_CHANGES 30 /* which the store loses with its copy */
#define ROLES_TIMEOUT_MS 12000
#define CUT_MS 4500
#define SETTLED_MS 2500
#define EVACUATE_FLAG "--evacuate-ms=5000"
#define RELAYS 2
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

static int64_t
read_metric(const gateway_fleet_t *fleet, int gateway, const char *name)
{
	gateway_world_t view = fleet_gateway_world(fleet, gateway);

	return world_metric(&view, name);
}

static bool
has_role(const gateway_fleet_t *fleet, int gateway, const char *role)
{
	char name[64];

	snprintf(name, sizeof(name), "peer_role{role=\"%s\"}", role);
	return read_metric(fleet, gateway, name) == 1;
}

/* Waits until the first two gateways are relays, and the others followers. */
static void
wait_for_roles(const gateway_fleet_t *fleet)
{
	gint64 deadline = g_get_monotonic_time() + ROLES_TIMEOUT_MS * 1000;

	for (int i = 0; i < fleet->count; i++)
		while (!has_role(fleet, i, i < RELAYS ? "relay" : "follower")) {
			if (g_get_monotonic_time() > deadline)
				fail_msg("g%d has another role", i);
			g_usleep(POLL_STEP_MS * 1000);
		}
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

	fleet_create(&fleet, world);
	wait_for_roles(&fleet);
	object_store_copy(world->store);
	write_lost_changes(world);
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

	fleet_create(&fleet, world);
	wait_for_roles(&fleet);
	object_store_copy(world->store);
	write_lost_changes(world);
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

/* Guards against one return of the store that hides the next one. */
static void
a_second_return_is_noticed(void **state)
{
	gateway_world_t *world = create_world(*state);
	gateway_fleet_t fleet = {0};
	knowledge_t expected;

	fleet_create(&fleet, world);
	wait_for_roles(&fleet);
	object_store_copy(world->store);
	write_lost_changes(world);
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
	wait_for_roles(&fleet);
	wait_for_entries(&fleet);
	for (int i = 0; i < fleet.count; i++)
		assert_int_equal(read_metric(&fleet, i, "nodes"), NODES);
	writes = object_store_write_count(world->store, "nodes");
	object_store_restore(world->store, AWAY_MS);
	for (int i = 0; i < fleet.count; i++)
		assert_false(object_store_has(
		    world->store, "nodes", fleet.gateways[i].name));
	wait_for_entries(&fleet);
	for (int i = 0; i < LISTS_MS / 500; i++) {
		for (int j = 0; j < fleet.count; j++)
			assert_int_equal(
			    read_metric(&fleet, j, "nodes"), NODES);
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
	    HARNESS_TEST(a_second_return_is_noticed),
	    HARNESS_TEST(nodes_write_their_lost_entries_and_count_each_other),
	    HARNESS_TEST(an_era_that_is_not_stated_hides_nothing),
	};

	return RUN_TESTS(argc, argv, tests);
}

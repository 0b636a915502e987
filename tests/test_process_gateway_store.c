/*
 * Tests what a gateway process reads from the platform's store. The tests guard
 * against a stale or lost configuration, requests to a leaving server or an
 * invalid entry, and a node that stops serving while the store is unavailable.
 */
#include "lib/gateway_world.h"

#include <stdio.h>
#include <string.h>

/* Changes; the fake store sends at most 500 in a response to a watch. */
#define BACKLOG_ENTRIES 2200
#define DEADLINE_MS 1500
#define WAIT_MS 4000

/*
 * Guards against a header limit of 0 before the first configuration: the node
 * then answers 431, which clients do not retry.
 */
static void
says_not_run_before_its_first_configuration(void **state)
{
	gateway_world_t *world = world_create_empty(*state);
	http_reply_t result;

	harness_wait_status(world->health, "/ready", 503, WORLD_START_MS);
	result = world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 503);
	assert_non_null(http_reply_header(&result, "retry-after"));
	http_reply_clear(&result);
	world_destroy(world);
}

static bool
has_adopted_config(gateway_world_t *world)
{
	return world_metric(world, "config_version") == world->version;
}

static void
follows_the_configuration(void **state)
{
	gateway_world_t *world = world_create(*state);
	int newest;

	for (int i = 0; i < 3; i++) {
		world_configure(world);
		assert_true(world_wait(has_adopted_config, world, WAIT_MS));
	}
	newest = world->version;
	world->version = 1; /* an older version is written: 1 + 3 */
	world_configure(world);
	g_usleep(800 * 1000);
	assert_int_equal(world_metric(world, "config_version"), newest);
	world->version = newest;
	object_store_compact(world->store);
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, WAIT_MS));
	world_destroy(world);
}

static bool
has_config_watch(gateway_world_t *world)
{
	return object_store_watch_count(world->store, "config") > 0;
}

/*
 * Guards against a long poll that begins while the store does not respond and
 * stays lost after it is back: the node then keeps an old configuration for
 * 25 s.
 */
static void
notices_a_watch_that_was_lost_in_an_outage(void **state)
{
	gateway_world_t *world = world_create(*state);

	assert_true(world_wait(has_config_watch, world, WAIT_MS));
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, WAIT_MS));
	object_store_set_fault(world->store, STORE_SILENT);
	g_usleep(4000 * 1000);
	object_store_set_fault(world->store, STORE_SERVING);
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, WAIT_MS));
	world_destroy(world);
}

#define APPLY_MS 3000
#define CONFIG_APPLY_FLAG "--config-apply-ms=3000"

static bool
has_lost_config_poll(gateway_world_t *world)
{
	return object_store_lost_polls(world->store, "config") > 0;
}

/*
 * Callers got answers of an old version up to 7 s after a newer one had been
 * acknowledged. Guards against a lost poll for the configuration that only the
 * probe would find, whose reads may be seconds old.
 */
static void
a_lost_poll_delays_no_version_beyond_its_bound(void **state)
{
	gateway_world_t *world =
	    world_create_with_flag(*state, CONFIG_APPLY_FLAG);

	assert_true(world_wait(has_config_watch, world, WAIT_MS));
	object_store_hide_news(world->store, true);
	object_store_set_fault(world->store, STORE_LOSING_POLLS);
	world_configure(world);
	assert_true(world_wait(has_lost_config_poll, world, WAIT_MS));
	object_store_set_fault(world->store, STORE_SERVING);
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, APPLY_MS));
	/* In calm, polls say at least so often that there is nothing newer. */
	for (int i = 0; i < 2 * APPLY_MS / 100; i++) {
		assert_in_range(
		    world_metric(world, "config_unconfirmed_ms"), 0, APPLY_MS);
		g_usleep(100 * 1000);
	}
	world_destroy(world);
}

static bool
has_polled_config(gateway_world_t *world)
{
	return object_store_poll_count(world->store, "config") >
	    world->polls_before;
}

/*
 * Beside its long polls a node sends short watches, the probes. The status 410
 * for a probe means that the store dropped changes which a pending long poll
 * may never report: the long polls must be restarted. Those of the servers are
 * sent again before long anyway, so that of the configuration shows it.
 */
static void
begins_again_when_the_probe_finds_history_gone(void **state)
{
	gateway_world_t *world = world_create(*state);

	assert_true(world_wait(has_config_watch, world, WAIT_MS));
	world->polls_before = object_store_poll_count(world->store, "config");
	object_store_drop_history(world->store);
	assert_true(world_wait(has_polled_config, world, WAIT_MS));
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, WAIT_MS));
	world_destroy(world);
}

static void
serves_while_the_store_is_away(void **state)
{
	static const store_fault_t faults[] = {
	    STORE_BUSY, STORE_CLOSING, STORE_SILENT};
	gateway_world_t *world = world_create(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		http_reply_t result;

		object_store_set_fault(world->store, faults[i]);
		object_store_compact(world->store);
		g_usleep(300 * 1000);
		result =
		    world_request(world, "GET", "/all/x", DEADLINE_MS, NULL);
		assert_int_equal(result.status, 200);
		http_reply_clear(&result);
	}
	object_store_set_fault(world->store, STORE_SERVING);
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, 2 * WAIT_MS));
	world_destroy(world);
}

/* Checks that @requests requests get @status and that none reaches @server. */
static void
check_unused(gateway_world_t *world, int server, int requests, int status,
    const char *failure)
{
	plain_server_record_t before, after;

	plain_server_get_record(world->servers[server], &before);
	for (int i = 0; i < requests; i++) {
		http_reply_t result =
		    world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);

		if (result.status != status)
			fail_msg("%s: status %d", failure, result.status);
		http_reply_clear(&result);
	}
	plain_server_get_record(world->servers[server], &after);
	if (after.requests != before.requests)
		fail_msg("%s: a request reached it", failure);
}

/* A leaving server gets no request after the drain time, 1.5 s here. */
static void
sends_nothing_to_a_server_that_leaves(void **state)
{
	static const struct {
		const char *failure;
		bool draining; /* false: its entry is removed */
		bool last;     /* no other server is left */
	} cases[] = {
	    {"draining", true, false},
	    {"entry removed", false, false},
	    {"draining, the last server", true, true},
	    {"entry removed, the last server", false, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		gateway_world_t *world = world_create(*state);
		int first = WORLD_ONE * WORLD_REPLICAS;

		for (int j = 0; j < (cases[i].last ? 2 : 1); j++) {
			if (cases[i].draining)
				world_register(world, first + j, "draining");
			else
				object_store_remove(world->store, "servers",
				    plain_server_id(world->servers[first + j]));
		}
		g_usleep(1500 * 1000);
		check_unused(world, first, 10, cases[i].last ? 503 : 200,
		    cases[i].failure);
		world_destroy(world);
	}
}

static bool
has_lost_a_poll_of_servers(gateway_world_t *world)
{
	return object_store_lost_polls(world->store, "servers") > 0;
}

/*
 * Guards against a long poll of the servers that the store has lost: it looks
 * like one without news. A node that waits for it is deaf to leaving servers
 * meanwhile.
 */
static void
a_lost_poll_hides_no_leaving_server(void **state)
{
	gateway_world_t *world = world_create(*state);
	int server = WORLD_ONE * WORLD_REPLICAS;

	object_store_set_fault(world->store, STORE_LOSING_POLLS);
	/* A change ends the poll that waits; the next one is lost. */
	world_register(world, 0, "ready");
	assert_true(world_wait(has_lost_a_poll_of_servers, world, WAIT_MS));
	object_store_set_fault(world->store, STORE_SERVING);
	world_register(world, server, "draining");
	g_usleep(1500 * 1000);
	check_unused(world, server, 20, 200, "draining after a lost poll");
	world_destroy(world);
}

/* Writes configurations for a while, each soon after the one before. */
static void
write_configurations(gateway_world_t *world, int duration_ms)
{
	gint64 end = g_get_monotonic_time() + duration_ms * 1000;

	while (g_get_monotonic_time() < end) {
		world_configure(world);
		g_usleep(50 * 1000);
	}
}

/*
 * While configurations come in quick succession, a probe often sees one before
 * the watch does. Guards against a node that takes this for an outage, and
 * servers that are removed meanwhile for entries that come back.
 */
static void
a_storm_of_configurations_prolongs_no_removal(void **state)
{
	enum { BEFORE_MS = 3000, DRAIN_MS = 1500 };
	gateway_world_t *world = world_create(*state);
	int first = WORLD_ONE * WORLD_REPLICAS;

	write_configurations(world, BEFORE_MS);
	for (int i = 0; i < WORLD_REPLICAS; i++)
		object_store_remove(world->store, "servers",
		    plain_server_id(world->servers[first + i]));
	write_configurations(world, DRAIN_MS);
	check_unused(world, first, 10, 503, "removed during a storm");
	world_destroy(world);
}

/*
 * The store sends a limited number of changes in a response. Guards against a
 * node that waits after each response: it then learns of a draining server
 * behind many other changes only after the drain time.
 */
static void
reads_a_backlog_of_changes_at_once(void **state)
{
	gateway_world_t *world = world_create(*state);
	int server = WORLD_ONE * WORLD_REPLICAS;

	for (int i = 0; i < BACKLOG_ENTRIES; i++) {
		char name[32];

		snprintf(name, sizeof(name), "stray-%d", i);
		object_store_put(world->store, "servers", name,
		    json_pack("{s:s}", "service", "elsewhere"));
	}
	world_register(world, server, "draining");
	g_usleep(1500 * 1000);
	check_unused(world, server, 20, 200, "draining behind other changes");
	world_destroy(world);
}

/*
 * Guards against a report that a server sent before it announced its stop and
 * that reaches the registry after its entry was removed: the server must not
 * get requests again.
 */
static void
a_late_report_brings_no_server_back(void **state)
{
	gateway_world_t *world = world_create(*state);
	int server = WORLD_ONE * WORLD_REPLICAS;

	world_register(world, server, "draining");
	g_usleep(900 * 1000);
	object_store_remove(
	    world->store, "servers", plain_server_id(world->servers[server]));
	g_usleep(1200 * 1000);
	world_register_report(world, server, "ready", 1);
	g_usleep(1200 * 1000);
	check_unused(world, server, 20, 200, "late report");
	world_destroy(world);
}

/* Invalid entries add no server and do not hide others. */
static void
ignores_entries_of_other_writers(void **state)
{
	static const char *const specs[] = {"{}", "[]", "\"text\"", "null",
	    "{\"service\":\"one\"}",
	    "{\"service\":\"one\",\"address\":\"127.0.0.1\",\"zone\":\"dc1\","
	    "\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,"
	    "\"sequence\":1}",
	    "{\"service\":\"one\",\"address\":\"127.0.0.1:1\","
	    "\"zone\":\"dc1\",\"slots\":\"2\",\"state\":\"ready\","
	    "\"warmup_left_ms\":0,\"sequence\":1}",
	    "{\"service\":\"one\",\"address\":\"127.0.0.1:1\","
	    "\"zone\":\"dc1\",\"slots\":2,\"state\":\"sleeping\","
	    "\"warmup_left_ms\":0,\"sequence\":1}"};
	gateway_world_t *world = world_create(*state);
	http_reply_t result;

	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		char name[32];

		snprintf(name, sizeof(name), "stray-%zu", i);
		object_store_put(world->store, "servers", name,
		    json_loads(specs[i], JSON_DECODE_ANY, NULL));
	}
	g_usleep(1200 * 1000);
	assert_int_equal(world_metric(world, "servers"), WORLD_SERVERS);
	result = world_request(world, "GET", "/one/x", DEADLINE_MS, NULL);
	assert_int_equal(result.status, 200);
	http_reply_clear(&result);
	world_destroy(world);
}

/* A JSON array in an array, @depth times. */
static char *
nested_text(int depth)
{
	GString *text = g_string_new("{\"service\":");

	for (int i = 0; i < depth; i++)
		g_string_append_c(text, '[');
	for (int i = 0; i < depth; i++)
		g_string_append_c(text, ']');
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

#define STRAY_ENTRY(service, port)                                   \
	"{\"service\":\"" service "\",\"address\":\"127.0.0.1:" port \
	"\",\"zone\":\"dc1\",\"slots\":2,\"state\":\"ready\","       \
	"\"warmup_left_ms\":0,\"sequence\":1,\"version\":\"v1\",\"born\":1"

/*
 * Guards against an entry of another writer that can't be read: it must hide
 * no server, neither from a node that follows the registry nor from one that
 * starts, and must end no process.
 */
static void
an_unreadable_entry_hides_only_itself(void **state)
{
	static const char *const texts[] = {
	    STRAY_ENTRY("one", "1") ",\"x\":\"\\udcff\"}",
	    STRAY_ENTRY("one", "1") ",\"x\":1e999}",
	    STRAY_ENTRY("one", "1") ",\"x\":18446744073709551616}",
	    STRAY_ENTRY("one", "1") ",\"a\\u0000b\":1}",
	    STRAY_ENTRY("one", "1") ",\"x\":\"\xff\"}",
	    STRAY_ENTRY("one\\u0000", "1") "}", STRAY_ENTRY("one", "70000") "}",
	    STRAY_ENTRY("one", "1") ",\"slots\":1e30}",
	    STRAY_ENTRY("one", "1") ",\"slots\":4294967296}", "\"\\ud800\"",
	    "-"};
	gateway_world_t *world = world_create(*state);
	char *nested = nested_text(100000);
	int server = WORLD_ONE * WORLD_REPLICAS;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char name[32];

		snprintf(name, sizeof(name), "i-00 stray&%zu", i);
		object_store_put_text(world->store, "servers", name, texts[i]);
		object_store_put_text(world->store, "config", name, texts[i]);
		object_store_put_text(world->store, "nodes", name, texts[i]);
	}
	object_store_put_text(world->store, "servers", "i-0 nested", nested);
	/* A running node hears of a server that leaves. */
	world_register(world, server, "draining");
	g_usleep(1500 * 1000);
	check_unused(world, server, 10, 200, "draining beside odd entries");
	world_register(world, server, "ready");
	/* So does a node that starts, and it has all others. */
	harness_kill(world->harness, world->gateway);
	world_start_gateway(world);
	harness_wait_status(world->health, "/ready", 200, WORLD_START_MS);
	assert_int_equal(world_metric(world, "servers"), WORLD_SERVERS);
	world_configure(world);
	assert_true(world_wait(has_adopted_config, world, WAIT_MS));
	g_free(nested);
	world_destroy(world);
}

static bool
shows_one_leaving(gateway_world_t *world)
{
	return world_count_servers(world, "leaving") == 1;
}

/* The page /state must show the servers as the node uses them. */
static void
state_page_shows_the_servers_in_use(void **state)
{
	gateway_world_t *world = world_create(*state);

	assert_int_equal(world_count_servers(world, "ready"), WORLD_SERVERS);
	world_register(world, WORLD_ONE * WORLD_REPLICAS, "draining");
	assert_true(world_wait(shows_one_leaving, world, WAIT_MS));
	assert_int_equal(
	    world_count_servers(world, "ready"), WORLD_SERVERS - 1);
	world_destroy(world);
}

/*
 * A node reads its first list of servers at the low price, so it may be seconds
 * old. Guards against a node that after a restart takes servers for ready that
 * have left or are leaving: it is ready only once it knows what has changed.
 */
static void
a_start_knows_what_has_left_meanwhile(void **state)
{
	gateway_world_t *world = world_create(*state);
	uint32_t lists = object_store_list_count(world->store, "servers");

	assert_int_equal(lists, 0);
	for (int i = 0; i < 3; i++) {
		object_store_freeze_old(world->store);
		world_register(world, 0, "draining");
		object_store_remove(world->store, "servers",
		    plain_server_id(world->servers[2]));
		harness_kill(world->harness, world->gateway);
		object_store_set_fault(world->store, STORE_HOLDING_WATCHES);
		world_start_gateway(world);
		g_usleep(500 * 1000);
		harness_wait_status(world->health, "/ready", 503, WAIT_MS);
		object_store_set_fault(world->store, STORE_SERVING);
		harness_wait_status(
		    world->health, "/ready", 200, WORLD_START_MS);
		assert_int_equal(
		    world_count_servers(world, "ready"), WORLD_SERVERS - 2);
		world_register_all(world);
	}
	assert_int_equal(object_store_list_count(world->store, "servers"), 0);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(says_not_run_before_its_first_configuration),
	    HARNESS_TEST(follows_the_configuration),
	    HARNESS_TEST(notices_a_watch_that_was_lost_in_an_outage),
	    HARNESS_TEST(a_lost_poll_delays_no_version_beyond_its_bound),
	    HARNESS_TEST(begins_again_when_the_probe_finds_history_gone),
	    HARNESS_TEST(serves_while_the_store_is_away),
	    HARNESS_TEST(sends_nothing_to_a_server_that_leaves),
	    HARNESS_TEST(a_lost_poll_hides_no_leaving_server),
	    HARNESS_TEST(a_storm_of_configurations_prolongs_no_removal),
	    HARNESS_TEST(reads_a_backlog_of_changes_at_once),
	    HARNESS_TEST(a_late_report_brings_no_server_back),
	    HARNESS_TEST(ignores_entries_of_other_writers),
	    HARNESS_TEST(an_unreadable_entry_hides_only_itself),
	    HARNESS_TEST(state_page_shows_the_servers_in_use),
	    HARNESS_TEST(a_start_knows_what_has_left_meanwhile),
	};

	return RUN_TESTS(argc, argv, tests);
}

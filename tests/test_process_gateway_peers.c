/* Guards the distribution of changes by relays: each node must learn of a
 * draining server and of a new configuration in time, also when relays fail,
 * and without faults only relays may poll the store. */
#include "lib/gateway_fleet.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../source/peers/peer_message.h"

/* A draining server must get no more requests after 5 s. A node needs 1.5 s of
 * this time after it has learned of the change. */
#define UPDATE_TIMEOUT_MS 3500
/* For 2.6 s after an outage of the store, a node may use servers whose registry
 * entries expired meanwhile. */
#define RECONNECT_UPDATE_TIMEOUT_MS 2400
#define EXTRA_ENTRIES 400
#define EXTRA_ENTRY_WORDS 60
#define DISCONNECT_MS 4500	 /* long enough for a failed probe */
#define LONG_DISCONNECT_MS 10500 /* long enough for five */
#define POLL_STEP_MS 20
#define CHANGES 3
#define DEADLINE_MS 1500
/* By then all nodes must know of a request that is suspected of crashing
 * servers. */
#define SUSPECT_DELAY_MS 4000
#define AFTER_START_MS 1000  /* by then a node has entered the registry */
#define CHANGE_PAUSE_MS 2200 /* exceeds a node's delay after a change */

static bool
is_up_to_date(const gateway_fleet_t *fleet, int gateway, int leaving_count)
{
	gateway_world_t view = fleet_gateway_world(fleet, gateway);

	return world_metric(&view, "config_version") == view.version &&
	    world_count_servers(&view, "leaving") == leaving_count;
}

/* Writes a new configuration and marks a server as draining. */
static void
publish_change(gateway_fleet_t *fleet, int server)
{
	world_configure(fleet->world);
	world_register(fleet->world, server, "draining");
}

static void
wait_for_node(const gateway_fleet_t *fleet, int gateway, int leaving_count,
    gint64 deadline, const char *situation)
{
	while (!is_up_to_date(fleet, gateway, leaving_count)) {
		if (g_get_monotonic_time() > deadline)
			fail_msg("%s: g%d did not learn of the change",
			    situation, gateway);
		g_usleep(POLL_STEP_MS * 1000);
	}
}

static void
wait_for_update(const gateway_fleet_t *fleet, int first, int leaving_count,
    const char *situation)
{
	gint64 deadline = g_get_monotonic_time() + UPDATE_TIMEOUT_MS * 1000;

	for (int i = first; i < FLEET_GATEWAYS; i++)
		wait_for_node(fleet, i, leaving_count, deadline, situation);
}

/* Publishes the changes; each node has to learn of them in time. */
static void
publish_changes(gateway_fleet_t *fleet, const char *situation)
{
	for (int i = 0; i < CHANGES; i++) {
		publish_change(fleet, i);
		wait_for_update(fleet, 0, i + 1, situation);
		g_usleep(CHANGE_PAUSE_MS * 1000);
	}
}

/* Another writer's entries, which no JSON reader takes as they are. */
static void
write_odd_entries(gateway_world_t *world)
{
	static const char *const texts[] = {"{\"service\":\"\\udcff\"}",
	    "{\"slots\":1e999}", "{\"a\\u0000\":1}", "[[[[-]]]]", "-"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char name[16];

		snprintf(name, sizeof(name), "odd-%zu", i);
		object_store_put_text(world->store, "servers", name, texts[i]);
	}
}

typedef struct {
	const char *situation;
	store_fault_t fault;
	bool has_odd_entries;
} polls_case_t;

/* The world's own gateway has no peers and would poll for itself. */
static void
check_polls_of_changes(harness_t *harness, const polls_case_t *row)
{
	/* The first odd entry is reported at once, the others after a pause. */
	uint32_t changes = CHANGES + (row->has_odd_entries ? 2 : 0);
	uint32_t max_polls = FLEET_RELAYS * changes;
	gateway_world_t *world = world_create(harness);
	gateway_fleet_t fleet = {0};
	uint32_t config_polls, server_polls;

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	harness_kill(world->harness, world->gateway);
	object_store_set_fault(world->store, row->fault);
	config_polls = object_store_poll_count(world->store, "config");
	server_polls = object_store_poll_count(world->store, "servers");
	if (row->has_odd_entries) {
		write_odd_entries(world);
		g_usleep(CHANGE_PAUSE_MS * 1000);
	}
	publish_changes(&fleet, row->situation);
	config_polls =
	    object_store_poll_count(world->store, "config") - config_polls;
	server_polls =
	    object_store_poll_count(world->store, "servers") - server_polls;
	if (config_polls > max_polls || server_polls > max_polls)
		fail_msg("%s: %u polls of the configuration, %u of servers",
		    row->situation, config_polls, server_polls);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/*
 * Guards against polls of the store by each node: its calls then grow with the
 * number of nodes. A relay polls once for each change, also when its probe
 * hears of the change before its poll does, and followers take what it sends
 * beside entries that can't be read.
 */
static void
only_relays_poll_the_store(void **state)
{
	static const polls_case_t rows[] = {
	    {"a prompt store", STORE_SERVING, false},
	    {"a store that reports late", STORE_REPORTING_LATE, false},
	    {"odd entries", STORE_SERVING, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		check_polls_of_changes(*state, &rows[i]);
}

typedef enum {
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_DISCONNECT,
	FAULT_HOLD_ANSWERS
} fault_t;

typedef struct {
	const char *situation;
	fault_t fault;
	int relays; /* number of relays that fail */
} fault_case_t;

static void
inject_fault(gateway_fleet_t *fleet, const fault_case_t *row)
{
	harness_t *harness = fleet->world->harness;

	for (int i = 0; i < row->relays; i++) {
		fleet_gateway_t *node = &fleet->gateways[i];

		switch (row->fault) {
		case FAULT_KILL:
			harness_kill(harness, node->process);
			break;
		case FAULT_PAUSE:
			harness_signal(harness, node->process, SIGSTOP);
			break;
		case FAULT_DISCONNECT:
			proxy_set_mode(node->store_proxy, PROXY_HOLD);
			break;
		case FAULT_HOLD_ANSWERS:
			proxy_set_mode(node->store_proxy, PROXY_HOLD_ANSWERS);
			break;
		}
	}
}

static void
clear_fault(gateway_fleet_t *fleet, const fault_case_t *row)
{
	for (int i = 0; i < row->relays; i++) {
		fleet_gateway_t *node = &fleet->gateways[i];

		proxy_set_mode(node->store_proxy, PROXY_PASS);
		if (row->fault == FAULT_PAUSE)
			harness_signal(
			    fleet->world->harness, node->process, SIGCONT);
		if (row->fault == FAULT_KILL)
			fleet_start(fleet, i);
	}
}

/* The change follows the fault at once, before any node has detected it. */
static void
followers_learn_in_time_when_relays_fail(void **state)
{
	static const fault_case_t cases[] = {
	    {"a relay is killed", FAULT_KILL, 1},
	    {"both relays are killed", FAULT_KILL, 2},
	    {"a relay is paused", FAULT_PAUSE, 1},
	    {"both relays are paused", FAULT_PAUSE, 2},
	    {"a relay loses the store", FAULT_DISCONNECT, 1},
	    {"both relays lose the store", FAULT_DISCONNECT, 2},
	    {"both relays get no responses from the store", FAULT_HOLD_ANSWERS,
		2},
	};
	gateway_world_t *world = world_create(*state);
	gateway_fleet_t fleet = {0};

	fleet_create(&fleet, world);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fleet_wait_for_roles(&fleet);
		inject_fault(&fleet, &cases[i]);
		publish_change(&fleet, (int)i);
		wait_for_update(&fleet, FLEET_RELAYS, 1, cases[i].situation);
		world_register(world, (int)i, "ready");
		clear_fault(&fleet, &cases[i]);
		wait_for_update(&fleet, 0, 0, "after the fault");
	}
	fleet_destroy(&fleet);
	world_destroy(world);
}

/*
 * Writes more entries than relays can send, so that the node must read them
 * from the store. They are random, so that compression does not make them small
 * enough, and invalid, so that they add no servers.
 */
static void
write_many_entries(gateway_world_t *world)
{
	GRand *random = g_rand_new_with_seed(1);

	for (int i = 0; i < EXTRA_ENTRIES; i++) {
		char name[32];
		GString *text = g_string_new(NULL);

		snprintf(name, sizeof(name), "stray-%d", i);
		for (int j = 0; j < EXTRA_ENTRY_WORDS; j++)
			g_string_append_printf(
			    text, "%08x", g_rand_int(random));
		object_store_put(world->store, "servers", name,
		    json_pack("{s:s}", "service", text->str));
		g_string_free(text, TRUE);
	}
	g_rand_free(random);
}

/*
 * Guards against a node that has lost its connection to the store and waits for
 * relays before it polls the store again: it uses a draining server for too
 * long.
 */
static void
reconnect_last_node(harness_t *harness, int disconnect_ms)
{
	gateway_world_t *world = world_create(harness);
	gateway_fleet_t fleet = {0};
	int last = FLEET_GATEWAYS - 1;
	char situation[64];
	gint64 deadline;

	snprintf(situation, sizeof(situation),
	    "reconnected to the store after %d ms", disconnect_ms);
	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	proxy_set_mode(fleet.gateways[last].store_proxy, PROXY_HOLD);
	write_many_entries(world);
	g_usleep((gulong)disconnect_ms * 1000);
	proxy_set_mode(fleet.gateways[last].store_proxy, PROXY_PASS);
	publish_change(&fleet, 0);
	deadline = g_get_monotonic_time() + RECONNECT_UPDATE_TIMEOUT_MS * 1000;
	wait_for_node(&fleet, last, 1, deadline, situation);
	fleet_destroy(&fleet);
	world_destroy(world);
}

static void
a_node_that_was_cut_off_learns_in_time(void **state)
{
	reconnect_last_node(*state, DISCONNECT_MS);
	reconnect_last_node(*state, LONG_DISCONNECT_MS);
}

/* Changes whose history was dropped during an outage must not be missed. */
static void
all_catch_up_after_an_outage(void **state)
{
	gateway_world_t *world = world_create(*state);
	gateway_fleet_t fleet = {0};

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	object_store_set_fault(world->store, STORE_SILENT);
	g_usleep(2500 * 1000);
	publish_change(&fleet, 0);
	object_store_compact(world->store);
	object_store_set_fault(world->store, STORE_SERVING);
	wait_for_update(&fleet, 0, 1, "after the outage");
	fleet_wait_for_roles(&fleet);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/*
 * Guards against a node that writes its entry again at each restart although
 * nothing in it has changed, and against one whose entry names an address of
 * the process before.
 */
static void
a_restart_writes_only_what_has_changed(void **state)
{
	gateway_world_t *world = world_create(*state);
	gateway_fleet_t fleet = {0};
	fleet_gateway_t *last = &fleet.gateways[FLEET_GATEWAYS - 1];
	uint32_t writes;

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	writes = object_store_write_count(world->store, "nodes");
	harness_kill(world->harness, last->process);
	fleet_start(&fleet, FLEET_GATEWAYS - 1);
	fleet_wait_for_roles(&fleet);
	assert_int_equal(
	    object_store_write_count(world->store, "nodes"), writes);
	harness_kill(world->harness, last->process);
	harness_find_unused_address(last->peers);
	fleet_start(&fleet, FLEET_GATEWAYS - 1);
	/* It counts the nodes after it has written its entry. */
	harness_wait_status(last->health, "/ready", 200, WORLD_START_MS);
	g_usleep(AFTER_START_MS * 1000);
	assert_int_equal(
	    object_store_write_count(world->store, "nodes"), writes + 1);
	fleet_destroy(&fleet);
	world_destroy(world);
}

static int
request_status(const gateway_fleet_t *fleet, int gateway, const char *path)
{
	gateway_world_t view = fleet_gateway_world(fleet, gateway);
	http_reply_t result =
	    world_request(&view, "GET", path, DEADLINE_MS, NULL);
	int status = result.status;

	http_reply_clear(&result);
	return status;
}

/*
 * Guards against a node that does not know of requests that have crashed
 * servers through other nodes: the same request then crashes servers through
 * each node in turn.
 */
static void
a_request_that_crashes_servers_is_known_to_all(void **state)
{
	static const struct {
		const char *crashing;
		const char *other;
		int service;
	} cases[] = {{"/one/crash", "/one/fine", WORLD_ONE},
	    {"/all/crash", "/all/fine", 0}};
	gateway_world_t *world = world_create(*state);
	gateway_fleet_t fleet = {0};

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t before;

		request_status(&fleet, 0, cases[i].crashing);
		request_status(&fleet, 1, cases[i].crashing);
		g_usleep(SUSPECT_DELAY_MS * 1000);
		before = world_crash_count(world, cases[i].service);
		assert_true(before > 0);
		for (int j = 0; j < FLEET_GATEWAYS; j++)
			assert_int_equal(
			    request_status(&fleet, j, cases[i].crashing), 503);
		assert_int_equal(
		    world_crash_count(world, cases[i].service), before);
		for (int j = 0; j < FLEET_GATEWAYS; j++)
			assert_int_equal(
			    request_status(&fleet, j, cases[i].other), 200);
	}
	fleet_destroy(&fleet);
	world_destroy(world);
}

/* A request is not suspected when responses are lost but no server crashes. */
static void
a_request_whose_answers_are_lost_is_not_suspected(void **state)
{
	gateway_world_t *world = world_create(*state);
	gateway_fleet_t fleet = {0};

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	world_fault_service(world, WORLD_ONE, PLAIN_RESET, 3);
	for (int i = 0; i < 3; i++)
		request_status(&fleet, 0, "/one/lost");
	world_fault_service(world, WORLD_ONE, PLAIN_ANSWER, 0);
	g_usleep(SUSPECT_DELAY_MS * 1000);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		assert_int_equal(request_status(&fleet, i, "/one/lost"), 200);
	fleet_destroy(&fleet);
	world_destroy(world);
}

/* Makes a server close all its connections and refuse new ones for a while. */
static void
crash_server(const plain_server_t *server)
{
	http_reply_t result = harness_http("GET", plain_server_address(server),
	    "/crash", NULL, NULL, DEADLINE_MS);

	http_reply_clear(&result);
}

static void *
request_shared_content(void *context)
{
	request_status(context, 0, "/one/shared");
	return NULL;
}

/*
 * One crash with several requests of the same content at work is one crash.
 * Guards against nodes that refuse content that many clients ask for, because
 * a server crashed for another reason.
 */
static void
one_crash_refuses_no_shared_content(void **state)
{
	enum { CLIENTS = 12, WORK_MS = 400 };
	gateway_world_t *world = world_create(*state);
	int replica = WORLD_ONE * WORLD_REPLICAS;
	gateway_fleet_t fleet = {0};
	GThread *clients[CLIENTS];

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(world->servers[replica + i], WORK_MS);
	for (int i = 0; i < CLIENTS; i++)
		clients[i] =
		    g_thread_new("client", request_shared_content, &fleet);
	g_usleep(WORK_MS / 2 * 1000);
	crash_server(world->servers[replica]);
	for (int i = 0; i < CLIENTS; i++)
		g_thread_join(clients[i]);
	g_usleep(SUSPECT_DELAY_MS * 1000);
	assert_int_equal(world_crash_count(world, WORLD_ONE), 1);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		assert_int_equal(request_status(&fleet, i, "/one/shared"), 200);
	fleet_destroy(&fleet);
	world_destroy(world);
}

static void
send_datagram(int fd, const char *address, slice_t bytes)
{
	struct sockaddr_in target = {.sin_family = AF_INET};

	target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	assert_int_equal(sendto(fd, bytes.data, bytes.size, 0,
			     (struct sockaddr *)&target, sizeof(target)),
	    bytes.size);
}

/*
 * A forged relay status with the highest revision would keep a node from
 * polling the store.
 */
static void
datagrams_of_unlisted_senders_are_dropped(void **state)
{
	const peer_message_t forged = {
	    .kind = PEER_STATUS,
	    .status = {.positions = {{{0, 1}, {0, INT64_MAX}},
			   {{0, 1}, {0, INT64_MAX}}}},
	};
	gateway_world_t *world = world_create(*state);
	gateway_fleet_t fleet = {0};
	int64_t rejected[FLEET_GATEWAYS];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	writer_t writer;

	fleet_create(&fleet, world);
	fleet_wait_for_roles(&fleet);
	writer_init(&writer);
	peer_message_encode(&forged, &writer);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		const char *address = fleet.gateways[i].peers;

		rejected[i] =
		    fleet_metric(&fleet, i, "peer_datagrams_rejected_total");

		send_datagram(fd, address,
		    (slice_t){writer.buffer.data, writer.buffer.size});
		send_datagram(fd, address, slice_from("noise"));
	}
	publish_change(&fleet, 0);
	wait_for_update(&fleet, 0, 1, "after datagrams of unlisted senders");
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		assert_int_equal(
		    fleet_metric(&fleet, i, "peer_datagrams_rejected_total"),
		    rejected[i] + 2);
	writer_free(&writer);
	close(fd);
	fleet_destroy(&fleet);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(only_relays_poll_the_store),
	    HARNESS_TEST(followers_learn_in_time_when_relays_fail),
	    HARNESS_TEST(a_node_that_was_cut_off_learns_in_time),
	    HARNESS_TEST(all_catch_up_after_an_outage),
	    HARNESS_TEST(a_restart_writes_only_what_has_changed),
	    HARNESS_TEST(a_request_that_crashes_servers_is_known_to_all),
	    HARNESS_TEST(a_request_whose_answers_are_lost_is_not_suspected),
	    HARNESS_TEST(one_crash_refuses_no_shared_content),
	    HARNESS_TEST(datagrams_of_unlisted_senders_are_dropped),
	};

	return RUN_TESTS(argc, argv, tests);
}

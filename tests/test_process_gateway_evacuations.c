/*
 * Guards against requests to the servers of an evacuated data centre, first
 * ones, queued ones and those of a node that has just started, and against an
 * evacuation that outlasts its revocation or ends with an outage.
 */
#include "lib/gateway_fleet.h"

#include <string.h>

#define BOUND_MS 1500
#define FLAG "--evacuate-ms=1500"
#define FLEET_BOUND_MS 5000
#define FLEET_FLAG "--evacuate-ms=5000"
#define RELAY_POLLS_MAX 10 /* of two; five nodes would send 20 */
#define WAIT_MS 4000
#define LONG_MS 8000
#define ANSWER_DELAY_MS 4000
#define REFUSED_AT_ONCE_MS 3000 /* the bound, and before the first answer */
#define KIND "evacuations"

/*
 * e: an evacuation begins, x: and its object is unreadable, u: it is revoked
 * .: the bound passes; l: the next poll is lost
 * o: the store is away, s: it is back; r: a start that can't list the kind
 * n: the data centre gets nothing, y: it is used, b: all requests are refused
 */
static const struct {
	const char *name;
	const char *steps;
} cases[] = {
    {"calm", "e.nu.y"},
    {"an unreadable object", "x.n"},
    {"lost polls", "le.nlu.y"},
    {"the store is away", "e.o..ns.nu.y"},
    {"a start uses no server before the list", "erbs.n"},
};

static void
evacuate(gateway_world_t *world, const char *data_centre)
{
	object_store_put(world->store, KIND, data_centre, json_object());
}

static uint32_t
count_requests(gateway_world_t *world)
{
	plain_server_record_t record;

	plain_server_get_record(world_replica(world, WORLD_ONE, 0), &record);
	return record.requests;
}

/* Those that are refused must say that they have not run. */
static void
send_requests(gateway_world_t *world, int status, const char *failure)
{
	for (int i = 0; i < 10; i++) {
		http_reply_t result = world_request(world, "GET",
		    i % 2 == 0 ? "/one/x" : "/all/x", BOUND_MS, NULL);

		if (result.status != status ||
		    (status == 503 &&
			strstr(result.body->str, "\"not_run\":true") == NULL))
			fail_msg("%s: status %d", failure, result.status);
		http_reply_clear(&result);
	}
}

static bool
has_lost_a_poll(gateway_world_t *world)
{
	return object_store_lost_polls(world->store, KIND) >
	    world->polls_before;
}

/* A change ends the poll that waits; the next one is lost. */
static void
lose_poll(gateway_world_t *world)
{
	world->polls_before = object_store_lost_polls(world->store, KIND);
	object_store_set_fault(world->store, STORE_LOSING_POLLS);
	evacuate(world, "elsewhere");
	assert_true(world_wait(has_lost_a_poll, world, WAIT_MS));
	object_store_set_fault(world->store, STORE_SERVING);
}

static void
restart_without_list(gateway_world_t *world)
{
	harness_kill(world->harness, world->gateway);
	object_store_set_fault(world->store, STORE_REFUSING_EVACUATIONS);
	world_start_gateway(world);
	harness_wait_status(world->health, "/ready", 503, WORLD_START_MS);
	g_usleep(500 * 1000);
	harness_wait_status(world->health, "/ready", 503, WAIT_MS);
	assert_int_equal(world_metric(world, "servers"), WORLD_SERVERS);
}

static void
play_step(gateway_world_t *world, char step, const char *name)
{
	uint32_t before = count_requests(world);

	switch (step) {
	case 'e':
		evacuate(world, "dc1");
		break;
	case 'x':
		object_store_put_text(world->store, KIND, "dc1", "-");
		break;
	case 'u':
		object_store_remove(world->store, KIND, "dc1");
		break;
	case '.':
		g_usleep(BOUND_MS * 1000);
		break;
	case 'l':
		lose_poll(world);
		break;
	case 'o':
		object_store_set_fault(world->store, STORE_SILENT);
		break;
	case 's':
		object_store_set_fault(world->store, STORE_SERVING);
		break;
	case 'r':
		restart_without_list(world);
		break;
	default:
		send_requests(world, step == 'b' ? 503 : 200, name);
	}
	if ((count_requests(world) > before) != (step == 'y'))
		fail_msg("%s, step %c: requests of the data centre %u", name,
		    step, count_requests(world) - before);
}

static void
sends_nothing_to_an_evacuated_data_centre(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		gateway_world_t *world = world_create_with_flag(*state, FLAG);

		for (const char *at = cases[i].steps; *at != '\0'; at++)
			play_step(world, *at, cases[i].name);
		world_destroy(world);
	}
}

static void *
send_long_request(void *world)
{
	http_reply_t result =
	    world_request(world, "GET", "/once/x", LONG_MS, NULL);
	bool late = result.elapsed > MS(REFUSED_AT_ONCE_MS);
	int status = result.status == 503 && late ? 504 : result.status;

	http_reply_clear(&result);
	return GINT_TO_POINTER(status);
}

/* Each server has one connection, so two requests run and two wait; the latter
 * have nowhere to go once both data centres are evacuated. */
static void
queued_requests_follow_and_running_ones_finish(void **state)
{
	gateway_world_t *world = world_create_with_flag(*state, FLAG);
	GThread *threads[4];
	int refused = 0;

	world->max_connections = 2;
	world->timeout_ms = LONG_MS;
	world_configure(world);
	for (int i = 0; i < WORLD_REPLICAS; i++)
		plain_server_set_delay(
		    world_replica(world, WORLD_ONE, i), ANSWER_DELAY_MS);
	g_usleep(500 * 1000);
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		threads[i] = g_thread_new(NULL, send_long_request, world);
	g_usleep(500 * 1000);
	evacuate(world, "dc1");
	evacuate(world, "dc2");
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
		int status = GPOINTER_TO_INT(g_thread_join(threads[i]));

		assert_true(status == 200 || status == 503);
		refused += status == 503;
	}
	assert_int_equal(refused, 2);
	assert_int_equal(world_request_count(world, WORLD_ONE), 2);
	world_destroy(world);
}

static bool
is_follower(gateway_world_t *view)
{
	return world_metric(view, "peer_role{role=\"follower\"}") == 1;
}

static bool
has_evacuated(gateway_world_t *view)
{
	return world_metric(view, "evacuated_servers") == WORLD_SERVERS / 2;
}

static void
wait_for_followers(
    const gateway_fleet_t *fleet, bool (*check)(gateway_world_t *), int wait_ms)
{
	for (int i = 2; i < fleet->count; i++) {
		gateway_world_t view = fleet_gateway_world(fleet, i);

		if (!world_wait(check, &view, wait_ms))
			fail_msg("g%d is late", i);
	}
}

/* Only the relays poll, after each change and each 3 s; when both fail, the
 * others read the store themselves. */
static void
followers_learn_of_evacuations(void **state)
{
	gateway_world_t *world = world_create_with_flag(*state, FLEET_FLAG);
	gateway_fleet_t fleet = {0};
	uint32_t polls;

	fleet_create(&fleet, world);
	harness_kill(world->harness, world->gateway);
	wait_for_followers(&fleet, is_follower, WORLD_START_MS);
	polls = object_store_poll_count(world->store, KIND);
	evacuate(world, "dc1");
	wait_for_followers(&fleet, has_evacuated, FLEET_BOUND_MS);
	object_store_remove(world->store, KIND, "dc1");
	g_usleep(FLEET_BOUND_MS * 1000);
	polls = object_store_poll_count(world->store, KIND) - polls;
	assert_in_range(polls, 2, RELAY_POLLS_MAX);
	for (int i = 0; i < 2; i++)
		harness_kill(world->harness, fleet.gateways[i].process);
	evacuate(world, "dc1");
	wait_for_followers(&fleet, has_evacuated, FLEET_BOUND_MS);
	fleet_destroy(&fleet);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(sends_nothing_to_an_evacuated_data_centre),
	    HARNESS_TEST(queued_requests_follow_and_running_ones_finish),
	    HARNESS_TEST(followers_learn_of_evacuations),
	};

	return RUN_TESTS(argc, argv, tests);
}

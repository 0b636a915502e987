/* Servers that leave and return, connections that go silent, and requests that
 * crash the servers that run them. */
#include "lib/harness_query.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* No new work this long after the first sign that a server leaves. */
#define LEAVE_MS 3000

/* A connection that went silent holds a query up to its deadline at most; then
 * other connections are in use. */
#define SILENT_QUERIES 10

typedef enum { SIGN_HEADER, SIGN_OBJECT, SIGN_BOTH } sign_t;

/* Writes the object of one service; server 1 is @state, of @incarnation. */
static void
put_service(
    harness_t *harness, int service, const char *state, const char *incarnation)
{
	char *name = g_strdup_printf("slotplan-%d", service);
	char *path = g_strdup_printf("/v1/objects/service/%s", name);
	json_t *object = harness_fetch(harness->platform, path);
	json_t *value = json_deep_copy(json_object_get(object, "value"));
	json_t *first = json_array_get(json_object_get(value, "servers"), 0);

	json_object_set_new(first, "state", json_string(state));
	json_object_set_new(first, "incarnation", json_string(incarnation));
	harness_put_object(harness, "service", name, value);
	json_decref(object);
	g_free(path);
	g_free(name);
}

static void
begin_leaving(harness_t *harness, sign_t sign, const char *incarnation)
{
	if (sign != SIGN_OBJECT)
		harness_fault(harness, query_server(1, 1),
		    "{\"draining\":true,\"drain_grace_ms\":60000}");
	if (sign != SIGN_HEADER)
		put_service(harness, 1, "leaving", incarnation);
}

/* Until the server has got no request for LEAVE_MS; then none may come. */
static void
check_no_more_work(harness_t *harness, load_t *load)
{
	usec_t start = clock_monotonic();
	int64_t requests;

	while (clock_monotonic() - start < MS(LEAVE_MS))
		load_wait(load, 5);
	requests = harness_record_int(harness, query_server(1, 1), "requests");
	load_wait(load, 100);
	assert_int_equal(
	    harness_record_int(harness, query_server(1, 1), "requests"),
	    requests);
}

static void
check_return(harness_t *harness, load_t *load, const char *incarnation)
{
	usec_t until = clock_monotonic() + MS(QUERY_ENOUGH_MS);
	char order[64];
	int64_t before;

	snprintf(order, sizeof(order), "{\"restart\":\"%s\"}", incarnation);
	harness_fault(harness, query_server(1, 1), order);
	before = harness_record_int(harness, query_server(1, 1), "requests");
	put_service(harness, 1, "live", incarnation);
	while (harness_record_int(harness, query_server(1, 1), "requests") <
	    before + 5) {
		if (clock_monotonic() > until)
			fail_msg("incarnation %s is not used", incarnation);
		load_wait(load, 5);
	}
}

static void
check_drain(harness_t *harness, sign_t sign)
{
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	load = load_start(harness, 6, 7);
	load_wait(load, 50);
	begin_leaving(harness, sign, "i-1");
	check_no_more_work(harness, load);
	if (sign != SIGN_OBJECT)
		assert_in_range(harness_record_int(harness, query_server(1, 1),
				    "work_after_drain_ms") +
			1,
		    0, LEAVE_MS + 1);
	check_return(harness, load, "i-2");
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
}

/* Guards against new work for a server that says in its replies that it
 * leaves, and against a server that is not used after its return. */
static void
the_drain_header_ends_new_work(void **state)
{
	check_drain(*state, SIGN_HEADER);
}

/* The same when only the service object says so. */
static void
the_service_object_ends_new_work(void **state)
{
	check_drain(*state, SIGN_OBJECT);
}

/* The same when both signs come. */
static void
both_signs_end_new_work(void **state)
{
	check_drain(*state, SIGN_BOTH);
}

/* Guards against queries that wait on pooled connections which no longer
 * answer while new ones work, and against pools that are not replaced. */
static void
silent_connections_are_replaced(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 2});
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	load_stop(load);
	for (int i = 1; i <= QUERY_SERVICES; i++)
		for (int j = 1; j <= 2; j++)
			harness_fault(harness, query_server(i, j),
			    "{\"silence_connections\":true}");
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
}

/* The same when no server of any service answers on an old connection. */
static void
all_connections_silent_at_once(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 2});
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	load_stop(load);
	query_fault_all(harness, "{\"silence_connections\":true}");
	harness_order(harness->platform, "/fake/faults",
	    "{\"silence_connections\":true}");
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	result = load_stop(load);
	assert_int_equal(result.refused + result.broken, 0);
	if (result.partial > SILENT_QUERIES)
		fail_msg("%d of %d answers are partial", result.partial,
		    result.partial + result.complete);
	query_wait_complete(harness, 0, 5, QUERY_ENOUGH_MS);
}

/* Guards against a configuration that is never adopted again because the
 * connection of the platform's watch went silent. */
static void
a_silent_platform_connection_is_replaced(void **state)
{
	static const version_map_t maps[] = {
	    {QUERY_VERSION, QUERY_SERVICES, {1, 2, 3, 4}},
	    {9, QUERY_SERVICES, {1, 2, 3, 4}}};
	harness_t *harness = *state;
	usec_t until;

	query_start_world(harness, &(world_t){.nodes = 2});
	query_fault_all(harness, "{\"versions\":{\"reels\":[7,9]}}");
	harness_order(harness->platform, "/fake/faults",
	    "{\"silence_connections\":true}");
	query_put_index(harness, maps, 2);
	until = clock_monotonic() + MS(QUERY_ENOUGH_MS);
	for (int i = 0; i < 2; i++)
		while (query_check_complete(harness, i).version != 9)
			assert_true(clock_monotonic() < until);
}

static int64_t
restart_crashed(harness_t *harness)
{
	int64_t crashes = 0;

	for (int i = 1; i <= QUERY_SERVICES; i++)
		for (int j = 1; j <= QUERY_SERVERS; j++) {
			const char *server = query_server(i, j);

			if (harness_record_int(harness, server, "crashes") == 0)
				continue;
			crashes +=
			    harness_record_int(harness, server, "crashes");
			harness_fault(harness, server, "{\"restart\":\"i-1\"}");
		}
	return crashes;
}

/* Guards against a request that kills one server after another when its caller
 * repeats it at every node. The first query sends one attempt to each of the
 * services at once, and a suspect runs once more, alone, on each service that
 * had noticed no second crash: at most two servers of each service die.
 * Requests of others go on. */
static void
a_crashing_request_is_contained(void **state)
{
	static const char poison[] = "the poison board";
	harness_t *harness = *state;
	int64_t crashes;
	load_result_t result;
	load_t *load;
	bool refused = false;

	query_start_world(harness, &(world_t){.nodes = 3});
	query_fault_all(harness, "{\"crash_on\":\"poison\"}");
	load = load_start(harness, 4, 7);
	load_wait(load, 20);
	for (int i = 0; i < 12; i++) {
		http_reply_t answer = query_post(harness, i % 3, poison);

		if (answer.status == 200) {
			assert_true(query_check_answer(
					&answer, poison, QUERY_DEADLINE_MS)
					.answered < QUERY_SERVICES);
		} else {
			query_check_refusal(
			    &answer, 422, "crashes_servers", true);
			assert_in_range(
			    json_integer_value(json_object_get(
				json_object_get(answer.json, "error"),
				"retry_after_ms")),
			    1, 60000);
			refused = true;
		}
		http_reply_clear(&answer);
	}
	assert_true(refused);
	crashes = restart_crashed(harness);
	print_message("%lld servers crashed\n", (long long)crashes);
	assert_in_range(crashes, 1, 2 * QUERY_SERVICES);
	for (int i = 0; i < 3; i++)
		query_wait_complete(harness, i, 5, QUERY_ENOUGH_MS);
	load_wait(load, 40);
	result = load_stop(load);
	assert_int_equal(result.refused + result.broken, 0);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    QUERY_TEST(the_drain_header_ends_new_work),
	    QUERY_TEST(the_service_object_ends_new_work),
	    QUERY_TEST(both_signs_end_new_work),
	    QUERY_TEST(silent_connections_are_replaced),
	    QUERY_TEST(all_connections_silent_at_once),
	    QUERY_TEST(a_silent_platform_connection_is_replaced),
	    QUERY_TEST(a_crashing_request_is_contained),
	};

	return RUN_TESTS(argc, argv, tests);
}

/* Tests of servers that leave and return, of connections that stop responding,
 * and of requests that crash the servers that run them. */
#include "lib/harness_query.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Time after which a server that announces its leaving gets no new requests. */
#define LEAVE_REACTION_MS 3000

/* Number of queries that may be partial when all connections stop responding.
 * Such a connection delays a query to its deadline at most; after that, other
 * connections are used. */
#define MAX_PARTIAL 10

typedef enum { LEAVE_HEADER, LEAVE_OBJECT, LEAVE_BOTH } leave_signal_t;

/* Updates the object of a service: sets state and incarnation of server 1. */
static void
put_service(
    harness_t *harness, int service, const char *state, const char *incarnation)
{
	char *name = g_strdup_printf("slotplan-%d", service);
	char *path = g_strdup_printf("/v1/objects/service/%s", name);
	json_t *object = harness_get_json(harness->platform_address, path);
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
announce_leaving(
    harness_t *harness, leave_signal_t signal_kind, const char *incarnation)
{
	if (signal_kind != LEAVE_OBJECT)
		harness_set_faults(harness, query_server_name(1, 1),
		    "{\"draining\":true,\"drain_grace_ms\":60000}");
	if (signal_kind != LEAVE_HEADER)
		put_service(harness, 1, "leaving", incarnation);
}

/* After LEAVE_REACTION_MS of continued load, server 1 of service 1 must not get
 * any further requests. */
static void
check_no_new_requests(harness_t *harness, load_t *load)
{
	usec_t start = clock_monotonic();
	int64_t requests;

	while (clock_monotonic() - start < MS(LEAVE_REACTION_MS))
		load_wait(load, 5);
	requests =
	    harness_record_int(harness, query_server_name(1, 1), "requests");
	load_wait(load, 100);
	assert_int_equal(
	    harness_record_int(harness, query_server_name(1, 1), "requests"),
	    requests);
}

static void
check_return(harness_t *harness, load_t *load, const char *incarnation)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);
	char faults[64];
	int64_t before;

	snprintf(faults, sizeof(faults), "{\"restart\":\"%s\"}", incarnation);
	harness_set_faults(harness, query_server_name(1, 1), faults);
	before =
	    harness_record_int(harness, query_server_name(1, 1), "requests");
	put_service(harness, 1, "live", incarnation);
	while (harness_record_int(
		   harness, query_server_name(1, 1), "requests") < before + 5) {
		if (clock_monotonic() > until)
			fail_msg(
			    "incarnation %s gets no requests", incarnation);
		load_wait(load, 5);
	}
}

static void
check_leaving(harness_t *harness, leave_signal_t signal_kind)
{
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	load = load_start(harness, 6, 7);
	load_wait(load, 50);
	announce_leaving(harness, signal_kind, "i-1");
	check_no_new_requests(harness, load);
	/* The record is -1 when no request arrived after the announcement;
	 * assert_in_range() compares unsigned numbers. */
	if (signal_kind != LEAVE_OBJECT)
		assert_in_range(
		    harness_record_int(harness, query_server_name(1, 1),
			"work_after_drain_ms") +
			1,
		    0, LEAVE_REACTION_MS + 1);
	check_return(harness, load, "i-2");
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
}

/* Guards against new requests to a server that announces its leaving in a
 * header of its replies, and against a server that is not used after its
 * return. */
static void
the_drain_header_ends_new_work(void **state)
{
	check_leaving(*state, LEAVE_HEADER);
}

/* Like the_drain_header_ends_new_work(), but only the service object announces
 * that the server leaves. */
static void
the_service_object_ends_new_work(void **state)
{
	check_leaving(*state, LEAVE_OBJECT);
}

/* Like the_drain_header_ends_new_work(), but both the header and the service
 * object announce that the server leaves. */
static void
both_signs_end_new_work(void **state)
{
	check_leaving(*state, LEAVE_BOTH);
}

/* Guards against queries that wait for pooled connections which no longer
 * respond while new ones do, and against such connections that stay in the
 * pool. */
static void
silent_connections_are_replaced(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	load_stop(load);
	for (int i = 1; i <= QUERY_SERVICES; i++)
		for (int j = 1; j <= 2; j++)
			harness_set_faults(harness, query_server_name(i, j),
			    "{\"silence_connections\":true}");
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
}

/* Like silent_connections_are_replaced(), but all old connections to all
 * servers and to the platform stop responding. */
static void
all_connections_silent_at_once(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	load_stop(load);
	query_set_all_faults(harness, "{\"silence_connections\":true}");
	harness_post(harness->platform_address, "/fake/faults",
	    "{\"silence_connections\":true}");
	load = load_start(harness, 4, 3);
	load_wait(load, 60);
	counts = load_stop(load);
	assert_int_equal(counts.not_run + counts.no_response, 0);
	if (counts.partial > MAX_PARTIAL)
		fail_msg("%d of %d answers are partial", counts.partial,
		    counts.partial + counts.complete);
	query_wait_complete(harness, 0, 5, QUERY_WAIT_MS);
}

/* Guards against a node that no longer adopts configurations because the
 * connection of its platform watch stopped responding. */
static void
a_silent_platform_connection_is_replaced(void **state)
{
	static const version_map_t maps[] = {
	    {QUERY_VERSION, QUERY_SERVICES, {1, 2, 3, 4}},
	    {9, QUERY_SERVICES, {1, 2, 3, 4}}};
	harness_t *harness = *state;
	usec_t until;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	query_set_all_faults(harness, "{\"versions\":{\"reels\":[7,9]}}");
	harness_post(harness->platform_address, "/fake/faults",
	    "{\"silence_connections\":true}");
	query_put_index(harness, maps, 2);
	until = clock_monotonic() + MS(QUERY_WAIT_MS);
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
			const char *server = query_server_name(i, j);

			if (harness_record_int(harness, server, "crashes") == 0)
				continue;
			crashes +=
			    harness_record_int(harness, server, "crashes");
			harness_set_faults(
			    harness, server, "{\"restart\":\"i-1\"}");
		}
	return crashes;
}

/* Guards against a request that crashes one server after another when its
 * caller repeats it at each node. The first query sends an attempt to each
 * service at the same time, so that it may crash one server of each. The
 * request is then a suspect and runs alone, until a second crash is known and
 * it is refused. A service may send it once more before it learns of that
 * crash. So at most two servers of each service crash. Other callers' requests
 * must continue. */
static void
a_crashing_request_is_contained(void **state)
{
	static const char crashing_body[] = "the poison board";
	harness_t *harness = *state;
	int64_t crashes;
	load_counts_t counts;
	load_t *load;
	bool refused = false;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	query_set_all_faults(harness, "{\"crash_on\":\"poison\"}");
	load = load_start(harness, 4, 7);
	load_wait(load, 20);
	for (int i = 0; i < 12; i++) {
		http_reply_t reply = query_post(harness, i % 3, crashing_body);

		if (reply.status == 200) {
			assert_true(query_check_answer(&reply, crashing_body,
					QUERY_DEADLINE_MS)
					.answered < QUERY_SERVICES);
		} else {
			query_check_refusal(
			    &reply, 422, "crashes_servers", true);
			assert_in_range(
			    json_integer_value(json_object_get(
				json_object_get(reply.json, "error"),
				"retry_after_ms")),
			    1, 60000);
			refused = true;
		}
		http_reply_clear(&reply);
	}
	assert_true(refused);
	crashes = restart_crashed(harness);
	print_message("%lld servers crashed\n", (long long)crashes);
	assert_in_range(crashes, 1, 2 * QUERY_SERVICES);
	for (int i = 0; i < 3; i++)
		query_wait_complete(harness, i, 5, QUERY_WAIT_MS);
	load_wait(load, 40);
	counts = load_stop(load);
	assert_int_equal(counts.not_run + counts.no_response, 0);
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

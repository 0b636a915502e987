/* A reservation must run at most once, whatever fails between the caller and
 * the upstream. The executions are counted in the records of the upstream
 * servers. */
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define NODES 3
#define DEADLINE_MS 1000
#define SERVERS 2

typedef struct {
	harness_t *harness;
	int serving;	 /* index of the node that serves TRAFFIC_SERVICE */
	int caller_node; /* index of the node that the caller sends to */
	char key[64];
} scenario_t;

static scenario_t
start_scenario(harness_t *harness)
{
	scenario_t scenario = {.harness = harness};

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	scenario.serving = traffic_wait_serving(harness, TRAFFIC_SERVICE, ~0u);
	scenario.caller_node = (scenario.serving + 1) % NODES;
	traffic_make_key(scenario.key, "reel-4711");
	return scenario;
}

static void
set_platform_faults(const scenario_t *scenario, const char *faults)
{
	harness_post(
	    scenario->harness->platform_address, "/fake/faults", faults);
}

static void
set_server_faults(const scenario_t *scenario, const char *faults)
{
	for (int i = 1; i <= SERVERS; i++) {
		char server[32];

		snprintf(server, sizeof(server), TRAFFIC_SERVICE "-s%d", i);
		harness_set_faults(scenario->harness, server, faults);
	}
}

static background_reservation_t *
begin_reservation(const scenario_t *scenario)
{
	return traffic_reserve_start(
	    scenario->harness->nodes[scenario->caller_node].caller_address,
	    scenario->key, "reel 4711");
}

static int64_t
executions(const scenario_t *scenario)
{
	return harness_executions(scenario->harness, scenario->key);
}

static void
wait_executions(const scenario_t *scenario, int64_t minimum)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);

	while (executions(scenario) < minimum) {
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

static int64_t
claim_calls(const scenario_t *scenario)
{
	json_t *counters = harness_get_json(
	    scenario->harness->platform_address, "/fake/counters");
	int64_t calls =
	    json_integer_value(json_object_get(counters, "claim_calls"));

	json_decref(counters);
	return calls;
}

static void
wait_claim_calls(const scenario_t *scenario, int64_t minimum)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);

	while (claim_calls(scenario) < minimum) {
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

/* Waits until the platform has stored the claim of the key. */
static void
wait_claim_stored(const scenario_t *scenario)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);
	bool found = false;

	while (!found) {
		http_reply_t response =
		    harness_http("GET", scenario->harness->platform_address,
			"/v1/objects/claim", NULL, NULL, TRAFFIC_TIMEOUT_MS);

		found = strstr(response.body->str, scenario->key) != NULL;
		http_reply_clear(&response);
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

static void
wait_connections_made(const scenario_t *scenario, int64_t more_than)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);

	while (harness_record_int(scenario->harness, TRAFFIC_SERVICE "-s1",
		   "connections_made") +
		harness_record_int(scenario->harness, TRAFFIC_SERVICE "-s2",
		    "connections_made") <=
	    more_than) {
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

/* Repeats the reservation through a running node until its answer is final:
 * neither refused as not run nor in progress. */
static reply_t
repeat_until_settled(const scenario_t *scenario, int node)
{
	usec_t until = clock_monotonic() + MS(TRAFFIC_TIMEOUT_MS);
	reply_t reply;

	do {
		reply = traffic_reserve(
		    scenario->harness->nodes[node].caller_address,
		    scenario->key, "reel 4711");
		assert_false(reply.wrong);
		if (!reply.not_run && strcmp(reply.kind, "in_progress") != 0)
			return reply;
		g_usleep(20000);
	} while (clock_monotonic() < until);
	fail_msg(
	    "no final answer for the key: %d %s", reply.status, reply.kind);
	return reply;
}

/* Checks that the executions of the key agree with the reply. */
static void
check_executions(const scenario_t *scenario, const reply_t *reply)
{
	assert_false(reply->wrong);
	if (reply->status == 200)
		assert_int_equal(executions(scenario), 1);
	else if (reply->not_run)
		assert_int_equal(executions(scenario), 0);
	else
		assert_true(executions(scenario) <= 1);
}

static void
repeats_get_the_first_answer(void **state)
{
	scenario_t scenario = start_scenario(*state);
	reply_t first = traffic_reserve_finish(begin_reservation(&scenario));

	assert_int_equal(first.status, 200);
	assert_false(first.repeated);
	for (int node = 0; node < NODES; node++) {
		reply_t again = traffic_reserve(
		    scenario.harness->nodes[node].caller_address, scenario.key,
		    "reel 4711");

		assert_int_equal(again.status, 200);
		assert_true(again.repeated);
		assert_string_equal(again.body, first.body);
	}
	assert_int_equal(executions(&scenario), 1);
}

/* A repeat of a key with a different body must not run and must not get the
 * first request's answer. */
static void
a_key_is_bound_to_its_body(void **state)
{
	scenario_t scenario = start_scenario(*state);
	const char *address =
	    scenario.harness->nodes[scenario.caller_node].caller_address;
	reply_t reply = traffic_reserve_finish(begin_reservation(&scenario));

	assert_int_equal(reply.status, 200);
	reply = traffic_reserve(address, scenario.key, "reel 4712");
	assert_string_equal(reply.kind, "key_reused");
	assert_int_equal(executions(&scenario), 1);
}

/* The same key is sent through all nodes at once, while the platform is slow
 * enough for several nodes to write a claim. */
static void
a_key_through_all_nodes_at_once_runs_once(void **state)
{
	scenario_t scenario = start_scenario(*state);
	background_reservation_t *reservations[4 * NODES];
	int done = 0;

	set_platform_faults(&scenario, "{\"slow_ms\":50}");
	for (size_t i = 0; i < G_N_ELEMENTS(reservations); i++)
		reservations[i] = traffic_reserve_start(
		    scenario.harness->nodes[i % NODES].caller_address,
		    scenario.key, "reel 4711");
	for (size_t i = 0; i < G_N_ELEMENTS(reservations); i++) {
		reply_t reply = traffic_reserve_finish(reservations[i]);

		assert_false(reply.wrong);
		done += reply.status == 200;
	}
	assert_true(done > 0);
	assert_int_equal(executions(&scenario), 1);
}

static void
keys_older_than_the_window_are_refused(void **state)
{
	static const struct {
		int64_t age_s;
		const char *kind;
	} cases[] = {
	    {25 * 3600, "key_expired"},
	    {1000 * 3600, "key_expired"},
	    {-600, "invalid_request"},
	    {23 * 3600, ""},
	};
	scenario_t scenario = start_scenario(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		reply_t reply;

		snprintf(scenario.key, sizeof(scenario.key), "%lld-old",
		    (long long)(clock_wall() / USEC_PER_SEC - cases[i].age_s));
		reply = traffic_reserve_finish(begin_reservation(&scenario));
		assert_string_equal(reply.kind, cases[i].kind);
		assert_int_equal(
		    executions(&scenario), cases[i].kind[0] == '\0');
	}
}

/* When the platform is down, refuses the claim or does not store it in time,
 * the request must not run, then or later. Short delays and lost responses must
 * not lead to a second run. */
static void
a_failing_platform_never_makes_two_runs(void **state)
{
	static const struct {
		const char *faults;
		bool may_run;
	} cases[] = {
	    {"{\"down\":true}", false},
	    {"{\"refuse_writes\":1000}", false},
	    {"{\"slow_ms\":100}", true},
	    {"{\"slow_ms\":1200}", false},
	    {"{\"lose_answers\":1}", true},
	    {"{\"lose_answers\":3}", true},
	};
	scenario_t scenario = start_scenario(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char text[32];
		reply_t reply;

		snprintf(text, sizeof(text), "case-%zu", i);
		traffic_make_key(scenario.key, text);
		set_platform_faults(&scenario, cases[i].faults);
		reply = traffic_reserve_finish(begin_reservation(&scenario));
		check_executions(&scenario, &reply);
		if (!cases[i].may_run)
			assert_true(reply.not_run);
		set_platform_faults(&scenario,
		    "{\"down\":false,\"refuse_writes\":0,\"slow_ms\":0,"
		    "\"lose_answers\":0}");
		reply = repeat_until_settled(&scenario, scenario.caller_node);
		check_executions(&scenario, &reply);
		if (cases[i].may_run && reply.status == 200)
			assert_int_equal(executions(&scenario), 1);
	}
}

/* The claim is written, but the platform's response is lost: the node must read
 * the claim back, recognise it by its token, and run the reservation. */
static void
a_lost_answer_of_the_claim_is_read_back(void **state)
{
	scenario_t scenario = start_scenario(*state);
	reply_t reply;

	set_platform_faults(&scenario, "{\"lose_answers\":1}");
	reply = traffic_reserve_finish(begin_reservation(&scenario));
	assert_int_equal(reply.status, 200);
	assert_int_equal(executions(&scenario), 1);
}

/* The serving node is killed before its claim is stored: nothing has run, and a
 * repeat may run once. */
static void
serving_node_killed_before_the_claim(void **state)
{
	scenario_t scenario = start_scenario(*state);
	int64_t calls = claim_calls(&scenario);
	background_reservation_t *reservation;
	reply_t reply;

	set_platform_faults(&scenario, "{\"slow_ms\":600}");
	reservation = begin_reservation(&scenario);
	wait_claim_calls(&scenario, calls + 1);
	harness_kill_node(scenario.harness, scenario.serving);
	set_platform_faults(&scenario, "{\"slow_ms\":0}");
	reply = traffic_reserve_finish(reservation);
	assert_int_equal(executions(&scenario), 0);
	assert_int_not_equal(reply.status, 200);
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	check_executions(&scenario, &reply);
}

/* The serving node is killed after its claim is stored. A claim without an
 * outcome means that the request may have run, so no other node may dispatch
 * it. */
static void
serving_node_killed_between_claim_and_dispatch(void **state)
{
	scenario_t scenario = start_scenario(*state);
	background_reservation_t *reservation;
	reply_t reply;

	set_platform_faults(&scenario, "{\"hold_claims\":true}");
	reservation = begin_reservation(&scenario);
	wait_claim_stored(&scenario);
	harness_kill_node(scenario.harness, scenario.serving);
	set_platform_faults(&scenario, "{\"hold_claims\":false}");
	reply = traffic_reserve_finish(reservation);
	assert_string_equal(reply.kind, "outcome_unknown");
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&scenario), 0);
}

/* The serving node is killed while the server runs the request: the outcome is
 * unknown, and no repeat may run. */
static void
serving_node_killed_after_the_dispatch(void **state)
{
	scenario_t scenario = start_scenario(*state);
	background_reservation_t *reservation;
	reply_t reply;

	set_server_faults(&scenario, "{\"latency_factor\":200}");
	reservation = begin_reservation(&scenario);
	wait_executions(&scenario, 1);
	harness_kill_node(scenario.harness, scenario.serving);
	reply = traffic_reserve_finish(reservation);
	assert_string_equal(reply.kind, "outcome_unknown");
	set_server_faults(&scenario, "{\"latency_factor\":1}");
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&scenario), 1);
}

/* The serving node is killed while the request waits in a frozen server. The
 * server may run it when it resumes, so a repeat must not run. */
static void
serving_node_killed_while_the_server_is_frozen(void **state)
{
	scenario_t scenario = start_scenario(*state);
	int64_t connections_before =
	    harness_record_int(
		scenario.harness, TRAFFIC_SERVICE "-s1", "connections_made") +
	    harness_record_int(
		scenario.harness, TRAFFIC_SERVICE "-s2", "connections_made");
	background_reservation_t *reservation;
	reply_t reply;

	set_server_faults(&scenario, "{\"freeze\":true}");
	reservation = begin_reservation(&scenario);
	wait_connections_made(&scenario, connections_before);
	harness_kill_node(scenario.harness, scenario.serving);
	set_server_faults(&scenario, "{\"freeze\":false}");
	reply = traffic_reserve_finish(reservation);
	check_executions(&scenario, &reply);
	assert_false(reply.not_run);
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_true(executions(&scenario) <= 1);
}

/* The request has run, the platform is down when the outcome should be stored,
 * and the serving node is killed before the platform is back. */
static void
serving_node_killed_before_the_outcome_is_stored(void **state)
{
	scenario_t scenario = start_scenario(*state);
	background_reservation_t *reservation;
	reply_t reply;

	set_server_faults(&scenario, "{\"latency_factor\":40}");
	reservation = begin_reservation(&scenario);
	wait_executions(&scenario, 1);
	set_platform_faults(&scenario, "{\"down\":true}");
	reply = traffic_reserve_finish(reservation);
	check_executions(&scenario, &reply);
	assert_false(reply.not_run);
	harness_kill_node(scenario.harness, scenario.serving);
	set_platform_faults(&scenario, "{\"down\":false}");
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&scenario), 1);
}

/* The request has run, the platform is down when the outcome should be stored,
 * and the serving node keeps running: it must store the outcome as soon as the
 * platform is back, and a repeat must get that outcome. */
static void
outcomes_are_stored_after_an_outage(void **state)
{
	scenario_t scenario = start_scenario(*state);
	background_reservation_t *reservation;
	reply_t first, reply;

	set_server_faults(&scenario, "{\"latency_factor\":40}");
	reservation = begin_reservation(&scenario);
	wait_executions(&scenario, 1);
	set_platform_faults(&scenario, "{\"down\":true}");
	first = traffic_reserve_finish(reservation);
	set_platform_faults(&scenario, "{\"down\":false}");
	assert_int_equal(first.status, 200);
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_int_equal(reply.status, 200);
	assert_string_equal(reply.body, first.body);
	assert_int_equal(executions(&scenario), 1);
}

/* A node is paused after its claim was stored and resumes after other nodes
 * have taken over and the caller has its answer: it must not dispatch the
 * request. */
static void
a_paused_node_does_not_dispatch_when_it_wakes(void **state)
{
	scenario_t scenario = start_scenario(*state);
	process_t process = scenario.harness->nodes[scenario.serving].process;
	background_reservation_t *reservation;
	reply_t reply;

	set_platform_faults(&scenario, "{\"hold_claims\":true}");
	reservation = begin_reservation(&scenario);
	wait_claim_stored(&scenario);
	harness_signal(scenario.harness, process, SIGSTOP);
	set_platform_faults(&scenario, "{\"hold_claims\":false}");
	reply = traffic_reserve_finish(reservation);
	assert_string_equal(reply.kind, "outcome_unknown");
	traffic_wait_complete(scenario.harness, scenario.caller_node);
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_string_equal(reply.kind, "outcome_unknown");
	harness_signal(scenario.harness, process, SIGCONT);
	traffic_wait_complete(scenario.harness, scenario.serving);
	assert_int_equal(executions(&scenario), 0);
	/* The resumed node may release the claim, since it never sent the
	 * request; a repeat then runs for the first time. */
	reply = repeat_until_settled(&scenario, scenario.serving);
	check_executions(&scenario, &reply);
}

/* The server runs the request and closes the connection without a response.
 * libcurl resends a request when a reused connection is closed, which must not
 * happen to a reservation. */
static void
a_closed_connection_is_not_repeated(void **state)
{
	scenario_t scenario = start_scenario(*state);
	reply_t reply;

	/* Fill the connection pool, so that a connection could be reused. */
	for (int i = 0; i < 4; i++) {
		char key[64], text[32];

		snprintf(text, sizeof(text), "warm-%d", i);
		traffic_make_key(key, text);
		reply = traffic_reserve(
		    scenario.harness->nodes[scenario.caller_node]
			.caller_address,
		    key, "reel 1");
		assert_int_equal(reply.status, 200);
	}
	set_server_faults(&scenario, "{\"crash_on\":\"4711\"}");
	reply = traffic_reserve_finish(begin_reservation(&scenario));
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&scenario), 1);
	for (int i = 1; i <= SERVERS; i++) {
		char server[32];

		snprintf(server, sizeof(server), TRAFFIC_SERVICE "-s%d", i);
		harness_set_faults(scenario.harness, server,
		    "{\"crash_on\":\"\",\"restart\":\"i-1\"}");
	}
	reply = repeat_until_settled(&scenario, scenario.caller_node);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&scenario), 1);
}

/* Serving nodes are killed and restarted during a load of reservations. */
static void
kills_under_load_run_each_key_at_most_once(void **state)
{
	scenario_t scenario = start_scenario(*state);
	traffic_t *load = traffic_start(scenario.harness, true, 7, 6, 5);
	traffic_counts_t counts;

	for (int i = 0; i < 3; i++) {
		int serving = traffic_wait_serving(
		    scenario.harness, TRAFFIC_SERVICE, ~0u);

		traffic_wait(load, 20);
		harness_kill_node(scenario.harness, serving);
		traffic_set_nodes(load, 7u & ~(1u << serving));
		traffic_wait(load, 20);
		harness_start_node(scenario.harness, serving);
		harness_wait_node_ready(scenario.harness, serving);
		traffic_set_nodes(load, 7);
	}
	traffic_wait(load, 20);
	counts = traffic_stop(scenario.harness, load);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(scenario.harness);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    HARNESS_TEST(repeats_get_the_first_answer),
	    HARNESS_TEST(a_key_is_bound_to_its_body),
	    HARNESS_TEST(a_key_through_all_nodes_at_once_runs_once),
	    HARNESS_TEST(keys_older_than_the_window_are_refused),
	    HARNESS_TEST(a_failing_platform_never_makes_two_runs),
	    HARNESS_TEST(a_lost_answer_of_the_claim_is_read_back),
	    HARNESS_TEST(serving_node_killed_before_the_claim),
	    HARNESS_TEST(serving_node_killed_between_claim_and_dispatch),
	    HARNESS_TEST(serving_node_killed_after_the_dispatch),
	    HARNESS_TEST(serving_node_killed_while_the_server_is_frozen),
	    HARNESS_TEST(serving_node_killed_before_the_outcome_is_stored),
	    HARNESS_TEST(outcomes_are_stored_after_an_outage),
	    HARNESS_TEST(a_paused_node_does_not_dispatch_when_it_wakes),
	    HARNESS_TEST(a_closed_connection_is_not_repeated),
	    HARNESS_TEST(kills_under_load_run_each_key_at_most_once),
	};

	return RUN_TESTS(argc, argv, tests);
}

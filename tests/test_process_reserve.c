/* Guards the rule that a reservation runs at most once, whatever fails between
 * the caller and the upstream. The upstream servers' records are the judge. */
#include "lib/traffic.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define NODES 3
#define DEADLINE_MS 1000
#define SERVERS 2

typedef struct {
	harness_t *harness;
	int serving; /* node that serves LOAD_SERVICE */
	int other;   /* node that the caller uses */
	char key[64];
} stage_t;

static stage_t
set_stage(harness_t *harness)
{
	stage_t stage = {.harness = harness};

	traffic_start_tier(harness, NODES, DEADLINE_MS);
	stage.serving = traffic_wait_serving(harness, LOAD_SERVICE, ~0u);
	stage.other = (stage.serving + 1) % NODES;
	traffic_make_key(stage.key, "reel-4711");
	return stage;
}

static void
order_platform(const stage_t *stage, const char *order)
{
	harness_order(stage->harness->platform, "/fake/faults", order);
}

static void
order_servers(const stage_t *stage, const char *order)
{
	for (int i = 1; i <= SERVERS; i++) {
		char server[32];

		snprintf(server, sizeof(server), LOAD_SERVICE "-s%d", i);
		harness_fault(stage->harness, server, order);
	}
}

static caller_t *
begin(const stage_t *stage)
{
	return caller_begin(stage->harness->nodes[stage->other].caller,
	    stage->key, "reel 4711");
}

static int64_t
executions(const stage_t *stage)
{
	return harness_executions(stage->harness, stage->key);
}

static void
wait_executions(const stage_t *stage, int64_t wanted)
{
	usec_t until = clock_monotonic() + MS(LOAD_CALL_MS);

	while (executions(stage) < wanted) {
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

static int64_t
claim_calls(const stage_t *stage)
{
	json_t *counters =
	    harness_fetch(stage->harness->platform, "/fake/counters");
	int64_t calls =
	    json_integer_value(json_object_get(counters, "claim_calls"));

	json_decref(counters);
	return calls;
}

static void
wait_claim_calls(const stage_t *stage, int64_t wanted)
{
	usec_t until = clock_monotonic() + MS(LOAD_CALL_MS);

	while (claim_calls(stage) < wanted) {
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

/* Waits until the platform has stored a claim of the key. */
static void
wait_claim_stored(const stage_t *stage)
{
	usec_t until = clock_monotonic() + MS(LOAD_CALL_MS);
	bool found = false;

	while (!found) {
		http_reply_t result =
		    harness_http("GET", stage->harness->platform,
			"/v1/objects/claim", NULL, NULL, LOAD_CALL_MS);

		found = strstr(result.body->str, stage->key) != NULL;
		http_reply_clear(&result);
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

static void
wait_connections_made(const stage_t *stage, int64_t more_than)
{
	usec_t until = clock_monotonic() + MS(LOAD_CALL_MS);

	while (harness_record_int(
		   stage->harness, LOAD_SERVICE "-s1", "connections_made") +
		harness_record_int(
		    stage->harness, LOAD_SERVICE "-s2", "connections_made") <=
	    more_than) {
		assert_true(clock_monotonic() < until);
		g_usleep(2000);
	}
}

/* Repeats the key through a live node until it has a lasting answer. */
static reply_t
repeat_until_settled(const stage_t *stage, int node)
{
	usec_t until = clock_monotonic() + MS(LOAD_CALL_MS);
	reply_t reply;

	do {
		reply = traffic_reserve(stage->harness->nodes[node].caller,
		    stage->key, "reel 4711");
		assert_false(reply.wrong);
		if (!reply.not_run && strcmp(reply.kind, "in_progress") != 0)
			return reply;
		g_usleep(20000);
	} while (clock_monotonic() < until);
	fail_msg("the key is not settled: %d %s", reply.status, reply.kind);
	return reply;
}

/* What the record must say after an answer. */
static void
judge(const stage_t *stage, const reply_t *reply)
{
	assert_false(reply->wrong);
	if (reply->status == 200)
		assert_int_equal(executions(stage), 1);
	else if (reply->not_run)
		assert_int_equal(executions(stage), 0);
	else
		assert_true(executions(stage) <= 1);
}

static void
repeats_get_the_first_answer(void **state)
{
	stage_t stage = set_stage(*state);
	reply_t first = caller_end(begin(&stage));

	assert_int_equal(first.status, 200);
	assert_false(first.repeated);
	for (int node = 0; node < NODES; node++) {
		reply_t again = traffic_reserve(
		    stage.harness->nodes[node].caller, stage.key, "reel 4711");

		assert_int_equal(again.status, 200);
		assert_true(again.repeated);
		assert_string_equal(again.body, first.body);
	}
	assert_int_equal(executions(&stage), 1);
}

/* The same key with another body is another request: it must not run and must
 * not get the first one's answer. */
static void
a_key_is_bound_to_its_body(void **state)
{
	stage_t stage = set_stage(*state);
	const char *address = stage.harness->nodes[stage.other].caller;
	reply_t reply = caller_end(begin(&stage));

	assert_int_equal(reply.status, 200);
	reply = traffic_reserve(address, stage.key, "reel 4712");
	assert_string_equal(reply.kind, "key_reused");
	assert_int_equal(executions(&stage), 1);
}

/* Two nodes at once, while the platform is slow enough for both to write. */
static void
a_key_through_all_nodes_at_once_runs_once(void **state)
{
	stage_t stage = set_stage(*state);
	caller_t *callers[4 * NODES];
	int done = 0;

	order_platform(&stage, "{\"slow_ms\":50}");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		callers[i] =
		    caller_begin(stage.harness->nodes[i % NODES].caller,
			stage.key, "reel 4711");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		reply_t reply = caller_end(callers[i]);

		assert_false(reply.wrong);
		done += reply.status == 200;
	}
	assert_true(done > 0);
	assert_int_equal(executions(&stage), 1);
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
	stage_t stage = set_stage(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		reply_t reply;

		snprintf(stage.key, sizeof(stage.key), "%lld-old",
		    (long long)(clock_wall() / USEC_PER_SEC - cases[i].age_s));
		reply = caller_end(begin(&stage));
		assert_string_equal(reply.kind, cases[i].kind);
		assert_int_equal(executions(&stage), cases[i].kind[0] == '\0');
	}
}

/* A store that is down before the claim, or that refuses it, means that nothing
 * runs, then or later; a slow one may only delay. */
static void
a_failing_platform_never_makes_two_runs(void **state)
{
	static const struct {
		const char *order;
		bool may_run;
	} cases[] = {
	    {"{\"down\":true}", false},
	    {"{\"refuse_writes\":1000}", false},
	    {"{\"slow_ms\":100}", true},
	    {"{\"slow_ms\":1200}", false},
	    {"{\"lose_answers\":1}", true},
	    {"{\"lose_answers\":3}", true},
	};
	stage_t stage = set_stage(*state);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char text[32];
		reply_t reply;

		snprintf(text, sizeof(text), "case-%zu", i);
		traffic_make_key(stage.key, text);
		order_platform(&stage, cases[i].order);
		reply = caller_end(begin(&stage));
		judge(&stage, &reply);
		if (!cases[i].may_run)
			assert_true(reply.not_run);
		order_platform(&stage,
		    "{\"down\":false,\"refuse_writes\":0,\"slow_ms\":0,"
		    "\"lose_answers\":0}");
		reply = repeat_until_settled(&stage, stage.other);
		judge(&stage, &reply);
		if (cases[i].may_run && reply.status == 200)
			assert_int_equal(executions(&stage), 1);
	}
}

/* The claim's write takes effect, its answer is lost: the claim is read back
 * by its token, and the reservation runs. */
static void
a_lost_answer_of_the_claim_is_read_back(void **state)
{
	stage_t stage = set_stage(*state);
	reply_t reply;

	order_platform(&stage, "{\"lose_answers\":1}");
	reply = caller_end(begin(&stage));
	assert_int_equal(reply.status, 200);
	assert_int_equal(executions(&stage), 1);
}

/* The serving node ends before its claim is stored: nothing has run, and a
 * repeat may run once. */
static void
serving_node_killed_before_the_claim(void **state)
{
	stage_t stage = set_stage(*state);
	int64_t calls = claim_calls(&stage);
	caller_t *caller;
	reply_t reply;

	order_platform(&stage, "{\"slow_ms\":600}");
	caller = begin(&stage);
	wait_claim_calls(&stage, calls + 1);
	harness_kill_node(stage.harness, stage.serving);
	order_platform(&stage, "{\"slow_ms\":0}");
	reply = caller_end(caller);
	assert_int_equal(executions(&stage), 0);
	assert_int_not_equal(reply.status, 200);
	reply = repeat_until_settled(&stage, stage.other);
	judge(&stage, &reply);
}

/* A stored claim without an outcome says that the request may have run: no
 * other node may dispatch it. */
static void
serving_node_killed_between_claim_and_dispatch(void **state)
{
	stage_t stage = set_stage(*state);
	caller_t *caller;
	reply_t reply;

	order_platform(&stage, "{\"hold_claims\":true}");
	caller = begin(&stage);
	wait_claim_stored(&stage);
	harness_kill_node(stage.harness, stage.serving);
	order_platform(&stage, "{\"hold_claims\":false}");
	reply = caller_end(caller);
	assert_string_equal(reply.kind, "outcome_unknown");
	reply = repeat_until_settled(&stage, stage.other);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&stage), 0);
}

/* The server has the request and runs it while the serving node ends. */
static void
serving_node_killed_after_the_dispatch(void **state)
{
	stage_t stage = set_stage(*state);
	caller_t *caller;
	reply_t reply;

	order_servers(&stage, "{\"latency_factor\":200}");
	caller = begin(&stage);
	wait_executions(&stage, 1);
	harness_kill_node(stage.harness, stage.serving);
	reply = caller_end(caller);
	assert_string_equal(reply.kind, "outcome_unknown");
	order_servers(&stage, "{\"latency_factor\":1}");
	reply = repeat_until_settled(&stage, stage.other);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&stage), 1);
}

/* The request waits in a frozen server when the serving node ends, and runs
 * when the server goes on: the repeat must not run as well. */
static void
serving_node_killed_while_the_server_is_frozen(void **state)
{
	stage_t stage = set_stage(*state);
	int64_t made = harness_record_int(stage.harness, LOAD_SERVICE "-s1",
			   "connections_made") +
	    harness_record_int(
		stage.harness, LOAD_SERVICE "-s2", "connections_made");
	caller_t *caller;
	reply_t reply;

	order_servers(&stage, "{\"freeze\":true}");
	caller = begin(&stage);
	wait_connections_made(&stage, made);
	harness_kill_node(stage.harness, stage.serving);
	order_servers(&stage, "{\"freeze\":false}");
	reply = caller_end(caller);
	judge(&stage, &reply);
	assert_false(reply.not_run);
	reply = repeat_until_settled(&stage, stage.other);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_true(executions(&stage) <= 1);
}

/* The request has run; the store is down when its outcome is to be stored, and
 * the node ends before the store answers again. */
static void
serving_node_killed_before_the_outcome_is_stored(void **state)
{
	stage_t stage = set_stage(*state);
	caller_t *caller;
	reply_t reply;

	order_servers(&stage, "{\"latency_factor\":40}");
	caller = begin(&stage);
	wait_executions(&stage, 1);
	order_platform(&stage, "{\"down\":true}");
	reply = caller_end(caller);
	judge(&stage, &reply);
	assert_false(reply.not_run);
	harness_kill_node(stage.harness, stage.serving);
	order_platform(&stage, "{\"down\":false}");
	reply = repeat_until_settled(&stage, stage.other);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&stage), 1);
}

/* The same without the end of the node: the outcome is stored as soon as the
 * store answers, and a repeat gets it. */
static void
outcomes_are_stored_after_an_outage(void **state)
{
	stage_t stage = set_stage(*state);
	caller_t *caller;
	reply_t first, reply;

	order_servers(&stage, "{\"latency_factor\":40}");
	caller = begin(&stage);
	wait_executions(&stage, 1);
	order_platform(&stage, "{\"down\":true}");
	first = caller_end(caller);
	order_platform(&stage, "{\"down\":false}");
	assert_int_equal(first.status, 200);
	reply = repeat_until_settled(&stage, stage.other);
	assert_int_equal(reply.status, 200);
	assert_string_equal(reply.body, first.body);
	assert_int_equal(executions(&stage), 1);
}

/* A node is paused after its claim was stored and wakes when the others have
 * taken over and the caller has given up: it must not dispatch. */
static void
a_paused_node_does_not_dispatch_when_it_wakes(void **state)
{
	stage_t stage = set_stage(*state);
	process_t process = stage.harness->nodes[stage.serving].process;
	caller_t *caller;
	reply_t reply;

	order_platform(&stage, "{\"hold_claims\":true}");
	caller = begin(&stage);
	wait_claim_stored(&stage);
	harness_signal(stage.harness, process, SIGSTOP);
	order_platform(&stage, "{\"hold_claims\":false}");
	reply = caller_end(caller);
	assert_string_equal(reply.kind, "outcome_unknown");
	traffic_wait_complete(stage.harness, stage.other);
	reply = repeat_until_settled(&stage, stage.other);
	assert_string_equal(reply.kind, "outcome_unknown");
	harness_signal(stage.harness, process, SIGCONT);
	traffic_wait_complete(stage.harness, stage.serving);
	assert_int_equal(executions(&stage), 0);
	/* The woken node may release the claim, since it never sent the
	 * request; then a repeat is the first run. */
	reply = repeat_until_settled(&stage, stage.serving);
	judge(&stage, &reply);
}

/* The server runs the request and closes the connection without an answer;
 * libcurl repeats a request on a reused connection that dies. */
static void
a_closed_connection_is_not_repeated(void **state)
{
	stage_t stage = set_stage(*state);
	reply_t reply;

	/* Warm connections first. */
	for (int i = 0; i < 4; i++) {
		char key[64], text[32];

		snprintf(text, sizeof(text), "warm-%d", i);
		traffic_make_key(key, text);
		reply = traffic_reserve(
		    stage.harness->nodes[stage.other].caller, key, "reel 1");
		assert_int_equal(reply.status, 200);
	}
	order_servers(&stage, "{\"crash_on\":\"4711\"}");
	reply = caller_end(begin(&stage));
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&stage), 1);
	for (int i = 1; i <= SERVERS; i++) {
		char server[32];

		snprintf(server, sizeof(server), LOAD_SERVICE "-s%d", i);
		harness_fault(stage.harness, server,
		    "{\"crash_on\":\"\",\"restart\":\"i-1\"}");
	}
	reply = repeat_until_settled(&stage, stage.other);
	assert_string_equal(reply.kind, "outcome_unknown");
	assert_int_equal(executions(&stage), 1);
}

/* Many reservations while serving nodes end and start again. */
static void
kills_under_load_run_each_key_at_most_once(void **state)
{
	stage_t stage = set_stage(*state);
	traffic_t *load = traffic_start(stage.harness, true, 7, 6, 5);
	traffic_counts_t counts;

	for (int i = 0; i < 3; i++) {
		int serving =
		    traffic_wait_serving(stage.harness, LOAD_SERVICE, ~0u);

		traffic_wait(load, 20);
		harness_kill_node(stage.harness, serving);
		traffic_set_nodes(load, 7u & ~(1u << serving));
		traffic_wait(load, 20);
		harness_start_node(stage.harness, serving);
		harness_wait_node(stage.harness, serving);
		traffic_set_nodes(load, 7);
	}
	traffic_wait(load, 20);
	counts = traffic_stop(stage.harness, load);
	assert_int_equal(counts.wrong, 0);
	traffic_check_caps(stage.harness);
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

/* A query that is refused as not run must not have reached a server. The tests
 * read the servers' records before and after each refused query. */
#include "lib/harness_query.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

typedef struct {
	const char *name;
	const char *method;
	const char *path;
	const char *headers[4];
	size_t body_size;
	int status;
	const char *kind;
} refusal_t;

#define AUTHORISED "Authorization: Bearer " QUERY_KEY

static const refusal_t refusals[] = {
    {"no key", "POST", "/v1/query/reels", {NULL}, 8, 401, "unauthorised"},
    {"bad key", "POST", "/v1/query/reels", {"Authorization: Bearer no"}, 8, 401,
	"unauthorised"},
    {"other scheme", "POST", "/v1/query/reels", {"Authorization: Basic eA=="},
	8, 401, "unauthorised"},
    {"forbidden index", "POST", "/v1/query/motifs", {AUTHORISED}, 8, 403,
	"forbidden"},
    {"forbidden service", "POST", "/v1/reserve/slotplan-1",
	{AUTHORISED, "Idempotency-Key: 1796362000-a"}, 8, 403, "forbidden"},
    {"no such path", "POST", "/v1/queries", {AUTHORISED}, 8, 404, "not_found"},
    {"GET", "GET", "/v1/query/reels", {AUTHORISED}, 0, 400, "invalid_request"},
    {"not a name", "POST", "/v1/query/Re%20els", {AUTHORISED}, 8, 400,
	"invalid_request"},
    {"deadline zero", "POST", "/v1/query/reels",
	{AUTHORISED, "X-Deadline-Ms: 0"}, 8, 400, "invalid_request"},
    {"deadline text", "POST", "/v1/query/reels",
	{AUTHORISED, "X-Deadline-Ms: soon"}, 8, 400, "invalid_request"},
    {"deadline negative", "POST", "/v1/query/reels",
	{AUTHORISED, "X-Deadline-Ms: -5"}, 8, 400, "invalid_request"},
    {"body over 1 MB", "POST", "/v1/query/reels", {AUTHORISED}, 1048577, 413,
	"too_large"},
};

static void
check_refusal(harness_t *harness, const refusal_t *refusal)
{
	char *body = g_strnfill(refusal->body_size, 'b');
	int64_t before = query_settled_requests(harness);
	http_reply_t reply = harness_http(refusal->method,
	    harness->nodes[0].caller_address, refusal->path, refusal->headers,
	    refusal->body_size > 0 ? body : NULL, QUERY_WAIT_MS);

	print_message("%s\n", refusal->name);
	query_check_refusal(&reply, refusal->status, refusal->kind, true);
	assert_int_equal(query_settled_requests(harness), before);
	http_reply_clear(&reply);
	g_free(body);
}

/* Guards against invalid requests that are refused as not run although they
 * reached a server. */
static void
faulty_requests_reach_no_server(void **state)
{
	harness_t *harness = *state;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		check_refusal(harness, &refusals[i]);
	query_check_complete(harness, 0);
}

/* Sends queries until one is refused with @kind. The refused one must not have
 * reached a server. */
static void
check_until_refused(
    harness_t *harness, const char *key, int status, const char *kind)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

	for (;;) {
		int64_t before = query_settled_requests(harness);
		char *body = query_new_body();
		http_reply_t reply = query_post_as(
		    harness->nodes[0].caller_address, key, body, 0);
		int status_seen = reply.status;

		if (status_seen != 200) {
			query_check_refusal(&reply, status, kind, true);
			assert_int_equal(
			    query_settled_requests(harness), before);
		}
		http_reply_clear(&reply);
		g_free(body);
		if (status_seen != 200)
			return;
		assert_true(clock_monotonic() < until);
	}
}

/* Guards against queries over the contract's rate that run, or that are refused
 * after they ran. */
static void
a_query_over_the_rate_is_not_run(void **state)
{
	harness_t *harness = *state;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	query_put_contract(harness, "small", "small-key", 0.2, 10, 1000);
	for (int i = 0; i < 2; i++) {
		usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);
		int status;

		do {
			http_reply_t reply =
			    query_post_as(harness->nodes[i].caller_address,
				"small-key", "x", 0);

			status = reply.status;
			http_reply_clear(&reply);
			assert_true(clock_monotonic() < until);
		} while (status == 401);
	}
	check_until_refused(harness, "small-key", 429, "rate_exceeded");
}

typedef struct {
	harness_t *harness;
	const char *body;
	int deadline_ms;
	http_reply_t reply;
} slow_query_t;

static gpointer
run_slow_query(gpointer context)
{
	slow_query_t *query = context;

	query->reply = query_post_as(query->harness->nodes[0].caller_address,
	    "single-key", query->body, query->deadline_ms);
	return NULL;
}

/* Guards against queries over the contract's concurrency that run. All servers
 * are slowed down while a first query runs; the concurrent ones must not reach
 * them. */
static void
a_query_over_the_concurrency_is_not_run(void **state)
{
	enum { CONCURRENT = 6 };
	harness_t *harness = *state;
	slow_query_t first = {harness, "held", 0, {0}}, concurrent[CONCURRENT];
	GThread *thread, *threads[CONCURRENT];
	int64_t before;
	usec_t until;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 1});
	query_put_contract(harness, "single", "single-key", 1000, 1, 1500);
	until = clock_monotonic() + MS(QUERY_WAIT_MS);
	do {
		if (first.reply.body != NULL)
			http_reply_clear(&first.reply);
		first.reply = query_post_as(
		    harness->nodes[0].caller_address, "single-key", "first", 0);
		assert_true(clock_monotonic() < until);
	} while (first.reply.status != 200);
	http_reply_clear(&first.reply);
	query_set_all_faults(
	    harness, "{\"latency_factor\":2000,\"watch\":\"further\"}");
	before = query_settled_requests(harness);
	thread = g_thread_new("first", run_slow_query, &first);
	while (
	    harness_record_sum(harness, "requests") < before + QUERY_SERVICES)
		g_usleep(1000);
	for (int i = 0; i < CONCURRENT; i++) {
		/* The deadline is earlier than the end of the first query. */
		concurrent[i] = (slow_query_t){harness, "further", 300, {0}};
		threads[i] =
		    g_thread_new("further", run_slow_query, &concurrent[i]);
	}
	for (int i = 0; i < CONCURRENT; i++)
		g_thread_join(threads[i]);
	g_thread_join(thread);
	for (int i = 0; i < CONCURRENT; i++) {
		query_check_refusal(
		    &concurrent[i].reply, 429, "concurrency_exceeded", true);
		http_reply_clear(&concurrent[i].reply);
	}
	query_check_answer(&first.reply, "held", 1500);
	http_reply_clear(&first.reply);
	query_settled_requests(harness);
	assert_int_equal(harness_record_sum(harness, "watched"), 0);
}

/* Guards against a query of an index without servers that runs in part, or that
 * is refused with another error than not_served. */
static void
an_index_without_a_service_is_not_run(void **state)
{
	harness_t *harness = *state;
	const contract_spec_t spec = {
	    "ghosts", "ghost-key", "ghosts", "", 1000, 100, 1000, 24, false};
	const char *headers[] = {"Authorization: Bearer ghost-key", NULL};
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);
	http_reply_t reply = {0};
	int64_t before;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	harness_put_object(harness, "index", "ghosts",
	    json_pack("{s:s,s:i,s:[{s:i,s:[s]}]}", "index", "ghosts", "current",
		1, "versions", "version", 1, "shards", "ghost"));
	harness_put_contract(harness, &spec);
	before = query_settled_requests(harness);
	do {
		if (reply.body != NULL)
			http_reply_clear(&reply);
		reply = harness_http("POST", harness->nodes[0].caller_address,
		    "/v1/query/ghosts", headers, "x", QUERY_WAIT_MS);
		assert_true(clock_monotonic() < until);
	} while (reply.status == 401 || reply.status == 429);
	query_check_refusal(&reply, 503, "not_served", true);
	http_reply_clear(&reply);
	assert_int_equal(query_settled_requests(harness), before);
}

/* Guards against a node that has lost the platform and its peers and continues
 * to use a configuration that may no longer be in force. */
static void
an_isolated_node_runs_nothing(void **state)
{
	harness_t *harness = *state;
	usec_t until;
	int64_t before;
	http_reply_t reply = {0};

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	harness_kill_node(harness, 1);
	harness_kill(harness, harness->platform_process);
	harness_wait_status(
	    harness->nodes[0].operator_address, "/readyz", 503, QUERY_WAIT_MS);
	until = clock_monotonic() + MS(QUERY_WAIT_MS);
	do {
		if (reply.body != NULL)
			http_reply_clear(&reply);
		before = query_settled_requests(harness);
		reply = query_post(harness, 0, "isolated");
		assert_true(clock_monotonic() < until);
	} while (reply.status == 200);
	query_check_refusal(&reply, 503, "isolated", true);
	http_reply_clear(&reply);
	assert_int_equal(query_settled_requests(harness), before);
}

/* Guards against a node that runs queries before it has any configuration. */
static void
a_node_without_configuration_runs_nothing(void **state)
{
	harness_t *harness = *state;
	http_reply_t reply = {0};
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);
	int64_t before;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 1});
	harness_kill_node(harness, 0);
	harness_kill(harness, harness->platform_process);
	before = query_settled_requests(harness);
	harness_start_node(harness, 0);
	do {
		if (reply.body != NULL)
			http_reply_clear(&reply);
		reply = query_post(harness, 0, "early");
		assert_true(clock_monotonic() < until);
	} while (reply.status == 0);
	assert_int_equal(reply.status, 503);
	assert_true(json_is_true(
	    json_object_get(json_object_get(reply.json, "error"), "not_run")));
	http_reply_clear(&reply);
	assert_int_equal(query_settled_requests(harness), before);
}

/* Guards against a planned stop that aborts queries, or that causes missing
 * shards while the node's services move to their standbys. */
static void
a_stopping_node_interrupts_no_query(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;
	int status;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	load = load_start(harness, 6, 3);
	load_wait(load, 30);
	harness_signal(harness, harness->nodes[2].process, SIGTERM);
	status = harness_wait_exit(harness, harness->nodes[2].process, 40000);
	harness->nodes[2].process = -1;
	load_wait(load, 30);
	counts = load_stop(load);
	assert_int_equal(status, 0);
	if (counts.partial + counts.not_run + counts.no_response > 0)
		fail_msg(
		    "%d complete, %d partial, %d not run, %d without response",
		    counts.complete, counts.partial, counts.not_run,
		    counts.no_response);
}

/* Guards against shed requests that count as run, and against queries beyond
 * the servers' capacity that exceed the caps instead of being refused. */
static void
too_many_queries_are_refused_or_named(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness,
	    &(query_tier_settings_t){.nodes = 2, .p50_ms = 150, .p99_ms = 200});
	load = load_start(harness, 48, 3);
	load_wait(load, 150);
	counts = load_stop(load);
	assert_int_equal(counts.no_response, 0);
	print_message("%d complete, %d partial, %d not run\n", counts.complete,
	    counts.partial, counts.not_run);
	assert_true(counts.complete > 0);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    QUERY_TEST(faulty_requests_reach_no_server),
	    QUERY_TEST(a_query_over_the_rate_is_not_run),
	    QUERY_TEST(a_query_over_the_concurrency_is_not_run),
	    QUERY_TEST(an_index_without_a_service_is_not_run),
	    QUERY_TEST(an_isolated_node_runs_nothing),
	    QUERY_TEST(a_node_without_configuration_runs_nothing),
	    QUERY_TEST(a_stopping_node_interrupts_no_query),
	    QUERY_TEST(too_many_queries_are_refused_or_named),
	};

	return RUN_TESTS(argc, argv, tests);
}

/* True coverage: what an answer says about its shards while servers and serving
 * nodes fail in every way that the stand-ins can cause. */
#include "lib/harness_query.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define SHORT_MS 400

typedef struct {
	const char *order;
	const char *reason; /* of the missing shard; NULL: any */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"{\"freeze\":true}", "timeout"},
    {"{\"lost\":true}", NULL},
    {"{\"latency_factor\":2000}", "timeout"},
    {"{\"shed\":true}", NULL},
    {"{\"fail\":true}", NULL},
    {"{\"lie\":\"shard\"}", NULL},
    {"{\"lie\":\"version\"}", NULL},
    {"{\"lie\":\"request\"}", NULL},
    {"{\"lie\":\"cut\"}", NULL},
    {"{\"lie\":\"repeat\"}", NULL},
    {"{\"versions\":{\"reels\":[]}}", "version_gone"},
};

#define HEALTHY                                                  \
	"{\"freeze\":false,\"latency_factor\":1,\"shed\":false," \
	"\"fail\":false,\"lie\":\"none\",\"versions\":{\"reels\":[7]}}"

/* A server that was lost needs a restart, which keeps its other faults. */
static void
heal(harness_t *harness, int service, int server, const char *order)
{
	if (strstr(order, "lost") != NULL)
		harness_fault(harness, query_server(service, server),
		    "{\"restart\":\"i-1\"}");
	harness_fault(harness, query_server(service, server), HEALTHY);
}

/* Guards against shards that are claimed, left out without a word, or waited
 * for past the deadline, when every server of one service has a fault; the
 * other shards must not suffer. */
static void
a_failed_service_is_missing_and_named(void **state)
{
	harness_t *harness = *state;

	query_start_world(harness, &(world_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		const fault_case_t *fault = &fault_cases[i];

		query_service_fault(harness, 2, fault->order);
		for (int j = 0; j < 4; j++) {
			char *body = query_new_body();
			http_reply_t result =
			    query_post_as(harness->nodes[j % 2].caller,
				QUERY_KEY, body, SHORT_MS);
			coverage_t coverage =
			    query_check_answer(&result, body, SHORT_MS);

			if (coverage.answered != QUERY_SERVICES - 1 ||
			    coverage.reasons[1][0] == '\0' ||
			    (fault->reason != NULL &&
				strcmp(coverage.reasons[1], fault->reason) !=
				    0))
				fail_msg(
				    "%s: %s", fault->order, result.body->str);
			http_reply_clear(&result);
			g_free(body);
		}
		for (int j = 1; j <= QUERY_SERVERS; j++)
			heal(harness, 2, j, fault->order);
		query_wait_complete(harness, 0, 3, QUERY_ENOUGH_MS);
	}
}

/* Guards against shards that are missing although two of the three replicas
 * of each service work. */
static void
one_failed_replica_costs_no_shard(void **state)
{
	harness_t *harness = *state;

	query_start_world(harness, &(world_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		load_result_t result;
		load_t *load;

		for (int j = 1; j <= QUERY_SERVICES; j++)
			harness_fault(harness, query_server(j, 1 + j % 3),
			    fault_cases[i].order);
		load = load_start(harness, 3, 3);
		load_wait(load, 30);
		result = load_stop(load);
		if (result.partial + result.refused + result.broken > 0)
			fail_msg("%s: %d complete, %d partial, %d refused",
			    fault_cases[i].order, result.complete,
			    result.partial, result.refused);
		for (int j = 1; j <= QUERY_SERVICES; j++)
			heal(harness, j, 1 + j % 3, fault_cases[i].order);
	}
}

static void
count_shards(harness_t *harness, int deadline_ms, int *answered, int *missing)
{
	char *body = query_new_body();
	http_reply_t result = query_post_as(
	    harness->nodes[0].caller, QUERY_KEY, body, deadline_ms);
	coverage_t coverage = query_check_answer(&result, body, deadline_ms);

	for (int i = 0; i < coverage.total; i++)
		if (coverage.reasons[i][0] != '\0')
			assert_string_equal(coverage.reasons[i], "timeout");
	*answered += coverage.answered;
	*missing += coverage.total - coverage.answered;
	http_reply_clear(&result);
	g_free(body);
}

/* Guards against replies that arrive around the deadline and are counted on
 * both sides, or on neither; the deadline is a usual time of the servers. */
static void
replies_on_the_way_at_the_deadline_are_missing(void **state)
{
	harness_t *harness = *state;
	int answered = 0, missing = 0;

	query_start_world(
	    harness, &(world_t){.nodes = 2, .p50_ms = 40, .p99_ms = 100});
	for (int i = 0; i < 60; i++)
		count_shards(harness, 30 + i % 4 * 10, &answered, &missing);
	assert_true(answered > 0);
	assert_true(missing > 0);
	query_wait_complete(harness, 0, 3, QUERY_ENOUGH_MS);
}

/* The node that serves @service, by the assignment. */
static int
serving_node(harness_t *harness, const char *service)
{
	json_t *object =
	    harness_fetch(harness->platform, "/v1/objects/assignment/cell-1");
	json_t *services =
	    json_object_get(json_object_get(object, "value"), "services");
	int found = -1;
	size_t i;
	json_t *entry;

	json_array_foreach (services, i, entry) {
		const char *name = json_string_value(json_object_get(
		    json_array_get(json_object_get(entry, "holders"), 0),
		    "node"));

		if (strcmp(json_string_value(json_object_get(entry, "service")),
			service) != 0)
			continue;
		for (int j = 0; j < harness->node_count; j++)
			if (strcmp(harness->nodes[j].node, name) == 0)
				found = j;
	}
	json_decref(object);
	assert_true(found >= 0);
	return found;
}

/* Until the servers of a service have received a request. */
static void
wait_more_requests(harness_t *harness, int64_t before)
{
	usec_t until = clock_monotonic() + MS(QUERY_ENOUGH_MS);

	while (harness_record_sum(harness, "requests") <= before)
		assert_true(clock_monotonic() < until);
}

static void
check_after_loss(harness_t *harness, load_t *load, int lost)
{
	load_result_t result;

	for (int i = 0; i < harness->node_count; i++)
		if (i != lost)
			query_wait_complete(harness, i, 5, QUERY_ENOUGH_MS);
	result = load_stop(load);
	assert_int_equal(result.broken, 0);
	assert_true(result.complete > 0);
}

/* Guards against answers that hide the shards of a serving node that died while
 * it ran them, and against shards that stay missing afterwards. */
static void
a_serving_node_killed_under_queries(void **state)
{
	harness_t *harness = *state;
	int lost;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	lost = serving_node(harness, "slotplan-1");
	load = load_start(harness, 6, 7u & ~(1u << lost));
	load_wait(load, 20);
	wait_more_requests(harness, harness_record_sum(harness, "requests"));
	harness_kill_node(harness, lost);
	check_after_loss(harness, load, lost);
}

/* Guards against a serving node that is paused past its loan, resumes, and runs
 * more than its share or mixes its old replies into new queries. */
static void
a_serving_node_paused_under_queries(void **state)
{
	harness_t *harness = *state;
	int lost;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	lost = serving_node(harness, "slotplan-1");
	load = load_start(harness, 6, 7u & ~(1u << lost));
	load_wait(load, 20);
	wait_more_requests(harness, harness_record_sum(harness, "requests"));
	harness_signal(harness, harness->nodes[lost].process, SIGSTOP);
	for (int i = 0; i < 3; i++)
		if (i != lost)
			query_wait_complete(harness, i, 5, QUERY_ENOUGH_MS);
	harness_signal(harness, harness->nodes[lost].process, SIGCONT);
	load_wait(load, 40);
	query_wait_complete(harness, lost, 5, QUERY_ENOUGH_MS);
	check_after_loss(harness, load, lost);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    QUERY_TEST(a_failed_service_is_missing_and_named),
	    QUERY_TEST(one_failed_replica_costs_no_shard),
	    QUERY_TEST(replies_on_the_way_at_the_deadline_are_missing),
	    QUERY_TEST(a_serving_node_killed_under_queries),
	    QUERY_TEST(a_serving_node_paused_under_queries),
	};

	return RUN_TESTS(argc, argv, tests);
}

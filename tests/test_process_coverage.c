/* Tests the coverage of query answers, which states the shards that are
 * answered and those that are missing, during the server faults of fault_cases
 * and while serving nodes are killed or paused. */
#include "lib/harness_query.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define DEADLINE_MS 400

typedef struct {
	const char *fault_json;
	const char *reason; /* expected for the missing shard; NULL: any */
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

#define NO_FAULTS                                                \
	"{\"freeze\":false,\"latency_factor\":1,\"shed\":false," \
	"\"fail\":false,\"lie\":\"none\",\"versions\":{\"reels\":[7]}}"

/* Clears a fault of one server. A lost server is restarted first; a restart
 * keeps the other faults. */
static void
clear_fault(harness_t *harness, int service, int server, const char *fault_json)
{
	if (strstr(fault_json, "lost") != NULL)
		harness_set_faults(harness, query_server_name(service, server),
		    "{\"restart\":\"i-1\"}");
	harness_set_faults(
	    harness, query_server_name(service, server), NO_FAULTS);
}

/* When every server of one service has a fault, the answer must arrive by
 * the deadline, name the service's shard as missing, and contain all other
 * shards. */
static void
a_failed_service_is_missing_and_named(void **state)
{
	harness_t *harness = *state;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		const fault_case_t *fault = &fault_cases[i];

		query_set_service_faults(harness, 2, fault->fault_json);
		for (int j = 0; j < 4; j++) {
			char *body = query_new_body();
			http_reply_t reply =
			    query_post_as(harness->nodes[j % 2].caller_address,
				QUERY_KEY, body, DEADLINE_MS);
			coverage_t coverage =
			    query_check_answer(&reply, body, DEADLINE_MS);

			if (coverage.answered != QUERY_SERVICES - 1 ||
			    coverage.reasons[1][0] == '\0' ||
			    (fault->reason != NULL &&
				strcmp(coverage.reasons[1], fault->reason) !=
				    0))
				fail_msg("%s: %s", fault->fault_json,
				    reply.body->str);
			http_reply_clear(&reply);
			g_free(body);
		}
		for (int j = 1; j <= QUERY_SERVERS; j++)
			clear_fault(harness, 2, j, fault->fault_json);
		query_wait_complete(harness, 0, 3, QUERY_WAIT_MS);
	}
}

/* While one of the three replicas of each service has a fault, no shard may be
 * missing. */
static void
one_failed_replica_costs_no_shard(void **state)
{
	harness_t *harness = *state;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		load_counts_t counts;
		load_t *load;

		for (int j = 1; j <= QUERY_SERVICES; j++)
			harness_set_faults(harness,
			    query_server_name(j, 1 + j % 3),
			    fault_cases[i].fault_json);
		load = load_start(harness, 3, 3);
		load_wait(load, 30);
		counts = load_stop(load);
		if (counts.partial + counts.not_run + counts.no_response > 0)
			fail_msg("%s: %d complete, %d partial, %d not run",
			    fault_cases[i].fault_json, counts.complete,
			    counts.partial, counts.not_run);
		for (int j = 1; j <= QUERY_SERVICES; j++)
			clear_fault(
			    harness, j, 1 + j % 3, fault_cases[i].fault_json);
	}
}

static void
count_shards(harness_t *harness, int deadline_ms, int *answered, int *missing)
{
	char *body = query_new_body();
	http_reply_t reply = query_post_as(
	    harness->nodes[0].caller_address, QUERY_KEY, body, deadline_ms);
	coverage_t coverage = query_check_answer(&reply, body, deadline_ms);

	for (int i = 0; i < coverage.total; i++)
		if (coverage.reasons[i][0] != '\0')
			assert_string_equal(coverage.reasons[i], "timeout");
	*answered += coverage.answered;
	*missing += coverage.total - coverage.answered;
	http_reply_clear(&reply);
	g_free(body);
}

/* A shard whose reply arrives around the deadline must be counted either as
 * answered or as missing, never both or neither. The deadlines are close to the
 * servers' usual latency, so that both happen. */
static void
replies_on_the_way_at_the_deadline_are_missing(void **state)
{
	harness_t *harness = *state;
	int answered = 0, missing = 0;

	query_start_tier(harness,
	    &(query_tier_settings_t){.nodes = 2, .p50_ms = 40, .p99_ms = 100});
	for (int i = 0; i < 60; i++)
		count_shards(harness, 30 + i % 4 * 10, &answered, &missing);
	assert_true(answered > 0);
	assert_true(missing > 0);
	query_wait_complete(harness, 0, 3, QUERY_WAIT_MS);
}

/* Returns the number of the node that serves @service according to the
 * assignment. */
static int
serving_node(harness_t *harness, const char *service)
{
	json_t *object = harness_get_json(
	    harness->platform_address, "/v1/objects/assignment/cell-1");
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
			if (strcmp(harness->nodes[j].name, name) == 0)
				found = j;
	}
	json_decref(object);
	assert_true(found >= 0);
	return found;
}

/* Waits until the servers have received more than @before requests in all. */
static void
wait_more_requests(harness_t *harness, int64_t before)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

	while (harness_record_sum(harness, "requests") <= before)
		assert_true(clock_monotonic() < until);
}

static void
check_after_failure(harness_t *harness, load_t *load, int failed_node)
{
	load_counts_t counts;

	for (int i = 0; i < harness->node_count; i++)
		if (i != failed_node)
			query_wait_complete(harness, i, 5, QUERY_WAIT_MS);
	counts = load_stop(load);
	assert_int_equal(counts.no_response, 0);
	assert_true(counts.complete > 0);
}

/* A serving node is killed while it runs shards: answers must name its shards
 * as missing, and must be complete again afterwards. */
static void
a_serving_node_killed_under_queries(void **state)
{
	harness_t *harness = *state;
	int failed_node;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	failed_node = serving_node(harness, "slotplan-1");
	load = load_start(harness, 6, 7u & ~(1u << failed_node));
	load_wait(load, 20);
	wait_more_requests(harness, harness_record_sum(harness, "requests"));
	harness_kill_node(harness, failed_node);
	check_after_failure(harness, load, failed_node);
}

/* A serving node is paused until its slot loans have expired and then resumed:
 * it must not exceed its share of slots, and its old replies must not be mixed
 * into new queries. */
static void
a_serving_node_paused_under_queries(void **state)
{
	harness_t *harness = *state;
	int failed_node;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	failed_node = serving_node(harness, "slotplan-1");
	load = load_start(harness, 6, 7u & ~(1u << failed_node));
	load_wait(load, 20);
	wait_more_requests(harness, harness_record_sum(harness, "requests"));
	harness_signal(harness, harness->nodes[failed_node].process, SIGSTOP);
	for (int i = 0; i < 3; i++)
		if (i != failed_node)
			query_wait_complete(harness, i, 5, QUERY_WAIT_MS);
	harness_signal(harness, harness->nodes[failed_node].process, SIGCONT);
	load_wait(load, 40);
	query_wait_complete(harness, failed_node, 5, QUERY_WAIT_MS);
	check_after_failure(harness, load, failed_node);
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

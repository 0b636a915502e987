/* One snapshot for each answer, and the whole answer to the right caller, while
 * versions, shards and nodes change under running queries. */
#include "lib/harness_query.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const version_map_t version_7 = {
    QUERY_VERSION, QUERY_SERVICES, {1, 2, 3, 4}};
static const version_map_t version_9 = {9, QUERY_SERVICES, {1, 2, 3, 4}};
/* Callers of each node that leave in the middle of a request. The library may
 * overlook an end of the connection that arrives together with data, and closes
 * these connections when they have been idle for 120 s. */
#define CUT_CALLERS 66

/* Twice the shards, and all of them on other services. */
static const version_map_t split_8 = {
    8, QUERY_MAX_SHARDS, {4, 4, 3, 3, 2, 2, 1, 1}};

static void
publish(harness_t *harness, version_map_t newer)
{
	const version_map_t maps[] = {version_7, newer};

	query_put_index(harness, maps, 2);
}

/* Until each node pins @version. */
static void
wait_version(harness_t *harness, int version)
{
	for (int i = 0; i < harness->node_count; i++) {
		usec_t until = clock_monotonic() + MS(QUERY_ENOUGH_MS);

		while (query_check_complete(harness, i).version != version)
			assert_true(clock_monotonic() < until);
	}
}

/* Guards against answers that mix versions, or lose shards, while the servers
 * take a version up and drop the old one at different times. */
static void
answers_keep_one_version_while_it_changes(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	load = load_start(harness, 6, 7);
	for (int i = 1; i <= QUERY_SERVICES; i++) {
		query_service_fault(
		    harness, i, "{\"versions\":{\"reels\":[7,9]}}");
		load_wait(load, 5);
	}
	publish(harness, version_9);
	load_wait(load, 20);
	for (int i = 1; i <= QUERY_SERVICES; i++) {
		query_service_fault(
		    harness, i, "{\"versions\":{\"reels\":[9]}}");
		load_wait(load, 5);
	}
	wait_version(harness, 9);
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
	assert_true(result.complete > 40);
}

/* Guards against a shard asked for at the service that held it in another
 * version, when the shards are split and moved while queries run. */
static void
shards_move_between_services(void **state)
{
	static const char *const both[] = {
	    "[0,6,7]", "[1,4,5]", "[2,3]", "[3,0,1]"};
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	load = load_start(harness, 6, 7);
	for (int i = 1; i <= QUERY_SERVICES; i++) {
		char *order = g_strdup_printf("{\"versions\":{\"reels\":[7,8]},"
					      "\"shards\":{\"reels\":%s}}",
		    both[i - 1]);

		query_service_fault(harness, i, order);
		g_free(order);
	}
	publish(harness, split_8);
	load_wait(load, 20);
	query_fault_all(harness, "{\"versions\":{\"reels\":[8]}}");
	wait_version(harness, 8);
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
	assert_int_equal(
	    query_check_complete(harness, 0).total, QUERY_MAX_SHARDS);
}

/* Guards against shards that are missing because one replica does not have the
 * new version yet while the others do. */
static void
a_replica_that_lags_a_version_costs_no_shard(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 2});
	query_fault_all(harness, "{\"versions\":{\"reels\":[7,9]}}");
	for (int i = 1; i <= QUERY_SERVICES; i++)
		harness_fault(harness, query_server(i, 1),
		    "{\"versions\":{\"reels\":[7]}}");
	load = load_start(harness, 4, 3);
	publish(harness, version_9);
	wait_version(harness, 9);
	load_wait(load, 40);
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
}

typedef struct {
	harness_t *harness;
	char *body;
	http_reply_t result;
	GThread *thread;
} call_t;

static gpointer
run_call(gpointer context)
{
	call_t *call = context;

	call->result = query_post(call->harness, 0, call->body);
	return NULL;
}

static void
begin_call(call_t *call, harness_t *harness)
{
	call->harness = harness;
	call->body = query_new_body();
	call->thread = g_thread_new("call", run_call, call);
}

static coverage_t
end_call(call_t *call)
{
	coverage_t coverage;

	g_thread_join(call->thread);
	coverage =
	    query_check_answer(&call->result, call->body, QUERY_DEADLINE_MS);
	http_reply_clear(&call->result);
	g_free(call->body);
	return coverage;
}

/* Guards against a partial answer when the pinned version is dropped while the
 * query runs and the next one is published in time: the whole query must be
 * repeated on it. */
static void
a_version_dropped_under_a_query_is_replaced(void **state)
{
	harness_t *harness = *state;
	int64_t before;
	coverage_t coverage;
	call_t call;

	query_start_world(harness, &(world_t){.nodes = 2});
	query_fault_all(harness, "{\"versions\":{\"reels\":[9]}}");
	before = query_settled_requests(harness);
	begin_call(&call, harness);
	while (
	    harness_record_sum(harness, "requests") < before + QUERY_SERVICES)
		g_usleep(1000);
	publish(harness, version_9);
	coverage = end_call(&call);
	assert_int_equal(coverage.version, 9);
	assert_int_equal(coverage.answered, QUERY_SERVICES);
}

/* Guards against an answer that waits to its deadline, or claims shards, when
 * the pinned version is gone and no other one appears. */
static void
a_version_that_is_gone_is_named(void **state)
{
	harness_t *harness = *state;
	coverage_t coverage;
	call_t call;

	query_start_world(harness, &(world_t){.nodes = 2});
	query_service_fault(harness, 2, "{\"versions\":{\"reels\":[9]}}");
	begin_call(&call, harness);
	coverage = end_call(&call);
	assert_int_equal(coverage.version, QUERY_VERSION);
	assert_int_equal(coverage.answered, QUERY_SERVICES - 1);
	assert_string_equal(coverage.reasons[1], "version_gone");
}

static int
open_connection(const char *address)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static void
send_text(int fd, const char *text)
{
	assert_int_equal(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

static void
append_request(GString *out, const char *body)
{
	g_string_append_printf(out,
	    "POST /v1/query/" QUERY_INDEX " HTTP/1.1\r\nHost: x\r\n"
	    "Authorization: Bearer " QUERY_KEY "\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

/* Whether a whole response is there; @head and @size are those of its parts. */
static bool
find_response(const GString *input, size_t *head, size_t *size)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	const char *length;

	if (end == NULL)
		return false;
	length = strcasestr(input->str, "content-length:");
	assert_non_null(length);
	*head = (size_t)(end - input->str) + 4;
	*size = strtoul(length + 15, NULL, 10);
	return input->len >= *head + *size;
}

/* Reads one response and cuts it off the front of @input. */
static void
read_response(int fd, GString *input, http_reply_t *result)
{
	size_t head = 0, size = 0;

	while (!find_response(input, &head, &size)) {
		struct pollfd wait = {fd, POLLIN, 0};
		char data[4096];
		ssize_t got;

		assert_int_equal(poll(&wait, 1, QUERY_ENOUGH_MS), 1);
		got = read(fd, data, sizeof(data));
		assert_true(got > 0);
		g_string_append_len(input, data, got);
	}
	*result = (http_reply_t){.status = atoi(input->str + 9)};
	result->body = g_string_new_len(input->str + head, (gssize)size);
	result->headers = g_hash_table_new(g_str_hash, g_str_equal);
	result->json = json_loadb(result->body->str, size, 0, NULL);
	g_string_erase(input, 0, (gssize)(head + size));
}

/* Guards against answers of pipelined requests that are lost, swapped or left
 * waiting on a connection that is kept alive. */
static void
pipelined_requests_get_their_own_answers_in_order(void **state)
{
	enum { ROUNDS = 5, DEPTH = 4 };
	harness_t *harness = *state;
	GString *input = g_string_new(NULL);
	int fd;

	query_start_world(harness, &(world_t){.nodes = 2});
	fd = open_connection(harness->nodes[0].caller);
	for (int round = 0; round < ROUNDS; round++) {
		GString *out = g_string_new(NULL);
		char *bodies[DEPTH];

		for (int i = 0; i < DEPTH; i++) {
			bodies[i] = query_new_body();
			append_request(out, bodies[i]);
		}
		send_text(fd, out->str);
		for (int i = 0; i < DEPTH; i++) {
			http_reply_t result;

			read_response(fd, input, &result);
			assert_int_equal(query_check_answer(&result, bodies[i],
					     DEPTH * QUERY_DEADLINE_MS)
					     .answered,
			    QUERY_SERVICES);
			http_reply_clear(&result);
			g_free(bodies[i]);
		}
		g_string_free(out, TRUE);
	}
	close(fd);
	g_string_free(input, TRUE);
}

/* Connections at a node's caller address whose callers have left and that the
 * node has not closed (CLOSE_WAIT, state 08). */
static int
left_open(harness_t *harness, int node)
{
	unsigned int wanted =
	    (unsigned int)atoi(strrchr(harness->nodes[node].caller, ':') + 1);
	FILE *file = fopen("/proc/net/tcp", "r");
	unsigned int port, state;
	char line[256];
	int count = 0;

	assert_non_null(file);
	while (fgets(line, sizeof(line), file) != NULL)
		if (sscanf(line, " %*d: %*x:%x %*x:%*x %x", &port, &state) ==
			2 &&
		    port == wanted && state == 8)
			count++;
	fclose(file);
	return count;
}

static void
wait_callers_gone(harness_t *harness, int node)
{
	usec_t until = clock_monotonic() + MS(QUERY_ENOUGH_MS);

	while (query_metric(harness, node, "bulrushwell_requests_open") > 0 ||
	    left_open(harness, node) > CUT_CALLERS)
		if (clock_monotonic() > until)
			fail_msg("%s holds %d callers that left",
			    harness->nodes[node].node,
			    left_open(harness, node));
}

/* Guards against callers that leave early and take slots, or the answers of
 * others, with them; one of them leaves with a second request pipelined. */
static void
callers_that_leave_disturb_no_others(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 2});
	load = load_start(harness, 4, 3);
	for (int i = 0; i < 6 * CUT_CALLERS; i++) {
		int fd = open_connection(harness->nodes[i % 2].caller);
		GString *out = g_string_new(NULL);

		append_request(out, "a caller that leaves");
		if (i % 3 == 0)
			append_request(out, "a second request of the caller");
		if (i % 3 == 1)
			g_string_truncate(out, out->len - 5);
		send_text(fd, out->str);
		if (i % 40 == 0)
			load_wait(load, 1);
		close(fd);
		g_string_free(out, TRUE);
	}
	load_wait(load, 20);
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
	for (int i = 0; i < 2; i++)
		wait_callers_gone(harness, i);
}

/* Guards against bodies that are cut, mixed or refused on their way through
 * the nodes: a request close to 1 MB, and 300 KB from each shard. */
static void
large_bodies_arrive_whole(void **state)
{
	harness_t *harness = *state;
	char *body;

	query_start_world(harness, &(world_t){.nodes = 2});
	query_fault_all(harness, "{\"pad_bytes\":300000}");
	for (int i = 0; i < 8; i++) {
		http_reply_t result;

		body = g_strnfill(1024 * 1024 - 64 - (gsize)i, 'a' + (char)i);
		result = query_post(harness, i % 2, body);
		assert_int_equal(
		    query_check_answer(&result, body, QUERY_DEADLINE_MS)
			.answered,
		    QUERY_SERVICES);
		assert_true(result.body->len > 300000 * QUERY_SERVICES);
		http_reply_clear(&result);
		g_free(body);
	}
	query_fault_all(harness, "{\"pad_bytes\":0}");
}

/* Guards against answers that reach another caller when many callers ask at
 * once with bodies of their own. */
static void
many_callers_get_their_own_answers(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	load = load_start(harness, 24, 7);
	load_wait(load, 600);
	result = load_stop(load);
	assert_int_equal(result.partial + result.refused + result.broken, 0);
}

/* Callers that leave while their queries wait for a place. */
static void
leave_while_waiting(harness_t *harness)
{
	for (int i = 0; i < 10; i++) {
		int fd = open_connection(harness->nodes[0].caller);
		GString *out = g_string_new(NULL);

		append_request(out, "a caller that leaves at the limit");
		send_text(fd, out->str);
		g_usleep(5000);
		close(fd);
		g_string_free(out, TRUE);
	}
}

/* Guards against an overloaded index whose every answer is partial: queries
 * that wait for a place and never end, refusals that are not true, and a limit
 * that stays after the overload. */
static void
queries_over_the_limit_are_refused_as_not_run(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;
	usec_t until;

	query_start_world(harness, &(world_t){.nodes = 1, .deadline_ms = 300});
	query_service_fault(harness, 1, "{\"latency_factor\":200}");
	load = load_start(harness, 24, 1);
	query_wait_metric(
	    harness, 0, "bulrushwell_queries_refused_overload_total", 20);
	leave_while_waiting(harness);
	query_service_fault(harness, 1, "{\"latency_factor\":1}");
	result = load_stop(load);
	assert_true(result.refused >= 20);
	assert_int_equal(result.broken, 0);
	query_wait_complete(harness, 0, 20, QUERY_ENOUGH_MS);
	until = clock_monotonic() + MS(QUERY_ENOUGH_MS);
	while (query_metric(harness, 0, "bulrushwell_requests_open") > 0 ||
	    query_metric(harness, 0, "bulrushwell_queries_running") > 0)
		assert_true(clock_monotonic() < until);
}

/* Guards against messages and answers of an earlier incarnation that reach the
 * one after it, when a node is killed and restarted at the same addresses. */
static void
a_node_restarted_at_its_addresses_joins_again(void **state)
{
	harness_t *harness = *state;
	load_result_t result;
	load_t *load;

	query_start_world(harness, &(world_t){.nodes = 3});
	load = load_start(harness, 6, 3);
	for (int round = 0; round < 2; round++) {
		harness_kill_node(harness, 2);
		load_wait(load, 10);
		harness_start_node(harness, 2);
		harness_wait_node(harness, 2);
		query_wait_complete(harness, 2, 5, QUERY_ENOUGH_MS);
	}
	result = load_stop(load);
	assert_int_equal(result.broken, 0);
	for (int i = 0; i < 3; i++)
		query_wait_complete(harness, i, 5, QUERY_ENOUGH_MS);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    QUERY_TEST(answers_keep_one_version_while_it_changes),
	    QUERY_TEST(shards_move_between_services),
	    QUERY_TEST(a_replica_that_lags_a_version_costs_no_shard),
	    QUERY_TEST(a_version_dropped_under_a_query_is_replaced),
	    QUERY_TEST(a_version_that_is_gone_is_named),
	    QUERY_TEST(pipelined_requests_get_their_own_answers_in_order),
	    QUERY_TEST(callers_that_leave_disturb_no_others),
	    QUERY_TEST(large_bodies_arrive_whole),
	    QUERY_TEST(many_callers_get_their_own_answers),
	    QUERY_TEST(queries_over_the_limit_are_refused_as_not_run),
	    QUERY_TEST(a_node_restarted_at_its_addresses_joins_again),
	};

	return RUN_TESTS(argc, argv, tests);
}

/* Tests that each response comes from one index version and reaches its own
 * caller complete while versions, shards and nodes change during queries. */
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

/* Requests per node whose callers disconnect in the middle of the request. The
 * HTTP library may miss a FIN that arrives together with data, and closes such
 * a connection only after 120 s without traffic. So up to this number of
 * connections may still be open at the end of the test. */
#define ABORTED_REQUESTS 66

/* Twice as many shards, all of them on other services than before. */
static const version_map_t version_8_split = {
    8, QUERY_MAX_SHARDS, {4, 4, 3, 3, 2, 2, 1, 1}};

static void
publish_version(harness_t *harness, version_map_t newer)
{
	const version_map_t maps[] = {version_7, newer};

	query_put_index(harness, maps, 2);
}

/* Waits until each node uses @version for new queries. */
static void
wait_version(harness_t *harness, int version)
{
	for (int i = 0; i < harness->node_count; i++) {
		usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

		while (query_check_complete(harness, i).version != version)
			assert_true(clock_monotonic() < until);
	}
}

/* Guards against responses that mix versions or miss shards while the servers
 * load a new version and drop the old one at different times. */
static void
answers_keep_one_version_while_it_changes(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	load = load_start(harness, 6, 7);
	for (int i = 1; i <= QUERY_SERVICES; i++) {
		query_set_service_faults(
		    harness, i, "{\"versions\":{\"reels\":[7,9]}}");
		load_wait(load, 5);
	}
	publish_version(harness, version_9);
	load_wait(load, 20);
	for (int i = 1; i <= QUERY_SERVICES; i++) {
		query_set_service_faults(
		    harness, i, "{\"versions\":{\"reels\":[9]}}");
		load_wait(load, 5);
	}
	wait_version(harness, 9);
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
	assert_true(counts.complete > 40);
}

/* Guards against requests for a shard to the service that holds it in another
 * version, when shards are split and moved during queries. */
static void
shards_move_between_services(void **state)
{
	static const char *const held_shards[] = {
	    "[0,6,7]", "[1,4,5]", "[2,3]", "[3,0,1]"};
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	load = load_start(harness, 6, 7);
	for (int i = 1; i <= QUERY_SERVICES; i++) {
		char *faults =
		    g_strdup_printf("{\"versions\":{\"reels\":[7,8]},"
				    "\"shards\":{\"reels\":%s}}",
			held_shards[i - 1]);

		query_set_service_faults(harness, i, faults);
		g_free(faults);
	}
	publish_version(harness, version_8_split);
	load_wait(load, 20);
	query_set_all_faults(harness, "{\"versions\":{\"reels\":[8]}}");
	wait_version(harness, 8);
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
	assert_int_equal(
	    query_check_complete(harness, 0).total, QUERY_MAX_SHARDS);
}

/* Guards against missing shards when one replica does not have the new version
 * yet and the others do. */
static void
a_replica_that_lags_a_version_costs_no_shard(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	query_set_all_faults(harness, "{\"versions\":{\"reels\":[7,9]}}");
	for (int i = 1; i <= QUERY_SERVICES; i++)
		harness_set_faults(harness, query_server_name(i, 1),
		    "{\"versions\":{\"reels\":[7]}}");
	load = load_start(harness, 4, 3);
	publish_version(harness, version_9);
	wait_version(harness, 9);
	load_wait(load, 40);
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
}

typedef struct {
	harness_t *harness;
	char *body;
	http_reply_t reply;
	GThread *thread;
} background_query_t;

static gpointer
run_background_query(gpointer context)
{
	background_query_t *query = context;

	query->reply = query_post(query->harness, 0, query->body);
	return NULL;
}

static void
start_background_query(background_query_t *query, harness_t *harness)
{
	query->harness = harness;
	query->body = query_new_body();
	query->thread = g_thread_new("call", run_background_query, query);
}

static coverage_t
finish_background_query(background_query_t *query)
{
	coverage_t coverage;

	g_thread_join(query->thread);
	coverage =
	    query_check_answer(&query->reply, query->body, QUERY_DEADLINE_MS);
	http_reply_clear(&query->reply);
	g_free(query->body);
	return coverage;
}

/* Guards against a partial response when the servers drop the version of a
 * running query and the next version is published in time: the whole query must
 * be repeated on the new version. */
static void
a_version_dropped_under_a_query_is_replaced(void **state)
{
	harness_t *harness = *state;
	int64_t before;
	coverage_t coverage;
	background_query_t query;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	query_set_all_faults(harness, "{\"versions\":{\"reels\":[9]}}");
	before = query_settled_requests(harness);
	start_background_query(&query, harness);
	while (
	    harness_record_sum(harness, "requests") < before + QUERY_SERVICES)
		g_usleep(1000);
	publish_version(harness, version_9);
	coverage = finish_background_query(&query);
	assert_int_equal(coverage.version, 9);
	assert_int_equal(coverage.answered, QUERY_SERVICES);
}

/* Guards against a response that is delayed to its deadline, or counts the
 * missing shards as answered, when a service has dropped the query's version
 * and no other version is published. */
static void
a_version_that_is_gone_is_named(void **state)
{
	harness_t *harness = *state;
	coverage_t coverage;
	background_query_t query;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	query_set_service_faults(harness, 2, "{\"versions\":{\"reels\":[9]}}");
	start_background_query(&query, harness);
	coverage = finish_background_query(&query);
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

/* Whether @input starts with a complete response; sets the sizes of its head
 * and its body. */
static bool
is_response_complete(const GString *input, size_t *head_size, size_t *body_size)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	const char *length;

	if (end == NULL)
		return false;
	length = strcasestr(input->str, "content-length:");
	assert_non_null(length);
	*head_size = (size_t)(end - input->str) + 4;
	*body_size = strtoul(length + 15, NULL, 10);
	return input->len >= *head_size + *body_size;
}

/* Reads one response and removes it from the front of @input. */
static void
read_response(int fd, GString *input, http_reply_t *reply)
{
	size_t head_size = 0, body_size = 0;

	while (!is_response_complete(input, &head_size, &body_size)) {
		struct pollfd wait = {fd, POLLIN, 0};
		char data[4096];
		ssize_t received;

		assert_int_equal(poll(&wait, 1, QUERY_WAIT_MS), 1);
		received = read(fd, data, sizeof(data));
		assert_true(received > 0);
		g_string_append_len(input, data, received);
	}
	*reply = (http_reply_t){.status = atoi(input->str + 9)};
	reply->body =
	    g_string_new_len(input->str + head_size, (gssize)body_size);
	reply->headers = g_hash_table_new(g_str_hash, g_str_equal);
	reply->json = json_loadb(reply->body->str, body_size, 0, NULL);
	g_string_erase(input, 0, (gssize)(head_size + body_size));
}

/* Guards against responses to pipelined requests that are lost, reordered or
 * delayed on a persistent connection. */
static void
pipelined_requests_get_their_own_answers_in_order(void **state)
{
	enum { ROUNDS = 5, DEPTH = 4 };
	harness_t *harness = *state;
	GString *input = g_string_new(NULL);
	int fd;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	fd = open_connection(harness->nodes[0].caller_address);
	for (int round = 0; round < ROUNDS; round++) {
		GString *out = g_string_new(NULL);
		char *bodies[DEPTH];

		for (int i = 0; i < DEPTH; i++) {
			bodies[i] = query_new_body();
			append_request(out, bodies[i]);
		}
		send_text(fd, out->str);
		for (int i = 0; i < DEPTH; i++) {
			http_reply_t reply;

			read_response(fd, input, &reply);
			assert_int_equal(query_check_answer(&reply, bodies[i],
					     DEPTH * QUERY_DEADLINE_MS)
					     .answered,
			    QUERY_SERVICES);
			http_reply_clear(&reply);
			g_free(bodies[i]);
		}
		g_string_free(out, TRUE);
	}
	close(fd);
	g_string_free(input, TRUE);
}

/* Counts connections to a node's caller address that the caller has closed and
 * the node has not (CLOSE_WAIT, state 08). */
static int
count_close_wait(harness_t *harness, int node)
{
	unsigned int wanted = (unsigned int)atoi(
	    strrchr(harness->nodes[node].caller_address, ':') + 1);
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
wait_connections_closed(harness_t *harness, int node)
{
	usec_t until = clock_monotonic() + MS(QUERY_WAIT_MS);

	while (query_metric(harness, node, "bulrushwell_requests_open") > 0 ||
	    count_close_wait(harness, node) > ABORTED_REQUESTS)
		if (clock_monotonic() > until)
			fail_msg(
			    "%s keeps %d connections of disconnected callers",
			    harness->nodes[node].name,
			    count_close_wait(harness, node));
}

/* Guards against callers that disconnect early and leak slots or cause the loss
 * of other callers' responses. Some disconnect with a second request pipelined
 * or in the middle of a request. */
static void
callers_that_leave_disturb_no_others(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	load = load_start(harness, 4, 3);
	for (int i = 0; i < 6 * ABORTED_REQUESTS; i++) {
		int fd = open_connection(harness->nodes[i % 2].caller_address);
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
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
	for (int i = 0; i < 2; i++)
		wait_connections_closed(harness, i);
}

/* Guards against large bodies that are truncated, mixed up or refused by the
 * nodes: requests of almost 1 MB, and 300 KB from each shard. */
static void
large_bodies_arrive_whole(void **state)
{
	harness_t *harness = *state;
	char *body;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 2});
	query_set_all_faults(harness, "{\"pad_bytes\":300000}");
	for (int i = 0; i < 8; i++) {
		http_reply_t reply;

		body = g_strnfill(1024 * 1024 - 64 - (gsize)i, 'a' + (char)i);
		reply = query_post(harness, i % 2, body);
		assert_int_equal(
		    query_check_answer(&reply, body, QUERY_DEADLINE_MS)
			.answered,
		    QUERY_SERVICES);
		assert_true(reply.body->len > 300000 * QUERY_SERVICES);
		http_reply_clear(&reply);
		g_free(body);
	}
	query_set_all_faults(harness, "{\"pad_bytes\":0}");
}

/* Guards against responses that reach the wrong caller when many callers send
 * distinct queries at the same time. */
static void
many_callers_get_their_own_answers(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	load = load_start(harness, 24, 7);
	load_wait(load, 600);
	counts = load_stop(load);
	assert_int_equal(
	    counts.partial + counts.not_run + counts.no_response, 0);
}

/* Sends queries and disconnects while they are queued. */
static void
disconnect_while_queued(harness_t *harness)
{
	for (int i = 0; i < 10; i++) {
		int fd = open_connection(harness->nodes[0].caller_address);
		GString *out = g_string_new(NULL);

		append_request(out, "a caller that leaves at the limit");
		send_text(fd, out->str);
		g_usleep(5000);
		close(fd);
		g_string_free(out, TRUE);
	}
}

/* Guards against three failures when an index is overloaded and all its
 * responses are partial: queued queries that never end, refusals of queries
 * that ran all the same, and a limit that stays low after the overload. */
static void
queries_over_the_limit_are_refused_as_not_run(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;
	usec_t until;

	query_start_tier(
	    harness, &(query_tier_settings_t){.nodes = 1, .deadline_ms = 300});
	query_set_service_faults(harness, 1, "{\"latency_factor\":200}");
	load = load_start(harness, 24, 1);
	query_wait_metric(
	    harness, 0, "bulrushwell_queries_refused_overload_total", 20);
	disconnect_while_queued(harness);
	query_set_service_faults(harness, 1, "{\"latency_factor\":1}");
	counts = load_stop(load);
	assert_true(counts.not_run >= 20);
	assert_int_equal(counts.no_response, 0);
	query_wait_complete(harness, 0, 20, QUERY_WAIT_MS);
	until = clock_monotonic() + MS(QUERY_WAIT_MS);
	while (query_metric(harness, 0, "bulrushwell_requests_open") > 0 ||
	    query_metric(harness, 0, "bulrushwell_queries_running") > 0)
		assert_true(clock_monotonic() < until);
}

/* Guards against messages to or from an earlier incarnation of a node that are
 * accepted after the node was killed and restarted at the same addresses. */
static void
a_node_restarted_at_its_addresses_joins_again(void **state)
{
	harness_t *harness = *state;
	load_counts_t counts;
	load_t *load;

	query_start_tier(harness, &(query_tier_settings_t){.nodes = 3});
	load = load_start(harness, 6, 3);
	for (int round = 0; round < 2; round++) {
		harness_kill_node(harness, 2);
		load_wait(load, 10);
		harness_start_node(harness, 2);
		harness_wait_node_ready(harness, 2);
		query_wait_complete(harness, 2, 5, QUERY_WAIT_MS);
	}
	counts = load_stop(load);
	assert_int_equal(counts.no_response, 0);
	for (int i = 0; i < 3; i++)
		query_wait_complete(harness, i, 5, QUERY_WAIT_MS);
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
